#pragma once

#include <common/common.h>
#include <nlohmann/json.hpp>
#include <schema/schema.h>

#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace CassiaRelay::Settings {

/** Nothing is written: the value that the program has built in. */
struct BuiltInValue {
};

/** Written under defaults. */
struct FleetDefaultValue {
};

/** Written at the pipeline or organisation itself. */
struct EntryValue {
};

/** Set by an exception. */
struct ExceptionValue {
    std::size_t index = 0; ///< place in exceptions, from 0
    Schema::ExceptionMatch match;
    std::string reason;
};

using ValueSource = std::variant<BuiltInValue, FleetDefaultValue, EntryValue, ExceptionValue>;

/** One value in force, and what decided it. */
struct ExplainedValue {
    std::string name;
    nlohmann::json value;
    ValueSource source;
};
using Explanation = std::vector<ExplainedValue>;

/** A target with what exceptions can match it by. */
struct TargetSubject {
    TargetId target;
    PoolName pool;
    FailureDomain failureDomain;
};

/** Tells for each value of a fleet configuration which default or exception decides it. */
class ConfigurationExplainer
{
public:
    /** @throws SettingsError when the daemon would refuse the document */
    ConfigurationExplainer(std::string_view text, std::int64_t revision);

    Explanation target(const TargetSubject &subject) const;
    /** Values of every target of the domain, before exceptions for targets and pools. */
    Explanation domain(const FailureDomain &domain) const;
    /** @throws Error when the configuration has no such organisation */
    Explanation organisation(const OrganisationId &name) const;
    /** @throws Error when the configuration has no such pipeline */
    Explanation pipeline(const PipelineName &name) const;

private:
    Schema::FleetConfiguration m_configuration;
};

/** Match of an exception as people write it, such as "failureDomain hann". */
std::string describe(const Schema::ExceptionMatch &match);

/** Source of a value in one line. */
std::string describe(const ValueSource &source);

} // namespace CassiaRelay::Settings
