#include "libraries/decision/ticket_parser.h"

#include <algorithm>
#include <limits>

namespace agaterun::decision {

namespace {

constexpr std::int64_t kMaxSlots = 100'000;
constexpr std::int64_t kMaxConnections = 1'000'000;
constexpr std::int64_t kMaxQueueMilliseconds = 60'000;
constexpr std::int64_t kMaxDeadlineMilliseconds = 600'000;
constexpr std::int64_t kMaxRetries = 10;
constexpr std::int64_t kMinErrorStatus = 400;
constexpr std::int64_t kMaxErrorStatus = 599;
constexpr double kMinWeight = 0.001;
constexpr double kMaxWeight = 1000;
constexpr std::string_view kEndpointPrefix = "endpoint.";
constexpr std::string_view kWeightPrefix = "weight.";

std::vector<std::string> SectionKinds() {
  return {"ticket", "service", "route", "policy"};
}

std::vector<std::string> PolicyNames() {
  return {"shares"};
}

std::vector<std::string> SplitAtWhitespace(std::string_view text) {
  std::vector<std::string> words;
  while (true) {
    const auto start = text.find_first_not_of(" \t");
    if (start == std::string_view::npos) {
      return words;
    }
    text.remove_prefix(start);
    const auto end = std::min(text.find_first_of(" \t"), text.size());
    words.emplace_back(text.substr(0, end));
    text.remove_prefix(end);
  }
}

// Names are used in paths, headers and logs, so they are limited to few
// characters.
bool IsName(std::string_view text) {
  return !text.empty() &&
         std::all_of(text.begin(), text.end(), [](char character) {
           return (character >= 'a' && character <= 'z') ||
                  (character >= 'A' && character <= 'Z') ||
                  (character >= '0' && character <= '9') || character == '-' ||
                  character == '_' || character == '.';
         });
}

bool IsMethod(std::string_view text) {
  return text == "*" ||
         std::all_of(text.begin(), text.end(), [](char character) {
           return character >= 'A' && character <= 'Z';
         });
}

std::vector<std::string> ImportanceNames() {
  std::vector<std::string> words;
  for (const auto& row : kImportanceNames) {
    words.emplace_back(row.name);
  }
  return words;
}

}  // namespace

void TicketParser::Fail(const IniSection& section, std::string message) {
  this->faults.push_back({.section = section.name,
                          .line = section.line,
                          .message = std::move(message)});
}

void TicketParser::Read(bool with_number) {
  if (with_number) {
    this->ReadNumber();
  }
  for (const auto& section : this->document.Sections()) {
    if (with_number && section.name == "ticket") {
      continue;
    }
    this->ReadSection(section);
  }
  // A route may precede its service in the text, so routes are read after all
  // services.
  for (const auto& section : this->document.Sections()) {
    const auto words = SplitAtWhitespace(section.name);
    if (words.size() == 3 && words[0] == "route") {
      this->ReadRoute(section, words[1], words[2]);
    }
  }
  this->SortAndCheckRoutes();
}

void TicketParser::ReadNumber() {
  const IniSection empty{.name = "ticket"};
  const auto* section = this->document.Find("ticket");
  IniSectionReader reader(section == nullptr ? empty : *section, this->faults);
  reader.Require("number", "12");
  if (const auto value =
          reader.Integer("number", 1, std::numeric_limits<std::int64_t>::max());
      value) {
    this->number = static_cast<std::uint64_t>(*value);
  }
  reader.Text("comment");
  reader.Finish();
}

void TicketParser::ReadSection(const IniSection& section) {
  const auto words = SplitAtWhitespace(section.name);
  const auto kind = words.empty() ? "" : words[0];
  const bool is_route = kind == "route";
  if (!is_route && kind != "service" && kind != "policy") {
    const auto suggestion = DidYouMean(kind, SectionKinds());
    this->Fail(section, "unknown section" +
                            (suggestion.empty() ? "; remove it" : suggestion));
    return;
  }
  if (words.size() != (is_route ? 3 : 2)) {
    this->Fail(section, is_route ? "write it as [route SERVICE NAME]"
                                 : "write it as [" + kind + " NAME]");
    return;
  }
  // Exactly one blank, so that equal names have equal texts.
  if (section.name.size() != words[0].size() + 1 + words[1].size() +
                                 (is_route ? 1 + words[2].size() : 0)) {
    this->Fail(section, "more than one blank between words; use one");
  }
  if (!std::all_of(words.begin() + 1, words.end(), IsName)) {
    this->Fail(section,
               "names have letters, digits, '-', '_' and '.' only; rename it");
    return;
  }
  if (kind == "service") {
    this->ReadService(section, words[1]);
  } else if (kind == "policy") {
    this->ReadPolicy(section, words[1]);
  }
}

void TicketParser::ReadService(const IniSection& section,
                               const std::string& name) {
  auto service = std::make_shared<ServiceState>();
  service->name = name;
  this->services.emplace(name, service);
  IniSectionReader reader(section, this->faults);
  if (section.Find("retired") != nullptr) {
    this->ReadRetired(reader, section);
    return;
  }
  reader.Require("slots", "80");
  reader.Require("connections", "570");
  service->slots =
      static_cast<int>(reader.Integer("slots", 1, kMaxSlots).value_or(1));
  service->connections = static_cast<int>(
      reader.Integer("connections", 1, kMaxConnections).value_or(1));
  if (const auto time =
          reader.Integer("queue_time_ms", 0, kMaxQueueMilliseconds);
      time) {
    service->queue_time = std::chrono::milliseconds(*time);
  }
  service->shed_status = static_cast<int>(
      reader.Integer("shed_status", kMinErrorStatus, kMaxErrorStatus)
          .value_or(0));
  for (const auto* entry : reader.StartingWith(kEndpointPrefix)) {
    this->ReadEndpoint(reader, *entry, *service);
  }
  if (reader.StartingWith(kEndpointPrefix).empty()) {
    this->Fail(section,
               "no endpoint; add 'endpoint.NAME = IP:PORT "
               "REGION/FAILURE_DOMAIN', or write 'retired = yes' alone");
  }
  std::sort(service->endpoints.begin(), service->endpoints.end(),
            [](const EndpointState& left, const EndpointState& right) {
              return left.name < right.name;
            });
  reader.Finish();
}

// A retired service stays in force as one without endpoints, because an older
// ticket could bring back a name that was removed.
void TicketParser::ReadRetired(IniSectionReader& reader,
                               const IniSection& section) {
  if (reader.YesOrNo("retired") == std::optional(false)) {
    reader.Fail("retired", "only 'yes' is allowed; remove the key");
  }
  if (section.entries.size() > 1) {
    reader.Fail("retired",
                "a retired service has no other keys; remove them or this one");
  }
}

void TicketParser::ReadEndpoint(IniSectionReader& reader,
                                const IniEntry& entry,
                                ServiceState& service) {
  const auto name = entry.key.substr(kEndpointPrefix.size());
  const auto words = SplitAtWhitespace(entry.value);
  const auto slash = words.size() == 2 ? words[1].find('/') : 0;
  const auto region = words.size() == 2 ? words[1].substr(0, slash) : "";
  const auto domain = words.size() == 2 && slash != std::string::npos
                          ? words[1].substr(slash + 1)
                          : "";
  if (!IsName(name) || !IsName(region) || !IsName(domain)) {
    reader.Fail(entry.key,
                "write it as 'endpoint.NAME = IP:PORT REGION/FAILURE_DOMAIN'");
    return;
  }
  const auto node = NodeAddress::Parse(words[0]);
  if (!node) {
    reader.Fail(entry.key, node.error().message);
    return;
  }
  const auto [earlier, is_new] =
      this->endpoint_by_node.emplace(*node, service.name + " " + name);
  if (!is_new) {
    reader.Fail(entry.key, words[0] + " is the node of endpoint " +
                               earlier->second +
                               "; each endpoint has a node of its own");
    return;
  }
  service.endpoints.push_back({.name = name,
                               .node = *node,
                               .region = region,
                               .failure_domain = domain});
}

void TicketParser::ReadPolicy(const IniSection& section,
                              const std::string& name) {
  const auto names = PolicyNames();
  if (std::find(names.begin(), names.end(), name) == names.end()) {
    const auto suggestion = DidYouMean(name, names);
    this->Fail(section,
               "unknown policy" + (suggestion.empty()
                                       ? "; the only one is [policy shares]"
                                       : suggestion));
    return;
  }
  auto policy = std::make_shared<PolicyState>();
  policy->name = name;
  IniSectionReader reader(section, this->faults);
  policy->retry_budget =
      reader.Number("retry_budget", 0, 1).value_or(policy->retry_budget);
  for (const auto* entry : reader.StartingWith(kWeightPrefix)) {
    const auto share = entry->key.substr(kWeightPrefix.size());
    if (!IsName(share)) {
      reader.Fail(
          entry->key,
          "names have letters, digits, '-', '_' and '.' only; rename it");
    }
    if (const auto weight = reader.Number(entry->key, kMinWeight, kMaxWeight);
        weight) {
      policy->share_weights[share] = *weight;
    }
  }
  reader.Finish();
  this->policies.emplace(name, std::move(policy));
}

void TicketParser::ReadRoute(const IniSection& section,
                             const std::string& service_name,
                             const std::string& name) {
  RouteState route{.name = name, .method = "*"};
  IniSectionReader reader(section, this->faults);
  reader.Require("path", "/drafts");
  route.method = reader.Text("method").value_or("*");
  if (!IsMethod(route.method)) {
    reader.Fail("method", "write a method in capitals, such as GET, or *");
  }
  route.path_prefix = reader.Text("path").value_or("/");
  if (!route.path_prefix.starts_with('/') ||
      route.path_prefix.find_first_of(" \t?#") != std::string::npos) {
    reader.Fail("path",
                "write a path that starts with '/' and has no blank, '?' or "
                "'#'");
  }
  if (const auto importance = reader.OneOf("importance", ImportanceNames());
      importance) {
    route.importance = kImportanceNames[*importance].value;
  }
  route.idempotent = reader.YesOrNo("idempotent").value_or(false);
  if (const auto deadline =
          reader.Integer("deadline_ms", 1, kMaxDeadlineMilliseconds);
      deadline) {
    route.deadline = std::chrono::milliseconds(*deadline);
  }
  route.retries = static_cast<int>(
      reader.Integer("retries", 0, kMaxRetries).value_or(route.retries));
  reader.Finish();
  const auto service = this->services.find(service_name);
  if (service == this->services.end()) {
    this->Fail(section, "no [service " + service_name +
                            "] in this ticket; a ticket carries the whole "
                            "service with all its routes");
    return;
  }
  service->second->routes.push_back(std::move(route));
}

void TicketParser::SortAndCheckRoutes() {
  for (auto& [name, service] : this->services) {
    const auto* section = this->document.Find("service " + name);
    auto& routes = service->routes;
    std::sort(routes.begin(), routes.end(),
              [](const RouteState& left, const RouteState& right) {
                return left.name < right.name;
              });
    const bool is_retired = section->Find("retired") != nullptr;
    if (routes.empty() != is_retired) {
      this->Fail(*section, is_retired
                               ? "a retired service has no routes; remove them"
                               : "no route; add [route " + name + " NAME]");
    }
    std::map<std::pair<std::string, std::string>, std::string> route_by_match;
    for (const auto& route : routes) {
      const auto [earlier, is_new] = route_by_match.emplace(
          std::pair(route.method, route.path_prefix), route.name);
      if (!is_new) {
        this->Fail(*this->document.Find("route " + name + " " + route.name),
                   "route " + earlier->second +
                       " has the same method and path; " +
                       "change one of them");
      }
    }
  }
}

}  // namespace agaterun::decision
