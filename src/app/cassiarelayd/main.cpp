#include "daemon.h"

#include "../gateway/gatewaydaemon.h"

#include <boost/program_options.hpp>
#include <net/net.h>
#include <platform/platform.h>
#include <spdlog/spdlog.h>

#include <fcntl.h>
#include <unistd.h>

#include <csignal>
#include <iostream>
#include <memory>
#include <thread>

namespace {

namespace options = boost::program_options;

constexpr int EXIT_BAD_SETTINGS = 2;
constexpr int EXIT_BAD_USAGE = 64;
constexpr std::chrono::seconds MAX_PORT_WAIT { 75 }; // connections that were closed hold their ports for 60 s
constexpr std::chrono::milliseconds PORT_RETRY_DELAY { 100 };

// The log may go to a pipe whose reader has ended, which must not end the daemon. A stream that is closed at the start would give its
// number to the first socket, and the log would be written into that.
void guardStandardStreams()
{
    std::signal(SIGPIPE, SIG_IGN);
    for (const int stream : { STDIN_FILENO, STDOUT_FILENO, STDERR_FILENO }) {
        if (::fcntl(stream, F_GETFD) == -1) {
            ::open("/dev/null", O_RDWR);
        }
    }
}

// The process before this one may not be quite gone, and an outgoing connection of any process may have got the port meanwhile.
template<typename Daemon, typename... Arguments>
std::unique_ptr<Daemon> startWhenPortsAreFree(const Arguments &...arguments)
{
    const auto end = std::chrono::steady_clock::now() + MAX_PORT_WAIT;
    std::string reported;
    while (true) {
        try {
            return std::make_unique<Daemon>(arguments...);
        } catch (const CassiaRelay::Net::AddressInUse &error) {
            if (std::chrono::steady_clock::now() >= end) {
                throw;
            }
            if (std::exchange(reported, error.what()) != error.what()) {
                std::cerr << "cassiarelayd: " << error.what() << "; trying again for " << MAX_PORT_WAIT.count() << " s\n";
            }
        }
        std::this_thread::sleep_for(PORT_RETRY_DELAY);
    }
}

void setUpLog(const CassiaRelay::Schema::LogSettings &log)
{
    using CassiaRelay::Schema::LogFormat;
    using CassiaRelay::Schema::LogLevel;
    if (log.format.value_or(LogFormat::Text) == LogFormat::Json) {
        spdlog::set_pattern(R"({"time":"%Y-%m-%dT%H:%M:%S.%e%z","level":"%l","message":"%v"})");
    }
    switch (log.level.value_or(LogLevel::Info)) {
    case LogLevel::Debug:
        spdlog::set_level(spdlog::level::debug);
        break;
    case LogLevel::Info:
        spdlog::set_level(spdlog::level::info);
        break;
    case LogLevel::Warning:
        spdlog::set_level(spdlog::level::warn);
        break;
    case LogLevel::Error:
        spdlog::set_level(spdlog::level::err);
        break;
    }
}

int runGateway(const options::variables_map &arguments)
{
    const auto file = arguments["settings"].as<std::string>();
    const auto settings = CassiaRelay::Settings::loadGatewaySettings(file);
    if (arguments.count("check") > 0) {
        std::cout << "settings are valid\n";
        return EXIT_SUCCESS;
    }
    const CassiaRelay::Platform::Adapter adapter;
    startWhenPortsAreFree<CassiaRelay::GatewayDaemon::GatewayDaemon>(file, settings, adapter)->run();
    return EXIT_SUCCESS;
}

int runDaemon(const options::variables_map &arguments)
{
    const auto settings = CassiaRelay::Settings::loadProcessSettings(arguments["settings"].as<std::string>());
    if (arguments.count("check") > 0) {
        std::cout << "settings are valid\n";
        return EXIT_SUCCESS;
    }
    setUpLog(settings.log);
    startWhenPortsAreFree<CassiaRelay::Daemon::Daemon>(settings)->run();
    return EXIT_SUCCESS;
}

} // namespace

int main(int argc, char **argv)
{
    guardStandardStreams();
    options::options_description description("cassiarelayd --settings FILE [--gateway] [--check]");
    description.add_options()("settings", options::value<std::string>(), "settings file of this daemon")(
        "check", "check the settings and exit")("gateway", "serve the routes of the users' platform")("help", "show this help");
    options::variables_map arguments;
    try {
        options::store(options::parse_command_line(argc, argv, description), arguments);
    } catch (const options::error &error) {
        std::cerr << "cassiarelayd: " << error.what() << "; see cassiarelayd --help\n";
        return EXIT_BAD_USAGE;
    }
    if (arguments.count("help") > 0 || arguments.count("settings") == 0) {
        std::cout << description;
        return arguments.count("help") > 0 ? EXIT_SUCCESS : EXIT_BAD_USAGE;
    }
    try {
        return arguments.count("gateway") > 0 ? runGateway(arguments) : runDaemon(arguments);
    } catch (const CassiaRelay::Error &error) {
        std::cerr << "cassiarelayd: " << error.what() << "; " << error.remedy() << "\n";
        return EXIT_BAD_SETTINGS;
    } catch (const std::exception &error) {
        std::cerr << "cassiarelayd: " << error.what() << "\n";
        return EXIT_FAILURE;
    }
}
