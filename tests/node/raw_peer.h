#ifndef TESTS_NODE_RAW_PEER_H_
#define TESTS_NODE_RAW_PEER_H_

#include <cstdint>
#include <string>

#include "libraries/base/node_address.h"
#include "libraries/decision/messages.h"
#include "libraries/node/frame.h"

namespace agaterun::node {

// A blocking TCP connection on which a test sends arbitrary bytes.
class RawPeer {
 public:
  // Connects to `to` from the IP of `from`; the port of `from` is not used.
  RawPeer(NodeAddress from, NodeAddress to);
  // Takes ownership of an accepted connection.
  explicit RawPeer(int descriptor) : descriptor(descriptor) {}
  ~RawPeer();
  RawPeer(const RawPeer&) = delete;
  RawPeer& operator=(const RawPeer&) = delete;

  bool IsConnected() const { return this->is_connected; }
  void Send(const std::string& bytes);
  // Returns the next complete frame; empty when the connection was closed.
  std::string ReceiveFrame();
  // Reads until the peer closes the connection; false after kHangGuard.
  bool WaitForPeerClose();
  void Close();

 private:
  bool ReceiveExactly(std::string& bytes, std::size_t size);

  int descriptor = -1;
  bool is_connected = true;
};

// Listens like a gate; the test accepts connections and sends the replies.
class RawGate {
 public:
  explicit RawGate(int backlog = 16);
  ~RawGate();
  RawGate(const RawGate&) = delete;
  RawGate& operator=(const RawGate&) = delete;

  NodeAddress Address() const { return this->address; }
  // Returns the file descriptor for a RawPeer.
  int Accept();

 private:
  NodeAddress address;
  int descriptor = -1;
};

// Returns the bytes of `frame` with a valid header.
std::string SealedBytes(OutgoingFrame frame);

// Returns a frame with any payload and with valid length and checksum.
std::string MakeFrame(FrameKind kind, const std::string& payload);

// Returns `frame` with its checksum computed again.
std::string WithChecksum(std::string frame);

// Returns the frame of a greeting from the node at `from`.
std::string GreetingBytes(NodeAddress from, std::uint64_t incarnation);

}  // namespace agaterun::node

#endif  // TESTS_NODE_RAW_PEER_H_
