#ifndef LIBRARIES_OPERATOR_ADMIN_SERVER_H_
#define LIBRARIES_OPERATOR_ADMIN_SERVER_H_

#include <memory>
#include <string>

#include "libraries/base/error.h"
#include "libraries/base/node_address.h"

namespace agaterun::operator_interface {

// What the administration API shows. Called from the server's own threads.
class AdminSource {
 public:
  virtual ~AdminSource() = default;
  // "serving", "waiting-for-state", "leaving".
  virtual std::string Health() = 0;
  // The whole state of this process as a JSON object.
  virtual std::string StateDump() = 0;
  // The tickets in force per service and policy, as JSON.
  virtual std::string TicketsInForce() = 0;
  // Prometheus text format, version 0.0.4.
  virtual std::string Metrics() = 0;
};

// HTTP, read only: GET /health, /state, /tickets, /metrics. Anything else is
// refused with the remedy: operators change things by change tickets alone.
class AdminServer {
 public:
  struct Options {
    NodeAddress listen;
  };

  // Listens at once. `source` outlives the server.
  static Result<std::unique_ptr<AdminServer>> Create(Options options,
                                                     AdminSource& source);
  ~AdminServer();

 private:
  class Implementation;
  explicit AdminServer(std::unique_ptr<Implementation> implementation);
  std::unique_ptr<Implementation> implementation;
};

}  // namespace agaterun::operator_interface

#endif  // LIBRARIES_OPERATOR_ADMIN_SERVER_H_
