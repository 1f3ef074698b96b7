#include <boost/test/unit_test.hpp>

#include "libraries/membership/directory_keeper.h"
#include "libraries/membership/revision.h"
#include "platform/store_calls.h"
#include "platform/store_reader.h"
#include "tests/fakes/run_until.h"
#include "tests/fakes/store/fake_store.h"

// A store that comes back from a copy and gives out revisions again.
namespace agaterun::platform_adapter {

BOOST_AUTO_TEST_SUITE(RestoredStoreTest)

std::string Configuration(int version) {
  return R"({"Version":)" + std::to_string(version) + R"(,"Resources":[]})";
}

std::string Endpoint(const char* state, int started_at = 7) {
  return std::string(R"({"Service":"one","Address":"10.0.0.9:8080",)") +
         R"("Zone":"a","Version":"v1","Slots":9,"State":")" + state +
         R"(","ColdLeft":"0ms","Seq":4,"born":)" + std::to_string(started_at) +
         "}";
}

// The directory of a node that reads the store for its failure domain.
struct Fixture : membership::DirectoryObserver {
  void OnConfiguration(
      std::shared_ptr<const routing::Configuration> configuration,
      std::string /*text*/) override {
    this->version = std::max(this->version, configuration->version);
  }
  void OnEndpointList(membership::EndpointList list) override {
    this->keeper.ApplyList(this->now, list);
    ++this->lists;
  }
  void OnEndpointChanges(membership::EndpointChanges changes) override {
    this->keeper.ApplyChanges(this->now, changes);
  }
  void OnLocalEndpoint(membership::LocalEndpoint endpoint) override {
    this->keeper.ApplyLocalEndpoint(this->now, endpoint);
    ++this->local_reads;
  }
  void OnMalformedConfiguration(std::string /*why*/) override {}
  void OnPlatformReachabilityChanged(bool /*reached*/,
                                     std::string /*why*/) override {}

  bool RunUntil(const std::function<bool()>& done) {
    return fakes::RunUntil(this->io, [&] {
      this->store.ExpireWatches();
      return done();
    });
  }

  // Starts to read with a store at revision 110 of which 101 is the copy's.
  void StartWatching() {
    this->store.Put("op/config", Configuration(3));
    this->copy_revision = this->store.Revision();
    for (int change = 0; change < 9; ++change) {
      this->store.Put("op/other", std::to_string(change));
    }
    this->Start();
  }

  void Start() {
    this->reader.Start();
    this->reader.SetMode(membership::ReadingMode::kWatching);
    BOOST_TEST(this->RunUntil(
        [&] { return this->lists > 0 && this->store.WatchCount() >= 2; }));
  }

  // The endpoint's entry in the directory; nullopt without one.
  std::optional<membership::EndpointEntry> Find(const std::string& id) const {
    for (const auto& entry : this->keeper.Endpoints().Entries()) {
      if (entry.id == id) {
        return entry;
      }
    }
    return std::nullopt;
  }

  Instant now = 100s;
  std::uint64_t copy_revision = 0;
  std::uint64_t version = 0;
  int lists = 0;
  int local_reads = 0;
  asio::io_context io{1};
  fakes::FakeStore store{this->io};
  SeededRandom random{4};
  membership::DirectoryKeeper keeper{{.ip = 1, .port = 7300}};
  StoreReader reader{this->io,
                     {.store = this->store.Address(),
                      .local_endpoint_wait = 100ms,
                      .configuration_wait = 100ms,
                      .configuration_wait_per_endpoint = 0ms,
                      .list_interval = 20ms,
                      .watch_pause = 1ms,
                      .watch_wait = 100ms,
                      .watching_configuration_wait = 100ms,
                      .response_timeout = 100ms,
                      .retry_interval = 20ms,
                      .max_retry_interval = 40ms},
                     this->random,
                     *this};
};

// Guards against endpoints that count as removed because they register after
// the restore at a revision that had been given out before.
BOOST_FIXTURE_TEST_CASE(EndpointThatRegistersAfterTheRestoreIsListed, Fixture) {
  this->StartWatching();
  this->store.RestoreAt(this->copy_revision);
  this->store.Put("servers/new", Endpoint("ready"));
  BOOST_TEST(this->RunUntil([&] { return this->Find("new").has_value(); }));
}

