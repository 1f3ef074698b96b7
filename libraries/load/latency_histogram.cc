#include "libraries/load/latency_histogram.h"

namespace agaterun::load {

namespace {

constexpr int kBuckets = 800;
constexpr double kLeastMilliseconds = 0.01;
constexpr double kMostMilliseconds = 100'000;

}  // namespace

LatencyHistogram::LatencyHistogram()
    : buckets(boost::histogram::make_histogram(
          Axis(kBuckets, kLeastMilliseconds, kMostMilliseconds))) {}

void LatencyHistogram::Add(double milliseconds) {
  this->buckets(milliseconds);
  ++this->count;
}

double LatencyHistogram::Quantile(double share) const {
  if (this->count == 0) {
    return 0;
  }
  const auto wanted = share * static_cast<double>(this->count);
  // Index -1 holds what lies below the axis.
  double seen = this->buckets.at(-1);
  const auto& axis = this->buckets.axis(0);
  for (int index = 0; index < axis.size(); ++index) {
    seen += this->buckets.at(index);
    if (seen >= wanted) {
      return axis.value(index + 1);
    }
  }
  return kMostMilliseconds;
}

}  // namespace agaterun::load
