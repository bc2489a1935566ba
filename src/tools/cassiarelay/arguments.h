#pragma once

#include <boost/program_options.hpp>

#include <optional>
#include <string>
#include <vector>

namespace CassiaRelay::Tool {

/** Where the daemon's settings are when --settings is not given. */
inline constexpr const char *DEFAULT_SETTINGS_FILE = "/etc/cassiarelay/cassiarelayd.json";

/** A parsed command line. */
struct Arguments {
    std::vector<std::string> words; ///< command and operands
    bool json = false;
    bool help = false;
    std::string settingsFile = DEFAULT_SETTINGS_FILE;
    std::optional<std::string> target;
    std::optional<std::string> pool;
    std::optional<std::string> domain;
    std::optional<std::string> organisation;
    std::optional<std::string> pipeline;
    std::optional<std::string> targetsFile;
    std::optional<std::string> configFile;
    std::optional<std::string> reason;
};

/** @throws ToolError (Usage) */
Arguments parseArguments(const std::vector<std::string> &commandLine);

/** Every option with its description. */
boost::program_options::options_description optionsDescription();

} // namespace CassiaRelay::Tool
