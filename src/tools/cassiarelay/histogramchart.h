#pragma once

#include <nlohmann/json.hpp>

#include <string>

namespace CassiaRelay::Tool {

/** Draws histograms as /admin/v1/histograms gives them, with one bar for each bucket. */
std::string renderHistograms(const nlohmann::json &histograms);

} // namespace CassiaRelay::Tool
