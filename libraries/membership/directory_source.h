#ifndef LIBRARIES_MEMBERSHIP_DIRECTORY_SOURCE_H_
#define LIBRARIES_MEMBERSHIP_DIRECTORY_SOURCE_H_

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "libraries/base/error.h"
#include "libraries/membership/endpoint_entry.h"
#include "libraries/routing/configuration.h"

namespace agaterun::membership {

// All endpoints that the platform lists.
struct EndpointList {
  std::vector<EndpointEntry> entries;
  std::uint64_t revision = 0;  // Of the platform's service, at the reading.
  bool is_current = true;      // False when it may be seconds old.
};

// What the platform says of the backend server on this host.
struct LocalEndpoint {
  std::string id;  // That was asked after.
  // Nothing when the entry that was there has been removed.
  std::optional<EndpointEntry> entry;
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

  virtual void Start() = 0;

  // Reads a configuration that another node passed on. Fails with
  // ErrorKind::kMalformedMessage.
  virtual Result<routing::Configuration> DecodeConfiguration(
      std::string_view text) const = 0;

  // Watches the entry of the backend server on this host, when its id is
  // known; follows a changed id.
  virtual void WatchLocalEndpoint(const std::string& id) = 0;
};

}  // namespace agaterun::membership

#endif  // LIBRARIES_MEMBERSHIP_DIRECTORY_SOURCE_H_
