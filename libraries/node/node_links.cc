#include "libraries/node/node_links.h"

#include <utility>

#include "libraries/node/frame_messages.h"
#include "libraries/node/node_links_implementation.h"

namespace agaterun::node {

Result<std::unique_ptr<NodeLinks>> NodeLinks::Create(asio::io_context& io,
                                                     Options options,
                                                     NodeObserver& observer) {
  auto implementation = std::make_shared<Implementation>(io, options, observer);
  if (auto listening = implementation->Listen(); !listening) {
    return tl::unexpected(listening.error());
  }
  implementation->Start();
  return std::unique_ptr<NodeLinks>(new NodeLinks(std::move(implementation)));
}

NodeLinks::NodeLinks(std::shared_ptr<Implementation> implementation)
    : implementation(std::move(implementation)) {}

NodeLinks::~NodeLinks() {
  this->implementation->CloseWithoutNotifying();
}

void NodeLinks::SendVisit(NodeAddress to,
                          const decision::VisitRequest& visit,
                          const HttpRequest& request) {
  this->implementation->SendVisit(to, visit, request);
}

void NodeLinks::CancelVisit(NodeAddress to, decision::AttemptId attempt) {
  this->implementation->SendWithoutReply(to, EncodeCancel(attempt));
}

void NodeLinks::SendReply(NodeAddress to,
                          const decision::VisitReply& reply,
                          const decision::Answer& response) {
  this->implementation->SendReply(to, reply, response);
}

void NodeLinks::SendHeartbeat(NodeAddress to,
                              const decision::Heartbeat& heartbeat) {
  this->implementation->SendHeartbeat(to, heartbeat);
}

void NodeLinks::SendTicketItems(
    NodeAddress to,
    const std::vector<decision::TicketItemText>& items) {
  this->implementation->SendTicketItems(to, items);
}

void NodeLinks::RequestTicketItems(
    NodeAddress to,
    const std::vector<decision::TicketItemVersion>& known_versions) {
  this->implementation->SendWithoutReply(
      to, EncodeTicketItemsWanted(known_versions));
}

void NodeLinks::SetStateDigest(std::uint64_t digest) {
  this->implementation->SetStateDigest(digest);
}

void NodeLinks::SetAllowedPeers(std::function<bool(NodeAddress)> allowed) {
  this->implementation->SetAllowedPeers(std::move(allowed));
}

void NodeLinks::Close() {
  this->implementation->Close();
}

std::size_t NodeLinks::ConnectionCount() const {
  return this->implementation->ConnectionCount();
}

std::size_t NodeLinks::QueuedBytes() const {
  return this->implementation->QueuedBytes();
}

SentBytes::ByKind NodeLinks::Sent(
    const std::function<bool(NodeAddress)>& selected) const {
  return this->implementation->Sent().Sum(selected);
}

NodeLinksCounters NodeLinks::Counters() const {
  return this->implementation->Counters();
}

}  // namespace agaterun::node
