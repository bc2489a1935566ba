#include "handoversimulation.h"

namespace CassiaRelay::Gateway {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds STEP { 10 };
constexpr milliseconds NETWORK_TIME { 2 };
constexpr milliseconds RUN_TIME { 40 };
constexpr milliseconds CONNECT_TIMEOUT { 300 };
constexpr milliseconds SILENCE_LIMIT { 2000 };
constexpr milliseconds PATIENCE { 3000 };
constexpr unsigned STATUS_OK = 200;
const ServiceName SERVICE("engine");

} // namespace

/** What one daemon knows; lost when it is killed. */
struct HandoverSimulation::Vm {
    Vm(int number, Members &members)
        : targets({}, {}, static_cast<std::uint64_t>(number))
        , context { targets, retries, crashes, stageLatency, reachability, members, 1 }
    {
    }

    TargetRegistry targets;
    RetryBudget retries { { 0.2, 1000, seconds(10) } };
    CrashTracker crashes;
    StageLatencyEstimator stageLatency;
    ReachabilityTracker reachability;
    RelayContext context;
};

/** One request at one daemon. */
struct HandoverSimulation::Job {
    int vmNumber = 0;
    std::shared_ptr<Vm> vm; ///< outlives a kill, so that late events of the request do no harm
    std::unique_ptr<RelayMachine> machine;
    std::size_t call = 0;
    JobPointer sender; ///< at the daemon that handed the request over
    AttemptNumber senderAttempt = 0;
    JobPointer receiver; ///< at the daemon that it was handed over to
};

HandoverSimulation::HandoverSimulation(int vmCount, int targetCount, std::uint64_t seed)
    : m_random(seed)
    , m_fleet(
          vmCount, [](int, int) {}, m_now)
{
    for (const RouteKind kind : { RouteKind::Unsafe, RouteKind::Safe, RouteKind::Stream }) {
        Configuration configuration;
        configuration.version = 1;
        configuration.routes = { Samples::route(kind, 2) };
        configuration.routes.front().isResumable = kind == RouteKind::Stream;
        m_tables[kind] = std::make_shared<const RouteTable>(configuration);
    }
    for (int number = 0; number < targetCount; ++number) {
        m_targets.push_back(Samples::target("t" + std::to_string(number), SERVICE.value()));
    }
    for (int vm = 0; vm < vmCount; ++vm) {
        m_vms.push_back(makeVm(vm));
    }
    sendRequests();
}

void HandoverSimulation::setRate(double perSecond)
{
    m_rate = perSecond;
}

void HandoverSimulation::cut(const std::set<int> &vms, CutKind kind)
{
    m_cutVms = vms;
    m_cut = kind;
}

void HandoverSimulation::mend()
{
    m_cut.reset();
}

void HandoverSimulation::stopTargets()
{
    m_areTargetsUp = false;
}

void HandoverSimulation::silenceTargets(Duration duration)
{
    m_silentUntil = m_now + duration;
}

SimulatedFleet &HandoverSimulation::fleet()
{
    return m_fleet;
}

void HandoverSimulation::kill(int vm)
{
    m_fleet.kill(vm);
}

void HandoverSimulation::start(int vm)
{
    m_fleet.start(vm);
    m_vms.at(static_cast<std::size_t>(vm)) = makeVm(vm);
}

void HandoverSimulation::run(Duration duration)
{
    const MonotonicTime end = m_now + duration;
    while (m_now < end) {
        const MonotonicTime step = m_now + STEP;
        while (!m_events.empty() && m_events.begin()->first <= step) {
            m_now = m_events.begin()->first;
            const auto event = std::move(m_events.begin()->second);
            m_events.erase(m_events.begin());
            event();
        }
        m_now = step;
        m_fleet.exchangeGreetings(m_now);
        for (int vm = 0; vm < m_fleet.size(); ++vm) {
            if (m_fleet.isRunning(vm)) {
                probe(vm);
            }
        }
    }
}

double HandoverSimulation::served(bool atCutVms, MonotonicTime from, MonotonicTime to) const
{
    int sent = 0;
    int served = 0;
    for (const Call &call : m_calls) {
        if (call.sentAt < from || call.sentAt >= to || (m_cutVms.count(call.vm) > 0) != atCutVms) {
            continue;
        }
        ++sent;
        served += call.isServed ? 1 : 0;
    }
    return sent == 0 ? 1 : static_cast<double>(served) / sent;
}

Duration HandoverSimulation::slowestRefusal(MonotonicTime since) const
{
    Duration slowest {};
    for (const Call &call : m_calls) {
        if (call.sentAt >= since && call.isRefused) {
            slowest = std::max(slowest, call.endedAt - call.sentAt);
        }
    }
    return slowest;
}

int HandoverSimulation::handovers(MonotonicTime since) const
{
    return static_cast<int>(std::count_if(m_handovers.begin(), m_handovers.end(), [since](MonotonicTime at) { return at >= since; }));
}

