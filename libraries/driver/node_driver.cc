#include "libraries/driver/node_driver.h"

#include <asio/dispatch.hpp>
#include <asio/post.hpp>
#include <utility>

#include "libraries/base/log.h"
#include "libraries/caller/request_headers.h"

namespace agaterun::driver {

namespace {

using decision::Outcome;
using decision::Reason;
using decision::RespondToCaller;

Result<decision::MechanismSet> ReadMechanisms(
    const std::vector<std::string>& names) {
  decision::MechanismSet mechanisms;
  for (const auto& name : names) {
    const auto mechanism = FromName(decision::kMechanismNames, name);
    if (!mechanism) {
      std::string known;
      for (const auto& row : decision::kMechanismNames) {
        known += (known.empty() ? "" : ", ") + std::string(row.name);
      }
      return MakeError(ErrorKind::kInvalidSettings,
                       "[experiment] disabled: unknown mechanism '" + name +
                           "'; known are " + known);
    }
    mechanisms.Add(*mechanism);
  }
  return mechanisms;
}

}  // namespace

NodeDriver::NodeDriver(asio::io_context& io,
                       NodeSettings settings,
                       decision::MechanismSet disabled,
                       StoppedCallback on_stopped)
    : io(io),
      strand(asio::make_strand(io)),
      settings(std::move(settings)),
      // Zero stands for an incarnation that is not known yet.
      incarnation(this->random.Next() | 1),
      decisions({.self = this->settings.node,
                 .incarnation = this->incarnation,
                 .region = this->settings.region,
                 .failure_domain = this->settings.failure_domain,
                 .service = this->settings.service,
                 .seeds = this->settings.seeds,
                 .disabled = disabled},
                this->random),
      wake_timer(this->strand),
      stop_timer(this->strand),
      on_stopped(std::move(on_stopped)) {}

NodeDriver::~NodeDriver() = default;

Result<std::unique_ptr<NodeDriver>> NodeDriver::Create(
    asio::io_context& io,
    NodeSettings settings,
    StoppedCallback on_stopped) {
  const auto disabled = ReadMechanisms(settings.disabled_mechanisms);
  if (!disabled) {
    return tl::unexpected(disabled.error());
  }
  std::unique_ptr<NodeDriver> driver(new NodeDriver(
      io, std::move(settings), *disabled, std::move(on_stopped)));
  if (auto opened = driver->Open(); !opened) {
    return tl::unexpected(opened.error());
  }
  driver->OnStrand([self = driver.get()] {
    decision::Actions actions;
    self->decisions.Start(self->clock.Now(), actions);
    self->CarryOut(std::move(actions));
  });
  return driver;
}

Result<void> NodeDriver::Open() {
  const http::MessageLimits limits{.body_bytes = this->settings.body_bytes};
  auto links = node::NodeLinks::Create(
      this->io, {.self = this->settings.node, .incarnation = this->incarnation},
      *this);
  if (!links) {
    return tl::unexpected(links.error());
  }
  this->links = std::move(*links);
  this->links->SetAllowedPeers(
      [this](NodeAddress peer) { return this->known_hosts.Knows(peer); });
  this->known_hosts.SetSeeds(this->settings.seeds);
  if (this->settings.backend_server) {
    this->backend = backend_server::BackendClient::Create(
        this->io,
        {.backend_server = *this->settings.backend_server, .limits = limits},
        *this);
  }
  if (this->settings.nested) {
    auto server = caller::CallerServer::Create(
        this->io,
        {.listen = *this->settings.nested, .nested = true, .limits = limits},
        this->call_ids, *this);
    if (!server) {
      return tl::unexpected(server.error());
    }
    this->nested_callers = std::move(*server);
  }
  auto admin = operator_interface::AdminServer::Create(
      {.listen = this->settings.operator_address}, *this);
  if (!admin) {
    return tl::unexpected(admin.error());
  }
  this->admin = std::move(*admin);
  this->platform_reader = std::make_unique<platform::PlatformReader>(
      platform::PlatformReader::Options{.platform = this->settings.platform},
      *this);
  auto server = caller::CallerServer::Create(
      this->io,
      {.listen = this->settings.caller,
       .connections = this->settings.caller_connections,
       .limits = limits},
      this->call_ids, *this);
  if (!server) {
    return tl::unexpected(server.error());
  }
  this->callers = std::move(*server);
  return {};
}

void NodeDriver::OnStrand(std::function<void()> work) {
  asio::dispatch(this->strand, std::move(work));
}

void NodeDriver::Stop() {
  this->OnStrand([this] { this->Handle(decision::StopRequested{}); });
}

void NodeDriver::Handle(const decision::Event& event) {
  decision::Actions actions;
  this->decisions.Handle(this->clock.Now(), event, actions);
  this->NoteStatus();
  this->CarryOut(std::move(actions));
}

void NodeDriver::NoteStatus() {
  this->ready = this->decisions.Gossip().Ready();
  if (!this->decisions.IsStopping() || this->leaving) {
    return;
  }
  this->leaving = true;
  Log(LogEvent::kStopping);
  this->callers->StopAccepting();
}

void NodeDriver::CarryOut(decision::Actions actions) {
  for (const auto& action : actions) {
    std::visit([this](const auto& concrete) { this->Perform(concrete); },
               action);
  }
  // Events that this node raises at itself follow one by one, never nested, so
  // that decisions see each event whole.
  if (this->handling) {
    return;
  }
  this->handling = true;
  while (!this->own_events.empty()) {
    const auto event = std::move(this->own_events.front());
    this->own_events.pop_front();
    this->Handle(event);
  }
  this->handling = false;
}

caller::CallerServer* NodeDriver::ServerOf(bool nested) {
  return nested ? this->nested_callers.get() : this->callers.get();
}

void NodeDriver::Refuse(const decision::CallArrived& event,
                        bool nested,
                        Reason reason) {
  // Under a binding, an earlier copy may have run through another node.
  const RespondToCaller answer{
      .call = event.call,
      .outcome = event.binding ? Outcome::kUnknown : Outcome::kNotRun,
      .reason = reason};
  this->metrics.RecordCall(decision::Importance::kNormal, answer.outcome,
                           reason, Duration{});
  this->ServerOf(nested)->Answer(event.call,
                                 caller::WriteCallerResponse(answer));
}

void NodeDriver::OnRequest(decision::CallId call,
                           HttpRequest request,
                           bool nested) {
  auto event = caller::ReadCall(call, request, nested);
  if (!event) {
    Log(LogEvent::kRequestRejected, {{"why", event.error().message}});
    this->metrics.RecordCall(decision::Importance::kNormal, Outcome::kNotRun,
                             Reason::kMalformed, Duration{});
    this->ServerOf(nested)->Answer(call, caller::WriteRejection(event.error()));
    return;
  }
  // Requests that no ticket knows end here, on the thread that read them.
  const auto state = this->published.Read();
  const auto service = state->FindService(event->service);
  if (!service) {
    this->Refuse(*event, nested,
                 state->items.empty() ? Reason::kWaitingForState
                                      : Reason::kNoSuchService);
    return;
  }
  const auto* route = decision::FindRoute(*service, event->method, event->path);
  if (route == nullptr && event->kind == decision::VisitKind::kRun) {
    this->Refuse(*event, nested, Reason::kNoSuchRoute);
    return;
  }
  StoredCall stored{
      .request = std::make_shared<const HttpRequest>(std::move(request)),
      .importance =
          route != nullptr ? route->importance : decision::Importance::kNormal,
      .arrived = this->clock.Now(),
      .nested = nested};
  this->OnStrand(
      [this, stored = std::move(stored), event = std::move(*event)]() mutable {
        this->requests.calls.emplace(event.call, std::move(stored));
        this->Handle(std::move(event));
      });
}

void NodeDriver::OnCallerDisconnected(decision::CallId call) {
  this->OnStrand([this, call] {
    this->Handle(decision::CallerDisconnected{.call = call});
  });
}

void NodeDriver::OnVisit(NodeAddress from,
                         decision::VisitRequest visit,
                         HttpRequest request) {
  auto shared = std::make_shared<const HttpRequest>(std::move(request));
  this->OnStrand([this, from, visit = std::move(visit),
                  shared = std::move(shared)]() mutable {
    this->requests.visits[visit.attempt].request = std::move(shared);
    this->Handle(
        decision::VisitArrived{.from = from, .request = std::move(visit)});
  });
}

void NodeDriver::OnVisitCancelled(decision::AttemptId attempt) {
  this->OnStrand([this, attempt] {
    this->Handle(decision::VisitCancelled{.attempt = attempt});
    this->requests.visits.erase(attempt);
  });
}

void NodeDriver::OnReply(decision::VisitReply reply, decision::Answer answer) {
  this->OnStrand(
      [this, reply = std::move(reply), answer = std::move(answer)]() mutable {
        this->Handle(decision::AttemptReplied{.reply = std::move(reply),
                                              .answer = std::move(answer)});
      });
}

void NodeDriver::OnAttemptLost(decision::AttemptId attempt, bool sent) {
  // Always posted: the links may report this from inside SendVisit, while an
  // earlier event is still being handled.
  asio::post(this->strand, [this, attempt, sent] {
    this->Handle(decision::AttemptLost{.attempt = attempt, .sent = sent});
  });
}

void NodeDriver::OnHeartbeat(decision::Heartbeat heartbeat) {
  this->OnStrand([this, heartbeat = std::move(heartbeat)]() mutable {
    this->Handle(
        decision::HeartbeatReceived{.heartbeat = std::move(heartbeat)});
  });
}

void NodeDriver::OnDigestReceived(NodeAddress peer, std::uint64_t digest) {
  this->OnStrand([this, peer, digest] {
    this->Handle(
        decision::DigestReceived{.peer = peer, .state_digest = digest});
  });
}

void NodeDriver::OnTicketItems(NodeAddress from,
                               std::vector<decision::TicketItemText> items) {
  this->OnStrand([this, from, items = std::move(items)]() mutable {
    this->Handle(
        decision::TicketItemsReceived{.from = from, .items = std::move(items)});
  });
}

void NodeDriver::OnTicketItemsRequested(
    NodeAddress from,
    std::vector<decision::TicketItemVersion> have) {
  this->OnStrand([this, from, have = std::move(have)]() mutable {
    this->Handle(
        decision::TicketItemsRequested{.from = from, .have = std::move(have)});
  });
}

void NodeDriver::OnBackendResponded(decision::VisitId visit,
                                    HttpResponse response) {
  auto answer = std::make_shared<const HttpResponse>(std::move(response));
  asio::post(this->strand, [this, visit, answer = std::move(answer)] {
    if (const auto started = this->requests.started.find(visit);
        started != this->requests.started.end()) {
      this->metrics.RecordServiceTime(this->clock.Now() - started->second);
      this->requests.started.erase(started);
    }
    this->Handle(decision::BackendResponded{.visit = visit, .answer = answer});
  });
}

void NodeDriver::OnBackendFailed(decision::VisitId visit,
                                 decision::BackendFailure failure) {
  asio::post(this->strand, [this, visit, failure] {
    this->requests.started.erase(visit);
    this->Handle(decision::BackendFailed{.visit = visit, .failure = failure});
  });
}

void NodeDriver::OnBackendReachable(bool reachable) {
  asio::post(this->strand, [this, reachable] {
    this->Handle(decision::BackendReachable{.reachable = reachable});
  });
}

void NodeDriver::OnTicketPublished(std::string text) {
  this->OnStrand([this, text = std::move(text)]() mutable {
    this->Handle(decision::TicketPublished{.text = std::move(text)});
  });
}

void NodeDriver::OnHostList(std::vector<decision::HostListEntry> hosts) {
  this->OnStrand([this, hosts = std::move(hosts)]() mutable {
    this->known_hosts.SetHostList(hosts);
    this->Handle(decision::HostListReceived{.hosts = std::move(hosts)});
  });
}

void NodeDriver::OnPlatformReadEnded(bool reached, std::uint64_t last_number) {
  this->OnStrand([this, reached, last_number] {
    this->Handle(decision::PlatformReadEnded{.reached = reached,
                                             .last_number = last_number});
  });
}

// Answers and replies that are written but not yet read keep the connections

// open; a reader that takes nothing doesn't hold the process for ever.

}  // namespace agaterun::driver
