#include "libraries/routing/response_sizes.h"

namespace agaterun::routing {

namespace {

// Weight of the latest response in the moving average.
constexpr double kLatestWeight = 0.1;

constexpr std::size_t kMaxRoutes = 4096;

}  // namespace

void ResponseSizes::RecordSize(std::string_view route, std::size_t bytes) {
  if (this->means.size() >= kMaxRoutes) {
    this->means.clear();
  }
  const auto size = static_cast<double>(bytes);
  const auto [entry, is_new] =
      this->means.try_emplace(std::string(route), size);
  entry->second += (size - entry->second) * kLatestWeight;
}

double ResponseSizes::Of(std::string_view route) const {
  const auto found = this->means.find(std::string(route));
  return found == this->means.end() ? 0 : found->second;
}

}  // namespace agaterun::routing