int HandoverSimulation::runTwice() const
{
    return static_cast<int>(
        std::count_if(m_calls.begin(), m_calls.end(), [](const Call &call) { return call.kind == RouteKind::Unsafe && call.runs > 1; }));
}

int HandoverSimulation::refusedAndRun() const
{
    return static_cast<int>(std::count_if(m_calls.begin(), m_calls.end(), [](const Call &call) {
        return call.kind == RouteKind::Unsafe && call.isRefused && call.runs > 0;
    }));
}

int HandoverSimulation::withTooMuchTime() const
{
    return m_withTooMuchTime;
}

MonotonicTime HandoverSimulation::now() const
{
    return m_now;
}

void HandoverSimulation::schedule(Duration delay, std::function<void()> event)
{
    m_events.emplace(m_now + delay, std::move(event));
}

void HandoverSimulation::deliver(const JobPointer &job, Duration delay, std::function<RelayActions(RelayMachine &)> event)
{
    schedule(delay, [this, job, event = std::move(event)] {
        if (m_vms[static_cast<std::size_t>(job->vmNumber)] != job->vm || !m_fleet.isAlive(job->vmNumber)) {
            return;
        }
        if (!m_fleet.isRunning(job->vmNumber)) {
            deliver(job, STEP, event);
            return;
        }
        perform(job, event(*job->machine));
    });
}

void HandoverSimulation::sendRequests()
{
    schedule(std::chrono::duration_cast<Duration>(std::chrono::duration<double>(1 / m_rate)), [this] {
        constexpr std::array<RouteKind, 3> KINDS { RouteKind::Unsafe, RouteKind::Safe, RouteKind::Stream };
        const int vm = static_cast<int>(m_random() % m_vms.size());
        if (m_fleet.isRunning(vm)) {
            Call call;
            call.sentAt = m_now;
            call.kind = KINDS.at(m_calls.size() % KINDS.size());
            call.vm = vm;
            m_calls.push_back(call);
            const JobPointer job = makeJob(vm, m_calls.size() - 1, makeRequest(m_calls.size() - 1, m_now + PATIENCE));
            perform(job, job->machine->start(m_now));
        }
        sendRequests();
    });
}

RelayRequest HandoverSimulation::makeRequest(std::size_t call, MonotonicTime deadline) const
{
    RelayRequest request;
    request.table = m_tables.at(m_calls[call].kind);
    request.route = request.table->route("host.example", "/jobs/x");
    request.id = RequestId("request-" + std::to_string(call));
    request.service = SERVICE;
    request.arrivedAt = m_calls[call].sentAt;
    request.deadline = deadline;
    request.timeoutAt = deadline;
    request.fingerprint = Fingerprint(call);
    return request;
}

HandoverSimulation::JobPointer HandoverSimulation::makeJob(int vm, std::size_t call, RelayRequest request)
{
    auto job = std::make_shared<Job>();
    job->vmNumber = vm;
    job->vm = m_vms[static_cast<std::size_t>(vm)];
    job->call = call;
    job->machine = std::make_unique<RelayMachine>(std::move(request), job->vm->context);
    return job;
}

void HandoverSimulation::perform(const JobPointer &job, const RelayActions &actions)
{
    for (const RelayAction &action : actions) {
        std::visit(
            Overloaded {
                [&](const SendRequest &send) { sendToTarget(job, send); },
                [&](const HandOverRequest &handed) { handOver(job, handed); },
                [&](const FindOrigin &) {
                    deliver(job, NETWORK_TIME, [this](RelayMachine &machine) {
                        return machine.onOrigin({ StreamOrigin { SERVICE, {} } }, m_now);
                    });
                },
                [&](const ArmTimer &timer) {
                    deliver(job, timer.at - m_now, [this](RelayMachine &machine) { return machine.onTimer(m_now); });
                },
                [&](const CancelAttempt &) {
                    if (const JobPointer receiver = std::exchange(job->receiver, nullptr)) {
                        deliver(receiver, NETWORK_TIME, [this](RelayMachine &machine) { return machine.onCallerGone(m_now); });
                    }
                },
                [&](const ForwardResponse &forwarded) { respond(job, forwarded.head.status, forwarded.body, forwarded.head.isStamped); },
                [&](const ForwardEvents &forwarded) { respond(job, STATUS_OK, forwarded.events, true); },
                [&](const RefuseRequest &refused) { refuse(job, refused); },
                [](const auto &) {},
            },
            action);
    }
}

