#include "simulatedfleet.h"

namespace CassiaRelay::Gateway {

namespace {

constexpr std::chrono::milliseconds STEP { 10 };
constexpr std::chrono::milliseconds GREETING_INTERVAL { 300 };
constexpr int FIRST_PORT = 1000;
constexpr int SEEDS = 3;

Endpoint endpointOf(int vm)
{
    return { "10.0.0.1", static_cast<std::uint16_t>(FIRST_PORT + vm) };
}

} // namespace

SimulatedFleet::SimulatedFleet(int vmCount, GreetingHandler onGreeting, MonotonicTime now, ChangeHandler onChange)
    : m_onGreeting(std::move(onGreeting))
    , m_onChange(std::move(onChange))
    , m_vms(static_cast<std::size_t>(vmCount))
{
    for (int vm = 0; vm < vmCount; ++vm) {
        start(vm);
    }
    for (int from = 0; from < vmCount; ++from) {
        for (int to = 0; to < vmCount; ++to) {
            if (from != to) {
                members(to).onGreeting({ vmId(from), endpointOf(from), 1, false }, {}, now);
            }
        }
    }
}

int SimulatedFleet::size() const
{
    return static_cast<int>(m_vms.size());
}

Members &SimulatedFleet::members(int vm)
{
    return *m_vms.at(static_cast<std::size_t>(vm)).members;
}

bool SimulatedFleet::isAlive(int vm) const
{
    return m_vms.at(static_cast<std::size_t>(vm)).isAlive;
}

bool SimulatedFleet::isRunning(int vm) const
{
    return isAlive(vm) && !m_vms.at(static_cast<std::size_t>(vm)).isFrozen;
}

bool SimulatedFleet::reaches(int from, int to) const
{
    if (!isAlive(from) || !isRunning(to)) {
        return false;
    }
    const auto senderPart = m_partOfVm.find(from);
    const auto receiverPart = m_partOfVm.find(to);
    return senderPart == m_partOfVm.end() || receiverPart == m_partOfVm.end() || senderPart->second == receiverPart->second;
}

// Each daemon has a phase of its own.
void SimulatedFleet::exchangeGreetings(MonotonicTime now)
{
    for (int from = 0; from < size(); ++from) {
        const auto phase = (now - Samples::START) / STEP + from;
        if (!isRunning(from) || phase % (GREETING_INTERVAL / STEP) != 0) {
            continue;
        }
        if (!members(from).expire(now).empty() && m_onChange) {
            m_onChange(from);
        }
        for (const Endpoint &endpoint : members(from).endpointsToGreet(now)) {
            const int to = endpoint.port - FIRST_PORT;
            if (to < size() && to != from && reaches(from, to)) {
                greet(from, to, now);
                greet(to, from, now);
            }
        }
    }
}

void SimulatedFleet::kill(int vm)
{
    m_vms.at(static_cast<std::size_t>(vm)).isAlive = false;
}

void SimulatedFleet::start(int vm)
{
    if (vm >= size()) {
        m_vms.resize(static_cast<std::size_t>(vm) + 1);
    }
    Vm &started = m_vms[static_cast<std::size_t>(vm)];
    started.isAlive = true;
    started.isFrozen = false;
    started.members = std::make_unique<Members>(vmId(vm), endpointOf(vm));
    std::vector<Endpoint> seeds;
    for (int seed = 0; seed < std::min(SEEDS, size()); ++seed) {
        seeds.push_back(endpointOf(seed));
    }
    started.members->setSeeds(seeds);
}

void SimulatedFleet::freeze(int vm)
{
    m_vms.at(static_cast<std::size_t>(vm)).isFrozen = true;
}

void SimulatedFleet::resume(int vm)
{
    m_vms.at(static_cast<std::size_t>(vm)).isFrozen = false;
}

void SimulatedFleet::split(std::map<int, int> partOfVm)
{
    m_partOfVm = std::move(partOfVm);
}

VmId SimulatedFleet::vmId(int vm)
{
    return VmId("vm-" + std::to_string(vm));
}

int SimulatedFleet::vmOf(const VmId &id)
{
    return std::stoi(id.value().substr(vmId(0).value().size() - 1));
}

void SimulatedFleet::greet(int from, int to, MonotonicTime now)
{
    const std::vector<Endpoint> known = members(from).daemonsToName(endpointOf(to));
    m_onGreeting(from, to);
    Member sender { vmId(from), endpointOf(from), 1, false };
    sender.knownDaemonsHash = members(from).knownDaemonsHash();
    sender.blockedServices = members(from).blockedServices();
    if (members(to).onGreeting(sender, known, now) && m_onChange) {
        m_onChange(to);
    }
}

} // namespace CassiaRelay::Gateway
