#include "gatewaysettings.h"

#include "document.h"

#include <algorithm>

namespace CassiaRelay::Settings {

namespace {

constexpr double DEFAULT_SHUTDOWN_S = 8;    // usual time between SIGTERM and SIGKILL
constexpr double DEFAULT_RETRY_RATIO = 0.1; // one in ten, as for pipelines
constexpr double DEFAULT_RETRY_EXTRA = 10;  // lets a quiet service retry at all
constexpr double DEFAULT_RETRY_WINDOW_S = 10;
constexpr double DEFAULT_COLD_FACTOR = 1;
constexpr double DEFAULT_COLD_SLACK = 0;
constexpr int DEFAULT_MAX_VMS = 380; // the largest fleet that the design supports
constexpr double DEFAULT_CAPACITY = 1;
constexpr std::chrono::milliseconds DEFAULT_CHANGE_TIME { 2000 };
constexpr int DEFAULT_METRICS_PORT = 9464; // the customary port of Prometheus exporters

Duration seconds(double value)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(value));
}

std::unordered_map<FailureDomain, std::string> regionsOf(const Schema::GatewaySettings &raw)
{
    std::unordered_map<FailureDomain, std::string> regions;
    regions.emplace(FailureDomain(raw.failureDomain), raw.region);
    for (const Schema::DomainRegion &domain : raw.failureDomains.value_or(std::vector<Schema::DomainRegion>())) {
        regions[FailureDomain(domain.name)] = domain.region;
    }
    return regions;
}

Duration shortestChangeTime(const Schema::GatewaySettings &raw)
{
    const std::vector<std::int64_t> times = raw.changeMs.value_or(std::vector<std::int64_t>());
    const auto shortest = std::min_element(times.begin(), times.end());
    return shortest == times.end() ? DEFAULT_CHANGE_TIME : std::chrono::milliseconds(*shortest);
}

} // namespace

GatewaySettings loadGatewaySettings(const std::string &fileName)
{
    return parseGatewaySettings(readTextFile(fileName), fileName);
}

GatewaySettings parseGatewaySettings(std::string_view text, const std::string &source)
{
    const auto raw = checkedDocument(text, source, Schema::gatewaySettingsSchema()).get<Schema::GatewaySettings>();
    GatewaySettings settings;
    settings.vm = VmId(raw.vm);
    settings.region = raw.region;
    settings.failureDomain = FailureDomain(raw.failureDomain);
    settings.regions = regionsOf(raw);
    settings.callers = Endpoint::parse(raw.callers);
    settings.readiness = Endpoint::parse(raw.readiness);
    if (raw.peers && !raw.peers->empty()) {
        settings.peers = Endpoint::parse(*raw.peers);
    }
    settings.metrics = { settings.callers.address, static_cast<std::uint16_t>(raw.metricsPort.value_or(DEFAULT_METRICS_PORT)) };
    settings.store = Endpoint::parse(raw.store);
    for (const std::string &seed : raw.seeds.value_or(std::vector<std::string>())) {
        settings.seeds.push_back(Endpoint::parse(seed));
    }
    settings.shutdownTime = seconds(raw.shutdownS.value_or(DEFAULT_SHUTDOWN_S));
    settings.retryRatio = raw.retryRatio.value_or(DEFAULT_RETRY_RATIO);
    settings.retryExtra = raw.retryExtra.value_or(DEFAULT_RETRY_EXTRA);
    settings.retryWindow = seconds(raw.retryWindowS.value_or(DEFAULT_RETRY_WINDOW_S));
    settings.coldFactor = raw.coldFactor.value_or(DEFAULT_COLD_FACTOR);
    settings.coldSlack = raw.coldSlack.value_or(DEFAULT_COLD_SLACK);
    settings.maxVms = static_cast<int>(raw.maxVms.value_or(DEFAULT_MAX_VMS));
    settings.changeTime = shortestChangeTime(raw);
    settings.capacity = raw.capacity.value_or(DEFAULT_CAPACITY);
    settings.admission = raw.admission.value_or(Schema::AdmissionScope::Local);
    settings.sharesByOrganisation = raw.organisationShares.value_or(false);
    for (const Schema::OrganisationWeight &entry : raw.organisationWeights.value_or(std::vector<Schema::OrganisationWeight>())) {
        settings.organisationWeights[OrganisationId(entry.organisation)] = entry.weight;
    }
    settings.placement = raw.placement.value_or(Schema::PlacementRule::Load);
    settings.inputRelease = raw.inputRelease.value_or(Schema::InputRelease::Finished);
    settings.spillover = raw.spillover;
    settings.transferDelayPerMegabyte = seconds(raw.transferMsPerMb.value_or(0) / 1000);
    settings.logLevel = raw.logLevel.value_or(Schema::LogLevel::Info);
    return settings;
}

} // namespace CassiaRelay::Settings
