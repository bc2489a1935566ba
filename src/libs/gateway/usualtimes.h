#pragma once

#include "configuration.h"

#include <array>
#include <unordered_map>
#include <variant>

namespace CassiaRelay::Gateway {

/** A prompt that was read until the first event. */
struct PromptWork {
    std::int64_t tokens = 0;
};
/** Events of a stream after the first. */
struct EventWork {
    int events = 0;
};
/** A call of a stage service. */
struct PieceWork {
    Duration expected {}; ///< by the configured times of the service
};
/** The complete response of a plain service. */
struct AnswerWork {
};
/** A complete stream, which occupies a slot from the request to the last event. Depends on its length, so it says nothing of the pace. */
struct StreamWork {
};

using Work = std::variant<PromptWork, EventWork, PieceWork, AnswerWork, StreamWork>;

/** Learns how long work usually takes at the targets of each service: a running median, which a few slow targets do not move. */
class UsualTimes
{
public:
    /** Records a measured time. Returns it divided by the usual time of as much work. */
    double addSample(const ServiceName &service, const Work &work, Duration measured);
    /** Returns the usual time of the work; 0 if it is unknown. */
    Duration usual(const ServiceName &service, const Work &work) const;

private:
    struct Median {
        double perUnit = 0; ///< nanoseconds; 0 before the first sample
        int samples = 0;
    };

    std::unordered_map<ServiceName, std::array<Median, std::variant_size_v<Work>>> m_medians;
};

} // namespace CassiaRelay::Gateway
