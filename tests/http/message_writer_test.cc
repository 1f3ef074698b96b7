#include "libraries/http/message_writer.h"

#include <boost/test/unit_test.hpp>
#include <string>

#include "libraries/http/request_parser.h"

namespace agaterun::http {

BOOST_AUTO_TEST_SUITE(MessageWriterTest)

BOOST_AUTO_TEST_CASE(WritesRequestsThatReadBackEqual) {
  const HttpRequest request = {
      .method = "POST",
      .target = "/a?b=c",
      .headers = {{"Host", "old"}, {"X-One", "1"}, {"Content-Length", "9"}},
      .body = std::string("x\0y", 3)};
  RequestParser parser({});
  const std::string bytes = WriteRequest(request, "127.0.0.1:80");
  BOOST_REQUIRE(parser.Feed(bytes));
  BOOST_REQUIRE(parser.IsDone());
  bool keep_alive = false;
  const HttpRequest read = parser.Take(keep_alive);
  BOOST_TEST(keep_alive);
  BOOST_TEST(read.target == request.target);
  BOOST_TEST(read.body == request.body);
  BOOST_TEST(*FindHeader(read.headers, "Host") == "127.0.0.1:80");
  BOOST_TEST(*FindHeader(read.headers, "X-One") == "1");
}

BOOST_AUTO_TEST_CASE(LeavesOutHeadersThatWouldSplit) {
  const HttpRequest request = {
      .method = "GET",
      .target = "/",
      .headers = {{"X-Split", "a\r\nX-Forged: b"}, {"X-Good", "1"}}};
  const std::string bytes = WriteRequest(request, "h");
  BOOST_TEST(bytes == "GET / HTTP/1.1\r\nHost: h\r\nX-Good: 1\r\n\r\n");
}

BOOST_AUTO_TEST_CASE(WritesResponses) {
  const HttpResponse response = {
      .status = 503, .headers = {{"X-One", "1"}}, .body = "ab"};
  BOOST_TEST(WriteResponse(response, true) ==
             "HTTP/1.1 503 Service Unavailable\r\nX-One: 1\r\n"
             "Content-Length: 2\r\n\r\nab");
  BOOST_TEST(WriteResponse(response, false, true) ==
             "HTTP/1.1 503 Service Unavailable\r\nX-One: 1\r\n"
             "Connection: close\r\n\r\n");
  BOOST_TEST(WriteResponse({.status = 204}, true) ==
             "HTTP/1.1 204 No Content\r\n\r\n");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace agaterun::http
