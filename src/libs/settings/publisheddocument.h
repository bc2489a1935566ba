#pragma once

#include <schema/schema.h>

namespace CassiaRelay::Settings {

/**
 * Checks a document of any published key as a whole; the result is the same on every daemon.
 * @throws SettingsError with every problem
 */
void checkPublished(const Schema::Document &document);

} // namespace CassiaRelay::Settings
