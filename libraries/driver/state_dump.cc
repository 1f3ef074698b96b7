#include "libraries/driver/state_dump.h"

#include <cstdio>
#include <nlohmann/json.hpp>

namespace agaterun::driver {

namespace {

using nlohmann::json;

constexpr int kIndent = 2;

// Numbers above 2^53 do not survive every JSON reader, so these are text.
std::string Hexadecimal(std::uint64_t number) {
  char text[17] = {};
  std::snprintf(text, sizeof(text), "%016lx",
                static_cast<unsigned long>(number));
  return text;
}

json DumpLoad(const decision::LoadReport& load) {
  return {{"running", load.running},
          {"queued", load.queued},
          {"limit", load.limit},
          {"leaving", load.leaving},
          {"backend_up", load.backend_up}};
}

// The least important class that is admitted, and the share of it that is.
json DumpThreshold(decision::AdmissionThreshold threshold) {
  return {{"least_importance",
           NameOf(decision::kImportanceNames, threshold.cutoff)},
          {"share_of_it",
           static_cast<double>(threshold.keys) / decision::kAdmissionKeys}};
}

json DumpPeers(const decision::PeerTable& peers, Instant now) {
  json dump = json::array();
  for (const auto& [address, peer] : peers.All()) {
    json row = {{"node", address.ToString()},
                {"incarnation", Hexadecimal(peer.incarnation)},
                {"state_digest", Hexadecimal(peer.state_digest)},
                {"in_flight", peer.in_flight},
                {"losses", peer.losses},
                {"listed_as_leaving", peer.listed_as_leaving},
                {"load", DumpLoad(peer.load)}};
    if (peer.last_contact != Instant{}) {
      row["last_heard_ms_ago"] = ToMilliseconds(now - peer.last_contact);
    }
    dump.push_back(std::move(row));
  }
  return dump;
}

json ItemsOf(const decision::TicketState& state, bool with_text) {
  json items = json::array();
  for (const auto& [name, item] : state.items) {
    items.push_back({{"name", name},
                     {"number", item.number},
                     {"text_hash", Hexadecimal(item.text_hash)}});
    if (with_text) {
      items.back()["text"] = item.text;
    }
  }
  return items;
}

}  // namespace

std::string DumpState(const NodeSettings& settings,
                      std::uint64_t incarnation,
                      decision::Node& node,
                      ConnectionCounts connections,
                      Instant now) {
  const auto& state = *node.State();
  const json dump = {
      {"version", AGATERUN_VERSION},
      {"host", settings.host},
      {"node", settings.node.ToString()},
      {"region", settings.region},
      {"failure_domain", settings.failure_domain},
      {"incarnation", Hexadecimal(incarnation)},
      {"ready", node.Gossip().Ready()},
      {"stopping", node.IsStopping()},
      {"gate",
       {{"service", settings.service},
        {"visits", node.LocalGate().VisitsInFlight()},
        {"admits", DumpThreshold(node.Threshold(now))},
        {"load", DumpLoad(node.LocalGate().Load())}}},
      {"origin", {{"calls", node.LocalOrigin().CallsInFlight()}}},
      {"connections",
       {{"callers", connections.callers},
        {"peers", connections.peers},
        {"backend_server", connections.backend}}},
      {"platform_calls", connections.platform_calls},
      {"tickets",
       {{"digest", Hexadecimal(state.digest)},
        {"items", ItemsOf(state, false)}}},
      {"peers", DumpPeers(node.Peers(), now)},
  };
  return dump.dump(kIndent) + "\n";
}

std::string DumpTickets(const decision::TicketState& state) {
  const json dump = {{"digest", Hexadecimal(state.digest)},
                     {"items", ItemsOf(state, true)}};
  return dump.dump(kIndent) + "\n";
}

}  // namespace agaterun::driver
