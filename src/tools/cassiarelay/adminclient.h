#pragma once

#include <nlohmann/json.hpp>
#include <settings/settings.h>

#include <string>

namespace CassiaRelay::Tool {

/** Reads the operators' interface of one daemon. */
class AdminClient
{
public:
    explicit AdminClient(const Schema::OperatorListener &listener);

    /** @throws Error when the daemon cannot be reached or answers with an error */
    nlohmann::json read(const std::string &path) const;

private:
    Schema::OperatorListener m_listener;
};

} // namespace CassiaRelay::Tool
