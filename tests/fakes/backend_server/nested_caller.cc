#include "tests/fakes/backend_server/nested_caller.h"

#include <algorithm>
#include <utility>

namespace agaterun::fakes {

std::vector<NestedCall> ReadNestedCalls(std::string_view text) {
  std::vector<NestedCall> calls;
  while (!text.empty()) {
    const std::size_t end = std::min(text.find(','), text.size());
    std::string_view call = text.substr(0, end);
    NestedCall nested;
    if (const std::size_t colon = call.find(':'); colon != call.npos) {
      nested.method = call.substr(0, colon);
      call.remove_prefix(colon + 1);
    }
    nested.target = "/" + std::string(call);
    calls.push_back(std::move(nested));
    text.remove_prefix(std::min(end + 1, text.size()));
  }
  return calls;
}

NestedCaller::NestedCaller(asio::io_context& io, NodeAddress node)
    : client(backend_server::BackendClient::Create(io,
                                                   {.backend_server = node},
                                                   *this)) {}

std::uint64_t NestedCaller::Call(HttpRequest request, Callback callback) {
  const std::uint64_t call = ++this->last_call;
  this->callbacks.emplace(call, std::move(callback));
  this->client->Start({0, call}, std::move(request));
  return call;
}

void NestedCaller::Abort(std::uint64_t call) {
  if (this->callbacks.erase(call) > 0) {
    this->client->Abort({0, call});
  }
}

void NestedCaller::OnBackendResponded(decision::VisitId visit,
                                      HttpResponse response) {
  this->Finish(visit.low, std::move(response));
}

void NestedCaller::OnBackendFailed(decision::VisitId visit,
                                   decision::BackendFailure) {
  this->Finish(visit.low, std::nullopt);
}

void NestedCaller::OnBackendReachable(bool) {}

void NestedCaller::Finish(std::uint64_t call,
                          std::optional<HttpResponse> response) {
  if (auto node = this->callbacks.extract(call); !node.empty()) {
    node.mapped()(std::move(response));
  }
}

}  // namespace agaterun::fakes
