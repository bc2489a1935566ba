#pragma once

#include <optional>
#include <string>
#include <vector>

namespace CassiaRelay::Tool {

/** The candidate that differs least from what was typed; nothing when none is near. */
std::optional<std::string> suggestion(const std::string &typed, const std::vector<std::string> &candidates);

} // namespace CassiaRelay::Tool
