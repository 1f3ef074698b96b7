#ifndef LIBRARIES_ADMISSION_BACKEND_RATE_LIMIT_H_
#define LIBRARIES_ADMISSION_BACKEND_RATE_LIMIT_H_

#include <cstddef>
#include <optional>

#include "libraries/base/time.h"

namespace agaterun::admission {

// Limits the rate of requests to a backend server to the rate that it states in
// its responses. The gate is the only way to the backend server, so its limit
// holds for the requests of all hosts together.
//
// Until a backend server has responded for the first time, it may have stated a
// limit to an earlier process of this node, so only a few requests start.
class BackendRateLimit {
 public:
  static constexpr double kTokensBeforeResponse = 3;

  // Applies what a response states: requests per second, or nullopt if the
  // backend server states no limit.
  void SetStatedRate(Instant now, std::optional<double> per_second);

  // True while fewer requests may start than there are slots.
  bool IsLimiting() const { return this->rate || !this->has_response; }

  bool MayStart(Instant now) const;
  void Started(Instant now);

  // Time until a request may start that has `ahead` others ahead of it.
  Duration ExpectedWait(Instant now, std::size_t ahead) const;

  // Number of requests that run concurrently at the stated rate if each takes
  // `service_time`; at least 1. Nullopt if no limit is stated.
  std::optional<int> Concurrency(Duration service_time) const;

 private:
  double PerSecond() const;
  double Capacity() const;
  double TokensAt(Instant now) const;

  std::optional<double> rate;  // Stated requests per second.
  bool has_response = false;
  // Requests that may start at `updated_at`; grows with the rate.
  double tokens = kTokensBeforeResponse;
  Instant updated_at{};
};

}  // namespace agaterun::admission

#endif  // LIBRARIES_ADMISSION_BACKEND_RATE_LIMIT_H_
