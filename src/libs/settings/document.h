#pragma once

#include "problem.h"

#include <nlohmann/json.hpp>

#include <string_view>

namespace CassiaRelay::Settings {

/** @throws Error (SettingsInvalid) when the file can't be read */
std::string readTextFile(const std::string &fileName);

/**
 * Parses JSON with comments.
 * @param source names the file or revision in messages
 * @throws SettingsError
 */
nlohmann::json parseDocument(std::string_view text, const std::string &source);

/** Every place where document does not follow the schema. */
std::vector<Problem> validate(const nlohmann::json &document, std::string_view schema);

/** Parses and validates; throws SettingsError with every problem. */
nlohmann::json checkedDocument(std::string_view text, const std::string &source, std::string_view schema);

} // namespace CassiaRelay::Settings
