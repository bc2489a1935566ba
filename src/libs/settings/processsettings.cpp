#include "processsettings.h"

#include "document.h"

namespace CassiaRelay::Settings {

ProcessSettings loadProcessSettings(const std::string &fileName)
{
    return parseProcessSettings(readTextFile(fileName), fileName);
}

ProcessSettings parseProcessSettings(std::string_view text, const std::string &source)
{
    const auto raw = checkedDocument(text, source, Schema::processSettingsSchema()).get<Schema::ProcessSettings>();
    constexpr int DEFAULT_THREADS = 2;
    ProcessSettings settings;
    settings.vm = VmId(raw.vm);
    settings.region = raw.region;
    settings.failureDomain = FailureDomain(raw.failureDomain);
    settings.callers = raw.callers;
    settings.operators = raw.operators;
    settings.peers = raw.peers;
    settings.platform = raw.platform;
    settings.cellSecret = raw.cellSecret;
    settings.threads = static_cast<int>(raw.threads.value_or(DEFAULT_THREADS));
    settings.log = raw.log.value_or(Schema::LogSettings {});
    return settings;
}

} // namespace CassiaRelay::Settings
