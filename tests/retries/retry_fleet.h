#ifndef TESTS_RETRIES_RETRY_FLEET_H_
#define TESTS_RETRIES_RETRY_FLEET_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "libraries/base/random.h"
#include "libraries/base/time.h"
#include "libraries/retries/retry_quota.h"

namespace agaterun::retries {

// A fleet of nodes in virtual time that retry requests to one service, while
// processes are killed and started again. Counts, as the service does, its
// retries and the requests of callers.
class RetryFleet {
 public:
  struct Options {
    int nodes = 13;
    double ratio = 0.2;
    double extra = 47;
    Duration window = 10s;
    std::uint64_t seed = 1;
  };

  struct Window {
    Instant end{};
    int retries = 0;
    double limit = 0;
  };

  explicit RetryFleet(Options options);

  // Sets the rate of requests of all callers together, and the fraction of
  // attempts that fail and are retried if the quota allows it.
  void SetTraffic(double per_second, double failing);
  // Kills that many nodes, drawn at random. They start again after `down`.
  void Restart(int nodes, Duration down);
  void AdvanceTo(Instant end);

  // Draws restarts, surges, calm and times of failure until `end`.
  void PlayRandomFaults(Instant end);

  // The window with the highest ratio of retries to its limit. The limit
  // follows from the highest number of requests in three windows: this one, and
  // those that begin half a window and a whole window earlier.
  Window WorstWindow() const;

  int Retries() const;

 private:
  struct Node {
    std::optional<RetryQuota> quota;  // Unset while the process is down.
    Instant starts_at{};
    double requests_due = 0;
  };

  RetryQuota MakeQuota() const;
  void Step();
  void ReceiveRequest(Node& node);

  Options options;
  SeededRandom random;
  std::vector<Node> nodes;
  double per_second = 0;
  double failing = 0;
  // Counts for each time step.
  std::vector<int> requests;
  std::vector<int> retries;
};

}  // namespace agaterun::retries

#endif  // TESTS_RETRIES_RETRY_FLEET_H_
