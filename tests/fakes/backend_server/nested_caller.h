#ifndef TESTS_FAKES_BACKEND_SERVER_NESTED_CALLER_H_
#define TESTS_FAKES_BACKEND_SERVER_NESTED_CALLER_H_

#include <asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "libraries/backend_server/backend_client.h"

namespace agaterun::fakes {

// A nested call that each request makes.
struct NestedCall {
  std::string method;  // Empty takes that of the request.
  std::string target;  // "/SERVICE/PATH".
};

// Reads "SERVICE/path,METHOD:SERVICE/path".
std::vector<NestedCall> ReadNestedCalls(std::string_view text);

// Sends nested calls to the node over kept connections. Runs on one thread.
class NestedCaller : private backend_server::BackendObserver {
 public:
  // Gets the response, or nothing when the node broke off.
  using Callback = std::function<void(std::optional<HttpResponse>)>;

  NestedCaller(asio::io_context& io, NodeAddress node);

  // Returns a number by which the call can be aborted.
  std::uint64_t Call(HttpRequest request, Callback callback);

  // Closes the connection of the call; its callback is not called.
  void Abort(std::uint64_t call);

 private:
  void OnBackendResponded(decision::VisitId visit,
                          HttpResponse response) override;
  void OnBackendFailed(decision::VisitId visit,
                       decision::BackendFailure failure) override;
  void OnBackendReachable(bool reachable) override;
  void Finish(std::uint64_t call, std::optional<HttpResponse> response);

  std::unordered_map<std::uint64_t, Callback> callbacks;
  std::uint64_t last_call = 0;
  std::unique_ptr<backend_server::BackendClient> client;
};

}  // namespace agaterun::fakes

#endif  // TESTS_FAKES_BACKEND_SERVER_NESTED_CALLER_H_
