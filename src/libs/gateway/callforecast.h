#pragma once

#include <common/common.h>

#include <cstddef>
#include <functional>
#include <optional>
#include <queue>
#include <vector>

namespace CassiaRelay::Gateway {

/** Usual times of a call of a stage service. */
struct CallTimes {
    std::size_t batch = 1;
    Duration perCall {};
    Duration perPiece {};

    Duration of(std::size_t pieces) const
    {
        return perCall + perPiece * static_cast<Duration::rep>(pieces);
    }
};

/** A slot of a target that can start a call. */
struct CallSlot {
    Duration freeIn {};     ///< until it can start its next call
    std::size_t places = 1; ///< pieces for whose results the target has memory in that call; later calls are full ones
};

/** Predicts when pieces finish that wait in one queue for a group of targets and are sent in full calls. */
class CallForecast
{
public:
    CallForecast(const std::vector<CallSlot> &slots, CallTimes times);

    /**
     * Returns the expected time until the piece at this position of the queue finishes; no value without slots.
     * @param total length of the queue; the last call of a shorter queue is shorter
     */
    std::optional<Duration> finish(std::size_t position, std::size_t total);

private:
    struct Slot {
        Duration start {};
        std::size_t places = 1;

        bool operator>(const Slot &other) const
        {
            return start > other.start;
        }
    };
    struct Call {
        Duration start {};
        std::size_t first = 0; ///< position of its first piece
        std::size_t places = 1;
    };

    CallTimes m_times;
    std::priority_queue<Slot, std::vector<Slot>, std::greater<>> m_slots; ///< next call of each slot
    std::vector<Call> m_calls;
    std::vector<std::size_t> m_callOfPosition;
};

} // namespace CassiaRelay::Gateway
