#include <settings/settings.h>

#include <cstdint>
#include <exception>

using namespace CassiaRelay;

namespace {

// Input is accepted, or refused with a list of problems. Any other exception, a crash or a hang is a failure.
template<typename Parse>
void expectAcceptedOrRefused(Parse parse)
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
        expectAcceptedOrRefused([&] { Settings::checkPublished({ std::string(key), 1, text }); });
    }
    expectAcceptedOrRefused([&] { Settings::parseProcessSettings(text, "input"); });
    return 0;
}
