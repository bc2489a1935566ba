#include "testcell.h"

#include <nlohmann/json.hpp>

namespace CassiaRelay::Fleet {

namespace {

constexpr std::chrono::milliseconds TICK { 50 };

} // namespace

FleetNode &TestCell::add(const std::string &vm, GrantRules rules, const FleetNode::DocumentCheck &check)
{
    m_nodes[vm] = std::make_unique<FleetNode>(VmId(vm), Incarnation(++m_lastIncarnation), check, rules);
    perform(vm, m_nodes[vm]->tick(m_now, wall()));
    return *m_nodes[vm];
}

void TestCell::remove(const std::string &vm)
{
    m_nodes.erase(vm);
}

FleetNode &TestCell::node(const std::string &vm)
{
    return *m_nodes.at(vm);
}

void TestCell::readList(const std::string &vm, std::int64_t revision, const std::set<std::string> &members)
{
    nlohmann::json vms = nlohmann::json::array();
    for (const std::string &member : members) {
        vms.push_back({ { "vm", member }, { "address", "127.0.0.1" }, { "peerPort", 1 }, { "region", "r" }, { "failureDomain", "d" } });
    }
    perform(vm, node(vm).onDocument({ std::string(Schema::VM_LIST_KEY), revision, nlohmann::json { { "vms", vms } }.dump() }, m_now));
}

void TestCell::partition(const std::set<std::string> &side)
{
    m_partitioned = side;
}

void TestCell::heal()
{
    m_partitioned.clear();
}

void TestCell::run(std::chrono::milliseconds time)
{
    const MonotonicTime end = m_now + time;
    while (m_now < end) {
        deliver();
        m_now += TICK;
        for (const auto &[vm, fleet] : m_nodes) {
            perform(vm, fleet->tick(m_now, wall()));
        }
    }
    deliver();
}

void TestCell::perform(const std::string &vm, const Outputs &outputs)
{
    for (const Output &output : outputs) {
        std::visit(Overloaded {
                       [&](const SendMessage &send) {
                           m_sentBytes[vm] += Schema::encode(send.message).size();
                           count(send.message);
                           m_messages.push_back({ VmId(vm), send.to, send.message });
                       },
                       [&](const GrantDecided &decided) { m_decisions[decided.claim.value()] = decided.decision; },
                       [&](const QuarantineChanged &changed) { m_quarantine[vm][changed.fingerprint] = changed.state; },
                       [&](const DemandChanged &changed) { m_demand[vm] = changed; },
                       [](const auto &) {},
                   },
                   output);
    }
}

ClaimId TestCell::claim(const std::string &vm, const std::string &key, std::uint64_t body)
{
    const ClaimId claim(++m_lastClaim);
    const GrantKey grant { OrganisationId("agency"), key, StageName("book") };
    perform(vm, node(vm).claimGrant({ claim, grant, Fingerprint(body), m_now + std::chrono::seconds(30) }, m_now));
    return claim;
}

void TestCell::finish(const std::string &vm, ClaimId claim, GrantEnd end, const std::string &result)
{
    perform(vm, node(vm).finishGrant(claim, end, result, m_now));
}

const GrantDecision *TestCell::decision(ClaimId claim) const
{
    const auto found = m_decisions.find(claim.value());
    return found == m_decisions.end() ? nullptr : &found->second;
}

bool TestCell::isHeld(ClaimId claim) const
{
    return decision(claim) != nullptr && std::holds_alternative<GrantHeld>(*decision(claim));
}

const std::string *TestCell::replay(ClaimId claim) const
{
    const auto *replayed = decision(claim) == nullptr ? nullptr : std::get_if<GrantReplayed>(decision(claim));
    return replayed == nullptr ? nullptr : &replayed->result;
}

const Refusal *TestCell::refusal(ClaimId claim) const
{
    const auto *refused = decision(claim) == nullptr ? nullptr : std::get_if<GrantRefused>(decision(claim));
    return refused == nullptr ? nullptr : &refused->refusal;
}

MonotonicTime TestCell::now() const
{
    return m_now;
}

WallTime TestCell::wall() const
{
    return WallTime(std::chrono::hours(24 * 365 * 50) + std::chrono::duration_cast<WallTime::duration>(m_now.time_since_epoch()));
}

std::map<Fingerprint, QuarantineState> &TestCell::quarantine(const std::string &vm)
{
    return m_quarantine[vm];
}

const DemandChanged &TestCell::demand(const std::string &vm)
{
    return m_demand[vm];
}

std::size_t TestCell::sentBytes(const std::string &vm) const
{
    return m_sentBytes.at(vm);
}

const std::map<std::string, std::size_t> &TestCell::sentKinds() const
{
    return m_sentKinds;
}

std::size_t TestCell::grantBytes() const
{
    return m_grantBytes;
}

void TestCell::count(const Schema::PeerMessage &message)
{
    const std::string bytes = Schema::encode(message);
    const std::string kind = nlohmann::json::from_cbor(bytes).begin().key();
    if (kind.rfind("grant", 0) == 0) {
        ++m_sentKinds[kind];
        m_grantBytes += bytes.size();
    }
}

void TestCell::deliver()
{
    while (!m_messages.empty()) {
        const Envelope envelope = m_messages.front();
        m_messages.pop_front();
        const bool separated = m_partitioned.count(envelope.from.value()) != m_partitioned.count(envelope.to.value());
        const auto to = m_nodes.find(envelope.to.value());
        if (!separated && to != m_nodes.end()) {
            perform(to->first, to->second->onMessage(envelope.from, envelope.message, m_now));
        }
    }
}

} // namespace CassiaRelay::Fleet
