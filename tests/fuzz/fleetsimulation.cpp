#include "fleetsimulation.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdio>

namespace CassiaRelay::Fuzz {

namespace {

constexpr std::chrono::milliseconds TICK { 50 };
constexpr std::chrono::seconds RESEND_WINDOW { 30 };
constexpr std::chrono::seconds UNLIMITED_WINDOW = std::chrono::hours(1000);
/** Time for which callers re-send a key. Shorter than the resend window by at least the time that a claim may be pending. */
constexpr std::chrono::seconds CALLER_WINDOW { 24 };
constexpr std::chrono::seconds CLAIM_DEADLINE { 20 };
constexpr std::chrono::seconds RECOVERY_TIME { 45 };
/** A VM that is not on the list is stopped within this time. */
constexpr std::chrono::seconds STOP_TIME { 4 };
constexpr std::size_t MAX_IN_FLIGHT = 1000;
constexpr std::size_t DELIVERY_ROUNDS = 6;
constexpr std::size_t MAX_KEYS = 12;
constexpr std::size_t MAX_NODES = 12;

std::string uuidV7(WallTime wall, std::size_t number)
{
    const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(wall.time_since_epoch()).count();
    char text[37];
    std::snprintf(text,
                  sizeof text,
                  "%08llx-%04llx-7000-8000-%012zx",
                  static_cast<unsigned long long>(milliseconds >> 16),
                  static_cast<unsigned long long>(milliseconds & 0xffff),
                  number);
    return text;
}

} // namespace

FleetSimulation::FleetSimulation(std::size_t size, RemovedVms removed, Fleet::GrantRules rules)
    : m_removed(removed)
    , m_rules(rules)
{
    std::set<VmId> members;
    for (std::size_t index = 0; index < size; ++index) {
        const VmId vm("vm" + std::to_string(++m_lastVm));
        members.insert(vm);
        addNode(vm);
    }
    publish(members);
    for (const auto &node : m_nodes) {
        read(*node, 1);
    }
    if (removed == RemovedVms::KeepRunning) {
        for (const auto &node : m_nodes) {
            node->fleet->setResendWindow(std::chrono::seconds(1));
        }
    }
    advance(RESEND_WINDOW + std::chrono::seconds(2));
    if (removed == RemovedVms::KeepRunning) {
        for (const auto &node : m_nodes) {
            node->fleet->setResendWindow(UNLIMITED_WINDOW);
        }
    }
}

void FleetSimulation::perform(const Step &step)
{
    switch (step.action) {
    case Action::Deliver:
        if (!m_inFlight.empty()) {
            deliver(step.first % m_inFlight.size(), false);
        }
        break;
    case Action::DeliverMany:
        for (unsigned count = 0; count < step.first % 40 && !m_inFlight.empty(); ++count) {
            deliver((step.second * count) % m_inFlight.size(), false);
        }
        break;
    case Action::Drop:
        if (!m_inFlight.empty()) {
            m_inFlight.erase(m_inFlight.begin() + step.first % m_inFlight.size());
        }
        break;
    case Action::Duplicate:
        if (!m_inFlight.empty()) {
            deliver(step.first % m_inFlight.size(), true);
        }
        break;
    case Action::Tick:
        tickAll();
        break;
    case Action::Advance:
        advance(std::chrono::milliseconds(step.first % 20 == 0 ? step.second % 40000 : step.second % 1500));
        break;
    case Action::Claim:
        if (m_keys.size() < MAX_KEYS) {
            claim(pickNode(step.first), newKey(step.second % 2 == 0));
        }
        break;
    case Action::Resend:
        if (!m_keys.empty()) {
            claim(pickNode(step.first), step.second % m_keys.size());
        }
        break;
    case Action::Run:
    case Action::Finish:
    case Action::Abandon:
        if (!m_holders.empty()) {
            runHolder(
                m_holders[step.first % m_holders.size()], step.action != Action::Run, step.action == Action::Abandon ? 2 : step.second);
        }
        break;
    case Action::Restart:
        restart(pickNode(step.first));
        break;
    case Action::ChangeList:
        changeList(step);
        break;
    case Action::ReadList: {
        auto list = m_lists.rbegin();
        std::advance(list, std::min<std::size_t>(step.second % 3, m_lists.size() - 1));
        read(pickNode(step.first), list->first);
        break;
    }
    case Action::Pause:
        pickNode(step.first).paused = true;
        break;
    case Action::Resume:
        pickNode(step.first).paused = false;
        break;
    case Action::Partition:
        pickNode(step.first).side = step.second % 2;
        break;
    case Action::Heal:
        for (const auto &node : m_nodes) {
            node->side = 0;
        }
        break;
    case Action::ReplaceAll:
        replaceAll();
        break;
    }
}

bool FleetSimulation::recovers()
{
    const std::set<VmId> &members = m_lists.rbegin()->second;
    for (const auto &node : m_nodes) {
        node->paused = false;
        node->side = 0;
        read(*node, m_lists.rbegin()->first);
    }
    advance(RECOVERY_TIME);
    const std::size_t before = m_heldClaims;
    claim(*find(*members.begin()), newKey(true));
    claim(*find(*members.rbegin()), newKey(false));
    advance(std::chrono::seconds(4));
    return m_heldClaims == before + 2;
}

const std::string &FleetSimulation::violation() const
{
    return m_violation;
}

std::size_t FleetSimulation::runs() const
{
    std::size_t runs = 0;
    for (const Key &key : m_keys) {
        runs += static_cast<std::size_t>(key.runs);
    }
    return runs;
}

std::size_t FleetSimulation::replays() const
{
    return m_replays;
}

WallTime FleetSimulation::wall() const
{
    return WallTime(std::chrono::hours(24 * 365 * 50) + std::chrono::duration_cast<std::chrono::milliseconds>(m_now.time_since_epoch()));
}

void FleetSimulation::addNode(const VmId &vm)
{
    auto node = std::make_unique<Node>();
    node->vm = vm;
    m_nodes.push_back(std::move(node));
    restart(*m_nodes.back());
}

void FleetSimulation::publish(const std::set<VmId> &members)
{
    m_lists[static_cast<std::int64_t>(m_lists.size()) + 1] = members;
}

void FleetSimulation::read(Node &node, std::int64_t revision)
{
    nlohmann::json vms = nlohmann::json::array();
    for (const VmId &vm : m_lists.at(revision)) {
        vms.push_back({ { "vm", vm.value() }, { "address", "127.0.0.1" }, { "peerPort", 1 }, { "region", "r" }, { "failureDomain", "d" } });
    }
    const std::string key(Schema::VM_LIST_KEY);
    perform(node, node.fleet->onDocument({ key, revision, nlohmann::json { { "vms", vms } }.dump() }, m_now));
    if (node.fleet->documents().revision(key) < node.revisions[key]) {
        m_violation = "a document revision decreased";
    }
    node.revisions[key] = node.fleet->documents().revision(key);
}

void FleetSimulation::perform(Node &node, const Fleet::Outputs &outputs)
{
    for (const Fleet::Output &output : outputs) {
        if (const auto *send = std::get_if<Fleet::SendMessage>(&output)) {
            m_inFlight.push_back({ node.vm, send->to, send->message, ++m_lastEnvelope });
        } else if (const auto *decided = std::get_if<Fleet::GrantDecided>(&output)) {
            onDecision(node, *decided);
        }
    }
    while (m_inFlight.size() > MAX_IN_FLIGHT) {
        m_inFlight.pop_front();
    }
}

void FleetSimulation::onDecision(Node &node, const Fleet::GrantDecided &decided)
{
    const std::size_t keyIndex = m_claims.at(decided.claim.value());
    const Key &key = m_keys[keyIndex];
    if (const auto *held = std::get_if<Fleet::GrantHeld>(&decided.decision)) {
        ++m_heldClaims;
        m_holders.push_back({ node.vm, node.incarnation, decided.claim, keyIndex, held->startBefore, false });
        return;
    }
    if (const auto *replayed = std::get_if<Fleet::GrantReplayed>(&decided.decision)) {
        ++m_replays;
        if (replayed->result != key.result || key.runs != 1) {
            m_violation = "a replayed result differs from the result of the run";
        }
        return;
    }
    const Refusal &refusal = std::get<Fleet::GrantRefused>(decided.decision).refusal;
    if (refusal.outcome == Outcome::NotRun && key.runs > 0) {
        m_violation = "a refusal states not_run after the stage ran";
    }
}

void FleetSimulation::deliver(std::size_t index, bool keep)
{
    const Envelope envelope = m_inFlight[index];
    if (deliver(envelope) && !keep) {
        m_inFlight.erase(std::find_if(
            m_inFlight.begin(), m_inFlight.end(), [&envelope](const Envelope &other) { return other.number == envelope.number; }));
    }
}

void FleetSimulation::tickAll()
{
    m_now += TICK;
    stopRemoved();
    for (const auto &node : m_nodes) {
        if (!node->paused) {
            perform(*node, node->fleet->tick(m_now, wall()));
        }
    }
}

void FleetSimulation::stopRemoved()
{
    if (m_removed == RemovedVms::KeepRunning) {
        return;
    }
    const auto isStopped = [this](const auto &node) { return node->removedAt && m_now - *node->removedAt > STOP_TIME; };
    m_nodes.erase(std::remove_if(m_nodes.begin(), m_nodes.end(), isStopped), m_nodes.end());
}

void FleetSimulation::advance(std::chrono::milliseconds time)
{
    const MonotonicTime end = m_now + time;
    while (m_now < end) {
        tickAll();
        deliverAll();
    }
}

// Messages that cannot be delivered are lost, as with broken connections.
void FleetSimulation::deliverAll()
{
    for (std::size_t round = 0; round < DELIVERY_ROUNDS && !m_inFlight.empty(); ++round) {
        std::deque<Envelope> messages;
        messages.swap(m_inFlight);
        for (const Envelope &envelope : messages) {
            deliver(envelope);
        }
    }
}

bool FleetSimulation::deliver(const Envelope &envelope)
{
    Node *to = find(envelope.to);
    const Node *from = find(envelope.from);
    if (to != nullptr && (to->paused || (from != nullptr && from->side != to->side))) {
        return false;
    }
    if (to != nullptr) {
        perform(*to, to->fleet->onMessage(envelope.from, envelope.message, m_now));
    }
    return true;
}

void FleetSimulation::claim(Node &node, std::size_t index)
{
    const Key &key = m_keys[index];
    if (node.paused || (!key.timed && m_now - key.firstSent > CALLER_WINDOW)) {
        return;
    }
    const Fleet::ClaimId claim(++m_lastClaim);
    m_claims[claim.value()] = index;
    perform(node, node.fleet->claimGrant({ claim, key.key, key.fingerprint, m_now + CLAIM_DEADLINE }, m_now));
}

std::size_t FleetSimulation::newKey(bool timed)
{
    const std::size_t number = m_keys.size();
    Key key;
    key.timed = timed;
    key.firstSent = m_now;
    key.fingerprint = Fingerprint(number + 1);
    key.key = { OrganisationId("agency"), timed ? uuidV7(wall(), number) : "opaque" + std::to_string(number), StageName("book") };
    key.result = "result" + std::to_string(number);
    m_keys.push_back(key);
    return number;
}

void FleetSimulation::runHolder(Holder &holder, bool finish, unsigned choice)
{
    Node *node = find(holder.vm);
    if (node == nullptr || node->paused || node->incarnation != holder.incarnation) {
        return;
    }
    const bool late = m_now >= holder.startBefore;
    Key &key = m_keys[holder.key];
    if (!holder.ran && !late && choice % 8 != 7) {
        holder.ran = true;
        if (++key.runs > 1) {
            m_violation = "key " + key.key.idempotencyKey + " ran twice";
        }
    }
    if (!finish && holder.ran) {
        return;
    }
    Fleet::GrantEnd end = Fleet::GrantEnd::NotRun;
    if (holder.ran) {
        end = choice % 4 == 2 ? Fleet::GrantEnd::Unknown : Fleet::GrantEnd::Succeeded;
    }
    const Fleet::ClaimId claim = holder.claim;
    m_holders.erase(m_holders.begin() + (&holder - m_holders.data()));
    perform(*node, node->fleet->finishGrant(claim, end, key.result, m_now));
}

void FleetSimulation::changeList(const Step &step)
{
    std::set<VmId> members = m_lists.rbegin()->second;
    if (step.first % 3 != 0 && members.size() > 2) {
        auto leaving = members.begin();
        std::advance(leaving, step.second % members.size());
        const VmId vm = *leaving;
        members.erase(leaving);
        const bool recordsRemain =
            std::any_of(members.begin(), members.end(), [this](const VmId &member) { return hasHistory(*find(member)); });
        if (m_removed == RemovedVms::KeepRunning && !recordsRemain) {
            return;
        }
        find(vm)->removedAt = m_now;
    }
    if (step.first % 3 != 1 && m_nodes.size() < MAX_NODES) {
        const VmId vm("vm" + std::to_string(++m_lastVm));
        addNode(vm);
        members.insert(vm);
    }
    publish(members);
}

// The rules do not cover the loss of all grant records while removed VMs keep running.
void FleetSimulation::restart(Node &node)
{
    if (node.fleet && m_removed == RemovedVms::KeepRunning) {
        const std::set<VmId> &members = m_lists.rbegin()->second;
        const auto isOther = [&](const VmId &vm) { return vm != node.vm && hasHistory(*find(vm)); };
        if (std::none_of(members.begin(), members.end(), isOther)) {
            return;
        }
    }
    node.incarnation = Incarnation(++m_lastIncarnation);
    node.fleet = std::make_unique<Fleet::FleetNode>(
        node.vm, node.incarnation, [](const Schema::Document &) {}, m_rules);
    node.fleet->setResendWindow(m_removed == RemovedVms::KeepRunning ? UNLIMITED_WINDOW : RESEND_WINDOW);
    node.revisions.clear();
    perform(node, node.fleet->tick(m_now, wall()));
}

void FleetSimulation::replaceAll()
{
    std::set<VmId> members;
    const std::size_t size = m_lists.rbegin()->second.size();
    m_nodes.clear();
    m_holders.clear();
    for (std::size_t index = 0; index < size; ++index) {
        const VmId vm("vm" + std::to_string(++m_lastVm));
        members.insert(vm);
        addNode(vm);
    }
    publish(members);
    for (const auto &node : m_nodes) {
        read(*node, m_lists.rbegin()->first);
    }
}

bool FleetSimulation::hasHistory(const Node &node) const
{
    return node.fleet->wasCaughtUp();
}

FleetSimulation::Node &FleetSimulation::pickNode(unsigned choice)
{
    return *m_nodes[choice % m_nodes.size()];
}

FleetSimulation::Node *FleetSimulation::find(const VmId &vm)
{
    const auto found = std::find_if(m_nodes.begin(), m_nodes.end(), [&vm](const auto &node) { return node->vm == vm; });
    return found == m_nodes.end() ? nullptr : found->get();
}

} // namespace CassiaRelay::Fuzz