void HandoverSimulation::sendToTarget(const JobPointer &job, const SendRequest &action)
{
    const AttemptNumber attempt = action.attempt;
    const auto fail = [this, job, attempt](Duration delay, AttemptFailure failure) {
        deliver(job, delay, [this, attempt, failure](RelayMachine &machine) { return machine.onFailed(attempt, failure, "cut", m_now); });
    };
    const bool isNew = action.onNewConnection || m_random() % 4 == 0; // some of the kept connections are in use
    if (!m_areTargetsUp || (isCut(job->vmNumber) && (m_cut == CutKind::Reset || (m_cut == CutKind::RefuseNew && isNew)))) {
        fail(NETWORK_TIME, AttemptFailure::Refused);
        return;
    }
    if (isCut(job->vmNumber) && m_cut == CutKind::Hang) {
        fail(isNew ? CONNECT_TIMEOUT : SILENCE_LIMIT, isNew ? AttemptFailure::NotSent : AttemptFailure::Unresponsive);
        return;
    }
    Call &call = m_calls[job->call];
    ++call.runs;
    m_withTooMuchTime += action.deadline > call.sentAt + PATIENCE || m_now > call.sentAt + PATIENCE ? 1 : 0;
    const Duration delay = std::max<Duration>(m_silentUntil - m_now, Duration::zero()) + RUN_TIME;
    deliver(job, delay, [this, attempt](RelayMachine &machine) {
        ResponseHead head;
        head.status = STATUS_OK;
        head.isStamped = true;
        RelayActions actions = machine.onHead(attempt, head, m_now);
        for (const RelayActions &more : { machine.onBody(attempt, "id: 1\ndata: a\n\n", m_now), machine.onFinished(attempt, m_now) }) {
            actions.insert(actions.end(), more.begin(), more.end());
        }
        return actions;
    });
}

void HandoverSimulation::handOver(const JobPointer &job, const HandOverRequest &action)
{
    m_handovers.push_back(m_now);
    const int receiverNumber = SimulatedFleet::vmOf(action.receiver.vm);
    const AttemptNumber attempt = action.attempt;
    if (!m_fleet.reaches(job->vmNumber, receiverNumber)) {
        deliver(job, CONNECT_TIMEOUT, [this, attempt](RelayMachine &machine) {
            return machine.onFailed(attempt, AttemptFailure::NotSent, "no daemon", m_now);
        });
        return;
    }
    RelayRequest request = makeRequest(job->call, action.deadline);
    request.handover = action.handover;
    const JobPointer receiver = makeJob(receiverNumber, job->call, std::move(request));
    receiver->sender = job;
    receiver->senderAttempt = attempt;
    job->receiver = receiver;
    deliver(receiver, NETWORK_TIME, [this](RelayMachine &machine) { return machine.start(m_now); });
}

void HandoverSimulation::respond(const JobPointer &job, unsigned status, const std::string &body, bool isStamped)
{
    if (!job->sender) {
        m_calls[job->call].isServed = status == STATUS_OK;
        m_calls[job->call].endedAt = m_now;
        return;
    }
    deliver(job->sender, NETWORK_TIME, [this, attempt = job->senderAttempt, status, body, isStamped](RelayMachine &machine) {
        ResponseHead head;
        head.status = status;
        head.isStamped = isStamped;
        RelayActions actions = machine.onHead(attempt, head, m_now);
        for (const RelayActions &more : { machine.onBody(attempt, body, m_now), machine.onFinished(attempt, m_now) }) {
            actions.insert(actions.end(), more.begin(), more.end());
        }
        return actions;
    });
}

void HandoverSimulation::refuse(const JobPointer &job, const RefuseRequest &action)
{
    if (job->sender && action.declined) {
        deliver(job->sender, NETWORK_TIME, [this, attempt = job->senderAttempt, reason = *action.declined](RelayMachine &machine) {
            return machine.onDeclined(attempt, reason, m_now);
        });
        return;
    }
    if (job->sender) {
        respond(job, action.status, {}, false);
        return;
    }
    m_calls[job->call].isRefused = action.status == 503;
    m_calls[job->call].endedAt = m_now;
}

void HandoverSimulation::probe(int number)
{
    const std::shared_ptr<Vm> &vm = m_vms[static_cast<std::size_t>(number)];
    for (const ReachabilityProbe &started : vm->reachability.takeProbes(vm->targets, m_now)) {
        const bool isConnected = m_areTargetsUp && !isCut(number);
        const bool isSlow = isCut(number) && m_cut == CutKind::Hang;
        schedule(isSlow ? Duration(ReachabilityTracker::PROBE_TIMEOUT) : Duration(NETWORK_TIME),
                 [this, vm, started, isConnected] { vm->reachability.onProbed(started, isConnected, m_now); });
    }
    m_fleet.members(number).setBlockedServices(vm->reachability.blockedServices());
}

bool HandoverSimulation::isCut(int vm) const
{
    return m_cut && m_cutVms.count(vm) > 0;
}

std::shared_ptr<HandoverSimulation::Vm> HandoverSimulation::makeVm(int vm)
{
    auto made = std::make_shared<Vm>(vm, m_fleet.members(vm));
    for (const TargetRecord &target : m_targets) {
        made->targets.put(target, m_now);
    }
    return made;
}

} // namespace CassiaRelay::Gateway
