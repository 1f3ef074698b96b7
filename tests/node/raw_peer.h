#ifndef TESTS_NODE_RAW_PEER_H_
#define TESTS_NODE_RAW_PEER_H_

#include <cstdint>
#include <string>

#include "libraries/base/node_address.h"
#include "libraries/decision/messages.h"
#include "libraries/node/frame.h"

namespace agaterun::node {

// A blocking TCP connection whose bytes a test chooses.
class RawPeer {
 public:
  // Connects from `from` (its IP alone) to `to`.
  RawPeer(NodeAddress from, NodeAddress to);
  // Takes over a connection that was accepted.
  explicit RawPeer(int descriptor) : descriptor(descriptor) {}
  ~RawPeer();
  RawPeer(const RawPeer&) = delete;
  RawPeer& operator=(const RawPeer&) = delete;

  bool IsConnected() const { return this->connected; }
  void Send(const std::string& bytes);
  // The next whole frame; empty when the connection ended.
  std::string ReceiveFrame();
  // Reads on until the other end closes; false when the hang guard ran out.
  bool IsClosedByOther();
  void Close();

 private:
  bool ReceiveExactly(std::string& bytes, std::size_t size);

  int descriptor = -1;
  bool connected = true;
};

// Listens like a gate, and leaves the rest to the test.
class RawGate {
 public:
  explicit RawGate(int backlog = 16);
  ~RawGate();
  RawGate(const RawGate&) = delete;
  RawGate& operator=(const RawGate&) = delete;

  NodeAddress Address() const { return this->address; }
  // Descriptor for a RawPeer.
  int Accept();

 private:
  NodeAddress address;
  int descriptor = -1;
};

// Bytes of a frame, complete and valid.
std::string Sealed(OutgoingFrame frame);

// A frame around any payload, with the right length and checksum.
std::string FrameAround(FrameKind kind, const std::string& payload);

// `frame` with the checksum that its changed bytes call for.
std::string WithChecksum(std::string frame);

// The greeting of a node at `from`.
std::string GreetingBytes(NodeAddress from, std::uint64_t incarnation);

}  // namespace agaterun::node

#endif  // TESTS_NODE_RAW_PEER_H_
