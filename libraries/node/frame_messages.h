#ifndef LIBRARIES_NODE_FRAME_MESSAGES_H_
#define LIBRARIES_NODE_FRAME_MESSAGES_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "libraries/base/error.h"
#include "libraries/base/http_message.h"
#include "libraries/base/node_address.h"
#include "libraries/decision/events.h"
#include "libraries/node/frame.h"

// The payloads of the frame kinds.
namespace agaterun::node {

// Identifies the node that opened the connection. `incarnation` changes with
// each restart of its process.
struct Greeting {
  NodeAddress from;
  std::uint64_t incarnation = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->from, this->incarnation);
  }
};

struct VisitMessage {
  decision::VisitRequest visit;
  HttpRequest request;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->visit, this->request);
  }
};

struct ReplyMessage {
  decision::VisitReply reply;
  std::shared_ptr<HttpResponse> response;

  template <class Archive>
  void load(Archive& archive) {
    bool has_response = false;
    archive(this->reply, has_response);
    if (has_response) {
      this->response = std::make_shared<HttpResponse>();
      archive(*this->response);
    }
  }
};

// Each returns a frame with its payload; OutgoingFrame::Seal() fills in the
// header.
OutgoingFrame EncodeGreeting(const Greeting& greeting);
OutgoingFrame EncodeVisit(const decision::VisitRequest& visit,
                          const HttpRequest& request);
OutgoingFrame EncodeCancel(const decision::AttemptId& attempt);
OutgoingFrame EncodeReply(const decision::VisitReply& reply,
                          const decision::Answer& response);
OutgoingFrame EncodeHeartbeat(const decision::Heartbeat& heartbeat);
OutgoingFrame EncodeTicketItems(
    const std::vector<decision::TicketItemText>& items);
OutgoingFrame EncodeTicketItemsWanted(
    const std::vector<decision::TicketItemVersion>& known_versions);

// The frame has no payload.
OutgoingFrame EncodeClosing();

// Each decodes a complete payload. Fails with ErrorKind::kMalformedFrame when
// the payload is truncated, has trailing bytes, or contains a value out of
// range.
Result<Greeting> DecodeGreeting(std::string_view payload);
Result<VisitMessage> DecodeVisit(std::string_view payload);
Result<decision::AttemptId> DecodeCancel(std::string_view payload);
Result<ReplyMessage> DecodeReply(std::string_view payload);
Result<decision::Heartbeat> DecodeHeartbeat(std::string_view payload);
Result<std::vector<decision::TicketItemText>> DecodeTicketItems(
    std::string_view payload);
Result<std::vector<decision::TicketItemVersion>> DecodeTicketItemsWanted(
    std::string_view payload);

}  // namespace agaterun::node

#endif  // LIBRARIES_NODE_FRAME_MESSAGES_H_
