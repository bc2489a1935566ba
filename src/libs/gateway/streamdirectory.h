#pragma once

#include "configuration.h"

#include <deque>
#include <optional>
#include <string>
#include <unordered_map>

namespace CassiaRelay::Gateway {

/** What a stream is bound to from its first target on. */
struct StreamOrigin {
    ServiceName service;
    std::string softwareVersion; ///< of the target
};

/** Remembers for a while where streams began, so that they can go on at a target of the same software version. */
class StreamDirectory
{
public:
    /** @param stream request that brought, or will bring, the first event */
    void record(const RequestId &stream, const StreamOrigin &origin, MonotonicTime now);
    std::optional<StreamOrigin> find(const RequestId &stream) const;
    void removeExpired(MonotonicTime now);
    std::size_t size() const;

private:
    struct Entry {
        StreamOrigin origin;
        MonotonicTime recordedAt;
    };
    struct Age {
        RequestId stream;
        MonotonicTime recordedAt;
    };

    void removeOldest();

    std::unordered_map<RequestId, Entry> m_entries;
    std::deque<Age> m_ages; ///< in the order of recording; an entry that was recorded again has several
};

} // namespace CassiaRelay::Gateway
