#include "documents.h"

#include "generated/sources.h"

namespace CassiaRelay::Schema {

std::string_view processSettingsSchema()
{
    return PROCESSSETTINGS_SCHEMA;
}

std::string_view gatewaySettingsSchema()
{
    return GATEWAYSETTINGS_SCHEMA;
}

std::string_view fleetConfigurationSchema()
{
    return FLEETCONFIGURATION_SCHEMA;
}

std::string_view vmListSchema()
{
    return VMLIST_SCHEMA;
}

std::string_view targetListSchema()
{
    return TARGETLIST_SCHEMA;
}

} // namespace CassiaRelay::Schema
