#include "libraries/membership/directory_keeper.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <vector>

#include "libraries/membership/heartbeat_plan.h"

// Simulates the nodes of one failure domain in virtual time. A few of them read
// the platform and share the state with the others.
namespace agaterun::membership {

BOOST_AUTO_TEST_SUITE(DirectoryKeeperTest)

constexpr std::uint16_t kPort = 7300;
constexpr Duration kStep = 50ms;
constexpr Duration kHeartbeat = 300ms;
constexpr Duration kWatchDuration = 550ms;
constexpr Duration kResponseTimeout = 700ms;
constexpr Duration kListInterval = 1s;
constexpr Duration kRetryDelay = 400ms;

// Maximum age of the state of a node that doesn't read the platform itself.
constexpr Duration kMaxStateAge = 1600ms;

EndpointEntry Entry(std::uint32_t index, std::uint64_t revision) {
  return {.id = "i-" + std::to_string(index),
          .service = "drafts",
          .address = {.ip = index, .port = 8000},
          .failure_domain = "a",
          .slots = 10,
          .started_at = 5,
          .revision = revision};
}

struct Node {
  Node(NodeAddress address, RandomSource& random)
      : address(address),
        keeper(address),
        plan(address, random),
        fleet({.self = address, .node_port = kPort, .failure_domain = "a"}) {}

  NodeAddress address;
  DirectoryKeeper keeper;
  HeartbeatPlan plan;
  Fleet fleet;
  ReadingMode mode = ReadingMode::kAlone;
  bool is_alive = true;
  bool is_served = true;    // The platform responds to it.
  bool is_ignored = false;  // Its requests get no response and time out.
  bool waits_in_vain = false;
  Instant next_heartbeat{};
  Instant next_call{};
};

struct Domain {
  explicit Domain(std::uint32_t size) {
    for (std::uint32_t index = 1; index <= size; ++index) {
      this->platform.entries.push_back(Entry(index, index));
      this->nodes.push_back(std::make_unique<Node>(
          NodeAddress{.ip = index, .port = kPort}, this->random));
      this->nodes.back()->next_heartbeat =
          this->now + kHeartbeat * index / size;
    }
    this->platform.revision = size;
  }

  void Run(Duration duration) {
    const auto end = this->now + duration;
    while (this->now < end) {
      this->now += kStep;
      for (const auto& node : this->nodes) {
        if (node->is_alive) {
          this->StepNode(*node);
        }
      }
    }
  }

  void StepNode(Node& node) {
    const auto mode = node.keeper.Update(this->now, node.fleet);
    if (mode != node.mode) {
      node.mode = mode;
      node.next_call = this->now;
    }
    if (mode != ReadingMode::kResting && this->now >= node.next_call) {
      this->CallPlatform(node);
    }
    if (this->now >= node.next_heartbeat) {
      node.next_heartbeat += kHeartbeat;
      this->SendHeartbeats(node);
    }
  }

  void CallPlatform(Node& node) {
    ++this->platform_calls;
    if (node.is_ignored && !node.waits_in_vain) {
      // The request gets no response, which takes its whole timeout to show.
      node.waits_in_vain = true;
      node.next_call = this->now + kResponseTimeout;
      return;
    }
    node.waits_in_vain = false;
    if (!node.is_served || node.is_ignored) {
      node.keeper.SetReached(this->now, false);
      node.next_call = this->now + kRetryDelay;
      return;
    }
    node.keeper.SetReached(this->now, true);
    auto list = this->platform;
    const bool watches = node.mode == ReadingMode::kWatching;
    list.is_current = watches;
    list.changes_followed_for =
        watches ? kWatchDuration + kRetryDelay : Duration{};
    node.next_call = this->now + (watches ? kWatchDuration : kListInterval);
    node.keeper.ApplyList(this->now, list);
    node.fleet.SetList(this->now, node.keeper.Endpoints().Entries());
  }

  void SendHeartbeats(Node& from) {
    for (const auto& target : from.plan.Next(this->now, from.fleet, {})) {
      auto& to = *this->nodes.at(target.node.ip - 1);
      if (to.is_alive) {
        this->DeliverHeartbeat(from, to);
      }
    }
  }

  void DeliverHeartbeat(const Node& from, Node& to) {
    decision::Heartbeat heartbeat{.from = from.address};
    from.keeper.FillHeartbeat(this->now, heartbeat);
    to.fleet.Received(this->now, from.address);
    to.keeper.ProcessHeartbeat(this->now, heartbeat,
                               /*same_configuration=*/true);
    if (to.keeper.ShouldQuery(this->now, heartbeat)) {
      to.keeper.UpdateFromPeer(this->now,
                               from.keeper.Endpoints().ChangesSince(
                                   to.keeper.QuerySinceRevision(this->now)));
      to.fleet.SetList(this->now, to.keeper.Endpoints().Entries());
    }
  }

