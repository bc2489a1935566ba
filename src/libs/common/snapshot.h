#pragma once

#include <atomic>
#include <memory>
#include <utility>

namespace CassiaRelay {

/** Read-copy-update cell: readers take the current immutable value, a writer replaces it as a whole. */
template<typename Value>
class Snapshot
{
public:
    using Pointer = std::shared_ptr<const Value>;

    Snapshot()
        : m_value(std::make_shared<const Value>())
    {
    }
    explicit Snapshot(Pointer value)
        : m_value(std::move(value))
    {
    }

    Pointer load() const
    {
        return std::atomic_load_explicit(&m_value, std::memory_order_acquire);
    }

    void store(Pointer value)
    {
        std::atomic_store_explicit(&m_value, std::move(value), std::memory_order_release);
    }

private:
    Pointer m_value;
};

} // namespace CassiaRelay
