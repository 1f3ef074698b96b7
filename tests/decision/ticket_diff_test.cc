#include "libraries/decision/ticket_diff.h"

#include <boost/test/unit_test.hpp>

#include "libraries/decision/ticket_store.h"

namespace agaterun::decision {

namespace {

Ticket TicketWithSlots(std::uint64_t number,
                       int slots,
                       const std::string& more = "") {
  return ParseTicket("[ticket]\nnumber = " + std::to_string(number) +
                     "\n[service s]\nslots = " + std::to_string(slots) +
                     "\nconnections = 9\nendpoint.e = 127.0.0.1:7400 r/a\n" +
                     more + "[route s all]\npath = /\n")
      .value();
}

void CheckLines(const std::vector<std::string>& lines,
                const std::vector<std::string>& expected) {
  BOOST_CHECK_EQUAL_COLLECTIONS(lines.begin(), lines.end(), expected.begin(),
                                expected.end());
}

}  // namespace

BOOST_AUTO_TEST_SUITE(TicketDiffTest)

BOOST_AUTO_TEST_CASE(ListsChangedItemsAndKeys) {
  TicketStore store;
  const auto& state = store.State();
  store.Merge(TicketWithSlots(2, 10).items);
  CheckLines(DiffTicket(*state, TicketWithSlots(3, 10)),
             {"service s: 2 -> 3, same content"});
  CheckLines(DiffTicket(*state, TicketWithSlots(3, 20)),
             {"service s: 2 -> 3", "  ~ [service s] slots = 10 -> 20"});
  CheckLines(DiffTicket(*state, TicketWithSlots(3, 10, "shed_status = 503\n")),
             {"service s: 2 -> 3", "  + [service s] shed_status = 503"});
  CheckLines(DiffTicket(*state, TicketWithSlots(1, 20)),
             {"service s: 2 -> 1, no effect: the larger number stays"});
  CheckLines(
      DiffTicket(*state, TicketWithSlots(2, 20)),
      {"service s: 2 -> 2, conflict: another text has this number; issue "
       "the next one"});
  BOOST_TEST(DiffTicket(TicketState(), TicketWithSlots(3, 10)).front() ==
             "service s: new with 3");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace agaterun::decision