  // Publishes a change. Watching nodes receive it immediately.
  void PublishChange(const EndpointEntry& entry) {
    EndpointChanges changes{.since = this->platform.revision,
                            .revision = entry.revision,
                            .entries = {entry},
                            .changes_followed_for = kWatchDuration};
    this->platform.revision = entry.revision;
    this->platform.entries.at(entry.address.ip - 1) = entry;
    for (const auto& node : this->nodes) {
      if (node->is_alive && node->is_served &&
          node->mode == ReadingMode::kWatching) {
        node->keeper.ApplyChanges(this->now, changes);
      }
    }
  }

  int CountNodes(ReadingMode mode) const {
    return static_cast<int>(std::count_if(
        this->nodes.begin(), this->nodes.end(), [&](const auto& node) {
          return node->is_alive && node->mode == mode;
        }));
  }

  Node& WatchingNode() {
    return **std::find_if(
        this->nodes.begin(), this->nodes.end(), [](const auto& node) {
          return node->is_alive && node->mode == ReadingMode::kWatching;
        });
  }

  // Checks that no resting node's state is older than the maximum.
  void CheckAges() {
    for (const auto& node : this->nodes) {
      if (node->is_alive && node->mode == ReadingMode::kResting) {
        const auto age = node->keeper.Age(this->now);
        BOOST_TEST_REQUIRE(age.has_value());
        BOOST_TEST((*age <= kMaxStateAge));
      }
    }
  }

