#pragma once

#include <chrono>
#include <random>

namespace CassiaRelay {

using Duration = std::chrono::steady_clock::duration;
/** A reading of the monotonic clock; it never goes back, and goes on while a process is paused. */
using MonotonicTime = std::chrono::steady_clock::time_point;
/** A reading of the wall clock; only compared with times that came from outside. */
using WallTime = std::chrono::system_clock::time_point;
/** Seeded by the caller, so that every decision can be repeated. */
using RandomSource = std::mt19937_64;

} // namespace CassiaRelay
