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
    WorkRouter(std::uint64_t seed, VmId self, FailureDomain failureDomain);

    /** First id of a block that no other request uses. */
    WorkId reserveWorkIds();
    void submit(const Routing::WorkItem &item, const std::shared_ptr<WorkOwner> &owner);
    void finished(WorkId work, Routing::AttemptOutcome outcome, Duration serviceTime);
    void withdraw(WorkId work);
    void adopt(std::shared_ptr<const Routing::TargetTable> table, std::shared_ptr<const Settings::FleetSettings> settings);
    void tick();

private:
    void deliver(const Routing::Decisions &decisions);
    std::shared_ptr<WorkOwner> ownerOf(WorkId work);
    void perform(const Routing::Assign &assign);
    void perform(const Routing::Reject &reject);
    void perform(const Routing::NeedPermit &need);
    void perform(const Routing::ReturnPermit &permit);
    void perform(const Routing::ReportDeath &report);
    void perform(const Routing::ReportSurvived &report);
    void forget(WorkId work);

    Routing::Dispatcher m_dispatcher;
    std::atomic<std::uint64_t> m_nextBlock { 1 };
    std::mutex m_mutex;
    std::unordered_map<WorkId, std::weak_ptr<WorkOwner>> m_owners;
};

} // namespace CassiaRelay::Daemon