  Instant now = 100s;
  SeededRandom random{7};
  EndpointList platform;
  std::vector<std::unique_ptr<Node>> nodes;
  int platform_calls = 0;
};

// Without changes, the number of calls to the platform is independent of the
// number of nodes.
BOOST_AUTO_TEST_CASE(OneNodePerDomainReadsAtAnySize) {
  for (const std::uint32_t size : {3U, 13U, 39U, 142U}) {
    Domain domain(size);
    domain.Run(8s);
    BOOST_TEST(domain.CountNodes(ReadingMode::kWatching) == 1, "of " << size);
    BOOST_TEST(domain.CountNodes(ReadingMode::kAlone) == 0, "of " << size);
    domain.platform_calls = 0;
    constexpr Duration kTime = 30s;
    domain.Run(kTime);
    constexpr int kCallsOfOneReader = kTime / kWatchDuration + 1;
    BOOST_TEST(domain.platform_calls <= kCallsOfOneReader,
               size << " nodes made " << domain.platform_calls);
    domain.CheckAges();
  }
}

BOOST_AUTO_TEST_CASE(ChangeReachesAllNodesWithinOneSecond) {
  Domain domain(39);
  domain.Run(8s);
  auto entry = Entry(5, 1000);
  entry.leaving = true;
  domain.PublishChange(entry);
  domain.Run(1s);
  for (const auto& node : domain.nodes) {
    BOOST_TEST(node->keeper.Endpoints().RevisionOf("i-5") == 1000U);
  }
}

BOOST_AUTO_TEST_CASE(KilledReaderIsReplaced) {
  for (const std::uint32_t size : {3U, 39U}) {
    Domain domain(size);
    domain.Run(8s);
    domain.WatchingNode().is_alive = false;
    for (int step = 0; step < 60; ++step) {
      domain.Run(kStep);
      domain.CheckAges();
    }
    BOOST_TEST(domain.CountNodes(ReadingMode::kWatching) == 1, "of " << size);
    BOOST_TEST(domain.CountNodes(ReadingMode::kAlone) == 0, "of " << size);
  }
}

// Guards against requests for a backend server that has left, because the
// reader of the failure domain gets no more responses and is not replaced in
// time.
BOOST_AUTO_TEST_CASE(ReaderWithoutResponsesIsReplacedInTime) {
  // From the publication of a leaving until no request may follow.
  constexpr Duration kMaxLeavingDelay = 2s;
  for (const std::uint32_t size : {4U, 13U, 39U}) {
    for (const auto offset : {0ms, 150ms, 300ms, 450ms, 600ms}) {
      Domain domain(size);
      domain.Run(8s + offset);
      domain.WatchingNode().is_ignored = true;
      domain.platform.revision = 1000;
      domain.platform.entries[1].revision = 1000;
      domain.platform.entries[1].leaving = true;
      domain.Run(kMaxLeavingDelay);
      for (const auto& node : domain.nodes) {
        BOOST_TEST(node->keeper.Endpoints().RevisionOf("i-2") == 1000U,
                   "of " << size << ", " << offset.count() << " ms, node "
                         << node->address.ip);
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(SuccessivelyKilledReadersAreReplaced) {
  Domain domain(13);
  domain.Run(8s);
  for (int kill = 0; kill < 8; ++kill) {
    domain.WatchingNode().is_alive = false;
    domain.Run(2500ms);
    BOOST_TEST_REQUIRE(domain.CountNodes(ReadingMode::kWatching) >= 1);
    domain.CheckAges();
  }
}

// The platform responds to some nodes and not to others, among them the reader.
BOOST_AUTO_TEST_CASE(NodeReachingPlatformTakesOverReading) {
  Domain domain(13);
  domain.Run(8s);
  for (const auto& node : domain.nodes) {
    node->is_served = node->address.ip % 4 == 0;
  }
  domain.WatchingNode().is_served = false;
  domain.Run(6s);
  BOOST_TEST(domain.CountNodes(ReadingMode::kAlone) == 0);
  BOOST_TEST(domain.WatchingNode().is_served);
  domain.CheckAges();
}

// During an outage of the platform only a few nodes query it. Soon after its
// return all nodes are up to date.
BOOST_AUTO_TEST_CASE(PlatformOutageDoesNotCauseQueryStorm) {
  Domain domain(39);
  domain.Run(8s);
  for (const auto& node : domain.nodes) {
    node->is_served = false;
  }
  domain.Run(5s);
  BOOST_TEST(domain.CountNodes(ReadingMode::kWatching) >= 1);
  BOOST_TEST(domain.CountNodes(ReadingMode::kWatching) <= 3);
  for (const auto& node : domain.nodes) {
    node->is_served = true;
  }
  auto entry = Entry(5, 1000);
  entry.leaving = true;
  domain.PublishChange(entry);
  domain.Run(2s);
  for (const auto& node : domain.nodes) {
    BOOST_TEST(node->keeper.Endpoints().RevisionOf("i-5") == 1000U);
  }
  BOOST_TEST(domain.CountNodes(ReadingMode::kAlone) == 0);
  domain.Run(2s);
  BOOST_TEST(domain.CountNodes(ReadingMode::kWatching) == 1);
}

// A node that was frozen assumes that its state is recent. It must not revert
// the changes that the other nodes have received meanwhile.
BOOST_AUTO_TEST_CASE(FrozenReaderDoesNotRevertChanges) {
  Domain domain(13);
  domain.Run(8s);
  auto& frozen = domain.WatchingNode();
  frozen.is_alive = false;
  domain.Run(3s);
  auto entry = Entry(5, 1000);
  entry.leaving = true;
  domain.PublishChange(entry);
  domain.Run(2s);
  frozen.is_alive = true;
  frozen.keeper.ApplyChanges(
      domain.now,
      {.since = 13, .revision = 13, .changes_followed_for = kWatchDuration});
  frozen.next_call = domain.now + kWatchDuration;
  domain.Run(1s);
  for (const auto& node : domain.nodes) {
    BOOST_TEST(node->keeper.Endpoints().RevisionOf("i-5") == 1000U);
  }
  domain.Run(3s);
  BOOST_TEST(domain.CountNodes(ReadingMode::kWatching) == 1);
}

// The platform lost its history and sends the reader no more changes. Other
// nodes confirm the reader's own state back to it. This must not make it stop
// reading.
BOOST_AUTO_TEST_CASE(ReaderIgnoresEchoOfItsOwnState) {
  Domain domain(13);
  domain.Run(8s);
  auto& reader = domain.WatchingNode();
  reader.is_served = false;
  reader.keeper.SetReached(domain.now, false);
  domain.Run(700ms);
  BOOST_TEST((reader.mode == ReadingMode::kWatching));
}

// A removal of the node's own entry that other nodes report is verified with
// the platform.
BOOST_AUTO_TEST_CASE(UnconfirmedOwnEntryIsReadFromPlatform) {
  Domain domain(13);
  domain.Run(8s);
  const auto resting = std::find_if(
      domain.nodes.begin(), domain.nodes.end(),
      [](const auto& node) { return node->mode == ReadingMode::kResting; });
  (*resting)->keeper.SetOwnEntryUnconfirmed(true);
  domain.Run(2 * kStep);
  BOOST_TEST(((*resting)->mode == ReadingMode::kAlone));
  (*resting)->keeper.SetOwnEntryUnconfirmed(false);
  domain.Run(2 * kStep);
  BOOST_TEST(((*resting)->mode == ReadingMode::kResting));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace agaterun::membership
