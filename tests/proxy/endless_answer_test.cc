#include <array>
#include <asio/buffer.hpp>
#include <asio/write.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>
#include <string>

#include "libraries/proxy/endpoint_pool.h"
#include "tests/fakes/run_until.h"
#include "tests/proxy/recording_observer.h"

// Responses that never end, many at once, beside sound ones.
namespace agaterun::proxy {

namespace {

using asio::ip::tcp;
using calls::ExchangeResult;

constexpr std::size_t kMegabyte = 1024 * 1024;
constexpr std::size_t kMaxBytes = 24 * kMegabyte;
constexpr std::size_t kPieceBytes = 64 * 1024;
constexpr calls::VisitNumber kEndless = 16;

struct EndlessCase {
  std::string name;
  std::string start;  // Sent once.
  std::string piece;  // Sent until the connection ends.
};

std::ostream& operator<<(std::ostream& out, const EndlessCase& row) {
  return out << row.name;
}

std::string Piece() {
  return std::string(kPieceBytes, 'x');
}

const EndlessCase endless_cases[] = {
    {"bytes without a head", "", Piece()},
    {"a line of a head", "HTTP/1.1 200 OK\r\nX: ", Piece()},
    {"lines of a head", "HTTP/1.1 200 OK\r\n", "X: y\r\n"},
    {"a body without a length", "HTTP/1.1 200 OK\r\nId: ID\r\n\r\n", Piece()},
    {"an error's body without a length",
     "HTTP/1.1 500 Failed\r\nId: ID\r\n\r\n", Piece()},
    {"a body of HTTP/1.0", "HTTP/1.0 200 OK\r\nId: ID\r\n\r\n", Piece()},
    {"chunks",
     "HTTP/1.1 200 OK\r\nId: ID\r\nTransfer-Encoding: chunked\r\n\r\n",
     "10000\r\n" + Piece() + "\r\n"},
    {"chunks of one byte",
     "HTTP/1.1 200 OK\r\nId: ID\r\nTransfer-Encoding: chunked\r\n\r\n",
     "1\r\nx\r\n"},
    {"one chunk",
     "HTTP/1.1 200 OK\r\nId: ID\r\nTransfer-Encoding: chunked\r\n\r\n"
     "7fffffffffffffff\r\n",
     Piece()},
    {"the size of a chunk",
     "HTTP/1.1 200 OK\r\nId: ID\r\nTransfer-Encoding: chunked\r\n\r\n",
     std::string(kPieceBytes, '0')},
    {"a chunk extension",
     "HTTP/1.1 200 OK\r\nId: ID\r\nTransfer-Encoding: chunked\r\n\r\n1;",
     Piece()},
    {"trailers",
     "HTTP/1.1 200 OK\r\nId: ID\r\nTransfer-Encoding: chunked\r\n\r\n"
     "1\r\nx\r\n0\r\n",
     "X: y\r\n"},
    {"a body with a length beyond all limits",
     "HTTP/1.1 200 OK\r\nId: ID\r\nContent-Length: 9000000000000000000\r\n\r\n",
     Piece()},
};

// Answers each request by a script of its own for its path, `/endless` or a
// number of bytes, in the form that the test sets.
class Server {
 public:
  Server(asio::io_context& io, EndlessCase endless)
      : acceptor(io, tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
        endless(std::move(endless)) {
    this->Accept();
  }

  NodeAddress Address() const {
    return {.ip = asio::ip::address_v4::loopback().to_uint(),
            .port = this->acceptor.local_endpoint().port()};
  }

  std::string sound_form = "length";

 private:
  struct Session {
    explicit Session(tcp::socket socket) : socket(std::move(socket)) {}
    tcp::socket socket;
    std::array<char, 4096> input{};
    std::string received;
    std::string output;
  };

  void Accept() {
    this->acceptor.async_accept(
        [this](const std::error_code& error, tcp::socket socket) {
          if (!error) {
            this->Read(std::make_shared<Session>(std::move(socket)));
            this->Accept();
          }
        });
  }

  void Read(const std::shared_ptr<Session>& session) {
    session->socket.async_read_some(
        asio::buffer(session->input),
        [this, session](const std::error_code& error, std::size_t count) {
          session->received.append(session->input.data(), count);
          if (session->received.ends_with("\r\n\r\n")) {
            this->Respond(session);
          } else if (!error) {
            this->Read(session);
          }
        });
  }

  void Respond(const std::shared_ptr<Session>& session) {
    const auto& head = std::exchange(session->received, {});
    const auto path = head.substr(5, head.find(' ', 5) - 5);
    const auto id_start = head.find("Id: ") + 4;
    const auto id =
        head.substr(id_start, head.find("\r\n", id_start) - id_start);
    if (path == "endless") {
      session->output = this->endless.start;
      if (const auto place = session->output.find("ID");
          place != session->output.npos) {
        session->output.replace(place, 2, id);
      }
      this->Flood(session);
      return;
    }
    session->output = this->Sound(id, std::stoul(path));
    asio::async_write(
        session->socket, asio::buffer(session->output),
        [this, session](const std::error_code& error, std::size_t) {
          if (!error && this->sound_form != "end") {
            this->Read(session);
          }
        });
  }

  std::string Sound(const std::string& id, std::size_t bytes) const {
    const auto head = "HTTP/1.1 200 OK\r\nId: " + id + "\r\n";
    const std::string body(bytes, 'b');
    if (this->sound_form == "length") {
      return head + "Content-Length: " + std::to_string(bytes) + "\r\n\r\n" +
             body;
    }
    if (this->sound_form == "end") {
      return head + "\r\n" + body;
    }
    std::string chunks;
    for (std::size_t start = 0; start < bytes; start += 65536) {
      chunks += "10000\r\n" + body.substr(start, 65536) + "\r\n";
    }
    return head + "Transfer-Encoding: chunked\r\n\r\n" + chunks + "0\r\n\r\n";
  }

  void Flood(const std::shared_ptr<Session>& session) {
    while (session->output.size() < kPieceBytes) {
      session->output += this->endless.piece;
    }
    asio::async_write(
        session->socket, asio::buffer(session->output),
        [this, session](const std::error_code& error, std::size_t) {
          session->output.clear();
          if (!error) {
            this->Flood(session);
          }
        });
  }

  tcp::acceptor acceptor;
  EndlessCase endless;
};

struct Fixture {
  explicit Fixture(EndlessCase endless = {}, std::size_t max_bytes = kMaxBytes)
      : server(io, std::move(endless)),
        memory(std::make_shared<admission::ResponseMemory>(
            admission::ResponseMemory::Options{.max_bytes = max_bytes})),
        pool(io,
             {.backend_server = server.Address(),
              .request_id_header = "Id",
              .response_memory = memory},
             observer) {}

