#include <common/common.h>
#include <schema/schema.h>

#include <cstdint>
#include <exception>

using namespace CassiaRelay;

// A decoded message must not change when it is encoded and decoded again.
// NOLINTNEXTLINE(readability-identifier-naming): the name that libFuzzer calls.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string_view bytes(reinterpret_cast<const char *>(data), size);
    std::optional<Schema::PeerMessage> message;
    try {
        message = Schema::decode(bytes);
    } catch (const Error &) {
        return 0;
    }
    if (!message) {
        return 0;
    }
    const std::string encoded = Schema::encode(*message);
    const std::optional<Schema::PeerMessage> again = Schema::decode(encoded);
    if (!again || Schema::encode(*again) != encoded) {
        std::terminate();
    }
    return 0;
}
