#include "libraries/calls/importance.h"

#include <algorithm>

namespace agaterun::calls {

decision::Importance ImportanceOf(const routing::Route& route) {
  return static_cast<decision::Importance>(
      std::clamp(route.priority, 0, decision::kImportanceCount - 1));
}

std::uint8_t AccountPriorityOf(const routing::ClientAccount* account) {
  const int priority = account == nullptr ? 0 : account->priority;
  return static_cast<std::uint8_t>(
      std::clamp(priority, 0, decision::kAccountPriorityCount - 1));
}

}  // namespace agaterun::calls
