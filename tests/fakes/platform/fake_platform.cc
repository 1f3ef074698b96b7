#include "tests/fakes/platform/fake_platform.h"

#include <algorithm>
#include <charconv>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <optional>

#include "libraries/base/clock.h"

namespace agaterun::fakes {

namespace {

using Json = nlohmann::json;

constexpr int kThreads = 128;  // A watch holds one.
constexpr Duration kFilePollInterval = 100ms;
constexpr Duration kSlowStep = 10ms;
constexpr const char* kJsonType = "application/json";

std::uint64_t NumberParameter(const httplib::Request& request,
                              const char* name,
                              std::uint64_t fallback) {
  const auto text = request.get_param_value(name);
  std::uint64_t number = fallback;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

// The number that a ticket's text names, by its first line `number = N`.
std::optional<std::uint64_t> NumberOfTicket(const std::string& text) {
  const auto key = text.find("number");
  const auto digits = text.find_first_of("0123456789", key);
  std::uint64_t number = 0;
  if (key == std::string::npos || digits == std::string::npos) {
    return std::nullopt;
  }
  std::from_chars(text.data() + digits, text.data() + text.size(), number);
  return number;
}

std::string ReadFile(const std::filesystem::path& path) {
  std::ifstream file(path, std::ios::binary);
  return {std::istreambuf_iterator<char>(file), {}};
}

}  // namespace

FakePlatform::FakePlatform(Options options)
    : options(std::move(options)), values(this->options.host_list_lag) {
  this->ReadFiles();
  this->server.new_task_queue = [] {
    return new httplib::ThreadPool(kThreads);
  };
  this->server.set_keep_alive_max_count(1'000'000);
  this->AddRoutes();
  const auto port =
      this->options.port == 0
          ? this->server.bind_to_any_port(this->options.ip)
          : (this->server.bind_to_port(this->options.ip, this->options.port)
                 ? this->options.port
                 : 0);
  const auto bound =
      NodeAddress::Parse(this->options.ip + ":" + std::to_string(port));
  if (!bound) {
    return;
  }
  this->address = *bound;
  this->serving = std::thread([this] { this->server.listen_after_bind(); });
  if (!this->options.tickets.empty() || !this->options.hosts.empty()) {
    this->watching = std::thread([this] { this->WatchFiles(); });
  }
}

FakePlatform::~FakePlatform() {
  this->stopping = true;
  this->values.Stop();
  if (this->serving.joinable()) {
    // A stop before the server runs would be lost.
    while (!this->server.is_running()) {
      std::this_thread::yield();
    }
    this->server.stop();
    this->serving.join();
  }
  if (this->watching.joinable()) {
    this->watching.join();
  }
}

void FakePlatform::PublishTicket(std::uint64_t number, std::string text) {
  this->values.PublishTicket(number, std::move(text));
}

void FakePlatform::PublishHosts(std::string json) {
  this->values.PublishHosts(std::move(json));
}

void FakePlatform::SetFault(PlatformFault fault) {
  this->values.SetStale(fault == PlatformFault::kStale);
  this->fault = fault;
}

void FakePlatform::AddRoutes() {
  this->AddRead("/v1/tickets", &FakePlatform::ServeTickets);
  this->AddRead("/v1/hosts", &FakePlatform::ServeHosts);
  this->server.Post("/control/tickets",
                    [this](const auto& request, auto& response) {
                      this->TakeTicket(request, response);
                    });
  this->server.Post("/control/hosts", [this](const auto& request, auto&) {
    this->PublishHosts(request.body);
  });
  this->server.Post("/control/fault",
                    [this](const auto& request, auto& response) {
                      this->TakeFault(request, response);
                    });
  this->server.Get("/control/stats", [this](const auto&, auto& response) {
    const Json stats = {{"reads", this->reads.load()},
                        {"refused", this->refused.load()}};
    response.set_content(stats.dump(), kJsonType);
  });
}

void FakePlatform::AddRead(const char* path, Handler handler) {
  this->server.Get(path, [this, handler](const auto& request, auto& response) {
    ++this->reads;
    if (!this->IsWithinRate()) {
      ++this->refused;
      response.status = 429;
      return;
    }
    if (!this->AnswerFault(response)) {
      (this->*handler)(request, response);
    }
  });
}

bool FakePlatform::IsWithinRate() {
  const auto now = MonotonicClock().Now();
  const std::lock_guard lock(this->rate_mutex);
  if (now - this->window_start >= 1s) {
    this->window_start = now;
    this->window_reads = 0;
  }
  return ++this->window_reads <= this->options.reads_per_second;
}

bool FakePlatform::AnswerFault(httplib::Response& response) {
  switch (this->fault.load()) {
    case PlatformFault::kOk:
    case PlatformFault::kStale:
      return false;
    case PlatformFault::kError:
      response.status = 500;
      return true;
    case PlatformFault::kDown:
      // Promises a body and breaks off: the client sees a cut connection.
      response.set_content_provider(
          1, kJsonType,
          [](std::size_t, std::size_t, httplib::DataSink&) { return false; });
      return true;
    case PlatformFault::kSlow:
      break;
  }
  const auto until = MonotonicClock().Now() + this->options.slow_time;
  while (!this->stopping && this->fault == PlatformFault::kSlow &&
         MonotonicClock().Now() < until) {
    std::this_thread::sleep_for(kSlowStep);
  }
  return false;
}

void FakePlatform::ServeTickets(const httplib::Request& request,
                                httplib::Response& response) {
  const auto page = this->values.TicketsAfter(
      NumberParameter(request, "after", 0),
      NumberParameter(request, "limit", 64),
      std::chrono::milliseconds(NumberParameter(request, "wait_ms", 0)));
  Json tickets = Json::array();
  for (const auto& [number, text] : page) {
    tickets.push_back({{"number", number}, {"text", text}});
  }
  const Json body = {{"last", this->values.LastNumber()},
                     {"tickets", std::move(tickets)}};
  response.set_content(
      body.dump(-1, ' ', false, Json::error_handler_t::replace), kJsonType);
}

void FakePlatform::ServeHosts(const httplib::Request&,
                              httplib::Response& response) {
  response.set_content(this->values.Hosts(), kJsonType);
}

void FakePlatform::TakeTicket(const httplib::Request& request,
                              httplib::Response& response) {
  const auto number = NumberOfTicket(request.body);
  if (!number) {
    response.status = 400;
    response.set_content("the ticket names no number\n", "text/plain");
    return;
  }
  this->PublishTicket(*number, request.body);
}

void FakePlatform::TakeFault(const httplib::Request& request,
                             httplib::Response& response) {
  const auto body = Json::parse(request.body, nullptr, false);
  const auto mode = body.is_object() ? body.value("mode", "") : std::string();
  const auto fault = FromName(kPlatformFaultNames, mode);
  if (!fault) {
    response.status = 400;
    response.set_content("mode is ok, down, stale, slow or error\n",
                         "text/plain");
    return;
  }
  this->SetFault(*fault);
}

void FakePlatform::ReadFiles() {
  const auto is_news = [&](const std::filesystem::path& path) {
    std::error_code error;
    const auto written = std::filesystem::last_write_time(path, error);
    return !error && std::exchange(this->files_read[path], written) != written;
  };
  std::error_code ignored;
  for (const auto& entry :
       std::filesystem::directory_iterator(this->options.tickets, ignored)) {
    const auto& path = entry.path();
    std::uint64_t number = 0;
    const auto name = path.stem().string();
    std::from_chars(name.data(), name.data() + name.size(), number);
    if (path.extension() == ".ini" && number > 0 && is_news(path)) {
      this->PublishTicket(number, ReadFile(path));
    }
  }
  if (!this->options.hosts.empty() && is_news(this->options.hosts)) {
    this->PublishHosts(ReadFile(this->options.hosts));
  }
}

void FakePlatform::WatchFiles() {
  while (!this->stopping) {
    this->ReadFiles();
    std::this_thread::sleep_for(kFilePollInterval);
  }
}

}  // namespace agaterun::fakes
