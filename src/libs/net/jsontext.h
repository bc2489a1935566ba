#pragma once

#include <nlohmann/json.hpp>

#include <optional>
#include <string_view>

namespace CassiaRelay::Net {

/** Parses JSON from outside; nothing when it is malformed or nested too deeply to be written again. */
std::optional<nlohmann::json> parseJson(std::string_view text);

} // namespace CassiaRelay::Net
