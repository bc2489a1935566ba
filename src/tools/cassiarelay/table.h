#pragma once

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace CassiaRelay::Tool {

/** Text of a JSON value for people: strings without quotes, yes and no, "-" for nothing. */
std::string cellText(const nlohmann::json &value);

/** Rows of an array of objects under a header; columns are field names. */
std::string renderTable(const nlohmann::json &rows, const std::vector<std::string> &columns);

/** Fields of an object, one a line; arrays of objects as tables below. */
std::string renderObject(const nlohmann::json &object);

} // namespace CassiaRelay::Tool
