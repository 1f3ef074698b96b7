#include "libraries/operator/admin_server.h"

#include <httplib.h>

#include <thread>

#include "libraries/base/log.h"

namespace agaterun::operator_interface {

namespace {

constexpr int kThreads = 2;
constexpr std::size_t kLargestRequestBytes = 4096;

}  // namespace

class AdminServer::Implementation {
 public:
  explicit Implementation(AdminSource& source) : source(source) {
    this->server.new_task_queue = [] {
      return new httplib::ThreadPool(kThreads);
    };
    this->server.set_payload_max_length(kLargestRequestBytes);
    // One slow reader must not hold one of the few threads for long.
    this->server.set_keep_alive_max_count(1);
    this->AddRoutes();
  }

  ~Implementation() {
    this->server.stop();
    if (this->thread.joinable()) {
      this->thread.join();
    }
  }

  Implementation(const Implementation&) = delete;
  Implementation& operator=(const Implementation&) = delete;

  bool Listen(NodeAddress address) {
    if (!this->server.bind_to_port(address.IpToString(), address.port)) {
      return false;
    }
    this->thread = std::thread([this] { this->server.listen_after_bind(); });
    return true;
  }

 private:
  void AddRoutes() {
    this->Get("/health", "text/plain",
              [this] { return this->source.Health() + "\n"; });
    this->Get("/state", "application/json",
              [this] { return this->source.StateDump(); });
    this->Get("/tickets", "application/json",
              [this] { return this->source.TicketsInForce(); });
    this->Get("/metrics", "text/plain; version=0.0.4",
              [this] { return this->source.Metrics(); });
    this->server.set_error_handler(&Implementation::Refuse);
  }

  void Get(const char* path,
           const char* type,
           std::function<std::string()> read) {
    this->server.Get(
        path, [read = std::move(read), type](const httplib::Request&,
                                             httplib::Response& response) {
          response.set_content(read(), type);
        });
  }

  static void Refuse(const httplib::Request& request,
                     httplib::Response& response) {
    Log(LogEvent::kOperatorRequestRefused,
        {{"method", request.method}, {"path", request.path}});
    response.set_content(
        "This API only reads: GET /health, /state, /tickets or /metrics. To "
        "change anything, issue the next change ticket.\n",
        "text/plain");
  }

  AdminSource& source;
  httplib::Server server;
  std::thread thread;
};

AdminServer::AdminServer(std::unique_ptr<Implementation> implementation)
    : implementation(std::move(implementation)) {}

AdminServer::~AdminServer() = default;

Result<std::unique_ptr<AdminServer>> AdminServer::Create(Options options,
                                                         AdminSource& source) {
  auto implementation = std::make_unique<Implementation>(source);
  if (!implementation->Listen(options.listen)) {
    return MakeError(ErrorKind::kInputOutput,
                     "can't listen on " + options.listen.ToString() +
                         " for operators; free it or change address in "
                         "[operator]");
  }
  return std::unique_ptr<AdminServer>(
      new AdminServer(std::move(implementation)));
}

}  // namespace agaterun::operator_interface
