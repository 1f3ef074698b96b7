#include "libraries/http/response_parser.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>
#include <string>
#include <vector>

namespace agaterun::http {

namespace {

enum class Verdict { kWhole, kIncomplete, kRefused };

struct ResponseCase {
  std::string name;
  std::string bytes;
  Verdict verdict = Verdict::kWhole;
  std::string body;
  bool head = false;
};

std::ostream& operator<<(std::ostream& out, const ResponseCase& row) {
  return out << row.name;
}

const ResponseCase response_cases[] = {
    {"length", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab",
     Verdict::kWhole, "ab"},
    {"chunks",
     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
     "2\r\nab\r\n1\r\nc\r\n0\r\n\r\n",
     Verdict::kWhole, "abc"},
    {"no content", "HTTP/1.1 204 No Content\r\n\r\n"},
    {"not modified with a length",
     "HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n\r\n"},
    {"answer to HEAD for a long body",
     "HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n", Verdict::kWhole, "",
     true},
    {"answer to HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n",
     Verdict::kWhole, "", true},
    {"interim responses",
     "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"
     "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nz",
     Verdict::kWhole, "z"},
    {"no reason", "HTTP/1.1 200 \r\nContent-Length: 1\r\n\r\nz",
     Verdict::kWhole, "z"},
    {"cut body", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab",
     Verdict::kIncomplete},
    {"cut chunks",
     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n",
     Verdict::kIncomplete},
    {"cut last chunk",
     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n",
     Verdict::kIncomplete},
    {"cut head", "HTTP/1.1 200 OK\r\nContent-Le", Verdict::kIncomplete},
    {"only interim", "HTTP/1.1 100 Continue\r\n\r\n", Verdict::kIncomplete},
    {"end by close", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nab",
     Verdict::kRefused},
    {"end by close in 1.0", "HTTP/1.0 200 OK\r\n\r\nab", Verdict::kRefused},
    {"length and chunks",
     "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: "
     "chunked\r\n\r\n0\r\n\r\n",
     Verdict::kRefused},
    {"two lengths",
     "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\nab",
     Verdict::kRefused},
    {"switching protocols", "HTTP/1.1 101 Switching Protocols\r\n\r\n",
     Verdict::kRefused},
    {"status 099", "HTTP/1.1 099 Low\r\nContent-Length: 0\r\n\r\n",
     Verdict::kRefused},
    {"bare LF", "HTTP/1.1 200 OK\nContent-Length: 0\n\n", Verdict::kRefused},
    {"no HTTP", "SSH-2.0-Server\r\n\r\n", Verdict::kRefused},
    {"long body", "HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n",
     Verdict::kRefused},
};

Verdict ReadInPieces(ResponseParser& parser,
                     std::string_view bytes,
                     std::size_t size) {
  std::size_t used = 0;
  while (used < bytes.size() && !parser.IsDone()) {
    const auto taken = parser.Feed(bytes.substr(used, size));
    if (!taken) {
      return Verdict::kRefused;
    }
    used += *taken;
  }
  return parser.IsDone() ? Verdict::kWhole : Verdict::kIncomplete;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(ResponseParserTest)

BOOST_DATA_TEST_CASE(TellsWholeFromCutAndAmbiguous,
                     boost::unit_test::data::make(response_cases),
                     row) {
  for (std::size_t size = 1; size <= row.bytes.size(); ++size) {
    ResponseParser parser({.header_bytes = 200, .body_bytes = 20});
    if (row.head) {
      parser.ExpectNoBody();
    }
    BOOST_REQUIRE((ReadInPieces(parser, row.bytes, size) == row.verdict));
    if (row.verdict == Verdict::kWhole) {
      bool keep_alive = false;
      BOOST_TEST(parser.Take(keep_alive).body == row.body);
      BOOST_TEST(keep_alive);
      BOOST_TEST(!parser.HasStarted());
    }
  }
}

BOOST_AUTO_TEST_CASE(LeavesBytesBehindTheResponse) {
  ResponseParser parser({});
  const auto used =
      parser.Feed("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nzHTTP/1.1");
  BOOST_REQUIRE(used);
  BOOST_TEST(*used == 39);
  BOOST_TEST(parser.IsDone());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace agaterun::http
