#ifndef LIBRARIES_LOAD_LATENCY_HISTOGRAM_H_
#define LIBRARIES_LOAD_LATENCY_HISTOGRAM_H_

#include <boost/histogram.hpp>
#include <cstdint>

namespace agaterun::load {

// Latencies in milliseconds with about 2% resolution from 10 microseconds to
// 100 seconds (Boost.Histogram).
class LatencyHistogram {
 public:
  LatencyHistogram();

  void Add(double milliseconds);

  // Upper bound of the bucket in which the given share (0 to 1) of all
  // latencies ends; 0 when there are none.
  double Quantile(double share) const;

  std::uint64_t Count() const { return this->count; }

 private:
  using Axis =
      boost::histogram::axis::regular<double,
                                      boost::histogram::axis::transform::log>;

  boost::histogram::histogram<std::tuple<Axis>> buckets;
  std::uint64_t count = 0;
};

}  // namespace agaterun::load

#endif  // LIBRARIES_LOAD_LATENCY_HISTOGRAM_H_
