#include <benchmark/benchmark.h>
#include <routing/routing.h>

#include <atomic>
#include <cstdlib>
#include <new>

namespace {

std::atomic<std::uint64_t> allocationCount { 0 };

} // namespace

// Inlined, the pair would look mismatched to the compiler.
[[gnu::noinline]] void *operator new(std::size_t size)
{
    allocationCount.fetch_add(1, std::memory_order_relaxed);
    if (void *memory = std::malloc(size)) {
        return memory;
    }
    throw std::bad_alloc();
}

[[gnu::noinline]] void operator delete(void *memory) noexcept
{
    std::free(memory);
}

[[gnu::noinline]] void operator delete(void *memory, std::size_t /*size*/) noexcept
{
    std::free(memory);
}

using namespace CassiaRelay;
using namespace CassiaRelay::Routing;

namespace {

const PoolName POOL("models");

std::string configuration(std::int64_t organisations)
{
    std::string text =
        R"({"defaults": {"concurrency": 8, "requestsPerSecond": 1000000, "organisationConcurrency": 100000}, "pipelines": [], "organisations": [)";
    for (std::int64_t index = 0; index < organisations; ++index) {
        const std::string name = "organisation-" + std::to_string(index);
        text += (index == 0 ? "" : ",") + (R"({"name": ")" + name + R"(", "tokenSha256": [")" + sha256Hex(name) + R"("]})");
    }
    return text + "]}";
}

/** A dispatcher whose targets are all warm. */
class WarmDispatcher
{
public:
    WarmDispatcher(std::int64_t targets, std::int64_t organisations)
        : m_organisations(static_cast<std::uint64_t>(organisations))
    {
        Schema::TargetList list;
        for (std::int64_t index = 0; index < targets; ++index) {
            Schema::TargetEntry entry;
            entry.target = "target-" + std::to_string(index);
            entry.pool = POOL.value();
            entry.failureDomain = "domain-" + std::to_string(index % 3);
            list.targets.push_back(entry);
        }
        const auto settings = Settings::FleetSettings::parse(configuration(organisations), 1);
        m_dispatcher.applyConfiguration(std::make_shared<const TargetTable>(list, *settings), settings, m_now);
        for (std::int64_t round = 0; round < targets * 16; ++round) {
            hold(submit(0));
            if (m_held.size() == static_cast<std::size_t>(targets)) {
                finishHeld();
            }
        }
        finishHeld();
    }

    Decisions submit(std::uint64_t affinity)
    {
        m_now += std::chrono::microseconds(10);
        WorkItem item;
        item.id = WorkId(++m_lastWork);
        item.organisation = OrganisationId("organisation-" + std::to_string(m_lastWork % m_organisations));
        item.pool = POOL;
        item.deadline = m_now + std::chrono::seconds(9);
        item.fingerprint = Fingerprint(m_lastWork);
        item.affinityKey = affinity;
        item.isFirstStage = true;
        return m_dispatcher.submit(item, m_now);
    }

    void finishLast()
    {
        finish(WorkId(m_lastWork));
    }

private:
    void hold(const Decisions &decisions)
    {
        for (const Decision &decision : decisions) {
            if (const auto *need = std::get_if<RequestPermit>(&decision)) {
                m_dispatcher.onPermit(need->work, need->target, true, m_now);
                m_held.push_back(need->work);
            } else if (const auto *assign = std::get_if<Assign>(&decision)) {
                m_held.push_back(assign->work);
            }
        }
    }

    void finishHeld()
    {
        for (const WorkId work : m_held) {
            finish(work);
        }
        m_held.clear();
    }

    void finish(WorkId work)
    {
        m_dispatcher.onFinished(work, AttemptOutcome::Succeeded, std::chrono::milliseconds(10), m_now);
    }

    std::uint64_t m_organisations;
    Dispatcher m_dispatcher { 42, VmId("vm"), FailureDomain("domain-0") };
    MonotonicTime m_now = MonotonicTime() + std::chrono::hours(1);
    std::uint64_t m_lastWork = 0;
    std::vector<WorkId> m_held;
};

void submitAndFinish(benchmark::State &state, bool hasAffinity)
{
    WarmDispatcher dispatcher(state.range(0), state.range(1));
    std::uint64_t affinity = 0;
    std::uint64_t unassigned = 0;
    const std::uint64_t before = allocationCount.load();
    for ([[maybe_unused]] auto _ : state) {
        affinity += 0x9e3779b97f4a7c15U;
        const Decisions decisions = dispatcher.submit(hasAffinity ? affinity : 0);
        unassigned += decisions.size() == 1 && std::holds_alternative<Assign>(decisions[0]) ? 0 : 1;
        dispatcher.finishLast();
    }
    const auto allocations = static_cast<double>(allocationCount.load() - before);
    state.counters["allocations"] = benchmark::Counter(allocations / static_cast<double>(state.iterations()));
    state.counters["unassigned"] = static_cast<double>(unassigned);
}

} // namespace

BENCHMARK_CAPTURE(submitAndFinish, byWait, false)
    ->ArgNames({ "targets", "organisations" })
    ->ArgsProduct({ { 36, 1600, 3300 }, { 5, 25000 } });
BENCHMARK_CAPTURE(submitAndFinish, byAffinity, true)
    ->ArgNames({ "targets", "organisations" })
    ->ArgsProduct({ { 36, 1600, 3300 }, { 5, 25000 } });

BENCHMARK_MAIN();
