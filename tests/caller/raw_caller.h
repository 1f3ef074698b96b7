#ifndef TESTS_CALLER_RAW_CALLER_H_
#define TESTS_CALLER_RAW_CALLER_H_

#include <optional>
#include <string>
#include <string_view>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include "libraries/base/http_message.h"
#include "libraries/base/node_address.h"
#include "libraries/http/response_parser.h"

namespace agaterun::caller {

// A caller that sends raw bytes. Blocking, with a receive timeout of 10 s on
// the socket as a guard against tests that hang.
class RawCaller {
 public:
  explicit RawCaller(NodeAddress server);

  void Send(std::string_view bytes);

  // Reads the next response. Returns nothing if the connection ends first or
  // the response is malformed.
  std::optional<HttpResponse> Read();

  // True if the connection ended and no more bytes were received.
  bool ReadsEnd();

  // True if the last response allows further requests on the connection.
  bool KeptAlive() const { return this->keep_alive; }

  void EndSending();
  // Closes the connection with a RST.
  void Reset();

 private:
  bool ReadMore();

  asio::io_context io;
  asio::ip::tcp::socket socket;
  http::ResponseParser parser;
  std::string unread;
  bool keep_alive = true;
};

}  // namespace agaterun::caller

#endif  // TESTS_CALLER_RAW_CALLER_H_
