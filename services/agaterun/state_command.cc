#include <httplib.h>

#include <cstdio>

#include "services/agaterun/command.h"

namespace agaterun {

int RunState(int argc, const char** argv) {
  char* path = nullptr;
  const poptOption options[] = {
      {"path", 'p', POPT_ARG_STRING, &path, 0,
       "what to read: /state (default), /tickets, /metrics or /health", "PATH"},
      POPT_AUTOHELP POPT_TABLEEND};
  const PoptContext context(
      poptGetContext("agaterun state", argc, argv, options, 0),
      &poptFreeContext);
  poptSetOtherOptionHelp(context.get(), "[OPTION...] NODE");
  if (!ParseOptions(context.get(), "state")) {
    return kUsage;
  }
  const auto arguments = RemainingArguments(context.get());
  if (arguments.size() != 1) {
    std::fputs("agaterun state: name one node as IP:PORT\n", stderr);
    return kUsage;
  }
  const auto node = NodeAddress::Parse(arguments.front());
  if (!node) {
    std::fprintf(stderr, "agaterun state: %s\n", node.error().message.c_str());
    return kUsage;
  }
  httplib::Client client(node->IpToString(), node->port);
  const auto response = client.Get(path == nullptr ? "/state" : path);
  if (!response) {
    std::fprintf(stderr,
                 "agaterun state: no answer from %s; check that the node runs "
                 "and that this is its administration address\n",
                 arguments.front().c_str());
    return kFailure;
  }
  std::fputs(response->body.c_str(), stdout);
  return response->status == 200 ? kSuccess : kFailure;
}

}  // namespace agaterun
