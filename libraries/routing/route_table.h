#ifndef LIBRARIES_ROUTING_ROUTE_TABLE_H_
#define LIBRARIES_ROUTING_ROUTE_TABLE_H_

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "libraries/routing/configuration.h"

namespace agaterun::routing {

// The value of a Host header in lower case and without its port.
std::string NormalizedHost(std::string_view host);

// Finds the route of a request: among the routes of its host, the one with the
// longest matching path prefix.
class RouteTable {
 public:
  explicit RouteTable(std::shared_ptr<const Configuration> configuration);

  // `host` is the value of the Host header, with or without a port; `target` is
  // the request target from the request line. The returned route is valid for
  // the lifetime of the table; nullptr if no route matches.
  const Route* Find(std::string_view host, std::string_view target) const;

 private:
  std::shared_ptr<const Configuration> configuration;
  // By lower-case host, longest prefix first.
  std::unordered_map<std::string, std::vector<const Route*>> by_host;
};

}  // namespace agaterun::routing

#endif  // LIBRARIES_ROUTING_ROUTE_TABLE_H_
