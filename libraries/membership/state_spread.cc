#include "libraries/membership/state_spread.h"

#include <cereal/cereal.hpp>
#include <string_view>
#include <utility>

#include "libraries/node/frame_archive.h"

namespace agaterun::membership {

namespace {

using decision::TicketItemText;

constexpr std::string_view kConfigurationItem = "configuration";
constexpr std::string_view kListItem = "endpoints";

// A peer that was asked has this long to answer.
constexpr Duration kAskAgain = 200ms;

// While the platform does not answer, the list is asked for this often.
constexpr Duration kListInterval = 700ms;

constexpr std::size_t kMostAsked = 4096;

}  // namespace

void StateSpread::SetConfiguration(std::uint64_t new_version,
                                   std::string new_text) {
  this->version = new_version;
  this->text = std::move(new_text);
}

void StateSpread::SetList(const EndpointList& new_list) {
  this->list = new_list;
}

bool StateSpread::ShouldAsk(Instant now,
                            NodeAddress peer,
                            std::uint64_t told_version) {
  if (told_version <= this->version) {
    return false;
  }
  if (this->asked.size() > kMostAsked) {
    this->asked.clear();
  }
  const auto [entry, is_new] = this->asked.try_emplace(peer, now);
  if (!is_new && now - entry->second < kAskAgain) {
    return false;
  }
  entry->second = now;
  return true;
}

std::optional<NodeAddress> StateSpread::PeerForList(
    Instant now,
    bool platform_reached,
    const std::vector<NodeAddress>& fleet) {
  if (platform_reached || fleet.empty() ||
      now - this->list_asked < kListInterval) {
    return std::nullopt;
  }
  this->list_asked = now;
  return fleet[this->random.Below(fleet.size())];
}

std::vector<TicketItemText> StateSpread::Items() const {
  std::vector<TicketItemText> items;
  if (this->version > 0) {
    items.push_back({.name = std::string(kConfigurationItem),
                     .number = this->version,
                     .text = this->text});
  }
  if (this->list.revision > 0) {
    TicketItemText item{.name = std::string(kListItem),
                        .number = this->list.revision};
    node::FrameOutputArchive archive(item.text);
    archive(this->list.entries);
    items.push_back(std::move(item));
  }
  return items;
}

const TicketItemText* StateSpread::FindConfiguration(
    const std::vector<TicketItemText>& items) {
  for (const auto& item : items) {
    if (item.name == kConfigurationItem) {
      return &item;
    }
  }
  return nullptr;
}

std::optional<EndpointList> StateSpread::ReadList(
    const std::vector<TicketItemText>& items) {
  for (const auto& item : items) {
    if (item.name != kListItem) {
      continue;
    }
    EndpointList list{.revision = item.number, .is_current = false};
    try {
      node::FrameInputArchive archive(item.text);
      archive(list.entries);
    } catch (const cereal::Exception&) {
      // Whoever asks treats it as if no list had come.
      return std::nullopt;
    }
    return list;
  }
  return std::nullopt;
}

}  // namespace agaterun::membership
