#include <boost/test/unit_test.hpp>

#include "libraries/decision/binding_pool.h"
#include "libraries/decision/nested_keys.h"
#include "tests/decision/origin_fixture.h"

namespace agaterun::decision {

BOOST_AUTO_TEST_SUITE(OriginTablesTest)

BOOST_AUTO_TEST_CASE(PooledBindingsAreTakenOnceAndExpire) {
  BindingPool pool({.max_per_gate = 2, .lifetime = 2s});
  for (std::uint64_t sequence = 1; sequence <= 3; ++sequence) {
    pool.Put(1s, {.gate = NodeOf(1), .incarnation = 1, .sequence = sequence});
  }
  BOOST_TEST(pool.Take(1s, NodeOf(1))->sequence == 3U);
  BOOST_TEST(pool.Take(1s, NodeOf(1))->sequence == 2U);
  BOOST_TEST(!pool.Take(1s, NodeOf(1)).has_value());
  pool.Put(1s, {.gate = NodeOf(1), .incarnation = 1, .sequence = 4});
  BOOST_TEST(!pool.Take(3s, NodeOf(1)).has_value());
}

BOOST_AUTO_TEST_CASE(PooledBindingsOfEarlierIncarnationAreRemoved) {
  BindingPool pool({});
  pool.Put(1s, {.gate = NodeOf(1), .incarnation = 1, .sequence = 1});
  pool.Put(1s, {.gate = NodeOf(1), .incarnation = 2, .sequence = 1});
  BOOST_TEST(pool.Take(1s, NodeOf(1))->incarnation == 2U);
  BOOST_TEST(!pool.Take(1s, NodeOf(1)).has_value());
}

BOOST_AUTO_TEST_CASE(PeersMissingFromTicketsAreRemoved) {
  OriginFixture fixture;
  for (int number = 0; number < 2000; ++number) {
    fixture.peers.Received(fixture.now, NodeOf(number));
  }
  fixture.peers.RecordAttemptStarted(fixture.now, NodeOf(1500));
  TicketState state;
  AddTo(state, MakeService("vault", 3));
  fixture.origin.SetState(std::make_shared<TicketState>(state));
  // The three endpoints of the ticket, and the peer with an attempt in flight.
  BOOST_TEST(fixture.peers.All().size() == 4U);
  BOOST_TEST(!fixture.Arrive(fixture.MakeCall(1, true)).empty());
}

BOOST_AUTO_TEST_CASE(NestedKeysAreBoundedAndErasedWithTheirVisit) {
  NestedKeys keys({.max_entries_per_visit = 2, .max_entries = 3});
  const VisitId first = {.high = 1};
  const VisitId second = {.high = 2};
  BOOST_TEST(keys.Add(first, "ledger", "a") != nullptr);
  BOOST_TEST(keys.Add(first, "ledger", "b") != nullptr);
  BOOST_TEST(keys.Add(first, "ledger", "c") == nullptr);
  BOOST_TEST(keys.Add(second, "ledger", "a") != nullptr);
  BOOST_TEST(keys.Add(second, "ledger", "b") == nullptr);
  keys.EraseVisit(first);
  BOOST_TEST(keys.Size() == 1U);
  BOOST_TEST(keys.Find(first, "ledger", "a") == nullptr);
  keys.Erase(second, "ledger", "a");
  BOOST_TEST(keys.Size() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace agaterun::decision
