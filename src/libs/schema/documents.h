#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace CassiaRelay::Schema {

/** Keys of the published documents. */
inline constexpr std::string_view CONFIGURATION_KEY = "cassiarelay/config";
inline constexpr std::string_view VM_LIST_KEY = "cassiarelay/vms";
inline constexpr std::string_view TARGET_LIST_KEY = "cassiarelay/targets";

/** A published document, word for word. */
struct Document {
    std::string key;
    std::int64_t revision = 0;
    std::string text;
};

/** Schema sources, for validation of what people write. */
std::string_view processSettingsSchema();
std::string_view gatewaySettingsSchema();
std::string_view fleetConfigurationSchema();
std::string_view vmListSchema();
std::string_view targetListSchema();

} // namespace CassiaRelay::Schema
