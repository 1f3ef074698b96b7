#ifndef LIBRARIES_CALLER_CALLER_CONNECTION_H_
#define LIBRARIES_CALLER_CALLER_CONNECTION_H_

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/strand.hpp>
#include <atomic>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "libraries/base/error.h"
#include "libraries/base/http_message.h"
#include "libraries/base/time.h"
#include "libraries/decision/request_types.h"
#include "libraries/http/request_parser.h"

namespace agaterun::caller {

class CallerListener;

// One connection of a caller. Runs on its own strand with at most one request
// in flight; pipelined requests wait in a bounded buffer.
class CallerConnection : public std::enable_shared_from_this<CallerConnection> {
 public:
  using Strand = asio::strand<asio::io_context::executor_type>;
  using Socket = asio::basic_stream_socket<asio::ip::tcp, Strand>;

  // `counted` is false for a connection above the limit, which is only
  // refused.
  CallerConnection(std::shared_ptr<CallerListener> listener,
                   Socket socket,
                   bool counted);

  // The public functions below are safe from any thread.

  void Start();
  // Sends `response` without reading a request, and closes.
  void Refuse(HttpResponse response);
  void Answer(HttpResponse response);
  // Closes the connection: now if it is idle, otherwise after the response.
  void Stop();
  void Close();
  // Ends the connection if its deadline has passed.
  void CheckDeadline(Instant now);
  bool IsCounted() const { return this->counted; }

 private:
  void WaitForInput();
  void OnReadable();
  void OnBytes(std::string_view bytes);
  void OnInputEnded();
  void Parse(std::string_view bytes);
  void SendContinue();
  void Reject(int status, decision::Reason reason, const std::string& message);
  void Write(const HttpResponse& response, bool keep);
  void OnWritten(bool keep);
  // Shuts down the sending side and reads until the caller shuts down its own.
  // Closing a socket with unread data sends RST, and the caller may then
  // discard the response.
  void Linger();
  void Expire();
  void CloseNow();
  void SetDeadline(Duration from_now);
  bool IsIdle() const;

  std::shared_ptr<CallerListener> listener;
  Socket socket;
  const bool counted;
  http::RequestParser parser;
  std::string read_ahead;  // Received after the request in flight.
  std::string output;      // Being written; empty at other times.
  std::optional<decision::CallId> call;  // Waits for its response.
  bool waiting_for_input = false;
  bool writing = false;
  bool continue_sent = false;
  bool keep_alive = false;   // Of the request in flight.
  bool head_method = false;  // Of the request in flight.
  bool input_ended = false;
  bool lingering = false;
  bool closed = false;
  // Time in nanoseconds at which CheckDeadline ends the connection; 0 for no
  // deadline.
  std::atomic<Instant::rep> deadline = 0;
};

}  // namespace agaterun::caller

#endif  // LIBRARIES_CALLER_CALLER_CONNECTION_H_
