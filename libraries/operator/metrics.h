#ifndef LIBRARIES_OPERATOR_METRICS_H_
#define LIBRARIES_OPERATOR_METRICS_H_

#include <memory>
#include <string>

#include "libraries/base/time.h"
#include "libraries/decision/request_types.h"

namespace agaterun::operator_interface {

// Counters and latency histograms (Boost.Histogram) of one node. Recording is
// safe from any thread and takes no lock.
class Metrics {
 public:
  Metrics();
  ~Metrics();

  // A call of an outside caller or of the local backend server got its answer.
  void RecordCall(decision::Importance importance,
                  decision::Outcome outcome,
                  decision::Reason reason,
                  Duration latency);

  // This node's gate gave its last word on an attempt.
  void RecordVisit(decision::Outcome outcome, decision::Reason reason);

  // The backend server gave a whole answer after this time.
  void RecordServiceTime(Duration service_time);

  // Prometheus text format, version 0.0.4.
  std::string ToText() const;

 private:
  class Implementation;
  std::unique_ptr<Implementation> implementation;
};

}  // namespace agaterun::operator_interface

#endif  // LIBRARIES_OPERATOR_METRICS_H_
