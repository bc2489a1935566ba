#pragma once

#include "workitem.h"

#include <map>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace CassiaRelay::Routing {

/**
 * Queued work items of one pool: strict priority between classes, start-time fair queueing between the organisations
 * of a class, earliest deadline first within an organisation. Every operation takes O(log n) in the number of items.
 */
class FairQueue
{
public:
    /**
     * Queues the item. A full queue evicts an item of the lowest class, from the organisation with the most items in that class.
     * @param weight relative share of the organisation within the class
     * @return the evicted item, which may be the new one
     */
    std::optional<WorkItem> push(WorkItem item, double weight, std::size_t capacity);
    /** Removes and returns the item that is served next. */
    std::optional<WorkItem> pop();
    std::optional<WorkItem> remove(WorkId work);
    /** Removes and returns the items whose deadline has passed. */
    std::vector<WorkItem> removeExpired(MonotonicTime now);

    std::size_t size() const;
    /** Estimates how many items are served before a new one of this class and organisation. */
    std::size_t countAhead(int priorityClass, const OrganisationId &organisation) const;

private:
    using DeadlineOrder = std::set<std::pair<MonotonicTime, WorkId>>;

    struct Flow {
        double weight = 1;
        double startTag = 0; ///< virtual time at which its next item starts
        DeadlineOrder queued;
    };

    struct ClassQueue {
        double virtualTime = 0;
        std::size_t size = 0;
        std::unordered_map<OrganisationId, Flow> flows;
        std::set<std::pair<double, OrganisationId>> activeFlows;   ///< flows with items, by start tag
        std::set<std::pair<double, OrganisationId>> idleFlows;     ///< empty flows that are ahead of virtual time, by start tag
        std::set<std::pair<std::size_t, OrganisationId>> byLength; ///< flows with items, by number of items
    };

    void insert(ClassQueue &queue, const WorkItem &item, double weight);
    WorkItem extract(WorkId work);
    std::optional<WorkId> evictionCandidate(const WorkItem &incoming) const;
    static void removeIdleFlows(ClassQueue &queue);

    std::map<int, ClassQueue> m_classes;
    std::unordered_map<WorkId, WorkItem> m_items;
    DeadlineOrder m_byDeadline;
};

} // namespace CassiaRelay::Routing
