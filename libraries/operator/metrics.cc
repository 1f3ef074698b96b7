#include "libraries/operator/metrics.h"

#include <array>
#include <atomic>
#include <boost/histogram.hpp>
#include <sstream>
#include <string_view>

namespace agaterun::operator_interface {

namespace {

namespace histogram = boost::histogram;

using decision::Importance;
using decision::kImportanceNames;
using decision::kOutcomeNames;
using decision::kReasonNames;
using decision::Outcome;
using decision::Reason;

using ThreadSafeCount = histogram::accumulators::thread_safe<std::uint64_t>;
using LatencyAxis =
    histogram::axis::regular<double, histogram::axis::transform::log>;
using LatencyHistogram =
    histogram::histogram<std::tuple<LatencyAxis>,
                         histogram::dense_storage<ThreadSafeCount>>;

// Buckets from 50 microseconds to 50 seconds, five for each factor of ten.
constexpr double kLeastMilliseconds = 0.05;
constexpr double kMostMilliseconds = 50'000;
constexpr int kBuckets = 30;

LatencyHistogram MakeLatencyHistogram() {
  return histogram::make_histogram_with(
      histogram::dense_storage<ThreadSafeCount>(),
      LatencyAxis(kBuckets, kLeastMilliseconds, kMostMilliseconds));
}

// Prometheus histograms count all that is at most each bound.
void WriteHistogram(std::ostream& out,
                    std::string_view name,
                    const std::string& labels,
                    const LatencyHistogram& latencies,
                    double sum_milliseconds) {
  std::uint64_t total = latencies.at(-1);
  const auto& axis = latencies.axis(0);
  const std::string separator = labels.empty() ? "" : ",";
  for (int index = 0; index < axis.size(); ++index) {
    total += latencies.at(index);
    out << name << "_bucket{" << labels << separator << "le=\""
        << axis.value(index + 1) << "\"} " << total << "\n";
  }
  total += latencies.at(axis.size());
  out << name << "_bucket{" << labels << separator << "le=\"+Inf\"} " << total
      << "\n";
  out << name << "_sum{" << labels << "} " << sum_milliseconds << "\n";
  out << name << "_count{" << labels << "} " << total << "\n";
}

constexpr double kMicrosecondsPerMillisecond = 1000;

}  // namespace

class Metrics::Implementation {
 public:
  using Counter = std::atomic<std::uint64_t>;

  std::array<std::array<std::array<Counter, kReasonNames.size()>,
                        kOutcomeNames.size()>,
             kImportanceNames.size()>
      calls{};
  std::array<std::array<Counter, kReasonNames.size()>, kOutcomeNames.size()>
      visits{};
  LatencyHistogram call_latency = MakeLatencyHistogram();
  LatencyHistogram service_time = MakeLatencyHistogram();
  Counter call_latency_microseconds{0};
  Counter service_time_microseconds{0};
};

Metrics::Metrics() : implementation(std::make_unique<Implementation>()) {}

Metrics::~Metrics() = default;

void Metrics::RecordCall(Importance importance,
                         Outcome outcome,
                         Reason reason,
                         Duration latency) {
  auto& self = *this->implementation;
  ++self.calls.at(static_cast<std::size_t>(importance))
        .at(static_cast<std::size_t>(outcome))
        .at(static_cast<std::size_t>(reason));
  self.call_latency(ToMilliseconds(latency));
  self.call_latency_microseconds +=
      std::chrono::duration_cast<std::chrono::microseconds>(latency).count();
}

void Metrics::RecordVisit(Outcome outcome, Reason reason) {
  ++this->implementation->visits.at(static_cast<std::size_t>(outcome))
        .at(static_cast<std::size_t>(reason));
}

void Metrics::RecordServiceTime(Duration service_time) {
  auto& self = *this->implementation;
  self.service_time(ToMilliseconds(service_time));
  self.service_time_microseconds +=
      std::chrono::duration_cast<std::chrono::microseconds>(service_time)
          .count();
}

std::string Metrics::ToText() const {
  const auto& self = *this->implementation;
  std::ostringstream out;
  out << "# HELP agaterun_calls_total Calls answered at this node.\n"
         "# TYPE agaterun_calls_total counter\n";
  for (const auto& [importance, importance_name] : kImportanceNames) {
    for (const auto& [outcome, outcome_name] : kOutcomeNames) {
      for (const auto& [reason, reason_name] : kReasonNames) {
        const auto count = self.calls.at(static_cast<std::size_t>(importance))
                               .at(static_cast<std::size_t>(outcome))
                               .at(static_cast<std::size_t>(reason))
                               .load();
        if (count == 0) {
          continue;
        }
        out << "agaterun_calls_total{importance=\"" << importance_name
            << "\",outcome=\"" << outcome_name << "\",reason=\"" << reason_name
            << "\"} " << count << "\n";
      }
    }
  }
  out << "# HELP agaterun_visits_total Attempts that this node's gate ended.\n"
         "# TYPE agaterun_visits_total counter\n";
  for (const auto& [outcome, outcome_name] : kOutcomeNames) {
    for (const auto& [reason, reason_name] : kReasonNames) {
      const auto count = self.visits.at(static_cast<std::size_t>(outcome))
                             .at(static_cast<std::size_t>(reason))
                             .load();
      if (count == 0) {
        continue;
      }
      out << "agaterun_visits_total{outcome=\"" << outcome_name
          << "\",reason=\"" << reason_name << "\"} " << count << "\n";
    }
  }
  out << "# TYPE agaterun_call_milliseconds histogram\n";
  WriteHistogram(out, "agaterun_call_milliseconds", "", self.call_latency,
                 static_cast<double>(self.call_latency_microseconds.load()) /
                     kMicrosecondsPerMillisecond);
  out << "# TYPE agaterun_service_milliseconds histogram\n";
  WriteHistogram(out, "agaterun_service_milliseconds", "", self.service_time,
                 static_cast<double>(self.service_time_microseconds.load()) /
                     kMicrosecondsPerMillisecond);
  return out.str();
}

}  // namespace agaterun::operator_interface
