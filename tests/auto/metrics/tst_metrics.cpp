#define BOOST_TEST_MODULE metrics
#include <boost/test/unit_test.hpp>
#include <metrics/metrics.h>

#include <numeric>
#include <thread>

using namespace CassiaRelay;
using namespace std::chrono_literals;

namespace {

bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

std::size_t countOf(const std::string &text, const std::string &part)
{
    std::size_t count = 0;
    for (std::size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + part.size())) {
        ++count;
    }
    return count;
}

bool isNear(Duration value, Duration expected)
{
    const Duration difference = value > expected ? value - expected : expected - value;
    return difference <= expected / 20;
}

} // namespace

BOOST_AUTO_TEST_CASE(histogramPutsSamplesIntoBuckets)
{
    Metrics::Histogram histogram;
    histogram.record(1ms);
    histogram.record(1001us);
    histogram.record(90s);
    histogram.record(-1ms);
    const Metrics::HistogramSummary summary = histogram.summary();
    BOOST_TEST(summary.count == 4U);
    BOOST_TEST((summary.sum == 90s + 2001us));
    BOOST_TEST((summary.max == 90s));
    BOOST_TEST(summary.buckets[0] == 1U);
    BOOST_TEST(summary.buckets[1] == 1U);
    BOOST_TEST(summary.buckets[2] == 1U);
    BOOST_TEST(summary.buckets.back() == 1U);
}

BOOST_AUTO_TEST_CASE(histogramEstimatesQuantiles)
{
    Metrics::Histogram histogram;
    RandomSource random(7);
    std::uniform_int_distribution<int> milliseconds(1, 1000);
    for (int sample = 0; sample < 20000; ++sample) {
        histogram.record(std::chrono::milliseconds(milliseconds(random)));
    }
    const Metrics::HistogramSummary summary = histogram.summary();
    BOOST_TEST(isNear(summary.quantiles[0], 500ms));
    BOOST_TEST(isNear(summary.quantiles[1], 900ms));
    BOOST_TEST(isNear(summary.quantiles[2], 990ms));
}

BOOST_AUTO_TEST_CASE(fewSamplesGiveQuantilesFromBuckets)
{
    Metrics::Histogram histogram;
    BOOST_TEST((histogram.summary().quantiles[2] == Duration::zero()));
    histogram.record(3ms);
    histogram.record(4ms);
    histogram.record(70ms);
    BOOST_TEST((histogram.summary().quantiles[0] == 5ms));
    BOOST_TEST((histogram.summary().quantiles[2] == 70ms));
}

BOOST_AUTO_TEST_CASE(recordsFromSeveralThreadsAreAllCounted)
{
    constexpr int THREADS = 4;
    constexpr int SAMPLES = 5000;
    Metrics::Histogram histogram;
    std::vector<std::thread> threads;
    threads.reserve(THREADS);
    for (int thread = 0; thread < THREADS; ++thread) {
        threads.emplace_back([&histogram] {
            for (int sample = 0; sample < SAMPLES; ++sample) {
                histogram.record(2ms);
            }
        });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    const Metrics::HistogramSummary summary = histogram.summary();
    BOOST_TEST(summary.count == static_cast<std::uint64_t>(THREADS * SAMPLES));
    BOOST_TEST(std::accumulate(summary.buckets.begin(), summary.buckets.end(), std::uint64_t { 0 }) == summary.count);
}

BOOST_AUTO_TEST_CASE(registryWritesPrometheusText)
{
    Metrics::Registry registry;
    registry.describe("requests_total", "Requests.");
    registry.counter("requests_total", { { "name", "a\"b\\c\nd" } }).add(3);
    registry.gauge("level").set(-2);
    registry.histogram("seconds", { { "stage", "draft" } }).record(3ms);
    const std::string text = registry.text();
    BOOST_TEST(contains(text, "# HELP requests_total Requests.\n# TYPE requests_total counter\n"));
    BOOST_TEST(contains(text, "requests_total{name=\"a\\\"b\\\\c\\nd\"} 3\n"));
    BOOST_TEST(contains(text, "# TYPE level gauge\nlevel -2\n"));
    BOOST_TEST(contains(text, "# TYPE seconds histogram\n"));
    BOOST_TEST(contains(text, "seconds_bucket{stage=\"draft\",le=\"0.0025\"} 0\n"));
    BOOST_TEST(contains(text, "seconds_bucket{stage=\"draft\",le=\"0.005\"} 1\n"));
    BOOST_TEST(contains(text, "seconds_bucket{stage=\"draft\",le=\"+Inf\"} 1\n"));
    BOOST_TEST(contains(text, "seconds_sum{stage=\"draft\"} 0.003\n"));
    BOOST_TEST(contains(text, "seconds_count{stage=\"draft\"} 1\n"));
}

BOOST_AUTO_TEST_CASE(registryReturnsTheSameInstrumentAndRefusesAnotherType)
{
    Metrics::Registry registry;
    Metrics::Counter &counter = registry.counter("x");
    BOOST_TEST(&registry.counter("x") == &counter);
    BOOST_TEST(&registry.counter("x", { { "a", "b" } }) != &counter);
    BOOST_CHECK_THROW(registry.gauge("x"), Error);
}

BOOST_AUTO_TEST_CASE(organisationsBeyondTheLimitShareOneSeries)
{
    Metrics::Registry registry;
    Metrics::RequestMetrics metrics(registry, 2);
    for (int organisation = 0; organisation < 100; ++organisation) {
        const OrganisationId id("org-" + std::to_string(organisation));
        metrics.stage({ id, 1, StageName("draft") }).service.record(1ms);
        metrics.request(id, 1).record(1ms);
    }
    const std::string text = registry.text();
    BOOST_TEST(countOf(text, "cassiarelay_stage_service_seconds_count{") == 3U);
    BOOST_TEST(contains(text, "cassiarelay_stage_service_seconds_count{organisation=\"other\",class=\"1\",stage=\"draft\"} 98\n"));
    BOOST_TEST(contains(text, "cassiarelay_request_duration_seconds_count{organisation=\"org-1\",class=\"1\"} 1\n"));
    BOOST_TEST(contains(text, "cassiarelay_request_duration_seconds_count{organisation=\"other\",class=\"1\"} 98\n"));
}

BOOST_AUTO_TEST_CASE(countersOfEveryKindAreThereFromTheStart)
{
    Metrics::Registry registry;
    const Metrics::RequestMetrics metrics(registry);
    metrics.refusals(ErrorKind::Quarantined).add();
    metrics.grants(Metrics::GrantResult::Replayed).add(2);
    metrics.leases(Metrics::LeaseEvent::Lost).add();
    const std::string text = registry.text();
    BOOST_TEST(contains(text, "cassiarelay_refusals_total{kind=\"quarantined\"} 1\n"));
    BOOST_TEST(contains(text, "cassiarelay_refusals_total{kind=\"internal\"} 0\n"));
    BOOST_TEST(contains(text, "cassiarelay_grants_total{result=\"replayed\"} 2\n"));
    BOOST_TEST(contains(text, "cassiarelay_leases_total{event=\"lost\"} 1\n"));
}
