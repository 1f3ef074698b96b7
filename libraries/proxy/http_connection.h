#ifndef LIBRARIES_PROXY_HTTP_CONNECTION_H_
#define LIBRARIES_PROXY_HTTP_CONNECTION_H_

#include <asio/ip/tcp.hpp>
#include <deque>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "libraries/base/http_message.h"
#include "libraries/base/time.h"
#include "libraries/decision/messages.h"
#include "libraries/decision/request_types.h"
#include "libraries/http/request_parser.h"
#include "libraries/proxy/http_listener.h"

namespace agaterun::proxy {

// A connection accepted from a caller.
class HttpConnection : public std::enable_shared_from_this<HttpConnection> {
 public:
  // `listener` outlives the connection, or calls Detach before its destruction.
  HttpConnection(HttpListener& listener, asio::ip::tcp::socket socket);

  void Start();
  // Assigns the call id of the request that was parsed last.
  void AssignCall(decision::CallId call);
  void Respond(decision::CallId call, decision::Answer response);
  void CloseWhenIdle();
  // Closes the connection if its deadline has passed; if a request has been
  // received in part, responds with 408 (Request Timeout) instead.
  void CheckDeadline(Instant now);
  // Closes the connection without notifying the listener.
  void Detach();
  // True if no request is being received or in flight, and no output is
  // pending.
  bool IsIdle() const;
  // Time at which the connection times out unless there is activity before.
  Instant Deadline() const { return this->deadline; }

 private:
  struct Pending {
    decision::CallId call = 0;
    bool keep_alive = true;
    bool is_head = false;
    decision::Answer response;  // nullptr until it is ready.
  };

  // A response on its way to the caller. Its body is not copied.
  struct Output {
    std::string head;
    decision::Answer body;  // nullptr if no body follows.
  };

  void WaitForInput();
  void OnReadable(const std::error_code& error);
  void Parse(std::string_view bytes);
  // Passes the parsed request to the listener.
  void SubmitRequest();
  void Reject(const Error& error);
  void RejectWith(int status, const std::string& message);
  void RejectWith(HttpResponse response);
  // Appends the responses that are ready to the output, in order of requests.
  void Flush();
  void Write();
  void OnWritten(const std::error_code& error);
  // Shuts down the sending side and waits for the caller to close the
  // connection.
  void Linger();
  void Close();
  void SetDeadline(Duration from_now);

  HttpListener* listener;
  asio::ip::tcp::socket socket;
  http::RequestParser parser;
  bool has_configured_limits = false;  // The parser, for this request.
  // Unparsed input, kept while the limit of pipelined requests is reached.
  std::string read_ahead;
  std::deque<Pending> pending;
  std::vector<Output> output;   // Queued for the next write.
  std::vector<Output> writing;  // Buffers of the write in progress.
  NodeAddress caller;
  Instant deadline{};
  bool waiting_for_input = false;
  bool parsing = false;
  bool reading_stopped = false;  // Further input is discarded.
  bool closes_after_output = false;
  bool continue_sent = false;
  bool lingering = false;
  bool closed = false;
};

}  // namespace agaterun::proxy

#endif  // LIBRARIES_PROXY_HTTP_CONNECTION_H_
