#pragma once

#include <common/common.h>
#include <nlohmann/json.hpp>
#include <settings/settings.h>

#include <memory>
#include <optional>
#include <string>

namespace CassiaRelay::Pipeline {

/** An authenticated request as received from the caller. */
struct CallerRequest {
    RequestId id;
    OrganisationId organisation;
    Settings::PipelineSettings pipeline;
    nlohmann::json body;
    Fingerprint fingerprint;
    std::optional<std::string> idempotencyKey;
    bool stream = false;
    MonotonicTime deadline;
};

} // namespace CassiaRelay::Pipeline
