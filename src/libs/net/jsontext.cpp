#include "jsontext.h"

namespace CassiaRelay::Net {

using nlohmann::json;

namespace {

constexpr int MAX_DEPTH = 128;

} // namespace

// The parser works on a heap stack, but dump() recurses: a deep document would overflow the stack of the thread.
std::optional<json> parseJson(std::string_view text)
{
    bool tooDeep = false;
    const auto checkDepth = [&tooDeep](int depth, json::parse_event_t, json &) {
        tooDeep = tooDeep || depth > MAX_DEPTH;
        return !tooDeep;
    };
    json document = json::parse(text, checkDepth, false);
    if (tooDeep || document.is_discarded()) {
        return std::nullopt;
    }
    return document;
}

} // namespace CassiaRelay::Net
