#ifndef LIBRARIES_PROXY_REQUEST_SINK_H_
#define LIBRARIES_PROXY_REQUEST_SINK_H_

#include <cstdint>

#include "libraries/base/http_message.h"
#include "libraries/base/node_address.h"
#include "libraries/decision/request_types.h"

namespace agaterun::proxy {

// Receives the requests that HTTP connections have parsed.
class RequestSink {
 public:
  virtual ~RequestSink() = default;

  // Called with a complete request. The receiver must send exactly one response
  // to the call, unless OnCallerDisconnected is called first.
  virtual void OnRequest(decision::CallId call,
                         HttpRequest request,
                         NodeAddress caller) = 0;

  // The caller disconnected before its response was ready.
  virtual void OnCallerDisconnected(decision::CallId call) = 0;
};

}  // namespace agaterun::proxy

#endif  // LIBRARIES_PROXY_REQUEST_SINK_H_
