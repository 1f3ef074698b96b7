#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>
#include <string>

#include "libraries/proxy/endpoint_pool.h"
#include "tests/fakes/raw_server.h"
#include "tests/fakes/run_until.h"
#include "tests/proxy/recording_observer.h"

// Responses of a faulty backend server that are not HTTP/1.1, and sound ones of
// an unusual form.
namespace agaterun::proxy {

using calls::ExchangeResult;
using fakes::RawServer;
using End = RawServer::ScriptedResponse::End;

struct AnswerCase {
  std::string name;
  std::string bytes;
  std::string body;
  End end = End::kKeepOpen;
};

std::ostream& operator<<(std::ostream& out, const AnswerCase& row) {
  return out << row.name;
}

// A response whose status line is `status_line`.
std::string WithStatusLine(const std::string& status_line) {
  return status_line + "\r\nId: 1\r\nContent-Length: 4\r\n\r\nbody";
}

// A response in whose head `line` stands between sound fields.
std::string WithLine(int status, const std::string& line) {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\nId: 1\r\n" + line +
         "\r\nContent-Length: 4\r\n\r\nbody";
}

// Failure on other systems: a response with status 000 reached the caller.
const std::string invalid_status_lines[] = {
    "HTTP/1.1 000 X",
    "HTTP/1.1 000",
    "HTTP/1.1 00 X",
    "HTTP/1.1 0 X",
    "HTTP/1.1 001 X",
    "HTTP/1.1 099 X",
    "HTTP/1.1 101 X",
    "HTTP/1.1 0200 X",
    "HTTP/1.1 2000 X",
    "HTTP/1.1 20 X",
    "HTTP/1.1 -20 X",
    "HTTP/1.1 +20 X",
    "HTTP/1.1 2x0 X",
    "HTTP/1.1 0x1 X",
    "HTTP/1.1  X",
    "HTTP/1.1",
    "HTTP/1.1 ",
    "HTTP/1.1 OK",
    "HTTP/1.1  200 X",
    "HTTP/1.1\t200 X",
    " HTTP/1.1 200 X",
    "HTTP/2.0 200 X",
    "HTTP/1.2 200 X",
    "HTTP/0.9 200 X",
    "HTTP/1 200 X",
    "HTTP/11 200 X",
    "http/1.1 200 X",
    "HTTPS/1.1 200 X",
    "ICY 200 X",
    "200 X",
    std::string("HTTP/1.1 2\0 0 X", 15),
    "HTTP/1.1 200 X\x01Y",
    "HTTP/1.1 200 X\x7fY",
};

// Failure on other systems: a response in whose head the name of a field held a
// blank or a control byte reached the caller with that line, or with a body
// that was not the backend server's.
const std::string invalid_lines[] = {
    "X Y: z",
    "X\tY: z",
    "X : z",
    "X\t: z",
    " X: z",
    "\tX: z",
    ": z",
    "X",
    "X y z",
    "X\x01Y: z",
    "X\x0bY: z",
    "X\x0cY: z",
    "X\x1fY: z",
    "X\x7fY: z",
    std::string("X\0Y: z", 6),
    "X\rY: z",
    "X\nY: z",
    "X: a\rb",
    "X: a\nb",
    std::string("X: a\0b", 6),
    "X: a\001b",
    "X: a\177b",
    "X: a\r\n b",
    "X: a\r\n\tb",
    "X\xc3\xa4: z",
    "X(: z",
    "X/Y: z",
    "X\"Y: z",
    "Content Length: 1",
    "Content-Length : 1",
    "Content-Length\x01: 1",
    "Content-Length: 1",
    "Content-Length: 4",
    "Transfer-Encoding : chunked",
    "Transfer-Encoding: chunked",
    "Transfer Encoding: chunked",
};

const AnswerCase invalid_bodies[] = {
    {"signed length", "HTTP/1.1 200 X\r\nId: 1\r\nContent-Length: +4\r\n\r\nx"},
    {"length in hex",
     "HTTP/1.1 200 X\r\nId: 1\r\nContent-Length: 0x4\r\n\r\nbody"},
    {"list of lengths",
     "HTTP/1.1 200 X\r\nId: 1\r\nContent-Length: 4, 4\r\n\r\nbody"},
    {"length beyond 64 bits",
     "HTTP/1.1 200 X\r\nId: 1\r\nContent-Length: 18446744073709551620\r\n\r\n"
     "body"},
    {"cut length", "HTTP/1.1 200 X\r\nId: 1\r\nContent-Length: 5\r\n\r\nbody",
     "", End::kClose},
    {"chunk without a size",
     "HTTP/1.1 200 X\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
     "\r\nbody\r\n0\r\n\r\n"},
    {"signed chunk size",
     "HTTP/1.1 200 X\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
     "+4\r\nbody\r\n0\r\n\r\n"},
    {"chunk size in 0x",
     "HTTP/1.1 200 X\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
     "0x4\r\nbody\r\n0\r\n\r\n"},
    {"chunk without its end",
     "HTTP/1.1 200 X\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
     "4\r\nbody0\r\n\r\n"},
    {"bare LF behind a chunk size",
     "HTTP/1.1 200 X\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
     "4\nbody\r\n0\r\n\r\n"},
    {"cut before the last chunk",
     "HTTP/1.1 200 X\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
     "4\r\nbody\r\n",
     "", End::kClose},
    {"cut in the last chunk",
     "HTTP/1.1 200 X\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
     "4\r\nbody\r\n0\r\n",
     "", End::kClose},
    {"chunked twice",
     "HTTP/1.1 200 X\r\nId: 1\r\nTransfer-Encoding: chunked, "
     "chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"},
};

// The opposite: refusing these would cost callers sound responses.
const AnswerCase sound_answers[] = {
    {"no reason", "HTTP/1.1 200 \r\nId: 1\r\nContent-Length: 4\r\n\r\nbody",
     "body"},
    {"tabs and high bytes in the reason",
     "HTTP/1.1 200 a\tb \xc3\xa4\r\nId: 1\r\nContent-Length: 4\r\n\r\nbody",
     "body"},
    {"all token characters in a name",
     "HTTP/1.1 200 X\r\nId: 1\r\n!#$%&'*+-.^_`|~aZ9: z\r\n"
     "Content-Length: 4\r\n\r\nbody",
     "body"},
    {"tabs and high bytes in a value",
     "HTTP/1.1 200 X\r\nId: 1\r\nX: a\tb \xc3\xa4\r\n"
     "Content-Length: 4\r\n\r\nbody",
     "body"},
    {"no blank before a value",
     "HTTP/1.1 200 X\r\nId:1\r\nContent-Length:4\r\n\r\nbody", "body"},
    {"blanks around a value",
     "HTTP/1.1 200 X\r\nId: \t 1 \t\r\nContent-Length: 4\r\n\r\nbody", "body"},
    {"empty value",
     "HTTP/1.1 200 X\r\nId: 1\r\nX:\r\nContent-Length: 4\r\n\r\nbody", "body"},
    {"unregistered status",
     "HTTP/1.1 299 X\r\nId: 1\r\nContent-Length: 4\r\n\r\nbody", "body"},
    {"interim responses",
     "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: "
     "a\r\n\r\nHTTP/1.1 200 X\r\nId: 1\r\nContent-Length: 4\r\n\r\nbody",
     "body"},
    {"chunk extensions and trailers",
     "HTTP/1.1 200 X\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
     "4;a=b\r\nbody\r\n0\r\nT: u\r\n\r\n",
     "body"},
    {"HTTP/1.0", "HTTP/1.0 200 X\r\nId: 1\r\nContent-Length: 4\r\n\r\nbody",
     "body"},
    {"the connection's end", "HTTP/1.1 200 X\r\nId: 1\r\n\r\nbody", "body",
     End::kClose},
};

struct Fixture {
  // Sends the pool this response to its next request.
  const RecordingObserver::Ended& Run(const std::string& bytes,
                                      End end = End::kKeepOpen) {
    this->server =
        std::make_unique<RawServer>(this->io, [bytes, end](const std::string&) {
          return RawServer::ScriptedResponse{bytes, end};
        });
    this->pool = std::make_unique<EndpointPool>(
        this->io,
        EndpointPool::Options{.backend_server = this->server->Address(),
                              .request_id_header = "Id"},
        this->observer);
    this->observer.ended.clear();
    this->pool->Start({.visit = 1,
                       .bytes = "GET / HTTP/1.1\r\nHost: a\r\nId: 1\r\n\r\n",
                       .request_id = "1",
                       .idempotent = true});
    BOOST_TEST_REQUIRE(fakes::RunUntil(
        this->io, [&] { return this->observer.ended.contains(1); }));
    return this->observer.ended.at(1);
  }

