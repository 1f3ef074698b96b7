#include <array>
#include <asio/buffer.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include "libraries/proxy/endpoint_pool.h"
#include "tests/fakes/run_until.h"
#include "tests/proxy/recording_observer.h"

// Responses that a backend server sends before it has read the whole request.
namespace agaterun::proxy {

BOOST_AUTO_TEST_SUITE(EarlyAnswerTest)

using asio::ip::tcp;
using calls::ExchangeResult;

// More than the send and receive buffers of a connection take.
constexpr std::size_t kLongBodyBytes = 32 * 1024 * 1024;
// Less than that, and more than one read of the backend server.
constexpr std::size_t kShortBodyBytes = 16 * 1024;

// Of a pool that has nothing to handle.
constexpr Duration kQuietTime = 20ms;

const std::string head_without_length = "HTTP/1.1 200 OK\r\nId: 1\r\n\r\n";
const std::string part = "part of the body";

// A backend server whose socket the test reads, writes and closes itself, so
// that it decides what the pool's connection sees first.
struct Fixture {
  Fixture()
      : acceptor(io, tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
        accepted(io),
        pool(io,
             {.backend_server = {.ip =
                                     asio::ip::address_v4::loopback().to_uint(),
                                 .port = acceptor.local_endpoint().port()},
              .request_id_header = "Id"},
             observer) {
    // Accepted sockets inherit it.
    acceptor.set_option(asio::socket_base::receive_buffer_size(64 * 1024));
  }

  // Sends a request and returns once its first bytes have arrived. The pool has
  // handled no event after that.
  void Upload(std::size_t body_bytes) {
    this->pool.Start({.visit = 1,
                      .bytes = "POST / HTTP/1.1\r\nHost: a\r\nId: 1\r\n"
                               "Content-Length: " +
                               std::to_string(body_bytes) + "\r\n\r\n" +
                               std::string(body_bytes, 'u'),
                      .request_id = "1"});
    this->acceptor.accept(this->accepted);
    while (this->accepted.available() == 0) {
      this->io.restart();
      this->io.run_one_for(kQuietTime);
    }
  }

  // Lets the pool write until the connection takes no more.
  void FillConnection() {
    std::size_t before = 0;
    do {
      before = this->accepted.available();
      this->HandleEvents();
    } while (this->accepted.available() > before);
  }

  // Lets the pool handle all that has arrived.
  void HandleEvents() {
    do {
      this->io.restart();
    } while (this->io.run_one_for(kQuietTime) > 0);
  }

  void Write(const std::string& bytes) {
    asio::write(this->accepted, asio::buffer(bytes));
  }

  void Reset() {
    this->accepted.set_option(asio::socket_base::linger(true, 0));
    this->accepted.close();
  }

  void Finish() { this->accepted.shutdown(tcp::socket::shutdown_send); }

  // Reads the request to its end.
  void ReadRequest() {
    this->is_reading = true;
    this->accepted.async_read_some(
        asio::buffer(this->input),
        [this](const std::error_code& error, std::size_t) {
          if (!error && this->is_reading) {
            this->ReadRequest();
          }
        });
  }

  const RecordingObserver::Ended& Result() {
    BOOST_TEST_REQUIRE(fakes::RunUntil(
        this->io, [&] { return this->observer.ended.contains(1); }));
    this->is_reading = false;
    return this->observer.ended.at(1);
  }

  void ExpectBroken() {
    const auto& ended = this->Result();
    BOOST_TEST((ended.end == ExchangeResult::kBroken));
    BOOST_TEST(!ended.answer);
  }

  void ExpectPartIsWhole() {
    const auto& ended = this->Result();
    BOOST_TEST_REQUIRE((ended.end == ExchangeResult::kResponded));
    BOOST_TEST(ended.answer->body == part);
  }

  asio::io_context io{1};
  tcp::acceptor acceptor;
  tcp::socket accepted;
  std::array<char, 65536> input{};
  bool is_reading = false;
  RecordingObserver observer;
  EndpointPool pool;
};

// Failure: the connection was reset while the request was being written. The
// write took the socket's error, so the read that followed found an end like
// that of a whole response, and callers got the part as a success.
BOOST_FIXTURE_TEST_CASE(ResetSeenByTheWriteIsNoEndOfResponse, Fixture) {
  this->Upload(kLongBodyBytes);
  this->FillConnection();
  this->Write(head_without_length + part);
  this->Reset();
  this->ExpectBroken();
}

// The same, with the part read before the reset.
BOOST_FIXTURE_TEST_CASE(ResetBehindAReadPartIsNoEndOfResponse, Fixture) {
  this->Upload(kLongBodyBytes);
  this->FillConnection();
  this->Write(head_without_length + part);
  this->HandleEvents();
  this->Reset();
  this->ExpectBroken();
}

// The same, before the pool has seen that the connection takes no more.
BOOST_FIXTURE_TEST_CASE(ResetDuringTheFirstWriteIsNoEndOfResponse, Fixture) {
  this->Upload(kLongBodyBytes);
  this->Write(head_without_length + part);
  this->Reset();
  this->ExpectBroken();
}

// The other order: nothing is left to write, so the read finds the reset.
BOOST_FIXTURE_TEST_CASE(ResetSeenByTheReadIsNoEndOfResponse, Fixture) {
  this->Upload(kShortBodyBytes);
  this->FillConnection();
  this->Write(head_without_length + part);
  this->Reset();
  this->ExpectBroken();
}

// A reset without any response.
BOOST_FIXTURE_TEST_CASE(ResetInTheHeadIsNoResponse, Fixture) {
  this->Upload(kLongBodyBytes);
  this->FillConnection();
  this->Write(head_without_length.substr(0, head_without_length.size() - 2));
  this->Reset();
  this->ExpectBroken();
}

// The opposite: a response that the connection's end completes is whole, though
// the request is still being written.
BOOST_FIXTURE_TEST_CASE(OrderlyEndCompletesEarlyResponse, Fixture) {
  this->Upload(kLongBodyBytes);
  this->FillConnection();
  this->Write(head_without_length + part);
  this->Finish();
  this->ExpectPartIsWhole();
}

BOOST_FIXTURE_TEST_CASE(OrderlyEndCompletesResponseWhileRequestIsRead,
                        Fixture) {
  this->Upload(kLongBodyBytes);
  this->Write(head_without_length + part);
  this->Finish();
  this->ReadRequest();
  this->ExpectPartIsWhole();
}

// The connection ended in order first. The reset that answers the rest of the
// request comes behind the end of the response.
BOOST_FIXTURE_TEST_CASE(ResetBehindTheOrderlyEndTakesNothingBack, Fixture) {
  this->Upload(kLongBodyBytes);
  this->FillConnection();
  this->Write(head_without_length + part);
  this->Finish();
  this->Reset();
  this->ExpectPartIsWhole();
}

// A response with a length is whole at its last byte, whatever follows.
BOOST_FIXTURE_TEST_CASE(ResetBehindALengthTakesNothingBack, Fixture) {
  this->Upload(kLongBodyBytes);
  this->FillConnection();
  this->Write("HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: " +
              std::to_string(part.size()) + "\r\n\r\n" + part);
  this->Reset();
  this->ExpectPartIsWhole();
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace agaterun::proxy
