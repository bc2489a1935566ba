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

/** Operators have disabled a failure domain: no more requests may be sent to it. */
struct DomainDisabled {
    FailureDomain domain;
};

/** Operators have restored a failure domain: requests may be sent to it again. */
struct DomainRestored {
    FailureDomain domain;
};

struct TargetPublished {
    TargetRecord record;
};

struct TargetRemoved {
    TargetId id;
};

/** An entry that can't be used; the other entries stay valid. */
struct InvalidEntry {
    std::string key;
    std::string reason;
};

/** A published or removed entry of the store. */
using StoreEntry = std::variant<ConfigurationPublished, DomainDisabled, DomainRestored, TargetPublished, TargetRemoved, InvalidEntry>;

/** One page of the entries in the store. */
struct StorePage {
    std::vector<StoreEntry> entries;
    std::int64_t revision = 0; ///< revision of the store when the page was read
    std::string nextAfter;     ///< key after which the next page starts; empty on the last page
};

/** Changes in the store since an earlier revision. */
struct StoreChanges {
    std::vector<StoreEntry> entries;
    std::int64_t revision = 0;
};

} // namespace CassiaRelay::Gateway
