#pragma once

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>

namespace CassiaRelay::Schema {

/** Deepest nesting of arrays and objects that is read from outside. */
inline constexpr int MAX_JSON_DEPTH = 64;

/**
 * Parses JSON text of bounded depth.
 * @throws Error (BadRequest) for text that is not JSON or nested too deeply
 */
nlohmann::json parseBoundedJson(std::string_view text);

/**
 * Parses CBOR of bounded depth.
 * @throws Error (BadRequest) for bytes that are not CBOR or nested too deeply
 */
nlohmann::json parseBoundedCbor(std::string_view bytes);

/** JSON text of a document; bytes that are not UTF-8 are replaced. */
std::string toJsonText(const nlohmann::json &document);

/** CBOR form of a document. */
std::string toCbor(const nlohmann::json &document);

} // namespace CassiaRelay::Schema