  void ExpectBroken(const std::string& bytes, End end = End::kKeepOpen) {
    const auto& ended = this->Run(bytes, end);
    BOOST_TEST((ended.end == ExchangeResult::kBroken));
    BOOST_TEST(!ended.answer);
  }

  asio::io_context io{1};
  RecordingObserver observer;
  std::unique_ptr<RawServer> server;
  std::unique_ptr<EndpointPool> pool;
};

BOOST_AUTO_TEST_SUITE(MalformedAnswerTest)

BOOST_DATA_TEST_CASE_F(Fixture,
                       ResponseWithInvalidStatusLineIsBroken,
                       boost::unit_test::data::make(invalid_status_lines),
                       status_line) {
  this->ExpectBroken(WithStatusLine(status_line), End::kClose);
}

BOOST_DATA_TEST_CASE_F(Fixture,
                       ResponseWithInvalidFieldIsBroken,
                       boost::unit_test::data::make(invalid_lines),
                       line) {
  for (const int status : {200, 404, 500, 503}) {
    this->ExpectBroken(WithLine(status, line), End::kClose);
  }
}

BOOST_DATA_TEST_CASE_F(Fixture,
                       ResponseWithInvalidBodyIsBroken,
                       boost::unit_test::data::make(invalid_bodies),
                       row) {
  this->ExpectBroken(row.bytes, row.end);
}

BOOST_DATA_TEST_CASE_F(Fixture,
                       UnusualSoundResponseIsPassedOn,
                       boost::unit_test::data::make(sound_answers),
                       row) {
  const auto& ended = this->Run(row.bytes, row.end);
  BOOST_TEST_REQUIRE((ended.end == ExchangeResult::kResponded));
  BOOST_TEST(ended.answer->body == row.body);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace agaterun::proxy
