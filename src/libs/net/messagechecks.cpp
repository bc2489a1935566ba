#include "messagechecks.h"

#include <boost/algorithm/string.hpp>

#include <algorithm>

namespace CassiaRelay::Net {

namespace http = boost::beast::http;

namespace {

constexpr unsigned VERSION_1_1 = 11;
constexpr unsigned MIN_STATUS = 100;
constexpr unsigned MAX_STATUS = 599;
constexpr unsigned STATUS_SWITCHING_PROTOCOLS = 101;
constexpr char DELETE = 0x7f;

bool isControl(char character)
{
    return static_cast<unsigned char>(character) < ' ' || character == DELETE;
}

// The characters of a "token" (RFC 9110 5.6.2).
bool isToken(std::string_view text)
{
    constexpr std::string_view MARKS = "!#$%&'*+-.^_`|~";
    return !text.empty() && std::all_of(text.begin(), text.end(), [MARKS](char character) {
        return (character >= '0' && character <= '9') || (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z')
            || MARKS.find(character) != std::string_view::npos;
    });
}

bool isRequestTarget(std::string_view text)
{
    return !text.empty() && std::none_of(text.begin(), text.end(), [](char character) { return isControl(character) || character == ' '; });
}

bool isFieldValue(std::string_view text)
{
    return std::none_of(text.begin(), text.end(), [](char character) { return isControl(character) && character != '\t'; });
}

} // namespace

// Any other coding than a single "chunked" would have to be decoded before the body is passed on, and HTTP/1.0 knows none (RFC 9112 6.1).
std::optional<std::string> framingFlaw(const http::fields &fields, unsigned version)
{
    const std::size_t count = fields.count(http::field::transfer_encoding);
    if (count == 0) {
        return std::nullopt;
    }
    if (count > 1 || !boost::iequals(boost::trim_copy(std::string(fields[http::field::transfer_encoding])), "chunked")) {
        return "the transfer coding is not chunked";
    }
    if (version < VERSION_1_1) {
        return "HTTP/1.0 has no transfer codings";
    }
    if (fields.count(http::field::content_length) > 0) {
        return "there are a length and a transfer coding";
    }
    return std::nullopt;
}

std::optional<std::string> responseFlaw(unsigned status, const http::fields &fields, unsigned version)
{
    if (status < MIN_STATUS || status > MAX_STATUS) {
        return "there is no status " + std::to_string(status);
    }
    if (status == STATUS_SWITCHING_PROTOCOLS) {
        return "another protocol was not asked for";
    }
    return framingFlaw(fields, version);
}

std::optional<std::string> requestFlaw(const HttpCallRequest &request)
{
    if (!isToken(request.method)) {
        return "the method is not a token";
    }
    if (!isRequestTarget(request.path)) {
        return "the path has a blank or a control character";
    }
    for (const HttpField &field : request.fields) {
        if (!isToken(field.name)) {
            return "the name of a field is not a token";
        }
        if (!isFieldValue(field.value)) {
            return "field " + field.name + " has a control character";
        }
    }
    return std::nullopt;
}

} // namespace CassiaRelay::Net
