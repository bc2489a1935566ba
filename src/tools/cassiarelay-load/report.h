#pragma once

#include "loadcall.h"

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace CassiaRelay::Load {

/** Outcomes by stream, with totals of the targets when their addresses are known. */
nlohmann::json summarize(const LoadPlan &plan, const std::vector<CallRecord> &records, std::chrono::milliseconds length);

/** Sum, and for peaks the maximum, of what targets tell at /stats. */
nlohmann::json targetTotals(const std::vector<Endpoint> &targets);

/** The summary as a table for people. */
std::string tableText(const nlohmann::json &summary);

} // namespace CassiaRelay::Load
