// Counters and histograms of one task, and the values that report them.
//
// A task owns its Metrics; others see only the immutable MetricsReport that it
// hands out on request.
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

// CounterSample is a counter or gauge and its value.
struct CounterSample {
  std::string name;
  uint64_t value = 0;
  friend bool operator==(const CounterSample&, const CounterSample&) = default;
};

// Bucket counts the samples that are at most `upper_ms`.
struct Bucket {
  double upper_ms = 0;
  uint64_t count = 0;  // cumulative
  friend bool operator==(const Bucket&, const Bucket&) = default;
};

// HistogramSample is a histogram of milliseconds.
struct HistogramSample {
  std::string name;
  std::vector<Bucket> buckets;
  uint64_t count = 0;
  double sum_ms = 0;
  friend bool operator==(const HistogramSample&,
                         const HistogramSample&) = default;
};

// MetricsReport is a picture of one task's metrics.
struct MetricsReport {
  std::array<uint64_t, flow::kReasonCount> reasons{};
  std::vector<CounterSample> counters;
  std::vector<HistogramSample> histograms;
  friend bool operator==(const MetricsReport&, const MetricsReport&) = default;
};

// LatencyHistogram counts milliseconds on a logarithmic axis.
class LatencyHistogram {
 public:
  LatencyHistogram();
  void Record(base::Millis value);
  HistogramSample Report(std::string name) const;
  // Quantile returns the upper end of the bucket that holds the quantile
  // `q` of 0 to 1, in milliseconds; 0 if there are no samples.
  double Quantile(double q) const;

 private:
  using Axis =
      boost::histogram::axis::regular<double,
                                      boost::histogram::axis::transform::log>;
  boost::histogram::histogram<std::tuple<Axis>> m_histogram;
  uint64_t m_count = 0;
  double m_sum_ms = 0;
};

// Metrics belongs to one task.
class Metrics {
 public:
  // Count adds one to the counter of a reason.
  void Count(flow::Reason reason) { ++m_reasons[static_cast<size_t>(reason)]; }
  // Add adds to a named counter.
  void Add(std::string_view name, uint64_t amount = 1);
  // Set sets a named gauge.
  void Set(std::string_view name, uint64_t value);
  // Record adds a sample to a named histogram.
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

// PrometheusText renders the sum of the reports of a process in Prometheus'
// text exposition format, version 0.0.4.
std::string PrometheusText(const std::vector<MetricsReport>& reports);

}  // namespace filberthollow::metrics

#endif  // FILBERTHOLLOW_METRICS_METRICS_H_
