#include <functional>
#include <set>
#include <string>
#include <utility>

#include "libraries/base/log.h"
#include "libraries/proxy/proxy_node.h"

// The part of ProxyNode that applies the configuration and endpoints of the
// platform, whether read directly or received from other nodes.
namespace agaterun::proxy {

namespace {

std::set<std::string, std::less<>> NamedServices(
    const routing::Configuration& configuration) {
  std::set<std::string, std::less<>> services;
  for (const auto& [service, settings] : configuration.services) {
    services.insert(service);
  }
  for (const auto& route : configuration.routes) {
    for (const auto& [service, weight] : route.services) {
      services.insert(service);
    }
  }
  return services;
}

}  // namespace

void ProxyNode::OnConfiguration(
    std::shared_ptr<const routing::Configuration> configuration,
    std::string text) {
  if (configuration->version <= this->gossip.Version()) {
    return;
  }
  Log(LogEvent::kConfigurationInForce,
      {{"version", std::to_string(configuration->version)},
       {"routes", std::to_string(configuration->routes.size())}});
  this->gossip.SetConfiguration(configuration->version, std::move(text));
  this->links->SetStateDigest(configuration->version);
  const auto& limits = configuration->limits;
  this->callers->SetLimits(
      {.header_bytes = limits.header_bytes, .body_bytes = limits.body_bytes},
      limits.header_timeout, limits.idle_timeout);
  auto services = NamedServices(*configuration);
  this->origin.SetConfiguration(std::move(configuration), this->key_seed);
  if (this->fleet.SetNamedServices(std::move(services))) {
    this->UpdateFleet();
    this->UpdateLocalEntry(/*is_authoritative=*/false);
  }
}

void ProxyNode::LogRefused(const membership::RefusedEntry& entry) {
  if (this->refused_entries.ShouldReport(entry)) {
    Log(LogEvent::kEntryRefused, {{"entry", entry.id}, {"why", entry.why}});
  }
}

void ProxyNode::OnEndpointList(membership::EndpointList list) {
  for (const auto& entry : list.refused) {
    this->LogRefused(entry);
  }
  if (this->directory.ApplyList(this->Now(), list)) {
    this->ApplyEndpoints();
  }
}

void ProxyNode::OnEndpointChanges(membership::EndpointChanges changes) {
  for (const auto& entry : changes.refused) {
    this->LogRefused(entry);
  }
  if (this->directory.ApplyChanges(this->Now(), changes)) {
    this->ApplyEndpoints();
  }
}

void ProxyNode::OnLocalEndpoint(membership::LocalEndpoint endpoint) {
  if (endpoint.refused) {
    this->LogRefused(*endpoint.refused);
  }
  if (this->directory.ApplyLocalEndpoint(this->Now(), endpoint)) {
    this->ApplyEndpoints();
  }
  this->UpdateLocalEntry(/*is_authoritative=*/true);
}

void ProxyNode::UpdateFleet() {
  const auto now = this->Now();
  this->fleet.SetList(now, this->directory.Endpoints().Entries());
  this->fleet_size.Record(now, this->fleet.All().size(),
                          this->fleet.NodesOfOwnDomain().size());
  this->origin.RetryBudget().SetFleetSize(this->fleet_size.Nodes());
}

void ProxyNode::ApplyEndpoints() {
  this->UpdateFleet();
  const bool is_up_to_date = this->directory.Reading(this->Now()) ==
                             decision::PlatformReading::kUpToDate;
  this->UpdateLocalEntry(/*is_authoritative=*/is_up_to_date);
  if (is_up_to_date) {
    // The nodes that don't read the platform depend on this node for the list.
    this->SendHeartbeats();
  }
}

void ProxyNode::UpdateReadingMode() {
  const auto mode = this->directory.Update(this->Now(), this->fleet);
  if (mode == this->reading_mode) {
    return;
  }
  this->reading_mode = mode;
  const auto age = this->directory.Age(this->Now());
  Log(LogEvent::kReadingModeChanged,
      {{"mode", std::string(NameOf(membership::kReadingModeNames, mode))},
       {"age_ms", age ? std::to_string(*age / 1ms) : "unknown"},
       {"revision",
        std::to_string(this->directory.Endpoints().CompleteRevision())}});
  this->source->SetMode(mode);
}

void ProxyNode::LogRestore() {
  if (this->directory.Era() == this->platform_era) {
    return;
  }
  this->platform_era = this->directory.Era();
  Log(LogEvent::kPlatformRestored,
      {{"restores", std::to_string(this->platform_era)},
       {"configuration", std::to_string(this->gossip.Version())}});
}

void ProxyNode::UpdateKeysConfirmed(Instant now) {
  const auto age = this->directory.Age(now);
  this->origin.SetKeysConfirmed(!this->settings.strict_keys ||
                                (age && *age <= this->settings.max_key_age));
}

void ProxyNode::UpdateLocalEntry(bool is_authoritative) {
  if (!this->source) {
    return;
  }
  auto listed = this->fleet.EntryAt(*this->settings.backend_server);
  if (listed && listed->service != this->settings.service) {
    listed.reset();
  }
  auto entry = this->local_entry.Update(std::move(listed), is_authoritative);
  this->directory.SetOwnEntryUnconfirmed(this->local_entry.IsUnconfirmed());
  this->source->WatchLocalEndpoint(entry ? entry->id : "");
  this->SetLocalEntry(std::move(entry));
}

void ProxyNode::SetLocalEntry(std::optional<membership::EndpointEntry> entry) {
  const auto& known = this->gate.Entry();
  const bool is_new = entry && (!known || known->id != entry->id ||
                                known->started_at != entry->started_at ||
                                known->leaving != entry->leaving);
  if (is_new) {
    Log(LogEvent::kBackendListed,
        {{"instance", entry->id},
         {"state", entry->leaving ? "leaving" : "ready"},
         {"slots", std::to_string(entry->slots)}});
  } else if (!entry && known) {
    Log(LogEvent::kBackendUnlisted, {{"instance", known->id}});
  }
  const bool is_other_incarnation =
      entry && known &&
      (known->id != entry->id || known->started_at != entry->started_at);
  if (is_other_incarnation) {
    this->pool->CloseIdle();
  }
  const bool changes = is_new || entry.has_value() != known.has_value();
  this->gate.SetEntry(this->Now(), std::move(entry));
  if (changes) {
    this->BroadcastOwnLoad();
  } else {
    this->RecordOwnLoad();
  }
}

void ProxyNode::OnMalformedConfiguration(std::string why) {
  Log(LogEvent::kConfigurationRefused, {{"why", why}});
}

void ProxyNode::OnPlatformReachabilityChanged(bool reached, std::string why) {
  this->directory.SetReached(this->Now(), reached);
  if (this->platform_reached == reached) {
    return;
  }
  this->platform_reached = reached;
  Log(reached ? LogEvent::kPlatformReached : LogEvent::kPlatformUnreachable,
      {{"why", why}});
}

}  // namespace agaterun::proxy
