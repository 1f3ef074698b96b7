// Spoiled messages, whole and in pieces: what one reader takes from bytes must
// not depend on how they arrive, nor change when it is written out again, or a
// message could be hidden in another one.
#include <boost/test/unit_test.hpp>
#include <optional>
#include <string>
#include <vector>

#include "libraries/http/message_writer.h"
#include "libraries/http/request_parser.h"
#include "libraries/http/response_parser.h"
#include "tests/fakes/corrupt.h"

namespace agaterun::http {

BOOST_AUTO_TEST_SUITE(ParserFuzzTest)

constexpr std::uint64_t kSeed = 20261204;
constexpr std::uint64_t kDefaultInputs = 5'000;
constexpr std::string_view kTokens = "\r\n :;,0123456789abcdefGETPOST/HTTP.";
constexpr MessageLimits kLimits{.header_bytes = 600, .body_bytes = 200};

constexpr std::string_view kRequests =
    "POST /a/b?c=d HTTP/1.1\r\nHost: desk.example\r\nX-Id: 7\r\n"
    "Content-Length: 5\r\n\r\nhello"
    "POST /e HTTP/1.1\r\nHost: desk.example\r\nTransfer-Encoding: chunked\r\n"
    "\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
    "GET /f HTTP/1.1\r\nHost: desk.example\r\n\r\n";

// More than a reader ever waits for: it decides on the bytes before.
constexpr std::string_view kFollowing = "\r\n\r\n\r";

constexpr std::string_view kResponses =
    "HTTP/1.1 200 OK\r\nX-Stamp: 7\r\nContent-Length: 5\r\n\r\nhello"
    "HTTP/1.1 500 Bad\r\nTransfer-Encoding: chunked\r\n\r\n"
    "3\r\nabc\r\n0\r\n\r\n"
    "HTTP/1.1 204 None\r\n\r\n";

// What a connection took from the bytes before it failed or they ended.
template <typename Message>
struct Taken {
  std::vector<Message> messages;
  bool failed = false;
};

template <typename Message, typename Parser>
Taken<Message> Read(std::string_view bytes, std::size_t piece) {
  Taken<Message> taken;
  Parser parser(kLimits);
  std::string waiting;
  for (std::size_t begin = 0; begin < bytes.size(); begin += piece) {
    waiting += bytes.substr(begin, piece);
    while (!waiting.empty()) {
      const auto used = parser.Feed(waiting);
      if (!used) {
        taken.failed = true;
        return taken;
      }
      waiting.erase(0, *used);
      if (parser.IsDone()) {
        bool keep_alive = false;
        taken.messages.push_back(parser.Take(keep_alive));
        if (!keep_alive) {
          return taken;
        }
      } else if (*used == 0) {
        break;
      }
    }
  }
  taken.failed = parser.HasStarted() && !parser.Feed(kFollowing);
  return taken;
}

template <typename Message>
bool AreSame(const Message& left, const Message& right) {
  if (left.body != right.body || left.headers.size() != right.headers.size()) {
    return false;
  }
  for (std::size_t index = 0; index < left.headers.size(); ++index) {
    if (left.headers[index].name != right.headers[index].name ||
        left.headers[index].value != right.headers[index].value) {
      return false;
    }
  }
  return true;
}

template <typename Message, typename Parser>
void ReadsTheSameInPieces(std::string_view valid) {
  SeededRandom random(kSeed);
  const auto inputs = fakes::FuzzInputs(kDefaultInputs);
  for (std::uint64_t input = 0; input < inputs; ++input) {
    const auto bytes = fakes::Corrupt(valid, kTokens, random);
    const auto whole = Read<Message, Parser>(bytes, bytes.size());
    const auto pieces = Read<Message, Parser>(bytes, 1 + random.Below(20));
    const auto where =
        "seed " + std::to_string(kSeed) + " input " + std::to_string(input);
    BOOST_REQUIRE_MESSAGE(whole.failed == pieces.failed, where);
    BOOST_REQUIRE_MESSAGE(whole.messages.size() == pieces.messages.size(),
                          where);
    for (std::size_t index = 0; index < whole.messages.size(); ++index) {
      BOOST_REQUIRE_MESSAGE(
          AreSame(whole.messages[index], pieces.messages[index]), where);
    }
  }
  BOOST_TEST((Read<Message, Parser>(valid, valid.size())).messages.size() ==
             3U);
}

BOOST_AUTO_TEST_CASE(SpoiledRequestsReadTheSameInPieces) {
  ReadsTheSameInPieces<HttpRequest, RequestParser>(kRequests);
}

BOOST_AUTO_TEST_CASE(SpoiledResponsesReadTheSameInPieces) {
  ReadsTheSameInPieces<HttpResponse, ResponseParser>(kResponses);
}

BOOST_AUTO_TEST_CASE(ARequestWrittenOutAgainIsOneRequest) {
  SeededRandom random(kSeed + 1);
  const auto inputs = fakes::FuzzInputs(kDefaultInputs);
  for (std::uint64_t input = 0; input < inputs; ++input) {
    const auto bytes = fakes::Corrupt(kRequests, kTokens, random);
    for (const auto& request :
         Read<HttpRequest, RequestParser>(bytes, bytes.size()).messages) {
      const auto again = WriteRequest(request, {});
      const auto taken =
          Read<HttpRequest, RequestParser>(again, again.size()).messages;
      const auto where =
          "seed " + std::to_string(kSeed) + " input " + std::to_string(input);
      BOOST_REQUIRE_MESSAGE(taken.size() == 1U, where);
      BOOST_REQUIRE_MESSAGE(taken[0].method == request.method &&
                                taken[0].target == request.target &&
                                taken[0].body == request.body,
                            where);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace agaterun::http
