#ifndef LIBRARIES_DRIVER_STATE_DUMP_H_
#define LIBRARIES_DRIVER_STATE_DUMP_H_

#include <cstddef>
#include <cstdint>
#include <string>

#include "libraries/base/settings.h"
#include "libraries/base/time.h"
#include "libraries/decision/node.h"

namespace agaterun::driver {

struct ConnectionCounts {
  std::size_t callers = 0;
  std::size_t peers = 0;
  std::size_t backend = 0;
  std::uint64_t platform_calls = 0;
};

// The state of one node as an indented JSON object. Times are milliseconds.
std::string DumpState(const NodeSettings& settings,
                      std::uint64_t incarnation,
                      decision::Node& node,
                      ConnectionCounts connections,
                      Instant now);

// Digest of all items in force, and name, number and text of each, as an
// indented JSON object.
std::string DumpTickets(const decision::TicketState& state);

}  // namespace agaterun::driver

#endif  // LIBRARIES_DRIVER_STATE_DUMP_H_
