#include <popt.h>

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <csignal>
#include <cstdio>
#include <memory>
#include <string>

#include "tests/fakes/backend_server/fake_backend_server.h"

namespace agaterun::fakes {

namespace {

constexpr int kFailure = 1;
constexpr int kUsage = 2;

// Command line as popt fills it. Texts stay with popt.
struct Arguments {
  const char* listen = "127.0.0.1:8080";
  const char* service = "fake";
  const char* distribution = "exponential";
  const char* nested = "";
  const char* nested_address = "";
  int slots = 100;
  int connections = 1024;
  double service_ms = 10;
  double cold_ms = 0;
  double report_lag_ms = 0;
  int fail_status = 0;
  int response_bytes = 0;
  int seed = 1;
};

Result<FakeBackendServer::Options> ToOptions(const Arguments& arguments) {
  FakeBackendServer::Options options = {
      .service = arguments.service,
      .connections = arguments.connections,
      .nested = ReadNestedCalls(arguments.nested),
      .response_bytes = static_cast<std::size_t>(arguments.response_bytes),
      .seed = static_cast<std::uint64_t>(arguments.seed)};
  options.behavior = {.service_ms = arguments.service_ms,
                      .slots = arguments.slots,
                      .fail_status = arguments.fail_status,
                      .cold_ms = arguments.cold_ms,
                      .report_lag_ms = arguments.report_lag_ms};
  const auto listen = NodeAddress::Parse(arguments.listen);
  if (!listen) {
    return tl::unexpected(listen.error());
  }
  options.listen = *listen;
  if (*arguments.nested_address != '\0') {
    const auto nested = NodeAddress::Parse(arguments.nested_address);
    if (!nested) {
      return tl::unexpected(nested.error());
    }
    options.nested_address = *nested;
  }
  const auto distribution =
      FromName(kDistributionNames, arguments.distribution);
  if (!distribution) {
    return MakeError(ErrorKind::kInvalidArgument,
                     "--distribution is 'exponential' or 'fixed'");
  }
  options.behavior.distribution = *distribution;
  return options;
}

int Serve(const Arguments& arguments) {
  auto options = ToOptions(arguments);
  if (!options) {
    std::fprintf(stderr, "fake_backend_server: %s\n",
                 options.error().message.c_str());
    return kUsage;
  }
  asio::io_context io;
  const auto server = FakeBackendServer::Create(io, *std::move(options));
  if (!server) {
    std::fprintf(stderr, "fake_backend_server: %s\n",
                 server.error().message.c_str());
    return kFailure;
  }
  asio::signal_set signals(io, SIGINT, SIGTERM);
  signals.async_wait([&io](const std::error_code&, int) { io.stop(); });
  io.run();
  return 0;
}

}  // namespace

int Main(int argc, const char** argv) {
  Arguments arguments;
  const poptOption options[] = {
      {"listen", 'l', POPT_ARG_STRING, &arguments.listen, 0, "where to listen",
       "IP:PORT"},
      {"service", 's', POPT_ARG_STRING, &arguments.service, 0,
       "name in answers", "NAME"},
      {"slots", 0, POPT_ARG_INT, &arguments.slots, 0,
       "requests that run at once", "N"},
      {"connections", 0, POPT_ARG_INT, &arguments.connections, 0,
       "connections taken at once", "N"},
      {"service-ms", 0, POPT_ARG_DOUBLE, &arguments.service_ms, 0,
       "mean own time of a request", "MS"},
      {"distribution", 0, POPT_ARG_STRING, &arguments.distribution, 0,
       "of own times: exponential or fixed", "NAME"},
      {"nested", 0, POPT_ARG_STRING, &arguments.nested, 0,
       "nested calls of each request: [METHOD:]SERVICE/PATH,...", "LIST"},
      {"nested-address", 0, POPT_ARG_STRING, &arguments.nested_address, 0,
       "node that takes nested calls", "IP:PORT"},
      {"fail-status", 0, POPT_ARG_INT, &arguments.fail_status, 0,
       "status of all answers", "STATUS"},
      {"cold-ms", 0, POPT_ARG_DOUBLE, &arguments.cold_ms, 0,
       "time that it is slow after the start", "MS"},
      {"report-lag-ms", 0, POPT_ARG_DOUBLE, &arguments.report_lag_ms, 0,
       "age that /health and /load may have", "MS"},
      {"answer-bytes", 0, POPT_ARG_INT, &arguments.response_bytes, 0,
       "padding of answers", "N"},
      {"seed", 0, POPT_ARG_INT, &arguments.seed, 0, "of random own times", "N"},
      POPT_AUTOHELP POPT_TABLEEND};
  const std::unique_ptr<poptContext_s, decltype(&poptFreeContext)> context(
      poptGetContext("fake_backend_server", argc, argv, options, 0),
      &poptFreeContext);
  if (const int parsed = poptGetNextOpt(context.get()); parsed < -1) {
    std::fprintf(stderr, "fake_backend_server: %s: %s; see --help\n",
                 poptBadOption(context.get(), 0), poptStrerror(parsed));
    return kUsage;
  }
  return Serve(arguments);
}

}  // namespace agaterun::fakes

int main(int argc, const char** argv) {
  return agaterun::fakes::Main(argc, argv);
}
