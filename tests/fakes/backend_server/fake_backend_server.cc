#include "tests/fakes/backend_server/fake_backend_server.h"

#include <unistd.h>

#include <nlohmann/json.hpp>
#include <utility>

#include "libraries/base/clock.h"

namespace agaterun::fakes {

namespace {

constexpr int kCrashExitCode = 70;

Instant Now() {
  return MonotonicClock().Now();
}

HttpResponse JsonResponse(int status, const nlohmann::ordered_json& body) {
  return {.status = status,
          .headers = {{"Content-Type", "application/json"}},
          .body = body.dump() + "\n"};
}

}  // namespace

Result<std::unique_ptr<FakeBackendServer>> FakeBackendServer::Create(
    asio::io_context& io,
    Options options) {
  std::unique_ptr<FakeBackendServer> server(
      new FakeBackendServer(io, std::move(options)));
  if (auto listening = server->Listen(); !listening) {
    return tl::unexpected(listening.error());
  }
  return server;
}

FakeBackendServer::FakeBackendServer(asio::io_context& io, Options options)
    : io(io),
      options(std::move(options)),
      random(this->options.seed),
      acceptor(io),
      executions(this->options.execution_limit),
      started(Now()) {
  if (this->options.nested_address) {
    this->nested_caller =
        std::make_unique<NestedCaller>(io, *this->options.nested_address);
  }
}

FakeBackendServer::~FakeBackendServer() {
  for (const auto& [connection, running] : this->visits) {
    running.visit->Cancel();
  }
  for (const auto& [key, connection] : this->connections) {
    connection->Close();
  }
}

Result<void> FakeBackendServer::Listen() {
  const asio::ip::tcp::endpoint endpoint(
      asio::ip::address_v4(this->options.listen.ip), this->options.listen.port);
  try {
    this->acceptor.open(endpoint.protocol());
    this->acceptor.set_option(asio::socket_base::reuse_address(true));
    this->acceptor.bind(endpoint);
    this->acceptor.listen();
  } catch (const std::system_error& error) {
    return MakeError(ErrorKind::kInputOutput,
                     "can't listen on " + this->options.listen.ToString() +
                         ": " + error.what() + "; free the address");
  }
  this->options.listen.port = this->acceptor.local_endpoint().port();
  this->Accept();
  return {};
}

void FakeBackendServer::Accept() {
  if (this->accepting || std::cmp_greater_equal(this->connections.size(),
                                                this->options.connections)) {
    return;
  }
  this->accepting = true;
  this->acceptor.async_accept(
      [this](const std::error_code& error, asio::ip::tcp::socket socket) {
        if (error == asio::error::operation_aborted) {
          return;  // The server may be gone.
        }
        this->accepting = false;
        if (!error) {
          auto connection = std::make_shared<FakeConnection>(
              std::move(socket), static_cast<FakeConnectionOwner&>(*this));
          this->connections.emplace(connection.get(), connection);
          connection->Start();
        }
        this->Accept();
      });
}

void FakeBackendServer::OnRequest(Connection connection, HttpRequest request) {
  if (const auto answer = this->AnswerOwn(request); answer) {
    connection->Answer(*answer, Delivery::kWhole);
    return;
  }
  if (CrashesOn(this->options.behavior, request)) {
    if (!this->options.crash) {
      _exit(kCrashExitCode);
    }
    this->options.crash();
    return;
  }
  if (this->options.behavior.shed || this->options.behavior.drain) {
    ++this->shed;
    connection->Answer(JsonResponse(503, {{"shed", true}}),
                       this->options.behavior.drain ? Delivery::kWholeThenClose
                                                    : Delivery::kWhole);
    return;
  }
  this->Begin(connection, std::move(request));
}

void FakeBackendServer::OnEnded(Connection connection) {
  this->connections.erase(connection.get());
  if (auto node = this->visits.extract(connection.get()); !node.empty()) {
    ++this->cancelled;
    node.mapped().visit->Cancel();
    this->slots.Leave(node.mapped().ticket, this->options.behavior.slots,
                      Now());
  }
  this->Accept();
}

void FakeBackendServer::Begin(const Connection& connection,
                              HttpRequest request) {
  const FakeBehavior& behavior = this->options.behavior;
  auto visit = std::make_shared<FakeVisit>(
      this->io,
      FakeVisit::Options{
          .service = this->options.service,
          .nested = this->nested_caller ? this->options.nested
                                        : std::vector<NestedCall>(),
          .own_time =
              DrawOwnTime(behavior, Now() - this->started, this->random),
          .fail_status = behavior.fail_status,
          .response_bytes = this->options.response_bytes},
      this->nested_caller.get(), std::move(request));
  this->visits[connection.get()] = {std::move(visit), 0};
  const auto ticket = this->slots.Enter(
      behavior.slots, Now(), [this, connection] { this->Run(connection); });
  this->visits[connection.get()].ticket = ticket;
}

void FakeBackendServer::Run(const Connection& connection) {
  const auto& visit = this->visits[connection.get()].visit;
  // Repeats of reads are harmless; writes are what must not run twice.
  const bool is_write = visit->Request().method != "GET";
  if (const std::string id = visit->RequestId(); is_write && !id.empty()) {
    this->executions.Add(id);
  }
  visit->Start([this, connection](const HttpResponse& response) {
    this->Finish(connection, response);
  });
}

void FakeBackendServer::Finish(const Connection& connection,
                               const HttpResponse& response) {
  ++this->completed;
  auto node = this->visits.extract(connection.get());
  connection->Answer(response, this->options.behavior.reset_mid_body
                                   ? Delivery::kResetMidBody
                                   : Delivery::kWhole);
  this->slots.Leave(node.mapped().ticket, this->options.behavior.slots, Now());
}

std::optional<HttpResponse> FakeBackendServer::AnswerOwn(
    const HttpRequest& request) {
  if (request.target == "/control") {
    return this->Control(request);
  }
  if (request.target == "/control/executions") {
    return JsonResponse(200, this->executions.All());
  }
  if (request.target == "/control/stats") {
    return this->Stats();
  }
  if (request.target == "/health" || request.target == "/load") {
    return this->Report(request.target == "/health");
  }
  return std::nullopt;
}

HttpResponse FakeBackendServer::Control(const HttpRequest& request) {
  if (request.method != "POST") {
    return JsonResponse(405, {{"error", "control with POST"}});
  }
  const double cold_before = this->options.behavior.cold_ms;
  if (auto applied = ApplyControl(request.body, this->options.behavior);
      !applied) {
    return JsonResponse(400, {{"error", applied.error().message}});
  }
  if (this->options.behavior.cold_ms != cold_before) {
    this->started = Now();
  }
  return JsonResponse(200, {{"controlled", true}});
}

HttpResponse FakeBackendServer::Stats() const {
  return JsonResponse(
      200, {{"service", this->options.service},
            {"running", this->slots.Running()},
            {"waiting", this->slots.Waiting()},
            {"completed", this->completed},
            {"cancelled", this->cancelled},
            {"shed", this->shed},
            {"connections", this->connections.size()},
            {"busy_slot_ms", ToMilliseconds(this->slots.BusyTime(Now()))}});
}

HttpResponse FakeBackendServer::Report(bool health) {
  const FakeBehavior& behavior = this->options.behavior;
  const Instant now = Now();
  if (ToMilliseconds(now - this->snapshot.at) >= behavior.report_lag_ms) {
    this->snapshot = {now, this->slots.Running(), this->slots.Waiting(),
                      behavior.drain};
  }
  const LoadSnapshot told = behavior.lie_idle ? LoadSnapshot() : this->snapshot;
  if (health) {
    return JsonResponse(told.drain ? 503 : 200,
                        {{"status", told.drain ? "draining" : "ok"}});
  }
  return JsonResponse(200, {{"running", told.running},
                            {"waiting", told.waiting},
                            {"slots", behavior.slots}});
}

}  // namespace agaterun::fakes
