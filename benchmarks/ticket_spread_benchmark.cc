#include <algorithm>
#include <cereal/archives/binary.hpp>
#include <cereal/types/chrono.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/utility.hpp>
#include <cereal/types/vector.hpp>
#include <cstdio>
#include <ctime>
#include <functional>
#include <sstream>
#include <vector>

#include "tests/decision/gossip_network.h"

// Time until a ticket is in force everywhere, calls at the platform, and what
// membership and tickets cost each node, at several sizes, on virtual time.
// Prints CSV: one line per size and case.
namespace agaterun::decision {
namespace {

constexpr int kTickets = 10;
// IPv4 and UDP headers, or TCP's, and the frame's own.
constexpr std::size_t kOverheadBytes = 28 + 32;

template <typename Message>
std::size_t SizeOf(const Message& message) {
  std::ostringstream stream;
  cereal::BinaryOutputArchive archive(stream);
  archive(message);
  return stream.str().size() + kOverheadBytes;
}

// What nodes sent, control messages alone.
struct Traffic {
  std::size_t heartbeats = 0;
  std::size_t heartbeat_bytes = 0;
  std::size_t item_bytes = 0;

  void Count(const Action& action) {
    if (const auto* beat = std::get_if<SendHeartbeat>(&action); beat) {
      ++this->heartbeats;
      this->heartbeat_bytes += SizeOf(beat->heartbeat);
    } else if (const auto* sent = std::get_if<SendTicketItems>(&action); sent) {
      this->item_bytes += SizeOf(sent->items);
    } else if (const auto* asked = std::get_if<RequestTicketItems>(&action);
               asked) {
      this->item_bytes += SizeOf(asked->have);
    }
  }
};

struct Measurement {
  std::vector<double> times;  // Until in force at a node, in milliseconds.
  int max_calls = 0;
  int number_decreased = 0;
};

class GossipCase {
 public:
  GossipCase(int nodes, double loss)
      : nodes(nodes),
        network({.nodes = nodes, .services = nodes / 24, .loss = loss}) {
    this->network.Publish(this->network.TicketText(1));
    this->network.StartAll();
    this->network.RunUntilInForce(1, 30s);
    this->network.RunFor(5s);
    this->network.platform.calls.clear();
  }

