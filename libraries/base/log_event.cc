#include "libraries/base/log_event.h"

#include "libraries/base/verify.h"

namespace agaterun {

const LogEventRow& RowOf(LogEvent event) {
  for (const auto& row : kLogEvents) {
    if (row.event == event) {
      return row;
    }
  }
  VERIFY(false);
}

}  // namespace agaterun
