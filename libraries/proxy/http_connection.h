#ifndef LIBRARIES_PROXY_HTTP_CONNECTION_H_
#define LIBRARIES_PROXY_HTTP_CONNECTION_H_

#include <asio/ip/tcp.hpp>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "libraries/base/http_message.h"
#include "libraries/base/time.h"
#include "libraries/decision/request_types.h"
#include "libraries/http/request_parser.h"
#include "libraries/proxy/http_listener.h"

namespace agaterun::proxy {

// One connection of a caller.
class HttpConnection : public std::enable_shared_from_this<HttpConnection> {
 public:
  // `listener` outlives the connection, or calls Detach before it ends.
  HttpConnection(HttpListener& listener, asio::ip::tcp::socket socket);

  void Start();
  // A request of this connection became this call.
  void Expect(decision::CallId call);
  void Answer(decision::CallId call, const HttpResponse& response);
  void CloseWhenIdle();
  // Ends the connection if its time is over.
  void CheckDeadline(Instant now);
  // Closes without a word to the listener.
  void Detach();
  // Nothing is under way on it.
  bool IsIdle() const;
  // When it ends if nothing happens before.
  Instant Deadline() const { return this->deadline; }

 private:
  struct Pending {
    decision::CallId call = 0;
    bool keep_alive = true;
    bool is_head = false;
    std::optional<HttpResponse> response;
  };

  void WaitForInput();
  void OnReadable(const std::error_code& error);
  void Parse(std::string_view bytes);
  // Hands on the request that the parser holds.
  void TakeRequest();
  void Reject(const Error& error);
  void RejectWith(int status, const std::string& message);
  // Moves answers that are due into the output, in order.
  void Flush();
  void Write();
  void OnWritten(const std::error_code& error);
  // Ends the sending side and waits until the caller has ended its own.
  void Linger();
  void Close();
  void SetDeadline(Duration from_now);

  HttpListener* listener;
  asio::ip::tcp::socket socket;
  http::RequestParser parser;
  std::string read_ahead;  // Not parsed yet: too many requests in flight.
  std::deque<Pending> pending;
  std::string output;   // To be written next.
  std::string writing;  // Being written.
  NodeAddress caller;
  Instant deadline{};
  bool waiting_for_input = false;
  bool parsing = false;
  bool reading_stopped = false;  // No request after the last one is taken.
  bool closes_after_output = false;
  bool continue_sent = false;
  bool lingering = false;
  bool closed = false;
};

}  // namespace agaterun::proxy

#endif  // LIBRARIES_PROXY_HTTP_CONNECTION_H_
