#include "command.h"

#include "suggestion.h"

#include <settings/settings.h>

#include <algorithm>
#include <ostream>
#include <sstream>

namespace CassiaRelay::Tool {

namespace {

constexpr const char *PROGRAM = "cassiarelay";

std::string synopsis(const Command &command)
{
    std::string text = command.name;
    for (const std::string &operand : command.operands) {
        text += " " + operand;
    }
    return text;
}

std::vector<std::string> split(const std::string &text)
{
    std::istringstream stream(text);
    std::vector<std::string> words;
    std::string word;
    while (stream >> word) {
        words.push_back(word);
    }
    return words;
}

const Command *findCommand(const std::vector<std::string> &words)
{
    for (const Command &command : commands()) {
        const std::vector<std::string> name = split(command.name);
        if (name.size() <= words.size() && std::equal(name.begin(), name.end(), words.begin())) {
            return &command;
        }
    }
    return nullptr;
}

ToolError unknownCommand(const std::vector<std::string> &words)
{
    std::vector<std::string> names;
    for (const Command &command : commands()) {
        names.push_back(command.name);
    }
    std::string typed = words.front();
    if (words.size() > 1 && (words.front() == "config" || words.front() == "domain")) {
        typed += " " + words[1];
    }
    const std::optional<std::string> nearest = suggestion(typed, names);
    const std::string remedy = (nearest ? "did you mean '" + *nearest + "'? " : std::string()) + "see cassiarelay --help";
    return { ExitCode::Usage, "unknown command '" + typed + "'", remedy };
}

std::vector<std::string> operandsOf(const Command &command, const std::vector<std::string> &words)
{
    const auto nameLength = static_cast<std::ptrdiff_t>(split(command.name).size());
    std::vector<std::string> operands(words.begin() + nameLength, words.end());
    if (operands.size() != command.operands.size()) {
        throw ToolError(ExitCode::Usage,
                        "'" + command.name + "' takes " + std::to_string(command.operands.size()) + " operands, not "
                            + std::to_string(operands.size()),
                        "use: " + std::string(PROGRAM) + " " + synopsis(command));
    }
    return operands;
}

ExitCode runCommand(const Arguments &arguments,
                    const std::function<AdminReader(const Arguments &)> &connect,
                    std::ostream &output,
                    std::ostream &notes)
{
    if (arguments.words.empty()) {
        (arguments.help ? output : notes) << helpText();
        return arguments.help ? ExitCode::Ok : ExitCode::Usage;
    }
    const Command *command = findCommand(arguments.words);
    if (command == nullptr) {
        throw unknownCommand(arguments.words);
    }
    if (arguments.help) {
        output << helpText(*command);
        return ExitCode::Ok;
    }
    const std::vector<std::string> operands = operandsOf(*command, arguments.words);
    const AdminReader read = [&](const std::string &path) { return connect(arguments)(path); };
    return command->run({ arguments, operands, read, output, notes });
}

} // namespace

const std::vector<Command> &commands()
{
    static const std::vector<Command> COMMANDS = [] {
        std::vector<Command> all = stateCommands();
        for (const std::vector<Command> &group : { configCommands(), domainCommands() }) {
            all.insert(all.end(), group.begin(), group.end());
        }
        return all;
    }();
    return COMMANDS;
}

std::string helpText()
{
    constexpr std::size_t SUMMARY_COLUMN = 34;
    std::ostringstream text;
    text << "Usage: " << PROGRAM << " [--settings FILE] [--json] COMMAND ...\n\nCommands:\n";
    for (const Command &command : commands()) {
        std::string line = "  " + synopsis(command);
        line.resize(std::max(SUMMARY_COLUMN, line.size() + 1), ' ');
        text << line << command.summary << "\n";
    }
    text << "\n" << optionsDescription();
    text << "\nExit codes: 0 done, 1 daemon unreachable or failing, 2 invalid settings, 3 not found, 64 wrong usage.\n"
         << "Help with an example: " << PROGRAM << " COMMAND --help\n";
    return text.str();
}

std::string helpText(const Command &command)
{
    const std::string options = command.options.empty() ? "" : " " + command.options;
    return "Usage: " + std::string(PROGRAM) + " " + synopsis(command) + options + "\n\n" + command.summary + "\n\nExample:\n    "
        + command.example + "\n";
}

ExitCode runCommandLine(const std::vector<std::string> &commandLine,
                        const std::function<AdminReader(const Arguments &)> &connect,
                        std::ostream &output,
                        std::ostream &notes)
{
    try {
        return runCommand(parseArguments(commandLine), connect, output, notes);
    } catch (const ToolError &error) {
        notes << PROGRAM << ": " << error.what() << "; " << error.remedy() << "\n";
        return error.exitCode();
    } catch (const Settings::SettingsError &error) {
        notes << PROGRAM << ": " << error.what() << "\n";
        return ExitCode::InvalidSettings;
    } catch (const Error &error) {
        notes << PROGRAM << ": " << error.what() << "; " << error.remedy() << "\n";
        return error.kind() == ErrorKind::SettingsInvalid ? ExitCode::InvalidSettings : ExitCode::Unreachable;
    }
}

} // namespace CassiaRelay::Tool
