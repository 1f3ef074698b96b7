#include "libraries/base/node_address.h"

#include <arpa/inet.h>

#include <charconv>

namespace agaterun {

Result<NodeAddress> NodeAddress::Parse(std::string_view text) {
  const auto fail = [&] {
    return MakeError(ErrorKind::kInvalidArgument,
                     "'" + std::string(text) +
                         "' is no address; write it as IP:PORT, for instance "
                         "127.0.0.1:7400");
  };
  const auto colon = text.find(':');
  if (colon == std::string_view::npos) {
    return fail();
  }
  in_addr parsed{};
  const std::string ip_text(text.substr(0, colon));
  if (inet_pton(AF_INET, ip_text.c_str(), &parsed) != 1) {
    return fail();
  }
  const auto port_text = text.substr(colon + 1);
  NodeAddress address;
  const auto [end, error] = std::from_chars(
      port_text.data(), port_text.data() + port_text.size(), address.port);
  if (error != std::errc() || end != port_text.data() + port_text.size() ||
      address.port == 0) {
    return fail();
  }
  address.ip = ntohl(parsed.s_addr);
  return address;
}

std::string NodeAddress::IpToString() const {
  in_addr raw{htonl(this->ip)};
  char text[INET_ADDRSTRLEN] = {};
  inet_ntop(AF_INET, &raw, text, sizeof(text));
  return text;
}

std::string NodeAddress::ToString() const {
  return this->IpToString() + ":" + std::to_string(this->port);
}

}  // namespace agaterun
