#ifndef LIBRARIES_PROXY_ENDPOINT_CONNECTION_H_
#define LIBRARIES_PROXY_ENDPOINT_CONNECTION_H_

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "libraries/admission/response_memory.h"
#include "libraries/base/http_message.h"
#include "libraries/base/node_address.h"
#include "libraries/base/time.h"
#include "libraries/decision/messages.h"
#include "libraries/http/response_parser.h"

namespace agaterun::proxy {

class EndpointConnection;

// Receives the events of a connection to the backend server.
class EndpointConnectionOwner {
 public:
  virtual ~EndpointConnectionOwner() = default;
  virtual void OnConnectEnded(
      const std::shared_ptr<EndpointConnection>& connection,
      bool connected) = 0;
  // The request got its response. If `reusable`, the connection stays open for
  // another request; otherwise it is closed.
  virtual void OnResponse(const std::shared_ptr<EndpointConnection>& connection,
                          decision::Answer response,
                          bool reusable) = 0;
  // The response was given up because the memory for responses was short. The
  // connection is closed.
  virtual void OnGivenUp(
      const std::shared_ptr<EndpointConnection>& connection) = 0;
  // The connection failed before the response was complete.
  virtual void OnBroken(
      const std::shared_ptr<EndpointConnection>& connection) = 0;
  // The connection closed, or received unexpected data, while no request was in
  // flight.
  virtual void OnIdleEnded(
      const std::shared_ptr<EndpointConnection>& connection) = 0;
};

// A connection to the local backend server that carries one request at a time.
class EndpointConnection
    : public std::enable_shared_from_this<EndpointConnection> {
 public:
  EndpointConnection(asio::io_context& io,
                     EndpointConnectionOwner& owner,
                     std::string request_id_header,
                     std::shared_ptr<admission::ResponseMemory> memory);

  // Calls OnConnectEnded on completion, unless Close is called first.
  void Connect(NodeAddress address);

  // Calls OnResponse, OnGivenUp or OnBroken on completion, unless Close is
  // called first.
  // A response is accepted only if it echoes `request_id`, or if it is an error
  // response without an id and the first one on the connection.
  void Send(std::string bytes, std::string request_id, bool is_head);

  // Makes no further calls to the owner.
  void Close();

  // Time at which the connection last became idle.
  Instant IdleSince() const { return this->idle_since; }
  // Longest idle time after which the connection may still be used.
  Duration UsableIdleTime() const;

 private:
  enum class State { kConnecting, kIdle, kBusy, kGivenUp, kClosed };

  // Writes what the socket takes of the request, and waits to write the rest.
  void Write();
  void WaitForOutput();
  bool IsOpen() const {
    return this->state != State::kClosed && this->state != State::kGivenUp;
  }
  void Read();
  void OnReadable(const std::error_code& error);
  void OnBytes(std::string_view bytes);
  // Reserves memory for what the response holds. Returns false if the response
  // had to be given up.
  bool ReserveMemory();
  // Returns the memory of the response and closes the socket at once, and
  // notifies the owner asynchronously.
  void GiveUp();
  decision::Answer TakeResponse(bool& keep_alive);
  void HandleResponse(bool trailing_bytes);
  void OnEnd(bool orderly);
  bool MatchesRequest(const HttpResponse& response) const;

  asio::ip::tcp::socket socket;
  EndpointConnectionOwner& owner;
  std::string request_id_header;
  std::shared_ptr<admission::ResponseMemory> memory;
  // Of the response that is being received; nullptr before its body begins.
  std::unique_ptr<admission::ResponseMemory::Reservation> reservation;
  http::ResponseParser parser;
  std::string request;
  std::size_t request_written = 0;  // Bytes of it.
  std::string request_id;
  State state = State::kConnecting;
  bool reading = false;
  bool writing = false;
  bool failed_in_write = false;  // Other than behind the end of its input.
  bool has_received_response = false;
  bool received_mismatched_response = false;
  Instant idle_since{};
};

}  // namespace agaterun::proxy

#endif  // LIBRARIES_PROXY_ENDPOINT_CONNECTION_H_
