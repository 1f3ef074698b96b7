#include "libraries/caller/caller_server.h"

#include <utility>

#include "libraries/caller/caller_listener.h"

namespace agaterun::caller {

Result<std::unique_ptr<CallerServer>> CallerServer::Create(
    asio::io_context& io,
    Options options,
    std::atomic<decision::CallId>& call_ids,
    CallerObserver& observer) {
  auto listener =
      std::make_shared<CallerListener>(io, options, call_ids, observer);
  if (auto listening = listener->Listen(); !listening) {
    return tl::unexpected(listening.error());
  }
  return std::unique_ptr<CallerServer>(new CallerServer(std::move(listener)));
}

CallerServer::CallerServer(std::shared_ptr<CallerListener> listener)
    : listener(std::move(listener)) {}

CallerServer::~CallerServer() {
  this->listener->Shutdown();
}

void CallerServer::Answer(decision::CallId call, HttpResponse response) {
  this->listener->Answer(call, std::move(response));
}

void CallerServer::StopAccepting() {
  this->listener->StopAccepting();
}

std::size_t CallerServer::ConnectionCount() const {
  return this->listener->ConnectionCount();
}

NodeAddress CallerServer::Address() const {
  return this->listener->Address();
}

}  // namespace agaterun::caller
