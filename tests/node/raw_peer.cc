#include "tests/node/raw_peer.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>
#include <xxhash.h>

#include <cstring>

#include "libraries/node/frame_messages.h"
#include "tests/node/test_nodes.h"

namespace agaterun::node {

namespace {

sockaddr_in ToSocketAddress(NodeAddress address) {
  sockaddr_in raw{};
  raw.sin_family = AF_INET;
  raw.sin_addr.s_addr = htonl(address.ip);
  raw.sin_port = htons(address.port);
  return raw;
}

// Blocking calls on the socket time out after kHangGuard.
int OpenSocket() {
  const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const timeval guard{
      .tv_sec =
          std::chrono::duration_cast<std::chrono::seconds>(kHangGuard).count()};
  ::setsockopt(descriptor, SOL_SOCKET, SO_RCVTIMEO, &guard, sizeof(guard));
  return descriptor;
}

}  // namespace

RawPeer::RawPeer(NodeAddress from, NodeAddress to) : descriptor(OpenSocket()) {
  const auto local = ToSocketAddress({.ip = from.ip});
  const auto remote = ToSocketAddress(to);
  (void)::bind(this->descriptor, reinterpret_cast<const sockaddr*>(&local),
               sizeof(local));
  this->is_connected =
      ::connect(this->descriptor, reinterpret_cast<const sockaddr*>(&remote),
                sizeof(remote)) == 0;
}

RawPeer::~RawPeer() {
  this->Close();
}

void RawPeer::Send(const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const auto count = ::send(this->descriptor, bytes.data() + sent,
                              bytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) {
      return;
    }
    sent += static_cast<std::size_t>(count);
  }
}

bool RawPeer::ReceiveExactly(std::string& bytes, std::size_t size) {
  bytes.resize(size);
  return size == 0 || ::recv(this->descriptor, bytes.data(), size,
                             MSG_WAITALL) == static_cast<ssize_t>(size);
}

std::string RawPeer::ReceiveFrame() {
  std::string header;
  if (!this->ReceiveExactly(header, FrameHeader::kBytes)) {
    return {};
  }
  const auto parsed = ParseFrameHeader(header, UINT32_MAX);
  std::string payload;
  if (!parsed || !this->ReceiveExactly(payload, parsed->payload_bytes)) {
    return {};
  }
  return header + payload;
}

bool RawPeer::WaitForPeerClose() {
  char bytes[4096];
  while (true) {
    const auto count = ::recv(this->descriptor, bytes, sizeof(bytes), 0);
    if (count <= 0) {
      return count == 0 || errno == ECONNRESET;
    }
  }
}

void RawPeer::Close() {
  if (this->descriptor >= 0) {
    ::close(this->descriptor);
    this->descriptor = -1;
  }
}

RawGate::RawGate(int backlog)
    : address(FreeAddress()), descriptor(OpenSocket()) {
  const auto local = ToSocketAddress(this->address);
  (void)::bind(this->descriptor, reinterpret_cast<const sockaddr*>(&local),
               sizeof(local));
  ::listen(this->descriptor, backlog);
}

RawGate::~RawGate() {
  ::close(this->descriptor);
}

int RawGate::Accept() {
  return ::accept4(this->descriptor, nullptr, nullptr, SOCK_CLOEXEC);
}

std::string SealedBytes(OutgoingFrame frame) {
  frame.Seal(Duration::zero(), 0);
  return frame.bytes;
}

std::string MakeFrame(FrameKind kind, const std::string& payload) {
  OutgoingFrame frame;
  frame.kind = kind;
  frame.bytes = std::string(FrameHeader::kBytes, '\0') + payload;
  return SealedBytes(std::move(frame));
}

std::string WithChecksum(std::string frame) {
  constexpr std::size_t kChecksumOffset = 24;
  const auto seed = XXH3_64bits(frame.data(), kChecksumOffset);
  const std::uint64_t checksum =
      XXH3_64bits_withSeed(frame.data() + FrameHeader::kBytes,
                           frame.size() - FrameHeader::kBytes, seed);
  std::memcpy(frame.data() + kChecksumOffset, &checksum, sizeof(checksum));
  return frame;
}

std::string GreetingBytes(NodeAddress from, std::uint64_t incarnation) {
  return SealedBytes(
      EncodeGreeting({.from = from, .incarnation = incarnation}));
}

}  // namespace agaterun::node
