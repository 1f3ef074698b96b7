#ifndef LIBRARIES_MEMBERSHIP_ENDPOINT_ENTRY_H_
#define LIBRARIES_MEMBERSHIP_ENDPOINT_ENTRY_H_

#include <cstdint>
#include <string>

#include "libraries/base/node_address.h"
#include "libraries/base/time.h"

namespace agaterun::membership {

// One backend server as the platform lists it.
struct EndpointEntry {
  std::string id;
  std::string service;
  NodeAddress address;  // Of the backend server; its node has this IP.
  std::string failure_domain;
  int slots = 1;
  bool leaving = false;
  Duration warmup_remaining{};   // Zero when the endpoint is warm.
  std::uint64_t started_at = 0;  // Unix milliseconds; 0 if unknown.
  std::uint64_t revision = 0;    // Of the change; see revision.h.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->id, this->service, this->address, this->failure_domain,
            this->slots, this->leaving, this->warmup_remaining,
            this->started_at, this->revision);
  }
};

}  // namespace agaterun::membership

#endif  // LIBRARIES_MEMBERSHIP_ENDPOINT_ENTRY_H_
