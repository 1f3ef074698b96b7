#ifndef LIBRARIES_DRIVER_REQUEST_STORE_H_
#define LIBRARIES_DRIVER_REQUEST_STORE_H_

#include <memory>
#include <unordered_map>

#include "libraries/base/http_message.h"
#include "libraries/base/time.h"
#include "libraries/decision/request_types.h"

namespace agaterun::driver {

// A call that waits for its answer.
struct StoredCall {
  std::shared_ptr<const HttpRequest> request;
  decision::Importance importance = decision::Importance::kNormal;
  Instant arrived{};
  bool nested = false;
};

// A visit whose request has not reached the backend server yet.
struct StoredVisit {
  std::shared_ptr<const HttpRequest> request;
};

// The requests behind the ids that decisions speak of. Used on the decision
// strand alone. Each entry goes with its call's answer or its visit's reply.
struct RequestStore {
  std::unordered_map<decision::CallId, StoredCall> calls;
  std::unordered_map<decision::AttemptId, StoredVisit> visits;
  // Visits at the backend server, with the instant at which they started.
  std::unordered_map<decision::VisitId, Instant> started;
};

}  // namespace agaterun::driver

#endif  // LIBRARIES_DRIVER_REQUEST_STORE_H_
