#include <array>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <atomic>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <limits>
#include <ostream>
#include <string>
#include <thread>

#include "libraries/platform/platform_reader.h"
#include "tests/platform/recording_observer.h"

// Responses of the platform's service that are not HTTP/1.1, or never end.
namespace agaterun::platform {

namespace {

using asio::ip::tcp;

// More than a reader needs to see that a response is invalid or too long, with
// what the socket's buffers take.
constexpr std::size_t kEnoughBytes = 64 * 1024 * 1024;

struct HostileCase {
  std::string name;
  std::string start;  // Sent once.
  std::string piece;  // Sent until the connection ends.
  // A reader that takes this much reads on without need.
  std::size_t enough_bytes = kEnoughBytes;
};

std::ostream& operator<<(std::ostream& out, const HostileCase& row) {
  return out << row.name;
}

std::string Piece() {
  return std::string(64 * 1024, 'x');
}

const HostileCase hostile_cases[] = {
    {"bytes without a head", "", Piece()},
    {"a line of a head", "HTTP/1.1 200 OK\r\nX: ", Piece()},
    {"lines of a head", "HTTP/1.1 200 OK\r\n", "X: y\r\n"},
    {"a body without a length", "HTTP/1.1 200 OK\r\n\r\n", Piece()},
    {"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
     "10000\r\n" + Piece() + "\r\n"},
    {"one chunk",
     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n7fffffff\r\n",
     Piece()},
    {"the size of a chunk",
     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
     std::string(64 * 1024, '0')},
    {"trailers",
     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n{\r\n0\r\n",
     "X: y\r\n"},
    // Valid and not kept in memory, so they are read until the call times out.
    {"interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n",
     std::numeric_limits<std::size_t>::max()},
};

// Answers each connection with the bytes of a case, on a thread of its own.
class HostilePlatform {
 public:
  explicit HostilePlatform(const HostileCase& row)
      : row(row), acceptor(io, {asio::ip::address_v4::loopback(), 0}) {
    this->thread = std::thread([this] { this->Serve(); });
  }

  ~HostilePlatform() {
    this->is_stopping = true;
    // Ends the wait for a connection.
    std::error_code ignored;
    tcp::socket(this->io).connect(this->acceptor.local_endpoint(), ignored);
    this->thread.join();
  }

  NodeAddress Address() const {
    return {.ip = asio::ip::address_v4::loopback().to_uint(),
            .port = this->acceptor.local_endpoint().port()};
  }

  // Whether the reader took more than it needs from one connection.
  bool HasSentEnough() const { return this->has_sent_enough; }

 private:
  void Serve() {
    while (!this->is_stopping) {
      tcp::socket socket(this->io);
      std::error_code error;
      this->acceptor.accept(socket, error);
      if (error || this->is_stopping) {
        return;
      }
      std::array<char, 4096> request{};
      socket.read_some(asio::buffer(request), error);
      asio::write(socket, asio::buffer(this->row.start), error);
      this->Flood(socket);
    }
  }

  void Flood(tcp::socket& socket) {
    std::string block;
    while (block.size() < Piece().size()) {
      block += this->row.piece;
    }
    std::error_code error;
    std::size_t sent = 0;
    while (!error && sent < this->row.enough_bytes) {
      sent += asio::write(socket, asio::buffer(block), error);
    }
    this->has_sent_enough = this->has_sent_enough || !error;
  }

  HostileCase row;
  asio::io_context io;
  tcp::acceptor acceptor;
  std::atomic<bool> is_stopping = false;
  std::atomic<bool> has_sent_enough = false;
  std::thread thread;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(HostilePlatformTest)

// Failure: a response without end was read until the service closed.
BOOST_DATA_TEST_CASE(ResponseWithoutEndIsNotReadOn,
                     boost::unit_test::data::make(hostile_cases),
                     row) {
  HostilePlatform hostile(row);
  RecordingObserver observer;
  PlatformReader reader({.platform = hostile.Address(), .read_timeout = 1s},
                        observer);
  reader.Read(3, false);
  const auto end = observer.WaitForEnd(1);
  BOOST_TEST(!end.reached);
  BOOST_TEST(end.last_number == 3U);
  BOOST_TEST(!hostile.HasSentEnough());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace agaterun::platform
