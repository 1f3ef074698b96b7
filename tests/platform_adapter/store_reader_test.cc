#include "platform/store_reader.h"

#include <boost/test/unit_test.hpp>
#include <optional>

#include "tests/fakes/run_until.h"
#include "tests/fakes/store/fake_store.h"

namespace agaterun::platform_adapter {

BOOST_AUTO_TEST_SUITE(StoreReaderTest)

class RecordingObserver final : public membership::DirectoryObserver {
 public:
  void OnConfiguration(
      std::shared_ptr<const routing::Configuration> configuration,
      std::string text) override {
    this->version = configuration->version;
    this->text = std::move(text);
  }
  void OnEndpointList(membership::EndpointList list) override {
    this->list = std::move(list);
    ++this->list_count;
  }
  void OnEndpointChanges(membership::EndpointChanges new_changes) override {
    this->changes = std::move(new_changes);
    ++this->change_count;
  }
  void OnLocalEndpoint(membership::LocalEndpoint endpoint) override {
    this->local = std::move(endpoint);
    ++this->local_count;
  }
  void OnMalformedConfiguration(std::string reason) override {
    this->unreadable_reason = std::move(reason);
  }
  void OnPlatformReachabilityChanged(bool is_reachable,
                                     std::string /*why*/) override {
    this->is_reachable = is_reachable;
  }

  std::uint64_t version = 0;
  std::string text;
  membership::EndpointList list;
  int list_count = 0;
  membership::EndpointChanges changes;
  int change_count = 0;
  membership::LocalEndpoint local;
  int local_count = 0;
  std::optional<bool> is_reachable;
  std::string unreadable_reason;
};

std::string Configuration(int version) {
  return R"({"Version":)" + std::to_string(version) + R"(,"Resources":[]})";
}

std::string Endpoint(const char* state) {
  return std::string(R"({"Service":"one","Address":"10.0.0.9:8080",)") +
         R"("Zone":"a","Version":"v1","Slots":9,"State":")" + state +
         R"(","ColdLeft":"0ms","Seq":4})";
}

