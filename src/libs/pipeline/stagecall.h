#pragma once

#include "callerrequest.h"

#include <string>

namespace CassiaRelay::Pipeline {

/** Request body of a call stage: the caller's request and the results of the earlier stages. */
std::string callBody(const CallerRequest &request, const Settings::StageSettings &stage, const nlohmann::json &results);

/**
 * Request body of a generate stage, in the format of the OpenAI completions API.
 * @param generatedText text that earlier attempts generated; the target resumes after it
 */
std::string generateBody(const CallerRequest &request,
                         const Settings::StageSettings &stage,
                         const nlohmann::json &results,
                         const std::string &attempt,
                         const std::string &generatedText);

/** Affinity key: requests with the same value are likely to share a cached prompt prefix. 0 for call stages. */
std::uint64_t prefixAffinity(const CallerRequest &request, const Settings::StageSettings &stage);

} // namespace CassiaRelay::Pipeline
