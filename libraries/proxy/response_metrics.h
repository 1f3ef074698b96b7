#ifndef LIBRARIES_PROXY_RESPONSE_METRICS_H_
#define LIBRARIES_PROXY_RESPONSE_METRICS_H_

#include <string>

#include "libraries/admission/response_memory.h"

namespace agaterun::proxy {

// Memory of the responses that this process holds, as metrics in text.
std::string ResponseMetrics(const admission::ResponseMemory::Counts& counts);

}  // namespace agaterun::proxy

#endif  // LIBRARIES_PROXY_RESPONSE_METRICS_H_
