#pragma once

#include <common/common.h>

#include <atomic>
#include <chrono>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace CassiaRelay::Metrics {

/** Name and value of a label. */
struct Label {
    std::string name;
    std::string value;
};
using Labels = std::vector<Label>;

/** Counts up; safe from any thread. */
class Counter
{
public:
    void add(std::uint64_t amount = 1);
    std::uint64_t value() const;

private:
    std::atomic<std::uint64_t> m_value { 0 };
};

/** Owns every counter of the process. Look a counter up once and keep the reference. */
class Registry
{
public:
    Counter &counter(const std::string &name, const Labels &labels = {});
    /** Prometheus text format. */
    std::string text() const;

private:
    mutable std::mutex m_mutex;
    std::map<std::string, std::unique_ptr<Counter>> m_counters;
};

} // namespace CassiaRelay::Metrics
