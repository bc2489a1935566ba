#include "stagechainsimulation.h"

#include <algorithm>

namespace CassiaRelay::Gateway::Samples {

namespace {

constexpr std::size_t STAGES = 3;
constexpr std::size_t BOTTLENECK_STAGE = 1;
constexpr int TARGETS = 2;
constexpr std::chrono::milliseconds STEP { 5 };
constexpr std::chrono::milliseconds FIRST_EVENT { 100 };
const std::vector<int> PIECES { 1, 4, 1 };

std::string stageName(std::size_t stage)
{
    return "stage-" + std::to_string(stage);
}

Duration callTime(std::size_t pieces)
{
    const PieceCapacity capacity = *stageService("any").pieces;
    return capacity.perCall + capacity.perPiece * static_cast<int>(pieces);
}

} // namespace

StageChainSimulation::StageChainSimulation()
{
    Configuration configuration;
    configuration.version = 1;
    Route staged = route(RouteKind::Stream);
    for (std::size_t stage = 0; stage < STAGES; ++stage) {
        const std::vector<std::size_t> after = stage == 0 ? std::vector<std::size_t>() : std::vector<std::size_t> { stage - 1 };
        staged.stages.push_back({ ServiceName(stageName(stage)), after, 1000 });
        configuration.services.push_back(stageService(stageName(stage)));
        m_schedulers.emplace_back(ServiceName(stageName(stage)), *configuration.services.back().pieces);
        for (int number = 0; number < TARGETS; ++number) {
            m_targets.put(target(stageName(stage) + "/" + std::to_string(number), stageName(stage)), START);
        }
    }
    m_targets.put(target("engine-0", "engine"), START);
    configuration.routes = { staged };
    m_table = std::make_shared<const RouteTable>(configuration);
}

double StageChainSimulation::capacity()
{
    const auto batch = static_cast<std::size_t>(stageService("any").pieces->batch);
    const std::chrono::duration<double> call = callTime(batch);
    return TARGETS * static_cast<double>(batch) / call.count() / PIECES[BOTTLENECK_STAGE];
}

void StageChainSimulation::load(double requestsPerSecond, Duration length)
{
    const std::chrono::duration<double> interval(1 / requestsPerSecond);
    MonotonicTime next = m_now;
    const MonotonicTime last = m_now + length;
    while (m_now < last) {
        for (; next <= m_now; next += std::chrono::duration_cast<Duration>(interval)) {
            submitRequest(false);
        }
        step();
    }
}

void StageChainSimulation::enableCallerRetries()
{
    m_callersRetry = true;
}

SimulationResult StageChainSimulation::finish()
{
    const auto isOpen = [](const Request &request) { return !request.hasEnded; };
    while (!m_retryTimes.empty() || std::any_of(m_requests.begin(), m_requests.end(), isOpen)) {
        step();
    }
    return m_result;
}

void StageChainSimulation::step()
{
    endCalls();
    startStreams();
    retryRefusedCallers();
    stepSchedulers();
    m_now += STEP;
}

void StageChainSimulation::retryRefusedCallers()
{
    const std::vector<MonotonicTime> retryTimes = std::exchange(m_retryTimes, {});
    for (const MonotonicTime at : retryTimes) {
        if (at > m_now) {
            m_retryTimes.push_back(at);
            continue;
        }
        submitRequest(true);
    }
}

void StageChainSimulation::onRefused(std::size_t request, const RefuseRequest &refusal)
{
    ++m_result.refused;
    m_result.wastedPieces += m_requests[request].completedPieces;
    if (m_requests[request].isRetry) {
        ++m_result.refusedRetries;
    } else if (m_callersRetry && refusal.retryAfter) {
        m_retryTimes.push_back(m_now + *refusal.retryAfter);
    }
    endRequest(request);
}

void StageChainSimulation::submitRequest(bool isRetry)
{
    RelayRequest request;
    request.table = m_table;
    request.route = m_table->route("host.example", "/jobs/x");
    request.id = RequestId(std::to_string(m_requests.size()));
    request.service = ServiceName("engine");
    request.arrivedAt = m_now;
    request.deadline = m_now + seconds(15);
    request.timeoutAt = m_now + request.route->timeout;
    request.pieceCounts = PIECES;
    request.inputKey = "input";
    request.fingerprint = Fingerprint(m_requests.size());
    m_result.requested += isRetry ? 0 : 1;
    Request entry;
    entry.isRetry = isRetry;
    entry.machine = std::make_unique<RelayMachine>(std::move(request), m_context);
    m_requests.push_back(std::move(entry));
    perform(m_requests.size() - 1, m_requests.back().machine->start(m_now));
}

void StageChainSimulation::perform(std::size_t request, const RelayActions &actions)
{
    for (const RelayAction &action : actions) {
        std::visit(Overloaded {
                       [&](const OrderPieces &one) { submitOrder(request, one.order); },
                       [&](const FreeResults &one) {
                           std::for_each(one.results.begin(), one.results.end(), [this](const StageResult &result) { release(result); });
                       },
                       [&](const SendRequest &one) {
                           m_streams.push_back({ request, one.attempt, m_now + FIRST_EVENT });
                       },
                       [&](const RefuseRequest &one) { onRefused(request, one); },
                       [&](const EndStream &) { endRequest(request); },
                       [](const auto & /*other*/) {},
                   },
                   action);
    }
}

void StageChainSimulation::submitOrder(std::size_t request, const PieceOrder &order)
{
    const OrderId id(m_orders.size() + 1);
    m_orders[id] = { request, order.stage, order.pieces.size(), {} };
    m_requests[request].orders.push_back(id);
    if (m_schedulers[order.stage].submit(id, order, m_targets, m_now)) {
        return;
    }
    std::vector<OrderProgress> completions;
    for (const int piece : order.pieces) {
        completions.push_back({ id, { piece, PieceFailure::Late } });
    }
    applyProgress(completions);
}

void StageChainSimulation::release(const StageResult &result)
{
    for (StageScheduler &scheduler : m_schedulers) {
        scheduler.release(result);
    }
}

void StageChainSimulation::endRequest(std::size_t request)
{
    m_requests[request].hasEnded = true;
    for (const OrderId id : m_requests[request].orders) {
        m_schedulers[m_orders.at(id).stage].withdraw(id);
    }
}

void StageChainSimulation::applyProgress(const std::vector<OrderProgress> &completions)
{
    for (const OrderProgress &progress : completions) {
        OpenOrder &order = m_orders.at(progress.order);
        const bool hasResult = std::holds_alternative<StageResult>(progress.completion.outcome);
        m_requests[order.request].completedPieces += hasResult ? 1 : 0;
        order.completions.push_back(progress.completion);
        if (--order.openPieces == 0) {
            perform(order.request, m_requests[order.request].machine->onStageFinished(order.stage, order.completions, m_now));
        }
    }
}

void StageChainSimulation::endCalls()
{
    std::vector<RunningCall> ended;
    const auto isRunning = [this](const RunningCall &running) { return running.endsAt > m_now; };
    const auto firstEnded = std::stable_partition(m_calls.begin(), m_calls.end(), isRunning);
    std::move(firstEnded, m_calls.end(), std::back_inserter(ended));
    m_calls.erase(firstEnded, m_calls.end());
    for (const RunningCall &running : ended) {
        std::vector<PieceOutcome> outcomes;
        for (const CallItem &item : running.call.items) {
            const std::string handle =
                item.piece.request.value() + "." + stageName(item.piece.stage) + "." + std::to_string(item.piece.number);
            outcomes.emplace_back(StageResult { handle, running.call.target.id });
        }
        applyProgress(m_schedulers[running.stage].onAnswered(running.call.id, outcomes, m_targets, m_now));
    }
}

void StageChainSimulation::startStreams()
{
    const std::vector<StartedStream> streams = std::exchange(m_streams, {});
    for (const StartedStream &stream : streams) {
        if (stream.firstEventAt > m_now) {
            m_streams.push_back(stream);
            continue;
        }
        RelayMachine &machine = *m_requests[stream.request].machine;
        (m_now <= machine.request().softDeadline() ? m_result.onTime : m_result.late) += 1;
        ResponseHead head;
        head.status = 200;
        head.isStamped = true;
        perform(stream.request, machine.onHead(stream.attempt, head, m_now));
        perform(stream.request, machine.onBody(stream.attempt, "id: 1\ndata: a\n\n", m_now));
        perform(stream.request, machine.onFinished(stream.attempt, m_now));
    }
}

void StageChainSimulation::stepSchedulers()
{
    for (std::size_t stage = 0; stage < m_schedulers.size(); ++stage) {
        applyProgress(m_schedulers[stage].expire(m_targets, m_now));
        for (StageCall &call : m_schedulers[stage].dispatch(m_targets, m_now)) {
            const Duration time = callTime(call.items.size());
            m_calls.push_back({ stage, std::move(call), m_now + time });
        }
    }
}

} // namespace CassiaRelay::Gateway::Samples
