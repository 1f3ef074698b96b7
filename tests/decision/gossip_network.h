#ifndef TESTS_DECISION_GOSSIP_NETWORK_H_
#define TESTS_DECISION_GOSSIP_NETWORK_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "libraries/decision/node.h"
#include "tests/decision/fake_configuration.h"

namespace agaterun::decision {

// Passes control messages between some nodes on virtual time, with one
// platform. Node I is in failure domain I modulo `domains`.
class GossipNetwork {
 public:
  struct Options {
    int nodes = 12;
    int domains = 3;
    int services = 3;
    int seeds = 6;    // Number of seeds; they are the first nodes.
    double loss = 0;  // Fraction of heartbeats that are lost.
  };
  struct Member {
    NodeAddress address;
    std::shared_ptr<SeededRandom> random;
    std::shared_ptr<Node> node;  // Null while it does not run.
    std::uint64_t process_incarnation = 0;
    Instant frozen_until{};
    Instant wake{};
    std::uint64_t number = 0;  // Highest in force; must not decrease.
    bool number_decreased = false;
    std::vector<Report> reports;
  };

  explicit GossipNetwork(Options options) : options(options) {
    for (int index = 0; index < options.nodes; ++index) {
      const auto offset = static_cast<std::uint32_t>(index / options.domains);
      const NodeAddress address{
          .ip = 0x7f000001U + (this->Domain(index) << 16) + offset,
          .port = 7400};
      this->members.push_back({.address = address});
      this->index_of[address] = index;
    }
  }

  std::uint32_t Domain(int index) const {
    return static_cast<std::uint32_t>(index % this->options.domains);
  }
  Member& At(int index) {
    return this->members.at(static_cast<std::size_t>(index));
  }

  // A ticket that lists all nodes, distributed over the services.
  std::string TicketText(std::uint64_t number, int slots = 80) const {
    std::string text = "[ticket]\nnumber = " + std::to_string(number) + "\n";
    for (int service = 0; service < this->options.services; ++service) {
      const auto name = "s" + std::to_string(service);
      text += "[route " + name + " all]\npath = /\n[service " + name +
              "]\nconnections = 9\nslots = " + std::to_string(slots) + "\n";
      for (int index = service; index < this->options.nodes;
           index += this->options.services) {
        text +=
            "endpoint.e" + std::to_string(index) + " = " +
            this->members[static_cast<std::size_t>(index)].address.ToString() +
            " r/" + std::to_string(this->Domain(index)) + "\n";
      }
    }
    return text;
  }

  // Starts the node, as a new incarnation if it ran before.
  void Start(int index) {
    auto& member = this->At(index);
    Node::Options settings{.self = member.address,
                           .incarnation = ++member.process_incarnation,
                           .region = "r",
                           .failure_domain = std::to_string(Domain(index))};
    for (int seed = 0; seed < this->options.seeds; ++seed) {
      settings.seeds.push_back(this->At(seed).address);
    }
    member.random = std::make_shared<SeededRandom>(this->random.Next());
    member.node = std::make_shared<Node>(settings, *member.random);
    member.number = 0;
    Actions actions;
    member.node->Start(this->now, actions);
    this->CarryOut(index, actions);
  }
  void StartAll() {
    for (int index = 0; index < this->options.nodes; ++index) {
      this->Start(index);
    }
  }
  void Stop(int index) {
    this->At(index).node.reset();
    ++this->At(index).process_incarnation;
  }

  void Publish(const std::string& text) {
    this->platform.tickets.push_back(text);
    for (const auto& watch : std::exchange(this->watches, {})) {
      this->Schedule(this->now + 1ms, watch);
    }
  }

  void Schedule(Instant instant, std::function<void()> work) {
    this->queue.emplace(instant, std::move(work));
  }
  void RunUntil(Instant end) {
    while (!this->queue.empty() && this->queue.begin()->first <= end) {
      const auto next = this->queue.extract(this->queue.begin());
      this->now = next.key();
      next.mapped()();
    }
    this->now = end;
  }
  void RunFor(Duration time) { this->RunUntil(this->now + time); }

  // Runs until all running nodes serve with ticket `number`, for at most
  // `limit`; returns the time taken.
  Duration RunUntilInForce(std::uint64_t number, Duration limit) {
    const auto start = this->now;
    while (this->now - start<limit&& this->CountNodesBehind(number)> 0) {
      this->RunFor(5ms);
    }
    return this->now - start;
  }
  // Number of running nodes that don't serve with ticket `number` or a larger
  // one.
  int CountNodesBehind(std::uint64_t number) const {
    return Count([&](const Member& member) {
      return !member.node->Gossip().Ready() || member.number < number;
    });
  }
  int Count(const std::function<bool(const Member&)>& predicate) const {
    int count = 0;
    for (const auto& member : this->members) {
      count += member.node && predicate(member) ? 1 : 0;
    }
    return count;
  }

