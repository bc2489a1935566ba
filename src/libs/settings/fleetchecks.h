#pragma once

#include "problem.h"

#include <schema/schema.h>

namespace CassiaRelay::Settings {

/** Mistakes that the schema cannot express: doubled names, exceptions that match or set nothing known. */
std::vector<Problem> checkFleetConfiguration(const Schema::FleetConfiguration &configuration);

} // namespace CassiaRelay::Settings
