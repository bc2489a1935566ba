#pragma once

#include <string>

namespace CassiaRelay::Tool {

/** @throws ToolError (InvalidSettings) when the file cannot be read */
std::string readTextFile(const std::string &fileName);

} // namespace CassiaRelay::Tool
