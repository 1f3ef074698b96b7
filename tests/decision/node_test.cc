#include "libraries/decision/node.h"

#include <boost/test/unit_test.hpp>

namespace agaterun::decision {

BOOST_AUTO_TEST_SUITE(NodeTest)

BOOST_AUTO_TEST_CASE(CallBeforeFirstTicketIsRefusedAsNotRun) {
  SeededRandom random(1);
  Node node({.self = NodeAddress{.ip = 0x7f000001, .port = 7400},
             .incarnation = 1,
             .service = "drafts"},
            random);
  Actions actions;
  node.Start(0s, actions);
  actions.clear();
  node.Handle(1ms, CallArrived{.call = 1, .service = "drafts", .method = "GET"},
              actions);
  const auto* response = std::get_if<RespondToCaller>(&actions.at(0));
  BOOST_REQUIRE(response != nullptr);
  BOOST_TEST((response->outcome == Outcome::kNotRun));
  BOOST_TEST((response->reason == Reason::kWaitingForState));
}

BOOST_AUTO_TEST_CASE(RefusalOfCallWithBindingReportsUnknown) {
  SeededRandom random(1);
  Node node({.self = NodeAddress{.ip = 0x7f000001, .port = 7400},
             .incarnation = 1,
             .service = "drafts"},
            random);
  Actions actions;
  node.Start(0s, actions);
  actions.clear();
  // An earlier copy of the request may have run through another node.
  node.Handle(1ms,
              CallArrived{.call = 1,
                          .service = "drafts",
                          .method = "POST",
                          .binding = Binding{.incarnation = 7, .sequence = 1}},
              actions);
  const auto* response = std::get_if<RespondToCaller>(&actions.at(0));
  BOOST_REQUIRE(response != nullptr);
  BOOST_TEST((response->outcome == Outcome::kUnknown));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace agaterun::decision
