#include "explain.h"

#include "document.h"
#include "fleetsettings.h"

#include <algorithm>

namespace CassiaRelay::Settings {

namespace {

template<typename Value>
ExplainedValue defaultValue(const std::string &name, const std::optional<Value> &written, const Value &inForce)
{
    return { name, inForce, written ? ValueSource(FleetDefaultValue {}) : ValueSource(BuiltInValue {}) };
}

template<typename Value>
void override(ExplainedValue &explained, const std::optional<Value> &value, const ValueSource &source)
{
    if (value) {
        explained.value = *value;
        explained.source = source;
    }
}

// Later exceptions go before earlier ones, as in FleetSettings.
template<typename Matches, typename Apply>
void applyExceptions(const Schema::FleetConfiguration &configuration, Matches matches, Apply apply)
{
    if (!configuration.exceptions) {
        return;
    }
    for (std::size_t index = 0; index < configuration.exceptions->size(); ++index) {
        const Schema::SettingException &exception = (*configuration.exceptions)[index];
        if (!matches(exception.match)) {
            continue;
        }
        apply(exception.set, ValueSource(ExceptionValue { index, exception.match, exception.reason }));
    }
}

template<typename Entries>
const typename Entries::value_type &entry(const Entries &entries, const std::string &name, const std::string &what)
{
    const auto found = std::find_if(entries.begin(), entries.end(), [&name](const auto &candidate) { return candidate.name == name; });
    if (found != entries.end()) {
        return *found;
    }
    std::string known;
    for (const auto &candidate : entries) {
        known += (known.empty() ? "" : ", ") + candidate.name;
    }
    throw Error(ErrorKind::SettingsInvalid, "the configuration has no " + what + " '" + name + "'", "use one of: " + known);
}

struct SourceText {
    std::string operator()(const BuiltInValue & /*source*/) const
    {
        return "built-in default";
    }
    std::string operator()(const FleetDefaultValue & /*source*/) const
    {
        return "fleet default";
    }
    std::string operator()(const EntryValue & /*source*/) const
    {
        return "its own entry";
    }
    std::string operator()(const ExceptionValue &source) const
    {
        return "exception " + std::to_string(source.index) + " (" + describe(source.match) + "): " + source.reason;
    }
};

} // namespace

// The document goes through the daemon's own check first; what is explained is therefore what would be in force.
ConfigurationExplainer::ConfigurationExplainer(std::string_view text, std::int64_t revision)
{
    FleetSettings::parse(text, revision);
    m_configuration = parseDocument(text, "fleet configuration").get<Schema::FleetConfiguration>();
}

Explanation ConfigurationExplainer::target(const TargetSubject &subject) const
{
    const FleetDefaults inForce = toFleetDefaults(m_configuration.defaults);
    ExplainedValue concurrency = defaultValue<std::int64_t>("concurrency", m_configuration.defaults.concurrency, inForce.concurrency);
    ExplainedValue coldConcurrency =
        defaultValue<std::int64_t>("coldConcurrency", m_configuration.defaults.coldConcurrency, inForce.coldConcurrency);
    ExplainedValue out { "out", false, BuiltInValue {} };
    applyExceptions(
        m_configuration,
        [&subject](const Schema::ExceptionMatch &match) {
            return match.target == subject.target.value() || match.pool == subject.pool.value()
                || match.failureDomain == subject.failureDomain.value();
        },
        [&](const Schema::ExceptionValues &values, const ValueSource &source) {
            override(concurrency, values.concurrency, source);
            override(coldConcurrency, values.coldConcurrency, source);
            if (values.out.value_or(false)) {
                override(out, values.out, source);
            }
        });
    return { out, concurrency, coldConcurrency };
}

Explanation ConfigurationExplainer::domain(const FailureDomain &domain) const
{
    return target({ TargetId(), PoolName(), domain });
}

Explanation ConfigurationExplainer::organisation(const OrganisationId &name) const
{
    const Schema::OrganisationEntry &raw = entry(m_configuration.organisations, name.value(), "organisation");
    const FleetDefaults inForce = toFleetDefaults(m_configuration.defaults);
    ExplainedValue weight { "weight", 1.0, BuiltInValue {} };
    override(weight, raw.weight, EntryValue {});
    ExplainedValue rate = defaultValue("requestsPerSecond", m_configuration.defaults.requestsPerSecond, inForce.requestsPerSecond);
    ExplainedValue concurrency = defaultValue<std::int64_t>(
        "organisationConcurrency", m_configuration.defaults.organisationConcurrency, inForce.organisationConcurrency);
    applyExceptions(
        m_configuration,
        [&name](const Schema::ExceptionMatch &match) { return match.organisation == name.value(); },
        [&](const Schema::ExceptionValues &values, const ValueSource &source) {
            override(weight, values.weight, source);
            override(rate, values.requestsPerSecond, source);
            override(concurrency, values.organisationConcurrency, source);
        });
    return { weight, rate, concurrency };
}

Explanation ConfigurationExplainer::pipeline(const PipelineName &name) const
{
    const Schema::PipelineEntry &raw = entry(m_configuration.pipelines, name.value(), "pipeline");
    const FleetDefaults inForce = toFleetDefaults(m_configuration.defaults);
    ExplainedValue deadline = defaultValue<std::int64_t>("deadlineMs", m_configuration.defaults.deadlineMs, inForce.deadline.count());
    override(deadline, raw.deadlineMs, EntryValue {});
    ExplainedValue priorityClass { "priorityClass", raw.priorityClass, EntryValue {} };
    applyExceptions(
        m_configuration,
        [&name](const Schema::ExceptionMatch &match) { return match.pipeline == name.value(); },
        [&](const Schema::ExceptionValues &values, const ValueSource &source) {
            override(deadline, values.deadlineMs, source);
            override(priorityClass, values.priorityClass, source);
        });
    return { priorityClass, deadline };
}

std::string describe(const Schema::ExceptionMatch &match)
{
    std::string text;
    const nlohmann::json fields = match;
    for (const auto &[name, value] : fields.items()) {
        text += (text.empty() ? "" : ", ") + name + " " + value.get<std::string>();
    }
    return text;
}

std::string describe(const ValueSource &source)
{
    return std::visit(SourceText {}, source);
}

} // namespace CassiaRelay::Settings
