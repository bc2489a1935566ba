#pragma once

#include <common/common.h>
#include <routing/routing.h>

#include <functional>
#include <memory>
#include <mutex>
#include <unordered_map>

namespace CassiaRelay::Daemon {

/** Receives what the dispatcher decides about the work of one request. From any thread. */
class WorkOwner
{
public:
    virtual ~WorkOwner() = default;
    virtual void onDecision(const Routing::Decision &decision) = 0;
};

/** Connects the dispatcher with the requests whose work it holds. Safe from any thread. */
class WorkRouter
{
public:
    explicit WorkRouter(std::uint64_t seed);

    /** First id of a block that no other request uses. */
    WorkId reserveWorkIds();
    /** Decisions about work of the block go to this owner. */
    void addOwner(WorkId firstWork, const std::shared_ptr<WorkOwner> &owner);
    /** Slots that are still assigned to the block are freed as soon as they are. */
    void removeOwner(WorkId firstWork);
    void submit(const Routing::WorkItem &item);
    void finished(WorkId work, Routing::AttemptOutcome outcome, Duration serviceTime);
    void withdraw(WorkId work);
    void adopt(std::shared_ptr<const Routing::TargetTable> table, std::shared_ptr<const Settings::FleetSettings> settings);
    void tick();

private:
    void deliver(const Routing::Decisions &decisions);
    std::shared_ptr<WorkOwner> ownerOf(WorkId work);

    Routing::Dispatcher m_dispatcher;
    std::atomic<std::uint64_t> m_nextBlock { 1 };
    std::mutex m_mutex;
    std::unordered_map<std::uint64_t, std::weak_ptr<WorkOwner>> m_owners; ///< by block
};

} // namespace CassiaRelay::Daemon
