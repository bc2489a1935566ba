#pragma once

#include "workitem.h"

#include <map>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace CassiaRelay::Routing {

/**
 * The waiting work of one pool: strict priority classes, start-time fair queueing among the organisations of a
 * class, earliest deadline within an organisation. Every operation takes O(log n) in the waiting work.
 */
class FairQueue
{
public:
    /**
     * Queues the work. A full queue pushes out work of the lowest class, of the organisation with most of it.
     * @param weight share of the organisation in its class
     * @return what was pushed out, which may be the item itself
     */
    std::optional<WorkItem> push(WorkItem item, double weight, std::size_t capacity);
    /** Takes the work that is served next. */
    std::optional<WorkItem> pop();
    std::optional<WorkItem> remove(WorkId work);
    /** Takes the work whose deadline has passed. */
    std::vector<WorkItem> removeExpired(MonotonicTime now);

    std::size_t size() const;
    /** Work that is likely served before a new item of this class and organisation. */
    std::size_t countAhead(int priorityClass, const OrganisationId &organisation) const;

private:
    using DeadlineOrder = std::set<std::pair<MonotonicTime, WorkId>>;

    struct Flow {
        double weight = 1;
        double startTag = 0; ///< virtual time at which its next work starts
        DeadlineOrder queued;
    };

    struct ClassQueue {
        double virtualTime = 0;
        std::size_t size = 0;
        std::unordered_map<OrganisationId, Flow> flows;
        std::set<std::pair<double, OrganisationId>> activeFlows;   ///< flows with work by start
        std::set<std::pair<double, OrganisationId>> idleFlows;     ///< flows without work that are ahead of virtual time
        std::set<std::pair<std::size_t, OrganisationId>> byLength; ///< flows with work by its count
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
