#include "libraries/node/frame_messages.h"

#include <algorithm>
#include <exception>

#include "libraries/node/frame_archive.h"

namespace agaterun::node {

namespace {

// Maximum of durations in messages. Prevents overflow when they are added to an
// instant.
constexpr Duration kMaxDuration = 24h;
constexpr int kMaxAllowance = 1'000'000;
constexpr int kMinStatus = 100;
constexpr int kMaxStatus = 999;

bool IsDuration(Duration duration) {
  return duration >= Duration::zero() && duration <= kMaxDuration;
}

bool IsImportance(decision::Importance importance) {
  return NameOf(decision::kImportanceNames, importance) != "?";
}

bool IsValid(const decision::AdmissionThreshold& threshold) {
  return IsImportance(threshold.cutoff) &&
         threshold.keys <= decision::kAdmissionKeys;
}

bool IsAllowance(int allowance) {
  return allowance >= 0 && allowance <= kMaxAllowance;
}

// These functions check what the types do not enforce: the decision library
// indexes tables with these values and adds them to instants.
bool IsValid(const VisitMessage& message) {
  const auto& visit = message.visit;
  return visit.kind <= decision::VisitKind::kMoveBinding &&
         IsDuration(visit.remaining) && IsImportance(visit.importance) &&
         visit.account_priority < decision::kAccountPriorityCount &&
         visit.admission_key < decision::kAdmissionKeys &&
         IsAllowance(visit.allowance);
}

bool IsValid(const ReplyMessage& message) {
  const auto& reply = message.reply;
  const bool are_thresholds_valid = std::all_of(
      reply.thresholds.begin(), reply.thresholds.end(),
      [](const auto& threshold) { return IsValid(threshold.second); });
  const bool is_response_valid =
      message.response == nullptr || (message.response->status >= kMinStatus &&
                                      message.response->status <= kMaxStatus);
  return NameOf(decision::kOutcomeNames, reply.outcome) != "?" &&
         NameOf(decision::kReasonNames, reply.reason) != "?" &&
         IsDuration(reply.retry_after) &&
         IsAllowance(reply.unspent_allowance) && are_thresholds_valid &&
         is_response_valid;
}

bool IsValid(const decision::Heartbeat& heartbeat) {
  const bool are_quarantined_valid = std::all_of(
      heartbeat.quarantined.begin(), heartbeat.quarantined.end(),
      [](const auto& quarantined) { return IsDuration(quarantined.second); });
  const auto are_ages_valid = [](const auto& aggregates) {
    return std::all_of(
        aggregates.begin(), aggregates.end(),
        [](const auto& aggregate) { return IsDuration(aggregate.age); });
  };
  const bool are_aggregates_valid =
      are_ages_valid(heartbeat.demand_aggregates) &&
      are_ages_valid(heartbeat.account_aggregates);
  return are_quarantined_valid && are_aggregates_valid &&
         heartbeat.platform_age >= Duration::zero() &&
         heartbeat.reading <= decision::PlatformReading::kUpToDate;
}

template <class Message>
bool IsValid(const Message&) {
  return true;
}

template <class Message>
Result<Message> Decode(std::string_view payload) {
  Message message;
  try {
    FrameInputArchive archive(payload);
    archive(message);
    if (archive.BytesLeft() > 0) {
      return MakeError(ErrorKind::kMalformedFrame,
                       "the frame has bytes after the message; run the same "
                       "release on all hosts");
    }
  } catch (const std::exception& exception) {
    return MakeError(
        ErrorKind::kMalformedFrame,
        std::string(exception.what()) + "; run the same release on all hosts");
  }
  if (!IsValid(message)) {
    return MakeError(ErrorKind::kMalformedFrame,
                     "a value of the message is out of range; run the same "
                     "release on all hosts");
  }
  return message;
}

template <class... Values>
OutgoingFrame Encode(FrameKind kind,
                     std::size_t size_hint,
                     const Values&... values) {
  OutgoingFrame frame;
  frame.kind = kind;
  frame.bytes.reserve(FrameHeader::kBytes + size_hint);
  frame.bytes.resize(FrameHeader::kBytes);
  FrameOutputArchive archive(frame.bytes);
  archive(values...);
  return frame;
}

// Typical encoded size of a message without its body.
constexpr std::size_t kTypicalMessageBytes = 512;

}  // namespace

OutgoingFrame EncodeGreeting(const Greeting& greeting) {
  return Encode(FrameKind::kGreeting, sizeof(Greeting), greeting);
}

OutgoingFrame EncodeVisit(const decision::VisitRequest& visit,
                          const HttpRequest& request) {
  auto frame =
      Encode(FrameKind::kVisit, kTypicalMessageBytes + request.body.size(),
             visit, request);
  frame.attempt = visit.attempt;
  return frame;
}

OutgoingFrame EncodeCancel(const decision::AttemptId& attempt) {
  return Encode(FrameKind::kCancel, sizeof(attempt), attempt);
}

OutgoingFrame EncodeReply(const decision::VisitReply& reply,
                          const decision::Answer& response) {
  if (response == nullptr) {
    return Encode(FrameKind::kReply, kTypicalMessageBytes, reply, false);
  }
  return Encode(FrameKind::kReply, kTypicalMessageBytes + response->body.size(),
                reply, true, *response);
}

OutgoingFrame EncodeHeartbeat(const decision::Heartbeat& heartbeat) {
  return Encode(FrameKind::kHeartbeat, kTypicalMessageBytes, heartbeat);
}

OutgoingFrame EncodeTicketItems(
    const std::vector<decision::TicketItemText>& items) {
  return Encode(FrameKind::kTicketItems, kTypicalMessageBytes, items);
}

OutgoingFrame EncodeTicketItemsWanted(
    const std::vector<decision::TicketItemVersion>& known_versions) {
  return Encode(FrameKind::kTicketItemsWanted, kTypicalMessageBytes,
                known_versions);
}

OutgoingFrame EncodeClosing() {
  OutgoingFrame frame;
  frame.kind = FrameKind::kClosing;
  frame.bytes.resize(FrameHeader::kBytes);
  return frame;
}

Result<Greeting> DecodeGreeting(std::string_view payload) {
  return Decode<Greeting>(payload);
}

Result<VisitMessage> DecodeVisit(std::string_view payload) {
  return Decode<VisitMessage>(payload);
}

Result<decision::AttemptId> DecodeCancel(std::string_view payload) {
  return Decode<decision::AttemptId>(payload);
}

Result<ReplyMessage> DecodeReply(std::string_view payload) {
  return Decode<ReplyMessage>(payload);
}

Result<decision::Heartbeat> DecodeHeartbeat(std::string_view payload) {
  auto heartbeat = Decode<decision::Heartbeat>(payload);
  if (!heartbeat) {
    return heartbeat;
  }
  // Demand is encoded without its zero entries, so several encodings decode to
  // the same heartbeat. Only the one that EncodeHeartbeat() writes is valid.
  const auto reencoded = EncodeHeartbeat(*heartbeat);
  if (reencoded.bytes.compare(FrameHeader::kBytes, std::string::npos,
                              payload) != 0) {
    return MakeError(ErrorKind::kMalformedFrame,
                     "the heartbeat does not have the expected encoding; run "
                     "the same release on all hosts");
  }
  return heartbeat;
}

Result<std::vector<decision::TicketItemText>> DecodeTicketItems(
    std::string_view payload) {
  return Decode<std::vector<decision::TicketItemText>>(payload);
}

Result<std::vector<decision::TicketItemVersion>> DecodeTicketItemsWanted(
    std::string_view payload) {
  return Decode<std::vector<decision::TicketItemVersion>>(payload);
}

}  // namespace agaterun::node
