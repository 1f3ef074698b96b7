#include <boost/test/unit_test.hpp>

#include "libraries/decision/platform_schedule.h"

namespace agaterun::decision {

namespace {

struct ScheduleCase {
  ReaderRole role;
  bool reached;
  std::optional<Duration> age;  // Of the last confirmation by others.
  Duration min_read_interval;   // Between two reads.
  int max_read_count;           // In ten minutes.
};

// The bound on the reads of a fleet is based on these intervals: no node reads
// more often, whatever its view of the others. A watch without changes is not
// covered.
constexpr ScheduleCase kScheduleCases[] = {
    {ReaderRole::kPoller, true, 0s, 900ms, 667},
    {ReaderRole::kPoller, false, std::nullopt, 1800ms, 334},
    {ReaderRole::kStandby, true, 0s, 600s, 0},
    {ReaderRole::kStandby, true, std::nullopt, 900ms, 667},
    {ReaderRole::kStandby, false, std::nullopt, 1800ms, 334},
    {ReaderRole::kNone, true, 0s, 600s, 0},
    {ReaderRole::kNone, true, std::nullopt, 5s, 120},
    {ReaderRole::kNone, false, std::nullopt, 10s, 31},
};

}  // namespace

BOOST_AUTO_TEST_SUITE(TicketScheduleTest)

BOOST_AUTO_TEST_CASE(EachRoleKeepsItsMinimumInterval) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    for (const auto& [role, reached, age, min_interval, max_reads] :
         kScheduleCases) {
      BOOST_TEST_CONTEXT(NameOf(kReaderRoleNames, role)
                         << " reached " << reached << " seed " << seed) {
        SeededRandom random(seed);
        PlatformSchedule schedule(random);
        std::optional<Instant> previous;
        int reads = 0;
        Duration shortest_interval = 600s;
        for (Instant now = 1000s; now < 1600s; now += 10ms) {
          schedule.Update(now, role,
                          age ? std::optional(now - *age) : std::nullopt);
          if (!schedule.NextRead() || *schedule.NextRead() > now) {
            continue;
          }
          schedule.StartRead(now, 1);
          schedule.RecordReadEnd(now, reached, 1);
          shortest_interval = previous
                                  ? std::min(shortest_interval, now - *previous)
                                  : shortest_interval;
          previous = now;
          ++reads;
        }
        BOOST_TEST((shortest_interval >= min_interval));
        BOOST_TEST(reads <= max_reads);
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(FirstFallbackReadsAreDistributedOverSeconds) {
  SeededRandom random(1);
  std::map<std::int64_t, int> calls;
  for (int node = 0; node < 710; ++node) {
    PlatformSchedule schedule(random);
    schedule.Update(1000s, ReaderRole::kNone, std::nullopt);
    calls[*schedule.NextRead() / 1s] += 2;
  }
  for (const auto& [second, count] : calls) {
    BOOST_TEST(count < 400);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace agaterun::decision
