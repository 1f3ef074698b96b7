#include <httplib.h>

#include <cstdio>
#include <nlohmann/json.hpp>

#include "libraries/decision/ticket.h"
#include "services/agaterun/command.h"

namespace agaterun {

namespace {

using decision::ParseTicket;
using decision::Ticket;

std::optional<Ticket> ReadTicket(const std::string& path) {
  const auto text = ReadFile(path);
  if (!text) {
    std::fprintf(stderr, "agaterun ticket: %s\n", text.error().message.c_str());
    return std::nullopt;
  }
  auto ticket = ParseTicket(*text);
  if (!ticket) {
    for (const auto& [line, message] : ticket.error()) {
      std::fprintf(stderr, "%s:%d: %s\n", path.c_str(), line, message.c_str());
    }
    return std::nullopt;
  }
  return *ticket;
}

int Check(const std::string& path) {
  const auto ticket = ReadTicket(path);
  if (!ticket) {
    return kBadInput;
  }
  std::printf("ticket %lu is right; it sets:\n",
              static_cast<unsigned long>(ticket->number));
  for (const auto& item : ticket->items) {
    std::printf("  %s\n", item.name.c_str());
  }
  return kSuccess;
}

// Number in force of the item called `name`, or nothing.
std::optional<std::uint64_t> NumberInForce(const nlohmann::json& tickets,
                                           const std::string& name) {
  for (const auto& item : tickets.at("items")) {
    if (item.at("name") == name) {
      return item.at("number").get<std::uint64_t>();
    }
  }
  return std::nullopt;
}

int Diff(const std::string& path, const std::string& node_text) {
  const auto ticket = ReadTicket(path);
  if (!ticket) {
    return kBadInput;
  }
  const auto node = NodeAddress::Parse(node_text);
  if (!node) {
    std::fprintf(stderr, "agaterun ticket: %s\n", node.error().message.c_str());
    return kUsage;
  }
  httplib::Client client(node->IpToString(), node->port);
  const auto response = client.Get("/tickets");
  const auto tickets =
      response ? nlohmann::json::parse(response->body, nullptr, false)
               : nlohmann::json();
  if (!tickets.is_object() || !tickets.contains("items")) {
    std::fprintf(stderr,
                 "agaterun ticket: no tickets from %s; check that the node "
                 "runs and that this is its administration address\n",
                 node_text.c_str());
    return kFailure;
  }
  for (const auto& item : ticket->items) {
    const auto in_force = NumberInForce(tickets, item.name);
    if (!in_force) {
      std::printf("+ %s: new with ticket %lu\n", item.name.c_str(),
                  static_cast<unsigned long>(item.number));
    } else if (*in_force >= item.number) {
      std::printf("= %s: ticket %lu is in force; %lu would change nothing\n",
                  item.name.c_str(), static_cast<unsigned long>(*in_force),
                  static_cast<unsigned long>(item.number));
    } else {
      std::printf("~ %s: ticket %lu replaces %lu\n", item.name.c_str(),
                  static_cast<unsigned long>(item.number),
                  static_cast<unsigned long>(*in_force));
    }
  }
  return kSuccess;
}

}  // namespace

int RunTicket(int argc, const char** argv) {
  const poptOption options[] = {POPT_AUTOHELP POPT_TABLEEND};
  const PoptContext context(
      poptGetContext("agaterun ticket", argc, argv, options, 0),
      &poptFreeContext);
  poptSetOtherOptionHelp(context.get(), "check FILE | diff FILE NODE");
  if (!ParseOptions(context.get(), "ticket")) {
    return kUsage;
  }
  const auto arguments = RemainingArguments(context.get());
  if (arguments.size() == 2 && arguments[0] == "check") {
    return Check(arguments[1]);
  }
  if (arguments.size() == 3 && arguments[0] == "diff") {
    return Diff(arguments[1], arguments[2]);
  }
  std::fputs(
      "agaterun ticket: write `agaterun ticket check FILE` or `agaterun "
      "ticket diff FILE NODE`\n",
      stderr);
  return kUsage;
}

}  // namespace agaterun
