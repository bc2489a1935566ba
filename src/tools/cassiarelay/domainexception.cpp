#include "domainexception.h"

#include "exitcode.h"

#include <settings/settings.h>

#include <algorithm>

namespace CassiaRelay::Tool {

// Keeps the order of the fields, so that people recognise their document.
using OrderedJson = nlohmann::ordered_json;

namespace {

OrderedJson parse(std::string_view text)
{
    Settings::FleetSettings::parse(text, 0);
    return OrderedJson::parse(text, nullptr, true, true);
}

std::string checkedText(const OrderedJson &document)
{
    std::string text = document.dump(4) + "\n";
    Settings::FleetSettings::parse(text, 0);
    return text;
}

bool takesOut(const OrderedJson &exception, const std::string &domain)
{
    return exception["match"].value("failureDomain", std::string()) == domain && exception["set"].value("out", false);
}

} // namespace

std::string withDomainOut(std::string_view text, const std::string &domain, const std::string &reason)
{
    OrderedJson document = parse(text);
    if (!document.contains("exceptions")) {
        document["exceptions"] = OrderedJson::array();
    }
    OrderedJson &exceptions = document["exceptions"];
    if (std::any_of(exceptions.begin(), exceptions.end(), [&domain](const OrderedJson &each) { return takesOut(each, domain); })) {
        throw ToolError(ExitCode::Usage, "failure domain '" + domain + "' is out already", "see cassiarelay domains");
    }
    OrderedJson exception;
    exception["match"]["failureDomain"] = domain;
    exception["set"]["out"] = true;
    exception["reason"] = reason;
    exceptions.push_back(std::move(exception));
    return checkedText(document);
}

std::string withDomainIn(std::string_view text, const std::string &domain)
{
    OrderedJson document = parse(text);
    OrderedJson remaining = OrderedJson::array();
    bool wasOut = false;
    for (OrderedJson exception : document.value("exceptions", OrderedJson::array())) {
        if (takesOut(exception, domain)) {
            wasOut = true;
            exception["set"].erase("out");
        }
        if (!exception["set"].empty()) {
            remaining.push_back(std::move(exception));
        }
    }
    if (!wasOut) {
        throw ToolError(ExitCode::NotFound, "failure domain '" + domain + "' is not out", "see cassiarelay domains");
    }
    document["exceptions"] = std::move(remaining);
    return checkedText(document);
}

} // namespace CassiaRelay::Tool
