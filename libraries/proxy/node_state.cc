#include "libraries/proxy/node_state.h"

#include <nlohmann/json.hpp>

namespace agaterun::proxy {

namespace {

nlohmann::json RetriesToJson(
    const std::vector<retries::RetryQuota::Use>& uses) {
  nlohmann::json services = nlohmann::json::array();
  for (const auto& use : uses) {
    services.push_back({{"service", use.service},
                        {"window_requests", use.requests},
                        {"window_retries", use.retries},
                        {"available", use.available},
                        {"granted", use.granted},
                        {"denied", use.denied}});
  }
  return services;
}

}  // namespace

std::string NodeState::ToJson() const {
  nlohmann::json listed = nlohmann::json::array();
  for (const auto& [address, node] : this->nodes) {
    listed.push_back({{"node", address.ToString()},
                      {"service", node.service},
                      {"failure_domain", node.failure_domain},
                      {"listed", node.listed},
                      {"leaving", node.load.leaving || node.listed_as_leaving ||
                                      node.stated_leaving},
                      {"backend_up", node.load.backend_up},
                      {"running", node.load.running},
                      {"queued", node.load.queued},
                      {"limit", node.load.limit},
                      {"in_flight", node.in_flight},
                      {"losses", node.losses}});
  }
  nlohmann::json used = nlohmann::json::array();
  for (const auto& use : this->accounts) {
    used.push_back({{"account", use.account},
                    {"limit", use.limit},
                    {"part", use.part},
                    {"offered", use.offered},
                    {"admitted", use.admitted},
                    {"tokens", use.tokens},
                    {"fleet_balance", use.fleet_balance}});
  }
  const nlohmann::json state = {
      {"configuration", this->configuration},
      {"endpoint_list", this->endpoint_list},
      {"reading_mode",
       NameOf(membership::kReadingModeNames, this->reading_mode)},
      {"platform_reached", this->platform_reached},
      {"stopping", this->stopping},
      {"calls_in_flight", this->calls_in_flight},
      {"gate",
       {{"service", this->service},
        {"instance", this->instance},
        {"running", this->load.running},
        {"queued", this->load.queued},
        {"limit", this->load.limit},
        {"backend_up", this->load.backend_up},
        {"leaving", this->load.leaving},
        {"stated_rate_limit", this->notice.rate_limit
                                  ? nlohmann::json(*this->notice.rate_limit)
                                  : nlohmann::json()},
        {"stated_leaving", this->notice.is_leaving},
        {"failure_share", this->load.failure_share},
        {"connections_made", this->connections_opened}}},
      {"accounts", used},
      {"retries", RetriesToJson(this->retries)},
      {"retry_fleet_size", this->retry_fleet_size},
      {"crash_suspects",
       {{"suspected", this->crashes.suspected},
        {"quarantined", this->crashes.quarantined},
        {"quarantines", this->crashes.quarantines},
        {"cleared", this->crashes.cleared}}},
      {"nodes", listed}};
  return state.dump(1) + "\n";
}

}  // namespace agaterun::proxy
