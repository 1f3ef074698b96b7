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

// For which nodes this node reads the state that the platform publishes.
enum class ReadingMode : std::uint8_t {
  // For itself: the configuration, its own entry and a list of endpoints that
  // is cheap for the platform.
  kAlone,
  // For its failure domain: all changes.
  kWatching,
  // For none; this node receives the state from others.
  kResting,
};

inline constexpr std::array kReadingModeNames = {
    EnumName<ReadingMode>{ReadingMode::kAlone, "alone"},
    EnumName<ReadingMode>{ReadingMode::kWatching, "watching"},
    EnumName<ReadingMode>{ReadingMode::kResting, "resting"},
};

// An entry of the platform's list that names no endpoint, because it can't be
// read or has fields that are missing or invalid.
struct RefusedEntry {
  std::string id;
  std::string why;
};

// All endpoints that the platform lists.
struct EndpointList {
  std::vector<EndpointEntry> entries;
  std::vector<RefusedEntry> refused;
  // Of the platform's service, when read; see revision.h.
  std::uint64_t revision = 0;
  bool is_current = true;  // False if it may be seconds old.
  // Changes within this time arrive without delay, since a request for them is
  // pending at the platform.
  Duration changes_followed_for{};
};

// Changes between two revisions of the platform's service, or all endpoints at
// the later revision if `is_full_list` is set.
struct EndpointChanges {
  std::uint64_t since = 0;
  std::uint64_t revision = 0;
  bool is_full_list = false;
  std::vector<EndpointEntry> entries;
  // Ids of removed endpoints with the revisions of the removals.
  std::vector<std::pair<std::string, std::uint64_t>> removed;
  // As in EndpointList; not serialized.
  std::vector<RefusedEntry> refused;
  Duration changes_followed_for{};

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->since, this->revision, this->is_full_list, this->entries,
            this->removed);
  }
};

// The platform's entry of the backend server on this host.
struct LocalEndpoint {
  std::string id;  // Requested id.
  // Nullopt when the entry has been removed or is refused.
  std::optional<EndpointEntry> entry;
  std::optional<RefusedEntry> refused;
  // Of the removal; only its era if the rest is unknown.
  std::uint64_t revision = 0;
};

// Receives the state that the platform publishes.
class DirectoryObserver {
 public:
  virtual ~DirectoryObserver() = default;

  // `text` is the configuration as published. It is sent to other nodes.
  virtual void OnConfiguration(
      std::shared_ptr<const routing::Configuration> configuration,
      std::string text) = 0;
  virtual void OnEndpointList(EndpointList list) = 0;
  virtual void OnEndpointChanges(EndpointChanges changes) = 0;
  virtual void OnLocalEndpoint(LocalEndpoint endpoint) = 0;
  // An unreadable configuration was published. The configuration in force stays
  // in use. `why` describes the error.
  virtual void OnMalformedConfiguration(std::string why) = 0;
  // Called at each change of whether the platform responds to this node. `why`
  // describes the failure.
  virtual void OnPlatformReachabilityChanged(bool reached, std::string why) = 0;
};

// Reads the state that the platform publishes, from Start() to destruction.
class DirectorySource {
 public:
  virtual ~DirectorySource() = default;

  // Starts in ReadingMode::kAlone; SetMode changes the mode.
  virtual void Start() = 0;

  virtual void SetMode(ReadingMode mode) = 0;

  // Parses a configuration received from another node. Fails with
  // ErrorKind::kMalformedMessage.
  virtual Result<routing::Configuration> DecodeConfiguration(
      std::string_view text) const = 0;

  // Watches the entry with the id of the backend server on this host while the
  // mode is kAlone. A further call replaces the id.
  virtual void WatchLocalEndpoint(const std::string& id) = 0;
};

}  // namespace agaterun::membership

#endif  // LIBRARIES_MEMBERSHIP_DIRECTORY_SOURCE_H_
