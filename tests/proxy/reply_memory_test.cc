#include "libraries/proxy/reply_memory.h"

#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

namespace agaterun::proxy {

BOOST_AUTO_TEST_SUITE(ReplyMemoryTest)

using decision::Outcome;
using decision::Reason;

// Failure: responses of other nodes were held for slow callers without a bound.
// One that finds no memory must not look like a success, nor as if the request
// had not run.
BOOST_AUTO_TEST_CASE(ResponseWithoutMemoryIsOfUnknownOutcome) {
  constexpr std::size_t kResponseBytes = 1024 * 1024;
  const auto memory = std::make_shared<admission::ResponseMemory>(
      admission::ResponseMemory::Options{.max_bytes = 4 * kResponseBytes});
  std::vector<decision::Answer> held;
  for (int number = 0; number < 6; ++number) {
    decision::VisitReply reply{.outcome = Outcome::kCompleted};
    decision::Answer response = std::make_shared<const HttpResponse>(
        HttpResponse{.status = 200, .body = std::string(kResponseBytes, 'x')});
    ReserveReplyMemory(memory, reply, response);
    const bool fits = number < 3;
    BOOST_TEST((response != nullptr) == fits);
    BOOST_TEST(
        (reply.outcome == (fits ? Outcome::kCompleted : Outcome::kUnknown)));
    BOOST_TEST(
        (reply.reason == (fits ? Reason::kNone : Reason::kLimitReached)));
    held.push_back(std::move(response));
  }
  held.clear();
  BOOST_TEST(memory->Count().used_bytes == 0U);
}

BOOST_AUTO_TEST_CASE(ReplyWithoutResponseNeedsNoMemory) {
  const auto memory = std::make_shared<admission::ResponseMemory>(
      admission::ResponseMemory::Options{.max_bytes = 0});
  decision::VisitReply reply{.outcome = Outcome::kNotRun,
                             .reason = Reason::kBackendRejected};
  decision::Answer response;
  ReserveReplyMemory(memory, reply, response);
  BOOST_TEST((reply.outcome == Outcome::kNotRun));
  BOOST_TEST((reply.reason == Reason::kBackendRejected));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace agaterun::proxy
