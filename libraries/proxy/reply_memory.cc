#include "libraries/proxy/reply_memory.h"

#include <utility>

namespace agaterun::proxy {

void ReserveReplyMemory(
    const std::shared_ptr<admission::ResponseMemory>& memory,
    decision::VisitReply& reply,
    decision::Answer& response) {
  if (response == nullptr) {
    return;
  }
  auto reservation =
      std::make_unique<admission::ResponseMemory::Reservation>(memory);
  if (reservation->Extend(response->body.size())) {
    response =
        admission::HoldResponse(std::move(response), std::move(reservation));
    return;
  }
  response = nullptr;
  reply.outcome = decision::Outcome::kUnknown;
  reply.reason = decision::Reason::kLimitReached;
}

}  // namespace agaterun::proxy
