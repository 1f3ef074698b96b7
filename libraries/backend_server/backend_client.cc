#include "libraries/backend_server/backend_client.h"

#include <utility>

#include "libraries/backend_server/backend_pool.h"

namespace agaterun::backend_server {

std::unique_ptr<BackendClient> BackendClient::Create(
    asio::io_context& io,
    Options options,
    BackendObserver& observer) {
  auto pool = std::make_shared<BackendPool>(io, options, observer);
  pool->StartMonitoring();
  return std::unique_ptr<BackendClient>(new BackendClient(std::move(pool)));
}

BackendClient::BackendClient(std::shared_ptr<BackendPool> pool)
    : pool(std::move(pool)) {}

BackendClient::~BackendClient() {
  this->pool->Shutdown();
}

void BackendClient::Start(decision::VisitId visit, HttpRequest request) {
  this->pool->Start(visit, std::move(request));
}

void BackendClient::Abort(decision::VisitId visit) {
  this->pool->Abort(visit);
}

std::size_t BackendClient::ConnectionCount() const {
  return this->pool->ConnectionCount();
}

}  // namespace agaterun::backend_server
