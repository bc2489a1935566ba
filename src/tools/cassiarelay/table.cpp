#include "table.h"

#include <algorithm>
#include <cctype>

namespace CassiaRelay::Tool {

using nlohmann::json;

namespace {

using Row = std::vector<std::string>;

// "failureDomain" becomes "FAILURE DOMAIN".
std::string headerText(const std::string &field)
{
    std::string text;
    for (const char character : field) {
        const auto letter = static_cast<unsigned char>(character);
        if (std::isupper(letter) != 0) {
            text += ' ';
        }
        text += static_cast<char>(std::toupper(letter));
    }
    return text;
}

std::string aligned(const std::vector<Row> &rows)
{
    constexpr std::size_t GAP = 2;
    std::vector<std::size_t> widths(rows.front().size());
    for (const Row &row : rows) {
        for (std::size_t column = 0; column < row.size(); ++column) {
            widths[column] = std::max(widths[column], row[column].size());
        }
    }
    std::string text;
    for (const Row &row : rows) {
        std::string line;
        for (std::size_t column = 0; column < row.size(); ++column) {
            line += row[column] + std::string(widths[column] + GAP - row[column].size(), ' ');
        }
        line.erase(line.find_last_not_of(' ') + 1);
        text += line + "\n";
    }
    return text;
}

bool isTable(const json &value)
{
    return value.is_array() && !value.empty() && value.front().is_object();
}

std::vector<std::string> fieldNames(const json &object)
{
    std::vector<std::string> names;
    for (const auto &[name, value] : object.items()) {
        names.push_back(name);
    }
    return names;
}

void collectFields(const json &object, const std::string &prefix, std::vector<Row> &rows)
{
    for (const auto &[name, value] : object.items()) {
        if (value.is_object()) {
            collectFields(value, prefix + name + ".", rows);
        } else if (!isTable(value)) {
            rows.push_back({ prefix + name, cellText(value) });
        }
    }
}

} // namespace

std::string cellText(const json &value)
{
    if (value.is_null() || (value.is_string() && value.get_ref<const std::string &>().empty())) {
        return "-";
    }
    if (value.is_string()) {
        return value.get<std::string>();
    }
    if (value.is_boolean()) {
        return value.get<bool>() ? "yes" : "no";
    }
    return value.dump();
}

std::string renderTable(const json &rows, const std::vector<std::string> &columns)
{
    std::vector<Row> lines(1);
    for (const std::string &column : columns) {
        lines.front().push_back(headerText(column));
    }
    for (const json &row : rows) {
        Row line;
        for (const std::string &column : columns) {
            line.push_back(cellText(row.value(column, json())));
        }
        lines.push_back(std::move(line));
    }
    return aligned(lines);
}

std::string renderObject(const json &object)
{
    std::vector<Row> rows;
    collectFields(object, "", rows);
    std::string text = rows.empty() ? "" : aligned(rows);
    for (const auto &[name, value] : object.items()) {
        if (isTable(value)) {
            text += "\n" + headerText(name) + "\n" + renderTable(value, fieldNames(value.front()));
        }
    }
    return text;
}

} // namespace CassiaRelay::Tool
