#include "boundedjson.h"

#include <common/common.h>

namespace CassiaRelay::Schema {

using nlohmann::json;

namespace {

// Follows the nesting of a document and stops the parser when it is too deep; keeps no values.
class DepthCheck : public nlohmann::json_sax<json>
{
public:
    bool null() override
    {
        return true;
    }
    bool boolean(bool /*value*/) override
    {
        return true;
    }
    bool number_integer(number_integer_t /*value*/) override
    {
        return true;
    }
    bool number_unsigned(number_unsigned_t /*value*/) override
    {
        return true;
    }
    bool number_float(number_float_t /*value*/, const string_t & /*text*/) override
    {
        return true;
    }
    bool string(string_t & /*value*/) override
    {
        return true;
    }
    bool binary(binary_t & /*value*/) override
    {
        return true;
    }
    bool key(string_t & /*value*/) override
    {
        return true;
    }
    bool start_object(std::size_t /*elements*/) override
    {
        return enter();
    }
    bool end_object() override
    {
        return leave();
    }
    bool start_array(std::size_t /*elements*/) override
    {
        return enter();
    }
    bool end_array() override
    {
        return leave();
    }
    bool parse_error(std::size_t /*position*/, const std::string & /*token*/, const nlohmann::detail::exception &error) override
    {
        throw Error(ErrorKind::BadRequest, error.what());
    }

private:
    bool enter()
    {
        if (++m_depth > MAX_JSON_DEPTH) {
            throw Error(ErrorKind::BadRequest, "nested deeper than " + std::to_string(MAX_JSON_DEPTH) + " levels");
        }
        return true;
    }
    bool leave()
    {
        --m_depth;
        return true;
    }

    int m_depth = 0;
};

// The library reads nested CBOR and writes nested JSON by recursion, which overflows the stack; so the depth is checked first.
void checkDepth(std::string_view input, json::input_format_t format)
{
    DepthCheck check;
    json::sax_parse(input, &check, format);
}

} // namespace

json parseBoundedJson(std::string_view text)
{
    checkDepth(text, json::input_format_t::json);
    return json::parse(text);
}

json parseBoundedCbor(std::string_view bytes)
{
    checkDepth(bytes, json::input_format_t::cbor);
    return json::from_cbor(bytes);
}

std::string toJsonText(const json &document)
{
    return document.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string toCbor(const json &document)
{
    std::string bytes;
    json::to_cbor(document, bytes);
    return bytes;
}

} // namespace CassiaRelay::Schema
