#include "fleetsettings.h"

#include "document.h"
#include "fleetchecks.h"

#include <algorithm>

namespace CassiaRelay::Settings {

namespace {

using std::chrono::milliseconds;

StageSettings toStage(const Schema::StageEntry &raw, int pipelineClass)
{
    StageSettings stage;
    stage.name = StageName(raw.name);
    stage.pool = PoolName(raw.pool);
    stage.path = raw.path;
    stage.kind = raw.kind;
    stage.repeatable = raw.repeatable.value_or(true);
    stage.priorityClass = static_cast<int>(raw.priorityClass.value_or(pipelineClass));
    if (raw.timeoutMs) {
        stage.timeout = milliseconds(*raw.timeoutMs);
    }
    stage.model = raw.model.value_or("");
    stage.maxTokens = static_cast<int>(raw.maxTokens.value_or(256));
    return stage;
}

// Later exceptions go before earlier ones.
template<typename Matches, typename Apply>
void applyExceptions(const std::vector<Schema::SettingException> &exceptions, Matches matches, Apply apply)
{
    for (const Schema::SettingException &exception : exceptions) {
        if (!matches(exception.match)) {
            continue;
        }
        apply(exception.set);
    }
}

PipelineSettings toPipeline(const Schema::PipelineEntry &raw,
                            const FleetDefaults &defaults,
                            const std::vector<Schema::SettingException> &exceptions)
{
    PipelineSettings pipeline;
    pipeline.name = PipelineName(raw.name);
    pipeline.priorityClass = static_cast<int>(raw.priorityClass);
    pipeline.deadline = raw.deadlineMs ? milliseconds(*raw.deadlineMs) : defaults.deadline;
    applyExceptions(
        exceptions,
        [&raw](const Schema::ExceptionMatch &match) { return match.pipeline == raw.name; },
        [&pipeline](const Schema::ExceptionValues &values) {
            pipeline.deadline = values.deadlineMs ? milliseconds(*values.deadlineMs) : pipeline.deadline;
            pipeline.priorityClass = static_cast<int>(values.priorityClass.value_or(pipeline.priorityClass));
        });
    for (const Schema::StageEntry &stage : raw.stages) {
        pipeline.stages.push_back(toStage(stage, pipeline.priorityClass));
    }
    return pipeline;
}

OrganisationSettings toOrganisation(const Schema::OrganisationEntry &raw,
                                    const FleetDefaults &defaults,
                                    const std::vector<Schema::SettingException> &exceptions)
{
    OrganisationSettings organisation;
    organisation.name = OrganisationId(raw.name);
    organisation.weight = raw.weight.value_or(1);
    organisation.requestsPerSecond = defaults.requestsPerSecond;
    organisation.concurrency = defaults.organisationConcurrency;
    applyExceptions(
        exceptions,
        [&raw](const Schema::ExceptionMatch &match) { return match.organisation == raw.name; },
        [&organisation](const Schema::ExceptionValues &values) {
            organisation.weight = values.weight.value_or(organisation.weight);
            organisation.requestsPerSecond = values.requestsPerSecond.value_or(organisation.requestsPerSecond);
            organisation.concurrency = static_cast<int>(values.organisationConcurrency.value_or(organisation.concurrency));
        });
    return organisation;
}

} // namespace

FleetDefaults toFleetDefaults(const Schema::FleetDefaults &raw)
{
    FleetDefaults defaults;
    defaults.deadline = milliseconds(raw.deadlineMs.value_or(9000));
    defaults.concurrency = static_cast<int>(raw.concurrency.value_or(8));
    defaults.coldConcurrency = static_cast<int>(raw.coldConcurrency.value_or(1));
    defaults.queueLength = static_cast<int>(raw.queueLength.value_or(256));
    defaults.requestsPerSecond = raw.requestsPerSecond.value_or(1000);
    defaults.organisationConcurrency = static_cast<int>(raw.organisationConcurrency.value_or(512));
    defaults.retryBudget = raw.retryBudgetPercent.value_or(10) / 100;
    defaults.ejectionLimit = raw.ejectionPercent.value_or(34) / 100;
    defaults.isolationLimit = milliseconds(raw.isolationLimitMs.value_or(3000));
    defaults.resendWindow = milliseconds(raw.resendWindowMs.value_or(30000));
    defaults.grantRetention = milliseconds(raw.grantRetentionMs.value_or(3600000));
    defaults.policy = raw.policy.value_or(Schema::PolicyKind::Managed);
    return defaults;
}

bool PipelineSettings::needsIdempotencyKey() const
{
    return std::any_of(stages.begin(), stages.end(), [](const StageSettings &stage) { return !stage.repeatable; });
}

std::shared_ptr<const FleetSettings> FleetSettings::parse(std::string_view text, std::int64_t revision)
{
    const std::string source = "fleet configuration revision " + std::to_string(revision);
    const auto raw = checkedDocument(text, source, Schema::fleetConfigurationSchema()).get<Schema::FleetConfiguration>();
    std::vector<Problem> problems = checkFleetConfiguration(raw);
    if (!problems.empty()) {
        throw SettingsError(source, std::move(problems));
    }
    auto settings = std::make_shared<FleetSettings>();
    settings->m_revision = revision;
    settings->m_defaults = toFleetDefaults(raw.defaults);
    settings->m_exceptions = raw.exceptions.value_or(std::vector<Schema::SettingException> {});
    for (const Schema::PipelineEntry &entry : raw.pipelines) {
        settings->m_pipelines.emplace(entry.name, toPipeline(entry, settings->m_defaults, settings->m_exceptions));
    }
    for (const Schema::OrganisationEntry &entry : raw.organisations) {
        settings->m_organisations.emplace(entry.name, toOrganisation(entry, settings->m_defaults, settings->m_exceptions));
        for (const std::string &token : entry.tokenSha256) {
            settings->m_tokens.emplace(token, entry.name);
        }
    }
    return settings;
}

std::int64_t FleetSettings::revision() const
{
    return m_revision;
}

const FleetDefaults &FleetSettings::defaults() const
{
    return m_defaults;
}

const PipelineSettings *FleetSettings::pipeline(const PipelineName &name) const
{
    const auto found = m_pipelines.find(name);
    return found == m_pipelines.end() ? nullptr : &found->second;
}

const OrganisationSettings *FleetSettings::organisationByToken(std::string_view token) const
{
    // The look-up runs over digests, which tell nothing about the token; the final comparison takes constant time.
    const std::string digest = sha256Hex(token);
    const auto found = m_tokens.find(digest);
    if (found == m_tokens.end() || !constantTimeEquals(found->first, digest)) {
        return nullptr;
    }
    return &m_organisations.at(found->second);
}

const std::unordered_map<OrganisationId, OrganisationSettings> &FleetSettings::organisations() const
{
    return m_organisations;
}

const std::unordered_map<PipelineName, PipelineSettings> &FleetSettings::pipelines() const
{
    return m_pipelines;
}

TargetSettings FleetSettings::target(const TargetId &target, const PoolName &pool, const FailureDomain &domain) const
{
    TargetSettings settings;
    settings.concurrency = m_defaults.concurrency;
    settings.coldConcurrency = m_defaults.coldConcurrency;
    applyExceptions(
        m_exceptions,
        [&](const Schema::ExceptionMatch &match) {
            return match.target == target.value() || match.pool == pool.value() || match.failureDomain == domain.value();
        },
        [&settings](const Schema::ExceptionValues &values) {
            settings.concurrency = static_cast<int>(values.concurrency.value_or(settings.concurrency));
            settings.coldConcurrency = static_cast<int>(values.coldConcurrency.value_or(settings.coldConcurrency));
            // A target is out when any of target, pool or domain is.
            settings.out = settings.out || values.out.value_or(false);
        });
    return settings;
}

bool FleetSettings::isOut(const FailureDomain &domain) const
{
    return std::any_of(m_exceptions.begin(), m_exceptions.end(), [&domain](const Schema::SettingException &exception) {
        return exception.match.failureDomain == domain.value() && exception.set.out.value_or(false);
    });
}

const std::vector<Schema::SettingException> &FleetSettings::exceptions() const
{
    return m_exceptions;
}

} // namespace CassiaRelay::Settings
