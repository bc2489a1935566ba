#pragma once

#include <common/common.h>

#include <string>
#include <vector>

namespace CassiaRelay::Settings {

/** One mistake in a document. */
struct Problem {
    std::string path; ///< JSON pointer of the field; empty for the whole document
    std::string what;
    std::string remedy;
};

/** Carries every mistake of a document, not only the first. */
class SettingsError : public Error
{
public:
    SettingsError(const std::string &source, std::vector<Problem> problems);

    const std::vector<Problem> &problems() const;

private:
    std::vector<Problem> m_problems;
};

} // namespace CassiaRelay::Settings
