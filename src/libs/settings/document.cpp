#include "document.h"

#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validator.hpp>

#include <fstream>
#include <sstream>
#include <utility>

namespace CassiaRelay::Settings {

namespace {

std::string describe(const std::string &source, const std::vector<Problem> &problems)
{
    std::string text = source + ": " + std::to_string(problems.size()) + (problems.size() == 1 ? " problem" : " problems");
    for (const Problem &problem : problems) {
        text += "\n  " + (problem.path.empty() ? std::string("(document)") : problem.path) + ": " + problem.what + "; " + problem.remedy;
    }
    return text;
}

// valijson reports the path as "<root>[a][0]"; people know it as "/a/0".
std::string toPointer(const std::string &context)
{
    std::string pointer;
    for (const char character : context.substr(std::min<std::size_t>(context.size(), std::string("<root>").size()))) {
        if (character == '[') {
            pointer += '/';
        } else if (character != ']') {
            pointer += character;
        }
    }
    return pointer;
}

} // namespace

SettingsError::SettingsError(const std::string &source, std::vector<Problem> problems)
    : Error(ErrorKind::SettingsInvalid, describe(source, problems))
    , m_problems(std::move(problems))
{
}

const std::vector<Problem> &SettingsError::problems() const
{
    return m_problems;
}

std::string readTextFile(const std::string &fileName)
{
    const std::ifstream file(fileName);
    if (!file) {
        throw Error(ErrorKind::SettingsInvalid, "cannot read " + fileName, "give the path of a readable file to --settings");
    }
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

nlohmann::json parseDocument(std::string_view text, const std::string &source)
{
    try {
        return nlohmann::json::parse(text, nullptr, true, true);
    } catch (const nlohmann::json::parse_error &failure) {
        throw SettingsError(source, { { "", std::string("not JSON: ") + failure.what(), "correct the text at that place" } });
    }
}

std::vector<Problem> validate(const nlohmann::json &document, std::string_view schema)
{
    const nlohmann::json schemaDocument = nlohmann::json::parse(schema);
    valijson::Schema compiled;
    valijson::SchemaParser().populateSchema(valijson::adapters::NlohmannJsonAdapter(schemaDocument), compiled);
    valijson::ValidationResults results;
    valijson::Validator validator;
    if (validator.validate(compiled, valijson::adapters::NlohmannJsonAdapter(document), &results)) {
        return {};
    }
    std::vector<Problem> problems;
    valijson::ValidationResults::Error failure;
    while (results.popError(failure)) {
        std::string context;
        for (const std::string &part : failure.context) {
            context += part;
        }
        problems.push_back({ toPointer(context), failure.description, "see SETTINGS.md for this field" });
    }
    return problems;
}

nlohmann::json checkedDocument(std::string_view text, const std::string &source, std::string_view schema)
{
    nlohmann::json document = parseDocument(text, source);
    std::vector<Problem> problems = validate(document, schema);
    if (!problems.empty()) {
        throw SettingsError(source, std::move(problems));
    }
    return document;
}

} // namespace CassiaRelay::Settings
