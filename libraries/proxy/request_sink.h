#ifndef LIBRARIES_PROXY_REQUEST_SINK_H_
#define LIBRARIES_PROXY_REQUEST_SINK_H_

#include <cstdint>

#include "libraries/base/http_message.h"
#include "libraries/base/node_address.h"
#include "libraries/decision/request_types.h"

namespace agaterun::proxy {

// Takes the requests that connections have read.
class RequestSink {
 public:
  virtual ~RequestSink() = default;

  // A whole request. One answer has to follow, unless OnCallerDisconnected
  // comes first.
  virtual void OnRequest(decision::CallId call,
                         HttpRequest request,
                         NodeAddress caller) = 0;

  // The caller went away before its answer.
  virtual void OnCallerDisconnected(decision::CallId call) = 0;
};

}  // namespace agaterun::proxy

#endif  // LIBRARIES_PROXY_REQUEST_SINK_H_
