#include <httplib.h>

#include <cstdio>
#include <nlohmann/json.hpp>

#include "libraries/decision/ticket.h"
#include "libraries/decision/ticket_diff.h"
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

// The state that a node's /tickets describes, or nothing when it is none.
std::optional<decision::TicketState> ReadTicketsInForce(
    const std::string& text) {
  const auto tickets = nlohmann::json::parse(text, nullptr, false);
  if (!tickets.is_object() || !tickets.contains("items")) {
    return std::nullopt;
  }
  decision::TicketState state;
  for (const auto& row : tickets.at("items")) {
    auto item = decision::ParseTicketItem({.name = row.at("name"),
                                           .number = row.at("number"),
                                           .text = row.at("text")});
    if (!item) {
      return std::nullopt;
    }
    state.items[item->name] = std::move(*item);
  }
  return state;
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
  const auto in_force =
      response ? ReadTicketsInForce(response->body) : std::nullopt;
  if (!in_force) {
    std::fprintf(stderr,
                 "agaterun ticket: no tickets from %s; check that the node "
                 "runs and that this is its administration address\n",
                 node_text.c_str());
    return kFailure;
  }
  for (const auto& line : decision::DiffTicket(*in_force, *ticket)) {
    std::puts(line.c_str());
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
