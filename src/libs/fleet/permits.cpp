#include "permits.h"

#include <algorithm>
#include <vector>

namespace CassiaRelay::Fleet {

namespace {

constexpr std::chrono::milliseconds ANSWER_TIMEOUT { 500 };
/** Longer than the longest time after which a member has a new view from its peers. */
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
    Wanted &wanted = m_wanted[request.work];
    wanted = Wanted { request, std::min(now + ANSWER_TIMEOUT, request.deadline), false };
    return { SendMessage { stewardOf(request.target), ask(wanted, now) } };
}

Outputs Permits::giveBack(WorkId work, const TargetId &target, bool succeeded)
{
    if (m_wanted.erase(work) == 0 || m_cell.members().empty()) {
        return {};
    }
    return { SendMessage { stewardOf(target), permitReturn(work, target, m_incarnation, succeeded) } };
}

Outputs Permits::onAsk(const VmId &from, const Schema::PermitAsk &ask, MonotonicTime now)
{
    const TargetId target(ask.target);
    Book &book = m_books[target];
    const Incarnation incarnation(static_cast<std::uint64_t>(ask.targetIncarnation));
    if (book.incarnation < incarnation) {
        book = Book { incarnation, {} };
    }
    const Holder holder { from, WorkId(static_cast<std::uint64_t>(ask.work)) };
    const MonotonicTime end = now + std::chrono::milliseconds(ask.remainingMs);
    if (ask.held.value_or(false)) {
        book.ends[holder] = end;
        return {};
    }
    const bool knowsAll = ask.view == m_cell.revision() && stewardOf(target) == m_self && now >= m_grantFrom;
    const bool granted = knowsAll && book.ends.size() < static_cast<std::size_t>(std::max<std::int64_t>(ask.bound, 0));
    if (granted) {
        book.ends[holder] = end;
    }
    return { SendMessage { from, Schema::PermitAnswer { granted, ask.target, ask.work } } };
}

Outputs Permits::onAnswer(const Schema::PermitAnswer &answer)
{
    const WorkId work(static_cast<std::uint64_t>(answer.work));
    const auto wanted = m_wanted.find(work);
    if (wanted == m_wanted.end() || wanted->second.held || wanted->second.request.target.value() != answer.target) {
        // The answer came after the request was given up: the permit goes back unused.
        if (wanted == m_wanted.end() && answer.granted && !m_cell.members().empty()) {
            const TargetId target(answer.target);
            return { SendMessage { stewardOf(target), permitReturn(work, target, m_incarnation, false) } };
        }
        return {};
    }
    wanted->second.held = answer.granted;
    if (!answer.granted) {
        m_wanted.erase(wanted);
    }
    return { PermitDecided { work, TargetId(answer.target), answer.granted } };
}

void Permits::onReturn(const VmId &from, const Schema::PermitReturn &returned)
{
    const auto book = m_books.find(TargetId(returned.target));
    if (book != m_books.end()) {
        book->second.ends.erase({ from, WorkId(static_cast<std::uint64_t>(returned.work)) });
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
    for (const auto &[work, wanted] : m_wanted) {
        if (!wanted.held && now >= wanted.answerBefore) {
            unanswered.push_back(wanted.request);
        }
    }
    for (const PermitRequest &request : unanswered) {
        m_wanted.erase(request.work);
        outputs.push_back(PermitDecided { request.work, request.target, false });
    }
    return outputs;
}

std::size_t Permits::outstanding(const TargetId &target) const
{
    const auto book = m_books.find(target);
    return book == m_books.end() ? 0 : book->second.ends.size();
}

VmId Permits::stewardOf(const TargetId &target) const
{
    const auto weight = [&target](const Member &member) { return stableHash(target.value(), stableHash(member.vm.value())); };
    const auto first = std::max_element(m_cell.members().begin(),
                                        m_cell.members().end(),
                                        [&weight](const Member &left, const Member &right) { return weight(left) < weight(right); });
    return first->vm;
}

Schema::PermitAsk Permits::ask(const Wanted &wanted, MonotonicTime now) const
{
    Schema::PermitAsk ask {};
    ask.bound = wanted.request.bound;
    ask.incarnation = static_cast<std::int64_t>(m_incarnation.value());
    ask.remainingMs = std::chrono::ceil<std::chrono::milliseconds>(wanted.request.deadline - now).count();
    ask.target = wanted.request.target.value();
    ask.targetIncarnation = static_cast<std::int64_t>(wanted.request.incarnation.value());
    ask.view = m_cell.revision();
    ask.work = static_cast<std::int64_t>(wanted.request.work.value());
    if (wanted.held) {
        ask.held = true;
    }
    return ask;
}

Outputs Permits::adopt(const Cell &cell, MonotonicTime now)
{
    m_cell = cell;
    m_grantFrom = now + HANDOVER_TIME;
    Outputs outputs;
    for (const auto &[work, wanted] : m_wanted) {
        if (!wanted.held || m_cell.members().empty()) {
            continue;
        }
        outputs.push_back(SendMessage { stewardOf(wanted.request.target), ask(wanted, now) });
    }
    return outputs;
}

void Permits::expire(MonotonicTime now)
{
    for (auto &[target, book] : m_books) {
        for (auto end = book.ends.begin(); end != book.ends.end();) {
            end = end->second <= now ? book.ends.erase(end) : std::next(end);
        }
    }
}

} // namespace CassiaRelay::Fleet
