#pragma once

#include "samples.h"

#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace CassiaRelay::Gateway {

/** Daemons that greet each other in virtual time; they can be killed, frozen and cut off. */
class SimulatedFleet
{
public:
    /** Carries what a greeting holds besides the members. */
    using GreetingHandler = std::function<void(int from, int to)>;

    /** The members that a daemon knows have changed. */
    using ChangeHandler = std::function<void(int vm)>;

    /** The fleet has been running for long: all daemons know each other. */
    SimulatedFleet(int vmCount, GreetingHandler onGreeting, MonotonicTime now, ChangeHandler onChange = {});

    int size() const;
    Members &members(int vm);
    bool isAlive(int vm) const;
    /** Alive and not frozen. */
    bool isRunning(int vm) const;
    bool reaches(int from, int to) const;
    /** Lets the daemons whose turn it is greet others; call once a step of 10 ms. */
    void exchangeGreetings(MonotonicTime now);

    void kill(int vm);
    /** Starts a daemon that was killed, or one more. */
    void start(int vm);
    void freeze(int vm);
    void resume(int vm);
    /** Daemons in different parts can't reach each other; those in no part reach all. */
    void split(std::map<int, int> partOfVm);

    static VmId vmId(int vm);
    static int vmOf(const VmId &id);

private:
    struct Vm {
        std::unique_ptr<Members> members;
        bool isAlive = false;
        bool isFrozen = false;
    };

    void greet(int from, int to, MonotonicTime now);

    GreetingHandler m_onGreeting;
    ChangeHandler m_onChange;
    std::vector<Vm> m_vms;
    std::map<int, int> m_partOfVm;
};

} // namespace CassiaRelay::Gateway
