#include <popt.h>
#include <unistd.h>

#include <csignal>
#include <cstdio>
#include <memory>
#include <string>

#include "tests/fakes/platform/fake_platform.h"

namespace agaterun::fakes {
namespace {

struct Arguments {
  std::string listen = "127.0.0.1:0";
  std::string tickets;
  std::string hosts;
  int lag_ms = 0;
};

// Nothing when the arguments are wrong; popt has said why.
std::optional<Arguments> ParseArguments(int argc, const char** argv) {
  char* listen = nullptr;
  char* tickets = nullptr;
  char* hosts = nullptr;
  Arguments arguments;
  const poptOption table[] = {
      {"listen", 'l', POPT_ARG_STRING, &listen, 0,
       "Address; port 0 takes a free one", "IP:PORT"},
      {"tickets", 't', POPT_ARG_STRING, &tickets, 0, "Folder of NNN.ini files",
       "DIR"},
      {"hosts", 'h', POPT_ARG_STRING, &hosts, 0, "File with the host list",
       "FILE"},
      {"lag-ms", 0, POPT_ARG_INT, &arguments.lag_ms, 0,
       "Milliseconds by which the host list lags", "MS"},
      POPT_AUTOHELP POPT_TABLEEND};
  poptContext context = poptGetContext("fake_platform", argc, argv, table, 0);
  const int code = poptGetNextOpt(context);
  const bool valid = code == -1 && poptPeekArg(context) == nullptr;
  if (!valid) {
    poptPrintUsage(context, stderr, 0);
  }
  poptFreeContext(context);
  const auto take = [](char* text, std::string& into) {
    if (text != nullptr) {
      into = text;
      std::free(text);
    }
  };
  take(listen, arguments.listen);
  take(tickets, arguments.tickets);
  take(hosts, arguments.hosts);
  return valid ? std::optional(arguments) : std::nullopt;
}

int Run(const Arguments& arguments) {
  // Blocked before any thread starts, so that only sigwait sees them.
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGTERM);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);

  const auto colon = arguments.listen.find(':');
  const auto port_text =
      colon == std::string::npos ? "" : arguments.listen.substr(colon + 1);
  const FakePlatform platform(
      {.ip = arguments.listen.substr(0, colon),
       .port = std::atoi(port_text.c_str()),
       .tickets = arguments.tickets,
       .hosts = arguments.hosts,
       .host_list_lag = std::chrono::milliseconds(arguments.lag_ms)});
  if (platform.Address().port == 0) {
    std::fprintf(stderr, "can't listen on %s; free it or take another\n",
                 arguments.listen.c_str());
    return 1;
  }
  std::printf("listening on %s\n", platform.Address().ToString().c_str());
  std::fflush(stdout);
  int signal = 0;
  sigwait(&signals, &signal);
  return 0;
}

}  // namespace
}  // namespace agaterun::fakes

int main(int argc, char** argv) {
  const auto arguments =
      agaterun::fakes::ParseArguments(argc, const_cast<const char**>(argv));
  return arguments ? agaterun::fakes::Run(*arguments) : 2;
}
