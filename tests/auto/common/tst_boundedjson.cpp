#define BOOST_TEST_MODULE boundedjson
#include <boost/test/unit_test.hpp>
#include <common/common.h>
#include <schema/schema.h>

using namespace CassiaRelay;

namespace {

// Nested deeply enough to overflow the stack of a thread when it is read or written by recursion.
constexpr std::size_t DEEP = 500000;

std::string nestedArrays(std::size_t depth)
{
    return std::string(depth, '[') + std::string(depth, ']');
}

std::string nestedCborArrays(std::size_t depth)
{
    constexpr char ARRAY_OF_ONE = '\x81';
    constexpr char NUMBER = '\x01';
    return std::string(depth, ARRAY_OF_ONE) + NUMBER;
}

bool isBadRequest(const Error &error)
{
    return error.kind() == ErrorKind::BadRequest;
}

} // namespace

BOOST_AUTO_TEST_CASE(textIsReadUpToTheDepth)
{
    BOOST_TEST(Schema::parseBoundedJson(R"({"a": [1, {"b": "c"}]})").dump() == R"({"a":[1,{"b":"c"}]})");
    BOOST_CHECK_NO_THROW(Schema::parseBoundedJson(nestedArrays(Schema::MAX_JSON_DEPTH)));
    BOOST_CHECK_EXCEPTION(Schema::parseBoundedJson(nestedArrays(Schema::MAX_JSON_DEPTH + 1)), Error, isBadRequest);
    BOOST_CHECK_EXCEPTION(Schema::parseBoundedJson(nestedArrays(DEEP)), Error, isBadRequest);
    BOOST_CHECK_EXCEPTION(Schema::parseBoundedJson("{"), Error, isBadRequest);
}

BOOST_AUTO_TEST_CASE(siblingsDoNotAddToTheDepth)
{
    std::string text = "[";
    for (int sibling = 0; sibling < 2 * Schema::MAX_JSON_DEPTH; ++sibling) {
        text += "[],{},";
    }
    BOOST_CHECK_NO_THROW(Schema::parseBoundedJson(text + "0]"));
}

BOOST_AUTO_TEST_CASE(cborIsReadUpToTheDepth)
{
    BOOST_CHECK_NO_THROW(Schema::parseBoundedCbor(nestedCborArrays(Schema::MAX_JSON_DEPTH)));
    BOOST_CHECK_EXCEPTION(Schema::parseBoundedCbor(nestedCborArrays(Schema::MAX_JSON_DEPTH + 1)), Error, isBadRequest);
    BOOST_CHECK_EXCEPTION(Schema::parseBoundedCbor(nestedCborArrays(DEEP)), Error, isBadRequest);
}

BOOST_AUTO_TEST_CASE(aDeeplyNestedPeerMessageIsRefused)
{
    BOOST_CHECK_EXCEPTION(Schema::decode(nestedCborArrays(DEEP)), Error, isBadRequest);
}
