#include "adminclient.h"
#include "command.h"

#include <iostream>

namespace {

using namespace CassiaRelay;

Tool::AdminReader connect(const Tool::Arguments &arguments)
{
    const Tool::AdminClient client(Settings::loadProcessSettings(arguments.settingsFile).operators);
    return [client](const std::string &path) { return client.read(path); };
}

} // namespace

int main(int argc, char **argv)
{
    try {
        return static_cast<int>(Tool::runCommandLine({ argv + 1, argv + argc }, connect, std::cout, std::cerr));
    } catch (const std::exception &error) {
        std::cerr << "cassiarelay: " << error.what() << "; the daemon and this program may be of different releases\n";
        return static_cast<int>(Tool::ExitCode::Unreachable);
    }
}
