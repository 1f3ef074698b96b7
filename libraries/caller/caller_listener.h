#ifndef LIBRARIES_CALLER_CALLER_LISTENER_H_
#define LIBRARIES_CALLER_CALLER_LISTENER_H_

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <asio/strand.hpp>
#include <atomic>
#include <memory>
#include <mutex>
#include <unordered_set>

#include "libraries/caller/call_table.h"
#include "libraries/caller/caller_server.h"

namespace agaterun::caller {

class CallerConnection;

// The listening socket of a CallerServer and all its connections.
class CallerListener : public std::enable_shared_from_this<CallerListener> {
 public:
  CallerListener(asio::io_context& io,
                 CallerServer::Options options,
                 std::atomic<decision::CallId>& call_ids,
                 CallerObserver& observer);

  // Fails with ErrorKind::kInputOutput.
  Result<void> Listen();
  void Answer(decision::CallId call, HttpResponse response);
  void StopAccepting();
  // Closes the listening socket and all connections. The observer is not
  // notified any more.
  void Shutdown();
  std::size_t ConnectionCount() const { return this->connection_count; }
  NodeAddress Address() const { return this->options.listen; }

  // --- Called by connections. ---

  const CallerServer::Options& GetOptions() const { return this->options; }
  bool IsStopping() const { return this->stopping; }
  // Registers a complete request and passes it to the observer. Returns its
  // call id.
  decision::CallId BeginCall(std::shared_ptr<CallerConnection> connection,
                             HttpRequest request);
  // Notifies the observer that the caller of a call disconnected, unless the
  // call already has its response. Returns false if it has.
  bool AbandonCall(decision::CallId call);
  void RemoveConnection(const std::shared_ptr<CallerConnection>& connection);

 private:
  using Strand = asio::strand<asio::io_context::executor_type>;
  using Socket = asio::basic_stream_socket<asio::ip::tcp, Strand>;

  void Accept();
  void OnAccepted(const std::error_code& error, Socket socket);
  // Sends 503 on a connection above the limit and closes it.
  void Refuse(Socket socket);
  // Checks the deadlines of all connections, periodically.
  void Sweep();

  asio::io_context& io;
  CallerServer::Options options;
  std::atomic<decision::CallId>& call_ids;
  CallerObserver& observer;
  Strand strand;  // Runs the acceptor and the timers.
  asio::ip::tcp::acceptor acceptor;
  asio::steady_timer sweep_timer;
  asio::steady_timer accept_timer;
  CallTable calls;
  std::atomic<std::size_t> connection_count = 0;
  std::atomic<std::size_t> refused_count = 0;
  std::atomic<bool> limit_reached = false;
  std::atomic<bool> stopping = false;
  std::atomic<bool> shut_down = false;
  std::mutex mutex;  // Guards `connections`; locked at accept, sweep, close.
  std::unordered_set<std::shared_ptr<CallerConnection>> connections;
};

}  // namespace agaterun::caller

#endif  // LIBRARIES_CALLER_CALLER_LISTENER_H_
