#pragma once

#include "simulatedfleet.h"

#include <map>
#include <random>

namespace CassiaRelay::Gateway {

/** How a crashed target comes back. */
enum class TargetReturn {
    Late,   ///< with another id at another address, after seconds in which it refuses connections
    AtOnce, ///< with another id at the same address; the store tells it late
    SameId, ///< with the same id at the same address; the store tells it late
};

/** Requests that crash the targets that run them, beside sound ones, at daemons that share the targets. Replays them in virtual time. */
class CrashSimulation
{
public:
    CrashSimulation(int vmCount, int targetCount, std::uint64_t seed = 1);

    void setReturns(std::vector<TargetReturn> ways);
    /** @param perSecond sound requests of all callers */
    void setSoundRate(double perSecond);
    /** Bad requests have these prompt parts and one of their own, and no two are alike; by default they are all the same request. */
    void setBadParts(std::vector<std::string> parts);
    /** The part that all sound requests begin with; they share one more part with every fourth one. */
    static constexpr const char *SHARED_PART = "shared";
    /** Sends a bad request at a random daemon, again and again. */
    void startBadRequests(Duration minPause, Duration maxPause);
    void stopBadRequests();
    /** Crashes targets that ran nothing bad. */
    void crashSome(int count);
    /** The connections of all daemons to all targets are reset. */
    void resetConnections();
    void run(Duration duration);

    SimulatedFleet &fleet();
    void kill(int vm);
    void start(int vm);
    /** Arrivals that this daemon sends do not count until it has been undisturbed for 3 s. */
    void disturb(int vm);
    /** All sound requests have the same body from now on. */
    void makeSoundRequestsAlike();

    int crashes() const;
    /** Bad requests that undisturbed daemons sent to targets later than 3 s after so many crashes by them. */
    int lateArrivals(std::size_t crashes) const;
    /** Share of the sound requests sent since then that got a response. */
    double soundBegun(MonotonicTime since) const;
    MonotonicTime now() const;

private:
    struct Vm;
    struct Job;
    using JobPointer = std::shared_ptr<Job>;
    /** A request that a target runs. */
    struct Run {
        bool hasBegun = false;   ///< the head of the response has been sent
        bool hasOpenEnd = false; ///< the response has neither a length nor chunks
    };
    /** An address at which one target after the other listens. */
    struct Slot {
        TargetRecord record;
        int incarnation = 0;
        bool isUp = true;
        std::map<std::pair<JobPointer, AttemptNumber>, Run> running;
    };

    void schedule(Duration delay, std::function<void()> event);
    /** Delivers to the daemon of the job, later if it is frozen, not at all if it was killed. */
    void deliver(const JobPointer &job, Duration delay, std::function<RelayActions(RelayMachine &)> event);
    void sendSound();
    void sendBad();
    void send(bool isBad, const std::string &body, const std::vector<std::string> &parts);
    void perform(const JobPointer &job, const RelayActions &actions);
    void arrive(const JobPointer &job, const SendRequest &action);
    void begin(const JobPointer &job, AttemptNumber attempt, std::size_t slot, int incarnation);
    void end(const JobPointer &job, AttemptNumber attempt, std::size_t slot, int incarnation);
    void crash(std::size_t slot);
    /** The target closes the connection before the response is complete. */
    void breakOff(const JobPointer &job, AttemptNumber attempt, Run run);
    void publish(std::size_t slot, const TargetRecord &gone);
    std::shared_ptr<Vm> makeVm(int vm);

    MonotonicTime m_now = Samples::START;
    std::multimap<MonotonicTime, std::function<void()>> m_events;
    std::mt19937_64 m_random;
    std::vector<TargetReturn> m_returns { TargetReturn::Late };
    std::vector<Slot> m_slots;
    std::vector<std::shared_ptr<Vm>> m_vms;
    std::map<int, MonotonicTime> m_disturbedAt; ///< by daemon
    SimulatedFleet m_fleet;
    RouteTablePointer m_table;
    double m_soundRate = 60;
    Duration m_minPause {};
    Duration m_maxPause {};
    std::vector<std::string> m_badParts;
    bool m_sendsBad = false;
    bool m_isSoundAlike = false;
    int m_numbers = 0;
    std::vector<MonotonicTime> m_crashes;       ///< by bad requests
    std::vector<MonotonicTime> m_arrivals;      ///< of bad requests
    std::multimap<MonotonicTime, bool> m_sound; ///< when it was sent, whether it began
};

} // namespace CassiaRelay::Gateway
