#include "answercheck.h"

#include <common/common.h>

namespace CassiaRelay::Load {

using nlohmann::json;

namespace {

constexpr std::uint64_t VOCABULARY = 100000;

std::string tokenAt(const std::string &prompt, int index)
{
    return "t" + std::to_string(stableHash(prompt, static_cast<std::uint64_t>(index)) % VOCABULARY) + " ";
}

} // namespace

std::string findTextFault(const std::string &text, const std::string &prompt)
{
    std::size_t offset = 0;
    for (int index = 0; offset < text.size(); ++index) {
        const std::string token = tokenAt(prompt, index);
        if (text.compare(offset, token.size(), token) != 0) {
            return "text differs from byte " + std::to_string(offset);
        }
        offset += token.size();
    }
    return {};
}

// Targets echo the prompt in each call, and generate from the prompt followed by the results of the calls.
std::string findFault(const ReceivedAnswer &answer, const std::string &prompt)
{
    if (!answer.done) {
        return "not well ended";
    }
    if (answer.byteCount != answer.text.size()) {
        return "byteCount " + std::to_string(answer.byteCount) + " for " + std::to_string(answer.text.size()) + " bytes";
    }
    json calls = json::object();
    bool generated = false;
    for (const auto &[stage, result] : answer.results.items()) {
        if (result.is_string()) {
            generated = true;
            continue;
        }
        if (!result.is_object() || result.value("echo", "") != prompt) {
            return "result of stage " + stage + " belongs to another request";
        }
        calls[stage] = result;
    }
    if (generated && answer.text.empty()) {
        return "no text";
    }
    return findTextFault(answer.text, prompt + "\n" + calls.dump() + "\n");
}

} // namespace CassiaRelay::Load
