#include "libraries/admission/route_costs.h"

#include <boost/test/unit_test.hpp>

namespace agaterun::admission {

BOOST_AUTO_TEST_SUITE(RouteCostsTest)

Duration CostAt(const RouteCosts& costs, std::string_view service) {
  for (const auto& cost : costs.Find("draft")->services) {
    if (cost.service == service) {
      return cost.slot_time;
    }
  }
  return Duration{};
}

BOOST_AUTO_TEST_CASE(FirstRequestSetsCosts) {
  RouteCosts costs;
  BOOST_TEST((costs.Find("draft") == nullptr));
  costs.RecordCompletion("draft", {{"drafts", 200ms}, {"ledger", 160ms}}, 300ms,
                         true);
  BOOST_TEST((CostAt(costs, "ledger") == 160ms));
  BOOST_TEST((costs.Find("draft")->latency == 300ms));
}

BOOST_AUTO_TEST_CASE(MeanFollowsChangeButNotSingleOutlier) {
  RouteCosts costs;
  for (int request = 0; request < 40; ++request) {
    costs.RecordCompletion("draft", {{"ledger", 100ms}}, 300ms, true);
  }
  costs.RecordCompletion("draft", {{"ledger", 500ms}}, 300ms, true);
  BOOST_TEST((CostAt(costs, "ledger") == 120ms));
  for (int request = 0; request < 100; ++request) {
    costs.RecordCompletion("draft", {{"ledger", 500ms}}, 300ms, true);
  }
  BOOST_TEST((CostAt(costs, "ledger") > 490ms));
}

BOOST_AUTO_TEST_CASE(SlowFirstRequestDoesNotDominateMean) {
  RouteCosts costs;
  costs.RecordCompletion("draft", {{"ledger", 1s}}, 2s, true);
  for (int request = 0; request < 9; ++request) {
    costs.RecordCompletion("draft", {{"ledger", 100ms}}, 300ms, true);
  }
  BOOST_TEST((CostAt(costs, "ledger") < 200ms));
}

BOOST_AUTO_TEST_CASE(CostOfServiceNoLongerCalledDecays) {
  RouteCosts costs;
  costs.RecordCompletion("draft", {{"ledger", 100ms}}, 300ms, true);
  for (int request = 0; request < 150; ++request) {
    costs.RecordCompletion("draft", {{"vault", 40ms}}, 300ms, true);
  }
  BOOST_TEST((CostAt(costs, "ledger") < 500us));
  BOOST_TEST((CostAt(costs, "vault") > 39ms));
}

// All requests of a route fail for lack of slots at a nested service. The route
// must still be known to need slots there, until a success gives better
// figures.
BOOST_AUTO_TEST_CASE(FailedRequestsCountUntilFirstSuccess) {
  RouteCosts costs;
  costs.RecordCompletion("draft", {{"ledger", 40ms}}, 300ms, false);
  costs.RecordCompletion("draft", {{"ledger", 40ms}}, 300ms, false);
  BOOST_TEST((CostAt(costs, "ledger") == 40ms));
  costs.RecordCompletion("draft", {{"ledger", 160ms}}, 300ms, true);
  BOOST_TEST((CostAt(costs, "ledger") == 160ms));
  costs.RecordCompletion("draft", {{"ledger", 40ms}}, 300ms, false);
  BOOST_TEST((CostAt(costs, "ledger") == 160ms));
  BOOST_TEST(costs.Find("draft")->sample_count == 1);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace agaterun::admission
