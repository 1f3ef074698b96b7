#include "libraries/membership/state_gossip.h"

#include <cereal/cereal.hpp>
#include <string_view>
#include <utility>

#include "libraries/node/frame_archive.h"

namespace agaterun::membership {

namespace {

using decision::TicketItemText;
using decision::TicketItemVersion;

constexpr std::string_view kConfigurationItem = "configuration";
constexpr std::string_view kEndpointsItem = "endpoints";

// A peer isn't queried again within this time of the last query.
constexpr Duration kQueryInterval = 200ms;

constexpr std::size_t kMaxQueriedPeers = 4096;

template <class Item>
const Item* Find(const std::vector<Item>& items, std::string_view name) {
  for (const auto& item : items) {
    if (item.name == name) {
      return &item;
    }
  }
  return nullptr;
}

}  // namespace

void StateGossip::SetConfiguration(std::uint64_t new_version,
                                   std::string new_text) {
  this->version = new_version;
  this->text = std::move(new_text);
}

bool StateGossip::ShouldQuery(Instant now, NodeAddress peer) {
  if (this->last_queries.size() > kMaxQueriedPeers) {
    this->last_queries.clear();
  }
  const auto [entry, is_new] = this->last_queries.try_emplace(peer, now);
  if (!is_new && now - entry->second < kQueryInterval) {
    return false;
  }
  entry->second = now;
  return true;
}

std::vector<TicketItemVersion> StateGossip::Known(std::uint64_t since) const {
  return {{.name = std::string(kConfigurationItem), .number = this->version},
          {.name = std::string(kEndpointsItem), .number = since}};
}

std::vector<TicketItemText> StateGossip::Items(
    const std::vector<TicketItemVersion>& known,
    const Directory& endpoints) const {
  std::vector<TicketItemText> items;
  const auto* configuration = Find(known, kConfigurationItem);
  if (this->version > (configuration == nullptr ? 0 : configuration->number)) {
    items.push_back({.name = std::string(kConfigurationItem),
                     .number = this->version,
                     .text = this->text});
  }
  if (endpoints.CompleteRevision() > 0) {
    const auto* since = Find(known, kEndpointsItem);
    TicketItemText item{.name = std::string(kEndpointsItem),
                        .number = endpoints.CompleteRevision()};
    node::FrameOutputArchive archive(item.text);
    archive(endpoints.ChangesSince(since == nullptr ? 0 : since->number));
    items.push_back(std::move(item));
  }
  return items;
}

const TicketItemText* StateGossip::FindConfiguration(
    const std::vector<TicketItemText>& items) {
  return Find(items, kConfigurationItem);
}

std::optional<EndpointChanges> StateGossip::ReadEndpoints(
    const std::vector<TicketItemText>& items) {
  const auto* item = Find(items, kEndpointsItem);
  if (item == nullptr) {
    return std::nullopt;
  }
  EndpointChanges changes;
  try {
    node::FrameInputArchive archive(item->text);
    archive(changes);
  } catch (const cereal::Exception&) {
    // The caller treats malformed changes as missing.
    return std::nullopt;
  }
  return changes;
}

}  // namespace agaterun::membership
