#include "libraries/decision/ticket_text.h"

#include <charconv>
#include <chrono>

namespace agaterun::decision {

namespace {

void WriteSection(std::string& text, const std::string& name) {
  text += "[" + name + "]\n";
}

void WriteKey(std::string& text,
              const std::string& key,
              std::string_view value) {
  text += key;
  text += " = ";
  text += value;
  text += '\n';
}

void WriteKey(std::string& text, const std::string& key, std::int64_t value) {
  WriteKey(text, key, std::to_string(value));
}

void WriteKey(std::string& text, const std::string& key, Duration value) {
  WriteKey(
      text, key,
      std::chrono::duration_cast<std::chrono::milliseconds>(value).count());
}

// Writes the shortest text that parses to the same number.
void WriteKey(std::string& text, const std::string& key, double value) {
  char buffer[32];
  const auto [end, error] =
      std::to_chars(buffer, buffer + sizeof(buffer), value);
  WriteKey(text, key,
           std::string_view(buffer, error == std::errc() ? end : buffer));
}

void WriteRoute(std::string& text,
                const std::string& service,
                const RouteState& route) {
  WriteSection(text, "route " + service + " " + route.name);
  WriteKey(text, "method", route.method);
  WriteKey(text, "path", route.path_prefix);
  WriteKey(text, "importance", NameOf(kImportanceNames, route.importance));
  WriteKey(text, "idempotent",
           std::string_view(route.idempotent ? "yes" : "no"));
  WriteKey(text, "deadline_ms", route.deadline);
  WriteKey(text, "retries", std::int64_t{route.retries});
}

}  // namespace

std::string CanonicalText(const ServiceState& service) {
  std::string text;
  WriteSection(text, ItemNameOf(service));
  if (service.endpoints.empty()) {
    WriteKey(text, "retired", std::string_view("yes"));
    return text;
  }
  WriteKey(text, "slots", std::int64_t{service.slots});
  WriteKey(text, "connections", std::int64_t{service.connections});
  WriteKey(text, "queue_time_ms", service.queue_time);
  if (service.shed_status != 0) {
    WriteKey(text, "shed_status", std::int64_t{service.shed_status});
  }
  for (const auto& endpoint : service.endpoints) {
    WriteKey(text, "endpoint." + endpoint.name,
             endpoint.node.ToString() + " " + endpoint.region + "/" +
                 endpoint.failure_domain);
  }
  for (const auto& route : service.routes) {
    WriteRoute(text, service.name, route);
  }
  return text;
}

std::string CanonicalText(const PolicyState& policy) {
  std::string text;
  WriteSection(text, ItemNameOf(policy));
  WriteKey(text, "retry_budget", policy.retry_budget);
  for (const auto& [share, weight] : policy.share_weights) {
    WriteKey(text, "weight." + share, weight);
  }
  return text;
}

std::string ItemNameOf(const ServiceState& service) {
  return "service " + service.name;
}

std::string ItemNameOf(const PolicyState& policy) {
  return "policy " + policy.name;
}

}  // namespace agaterun::decision