  void Start(calls::VisitNumber visit, const std::string& path) {
    const auto id = std::to_string(visit);
    this->pool.Start({.visit = visit,
                      .bytes = "GET /" + path +
                               " HTTP/1.1\r\nHost: a\r\nId: " + id + "\r\n\r\n",
                      .request_id = id,
                      .idempotent = true});
  }

  // Runs until the visit has ended; the memory holds its bound all the while.
  const RecordingObserver::Ended& Wait(calls::VisitNumber visit) {
    BOOST_TEST_REQUIRE(fakes::RunUntil(this->io, [&] {
      BOOST_TEST_REQUIRE(this->memory->Count().used_bytes <=
                         this->memory->Count().max_bytes);
      return this->observer.ended.contains(visit);
    }));
    return this->observer.ended.at(visit);
  }

  void ExpectWhole(calls::VisitNumber visit, std::size_t bytes) {
    const auto& ended = this->Wait(visit);
    BOOST_TEST_REQUIRE((ended.end == ExchangeResult::kResponded));
    BOOST_TEST((ended.answer->body == std::string(bytes, 'b')));
    this->observer.ended.at(visit).answer = nullptr;
  }

  asio::io_context io{1};
  Server server;
  std::shared_ptr<admission::ResponseMemory> memory;
  RecordingObserver observer;
  EndpointPool pool;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(EndlessAnswerTest)

// Failure: each response without end was held up to a limit of its own, so many
// at once took processes over the memory of their machine, and the requests of
// all other callers ended with them.
BOOST_DATA_TEST_CASE(ManyAtOnceAreGivenUpAndOthersGoOn,
                     boost::unit_test::data::make(endless_cases),
                     row) {
  Fixture fixture(row);
  for (calls::VisitNumber visit = 1; visit <= kEndless; ++visit) {
    fixture.Start(visit, "endless");
  }
  calls::VisitNumber next = kEndless + 1;
  for (const std::size_t bytes : {1000, 200'000, 2'000'000, 300'000, 10}) {
    for (const std::string form : {"length", "chunked", "end"}) {
      const auto whole_bytes =
          form == "chunked" ? bytes / 65536 * 65536 : bytes;
      fixture.server.sound_form = form;
      fixture.Start(next, std::to_string(whole_bytes));
      fixture.ExpectWhole(next, whole_bytes);
      ++next;
    }
  }
  for (calls::VisitNumber visit = 1; visit <= kEndless; ++visit) {
    const auto& ended = fixture.Wait(visit);
    BOOST_TEST((ended.end == ExchangeResult::kGivenUp ||
                ended.end == ExchangeResult::kBroken));
    BOOST_TEST(!ended.answer);
  }
  BOOST_TEST(fixture.memory->Count().used_bytes == 0U);
  BOOST_TEST(fixture.observer.reachable);
}

// The opposite: long sound responses arrive whole, whether their end is marked
// by a length, by the last chunk or by the connection's end.
BOOST_AUTO_TEST_CASE(LongSoundResponsesArriveWhole) {
  Fixture fixture({}, admission::ResponseMemory::Options{}.max_bytes);
  calls::VisitNumber next = 1;
  for (const std::string form : {"length", "chunked", "end"}) {
    fixture.server.sound_form = form;
    for (const std::size_t megabytes : {1, 16, 60}) {
      const auto bytes = megabytes * kMegabyte;
      fixture.Start(next, std::to_string(bytes));
      fixture.ExpectWhole(next, bytes);
      ++next;
    }
  }
  BOOST_TEST(fixture.memory->Count().given_up == 0U);
}

// A response that finds no memory is no success, nor is the part of it that
// came; the memory that others hold is theirs until they are written.
BOOST_AUTO_TEST_CASE(ResponseWithoutMemoryIsGivenUp) {
  for (const std::string form : {"length", "chunked", "end"}) {
    Fixture fixture;
    fixture.server.sound_form = form;
    fixture.Start(1, std::to_string(16 * kMegabyte));
    BOOST_TEST_REQUIRE((fixture.Wait(1).end == ExchangeResult::kResponded));
    fixture.Start(2, std::to_string(16 * kMegabyte));
    BOOST_TEST((fixture.Wait(2).end == ExchangeResult::kGivenUp));
    BOOST_TEST(!fixture.Wait(2).answer);
    fixture.Start(3, std::to_string(kPieceBytes));
    fixture.ExpectWhole(3, kPieceBytes);
    fixture.observer.ended.at(1).answer = nullptr;
    fixture.Start(4, std::to_string(16 * kMegabyte));
    fixture.ExpectWhole(4, 16 * kMegabyte);
  }
}

// A request may be aborted between the loss of its memory and the report of it.
BOOST_AUTO_TEST_CASE(AbortedExchangeIsNotReportedAsGivenUp) {
  Fixture fixture(endless_cases[3]);
  for (calls::VisitNumber visit = 1; visit <= 2; ++visit) {
    fixture.Start(visit, "endless");
  }
  BOOST_TEST_REQUIRE(fakes::RunUntil(
      fixture.io, [&] { return fixture.memory->Count().given_up > 0; }));
  BOOST_TEST(fixture.observer.ended.empty());
  fixture.pool.Abort(1);
  fixture.pool.Abort(2);
  fixture.Start(3, "1000");
  fixture.ExpectWhole(3, 1000);
  BOOST_TEST(fixture.observer.ended.size() == 1U);
  BOOST_TEST(fixture.memory->Count().used_bytes == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace agaterun::proxy
