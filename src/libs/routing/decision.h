#pragma once

#include "workitem.h"

#include <common/common.h>

#include <variant>
#include <vector>

namespace CassiaRelay::Routing {

/** The work has a slot on the target and starts now. */
struct Assign {
    WorkId work;
    TargetId target;
};

/** The work will not run; it holds no slot. */
struct Reject {
    WorkId work;
    Refusal refusal;
};

using Decision = std::variant<Assign, Reject>;
using Decisions = std::vector<Decision>;

} // namespace CassiaRelay::Routing
