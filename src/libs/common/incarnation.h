#pragma once

#include "strongid.h"

namespace CassiaRelay {

/** Wall-clock time in microseconds: rises from one start of a process to the next. */
Incarnation newIncarnation();

} // namespace CassiaRelay
