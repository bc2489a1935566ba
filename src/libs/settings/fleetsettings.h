#pragma once

#include <common/common.h>
#include <schema/schema.h>

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace CassiaRelay::Settings {

/** One stage of a pipeline, with defaults and exceptions applied. */
struct StageSettings {
    StageName name;
    PoolName pool;
    std::string path;
    Schema::StageKind kind = Schema::StageKind::Call;
    bool repeatable = true;
    int priorityClass = 0;
    std::optional<std::chrono::milliseconds> timeout;
    std::string model;
    int maxTokens = 0;
};

/** One pipeline, with defaults and exceptions applied. */
struct PipelineSettings {
    PipelineName name;
    int priorityClass = 0;
    std::chrono::milliseconds deadline {};
    std::vector<StageSettings> stages;

    /** True when any stage runs at most once for each idempotency key. */
    bool needsIdempotencyKey() const;
};

/** One organisation, with defaults and exceptions applied. */
struct OrganisationSettings {
    OrganisationId name;
    double weight = 1;
    double requestsPerSecond = 0;
    int concurrency = 0;
};

/** Limits of one target, with defaults and exceptions applied. */
struct TargetSettings {
    int concurrency = 0;
    int coldConcurrency = 0;
    bool out = false;
};

/** Values that hold for the whole fleet. */
struct FleetDefaults {
    std::chrono::milliseconds deadline {};
    int concurrency = 0;
    int coldConcurrency = 0;
    int queueLength = 0;
    double requestsPerSecond = 0;
    int organisationConcurrency = 0;
    double retryBudget = 0;   ///< retries and hedges per first attempt
    double ejectionLimit = 0; ///< largest ejected part of a pool, 0 to 1
    std::chrono::milliseconds isolationLimit {};
    std::chrono::milliseconds resendWindow {};
    std::chrono::milliseconds grantRetention {};
    Schema::PolicyKind policy = Schema::PolicyKind::Managed;
};

/** Fills in what the document leaves out. */
FleetDefaults toFleetDefaults(const Schema::FleetDefaults &raw);

/** The fleet configuration of one revision: immutable, and the same on every daemon. */
class FleetSettings
{
public:
    /**
     * Checks the whole document and applies the exceptions.
     * @param revision as published with the document
     * @throws SettingsError with every problem; the document is then refused as a whole
     */
    static std::shared_ptr<const FleetSettings> parse(std::string_view text, std::int64_t revision);

    std::int64_t revision() const;
    const FleetDefaults &defaults() const;
    /** nullptr when there is no such pipeline. */
    const PipelineSettings *pipeline(const PipelineName &name) const;
    /** nullptr when no organisation has this token; compares in constant time. */
    const OrganisationSettings *organisationByToken(std::string_view token) const;
    const std::unordered_map<OrganisationId, OrganisationSettings> &organisations() const;
    const std::unordered_map<PipelineName, PipelineSettings> &pipelines() const;
    TargetSettings target(const TargetId &target, const PoolName &pool, const FailureDomain &domain) const;
    bool isOut(const FailureDomain &domain) const;
    /** As published, for explanations. */
    const std::vector<Schema::SettingException> &exceptions() const;

private:
    std::int64_t m_revision = 0;
    FleetDefaults m_defaults;
    std::unordered_map<PipelineName, PipelineSettings> m_pipelines;
    std::unordered_map<OrganisationId, OrganisationSettings> m_organisations;
    std::unordered_map<std::string, OrganisationId> m_tokens;
    std::vector<Schema::SettingException> m_exceptions;
};

} // namespace CassiaRelay::Settings
