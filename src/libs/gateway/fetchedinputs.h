#pragma once

#include "piece.h"

#include <deque>
#include <unordered_map>

namespace CassiaRelay::Gateway {

/**
 * Finds out when the targets of a stage service have fetched the inputs of an order, so that they can be freed before its pieces are
 * complete.
 *
 * Addresses bursts on a stage whose result memory is short: a target fetches the inputs at the start of a call, so they occupy memory for
 * nothing during the rest of it.
 */
class FetchedInputs
{
public:
    /** Adds an order whose inputs may be freed once all its pieces have fetched them. */
    void add(OrderId order, std::vector<StageResult> inputs, std::size_t pieces);
    /** Records that a call with a piece of the order has started. */
    void recordSent(OrderId order, MonotonicTime now);
    /** Records that a piece of the order has to be sent again. */
    void recordReturned(OrderId order);
    void remove(OrderId order);
    /** Returns the inputs that all pieces of their orders have fetched by now. Each is returned once. */
    std::vector<StageResult> take(MonotonicTime now);
    /** Whether take() will return something later without a further call. */
    bool isWaiting() const;

private:
    struct Order {
        std::vector<StageResult> inputs;
        std::size_t unsentPieces = 0;
        bool wereTaken = false;
    };
    struct Fetch {
        OrderId order;
        MonotonicTime doneAt;
    };

    std::unordered_map<std::uint64_t, Order> m_orders;
    std::deque<Fetch> m_fetches; ///< of orders whose last piece was sent, in the order of their times
};

} // namespace CassiaRelay::Gateway
