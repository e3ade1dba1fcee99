#include "filberthollow/metrics/metrics.h"

#include <fmt/format.h>

#include <algorithm>

namespace filberthollow::metrics {
namespace {

constexpr int kBucketCount = 24;
// Bounds of the histogram axis.
constexpr double kLowestMs = 1;
constexpr double kHighestMs = 65536;

// Returns the value of `name`, added with its initial value if it is missing.
template <class Value>
Value& FindOrAdd(std::map<std::string, Value, std::less<>>& map,
                 std::string_view name) {
  auto found = map.find(name);
  if (found == map.end()) {
    found = map.emplace(std::string(name), Value{}).first;
  }
  return found->second;
}

void AppendHistogram(std::string& text, const HistogramSample& histogram) {
  std::string name = "filberthollow_" + histogram.name;
  text += fmt::format("# TYPE {} histogram\n", name);
  for (const Bucket& bucket : histogram.buckets) {
    text += fmt::format("{}_bucket{{le=\"{:.0f}\"}} {}\n", name,
                        bucket.upper_ms, bucket.count);
  }
  text += fmt::format("{}_bucket{{le=\"+Inf\"}} {}\n", name, histogram.count);
  text += fmt::format("{}_sum {}\n{}_count {}\n", name, histogram.sum_ms, name,
                      histogram.count);
}

}  // namespace

LatencyHistogram::LatencyHistogram()
    : m_histogram(boost::histogram::make_histogram(
          Axis(kBucketCount, kLowestMs, kHighestMs))) {}

void LatencyHistogram::Record(base::Millis value) {
  auto ms = static_cast<double>(value.count());
  m_histogram(std::max(ms, kLowestMs));
  m_sum_ms += ms;
  ++m_count;
}

HistogramSample LatencyHistogram::Report(std::string name) const {
  HistogramSample sample{std::move(name), {}, m_count, m_sum_ms};
  uint64_t cumulative = 0;
  for (int i = 0; i < kBucketCount; ++i) {
    cumulative += static_cast<uint64_t>(m_histogram.at(i));
    sample.buckets.push_back({m_histogram.axis().bin(i).upper(), cumulative});
  }
  return sample;
}

double LatencyHistogram::Quantile(double q) const {
  if (m_count == 0) {
    return 0;
  }
  auto rank = static_cast<uint64_t>(q * static_cast<double>(m_count - 1)) + 1;
  for (const Bucket& bucket : Report("").buckets) {
    if (bucket.count >= rank) {
      return bucket.upper_ms;
    }
  }
  return kHighestMs;
}

void Metrics::Add(std::string_view name, uint64_t amount) {
  FindOrAdd(m_counters, name) += amount;
}

void Metrics::Set(std::string_view name, uint64_t value) {
  FindOrAdd(m_counters, name) = value;
}

void Metrics::Record(std::string_view name, base::Millis value) {
  FindOrAdd(m_histograms, name).Record(value);
}

MetricsReport Metrics::Report() const {
  MetricsReport report;
  report.reasons = m_reasons;
  for (const auto& [name, value] : m_counters) {
    report.counters.push_back({name, value});
  }
  for (const auto& [name, histogram] : m_histograms) {
    report.histograms.push_back(histogram.Report(name));
  }
  return report;
}

std::string PrometheusText(const std::vector<MetricsReport>& reports) {
  std::string text;
  for (const flow::ReasonRow& row : flow::ReasonTable()) {
    uint64_t sum = 0;
    for (const MetricsReport& report : reports) {
      sum += report.reasons.at(static_cast<size_t>(row.reason));
    }
    text += fmt::format("filberthollow_{}_total{{reason=\"{}\"}} {}\n",
                        flow::ReasonKindName(row.kind), row.name, sum);
  }
  for (const MetricsReport& report : reports) {
    for (const CounterSample& counter : report.counters) {
      text += fmt::format("filberthollow_{} {}\n", counter.name, counter.value);
    }
    for (const HistogramSample& histogram : report.histograms) {
      AppendHistogram(text, histogram);
    }
  }
  return text;
}

}  // namespace filberthollow::metrics