// Entries that another writer may leave among those of the endpoints.
std::vector<std::string> OddEntries() {
  const auto with_slots = [](const char* slots) {
    auto text = Endpoint("ready");
    text.replace(text.find("9,\"State"), 1, slots);
    return text;
  };
  const auto with_port = [](const char* port) {
    auto text = Endpoint("ready");
    text.replace(text.find("8080"), 4, port);
    return text;
  };
  return {std::string(700'000, '['),
          std::string(2'000, '[') + std::string(2'000, ']'),
          with_slots("18446744073709551616"),
          with_slots("9223372036854775899"),
          with_slots("1e999"),
          with_slots("{}"),
          with_port("0"),
          with_port("65536"),
          with_port("-8080"),
          with_port("99999999999999999999"),
          R"({"Service":7})",
          "\xff",
          ""};
}

struct Fixture {
  bool RunUntil(const std::function<bool()>& done) {
    return fakes::RunUntil(this->io, done);
  }

  explicit Fixture(Duration watch_wait = 300ms) : watch_wait(watch_wait) {}

  Duration watch_wait;
  asio::io_context io{1};
  fakes::FakeStore store{this->io};
  SeededRandom random{4};
  RecordingObserver observer;
  StoreReader reader{this->io,
                     {.store = this->store.Address(),
                      .local_endpoint_wait = this->watch_wait,
                      .configuration_wait = this->watch_wait,
                      .configuration_wait_per_endpoint = 0ms,
                      .list_interval = 20ms,
                      .watch_pause = 1ms,
                      .watch_wait = this->watch_wait,
                      .watching_configuration_wait = this->watch_wait,
                      .response_timeout = 200ms,
                      .retry_interval = 20ms,
                      .max_retry_interval = 40ms},
                     this->random,
                     this->observer};
};

// The watch timeout exceeds the duration of a test, so watches end only by an
// event of the test.
struct LongWatchFixture : Fixture {
  LongWatchFixture() : Fixture(20s) {}
};

BOOST_FIXTURE_TEST_CASE(ReportsConfigurationChanges, Fixture) {
  this->store.Put("op/config", Configuration(3));
  this->reader.Start();
  BOOST_TEST(this->RunUntil([&] { return this->observer.version == 3; }));
  BOOST_TEST(this->observer.text == Configuration(3));
  this->store.Put("op/other", "x");
  this->store.Put("op/config", Configuration(9));
  BOOST_TEST(this->RunUntil([&] { return this->observer.version == 9; }));
}

BOOST_FIXTURE_TEST_CASE(ReportsFirstConfigurationPublishedAfterStart, Fixture) {
  this->reader.Start();
  BOOST_TEST(this->RunUntil([&] { return this->store.ReadCount() > 3; }));
  this->store.Put("op/config", Configuration(1));
  BOOST_TEST(this->RunUntil([&] { return this->observer.version == 1; }));
}

BOOST_FIXTURE_TEST_CASE(ReadsConfigurationAfterHistoryLoss, Fixture) {
  this->store.Put("op/config", Configuration(3));
  this->reader.Start();
  BOOST_TEST(this->RunUntil([&] { return this->store.WatchCount() > 0; }));
  // The store drops the change from its history before the watch receives it.
  this->store.SetUnresponsive(true);
  BOOST_TEST(
      this->RunUntil([&] { return this->observer.is_reachable == false; }));
  this->store.Put("op/config", Configuration(4));
  this->store.DropHistory();
  this->store.SetUnresponsive(false);
  BOOST_TEST(this->RunUntil([&] { return this->observer.version == 4; }));
}

BOOST_FIXTURE_TEST_CASE(ContinuesAfterUnreadableConfiguration, Fixture) {
  this->store.Put("op/config", Configuration(3));
  this->reader.Start();
  BOOST_TEST(this->RunUntil([&] { return this->observer.version == 3; }));
  this->store.Put("op/config", "{");
  this->store.Put("op/config", Configuration(5));
  BOOST_TEST(this->RunUntil([&] { return this->observer.version == 5; }));
  BOOST_TEST(!this->observer.unreadable_reason.empty());
}

BOOST_FIXTURE_TEST_CASE(RecoversAfterEachErrorStatusOfStore, Fixture) {
  this->store.Put("op/config", Configuration(3));
  this->reader.Start();
  BOOST_TEST(
      this->RunUntil([&] { return this->observer.is_reachable == true; }));
  int version = 3;
  for (const int status : {429, 503, 500}) {
    this->store.FailWith(status);
    BOOST_TEST(
        this->RunUntil([&] { return this->observer.is_reachable == false; }));
    this->store.Put("op/config", Configuration(++version));
    this->store.FailWith(0);
    BOOST_TEST(this->RunUntil([&] {
      return this->observer.is_reachable == true &&
             this->observer.version == static_cast<std::uint64_t>(version);
    }));
  }
}

BOOST_FIXTURE_TEST_CASE(ReadsAllPagesAndIgnoresMalformedEntries, Fixture) {
  this->store.SetPageSize(2);
  for (const char* id : {"a", "b", "c", "d", "e"}) {
    this->store.Put(std::string("servers/") + id, Endpoint("ready"));
  }
  this->store.Put("servers/bad", "\xff");
  this->store.Put("servers/worse", R"({"Service":7})");
  this->reader.Start();
  BOOST_TEST(this->RunUntil([&] { return this->observer.list_count > 0; }));
  BOOST_TEST(this->observer.list.entries.size() == 5U);
  BOOST_TEST(this->observer.list.is_current);
}

// Failure at systems like this one: one odd entry ended the nodes that read the
// list, or they stopped following it.
BOOST_FIXTURE_TEST_CASE(OddEntryInListCostsNoOther, Fixture) {
  const auto odd = OddEntries();
  for (std::size_t entry = 0; entry < odd.size(); ++entry) {
    this->store.Put("servers/odd" + std::to_string(entry), odd[entry]);
  }
  this->store.Put("servers/a", Endpoint("ready"));
  this->store.Put("servers/z", Endpoint("ready"));
  this->reader.Start();
  BOOST_TEST(this->RunUntil([&] { return this->observer.list_count > 0; }));
  BOOST_TEST(this->observer.list.entries.size() == 2U);
  BOOST_TEST(this->observer.list.refused.size() == odd.size());
  for (const auto& entry : this->observer.list.refused) {
    BOOST_TEST(entry.id.starts_with("odd"));
    BOOST_TEST(!entry.why.empty());
    BOOST_TEST(entry.why.size() < 300U);
  }
}

// The same, in a watch.
BOOST_FIXTURE_TEST_CASE(OddEntryInWatchCostsNoOther, LongWatchFixture) {
  this->store.Put("servers/a", Endpoint("ready"));
  this->reader.Start();
  this->reader.SetMode(membership::ReadingMode::kWatching);
  BOOST_TEST(this->RunUntil([&] { return this->store.WatchCount() > 0; }));
  for (const auto& text : OddEntries()) {
    const int changes = this->observer.change_count;
    this->store.Put("servers/odd", text);
    BOOST_TEST(
        this->RunUntil([&] { return this->observer.change_count > changes; }));
    BOOST_TEST(this->observer.changes.refused.size() == 1U);
    BOOST_TEST(this->observer.changes.removed.size() == 1U);
    this->store.Put("servers/a", Endpoint("draining"));
    BOOST_TEST(this->RunUntil([&] {
      return this->observer.change_count > changes + 1 &&
             this->observer.changes.entries.size() == 1U;
    }));
  }
}

// The same, in the entry of the local backend server.
BOOST_FIXTURE_TEST_CASE(OddLocalEntryIsRefusedUntilReplaced, Fixture) {
  this->store.Put("servers/me", Endpoint("ready"));
  this->reader.Start();
  this->reader.WatchLocalEndpoint("me");
  BOOST_TEST(this->RunUntil([&] { return this->observer.local_count > 0; }));
  for (const auto& text : OddEntries()) {
    this->store.Put("servers/me", text);
    BOOST_TEST(this->RunUntil(
        [&] { return this->observer.local.refused.has_value(); }));
    BOOST_TEST(!this->observer.local.entry.has_value());
    this->store.Put("servers/me", Endpoint("ready"));
    BOOST_TEST(
        this->RunUntil([&] { return this->observer.local.entry.has_value(); }));
  }
}

// After the first list, stale ones are sufficient: they only have to name the
// other nodes, and are cheap for the store.
BOOST_FIXTURE_TEST_CASE(RequestsOneCurrentListThenStaleLists, Fixture) {
  this->store.Put("servers/me", Endpoint("ready"));
  this->reader.Start();
  BOOST_TEST(this->RunUntil([&] { return this->observer.list_count == 1; }));
  BOOST_TEST(this->observer.list.is_current);
  BOOST_TEST(this->RunUntil([&] { return this->observer.list_count > 3; }));
  BOOST_TEST(!this->observer.list.is_current);
  BOOST_TEST(this->store.StaleReadCount() >= 3);
}

// While the store is unreachable, only list requests probe whether it responds
// again.
BOOST_FIXTURE_TEST_CASE(RequestsOnlyListWhileStoreIsUnreachable, Fixture) {
  this->store.Put("op/config", Configuration(3));
  this->store.Put("servers/me", Endpoint("ready"));
  this->reader.Start();
  this->reader.WatchLocalEndpoint("me");
  BOOST_TEST(this->RunUntil([&] { return this->observer.local_count > 0; }));
  this->store.FailWith(503);
  BOOST_TEST(
      this->RunUntil([&] { return this->observer.is_reachable == false; }));
  while (this->io.poll() > 0) {
    // Delivers the requests that were sent before.
  }
  this->store.FailedPaths().clear();
  BOOST_TEST(
      this->RunUntil([&] { return this->store.FailedPaths().size() >= 5; }));
  for (const auto& path : this->store.FailedPaths()) {
    BOOST_TEST(path == "/-/kv-range");
  }
  this->store.Put("op/config", Configuration(4));
  this->store.Put("servers/me", Endpoint("draining"));
  this->store.FailWith(0);
  BOOST_TEST(this->RunUntil([&] {
    return this->observer.version == 4 && this->observer.local.entry &&
           this->observer.local.entry->leaving;
  }));
}

BOOST_FIXTURE_TEST_CASE(ReportsChangesOfLocalEndpoint, Fixture) {
  this->store.Put("servers/me", Endpoint("ready"));
  this->store.Put("servers/me2", Endpoint("ready"));
  this->reader.Start();
  this->reader.WatchLocalEndpoint("me");
  BOOST_TEST(this->RunUntil([&] { return this->observer.local_count > 0; }));
  BOOST_TEST(!this->observer.local.entry->leaving);
  this->store.Put("servers/me2", Endpoint("draining"));
  this->store.Put("servers/me", Endpoint("draining"));
  BOOST_TEST(
      this->RunUntil([&] { return this->observer.local.entry->leaving; }));
  this->store.Delete("servers/me");
  BOOST_TEST(
      this->RunUntil([&] { return !this->observer.local.entry.has_value(); }));
  this->reader.WatchLocalEndpoint("me2");
  BOOST_TEST(
      this->RunUntil([&] { return this->observer.local.entry.has_value(); }));
  BOOST_TEST(this->observer.local.id == "me2");
}

BOOST_FIXTURE_TEST_CASE(RestartsWatchesWhenStoreIsReachableAgain,
                        LongWatchFixture) {
  this->store.Put("op/config", Configuration(3));
  this->reader.Start();
  BOOST_TEST(this->RunUntil([&] {
    return this->observer.is_reachable == true && this->store.WatchCount() > 0;
  }));
  this->store.DropWatches();
  this->store.FailWith(503);
  BOOST_TEST(
      this->RunUntil([&] { return this->observer.is_reachable == false; }));
  this->store.Put("op/config", Configuration(4));
  this->store.FailWith(0);
  BOOST_TEST(this->RunUntil([&] { return this->observer.version == 4; }));
}

// Only the response of the watch is lost: the list then shows the newer
// revision.
BOOST_FIXTURE_TEST_CASE(ReadsLocalEndpointWhenListIsNewer, LongWatchFixture) {
  this->store.Put("servers/me", Endpoint("ready"));
  this->reader.Start();
  this->reader.WatchLocalEndpoint("me");
  BOOST_TEST(this->RunUntil([&] { return this->store.WatchCount() > 0; }));
  this->store.DropWatches();
  this->store.Put("servers/me", Endpoint("draining"));
  BOOST_TEST(this->RunUntil([&] {
    return this->observer.local.entry && this->observer.local.entry->leaving;
  }));
  this->store.DropWatches();
  this->store.Delete("servers/me");
  BOOST_TEST(this->RunUntil([&] { return !this->observer.local.entry; }));
}

// When the store drops its history, pending watches receive nothing more, not
// even a status that asks for a new read.
BOOST_FIXTURE_TEST_CASE(RequestsWatchAgainAfterStoreDropsIt, Fixture) {
  this->store.Put("op/config", Configuration(3));
  this->reader.Start();
  BOOST_TEST(this->RunUntil([&] { return this->store.WatchCount() > 0; }));
  this->store.DropWatches();
  this->store.DropHistory();
  this->store.Put("op/config", Configuration(4));
  BOOST_TEST(this->RunUntil([&] { return this->observer.version == 4; }));
}

BOOST_FIXTURE_TEST_CASE(RestingModeSendsNoRequests, Fixture) {
  this->store.Put("op/config", Configuration(3));
  this->store.Put("servers/me", Endpoint("ready"));
  this->reader.Start();
  this->reader.WatchLocalEndpoint("me");
  BOOST_TEST(this->RunUntil([&] { return this->observer.local_count > 0; }));
  this->reader.SetMode(membership::ReadingMode::kResting);
  while (this->io.poll() > 0) {
    // Delivers the requests that were sent before.
  }
  const auto reads = this->store.ReadCount();
  const auto watches = this->store.WatchCount();
  this->io.run_for(200ms);
  BOOST_TEST(this->store.ReadCount() == reads);
  BOOST_TEST(this->store.WatchCount() == watches);
  this->store.Put("op/config", Configuration(8));
  this->reader.SetMode(membership::ReadingMode::kAlone);
  BOOST_TEST(this->RunUntil([&] { return this->observer.version == 8; }));
}

struct WatchingFixture : LongWatchFixture {
  WatchingFixture() {
    this->store.Put("op/config", Configuration(3));
    this->store.Put("servers/one", Endpoint("ready"));
    this->reader.Start();
    this->reader.SetMode(membership::ReadingMode::kWatching);
  }
};

// One watch request returns the changes of all endpoints.
BOOST_FIXTURE_TEST_CASE(WatchingModeReceivesAllChangesWithFewRequests,
                        WatchingFixture) {
  BOOST_TEST(this->RunUntil([&] { return this->observer.list_count > 0; }));
  BOOST_TEST((this->observer.list.changes_followed_for > 0s));
  BOOST_TEST(this->RunUntil([&] { return this->store.WatchCount() >= 2; }));
  const auto watches = this->store.WatchCount();
  this->store.Put("servers/two", Endpoint("draining"));
  BOOST_TEST(this->RunUntil([&] { return this->observer.change_count == 1; }));
  BOOST_TEST(this->observer.changes.entries.at(0).id == "two");
  BOOST_TEST(this->observer.changes.entries.at(0).leaving);
  this->store.Delete("servers/one");
  BOOST_TEST(this->RunUntil([&] { return this->observer.change_count == 2; }));
  BOOST_TEST(this->observer.changes.removed.at(0).first == "one");
  BOOST_TEST(this->observer.changes.since > 0U);
  BOOST_TEST(this->store.WatchCount() <= watches + 2);
}

// A malformed entry is treated as no endpoint, even when the previous entry
// under its key was valid.
BOOST_FIXTURE_TEST_CASE(EntryThatBecomesMalformedIsRemoved, WatchingFixture) {
  BOOST_TEST(this->RunUntil([&] { return this->store.WatchCount() >= 2; }));
  this->store.Put("servers/one", "\xff");
  BOOST_TEST(this->RunUntil([&] { return this->observer.change_count == 1; }));
  BOOST_TEST(this->observer.changes.removed.at(0).first == "one");
}

BOOST_FIXTURE_TEST_CASE(WatchingModeReadsListAfterHistoryLoss,
                        WatchingFixture) {
  BOOST_TEST(this->RunUntil([&] { return this->store.WatchCount() >= 2; }));
  this->store.FailWith(503);
  this->store.Put("servers/two", Endpoint("ready"));
  BOOST_TEST(
      this->RunUntil([&] { return this->observer.is_reachable == false; }));
  this->store.DropHistory();
  this->store.FailWith(0);
  BOOST_TEST(
      this->RunUntil([&] { return this->observer.list.entries.size() == 2U; }));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace agaterun::platform_adapter
