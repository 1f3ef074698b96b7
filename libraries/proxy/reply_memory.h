#ifndef LIBRARIES_PROXY_REPLY_MEMORY_H_
#define LIBRARIES_PROXY_REPLY_MEMORY_H_

#include <memory>

#include "libraries/admission/response_memory.h"
#include "libraries/decision/messages.h"

namespace agaterun::proxy {

// Reserves memory for the response in a reply of another node. If there is
// none, the response is dropped and the outcome becomes unknown, since the
// request has run.
void ReserveReplyMemory(
    const std::shared_ptr<admission::ResponseMemory>& memory,
    decision::VisitReply& reply,
    decision::Answer& response);

}  // namespace agaterun::proxy

#endif  // LIBRARIES_PROXY_REPLY_MEMORY_H_
