#ifndef LIBRARIES_MEMBERSHIP_DIRECTORY_SOURCE_H_
#define LIBRARIES_MEMBERSHIP_DIRECTORY_SOURCE_H_

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "libraries/base/enum_names.h"
#include "libraries/base/error.h"
#include "libraries/membership/endpoint_entry.h"
#include "libraries/routing/configuration.h"

namespace agaterun::membership {

// For whom a node reads what the platform publishes.
enum class ReadingMode : std::uint8_t {
  kAlone,     // For itself: the configuration, its own entry, a cheap list.
  kWatching,  // For its failure domain: all changes.
  kResting,   // Not at all, since others tell it.
};

inline constexpr std::array kReadingModeNames = {
    EnumName<ReadingMode>{ReadingMode::kAlone, "alone"},
    EnumName<ReadingMode>{ReadingMode::kWatching, "watching"},
    EnumName<ReadingMode>{ReadingMode::kResting, "resting"},
};

// All endpoints that the platform lists.
struct EndpointList {
  std::vector<EndpointEntry> entries;
  std::uint64_t revision = 0;  // Of the platform's service, at the reading.
  bool is_current = true;      // False when it may be seconds old.
  // For so long changes are told at once: the platform is asked for them.
  Duration followed_for{};
};

// What changed between two revisions of the platform's service, or all that
// there is at the later one.
struct EndpointChanges {
  std::uint64_t since = 0;
  std::uint64_t revision = 0;
  bool is_all = false;
  std::vector<EndpointEntry> entries;
  // Ids that were removed, with the revision.
  std::vector<std::pair<std::string, std::uint64_t>> removed;
  Duration followed_for{};  // As of a list; not passed on.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->since, this->revision, this->is_all, this->entries,
            this->removed);
  }
};

// What the platform says of the backend server on this host.
struct LocalEndpoint {
  std::string id;  // That was asked after.
  // Nothing when the entry that was there has been removed.
  std::optional<EndpointEntry> entry;
  std::uint64_t revision = 0;  // Of the removal; 0 when not told.
};

// Hears what the platform publishes.
class DirectoryObserver {
 public:
  virtual ~DirectoryObserver() = default;

  // `text` is the configuration as published, to be passed on to other nodes.
  virtual void OnConfiguration(
      std::shared_ptr<const routing::Configuration> configuration,
      std::string text) = 0;
  virtual void OnEndpointList(EndpointList list) = 0;
  virtual void OnEndpointChanges(EndpointChanges changes) = 0;
  virtual void OnLocalEndpoint(LocalEndpoint endpoint) = 0;
  // A configuration was published that can't be read; the one in force stays.
  virtual void OnConfigurationUnreadable(std::string why) = 0;
  // Told at each change: whether the platform answers this node.
  virtual void OnPlatformReached(bool reached, std::string why) = 0;
};

// Reads what the platform publishes, as long as it lives.
class DirectorySource {
 public:
  virtual ~DirectorySource() = default;

  // Reads for this node alone until SetMode says otherwise.
  virtual void Start() = 0;

  virtual void SetMode(ReadingMode mode) = 0;

  // Reads a configuration that another node passed on. Fails with
  // ErrorKind::kMalformedMessage.
  virtual Result<routing::Configuration> DecodeConfiguration(
      std::string_view text) const = 0;

  // Watches the entry of the backend server on this host, when its id is
  // known, while this node reads alone; follows a changed id.
  virtual void WatchLocalEndpoint(const std::string& id) = 0;
};

}  // namespace agaterun::membership

#endif  // LIBRARIES_MEMBERSHIP_DIRECTORY_SOURCE_H_
