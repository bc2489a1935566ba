#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace CassiaRelay {

/** Stable 64-bit hash: the same on every daemon and in every version. */
std::uint64_t stableHash(std::string_view text, std::uint64_t seed = 0);

/** 16 lower-case hexadecimal digits. */
std::string hexText(std::uint64_t value);

/** Lower-case hexadecimal SHA-256 digest of text. */
std::string sha256Hex(std::string_view text);

/** Compares in a time that depends only on the lengths. */
bool constantTimeEquals(std::string_view left, std::string_view right);

} // namespace CassiaRelay
