#pragma once

#include "arguments.h"
#include "exitcode.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <iosfwd>
#include <string>
#include <vector>

namespace CassiaRelay::Tool {

/** Reads a path below /admin/v1/ of the daemon. */
using AdminReader = std::function<nlohmann::json(const std::string &path)>;

/** What a command works with. */
struct CommandContext {
    const Arguments &arguments;
    const std::vector<std::string> &operands;
    const AdminReader &read;
    std::ostream &output;
    std::ostream &notes; ///< for people: never part of what a script reads
};

/** One command of the command line. */
struct Command {
    std::string name;                  ///< one or two words
    std::vector<std::string> operands; ///< names, for help
    std::string summary;
    std::string example;
    std::function<ExitCode(const CommandContext &)> run;
    std::string options {}; ///< those that it needs or takes, for help
};

/** Commands that ask a daemon for its state. */
std::vector<Command> stateCommands();
/** config check and config explain. */
std::vector<Command> configCommands();
/** domain out and domain in. */
std::vector<Command> domainCommands();
/** Every command, in the order of the help. */
const std::vector<Command> &commands();

/** Help on all commands. */
std::string helpText();
/** Help on one command. */
std::string helpText(const Command &command);

/**
 * Finds the command and runs it. Errors are written to notes with their remedy.
 * @return the exit code
 */
ExitCode runCommandLine(const std::vector<std::string> &commandLine,
                        const std::function<AdminReader(const Arguments &)> &connect,
                        std::ostream &output,
                        std::ostream &notes);

} // namespace CassiaRelay::Tool
