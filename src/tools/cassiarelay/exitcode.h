#pragma once

#include <common/common.h>

#include <string>

namespace CassiaRelay::Tool {

/** Exit codes of cassiarelay; the manual page lists them. */
enum class ExitCode {
    Ok = 0,
    Unreachable = 1,     ///< the daemon does not answer, or answers with an error
    InvalidSettings = 2, ///< a settings file or fleet configuration has mistakes or cannot be read
    NotFound = 3,        ///< what was asked for is not known
    Usage = 64,          ///< wrong command line
};

/** An error with the exit code that it leads to. */
class ToolError : public Error
{
public:
    ToolError(ExitCode exitCode, const std::string &message, const std::string &remedy);

    ExitCode exitCode() const;

private:
    ExitCode m_exitCode;
};

} // namespace CassiaRelay::Tool
