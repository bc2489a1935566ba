#pragma once

#include <common/common.h>
#include <schema/schema.h>

#include <string>

namespace CassiaRelay::Settings {

/** Checked settings of one daemon process, with defaults filled in. */
struct ProcessSettings {
    VmId vm;
    std::string region;
    FailureDomain failureDomain;
    Schema::CallerListener callers;
    Schema::OperatorListener operators;
    Schema::Endpoint peers;
    Schema::Endpoint platform;
    std::string cellSecret;
    int threads = 2;
    Schema::LogSettings log;
};

/**
 * Reads the settings file of a daemon.
 * @throws SettingsError with every problem, or Error when the file cannot be read
 */
ProcessSettings loadProcessSettings(const std::string &fileName);

/** Text form, for tests and tools. */
ProcessSettings parseProcessSettings(std::string_view text, const std::string &source);

} // namespace CassiaRelay::Settings