// Guards against a change of a known endpoint that is ignored as older.
BOOST_FIXTURE_TEST_CASE(EndpointThatLeavesAfterTheRestoreIsLeaving, Fixture) {
  this->store.Put("servers/one", Endpoint("ready"));
  this->copy_revision = this->store.Revision();
  this->store.Put("op/other", "x");
  this->store.Put("servers/one", Endpoint("ready"));
  this->store.Put("op/other", "y");
  this->Start();
  this->store.RestoreAt(this->copy_revision);
  this->store.Put("servers/one", Endpoint("draining"));
  BOOST_TEST(this->RunUntil([&] { return this->Find("one")->leaving; }));
}

// Guards against a watch that continues at a revision that the restored store
// has given out again, and so misses the configuration before it.
BOOST_FIXTURE_TEST_CASE(ConfigurationBelowARevisionGivenOutAgainIsRead,
                        Fixture) {
  this->StartWatching();
  BOOST_TEST(this->RunUntil([&] { return this->version == 3; }));
  this->store.RestoreAt(this->copy_revision);
  this->store.Put("op/config", Configuration(5));
  for (int change = 0; change < 20; ++change) {
    this->store.Put("op/other", std::to_string(change));
  }
  BOOST_TEST(this->RunUntil([&] { return this->version == 5; }));
}

// The same for the entries of endpoints: the reader of a failure domain would
// report its state as up to date.
BOOST_FIXTURE_TEST_CASE(EntryBelowARevisionGivenOutAgainIsRead, Fixture) {
  this->store.Put("servers/one", Endpoint("ready"));
  this->StartWatching();
  this->store.RestoreAt(this->copy_revision);
  this->store.Put("servers/one", Endpoint("draining"));
  for (int change = 0; change < 20; ++change) {
    this->store.Put("op/other", std::to_string(change));
  }
  BOOST_TEST(this->RunUntil([&] { return this->Find("one")->leaving; }));
}

// Guards against endpoints that are dropped because they registered in the time
// that the copy lacks.
BOOST_FIXTURE_TEST_CASE(EndpointThatTheCopyLacksStaysUntilItRegistersAgain,
                        Fixture) {
  this->store.Put("op/config", Configuration(3));
  this->copy_revision = this->store.Revision();
  this->store.Put("servers/back", Endpoint("ready"));
  this->store.Put("servers/gone", Endpoint("ready"));
  this->Start();
  this->store.RestoreAt(this->copy_revision);
  const auto lists_before = this->lists;
  BOOST_TEST(this->RunUntil([&] { return this->lists > lists_before; }));
  BOOST_TEST(this->Find("back").has_value());
  this->store.Put("servers/back", Endpoint("ready"));
  this->now += membership::kReregistrationTime;
  // The list is read again by then, and what it still lacks is gone.
  BOOST_TEST(this->RunUntil([&] { return !this->Find("gone").has_value(); }));
  BOOST_TEST(this->Find("back").has_value());
}

// Guards against endpoints that get requests again because the copy lists them
// as they were before they left.
BOOST_FIXTURE_TEST_CASE(EndpointThatLeftDoesNotReturnWithTheCopy, Fixture) {
  this->store.Put("servers/leaving", Endpoint("ready"));
  this->store.Put("servers/left", Endpoint("ready"));
  this->copy_revision = this->store.Revision();
  this->store.Put("op/config", Configuration(3));
  this->Start();
  this->store.Put("servers/leaving", Endpoint("draining"));
  this->store.Delete("servers/left");
  BOOST_TEST(this->RunUntil([&] {
    return this->Find("leaving")->leaving && !this->Find("left").has_value();
  }));
  this->store.RestoreAt(this->copy_revision);
  const auto lists_before = this->lists;
  BOOST_TEST(this->RunUntil([&] { return this->lists > lists_before; }));
  BOOST_TEST(this->Find("leaving")->leaving);
  BOOST_TEST(!this->Find("left").has_value());
  // A later incarnation with the same id is another matter.
  this->store.Put("servers/leaving", Endpoint("ready", 8));
  BOOST_TEST(this->RunUntil([&] { return !this->Find("leaving")->leaving; }));
}

// Guards against a store that counts as unreachable because it counts its eras
// from another number.
BOOST_AUTO_TEST_CASE(EraCountsRestores) {
  const auto era_of = [](const std::string& text) {
    return DecodeEra({.status = 200, .headers = {{"Store-Era", text}}});
  };
  BOOST_TEST(*DecodeEra({.status = 200}) == 0U);
  BOOST_TEST(*era_of("0") == 0U);
  BOOST_TEST(*era_of("1") == 0U);
  BOOST_TEST(*era_of("2") == 1U);
  for (const auto* text : {"", "-1", "1.5", "2 ", "two", "99999999999"}) {
    BOOST_TEST(!era_of(text).has_value(), "'" << text << "'");
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace agaterun::platform_adapter
