#pragma once

#include <nlohmann/json.hpp>

#include <string>

namespace CassiaRelay::Load {

/** An answer as its caller received it. */
struct ReceivedAnswer {
    nlohmann::json results;
    std::string text;
    std::size_t byteCount = 0;
    bool done = false; ///< the answer was well ended
};

/** Empty when the answer is whole and belongs to the prompt, else what is wrong with it. */
std::string findFault(const ReceivedAnswer &answer, const std::string &prompt);

/** Empty when text is what a target generates for exactly this prompt. */
std::string findTextFault(const std::string &text, const std::string &prompt);

} // namespace CassiaRelay::Load
