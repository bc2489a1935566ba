#include "hash.h"

#define XXH_INLINE_ALL
#include <openssl/crypto.h>
#include <openssl/sha.h>
#include <xxhash.h>

#include <array>

namespace CassiaRelay {

std::uint64_t stableHash(std::string_view text, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

std::string hexText(std::uint64_t value)
{
    constexpr std::size_t DIGITS = 16;
    std::string text(DIGITS, '0');
    for (auto digit = text.rbegin(); digit != text.rend(); ++digit) {
        *digit = "0123456789abcdef"[value % 16];
        value /= 16;
    }
    return text;
}

std::string sha256Hex(std::string_view text)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest {};
    SHA256(reinterpret_cast<const unsigned char *>(text.data()), text.size(), digest.data());
    constexpr std::string_view DIGITS = "0123456789abcdef";
    std::string hex;
    hex.reserve(2 * digest.size());
    for (const unsigned char byte : digest) {
        hex.push_back(DIGITS[byte >> 4U]);
        hex.push_back(DIGITS[byte & 0xfU]);
    }
    return hex;
}

bool constantTimeEquals(std::string_view left, std::string_view right)
{
    if (left.size() != right.size()) {
        return false;
    }
    return CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

} // namespace CassiaRelay
