#pragma once

#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace CassiaRelay {

/** A value of type Value that does not convert to the same value with another Tag. */
template<typename Tag, typename Value = std::string>
class StrongId
{
public:
    StrongId() = default;
    explicit StrongId(Value value)
        : m_value(std::move(value))
    {
    }

    const Value &value() const
    {
        return m_value;
    }

    friend bool operator==(const StrongId &left, const StrongId &right)
    {
        return left.m_value == right.m_value;
    }
    friend bool operator!=(const StrongId &left, const StrongId &right)
    {
        return left.m_value != right.m_value;
    }
    friend bool operator<(const StrongId &left, const StrongId &right)
    {
        return left.m_value < right.m_value;
    }
    friend std::ostream &operator<<(std::ostream &stream, const StrongId &id)
    {
        return stream << id.m_value;
    }

private:
    Value m_value {};
};

using VmId = StrongId<struct VmTag>;
using TargetId = StrongId<struct TargetTag>;
using OrganisationId = StrongId<struct OrganisationTag>;
using FailureDomain = StrongId<struct FailureDomainTag>;
using PoolName = StrongId<struct PoolTag>;
using PipelineName = StrongId<struct PipelineTag>;
using StageName = StrongId<struct StageTag>;
/** Unique over the fleet; callers quote it to operators. */
using RequestId = StrongId<struct RequestTag>;
/** One unit of work of one daemon: a stage of a request waiting for or running on a target. */
using WorkId = StrongId<struct WorkTag, std::uint64_t>;
/** Rises with each start of a process; a restarted process has another one. */
using Incarnation = StrongId<struct IncarnationTag, std::uint64_t>;
/** Hash of organisation and body; the same request sent again has the same one. */
using Fingerprint = StrongId<struct FingerprintTag, std::uint64_t>;

} // namespace CassiaRelay

template<typename Tag, typename Value>
struct std::hash<CassiaRelay::StrongId<Tag, Value>> {
    std::size_t operator()(const CassiaRelay::StrongId<Tag, Value> &id) const noexcept
    {
        return std::hash<Value>()(id.value());
    }
};
