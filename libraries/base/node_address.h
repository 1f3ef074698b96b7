#ifndef LIBRARIES_BASE_NODE_ADDRESS_H_
#define LIBRARIES_BASE_NODE_ADDRESS_H_

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "libraries/base/error.h"

namespace agaterun {

// IPv4 address and port at which a process listens. For a node it is the port
// for other nodes and serves as the node's name: one endpoint, one address.
struct NodeAddress {
  std::uint32_t ip = 0;  // Host byte order.
  std::uint16_t port = 0;

  // clang-tidy 14 takes the comparison that the compiler writes for a 0.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const NodeAddress&) const = default;

  // Parses "127.0.0.1:7400". Fails with ErrorKind::kInvalidArgument.
  static Result<NodeAddress> Parse(std::string_view text);

  std::string ToString() const;
  std::string IpToString() const;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->ip, this->port);
  }
};

}  // namespace agaterun

template <>
struct std::hash<agaterun::NodeAddress> {
  std::size_t operator()(const agaterun::NodeAddress& address) const noexcept {
    constexpr std::uint64_t kOddMultiplier = 0x9e3779b97f4a7c15;
    const std::uint64_t joined =
        (std::uint64_t{address.ip} << 16) | address.port;
    return (joined * kOddMultiplier) >> 7;
  }
};

#endif  // LIBRARIES_BASE_NODE_ADDRESS_H_
