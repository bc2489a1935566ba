#include "fetchedinputs.h"

#include <iterator>

namespace CassiaRelay::Gateway {

namespace {

// A call starts as soon as it arrives, because its target has a free slot, and fetches a few megabytes over a link of 10 Gbit/s. A third
// of the shortest call; a piece that still finds an input gone makes its request run its stages again.
constexpr std::chrono::milliseconds FETCH_TIME { 100 };

} // namespace

void FetchedInputs::add(OrderId order, std::vector<StageResult> inputs, std::size_t pieces)
{
    m_orders[order.value()] = { std::move(inputs), pieces, false };
}

void FetchedInputs::recordSent(OrderId order, MonotonicTime now)
{
    const auto found = m_orders.find(order.value());
    if (found == m_orders.end() || found->second.unsentPieces == 0) {
        return;
    }
    --found->second.unsentPieces;
    if (found->second.unsentPieces == 0) {
        m_fetches.push_back({ order, now + FETCH_TIME });
    }
}

void FetchedInputs::recordReturned(OrderId order)
{
    const auto found = m_orders.find(order.value());
    if (found != m_orders.end() && !found->second.wereTaken) {
        ++found->second.unsentPieces;
    }
}

void FetchedInputs::remove(OrderId order)
{
    m_orders.erase(order.value());
}

// An order of which a piece was returned in the meantime is found again when its last piece has been sent.
std::vector<StageResult> FetchedInputs::take(MonotonicTime now)
{
    std::vector<StageResult> fetched;
    while (!m_fetches.empty() && m_fetches.front().doneAt <= now) {
        const auto found = m_orders.find(m_fetches.front().order.value());
        m_fetches.pop_front();
        if (found == m_orders.end() || found->second.unsentPieces > 0 || found->second.wereTaken) {
            continue;
        }
        found->second.wereTaken = true;
        std::move(found->second.inputs.begin(), found->second.inputs.end(), std::back_inserter(fetched));
        found->second.inputs.clear();
    }
    return fetched;
}

bool FetchedInputs::isWaiting() const
{
    return !m_fetches.empty();
}

} // namespace CassiaRelay::Gateway
