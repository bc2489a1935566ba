#include "registry.h"

namespace CassiaRelay::Metrics {

namespace {

std::string escaped(const std::string &value)
{
    std::string text;
    for (const char character : value) {
        if (character == '\\' || character == '"') {
            text += '\\';
        }
        text += character == '\n' ? ' ' : character;
    }
    return text;
}

std::string seriesName(const std::string &name, const Labels &labels)
{
    if (labels.empty()) {
        return name;
    }
    std::string text = name + "{";
    for (const Label &label : labels) {
        text += (text.back() == '{' ? "" : ",") + label.name + "=\"" + escaped(label.value) + "\"";
    }
    return text + "}";
}

} // namespace

void Counter::add(std::uint64_t amount)
{
    m_value.fetch_add(amount, std::memory_order_relaxed);
}

std::uint64_t Counter::value() const
{
    return m_value.load(std::memory_order_relaxed);
}

Counter &Registry::counter(const std::string &name, const Labels &labels)
{
    const std::lock_guard lock(m_mutex);
    std::unique_ptr<Counter> &counter = m_counters[seriesName(name, labels)];
    if (!counter) {
        counter = std::make_unique<Counter>();
    }
    return *counter;
}

std::string Registry::text() const
{
    const std::lock_guard lock(m_mutex);
    std::string text;
    for (const auto &[series, counter] : m_counters) {
        text += series + " " + std::to_string(counter->value()) + "\n";
    }
    return text;
}

} // namespace CassiaRelay::Metrics
