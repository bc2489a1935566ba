#include "adminclient.h"

#include <boost/program_options.hpp>

#include <iostream>

namespace {

namespace options = boost::program_options;

constexpr int EXIT_UNREACHABLE = 1;
constexpr int EXIT_BAD_USAGE = 64;

int runCommand(const std::string &command, const std::string &settingsFile)
{
    if (command != "status" && command != "targets") {
        std::cerr << "cassiarelay: unknown command '" << command << "'; see cassiarelay --help\n";
        return EXIT_BAD_USAGE;
    }
    const CassiaRelay::Tool::AdminClient client(CassiaRelay::Settings::loadProcessSettings(settingsFile).operators);
    std::cout << client.read(command).dump(2) << "\n";
    return EXIT_SUCCESS;
}

} // namespace

int main(int argc, char **argv)
{
    options::options_description description("cassiarelay --settings FILE status|targets");
    description.add_options()("settings", options::value<std::string>(), "settings file of the daemon to ask")(
        "command", options::value<std::string>(), "what to show")("help", "show this help");
    options::positional_options_description positional;
    positional.add("command", 1);
    options::variables_map arguments;
    try {
        options::store(options::command_line_parser(argc, argv).options(description).positional(positional).run(), arguments);
    } catch (const options::error &error) {
        std::cerr << "cassiarelay: " << error.what() << "; see cassiarelay --help\n";
        return EXIT_BAD_USAGE;
    }
    if (arguments.count("help") > 0 || arguments.count("settings") == 0 || arguments.count("command") == 0) {
        std::cout << description;
        return arguments.count("help") > 0 ? EXIT_SUCCESS : EXIT_BAD_USAGE;
    }
    try {
        return runCommand(arguments["command"].as<std::string>(), arguments["settings"].as<std::string>());
    } catch (const CassiaRelay::Error &error) {
        std::cerr << "cassiarelay: " << error.what() << "; " << error.remedy() << "\n";
        return EXIT_UNREACHABLE;
    }
}
