#include "stagecall.h"

namespace CassiaRelay::Pipeline {

using nlohmann::json;

namespace {

constexpr std::size_t AFFINITY_PREFIX_BYTES = 256;

std::string promptText(const CallerRequest &request)
{
    const auto prompt = request.body.find("prompt");
    return prompt != request.body.end() && prompt->is_string() ? prompt->get<std::string>() : request.body.dump();
}

} // namespace

std::string callBody(const CallerRequest &request, const Settings::StageSettings &stage, const json &results)
{
    const json body = {
        { "requestId", request.id.value() },
        { "stage", stage.name.value() },
        { "request", request.body },
        { "results", results },
    };
    return body.dump();
}

std::string generateBody(const CallerRequest &request,
                         const Settings::StageSettings &stage,
                         const json &results,
                         const std::string &attempt,
                         const std::string &generatedText)
{
    const json body = {
        { "model", stage.model },          { "prompt", promptText(request) + "\n" + results.dump() + "\n" },
        { "max_tokens", stage.maxTokens }, { "stream", true },
        { "request_id", attempt },         { "priority", stage.priorityClass },
        { "resume_text", generatedText },
    };
    return body.dump();
}

std::uint64_t prefixAffinity(const CallerRequest &request, const Settings::StageSettings &stage)
{
    if (stage.kind != Schema::StageKind::Generate) {
        return 0;
    }
    return stableHash(promptText(request).substr(0, AFFINITY_PREFIX_BYTES), stableHash(stage.model));
}

} // namespace CassiaRelay::Pipeline
