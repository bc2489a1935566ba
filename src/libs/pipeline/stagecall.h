#pragma once

#include "callerrequest.h"

#include <string>

namespace CassiaRelay::Pipeline {

/** Body of the call of a stage: the caller's request and what the earlier stages returned. */
std::string callBody(const CallerRequest &request, const Settings::StageSettings &stage, const nlohmann::json &results);

/**
 * Body of a generate stage, as an OpenAI completion.
 * @param delivered text that an earlier attempt generated; the target goes on from there
 */
std::string generateBody(const CallerRequest &request,
                         const Settings::StageSettings &stage,
                         const nlohmann::json &results,
                         const std::string &attempt,
                         const std::string &generatedText);

/** Requests with the same value are likely to share a cached prompt prefix. */
std::uint64_t prefixAffinity(const CallerRequest &request, const Settings::StageSettings &stage);

} // namespace CassiaRelay::Pipeline
