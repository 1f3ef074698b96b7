#include <rapidcheck.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <functional>

#include "libraries/base/random.h"
#include "libraries/decision/ticket.h"
#include "libraries/decision/ticket_store.h"

namespace agaterun::decision {

namespace {

// Fixed, so that each run checks the same cases.
constexpr std::uint64_t kSeed = 20240611;
constexpr int kMaxCases = 25;

std::string ServiceText(int name, std::uint64_t slots) {
  const auto text = "s" + std::to_string(name);
  return "[service " + text + "]\nslots = " + std::to_string(slots) +
         "\nconnections = 9\nendpoint.e = 127.0.0." + std::to_string(name + 1) +
         ":7400 r/a\n[route " + text + " all]\npath = /\n";
}

// Tickets for four services, so that they overlap, with few numbers, so that
// some numbers have two texts.
std::vector<Ticket> RandomTickets(SeededRandom& random) {
  std::vector<Ticket> tickets;
  const auto count = 2 + random.Below(6);
  for (std::uint64_t index = 0; index < count; ++index) {
    std::string text =
        "[ticket]\nnumber = " + std::to_string(1 + random.Below(5)) + "\n";
    const auto names = 1 + random.Below(15);
    for (int name = 0; name < 4; ++name) {
      if ((names >> name & 1) != 0) {
        text += ServiceText(name, 1 + random.Below(3));
      }
    }
    tickets.push_back(ParseTicket(text).value());
  }
  return tickets;
}

std::vector<TicketItemText> ItemsOf(const std::vector<Ticket>& tickets) {
  std::vector<TicketItemText> items;
  for (const auto& ticket : tickets) {
    items.insert(items.end(), ticket.items.begin(), ticket.items.end());
  }
  return items;
}

void Shuffle(std::vector<TicketItemText>& items, SeededRandom& random) {
  for (std::size_t index = items.size(); index > 1; --index) {
    std::swap(items[index - 1], items[random.Below(index)]);
  }
}

std::shared_ptr<const TicketState> MergeAll(
    std::shared_ptr<const TicketState> state,
    const std::vector<TicketItemText>& texts) {
  std::vector<TicketItem> items;
  for (const auto& text : texts) {
    items.push_back(ParseTicketItem(text).value());
  }
  std::vector<std::string> conflicts;
  return MergeTicketItems(state, items, conflicts);
}

std::shared_ptr<const TicketState> EmptyState() {
  return std::make_shared<TicketState>();
}

// True if, for each item in force, all items of its ticket are in force with
// the same or a larger number.
bool IsComplete(const TicketState& state) {
  return std::all_of(
      state.items.begin(), state.items.end(), [&](const auto& entry) {
        const auto& siblings = entry.second.siblings;
        return std::all_of(siblings.begin(), siblings.end(),
                           [&](const std::string& sibling) {
                             const auto found = state.items.find(sibling);
                             return found != state.items.end() &&
                                    found->second.number >= entry.second.number;
                           });
      });
}

void CheckProperty(const std::string& name,
                   const std::function<void(SeededRandom&)>& property) {
  BOOST_TEST_MESSAGE("rapidcheck seed " << kSeed);
  const auto result = rc::detail::checkTestable(
      [&] {
        SeededRandom random(*rc::gen::arbitrary<std::uint64_t>());
        property(random);
      },
      rc::detail::TestMetadata{.id = name, .description = name},
      rc::detail::TestParams{.seed = kSeed, .maxSuccess = kMaxCases});
  BOOST_TEST_INFO(result);
  BOOST_TEST(result.template is<rc::detail::SuccessResult>());
}

}  // namespace

BOOST_AUTO_TEST_SUITE(TicketMergeTest)

BOOST_AUTO_TEST_CASE(MergeIsCommutativeAndIdempotent) {
  CheckProperty("commutative and idempotent", [](SeededRandom& random) {
    auto items = ItemsOf(RandomTickets(random));
    const auto expected = MergeAll(EmptyState(), items);
    Shuffle(items, random);
    const auto repeated = items;
    items.insert(items.end(), repeated.begin(),
                 repeated.begin() + static_cast<std::ptrdiff_t>(
                                        random.Below(repeated.size())));
    auto state = EmptyState();
    for (const auto& item : items) {
      state = MergeAll(state, {item});
    }
    RC_ASSERT(state->digest == expected->digest);
    RC_ASSERT(MergeAll(state, items) == state);
  });
}

BOOST_AUTO_TEST_CASE(MergeIsAssociative) {
  CheckProperty("associative", [](SeededRandom& random) {
    const auto left = ItemsOf(RandomTickets(random));
    const auto right = ItemsOf(RandomTickets(random));
    // Items that a node sends from its state have to merge like the original
    // tickets.
    std::vector<TicketItemText> merged;
    const auto state = MergeAll(EmptyState(), right);
    for (const auto& [name, item] : state->items) {
      merged.push_back({.name = name,
                        .number = item.number,
                        .text = item.text,
                        .ticket_hash = item.ticket_hash,
                        .siblings = item.siblings});
    }
    RC_ASSERT(MergeAll(MergeAll(EmptyState(), left), right)->digest ==
              MergeAll(MergeAll(EmptyState(), left), merged)->digest);
  });
}

BOOST_AUTO_TEST_CASE(MergeNeverDecreasesNumbers) {
  CheckProperty("monotonic", [](SeededRandom& random) {
    auto items = ItemsOf(RandomTickets(random));
    Shuffle(items, random);
    auto state = EmptyState();
    for (const auto& item : items) {
      const auto next = MergeAll(state, {item});
      for (const auto& [name, before] : state->items) {
        RC_ASSERT(next->items.at(name).number >= before.number);
      }
      state = next;
    }
  });
}

BOOST_AUTO_TEST_CASE(GossipingStoresConvergeWithoutPartialTickets) {
  CheckProperty("gossip", [](SeededRandom& random) {
    const auto tickets = RandomTickets(random);
    std::vector<TicketStore> stores(4);
    // Each ticket reaches one store completely; then items are sent one at a
    // time, and lost or repeated at random.
    for (const auto& ticket : tickets) {
      stores[random.Below(stores.size())].Merge(ticket.items);
    }
    for (int step = 0; step < 60; ++step) {
      const auto& from = stores[random.Below(stores.size())];
      auto& to = stores[random.Below(stores.size())];
      for (const auto& item : from.NewerThan(VersionsOf(*to.State()))) {
        if (random.Below(2) == 0) {
          to.Merge({item});
        }
        RC_ASSERT(IsComplete(*to.State()));
      }
    }
    for (int round = 0; round < 2; ++round) {
      for (auto& to : stores) {
        for (const auto& from : stores) {
          to.Merge(from.NewerThan(VersionsOf(*to.State())));
        }
      }
    }
    const auto expected = MergeAll(EmptyState(), ItemsOf(tickets));
    for (const auto& store : stores) {
      RC_ASSERT(store.State()->digest == expected->digest);
      RC_ASSERT(store.Covers(expected->digest));
    }
  });
}

BOOST_AUTO_TEST_CASE(ConflictingTextsResolveToOneTicketForAllItems) {
  const auto ticket = [](std::uint64_t slots) {
    return ParseTicket("[ticket]\nnumber = 7\n" + ServiceText(0, slots) +
                       ServiceText(1, slots))
        .value();
  };
  for (std::uint64_t slots = 2; slots < 12; ++slots) {
    TicketStore store;
    TicketStore other;
    BOOST_TEST(store.Merge(ticket(1).items).conflicts.empty());
    BOOST_TEST(store.Merge(ticket(slots).items).conflicts.size() == 2U);
    // Each conflict is returned once.
    BOOST_TEST(store.Merge(ticket(1).items).conflicts.empty());
    other.Merge(ticket(slots).items);
    other.Merge(ticket(1).items);
    BOOST_TEST(store.State()->digest == other.State()->digest);
    BOOST_TEST(store.State()->FindService("s0")->slots ==
               store.State()->FindService("s1")->slots);
  }
}

BOOST_AUTO_TEST_CASE(PartialTicketTakesEffectOnceComplete) {
  const auto first = ParseTicket("[ticket]\nnumber = 1\n" + ServiceText(0, 1) +
                                 ServiceText(1, 1))
                         .value();
  const auto second = ParseTicket("[ticket]\nnumber = 2\n" + ServiceText(0, 2) +
                                  ServiceText(1, 2))
                          .value();
  TicketStore store;
  store.Merge(first.items);
  BOOST_TEST(!store.Merge({second.items[0]}).has_changed);
  BOOST_TEST(store.State()->FindService("s0")->slots == 1);
  BOOST_TEST(store.Merge({second.items[1]}).has_changed);
  BOOST_TEST(store.State()->FindService("s0")->slots == 2);
  BOOST_TEST(store.State()->FindService("s1")->slots == 2);
}

BOOST_AUTO_TEST_CASE(LargerNumberReplacesMissingSibling) {
  TicketStore store;
  store.Merge(ParseTicket("[ticket]\nnumber = 3\n" + ServiceText(1, 3))->items);
  const auto second = ParseTicket("[ticket]\nnumber = 2\n" + ServiceText(0, 2) +
                                  ServiceText(1, 2))
                          .value();
  BOOST_TEST(store.Merge({second.items[0]}).has_changed);
  BOOST_TEST(store.State()->FindService("s1")->slots == 3);
}

BOOST_AUTO_TEST_CASE(LargeStateIsSplitIntoSeveralMessages) {
  const TicketItemText large{.text = std::string(kMaxTicketBytes, 'x')};
  BOOST_TEST(SplitIntoMessages({}).size() == 1U);
  const auto messages = SplitIntoMessages({large, large, large});
  BOOST_REQUIRE(messages.size() == 2U);
  BOOST_TEST(messages[0].size() == 2U);
  BOOST_TEST(messages[1].size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace agaterun::decision
