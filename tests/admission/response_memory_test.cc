#include "libraries/admission/response_memory.h"

#include <boost/test/unit_test.hpp>
#include <deque>
#include <optional>
#include <string>

#include "libraries/base/random.h"

namespace agaterun::admission {

namespace {

constexpr std::size_t kMegabyte = 1024 * 1024;
constexpr std::size_t kMaxBytes = 96 * kMegabyte;
constexpr std::size_t kShortBytes = 64 * 1024;
constexpr std::size_t kReadBytes = 64 * 1024;

// A response that is being received.
struct Incoming {
  explicit Incoming(const std::shared_ptr<ResponseMemory>& memory,
                    std::optional<std::size_t> length = std::nullopt)
      : reservation(std::make_unique<ResponseMemory::Reservation>(memory)) {
    this->reservation->StartReceiving(length, [this] { this->GiveUp(); });
  }

  // Takes `count` bytes more.
  void Grow(std::size_t count) {
    if (this->given_up) {
      return;
    }
    if (this->reservation->Extend(this->bytes + count)) {
      this->bytes += count;
    } else {
      this->GiveUp();
    }
  }

  void GiveUp() {
    this->given_up = true;
    this->reservation.reset();
  }

  std::unique_ptr<ResponseMemory::Reservation> reservation;
  std::size_t bytes = 0;
  bool given_up = false;
};

struct Fixture {
  std::size_t Used() const { return this->memory->Count().used_bytes; }

