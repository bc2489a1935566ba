#pragma once

#include <atomic>
#include <cstdint>

namespace CassiaRelay::Metrics {

/** Counts up; safe from any thread. */
class Counter
{
public:
    void add(std::uint64_t amount = 1)
    {
        m_value.fetch_add(amount, std::memory_order_relaxed);
    }
    std::uint64_t value() const
    {
        return m_value.load(std::memory_order_relaxed);
    }

private:
    std::atomic<std::uint64_t> m_value { 0 };
};

/** A level that goes up and down; safe from any thread. */
class Gauge
{
public:
    void set(std::int64_t value)
    {
        m_value.store(value, std::memory_order_relaxed);
    }
    void add(std::int64_t amount)
    {
        m_value.fetch_add(amount, std::memory_order_relaxed);
    }
    std::int64_t value() const
    {
        return m_value.load(std::memory_order_relaxed);
    }

private:
    std::atomic<std::int64_t> m_value { 0 };
};

} // namespace CassiaRelay::Metrics
