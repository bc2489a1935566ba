#pragma once

#include "loadcall.h"

#include <string>
#include <vector>

namespace CassiaRelay::Load {

/** Attainment of each stream over the time of arrival, one line a stream. */
std::string attainmentPlot(const LoadPlan &plan, const std::vector<CallRecord> &records, std::chrono::milliseconds length);

} // namespace CassiaRelay::Load
