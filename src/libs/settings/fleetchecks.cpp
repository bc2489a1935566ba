#include "fleetchecks.h"

#include <algorithm>
#include <set>

namespace CassiaRelay::Settings {

namespace {

std::string at(const std::string &list, std::size_t index)
{
    return "/" + list + "/" + std::to_string(index);
}

template<typename Entries>
void checkUniqueNames(const Entries &entries, const std::string &list, std::vector<Problem> &problems)
{
    std::set<std::string> names;
    for (std::size_t index = 0; index < entries.size(); ++index) {
        if (!names.insert(entries[index].name).second) {
            problems.push_back({ at(list, index) + "/name", "'" + entries[index].name + "' stands twice", "give each entry its own name" });
        }
    }
}

template<typename Entries>
bool hasName(const Entries &entries, const std::string &name)
{
    return std::any_of(entries.begin(), entries.end(), [&name](const auto &entry) { return entry.name == name; });
}

void checkPipelines(const Schema::FleetConfiguration &configuration, std::vector<Problem> &problems)
{
    checkUniqueNames(configuration.pipelines, "pipelines", problems);
    for (std::size_t index = 0; index < configuration.pipelines.size(); ++index) {
        checkUniqueNames(configuration.pipelines[index].stages, "pipelines/" + std::to_string(index) + "/stages", problems);
    }
}

void checkTokens(const Schema::FleetConfiguration &configuration, std::vector<Problem> &problems)
{
    std::set<std::string> tokens;
    for (std::size_t index = 0; index < configuration.organisations.size(); ++index) {
        for (const std::string &token : configuration.organisations[index].tokenSha256) {
            if (!tokens.insert(token).second) {
                problems.push_back(
                    { at("organisations", index) + "/tokenSha256", "a token stands twice", "give each organisation its own tokens" });
            }
        }
    }
}

// The values that an exception may set depend on what it matches.
void checkValues(const Schema::SettingException &exception, const std::string &path, std::vector<Problem> &problems)
{
    const Schema::ExceptionValues &values = exception.set;
    const bool matchesOrganisation = exception.match.organisation.has_value();
    const bool matchesPipeline = exception.match.pipeline.has_value();
    const bool matchesTargets = !matchesOrganisation && !matchesPipeline;
    const bool setsTarget = values.out || values.concurrency || values.coldConcurrency;
    const bool setsOrganisation = values.requestsPerSecond || values.organisationConcurrency || values.weight;
    const bool setsPipeline = values.deadlineMs || values.priorityClass;
    if ((setsTarget && !matchesTargets) || (setsOrganisation && !matchesOrganisation) || (setsPipeline && !matchesPipeline)) {
        problems.push_back(
            { path + "/set",
              "sets a value that what it matches does not have",
              "set out, concurrency or coldConcurrency for targets, pools and domains; requestsPerSecond, organisationConcurrency or "
              "weight for organisations; deadlineMs or priorityClass for pipelines" });
    }
}

void checkMatch(const Schema::FleetConfiguration &configuration,
                const Schema::ExceptionMatch &match,
                const std::string &path,
                std::vector<Problem> &problems)
{
    if (match.organisation && !hasName(configuration.organisations, *match.organisation)) {
        problems.push_back(
            { path + "/match/organisation", "matches no organisation", "use a name from organisations, or remove the exception" });
    }
    if (match.pipeline && !hasName(configuration.pipelines, *match.pipeline)) {
        problems.push_back({ path + "/match/pipeline", "matches no pipeline", "use a name from pipelines, or remove the exception" });
    }
    const auto usesPool = [&match](const Schema::PipelineEntry &pipeline) {
        return std::any_of(pipeline.stages.begin(), pipeline.stages.end(), [&match](const Schema::StageEntry &stage) {
            return stage.pool == *match.pool;
        });
    };
    if (match.pool && std::none_of(configuration.pipelines.begin(), configuration.pipelines.end(), usesPool)) {
        problems.push_back({ path + "/match/pool", "matches no pool of any pipeline", "use a pool of a stage, or remove the exception" });
    }
}

} // namespace

std::vector<Problem> checkFleetConfiguration(const Schema::FleetConfiguration &configuration)
{
    std::vector<Problem> problems;
    checkUniqueNames(configuration.organisations, "organisations", problems);
    checkTokens(configuration, problems);
    checkPipelines(configuration, problems);
    if (!configuration.exceptions) {
        return problems;
    }
    for (std::size_t index = 0; index < configuration.exceptions->size(); ++index) {
        const Schema::SettingException &exception = (*configuration.exceptions)[index];
        checkMatch(configuration, exception.match, at("exceptions", index), problems);
        checkValues(exception, at("exceptions", index), problems);
    }
    return problems;
}

} // namespace CassiaRelay::Settings
