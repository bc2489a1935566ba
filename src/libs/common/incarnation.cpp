#include "incarnation.h"

#include <chrono>

namespace CassiaRelay {

Incarnation newIncarnation()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return Incarnation(static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(sinceEpoch).count()));
}

} // namespace CassiaRelay
