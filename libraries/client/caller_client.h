#ifndef LIBRARIES_CLIENT_CALLER_CLIENT_H_
#define LIBRARIES_CLIENT_CALLER_CLIENT_H_

#include <array>
#include <asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "libraries/base/enum_names.h"
#include "libraries/base/http_message.h"
#include "libraries/base/node_address.h"
#include "libraries/base/time.h"
#include "libraries/decision/request_types.h"

namespace agaterun::client {

// How a caller behaves when its request is refused or lost.
enum class ResendPolicy {
  kNone,              // One try.
  kAtOnce,            // Resends without any wait, as impatient callers do.
  kHonourRetryAfter,  // Waits for as long as the answer asks.
};

inline constexpr std::array kResendPolicyNames = {
    EnumName<ResendPolicy>{ResendPolicy::kNone, "none"},
    EnumName<ResendPolicy>{ResendPolicy::kAtOnce, "at-once"},
    EnumName<ResendPolicy>{ResendPolicy::kHonourRetryAfter, "retry-after"},
};

struct CallerRequest {
  HttpRequest request;  // The target starts with the service's name.
  // A non-idempotent request runs under a binding, which the client gets and
  // keeps through resends by itself.
  bool idempotent = true;
  Duration timeout = 1s;  // From the first send to the whole answer.
  // Longest wait for the answer to one try; zero waits until `timeout`. An
  // impatient caller gives up a try and sends the next.
  Duration try_timeout{};
  int resends = 0;
  ResendPolicy resend_policy = ResendPolicy::kNone;
};

struct CallerResult {
  decision::Outcome outcome = decision::Outcome::kUnknown;
  std::string reason;     // Name of the reason, "timeout", or "connection".
  HttpResponse response;  // The last one; status 0 when none came.
  Duration latency{};     // From the first send to the end.
  int sends = 0;          // Fetches of a first binding are not counted.
};

// A caller's side of the protocol: which node to ask, bindings, resends.
class CallerClient {
 public:
  struct Options {
    std::vector<NodeAddress> nodes;
    std::size_t connections = 256;  // Kept per node.
    std::uint64_t seed = 1;         // Chooses among the nodes.
  };

  using Callback = std::function<void(const CallerResult&)>;

  CallerClient(asio::io_context& io, Options options);
  ~CallerClient();

  // Sends a request and calls `done` once, on a thread of the io_context.
  // Safe from any thread.
  void Call(CallerRequest request, Callback done);

 private:
  class Implementation;
  std::shared_ptr<Implementation> implementation;
};

}  // namespace agaterun::client

#endif  // LIBRARIES_CLIENT_CALLER_CLIENT_H_
