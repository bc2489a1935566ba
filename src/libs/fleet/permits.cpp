#include "permits.h"

#include <algorithm>
#include <vector>

namespace CassiaRelay::Fleet {

namespace {

constexpr std::chrono::milliseconds ANSWER_TIMEOUT { 500 };
/** Must exceed the longest time that a member takes to receive a new view from its peers. */
constexpr std::chrono::milliseconds HANDOVER_TIME { 1500 };

Schema::PermitReturn permitReturn(WorkId work, const TargetId &target, Incarnation holder, bool succeeded)
{
    Schema::PermitReturn returned {};
    returned.incarnation = static_cast<std::int64_t>(holder.value());
    returned.succeeded = succeeded;
    returned.target = target.value();
    returned.work = static_cast<std::int64_t>(work.value());
    return returned;
}

} // namespace

Permits::Permits(VmId self, Incarnation incarnation)
    : m_self(std::move(self))
    , m_incarnation(incarnation)
{
}

Outputs Permits::request(const PermitRequest &request, MonotonicTime now)
{
    if (m_cell.members().empty()) {
        return { PermitDecided { request.work, request.target, false } };
    }
    RequestEntry &entry = m_requests[request.work];
    entry = RequestEntry { request, std::min(now + ANSWER_TIMEOUT, request.deadline), false };
    return { SendMessage { ownerOf(request.target), askMessage(entry, now) } };
}

Outputs Permits::returnPermit(WorkId work, const TargetId &target, bool succeeded)
{
    if (m_requests.erase(work) == 0 || m_cell.members().empty()) {
        return {};
    }
    return { SendMessage { ownerOf(target), permitReturn(work, target, m_incarnation, succeeded) } };
}

Outputs Permits::onAsk(const VmId &from, const Schema::PermitAsk &ask, MonotonicTime now)
{
    const TargetId target(ask.target);
    OwnedTarget &owned = m_ownedTargets[target];
    const Incarnation incarnation(static_cast<std::uint64_t>(ask.targetIncarnation));
    if (owned.incarnation < incarnation) {
        owned = OwnedTarget { incarnation, {} };
    }
    const Holder holder { from, WorkId(static_cast<std::uint64_t>(ask.work)) };
    const MonotonicTime end = now + std::chrono::milliseconds(ask.remainingMs);
    if (ask.held.value_or(false)) {
        owned.expiryTimes[holder] = end;
        return {};
    }
    const bool isCurrentOwner = ask.view == m_cell.revision() && ownerOf(target) == m_self && now >= m_handoverEnd;
    const bool granted = isCurrentOwner && owned.expiryTimes.size() < static_cast<std::size_t>(std::max<std::int64_t>(ask.bound, 0));
    if (granted) {
        owned.expiryTimes[holder] = end;
    }
    return { SendMessage { from, Schema::PermitAnswer { granted, ask.target, ask.work } } };
}

Outputs Permits::onAnswer(const Schema::PermitAnswer &answer)
{
    const WorkId work(static_cast<std::uint64_t>(answer.work));
    const auto entry = m_requests.find(work);
    if (entry == m_requests.end() || entry->second.held || entry->second.request.target.value() != answer.target) {
        // The request had ended before the answer came: return the permit unused.
        if (entry == m_requests.end() && answer.granted && !m_cell.members().empty()) {
            const TargetId target(answer.target);
            return { SendMessage { ownerOf(target), permitReturn(work, target, m_incarnation, false) } };
        }
        return {};
    }
    entry->second.held = answer.granted;
    if (!answer.granted) {
        m_requests.erase(entry);
    }
    return { PermitDecided { work, TargetId(answer.target), answer.granted } };
}

void Permits::onReturn(const VmId &from, const Schema::PermitReturn &returned)
{
    const auto owned = m_ownedTargets.find(TargetId(returned.target));
    if (owned != m_ownedTargets.end()) {
        owned->second.expiryTimes.erase({ from, WorkId(static_cast<std::uint64_t>(returned.work)) });
    }
}

Outputs Permits::tick(const Cell &cell, MonotonicTime now)
{
    Outputs outputs;
    if (cell.revision() != m_cell.revision()) {
        outputs = adopt(cell, now);
    }
    expire(now);
    std::vector<PermitRequest> unanswered;
    for (const auto &[work, entry] : m_requests) {
        if (!entry.held && now >= entry.answerDeadline) {
            unanswered.push_back(entry.request);
        }
    }
    for (const PermitRequest &request : unanswered) {
        m_requests.erase(request.work);
        outputs.push_back(PermitDecided { request.work, request.target, false });
    }
    return outputs;
}

std::size_t Permits::outstanding(const TargetId &target) const
{
    const auto owned = m_ownedTargets.find(target);
    return owned == m_ownedTargets.end() ? 0 : owned->second.expiryTimes.size();
}

VmId Permits::ownerOf(const TargetId &target) const
{
    const auto weight = [&target](const Member &member) { return stableHash(target.value(), stableHash(member.vm.value())); };
    const auto owner = std::max_element(m_cell.members().begin(),
                                        m_cell.members().end(),
                                        [&weight](const Member &left, const Member &right) { return weight(left) < weight(right); });
    return owner->vm;
}

Schema::PermitAsk Permits::askMessage(const RequestEntry &entry, MonotonicTime now) const
{
    Schema::PermitAsk ask {};
    ask.bound = entry.request.bound;
    ask.incarnation = static_cast<std::int64_t>(m_incarnation.value());
    ask.remainingMs = std::chrono::ceil<std::chrono::milliseconds>(entry.request.deadline - now).count();
    ask.target = entry.request.target.value();
    ask.targetIncarnation = static_cast<std::int64_t>(entry.request.incarnation.value());
    ask.view = m_cell.revision();
    ask.work = static_cast<std::int64_t>(entry.request.work.value());
    if (entry.held) {
        ask.held = true;
    }
    return ask;
}

Outputs Permits::adopt(const Cell &cell, MonotonicTime now)
{
    m_cell = cell;
    m_handoverEnd = now + HANDOVER_TIME;
    Outputs outputs;
    for (const auto &[work, entry] : m_requests) {
        if (!entry.held || m_cell.members().empty()) {
            continue;
        }
        outputs.push_back(SendMessage { ownerOf(entry.request.target), askMessage(entry, now) });
    }
    return outputs;
}

void Permits::expire(MonotonicTime now)
{
    for (auto &[target, owned] : m_ownedTargets) {
        for (auto end = owned.expiryTimes.begin(); end != owned.expiryTimes.end();) {
            end = end->second <= now ? owned.expiryTimes.erase(end) : std::next(end);
        }
    }
}

} // namespace CassiaRelay::Fleet
