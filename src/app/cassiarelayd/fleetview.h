#pragma once

#include <fleet/fleet.h>
#include <routing/routing.h>
#include <settings/settings.h>

#include <memory>

namespace CassiaRelay::Daemon {

/** Everything published that the request path needs; replaced as a whole when any part changes. */
struct FleetView {
    std::shared_ptr<const Settings::FleetSettings> settings; ///< null until a configuration is in force
    std::shared_ptr<const Routing::TargetTable> targets = std::make_shared<const Routing::TargetTable>();
    std::shared_ptr<const Fleet::Cell> cell = std::make_shared<const Fleet::Cell>();

    /** True when requests can be served. */
    bool isComplete() const
    {
        return settings != nullptr && !targets->targets().empty() && !cell->members().empty();
    }
};

} // namespace CassiaRelay::Daemon