  std::shared_ptr<ResponseMemory> memory = std::make_shared<ResponseMemory>(
      ResponseMemory::Options{.max_bytes = kMaxBytes});
};

}  // namespace

BOOST_AUTO_TEST_SUITE(ResponseMemoryTest)

BOOST_FIXTURE_TEST_CASE(MemoryIsReturnedWithTheLastPointerToAResponse,
                        Fixture) {
  auto reservation = std::make_unique<ResponseMemory::Reservation>(memory);
  BOOST_TEST(reservation->Extend(kMegabyte));
  auto answer = HoldResponse(
      std::make_shared<const HttpResponse>(HttpResponse{.body = "whole"}),
      std::move(reservation));
  auto copy = answer;
  answer.reset();
  BOOST_TEST(copy->body == "whole");
  BOOST_TEST(Used() == kMegabyte);
  copy.reset();
  BOOST_TEST(Used() == 0U);
}

// Failure: each of many responses without end was held up to a limit of its
// own, so together they took more than the machine has.
BOOST_FIXTURE_TEST_CASE(ManyResponsesWithoutEndStayWithinTheMemory, Fixture) {
  std::deque<Incoming> endless;
  for (int number = 0; number < 100; ++number) {
    endless.emplace_back(memory);
  }
  for (int round = 0; round < 2000; ++round) {
    for (auto& response : endless) {
      response.Grow(kReadBytes);
      BOOST_TEST_REQUIRE(Used() <= kMaxBytes);
    }
  }
}

// Requests of other callers go on meanwhile, whatever the size of their
// responses, as long as these are not the longest without a known end.
BOOST_FIXTURE_TEST_CASE(ResponsesWithoutEndGiveWayToOthers, Fixture) {
  std::deque<Incoming> endless;
  for (int number = 0; number < 16; ++number) {
    endless.emplace_back(memory);
  }
  Incoming chunked(memory);
  Incoming with_length(memory, 60 * kMegabyte);
  for (int round = 0; round < 1000; ++round) {
    for (auto& response : endless) {
      response.Grow(kReadBytes);
    }
    if (chunked.bytes < 4 * kMegabyte) {
      chunked.Grow(kReadBytes);
    }
    if (with_length.bytes < 60 * kMegabyte) {
      with_length.Grow(kReadBytes);
    }
    Incoming short_response(memory);
    short_response.Grow(kShortBytes);
    BOOST_TEST_REQUIRE(!short_response.given_up);
  }
  BOOST_TEST(!chunked.given_up);
  BOOST_TEST(!with_length.given_up);
  BOOST_TEST(memory->Count().given_up > 0U);
}

// A sound response gets all of the memory but the part for short ones.
BOOST_FIXTURE_TEST_CASE(LongResponseFitsWithOrWithoutLength, Fixture) {
  for (const auto length :
       {std::optional(64 * kMegabyte), std::optional<std::size_t>()}) {
    Incoming response(memory, length);
    for (std::size_t bytes = 0; bytes < 64 * kMegabyte; bytes += kReadBytes) {
      response.Grow(kReadBytes);
    }
    BOOST_TEST(!response.given_up);
  }
  BOOST_TEST(Used() == 0U);
}

// Responses that wait for slow callers are complete, so they are kept, and
// short ones still find room beside them.
BOOST_FIXTURE_TEST_CASE(CompleteResponsesAreKept, Fixture) {
  std::vector<decision::Answer> complete;
  while (true) {
    Incoming response(memory);
    response.Grow(8 * kMegabyte);
    if (response.given_up) {
      break;
    }
    complete.push_back(HoldResponse(std::make_shared<const HttpResponse>(),
                                    std::move(response.reservation)));
  }
  BOOST_TEST(complete.size() == 11U);
  Incoming short_response(memory);
  short_response.Grow(kShortBytes);
  BOOST_TEST(!short_response.given_up);
  short_response.GiveUp();
  complete.pop_back();
  Incoming next(memory);
  next.Grow(8 * kMegabyte);
  BOOST_TEST(!next.given_up);
}

// Responses of one length take no memory from each other: the one that finds
// none is given up, so the others end.
BOOST_FIXTURE_TEST_CASE(OverloadByLongResponsesLetsSomeEnd, Fixture) {
  std::deque<Incoming> responses;
  int ended = 0;
  for (int round = 0; round < 4000; ++round) {
    if (round % 20 == 0) {
      responses.emplace_back(memory, 16 * kMegabyte);
    }
    for (auto& response : responses) {
      response.Grow(kReadBytes);
      if (response.bytes == 16 * kMegabyte) {
        ++ended;
        response.GiveUp();
      }
    }
  }
  BOOST_TEST(ended > 50);
}

// Giving up short responses would fail many and gain little.
BOOST_FIXTURE_TEST_CASE(ShortResponsesKeepTheirMemory, Fixture) {
  std::deque<Incoming> short_responses;
  while (Used() < kMaxBytes) {
    short_responses.emplace_back(memory);
    short_responses.back().Grow(kShortBytes);
  }
  Incoming with_length(memory, kShortBytes);
  with_length.Grow(kShortBytes);
  BOOST_TEST(with_length.given_up);
  Incoming open_ended(memory);
  open_ended.Grow(kShortBytes);
  BOOST_TEST(open_ended.given_up);
  for (const auto& response : short_responses) {
    BOOST_TEST(!response.given_up);
  }
}

// Responses that state a great length and come slowly don't hold up others.
BOOST_FIXTURE_TEST_CASE(GreatLengthsGiveWayToMuchShorterResponses, Fixture) {
  std::deque<Incoming> long_responses;
  for (int number = 0; number < 16; ++number) {
    long_responses.emplace_back(memory, 60 * kMegabyte);
    long_responses.back().Grow(10 * kMegabyte);
  }
  for (const std::size_t bytes : {kShortBytes, 4 * kMegabyte, 15 * kMegabyte}) {
    Incoming response(memory, bytes);
    response.Grow(bytes);
    BOOST_TEST(!response.given_up);
    // One of another node has come whole.
    ResponseMemory::Reservation reply(memory);
    BOOST_TEST(reply.Extend(bytes));
  }
  const auto given_up = memory->Count().given_up;
  Incoming similar(memory, 60 * kMegabyte);
  similar.Grow(60 * kMegabyte);
  BOOST_TEST(similar.given_up);
  BOOST_TEST(memory->Count().given_up == given_up + 1);
}

BOOST_AUTO_TEST_CASE(AnySequenceStaysWithinTheMemoryAndReturnsAll) {
  constexpr std::uint64_t kSeeds = 50;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    SeededRandom random(seed);
    Fixture fixture;
    std::deque<Incoming> incoming;
    std::vector<decision::Answer> complete;
    for (int step = 0; step < 3000; ++step) {
      if (random.Below(10) == 0) {
        const auto length = 1 + random.Below(60) * kMegabyte;
        incoming.emplace_back(fixture.memory, random.Below(2) == 0
                                                  ? std::optional(length)
                                                  : std::nullopt);
      }
      if (!incoming.empty()) {
        auto& response = incoming[random.Below(incoming.size())];
        const auto action = random.Below(10);
        if (action == 0 && !response.given_up) {
          complete.push_back(
              HoldResponse(std::make_shared<const HttpResponse>(),
                           std::move(response.reservation)));
          response.given_up = true;
        } else if (action == 1) {
          response.GiveUp();
        } else {
          response.Grow(random.Below(4 * kMegabyte));
        }
      }
      if (!complete.empty() && random.Below(8) == 0) {
        complete.erase(complete.begin());
      }
      BOOST_TEST_REQUIRE(fixture.Used() <= kMaxBytes, "seed " << seed);
    }
    incoming.clear();
    complete.clear();
    BOOST_TEST(fixture.Used() == 0U, "seed " << seed);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace agaterun::admission
