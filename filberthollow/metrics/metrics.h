// Counters and latency histograms of one task, and the values that report them.
//
// A task owns its Metrics; other tasks get only an immutable MetricsReport on
// request.
//
//   Metrics metrics;
//   metrics.Count(Reason::kBadToken);
//   metrics.Record("request_ms", took);
//   std::string text = PrometheusText({metrics.Report()});
#ifndef FILBERTHOLLOW_METRICS_METRICS_H_
#define FILBERTHOLLOW_METRICS_METRICS_H_

#include <array>
#include <boost/histogram.hpp>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "filberthollow/base/clock.h"
#include "filberthollow/flow/reason.h"

namespace filberthollow::metrics {

// CounterSample is the name and value of a counter or gauge.
struct CounterSample {
  std::string name;
  uint64_t value = 0;
  friend bool operator==(const CounterSample&, const CounterSample&) = default;
};

// Bucket counts the samples up to `upper_ms`.
struct Bucket {
  double upper_ms = 0;
  uint64_t count = 0;  // cumulative: includes all lower buckets
  friend bool operator==(const Bucket&, const Bucket&) = default;
};

// HistogramSample is a histogram of durations. Samples above the last bucket
// are included in `count` and `sum_ms` only.
struct HistogramSample {
  std::string name;
  std::vector<Bucket> buckets;
  uint64_t count = 0;
  double sum_ms = 0;
  friend bool operator==(const HistogramSample&,
                         const HistogramSample&) = default;
};

// MetricsReport is a snapshot of one task's metrics.
struct MetricsReport {
  std::array<uint64_t, flow::kReasonCount> reasons{};  // indexed by Reason
  std::vector<CounterSample> counters;
  std::vector<HistogramSample> histograms;
  friend bool operator==(const MetricsReport&, const MetricsReport&) = default;
};

// LatencyHistogram counts durations in buckets of logarithmic width from 1 ms
// to 65536 ms. Durations below 1 ms are counted in the first bucket.
class LatencyHistogram {
 public:
  LatencyHistogram();
  void Record(base::Millis value);
  HistogramSample Report(std::string name) const;
  // Quantile returns the upper bound in milliseconds of the bucket that
  // contains the quantile `q`, which is from 0 to 1. Returns 0 if there are no
  // samples, and 65536 if the quantile is above the last bucket.
  double Quantile(double q) const;

 private:
  using Axis =
      boost::histogram::axis::regular<double,
                                      boost::histogram::axis::transform::log>;
  boost::histogram::histogram<std::tuple<Axis>> m_histogram;
  uint64_t m_count = 0;
  double m_sum_ms = 0;
};

// Metrics holds the metrics of one task and is used on its thread only.
class Metrics {
 public:
  // Count increments the counter of a reason.
  void Count(flow::Reason reason) { ++m_reasons[static_cast<size_t>(reason)]; }
  // Add adds `amount` to a named counter, which starts at 0.
  void Add(std::string_view name, uint64_t amount = 1);
  // Set sets a named gauge. Gauges and counters share one namespace.
  void Set(std::string_view name, uint64_t value);
  // Record adds a duration to a named histogram.
  void Record(std::string_view name, base::Millis value);

  uint64_t reason_count(flow::Reason reason) const {
    return m_reasons[static_cast<size_t>(reason)];
  }
  MetricsReport Report() const;

 private:
  std::array<uint64_t, flow::kReasonCount> m_reasons{};
  std::map<std::string, uint64_t, std::less<>> m_counters;
  std::map<std::string, LatencyHistogram, std::less<>> m_histograms;
};

// PrometheusText formats the reports of a process in the Prometheus text
// exposition format, version 0.0.4. Reason counters are summed over the
// reports; all other metrics are written once per report, so a name that two
// tasks use appears twice.
std::string PrometheusText(const std::vector<MetricsReport>& reports);

}  // namespace filberthollow::metrics

#endif  // FILBERTHOLLOW_METRICS_METRICS_H_