  // Delivers an event to the node, delayed while the node is frozen; drops the
  // event if that process has ended.
  void Deliver(int index,
               std::uint64_t process_incarnation,
               const Event& event) {
    auto& member = this->At(index);
    if (!member.node || member.process_incarnation != process_incarnation) {
      return;
    }
    if (this->now < member.frozen_until) {
      this->Schedule(member.frozen_until,
                     [this, index, process_incarnation, event] {
                       this->Deliver(index, process_incarnation, event);
                     });
      return;
    }
    Actions actions;
    member.node->Handle(this->now, event, actions);
    this->CarryOut(index, actions);
  }
  void Deliver(int index, const Event& event) {
    this->Deliver(index, this->At(index).process_incarnation, event);
  }

  std::vector<Member> members;
  Instant now = 1000s;
  FakeConfiguration platform;
  std::function<bool(int)> reaches_platform = [](int) { return true; };
  std::function<bool(int, int)> connected = [](int, int) { return true; };
  std::function<void(int, const Action&)> on_action = [](int, const Action&) {};

 private:
  void CarryOut(int index, const Actions& actions) {
    for (const auto& action : actions) {
      this->on_action(index, action);
      std::visit([&](const auto& concrete) { this->Perform(index, concrete); },
                 action);
    }
  }
  void Send(int from, NodeAddress to, Event event) {
    const auto target = this->index_of.find(to);
    if (target == this->index_of.end() ||
        !this->connected(from, target->second)) {
      return;
    }
    const int index = target->second;
    const bool is_same_domain = this->Domain(from) == this->Domain(index);
    this->Schedule(this->now + (is_same_domain ? 300us : 1500us),
                   [this, index, event = std::move(event)] {
                     this->Deliver(index, event);
                   });
  }
  void Perform(int from, const SendHeartbeat& action) {
    if (this->random.Unit() >= this->options.loss) {
      this->Send(from, action.to, HeartbeatReceived{action.heartbeat});
    }
  }
  void Perform(int from, const SendTicketItems& action) {
    this->Send(from, action.to,
               TicketItemsReceived{this->At(from).address, action.items});
  }
  void Perform(int from, const RequestTicketItems& action) {
    this->Send(from, action.to,
               TicketItemsRequested{this->At(from).address, action.have});
  }
  void Perform(int index, const WakeAt& action) {
    this->At(index).wake = action.instant;
    this->Schedule(action.instant,
                   [this, index, action,
                    process_incarnation = this->At(index).process_incarnation] {
                     if (this->At(index).wake == action.instant) {
                       this->Deliver(index, process_incarnation, Tick{});
                     }
                   });
  }
  void Perform(int index, const Report& action) {
    this->At(index).reports.push_back(action);
  }
  void Perform(int index, const PublishState& action) {
    auto& member = this->At(index);
    std::uint64_t highest = 0;
    for (const auto& [name, item] : action.state->items) {
      highest = std::max(highest, item.number);
    }
    member.number_decreased =
        member.number_decreased || highest < member.number;
    member.number = highest;
  }
  template <typename Other>
  void Perform(int /*index*/, const Other& /*action*/) {}

  // A read takes two calls: the host list and the tickets.
  void Perform(int index, const ReadPlatform& action) {
    this->platform.calls[this->now / 1s] += 2;
    const auto reply =
        [this, index, process_incarnation = this->At(index).process_incarnation,
         after = action.after_number] {
          const bool reached = this->reaches_platform(index);
          for (const auto& event : this->platform.Read(reached, after)) {
            this->Deliver(index, process_incarnation, event);
          }
        };
    const bool reached = this->reaches_platform(index);
    if (action.watch && reached &&
        !this->platform.HasNews(action.after_number)) {
      this->watches.emplace_back(reply);
      return;
    }
    this->Schedule(this->now + (reached ? 3ms : 100ms), reply);
  }

  Options options;
  SeededRandom random{1};
  // FIFO for equal instants.
  std::multimap<Instant, std::function<void()>> queue;
  std::unordered_map<NodeAddress, int> index_of;
  std::vector<std::function<void()>> watches;
};

}  // namespace agaterun::decision

#endif  // TESTS_DECISION_GOSSIP_NETWORK_H_
