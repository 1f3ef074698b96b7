#ifndef LIBRARIES_BACKEND_SERVER_BACKEND_POOL_H_
#define LIBRARIES_BACKEND_SERVER_BACKEND_POOL_H_

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/strand.hpp>
#include <atomic>
#include <memory>
#include <unordered_map>
#include <vector>

#include "libraries/backend_server/backend_client.h"
#include "libraries/backend_server/backend_connection.h"
#include "libraries/backend_server/reachability_monitor.h"

namespace agaterun::backend_server {

// The connections of a BackendClient, both those that carry a visit and idle
// ones kept for reuse.
class BackendPool : public BackendConnectionOwner,
                    public std::enable_shared_from_this<BackendPool> {
 public:
  BackendPool(asio::io_context& io,
              const BackendClient::Options& options,
              BackendObserver& observer);

  // --- Called from any thread. ---

  void StartMonitoring();
  void Start(decision::VisitId visit, HttpRequest request);
  void Abort(decision::VisitId visit);
  void Shutdown();
  std::size_t ConnectionCount() const { return this->connection_count; }

  // --- BackendConnectionOwner, called on the strand. ---

  void OnConnected(std::shared_ptr<BackendConnection> connection) override;
  void OnConnectFailed(std::shared_ptr<BackendConnection> connection) override;
  void OnResponse(std::shared_ptr<BackendConnection> connection,
                  HttpResponse response,
                  bool reusable) override;
  void OnBroken(std::shared_ptr<BackendConnection> connection,
                ConnectionFailure reason) override;
  void OnIdleClosed(std::shared_ptr<BackendConnection> connection) override;

 private:
  // Sends on an idle connection, or on a new one if there is none.
  void StartOnStrand(BackendRequest request);
  void StartOnNewConnection(BackendRequest request);
  // Removes and returns the most recently used idle connection that is still
  // usable, or nullptr. Closes the unusable ones that it passes.
  std::shared_ptr<BackendConnection> TakeUsableIdleConnection();
  void AbortOnStrand(decision::VisitId visit);
  void Fail(decision::VisitId visit, decision::BackendFailure failure);
  void UpdateConnectionCount();

  BackendClient::Options options;
  BackendObserver& observer;
  BackendConnection::Strand strand;
  std::shared_ptr<ReachabilityMonitor> monitor;
  std::unordered_map<decision::VisitId, std::shared_ptr<BackendConnection>>
      visits;
  std::vector<std::shared_ptr<BackendConnection>> idle;
  std::atomic<std::size_t> connection_count = 0;
  bool shut_down = false;
};

}  // namespace agaterun::backend_server

#endif  // LIBRARIES_BACKEND_SERVER_BACKEND_POOL_H_
