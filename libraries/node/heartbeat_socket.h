#ifndef LIBRARIES_NODE_HEARTBEAT_SOCKET_H_
#define LIBRARIES_NODE_HEARTBEAT_SOCKET_H_

#include <array>
#include <asio/io_context.hpp>
#include <asio/ip/udp.hpp>
#include <asio/strand.hpp>
#include <cstdint>
#include <memory>
#include <string_view>

#include "libraries/base/error.h"
#include "libraries/base/node_address.h"
#include "libraries/decision/events.h"

namespace agaterun::node {

// Hears heartbeats whose sender is the address that they name. Called on the
// strand of the socket.
class HeartbeatSocketOwner {
 public:
  virtual ~HeartbeatSocketOwner() = default;
  virtual void OnHeartbeatReceived(decision::Heartbeat heartbeat) = 0;
  virtual void OnDatagramRejected(const std::string& sender,
                                  const std::string& reason) = 0;
  virtual void CountDatagramSent(NodeAddress to, std::size_t bytes) = 0;
  virtual void CountDatagramReceived(std::size_t bytes) = 0;
};

// Heartbeats over UDP, one to a datagram.
class HeartbeatSocket : public std::enable_shared_from_this<HeartbeatSocket> {
 public:
  // Fits one Ethernet frame, so that none is lost by a lost fragment.
  static constexpr std::size_t kDatagramBytes = 1400;

  explicit HeartbeatSocket(asio::io_context& io);

  // Fails with ErrorKind::kConnectionFailed when the address is taken.
  Result<void> Open(NodeAddress self);

  // Starts to receive.
  void Start(std::weak_ptr<HeartbeatSocketOwner> owner);

  // Safe from any thread. Convicted fingerprints that do not fit are left out
  // from the end.
  void Send(NodeAddress to, decision::Heartbeat heartbeat);

  // Safe from any thread.
  void RequestClose();

 private:
  void Receive();
  void OnReceived(std::size_t bytes);
  Result<decision::Heartbeat> Read(std::string_view datagram) const;

  asio::strand<asio::io_context::executor_type> strand;
  asio::ip::udp::socket socket;
  asio::ip::udp::endpoint sender;
  // One byte more than allowed shows that a datagram was too long.
  std::array<char, kDatagramBytes + 1> buffer{};
  std::weak_ptr<HeartbeatSocketOwner> owner;
};

}  // namespace agaterun::node

#endif  // LIBRARIES_NODE_HEARTBEAT_SOCKET_H_