  // Publishes a ticket and notes when each node has it, for up to 10 s.
  void PublishOne(const std::function<void()>& after_first = [] {}) {
    ++this->number;
    const auto start = this->network.now;
    std::vector<Instant> reached(static_cast<std::size_t>(this->nodes),
                                 Instant{});
    bool is_first = true;
    this->network.on_action = [&](int index, const Action& action) {
      this->traffic.Count(action);
      if (std::holds_alternative<PublishState>(action) &&
          reached[static_cast<std::size_t>(index)] == Instant{}) {
        reached[static_cast<std::size_t>(index)] = this->network.now;
        if (std::exchange(is_first, false)) {
          after_first();
        }
      }
    };
    this->network.Publish(this->network.TicketText(this->number));
    this->network.RunUntilInForce(this->number, 10s);
    for (const auto instant : reached) {
      this->result.times.push_back(
          instant == Instant{} ? 10'000 : ToMilliseconds(instant - start));
    }
    this->network.on_action = [](int, const Action&) {};
    // Polls come at any phase of the next publication.
    this->network.RunFor(1100ms + 137ms * static_cast<int>(this->number % 7));
  }

  // Processor time per node and second, in seconds, without any news.
  double MeasureProcessor(Duration time) {
    const auto start = std::clock();
    this->network.RunFor(time);
    return static_cast<double>(std::clock() - start) / CLOCKS_PER_SEC /
           this->nodes / ToSeconds(time);
  }

  Traffic MeasureTraffic(Duration time) {
    Traffic idle;
    this->network.on_action = [&](int, const Action& action) {
      idle.Count(action);
    };
    this->network.RunFor(time);
    this->network.on_action = [](int, const Action&) {};
    return idle;
  }

  void CutDomain(bool is_cut) {
    this->network.connected = [this, is_cut](int from, int to) {
      return !is_cut || (this->network.Domain(from) == 0) ==
                            (this->network.Domain(to) == 0);
    };
  }

  Measurement Finish() {
    for (const auto& [second, calls] : this->network.platform.calls) {
      this->result.max_calls = std::max(this->result.max_calls, calls);
    }
    this->result.number_decreased =
        this->network.Count([](const GossipNetwork::Member& member) {
          return member.number_decreased;
        });
    return this->result;
  }

  int nodes;
  GossipNetwork network;
  std::uint64_t number = 1;
  Traffic traffic;
  Measurement result;
};

void Print(int nodes, const char* name, Measurement measured) {
  auto& times = measured.times;
  std::sort(times.begin(), times.end());
  std::printf("%d,%s,%.1f,%.1f,%.1f,%d,%d\n", nodes, name,
              times[times.size() / 2], times[times.size() * 99 / 100],
              times.back(), measured.max_calls, measured.number_decreased);
  std::fflush(stdout);
}

void RunPlain(int nodes, const char* name, double loss) {
  GossipCase run(nodes, loss);
  for (int ticket = 0; ticket < kTickets; ++ticket) {
    run.PublishOne();
  }
  Print(nodes, name, run.Finish());
}

// The platform goes away as soon as one node has the ticket, for a minute.
void RunPlatformDown(int nodes) {
  GossipCase run(nodes, 0);
  bool is_up = true;
  run.network.reaches_platform = [&](int) { return is_up; };
  run.PublishOne([&] { is_up = false; });
  run.network.RunFor(60s);
  is_up = true;
  run.network.RunFor(10s);
  Print(nodes, "platform_down_after_one", run.Finish());
}

// One failure domain is cut from the others and from the platform while three
// tickets come; the time counts from healing.
void RunCutAndHeal(int nodes) {
  GossipCase run(nodes, 0);
  run.CutDomain(true);
  run.network.reaches_platform = [&](int index) {
    return run.network.Domain(index) != 0;
  };
  for (int ticket = 0; ticket < 3; ++ticket) {
    run.network.Publish(run.network.TicketText(++run.number));
    run.network.RunFor(10s);
  }
  run.CutDomain(false);
  const auto healed = run.network.now;
  run.network.on_action = [&](int, const Action& action) {
    if (std::holds_alternative<PublishState>(action)) {
      run.result.times.push_back(ToMilliseconds(run.network.now - healed));
    }
  };
  run.network.RunUntilInForce(run.number, 10s);
  run.network.RunFor(5s);
  Print(nodes, "cut_and_heal", run.Finish());
}

// All nodes of one failure domain start anew; the time counts until all serve.
void RunDomainRestart(int nodes) {
  GossipCase run(nodes, 0);
  const auto start = run.network.now;
  for (int index = 0; index < nodes; index += 3) {
    run.network.Start(index);
  }
  run.network.on_action = [&](int, const Action& action) {
    if (std::holds_alternative<PublishState>(action)) {
      run.result.times.push_back(ToMilliseconds(run.network.now - start));
    }
  };
  run.network.RunUntilInForce(run.number, 10s);
  run.network.RunFor(10s);
  Print(nodes, "domain_restart", run.Finish());
}

void RunCost(int nodes) {
  GossipCase run(nodes, 0);
  constexpr Duration kTime = 10s;
  const double processor = run.MeasureProcessor(kTime);
  const auto idle = run.MeasureTraffic(kTime);
  run.PublishOne();
  const double scale = nodes * ToSeconds(kTime);
  std::size_t most_targets = 0;
  for (const auto& member : run.network.members) {
    most_targets =
        std::max(most_targets, member.node->Gossip().HeartbeatTargets().size());
  }
  std::printf(
      "# %d nodes: %.1f heartbeats of %.0f B sent per node and second, "
      "%.2f KB/s sent and as much received, at most %zu peers, %.4f%% "
      "of a core; one ticket moves %.1f KB of items per node\n",
      nodes, static_cast<double>(idle.heartbeats) / scale,
      static_cast<double>(idle.heartbeat_bytes) /
          static_cast<double>(idle.heartbeats),
      static_cast<double>(idle.heartbeat_bytes + idle.item_bytes) / scale /
          1000,
      most_targets, processor * 100,
      static_cast<double>(run.traffic.item_bytes) / nodes / 1000);
}

void Main() {
  std::puts("nodes,case,p50_ms,p99_ms,max_ms,most_calls_per_s,went_back");
  for (const int nodes : {100, 300, 710}) {
    RunPlain(nodes, "plain", 0);
    RunPlain(nodes, "heartbeat_loss_1_percent", 0.01);
    RunPlatformDown(nodes);
    RunCutAndHeal(nodes);
    RunDomainRestart(nodes);
    RunCost(nodes);
  }
}

}  // namespace
}  // namespace agaterun::decision

int main() {
  agaterun::decision::Main();
}
