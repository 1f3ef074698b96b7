#include <csignal>
#include <cstdio>
#include <cstring>

#include "services/agaterun/command.h"

namespace agaterun {

namespace {

constexpr char kHelp[] =
    "Usage: agaterun COMMAND [OPTION...]\n"
    "\n"
    "Works with nodes of agaterun. Operators change what runs by issuing the\n"
    "next change ticket to the platform; nothing here writes to a node.\n"
    "\n"
    "Commands:\n"
    "  ticket check FILE        check a change ticket; name every fault\n"
    "  ticket diff FILE NODE    show what a ticket would change at a node\n"
    "  state NODE               print the whole state of a node as JSON\n"
    "  call NODE METHOD TARGET  send one request, with a binding if it needs "
    "one\n"
    "  load                     send a load and report goodput and recovery\n"
    "  version                  print the version\n"
    "\n"
    "NODE is IP:PORT: of the administration API for ticket and state, of the\n"
    "caller listener for call. `agaterun COMMAND --help` lists the options.\n"
    "\n"
    "Exit codes:\n"
    "  0  done: the check passed, the request completed\n"
    "  1  the node refused (the request was not run) or can't be reached\n"
    "  2  the command line is wrong\n"
    "  3  a file that was named has faults\n"
    "  4  call: the outcome is unknown; the request may have run\n";

struct Command {
  const char* name;
  int (*run)(int argc, const char** argv);
};

constexpr Command kCommands[] = {
    {"call", &RunCall},
    {"load", &RunLoad},
    {"state", &RunState},
    {"ticket", &RunTicket},
};

int Main(int argc, const char** argv) {
  // A node that closes early is an error code of the write, not a signal.
  std::signal(SIGPIPE, SIG_IGN);
  if (argc < 2) {
    std::fputs(kHelp, stderr);
    return kUsage;
  }
  const char* name = argv[1];
  if (std::strcmp(name, "version") == 0 ||
      std::strcmp(name, "--version") == 0) {
    std::puts("agaterun " AGATERUN_VERSION);
    return kSuccess;
  }
  if (std::strcmp(name, "help") == 0 || std::strcmp(name, "--help") == 0 ||
      std::strcmp(name, "-h") == 0) {
    std::fputs(kHelp, stdout);
    return kSuccess;
  }
  for (const auto& command : kCommands) {
    if (std::strcmp(name, command.name) == 0) {
      return command.run(argc - 1, argv + 1);
    }
  }
  std::fprintf(stderr, "agaterun: unknown command '%s'; see agaterun --help\n",
               name);
  return kUsage;
}

}  // namespace

}  // namespace agaterun

int main(int argc, const char** argv) {
  return agaterun::Main(argc, argv);
}
