#include "fairqueue.h"

#include <algorithm>

namespace CassiaRelay::Routing {

std::optional<WorkItem> FairQueue::push(WorkItem item, double weight, std::size_t capacity)
{
    std::optional<WorkItem> evicted;
    if (m_items.size() >= capacity) {
        const std::optional<WorkId> work = evictionCandidate(item);
        if (!work) {
            return item;
        }
        evicted = extract(*work);
    }
    insert(m_classes[item.priorityClass], item, weight);
    m_byDeadline.emplace(item.deadline, item.id);
    m_items.emplace(item.id, std::move(item));
    return evicted;
}

std::optional<WorkItem> FairQueue::pop()
{
    for (auto &[priority, queue] : m_classes) {
        if (queue.activeFlows.empty()) {
            continue;
        }
        const OrganisationId organisation = queue.activeFlows.begin()->second;
        Flow &flow = queue.flows.at(organisation);
        queue.virtualTime = flow.startTag;
        queue.activeFlows.erase(queue.activeFlows.begin());
        flow.startTag += 1 / flow.weight;
        queue.activeFlows.emplace(flow.startTag, organisation);
        WorkItem item = extract(flow.queued.begin()->second);
        removeIdleFlows(queue);
        return item;
    }
    return std::nullopt;
}

std::optional<WorkItem> FairQueue::remove(WorkId work)
{
    if (m_items.count(work) == 0) {
        return std::nullopt;
    }
    return extract(work);
}

std::vector<WorkItem> FairQueue::removeExpired(MonotonicTime now)
{
    std::vector<WorkItem> expired;
    while (!m_byDeadline.empty() && m_byDeadline.begin()->first <= now) {
        expired.push_back(extract(m_byDeadline.begin()->second));
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
            // Flows are served in turn: each active flow counts as many items as this organisation has queued, plus one.
            // The estimate ignores weights.
            const auto flow = queue.flows.find(organisation);
            const std::size_t own = flow == queue.flows.end() ? 0 : flow->second.queued.size();
            ahead += std::min(queue.size, (own + 1) * queue.activeFlows.size());
        }
        break;
    }
    return ahead;
}

void FairQueue::insert(ClassQueue &queue, const WorkItem &item, double weight)
{
    Flow &flow = queue.flows[item.organisation];
    flow.weight = weight;
    if (flow.queued.empty()) {
        queue.idleFlows.erase({ flow.startTag, item.organisation });
        flow.startTag = std::max(flow.startTag, queue.virtualTime);
        queue.activeFlows.emplace(flow.startTag, item.organisation);
    } else {
        queue.byLength.erase({ flow.queued.size(), item.organisation });
    }
    flow.queued.emplace(item.deadline, item.id);
    queue.byLength.emplace(flow.queued.size(), item.organisation);
    ++queue.size;
}

WorkItem FairQueue::extract(WorkId work)
{
    const auto found = m_items.find(work);
    WorkItem item = std::move(found->second);
    m_items.erase(found);
    m_byDeadline.erase({ item.deadline, work });
    ClassQueue &queue = m_classes.at(item.priorityClass);
    Flow &flow = queue.flows.at(item.organisation);
    queue.byLength.erase({ flow.queued.size(), item.organisation });
    flow.queued.erase({ item.deadline, work });
    --queue.size;
    if (!flow.queued.empty()) {
        queue.byLength.emplace(flow.queued.size(), item.organisation);
        return item;
    }
    queue.activeFlows.erase({ flow.startTag, item.organisation });
    queue.idleFlows.emplace(flow.startTag, item.organisation);
    return item;
}

// Returns the item with the latest deadline in the longest flow of the lowest class; nothing if the incoming item is to be rejected.
std::optional<WorkId> FairQueue::evictionCandidate(const WorkItem &incoming) const
{
    for (auto entry = m_classes.rbegin(); entry != m_classes.rend(); ++entry) {
        const auto &[priority, queue] = *entry;
        if (queue.size == 0) {
            continue;
        }
        const auto &[longest, organisation] = *queue.byLength.rbegin();
        if (priority < incoming.priorityClass) {
            return std::nullopt;
        }
        if (priority == incoming.priorityClass) {
            const auto own = queue.flows.find(incoming.organisation);
            const std::size_t ownLength = own == queue.flows.end() ? 0 : own->second.queued.size();
            if (ownLength + 1 >= longest) {
                return std::nullopt;
            }
        }
        return queue.flows.at(organisation).queued.rbegin()->second;
    }
    return std::nullopt;
}

// An empty flow keeps its start tag while that is ahead of virtual time. Otherwise an organisation would gain share by queueing one
// item at a time.
void FairQueue::removeIdleFlows(ClassQueue &queue)
{
    while (!queue.idleFlows.empty() && queue.idleFlows.begin()->first <= queue.virtualTime) {
        queue.flows.erase(queue.idleFlows.begin()->second);
        queue.idleFlows.erase(queue.idleFlows.begin());
    }
}

} // namespace CassiaRelay::Routing
