#include "fairqueue.h"

#include <algorithm>

namespace CassiaRelay::Routing {

std::optional<WorkItem> FairQueue::push(WorkItem item, double weight, std::size_t capacity)
{
    std::optional<WorkItem> pushedOut;
    if (m_items.size() >= capacity) {
        const std::optional<WorkId> work = victim(item);
        if (!work) {
            return item;
        }
        pushedOut = take(*work);
    }
    insert(m_classes[item.priorityClass], item, weight);
    m_byDeadline.emplace(item.deadline, item.id);
    m_items.emplace(item.id, std::move(item));
    return pushedOut;
}

std::optional<WorkItem> FairQueue::pop()
{
    for (auto &[priority, queue] : m_classes) {
        if (queue.active.empty()) {
            continue;
        }
        const OrganisationId organisation = queue.active.begin()->second;
        Flow &flow = queue.flows.at(organisation);
        queue.virtualTime = flow.start;
        queue.active.erase(queue.active.begin());
        flow.start += 1 / flow.weight;
        queue.active.emplace(flow.start, organisation);
        WorkItem item = take(flow.waiting.begin()->second);
        forgetIdle(queue);
        return item;
    }
    return std::nullopt;
}

std::optional<WorkItem> FairQueue::remove(WorkId work)
{
    if (m_items.count(work) == 0) {
        return std::nullopt;
    }
    return take(work);
}

std::vector<WorkItem> FairQueue::removeExpired(MonotonicTime now)
{
    std::vector<WorkItem> expired;
    while (!m_byDeadline.empty() && m_byDeadline.begin()->first <= now) {
        expired.push_back(take(m_byDeadline.begin()->second));
    }
    return expired;
}

std::size_t FairQueue::size() const
{
    return m_items.size();
}

std::size_t FairQueue::countAhead(int priorityClass, const OrganisationId &organisation) const
{
    std::size_t ahead = 0;
    for (const auto &[priority, queue] : m_classes) {
        if (priority < priorityClass) {
            ahead += queue.size;
            continue;
        }
        if (priority == priorityClass) {
            // The others are served in turn with the own work, whatever they have waiting.
            const auto flow = queue.flows.find(organisation);
            const std::size_t own = flow == queue.flows.end() ? 0 : flow->second.waiting.size();
            ahead += std::min(queue.size, (own + 1) * queue.active.size());
        }
        break;
    }
    return ahead;
}

void FairQueue::insert(ClassQueue &queue, const WorkItem &item, double weight)
{
    Flow &flow = queue.flows[item.organisation];
    flow.weight = weight;
    if (flow.waiting.empty()) {
        queue.idle.erase({ flow.start, item.organisation });
        flow.start = std::max(flow.start, queue.virtualTime);
        queue.active.emplace(flow.start, item.organisation);
    } else {
        queue.lengths.erase({ flow.waiting.size(), item.organisation });
    }
    flow.waiting.emplace(item.deadline, item.id);
    queue.lengths.emplace(flow.waiting.size(), item.organisation);
    ++queue.size;
}

WorkItem FairQueue::take(WorkId work)
{
    const auto found = m_items.find(work);
    WorkItem item = std::move(found->second);
    m_items.erase(found);
    m_byDeadline.erase({ item.deadline, work });
    ClassQueue &queue = m_classes.at(item.priorityClass);
    Flow &flow = queue.flows.at(item.organisation);
    queue.lengths.erase({ flow.waiting.size(), item.organisation });
    flow.waiting.erase({ item.deadline, work });
    --queue.size;
    if (!flow.waiting.empty()) {
        queue.lengths.emplace(flow.waiting.size(), item.organisation);
        return item;
    }
    queue.active.erase({ flow.start, item.organisation });
    queue.idle.emplace(flow.start, item.organisation);
    return item;
}

// The latest deadline of the longest flow of the lowest class; none when that is the newcomer's own place.
std::optional<WorkId> FairQueue::victim(const WorkItem &newcomer) const
{
    for (auto entry = m_classes.rbegin(); entry != m_classes.rend(); ++entry) {
        const auto &[priority, queue] = *entry;
        if (queue.size == 0) {
            continue;
        }
        const auto &[longest, organisation] = *queue.lengths.rbegin();
        if (priority < newcomer.priorityClass) {
            return std::nullopt;
        }
        if (priority == newcomer.priorityClass) {
            const auto own = queue.flows.find(newcomer.organisation);
            const std::size_t ownLength = own == queue.flows.end() ? 0 : own->second.waiting.size();
            if (ownLength + 1 >= longest) {
                return std::nullopt;
            }
        }
        return queue.flows.at(organisation).waiting.rbegin()->second;
    }
    return std::nullopt;
}

// A flow ahead of virtual time keeps its place, so that asking for one piece of work at a time gains nothing.
void FairQueue::forgetIdle(ClassQueue &queue)
{
    while (!queue.idle.empty() && queue.idle.begin()->first <= queue.virtualTime) {
        queue.flows.erase(queue.idle.begin()->second);
        queue.idle.erase(queue.idle.begin());
    }
}

} // namespace CassiaRelay::Routing
