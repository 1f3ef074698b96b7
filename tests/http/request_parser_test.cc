#include "libraries/http/request_parser.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>
#include <string>
#include <vector>

namespace agaterun::http {

namespace {

constexpr MessageLimits kLimits = {.header_bytes = 200, .body_bytes = 20};

struct RefusedCase {
  std::string name;
  std::string bytes;
  std::string message;  // Part of it.
  ErrorKind kind = ErrorKind::kMalformedMessage;
};

std::ostream& operator<<(std::ostream& out, const RefusedCase& row) {
  return out << row.name;
}

std::string Post(const std::string& headers, const std::string& body = "") {
  return "POST /a HTTP/1.1\r\nHost: h\r\n" + headers + "\r\n" + body;
}

std::vector<RefusedCase> RefusedCases() {
  const std::string chunks = "5\r\nhello\r\n0\r\n\r\n";
  return {
      {"length and chunks",
       Post("Content-Length: 5\r\nTransfer-Encoding: chunked\r\n", chunks), ""},
      {"chunks and length",
       Post("Transfer-Encoding: chunked\r\nContent-Length: 5\r\n", chunks), ""},
      {"two lengths", Post("Content-Length: 5\r\nContent-Length: 6\r\n"), ""},
      {"two equal lengths",
       Post("Content-Length: 5\r\nContent-Length: 5\r\n", "hello"),
       "told twice"},
      {"list of lengths", Post("Content-Length: 5, 5\r\n", "hello"),
       "decimal digits"},
      {"signed length", Post("Content-Length: +5\r\n", "hello"), ""},
      {"negative length", Post("Content-Length: -1\r\n"), ""},
      {"hexadecimal length", Post("Content-Length: 0x5\r\n", "hello"), ""},
      {"length beyond 64 bits",
       Post("Content-Length: 99999999999999999999\r\n"), ""},
      {"empty length", Post("Content-Length: \r\n"), ""},
      {"chunked not last", Post("Transfer-Encoding: chunked, gzip\r\n", chunks),
       "'chunked' alone"},
      {"coding before chunked",
       Post("Transfer-Encoding: gzip, chunked\r\n", chunks), "'chunked' alone"},
      {"two encodings",
       Post("Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n",
            chunks),
       "Transfer-Encoding"},
      {"unknown encoding", Post("Transfer-Encoding: xchunked\r\n", chunks),
       "'chunked' alone"},
      {"space before the colon", Post("Content-Length : 5\r\n", "hello"), ""},
      {"folded header", Post("X-Long: a\r\n b\r\n"), "folded"},
      {"folded with a tab", Post("X-Long: a\r\n\tb\r\n"), "folded"},
      {"bare LF", "GET / HTTP/1.1\nHost: h\n\n", "CRLF"},
      {"bare LF in a header", Post("X-Cut: a\nX-More: b\r\n"), "CRLF"},
      {"bare CR", Post("X-Cut: a\rb\r\n"), "CRLF"},
      {"NUL", Post(std::string("X-Cut: a\0b\r\n", 12)), "NUL"},
      {"no host", "GET / HTTP/1.1\r\n\r\n", "Host"},
      {"two hosts", "GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", "Host"},
      {"no path", "GET a HTTP/1.1\r\nHost: h\r\n\r\n", "no path"},
      {"asterisk", "OPTIONS * HTTP/1.1\r\nHost: h\r\n\r\n", "no path"},
      {"authority", "CONNECT h:1 HTTP/1.1\r\nHost: h\r\n\r\n", "no path"},
      {"version 2", "PRI * HTTP/2.0\r\n\r\n", ""},
      {"no version", "GET /\r\n\r\n", ""},
      {"two empty lines", "\r\n\r\nGET / HTTP/1.1\r\n", "empty line"},
      {"chunks in 1.0",
       "POST /a HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n", "HTTP/1.1"},
      {"broken chunk length",
       Post("Transfer-Encoding: chunked\r\n", "zz\r\nhello\r\n0\r\n\r\n"), ""},
      {"chunk longer than told",
       Post("Transfer-Encoding: chunked\r\n", "2\r\nhello\r\n0\r\n\r\n"), ""},
      {"long headers", Post("X-Long: " + std::string(300, 'a') + "\r\n"),
       "shorter", ErrorKind::kLimitReached},
      {"long target", "GET /" + std::string(300, 'a'), "shorter",
       ErrorKind::kLimitReached},
      {"long body", Post("Content-Length: 21\r\n"), "smaller",
       ErrorKind::kLimitReached},
      {"long body in chunks",
       Post("Transfer-Encoding: chunked\r\n",
            "f\r\n123456789012345\r\nf\r\n123456789012345\r\n0\r\n\r\n"),
       "smaller", ErrorKind::kLimitReached},
      {"long chunk extension",
       Post("Transfer-Encoding: chunked\r\n", "1;" + std::string(400, 'a')), "",
       ErrorKind::kLimitReached},
  };
}

// Feeds pieces of `size` bytes until a request is done or refused.
Result<std::size_t> FeedPieces(RequestParser& parser,
                               std::string_view bytes,
                               std::size_t size) {
  std::size_t used = 0;
  while (used < bytes.size() && !parser.IsDone()) {
    const auto taken = parser.Feed(bytes.substr(used, size));
    if (!taken) {
      return taken;
    }
    BOOST_REQUIRE_GT(*taken, 0);
    used += *taken;
  }
  return used;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(RequestParserTest)

BOOST_DATA_TEST_CASE(RefusesAmbiguousMessages,
                     boost::unit_test::data::make(RefusedCases()),
                     row) {
  for (const std::size_t size :
       {std::size_t{1}, std::size_t{7}, row.bytes.size()}) {
    RequestParser parser(kLimits);
    const auto fed = FeedPieces(parser, row.bytes, size);
    BOOST_REQUIRE(!fed);
    BOOST_TEST((fed.error().kind == row.kind));
    BOOST_TEST(fed.error().message.find(row.message) != std::string::npos,
               fed.error().message);
  }
}

BOOST_AUTO_TEST_CASE(ReadsPipelinedRequestsInAnyPieces) {
  const std::string bytes =
      Post("Content-Length: 5\r\n", "hello") +
      Post("Transfer-Encoding: chunked\r\n",
           "3;x=y\r\nwor\r\n2\r\nld\r\n0\r\nX-Trailer: a\r\n\r\n") +
      "\r\nGET /b?c=d HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
  for (std::size_t size = 1; size <= bytes.size(); ++size) {
    RequestParser parser(kLimits);
    std::string_view rest = bytes;
    std::vector<HttpRequest> requests;
    bool keep_alive = false;
    while (!rest.empty()) {
      const auto used = FeedPieces(parser, rest, size);
      BOOST_REQUIRE(used);
      rest.remove_prefix(*used);
      BOOST_REQUIRE(parser.IsDone());
      requests.push_back(parser.Take(keep_alive));
      BOOST_TEST(keep_alive == (requests.size() < 3));
      BOOST_TEST(!parser.HasStarted());
    }
    BOOST_REQUIRE_EQUAL(requests.size(), 3);
    BOOST_TEST(requests[0].body == "hello");
    BOOST_TEST(requests[1].body == "world");
    BOOST_TEST(FindHeader(requests[1].headers, "X-Trailer") == nullptr);
    BOOST_TEST(requests[2].target == "/b?c=d");
    BOOST_TEST(requests[2].method == "GET");
  }
}

BOOST_AUTO_TEST_CASE(RemovesHopByHopHeaders) {
  RequestParser parser({});
  const std::string bytes = Post(
      "Connection: X-Own , keep-alive\r\nConnection: X-Second\r\nx-own: 1\r\n"
      "X-Second: 2\r\nKeep-Alive: 5\r\nProxy-Connection: close\r\nTE: gzip\r\n"
      "Trailer: X\r\nUpgrade: h2c\r\nExpect: 100-continue\r\nX-Kept: 3\r\n"
      "Content-Length: 0\r\n");
  BOOST_REQUIRE(parser.Feed(bytes));
  BOOST_REQUIRE(parser.IsDone());
  bool keep_alive = false;
  const HttpRequest request = parser.Take(keep_alive);
  BOOST_REQUIRE_EQUAL(request.headers.size(), 2);
  BOOST_TEST(request.headers[0].name == "Host");
  BOOST_TEST(request.headers[1].name == "X-Kept");
}

BOOST_AUTO_TEST_CASE(TakesAbsoluteForm) {
  RequestParser parser({});
  BOOST_REQUIRE(parser.Feed("GET http://h:80/a/b HTTP/1.1\r\nHost: h\r\n\r\n"));
  bool keep_alive = false;
  BOOST_TEST(parser.Take(keep_alive).target == "/a/b");
}

BOOST_AUTO_TEST_CASE(TellsThatTheBodyIsAwaited) {
  RequestParser parser({});
  const std::string head =
      Post("Expect: 100-continue\r\nContent-Length: 2\r\n");
  BOOST_REQUIRE(parser.Feed(head));
  BOOST_TEST(parser.ExpectsContinue());
  BOOST_TEST(!parser.IsDone());
  BOOST_REQUIRE(parser.Feed("ab"));
  BOOST_TEST(parser.IsDone());
}

// Found by parser_fuzz_test with seed 20261204 and a million inputs: the parser
// below aborts when the last chunk is its first and comes byte by byte.
BOOST_AUTO_TEST_CASE(TakesAnEmptyChunkedBodyByteByByte) {
  const std::string bytes =
      "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
      "0\r\n\r\n";
  for (std::size_t piece = 1; piece < 6; ++piece) {
    RequestParser parser(MessageLimits{});
    for (std::size_t begin = 0; begin < bytes.size(); begin += piece) {
      BOOST_TEST(!parser.IsDone());
      BOOST_TEST(parser.Feed(bytes.substr(begin, piece)).has_value());
    }
    BOOST_TEST(parser.IsDone());
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace agaterun::http
