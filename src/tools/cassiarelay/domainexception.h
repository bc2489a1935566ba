#pragma once

#include <string>
#include <string_view>

namespace CassiaRelay::Tool {

/**
 * The fleet configuration with the failure domain taken out, checked as the daemon checks it.
 * @throws SettingsError when text or the result is refused, ToolError (Usage) when the domain is out already
 */
std::string withDomainOut(std::string_view text, const std::string &domain, const std::string &reason);

/**
 * The fleet configuration with the failure domain back in service.
 * @throws SettingsError when text is refused, ToolError (NotFound) when the domain is not out
 */
std::string withDomainIn(std::string_view text, const std::string &domain);

} // namespace CassiaRelay::Tool
