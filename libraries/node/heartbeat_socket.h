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

// Receives the heartbeats whose source address matches the sender that they
// name. Called on the strand of the socket.
class HeartbeatSocketOwner {
 public:
  virtual ~HeartbeatSocketOwner() = default;
  virtual void OnHeartbeatReceived(decision::Heartbeat heartbeat) = 0;
  virtual void OnDatagramRejected(const std::string& sender,
                                  const std::string& reason) = 0;
  virtual void CountDatagramSent(NodeAddress to, std::size_t bytes) = 0;
  virtual void CountDatagramReceived(std::size_t bytes) = 0;
};

// Sends and receives heartbeats over UDP, one per datagram.
class HeartbeatSocket : public std::enable_shared_from_this<HeartbeatSocket> {
 public:
  // Fits into one Ethernet frame, since the loss of one IP fragment would lose
  // the datagram.
  static constexpr std::size_t kDatagramBytes = 1400;

  explicit HeartbeatSocket(asio::io_context& io);

  // Fails with ErrorKind::kConnectionFailed when the address is in use.
  Result<void> Open(NodeAddress self);

  void Start(std::weak_ptr<HeartbeatSocketOwner> owner);

  // Safe from any thread. Entries that do not fit into the datagram are
  // dropped, quarantined fingerprints from the end.
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
  // One byte larger than the limit, to detect datagrams that are too long.
  std::array<char, kDatagramBytes + 1> buffer{};
  std::weak_ptr<HeartbeatSocketOwner> owner;
};

}  // namespace agaterun::node

#endif  // LIBRARIES_NODE_HEARTBEAT_SOCKET_H_
