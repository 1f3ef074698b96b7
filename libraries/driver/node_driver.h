#ifndef LIBRARIES_DRIVER_NODE_DRIVER_H_
#define LIBRARIES_DRIVER_NODE_DRIVER_H_

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <asio/strand.hpp>
#include <atomic>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "libraries/backend_server/backend_client.h"
#include "libraries/base/clock.h"
#include "libraries/base/random.h"
#include "libraries/base/settings.h"
#include "libraries/caller/caller_server.h"
#include "libraries/decision/node.h"
#include "libraries/driver/known_hosts.h"
#include "libraries/driver/published_state.h"
#include "libraries/driver/request_store.h"
#include "libraries/node/node_links.h"
#include "libraries/operator/admin_server.h"
#include "libraries/operator/metrics.h"
#include "libraries/platform/platform_reader.h"

namespace agaterun::driver {

// Drives the decisions of one node: turns what the peers say into events, and
// actions into what the peers hear. All decisions run on one strand; parsing,
// framing and I/O run on every thread of the io_context.
class NodeDriver final : public caller::CallerObserver,
                         public backend_server::BackendObserver,
                         public node::NodeObserver,
                         public platform::PlatformObserver,
                         public operator_interface::AdminSource {
 public:
  // Runs once a planned stop, asked for by Stop() or by the host list, is
  // complete. On a thread of the io_context.
  using StoppedCallback = std::function<void()>;

  // Opens every listener, then starts. Fails when an address is taken, or when
  // the settings disable a mechanism that is not known.
  static Result<std::unique_ptr<NodeDriver>> Create(asio::io_context& io,
                                                    NodeSettings settings,
                                                    StoppedCallback on_stopped);
  ~NodeDriver() override;

  // Asks for a planned stop. Returns at once.
  void Stop();

  // CallerObserver.
  void OnRequest(decision::CallId call,
                 HttpRequest request,
                 bool nested) override;
  void OnCallerDisconnected(decision::CallId call) override;

  // BackendObserver.
  void OnBackendResponded(decision::VisitId visit,
                          HttpResponse response) override;
  void OnBackendFailed(decision::VisitId visit,
                       decision::BackendFailure failure) override;
  void OnBackendReachable(bool reachable) override;

  // NodeObserver.
  void OnVisit(NodeAddress from,
               decision::VisitRequest visit,
               HttpRequest request) override;
  void OnVisitCancelled(decision::AttemptId attempt) override;
  void OnReply(decision::VisitReply reply, decision::Answer answer) override;
  void OnAttemptLost(decision::AttemptId attempt, bool sent) override;
  void OnHeartbeat(decision::Heartbeat heartbeat) override;
  void OnDigestReceived(NodeAddress peer, std::uint64_t digest) override;
  void OnTicketItems(NodeAddress from,
                     std::vector<decision::TicketItemText> items) override;
  void OnTicketItemsRequested(
      NodeAddress from,
      std::vector<decision::TicketItemVersion> have) override;

  // PlatformObserver.
  void OnTicketPublished(std::string text) override;
  void OnHostList(std::vector<decision::HostListEntry> hosts) override;
  void OnPlatformReadEnded(bool reached, std::uint64_t last_number) override;

  // AdminSource.
  std::string Health() override;
  std::string StateDump() override;
  std::string TicketsInForce() override;
  std::string Metrics() override;

 private:
  NodeDriver(asio::io_context& io,
             NodeSettings settings,
             decision::MechanismSet disabled,
             StoppedCallback on_stopped);
  Result<void> Open();

  // Runs `work` on the decision strand, inline when the strand is free and
  // this thread serves the io_context.
  void OnStrand(std::function<void()> work);

  // On the strand: hands an event to the decisions and carries out actions.
  void Handle(const decision::Event& event);
  void CarryOut(decision::Actions actions);

  void Perform(const decision::SendAttempt& action);
  void Perform(const decision::CancelAttempt& action);
  void Perform(const decision::RespondToCaller& action);
  void Perform(const decision::StartBackend& action);
  void Perform(const decision::AbortBackend& action);
  void Perform(const decision::ReplyToOrigin& action);
  void Perform(const decision::SendHeartbeat& action);
  void Perform(const decision::SendTicketItems& action);
  void Perform(const decision::RequestTicketItems& action);
  void Perform(const decision::ReadPlatform& action);
  void Perform(const decision::PublishState& action);
  void Perform(const decision::WakeAt& action);
  void Perform(const decision::Report& action);
  void Perform(const decision::Drained& action);

  // Notes what an event changed for other threads, a planned stop among it.
  void NoteStatus();

  // Stops once all connections are closed, at the latest at `latest`.
  void FinishStop(Instant latest);

  // Answers without a decision: the call never became one.
  void Refuse(const decision::CallArrived& event,
              bool nested,
              decision::Reason reason);
  caller::CallerServer* ServerOf(bool nested);

  // Runs `read` on the strand and waits for its text.
  std::string ReadOnStrand(std::function<std::string()> read);

  asio::io_context& io;
  asio::strand<asio::io_context::executor_type> strand;
  NodeSettings settings;
  MonotonicClock clock;
  SystemRandom random;
  std::uint64_t incarnation;  // After `random`, which draws it.
  decision::Node decisions;
  RequestStore requests;
  PublishedState published;
  KnownHosts known_hosts;
  operator_interface::Metrics metrics;
  asio::steady_timer wake_timer;
  asio::steady_timer stop_timer;
  std::atomic<decision::CallId> call_ids{1};
  std::atomic<bool> ready{false};
  std::atomic<bool> leaving{false};
  // Events that actions of this node raise at this same node.
  std::deque<decision::Event> own_events;
  bool handling = false;
  StoppedCallback on_stopped;

  std::unique_ptr<node::NodeLinks> links;
  std::unique_ptr<backend_server::BackendClient> backend;
  std::unique_ptr<caller::CallerServer> callers;
  std::unique_ptr<caller::CallerServer> nested_callers;
  std::unique_ptr<platform::PlatformReader> platform_reader;
  std::unique_ptr<operator_interface::AdminServer> admin;
};

}  // namespace agaterun::driver

#endif  // LIBRARIES_DRIVER_NODE_DRIVER_H_
