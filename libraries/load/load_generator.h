#ifndef LIBRARIES_LOAD_LOAD_GENERATOR_H_
#define LIBRARIES_LOAD_LOAD_GENERATOR_H_

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "libraries/base/clock.h"
#include "libraries/base/random.h"
#include "libraries/client/caller_client.h"
#include "libraries/load/load_report.h"
#include "libraries/load/request_mix.h"

namespace agaterun::load {

// A time in which the rate is multiplied.
struct Surge {
  Duration from{};
  Duration until{};
  double factor = 1;
};

// Sends requests at a rate that does not depend on the answers (open loop,
// Poisson arrivals), and checks that each answer is whole and its own. Runs on
// one thread: the one that runs the io_context.
class LoadGenerator {
 public:
  struct Options {
    std::vector<NodeAddress> nodes;
    double rate = 100;  // Requests per second.
    Duration length = 10s;
    std::vector<Surge> surges;
    int resends = 0;
    Duration try_timeout{};  // Of one try; zero waits for the kind's timeout.
    client::ResendPolicy resend_policy = client::ResendPolicy::kNone;
    std::size_t connections = 512;
    std::uint64_t seed = 1;
    std::size_t most_in_flight = 50'000;  // Further ones are dropped, counted.
    // Called with the id that the request carried and how it ended.
    std::function<void(const std::string& id, const LoadSample& sample)>
        on_end = {};
  };

  LoadGenerator(asio::io_context& io, Options options, RequestMix mix);

  // Starts sending. The io_context runs out of work when all have ended.
  // `on_progress` is called each second with the seconds gone.
  void Start(std::function<void(int)> on_progress);

  const LoadReport& Report() const { return this->report; }
  std::size_t InFlight() const { return this->in_flight; }
  std::uint64_t Dropped() const { return this->dropped; }

 private:
  void ScheduleNext();
  void SendOne();
  void ShowProgress(int second);
  double RateAt(Duration since_start) const;

  Options options;
  RequestMix mix;
  SeededRandom random;
  MonotonicClock clock;
  client::CallerClient client;
  LoadReport report;
  asio::steady_timer arrival_timer;
  asio::steady_timer progress_timer;
  std::function<void(int)> on_progress;
  Instant start{};
  Instant next_arrival{};
  std::uint64_t next_request = 1;
  std::size_t in_flight = 0;
  std::uint64_t dropped = 0;
};

}  // namespace agaterun::load

#endif  // LIBRARIES_LOAD_LOAD_GENERATOR_H_
