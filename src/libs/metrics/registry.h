#pragma once

#include "histogram.h"
#include "instruments.h"

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <variant>
#include <vector>

namespace CassiaRelay::Metrics {

/** Name and value of a label. */
struct Label {
    std::string name;
    std::string value;
};
using Labels = std::vector<Label>;

/** One histogram with its name and labels. */
struct HistogramSample {
    std::string name;
    Labels labels;
    HistogramSummary summary;
};

/** Owns every instrument of the process. Look an instrument up once and keep the reference. */
class Registry
{
public:
    /** @throws Error when the name belongs to an instrument of another type */
    Counter &counter(const std::string &name, const Labels &labels = {});
    Gauge &gauge(const std::string &name, const Labels &labels = {});
    Histogram &histogram(const std::string &name, const Labels &labels = {});
    /** Sets the HELP line of a name. */
    void describe(const std::string &name, const std::string &help);
    /** Prometheus text format. */
    std::string text() const;
    std::vector<HistogramSample> histograms() const;

private:
    using Instrument = std::variant<std::unique_ptr<Counter>, std::unique_ptr<Gauge>, std::unique_ptr<Histogram>>;
    struct Series {
        Labels labels;
        Instrument instrument;
    };
    using Family = std::map<std::string, Series>; ///< by label text

    template<typename Type>
    Type &instrument(const std::string &name, const Labels &labels);

    mutable std::mutex m_mutex;
    std::map<std::string, Family> m_families;
    std::map<std::string, std::string> m_help;
};

} // namespace CassiaRelay::Metrics
