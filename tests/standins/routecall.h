#pragma once

#include <net/net.h>

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace CassiaRelay::StandIns {

/** What the header of a routed request tells a target of the users. */
struct RouteCall {
    std::string id;
    std::string expectedInstance; ///< empty: any
    std::string organisation;
    std::optional<std::chrono::milliseconds> timeLeft;
    std::vector<std::string> inputs; ///< handles of the results that the request needs
    bool hasInputs = false;
    int piecesWanted = 0; ///< over all stages
    int lastEvent = 0;    ///< the caller has the stream up to here
};

/** What a target tells of itself with each answer. */
struct TargetLoad {
    std::size_t running = 0;
    std::size_t waiting = 0;
    int slots = 0;
    std::optional<double> rateLimit;                     ///< requests per second that it accepts from all daemons together
    bool isLeaving = false;                              ///< it says so in its answers
    std::optional<std::chrono::milliseconds> retryAfter; ///< time for which it wants nothing, in refusals
    std::optional<int> maxRefusals;                      ///< in a second; with more it falls over
};

/** Path of a call for pieces. */
bool isStageCall(const std::string &path);
/** Path of a call that frees results. */
bool isStageFree(const std::string &path);

RouteCall readRouteCall(const Net::HttpRequest &request);
/** Fields of an answer by a run. */
std::vector<HttpField> runFields(const RouteCall &call, const std::string &instance, const TargetLoad &load);
/** Fields of an answer that says that nothing was run. */
std::vector<HttpField> notRunFields(const RouteCall &call, const TargetLoad &load);

} // namespace CassiaRelay::StandIns
