// What the driver shows operators.

#include <asio/post.hpp>
#include <future>
#include <sstream>
#include <utility>

#include "libraries/driver/node_driver.h"
#include "libraries/driver/state_dump.h"

namespace agaterun::driver {

namespace {

// An operator's read waits at most this long for the decision strand.
constexpr Duration kAdminReadTimeout = 2s;

// Prometheus text of what the links between nodes did.
std::string WriteLinkCounters(const node::NodeLinksCounters& counters) {
  std::ostringstream out;
  out << "# HELP agaterun_node_bytes_total Bytes to and from other nodes.\n"
         "# TYPE agaterun_node_bytes_total counter\n"
         "agaterun_node_bytes_total{direction=\"sent\"} "
      << counters.bytes_sent
      << "\nagaterun_node_bytes_total{direction=\"received\"} "
      << counters.bytes_received
      << "\n# TYPE agaterun_heartbeats_total counter\n"
         "agaterun_heartbeats_total{direction=\"sent\"} "
      << counters.heartbeats_sent
      << "\nagaterun_heartbeats_total{direction=\"received\"} "
      << counters.heartbeats_received
      << "\n# TYPE agaterun_frames_rejected_total counter\n"
         "agaterun_frames_rejected_total "
      << counters.frames_rejected << "\n";
  return out.str();
}

}  // namespace

std::string NodeDriver::ReadOnStrand(std::function<std::string()> read) {
  auto task =
      std::make_shared<std::packaged_task<std::string()>>(std::move(read));
  auto text = task->get_future();
  asio::post(this->strand, [task] { (*task)(); });
  if (text.wait_for(kAdminReadTimeout) != std::future_status::ready) {
    return R"({"error":"the node is busy or stopping; ask again"})";
  }
  return text.get();
}

std::string NodeDriver::Health() {
  if (this->leaving) {
    return "leaving";
  }
  return this->ready ? "serving" : "waiting-for-state";
}

std::string NodeDriver::StateDump() {
  return this->ReadOnStrand([this] {
    return DumpState(
        this->settings, this->incarnation, this->decisions,
        {.callers = this->callers->ConnectionCount(),
         .peers = this->links->ConnectionCount(),
         .backend = this->backend ? this->backend->ConnectionCount() : 0,
         .platform_calls = this->platform_reader->CallCount()},
        this->clock.Now());
  });
}

std::string NodeDriver::TicketsInForce() {
  return DumpTickets(*this->published.Read());
}

std::string NodeDriver::Metrics() {
  return this->metrics.ToText() + WriteLinkCounters(this->links->Counters());
}

}  // namespace agaterun::driver
