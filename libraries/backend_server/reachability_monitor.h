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

// Notifies the observer when the backend server stops accepting connections,
// and when it accepts them again, which it detects by probing. All calls must
// be made on the strand.
class ReachabilityMonitor
    : public std::enable_shared_from_this<ReachabilityMonitor> {
 public:
  using Strand = asio::strand<asio::io_context::executor_type>;

  ReachabilityMonitor(Strand strand,
                      const BackendClient::Options& options,
                      BackendObserver& observer);

  // Opens a connection, and closes it again, to test whether the backend server
  // accepts it.
  void Probe();

  void OnConnected();
  void OnConnectFailed();

  // The backend server closed a connection, or the connection failed.
  // `in_flight` is true if a request was in flight on it.
  void OnBroken(bool in_flight);

  // Stops probing and notifying the observer.
  void Shutdown();

 private:
  using Socket = asio::basic_stream_socket<asio::ip::tcp, Strand>;

  void OnProbeCompleted(const std::error_code& error);
  void ScheduleProbe();
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
  // Breaks that follow each other within `break_window`: the time of the last
  // one, their number, and whether one had a request in flight.
  Instant last_break_time{};
  int break_count = 0;
  bool any_break_in_flight = false;
};

}  // namespace agaterun::backend_server

#endif  // LIBRARIES_BACKEND_SERVER_REACHABILITY_MONITOR_H_
