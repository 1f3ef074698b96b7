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

// A caller that sends bytes as the test wants them. Blocking, with a guard
// against a test that hangs.
class RawCaller {
 public:
  explicit RawCaller(NodeAddress server);

  void Send(std::string_view bytes);

  // The next response, or nothing when the connection ends before it.
  std::optional<HttpResponse> Read();

  // True when the server has closed and nothing more came.
  bool ReadsEnd();

  // True when the last response leaves the connection open.
  bool KeptAlive() const { return this->keep_alive; }

  void EndSending();
  // Closes so that the server gets a reset.
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
