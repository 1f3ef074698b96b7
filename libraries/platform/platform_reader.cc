#include "libraries/platform/platform_reader.h"

#include <algorithm>
#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <atomic>
#include <condition_variable>
#include <mutex>
#include <optional>
#include <thread>
#include <utility>

#include "libraries/base/http_status.h"
#include "libraries/base/log.h"
#include "libraries/platform/platform_responses.h"
#include "libraries/platform/service_connection.h"

namespace agaterun::platform {

namespace {

// A value takes more bytes in JSON than it has, and a page holds several.
constexpr std::size_t kLargestBodyBytes = 4 * kLargestValueBytes;

std::int64_t ToWholeMilliseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

}  // namespace

class PlatformReader::Implementation {
 public:
  Implementation(Options options, PlatformObserver& observer)
      : options(options),
        observer(observer),
        connection(ServiceConnection::Create(
            this->io,
            {.service = options.platform,
             .max_response_bytes = kLargestBodyBytes,
             .without_length =
                 http::ResponseParser::WithoutLength::kEndsWithConnection})) {
    this->thread = std::thread([this] { this->Run(); });
  }

  ~Implementation() {
    {
      const std::lock_guard lock(this->mutex);
      this->stopping = true;
    }
    this->changed.notify_all();
    // Ends the wait of a call.
    asio::post(this->io, [] {});
    this->thread.join();
  }

  void Read(std::uint64_t after_number, bool watch) {
    {
      const std::lock_guard lock(this->mutex);
      this->waiting = Request{.after_number = after_number, .watch = watch};
    }
    this->changed.notify_all();
  }

  std::uint64_t CallCount() const { return this->calls; }

 private:
  struct Request {
    std::uint64_t after_number = 0;
    bool watch = false;
  };

  void Run() {
    while (const auto request = this->NextRequest()) {
      auto last_number = request->after_number;
      const auto done = this->ReadAll(*request, last_number);
      if (this->stopping) {
        break;
      }
      this->NoteReached(done);
      this->observer.OnPlatformReadEnded(done.has_value(), last_number);
    }
  }

  std::optional<Request> NextRequest() {
    std::unique_lock lock(this->mutex);
    this->changed.wait(
        lock, [this] { return this->stopping || this->waiting.has_value(); });
    if (this->stopping) {
      return std::nullopt;
    }
    return std::exchange(this->waiting, std::nullopt);
  }

  // `last_number` rises with what was read, also when a later call fails.
  Result<void> ReadAll(const Request& request, std::uint64_t& last_number) {
    const auto hosts = this->ReadHosts();
    if (!hosts && hosts.error().kind == ErrorKind::kConnectionFailed) {
      return hosts;
    }
    // A host list with a fault must not keep tickets back.
    auto tickets = this->ReadTickets(request, last_number);
    return tickets ? hosts : tickets;
  }

  Result<void> ReadHosts() {
    const auto body = this->Get("/v1/hosts", Duration::zero());
    if (!body) {
      return tl::unexpected(body.error());
    }
    auto hosts = ParseHostList(*body);
    if (!hosts) {
      return tl::unexpected(hosts.error());
    }
    this->observer.OnHostList(std::move(*hosts));
    return {};
  }

  Result<void> ReadTickets(const Request& request, std::uint64_t& last_number) {
    auto wait = request.watch ? this->options.watch_time : Duration::zero();
    auto limit = std::max(1, this->options.tickets_per_read);
    while (!this->stopping) {
      const auto body =
          this->Get("/v1/tickets?after=" + std::to_string(last_number) +
                        "&limit=" + std::to_string(limit) + WaitParameter(wait),
                    wait);
      // Large tickets: the same ones again, fewer at a time.
      if (!body && body.error().kind == ErrorKind::kLimitReached && limit > 1) {
        limit /= 2;
        continue;
      }
      if (!body) {
        return tl::unexpected(body.error());
      }
      auto page = ParseTicketPage(*body, last_number);
      if (!page) {
        return tl::unexpected(page.error());
      }
      const auto count = static_cast<int>(page->size());
      for (auto& ticket : *page) {
        last_number = ticket.number;
        this->observer.OnTicketPublished(std::move(ticket.text));
      }
      if (count < limit) {
        return {};
      }
      wait = Duration::zero();
    }
    return {};
  }

  static std::string WaitParameter(Duration wait) {
    return wait == Duration::zero()
               ? std::string()
               : "&wait_ms=" + std::to_string(ToWholeMilliseconds(wait));
  }

  // One HTTP call. `wait` is how long the platform may hold it.
  Result<std::string> Get(const std::string& path, Duration wait) {
    ++this->calls;
    auto response = this->Call(path, wait);
    if (!response && response.error().kind == ErrorKind::kLimitReached) {
      return MakeError(ErrorKind::kLimitReached,
                       response.error().message + "; issue smaller tickets");
    }
    if (!response) {
      return MakeError(
          ErrorKind::kConnectionFailed,
          response.error().message + "; look at the platform's service");
    }
    if (response->status != http_status::kOk) {
      return MakeError(ErrorKind::kConnectionFailed,
                       "status " + std::to_string(response->status) +
                           "; look at the platform's service");
    }
    return std::move(response->body);
  }

  Result<HttpResponse> Call(const std::string& path, Duration wait) {
    std::optional<Result<HttpResponse>> result;
    this->connection->Get(
        path, this->options.connect_timeout + this->options.read_timeout + wait,
        [&](Result<HttpResponse> response) { result = std::move(response); });
    while (!result && !this->stopping) {
      this->io.restart();
      this->io.run_one();
    }
    if (!result) {
      this->connection->Cancel();
      return MakeError(ErrorKind::kConnectionFailed, "the node stops");
    }
    return *std::move(result);
  }

  // Tells a change once, since an outage can last for thousands of reads.
  void NoteReached(const Result<void>& done) {
    if (this->reached == done.has_value()) {
      return;
    }
    this->reached = done.has_value();
    const auto platform = this->options.platform.ToString();
    if (done) {
      Log(LogEvent::kPlatformReached, {{"platform", platform}});
    } else {
      Log(LogEvent::kPlatformUnreachable,
          {{"platform", platform}, {"reason", done.error().message}});
    }
  }

  const Options options;
  PlatformObserver& observer;
  asio::io_context io{1};  // Of the thread, while it makes a call.
  const std::shared_ptr<ServiceConnection> connection;
  std::optional<bool> reached;  // Nothing was read yet.

  std::mutex mutex;
  std::condition_variable changed;
  std::optional<Request> waiting;
  std::atomic<bool> stopping{false};
  std::atomic<std::uint64_t> calls{0};
  std::thread thread;
};

PlatformReader::PlatformReader(Options options, PlatformObserver& observer)
    : implementation(std::make_unique<Implementation>(options, observer)) {}

PlatformReader::~PlatformReader() = default;

void PlatformReader::Read(std::uint64_t after_number, bool watch) {
  this->implementation->Read(after_number, watch);
}

std::uint64_t PlatformReader::CallCount() const {
  return this->implementation->CallCount();
}

}  // namespace agaterun::platform
