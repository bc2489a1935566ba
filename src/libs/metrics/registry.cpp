#include "registry.h"

#include <cstdio>

namespace CassiaRelay::Metrics {

namespace {

std::string escaped(const std::string &value)
{
    std::string text;
    for (const char character : value) {
        if (character == '\n') {
            text += "\\n";
            continue;
        }
        if (character == '\\' || character == '"') {
            text += '\\';
        }
        text += character;
    }
    return text;
}

std::string labelText(const Labels &labels)
{
    std::string text;
    for (const Label &label : labels) {
        text += (text.empty() ? "" : ",") + label.name + "=\"" + escaped(label.value) + "\"";
    }
    return text;
}

std::string seriesName(const std::string &name, const std::string &labels)
{
    return labels.empty() ? name : name + "{" + labels + "}";
}

std::string secondsText(Duration duration)
{
    std::array<char, 32> text {};
    const double seconds = std::chrono::duration<double>(duration).count();
    const int length = std::snprintf(text.data(), text.size(), "%.9g", seconds);
    return { text.data(), static_cast<std::size_t>(length) };
}

std::string histogramText(const std::string &name, const std::string &labels, const HistogramSummary &summary)
{
    const std::string bucketName = name + "_bucket{" + (labels.empty() ? "" : labels + ",") + "le=\"";
    std::string text;
    std::uint64_t cumulative = 0;
    for (std::size_t index = 0; index < BUCKET_BOUNDS.size(); ++index) {
        cumulative += summary.buckets[index];
        text.append(bucketName).append(secondsText(BUCKET_BOUNDS[index])).append("\"} ").append(std::to_string(cumulative)).append("\n");
    }
    text += bucketName + "+Inf\"} " + std::to_string(summary.count) + "\n";
    text += seriesName(name + "_sum", labels) + " " + secondsText(summary.sum) + "\n";
    text += seriesName(name + "_count", labels) + " " + std::to_string(summary.count) + "\n";
    return text;
}

struct SeriesText {
    const std::string &name;
    const std::string &labels;

    std::string operator()(const std::unique_ptr<Histogram> &histogram) const
    {
        return histogramText(name, labels, histogram->summary());
    }
    template<typename Single>
    std::string operator()(const std::unique_ptr<Single> &single) const
    {
        return seriesName(name, labels) + " " + std::to_string(single->value()) + "\n";
    }
};

struct TypeName {
    const char *operator()(const std::unique_ptr<Counter> & /*instrument*/) const
    {
        return "counter";
    }
    const char *operator()(const std::unique_ptr<Gauge> & /*instrument*/) const
    {
        return "gauge";
    }
    const char *operator()(const std::unique_ptr<Histogram> & /*instrument*/) const
    {
        return "histogram";
    }
};

} // namespace

template<typename Type>
Type &Registry::instrument(const std::string &name, const Labels &labels)
{
    const std::lock_guard lock(m_mutex);
    Family &family = m_families[name];
    if (!family.empty() && !std::holds_alternative<std::unique_ptr<Type>>(family.begin()->second.instrument)) {
        throw Error(ErrorKind::Internal, "the metric " + name + " has another type", "give each metric its own name");
    }
    const auto [position, isNew] = family.try_emplace(labelText(labels));
    if (isNew) {
        position->second = { labels, std::make_unique<Type>() };
    }
    return *std::get<std::unique_ptr<Type>>(position->second.instrument);
}

Counter &Registry::counter(const std::string &name, const Labels &labels)
{
    return instrument<Counter>(name, labels);
}

Gauge &Registry::gauge(const std::string &name, const Labels &labels)
{
    return instrument<Gauge>(name, labels);
}

Histogram &Registry::histogram(const std::string &name, const Labels &labels)
{
    return instrument<Histogram>(name, labels);
}

void Registry::describe(const std::string &name, const std::string &help)
{
    const std::lock_guard lock(m_mutex);
    m_help[name] = help;
}

std::string Registry::text() const
{
    const std::lock_guard lock(m_mutex);
    std::string text;
    for (const auto &[name, family] : m_families) {
        const auto help = m_help.find(name);
        if (help != m_help.end()) {
            text += "# HELP " + name + " " + help->second + "\n";
        }
        text += "# TYPE " + name + " " + std::visit(TypeName {}, family.begin()->second.instrument) + "\n";
        for (const auto &[labels, series] : family) {
            text += std::visit(SeriesText { name, labels }, series.instrument);
        }
    }
    return text;
}

std::vector<HistogramSample> Registry::histograms() const
{
    const std::lock_guard lock(m_mutex);
    std::vector<HistogramSample> samples;
    for (const auto &[name, family] : m_families) {
        for (const auto &[labels, series] : family) {
            if (const auto *histogram = std::get_if<std::unique_ptr<Histogram>>(&series.instrument)) {
                samples.push_back({ name, series.labels, (*histogram)->summary() });
            }
        }
    }
    return samples;
}

} // namespace CassiaRelay::Metrics
