#include "keytime.h"

#include <charconv>

namespace CassiaRelay::Fleet {

namespace {

constexpr std::size_t UUID_LENGTH = 36;
constexpr std::string_view HEX_DIGITS = "0123456789abcdefABCDEF";
constexpr std::string_view VARIANT_DIGITS = "89abAB";

bool isUuidV7(std::string_view key)
{
    if (key.size() != UUID_LENGTH || key[14] != '7' || VARIANT_DIGITS.find(key[19]) == std::string_view::npos) {
        return false;
    }
    for (std::size_t index = 0; index < key.size(); ++index) {
        const bool separator = index == 8 || index == 13 || index == 18 || index == 23;
        if (separator ? key[index] != '-' : HEX_DIGITS.find(key[index]) == std::string_view::npos) {
            return false;
        }
    }
    return true;
}

} // namespace

std::optional<WallTime> timeOfIssue(std::string_view key)
{
    if (!isUuidV7(key)) {
        return std::nullopt;
    }
    const std::string digits = std::string(key.substr(0, 8)) + std::string(key.substr(9, 4));
    std::int64_t milliseconds = 0;
    std::from_chars(digits.data(), digits.data() + digits.size(), milliseconds, 16);
    return WallTime(std::chrono::milliseconds(milliseconds));
}

} // namespace CassiaRelay::Fleet
