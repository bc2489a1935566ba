#pragma once

#include <common/common.h>

#include <optional>
#include <string_view>

namespace CassiaRelay::Fleet {

/** Returns the time of issue contained in a UUIDv7; std::nullopt for any other text. */
std::optional<WallTime> timeOfIssue(std::string_view key);

} // namespace CassiaRelay::Fleet
