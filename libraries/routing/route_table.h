#ifndef LIBRARIES_ROUTING_ROUTE_TABLE_H_
#define LIBRARIES_ROUTING_ROUTE_TABLE_H_

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "libraries/routing/configuration.h"

namespace agaterun::routing {

// Finds the route of a request: of the routes of its host, the one with the
// longest prefix that begins the path.
class RouteTable {
 public:
  explicit RouteTable(std::shared_ptr<const Configuration> configuration);

  // `host` as the Host header has it, with or without a port; `target` as the
  // request line has it. The route lives as long as the table.
  const Route* Find(std::string_view host, std::string_view target) const;

 private:
  std::shared_ptr<const Configuration> configuration;
  // By lower-case host, longest prefix first.
  std::unordered_map<std::string, std::vector<const Route*>> by_host;
};

}  // namespace agaterun::routing

#endif  // LIBRARIES_ROUTING_ROUTE_TABLE_H_
