#ifndef LIBRARIES_PLATFORM_SERVICE_CONNECTION_H_
#define LIBRARIES_PLATFORM_SERVICE_CONNECTION_H_

#include <array>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>

#include "libraries/base/error.h"
#include "libraries/base/http_message.h"
#include "libraries/base/node_address.h"
#include "libraries/base/time.h"
#include "libraries/http/response_parser.h"

namespace agaterun::platform {

// A connection to a service of the platform that carries one request at a time.
// It is kept open between requests and reopened after any failure.
class ServiceConnection
    : public std::enable_shared_from_this<ServiceConnection> {
 public:
  using Callback = std::function<void(Result<HttpResponse>)>;

  struct Options {
    NodeAddress service;
    std::size_t max_response_bytes = 8 * 1024 * 1024;  // Of the body.
    http::ResponseParser::WithoutLength without_length =
        http::ResponseParser::WithoutLength::kRefused;
  };

  static std::shared_ptr<ServiceConnection> Create(asio::io_context& io,
                                                   Options options);

  // Sends a GET request. Calls `done` once, never from within this function:
  // with the response, or with ErrorKind::kConnectionFailed, kTimedOut,
  // kMalformedMessage or kLimitReached. Only one request may be pending at a
  // time.
  void Get(const std::string& target, Duration timeout, Callback done);

  // Cancels the pending request, if any, without calling its callback.
  void Cancel();

 private:
  ServiceConnection(asio::io_context& io, Options options);

  http::ResponseParser MakeParser() const;
  // Ends the request with the response if it is complete.
  bool FinishIfDone(bool is_reusable);

  void Connect();
  void Write();
  void Read();
  void OnBytes(const std::error_code& error, std::size_t count);
  void Fail(ErrorKind kind, const std::string& message);
  void Finish(Result<HttpResponse> result);
  void Close();

  const Options options;
  asio::ip::tcp::socket socket;
  asio::steady_timer timer;
  http::ResponseParser parser;
  std::string request;
  std::array<char, 16 * 1024> read_buffer{};
  Callback done;
  bool is_connected = false;
  bool is_reused =
      false;  // The pending request was sent on an open connection.
  // Changes with each request; handlers of earlier requests compare it and
  // stop.
  std::uint64_t generation = 0;
};

}  // namespace agaterun::platform

#endif  // LIBRARIES_PLATFORM_SERVICE_CONNECTION_H_
