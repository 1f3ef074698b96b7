#ifndef TESTS_RETRIES_CRASH_FLEET_H_
#define TESTS_RETRIES_CRASH_FLEET_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "libraries/base/random.h"
#include "libraries/base/time.h"
#include "libraries/retries/crash_history.h"

namespace agaterun::retries {

// A fleet of nodes in virtual time, some of them with an endpoint of one
// service, that sends a popular harmless request, others that are sent once,
// and one that crashes each endpoint that runs it. Nodes treat them as the gate
// and the origin do, and exchange heartbeats, of which some are lost.
class CrashFleet {
 public:
  struct Options {
    int nodes = 6;
    int endpoints = 3;
    double lost_heartbeats = 0.1;
    // Number of nodes that receive each heartbeat, drawn at random; all of them
    // if zero.
    int heartbeat_targets = 0;
    // The crashing request is sent this often; never if zero.
    Duration crashing_interval = 5s;
    std::uint64_t seed = 1;
  };

  explicit CrashFleet(Options options);

  void AdvanceTo(Instant end);
  // Crashes these endpoints, drawn at random, at this moment.
  void CrashEndpoints(int count);
  // Restarts the process of a node drawn at random.
  void RestartNode();

  // Crashes and restarts until `end`, drawn at random.
  void PlayRandomFaults(Instant end);

  Instant Now() const { return this->now; }
  Instant LastCrash() const { return this->last_crash; }
  // Times at which the crashing request reached an endpoint over three seconds
  // after it had crashed the third.
  int LateRetries() const { return this->late_retries; }
  int CrashesCaused() const { return this->crashes_caused; }

  struct Popular {
    int sent = 0;
    int served = 0;
    int quarantined = 0;
  };
  // Of the popular request since the last call.
  Popular TakePopular();

 private:
  struct Running {
    std::uint64_t fingerprint = 0;
    std::size_t origin = 0;
    Instant ends_at{};
  };
  struct Node {
    CrashHistory history;
    bool is_up = true;  // The endpoint.
    Instant up_at{};
    std::vector<Running> running;
  };

  void Step();
  void SendFrom(std::size_t origin, std::uint64_t fingerprint);
  bool IsAcceptedBy(const Node& node, std::uint64_t fingerprint) const;
  // The nodes with an endpoint, which stay listed when it crashes.
  std::vector<NodeAddress> Endpoints() const;
  std::optional<std::size_t> ChooseEndpoint(const CrashHistory& origin,
                                            std::uint64_t fingerprint);
  void EndRequests(std::size_t index);
  void Crash(std::size_t index);
  void SendHeartbeat(std::size_t from);

  Options options;
  SeededRandom random;
  std::vector<Node> nodes;
  Instant now = 100s;
  Instant next_heartbeats{};
  Instant next_crashing{};
  Instant last_crash{};
  Instant third_crash = Instant::max();
  int crashes_caused = 0;
  int late_retries = 0;
  std::uint64_t next_id = 1000;
  Popular popular;
};

}  // namespace agaterun::retries

#endif  // TESTS_RETRIES_CRASH_FLEET_H_
