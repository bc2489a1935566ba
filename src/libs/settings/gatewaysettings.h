#pragma once

#include <common/common.h>
#include <schema/schema.h>

#include <chrono>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace CassiaRelay::Settings {

/** Checked settings of a daemon that serves routes by host and prefix, with defaults filled in. */
struct GatewaySettings {
    VmId vm;
    std::string region;
    FailureDomain failureDomain;
    std::unordered_map<FailureDomain, std::string> regions; ///< of every failure domain
    Endpoint callers;
    Endpoint readiness;
    std::optional<Endpoint> peers; ///< nothing: the daemon works alone
    Endpoint metrics;
    Endpoint store;
    std::vector<Endpoint> seeds;
    Duration shutdownTime {};
    double retryRatio = 0;
    double retryExtra = 0;
    Duration retryWindow {};
    double coldFactor = 0;
    double coldSlack = 0;
    int maxVms = 1;
    Duration changeTime {}; ///< in which a change in the store must be in force
    double capacity = 1;
    Schema::AdmissionScope admission = Schema::AdmissionScope::Local;
    bool sharesByOrganisation = false;
    std::unordered_map<OrganisationId, double> organisationWeights; ///< other than 1
    Schema::PlacementRule placement = Schema::PlacementRule::Load;
    Schema::InputRelease inputRelease = Schema::InputRelease::Finished;
    std::optional<Schema::SpilloverMode> spillover;
    Duration transferDelayPerMegabyte {}; ///< delay that keeping a megabyte within its failure domain is worth
    Schema::LogLevel logLevel = Schema::LogLevel::Info;
};

/**
 * Reads the settings file of a daemon.
 * @throws SettingsError with every problem, or Error when the file cannot be read
 */
GatewaySettings loadGatewaySettings(const std::string &fileName);

/** Text form, for tests and tools. */
GatewaySettings parseGatewaySettings(std::string_view text, const std::string &source);

} // namespace CassiaRelay::Settings
