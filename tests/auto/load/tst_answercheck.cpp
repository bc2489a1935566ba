#define BOOST_TEST_MODULE load
#include <answercheck.h>

#include <boost/test/unit_test.hpp>
#include <common/common.h>

using namespace CassiaRelay;
using nlohmann::json;

namespace {

constexpr std::uint64_t VOCABULARY = 100000;
constexpr int TOKENS = 4;

std::string generated(const std::string &prompt)
{
    std::string text;
    for (std::uint64_t index = 0; index < TOKENS; ++index) {
        text += "t" + std::to_string(stableHash(prompt, index) % VOCABULARY) + " ";
    }
    return text;
}

Load::ReceivedAnswer answerFor(const std::string &prompt)
{
    const json calls = { { "encode", { { "echo", prompt } } } };
    Load::ReceivedAnswer answer;
    answer.text = generated(prompt + "\n" + calls.dump() + "\n");
    answer.results = calls;
    answer.results["draft"] = answer.text;
    answer.byteCount = answer.text.size();
    answer.done = true;
    return answer;
}

} // namespace

BOOST_AUTO_TEST_CASE(wholeOwnAnswerIsAccepted)
{
    BOOST_TEST(Load::findFault(answerFor("a"), "a").empty());
}

BOOST_AUTO_TEST_CASE(answerOfAnotherRequestIsFound)
{
    BOOST_TEST(!Load::findFault(answerFor("b"), "a").empty());
}

BOOST_AUTO_TEST_CASE(textOfAnotherRequestIsFound)
{
    Load::ReceivedAnswer answer = answerFor("a");
    answer.text = answerFor("b").text;
    answer.byteCount = answer.text.size();
    BOOST_TEST(!Load::findFault(answer, "a").empty());
}

BOOST_AUTO_TEST_CASE(missingPartIsFound)
{
    Load::ReceivedAnswer answer = answerFor("a");
    answer.text.erase(2, 3);
    BOOST_TEST(!Load::findFault(answer, "a").empty());
    answer.byteCount = answer.text.size();
    BOOST_TEST(!Load::findFault(answer, "a").empty());
}

BOOST_AUTO_TEST_CASE(answerThatIsNotWellEndedIsFound)
{
    Load::ReceivedAnswer answer = answerFor("a");
    answer.done = false;
    BOOST_TEST(!Load::findFault(answer, "a").empty());
}
