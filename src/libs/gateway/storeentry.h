#pragma once

#include "targetrecord.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace CassiaRelay::Gateway {

struct ConfigurationPublished {
    Configuration configuration;
};

/** Operators want nothing more sent to a failure domain. */
struct DomainDisabled {
    FailureDomain domain;
};

struct DomainRestored {
    FailureDomain domain;
};

struct TargetPublished {
    TargetRecord record;
};

struct TargetRemoved {
    TargetId id;
};

/** An item that can't be used; the others hold. */
struct InvalidEntry {
    std::string key;
    std::string reason;
};

/** One thing that the store says. */
using StoreEntry = std::variant<ConfigurationPublished, DomainDisabled, DomainRestored, TargetPublished, TargetRemoved, InvalidEntry>;

/** One page of what the store holds. */
struct StorePage {
    std::vector<StoreEntry> entries;
    std::int64_t revision = 0; ///< of the store when the page was read
    std::string nextAfter;     ///< where the next page starts; empty: this was the last
};

/** What has changed since a revision. */
struct StoreChanges {
    std::vector<StoreEntry> entries;
    std::int64_t revision = 0;
};

} // namespace CassiaRelay::Gateway
