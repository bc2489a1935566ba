#include <settings/settings.h>

#include <cstdint>
#include <exception>

using namespace CassiaRelay;

namespace {

// A document is accepted or refused with problems; any other exception, crash or hang is a failure.
template<typename Parse>
void acceptOrRefuse(Parse parse)
{
    try {
        parse();
    } catch (const Settings::SettingsError &error) {
        if (error.problems().empty()) {
            std::terminate();
        }
    }
}

} // namespace

// NOLINTNEXTLINE(readability-identifier-naming): the name that libFuzzer calls.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string text(reinterpret_cast<const char *>(data), size);
    for (const std::string_view key : { Schema::CONFIGURATION_KEY, Schema::VM_LIST_KEY, Schema::TARGET_LIST_KEY }) {
        acceptOrRefuse([&] { Settings::checkPublished({ std::string(key), 1, text }); });
    }
    acceptOrRefuse([&] { Settings::parseProcessSettings(text, "input"); });
    return 0;
}
