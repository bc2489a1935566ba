#pragma once

#include <common/common.h>

#include <optional>
#include <string_view>

namespace CassiaRelay::Fleet {

/** Time of issue that a UUIDv7 carries; nothing for any other text. */
std::optional<WallTime> timeOfIssue(std::string_view key);

} // namespace CassiaRelay::Fleet
