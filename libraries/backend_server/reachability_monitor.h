#ifndef LIBRARIES_BACKEND_SERVER_REACHABILITY_MONITOR_H_
#define LIBRARIES_BACKEND_SERVER_REACHABILITY_MONITOR_H_

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <asio/strand.hpp>
#include <memory>

#include "libraries/backend_server/backend_client.h"
#include "libraries/base/time.h"

namespace agaterun::backend_server {

// Tells the observer when the backend server stops taking connections and when
// it takes them again, for which it probes. All calls are made on the strand.
class ReachabilityMonitor
    : public std::enable_shared_from_this<ReachabilityMonitor> {
 public:
  using Strand = asio::strand<asio::io_context::executor_type>;

  ReachabilityMonitor(Strand strand,
                      const BackendClient::Options& options,
                      BackendObserver& observer);

  // Makes a connection to see whether one can be made.
  void Probe();

  void OnConnected();
  void OnConnectFailed();

  // A connection was closed from the other side. `in_flight` when a request
  // was on it.
  void OnBroken(bool in_flight);

  // Tells the observer nothing more.
  void Shutdown();

 private:
  using Socket = asio::basic_stream_socket<asio::ip::tcp, Strand>;

  void OnProbed(const std::error_code& error);
  void ProbeLater();
  void SetReachable(bool reachable);

  asio::ip::tcp::endpoint endpoint;
  Duration connect_timeout;
  Duration probe_interval;
  Duration break_window;
  BackendObserver& observer;
  Socket socket;
  asio::steady_timer timer;
  bool reachable = true;
  bool probing = false;
  bool shut_down = false;
  // Closes of late: when the last one was, and whether one had a request.
  Instant last_break{};
  int breaks = 0;
  bool broke_in_flight = false;
};

}  // namespace agaterun::backend_server

#endif  // LIBRARIES_BACKEND_SERVER_REACHABILITY_MONITOR_H_
