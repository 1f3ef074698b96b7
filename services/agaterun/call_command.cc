#include <asio/io_context.hpp>
#include <cstdio>

#include "libraries/client/caller_client.h"
#include "services/agaterun/command.h"

namespace agaterun {

namespace {

struct CallOptions {
  char* body = nullptr;
  char* share = nullptr;
  int idempotent = 0;
  int resends = 0;
  int timeout_ms = 1000;
};

int ExitCodeOf(decision::Outcome outcome) {
  switch (outcome) {
    case decision::Outcome::kCompleted:
      return kSuccess;
    case decision::Outcome::kNotRun:
      return kFailure;
    case decision::Outcome::kUnknown:
      return kUnknownOutcome;
  }
  return kUnknownOutcome;
}

client::CallerRequest MakeRequest(const CallOptions& options,
                                  const std::string& method,
                                  const std::string& target) {
  client::CallerRequest request{
      .request = {.method = method,
                  .target = target,
                  .headers = {},
                  .body = options.body == nullptr ? "" : options.body},
      .idempotent = options.idempotent != 0 || method == "GET",
      .timeout = std::chrono::milliseconds(options.timeout_ms),
      .resends = options.resends,
      .resend_policy = client::ResendPolicy::kHonourRetryAfter};
  if (options.share != nullptr) {
    request.request.headers.push_back({"Agaterun-Share", options.share});
  }
  return request;
}

}  // namespace

int RunCall(int argc, const char** argv) {
  CallOptions call;
  const poptOption options[] = {
      {"body", 'b', POPT_ARG_STRING, &call.body, 0, "body of the request",
       "TEXT"},
      {"share", 's', POPT_ARG_STRING, &call.share, 0,
       "team or caller that is charged", "NAME"},
      {"idempotent", 'i', POPT_ARG_NONE, &call.idempotent, 0,
       "send without a binding, as GET always is", nullptr},
      {"resends", 'r', POPT_ARG_INT, &call.resends, 0,
       "resends when refused, each after the time that the answer asks", "N"},
      {"timeout", 't', POPT_ARG_INT | POPT_ARGFLAG_SHOW_DEFAULT,
       &call.timeout_ms, 0, "longest wait in milliseconds", "MS"},
      POPT_AUTOHELP POPT_TABLEEND};
  const PoptContext context(
      poptGetContext("agaterun call", argc, argv, options, 0),
      &poptFreeContext);
  poptSetOtherOptionHelp(context.get(), "[OPTION...] NODE METHOD TARGET");
  if (!ParseOptions(context.get(), "call")) {
    return kUsage;
  }
  const auto arguments = RemainingArguments(context.get());
  if (arguments.size() != 3 || !arguments[2].starts_with('/')) {
    std::fputs(
        "agaterun call: write NODE METHOD TARGET, for instance `agaterun call "
        "127.0.0.1:8080 GET /drafts/drafts/7`\n",
        stderr);
    return kUsage;
  }
  const auto node = NodeAddress::Parse(arguments[0]);
  if (!node) {
    std::fprintf(stderr, "agaterun call: %s\n", node.error().message.c_str());
    return kUsage;
  }
  asio::io_context io;
  client::CallerClient client(io, {.nodes = {*node}});
  int exit_code = kUnknownOutcome;
  client.Call(MakeRequest(call, arguments[1], arguments[2]),
              [&](const client::CallerResult& result) {
                exit_code = ExitCodeOf(result.outcome);
                std::fprintf(
                    stderr, "outcome %s, status %d, %d sent, %.2f ms%s%s\n",
                    std::string(NameOf(decision::kOutcomeNames, result.outcome))
                        .c_str(),
                    result.response.status, result.sends,
                    ToMilliseconds(result.latency),
                    result.reason.empty() ? "" : ", reason ",
                    result.reason.c_str());
                std::fputs(result.response.body.c_str(), stdout);
                io.stop();
              });
  io.run();
  return exit_code;
}

}  // namespace agaterun
