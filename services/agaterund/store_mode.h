#ifndef SERVICES_AGATERUND_STORE_MODE_H_
#define SERVICES_AGATERUND_STORE_MODE_H_

#include <string>

#include "libraries/base/settings.h"

namespace agaterun {

// Serves on a platform that publishes a key-value store, until a signal asks
// for a stop and the stop is complete. Reads `settings_file` again when it
// changes. Returns the exit code.
int ServeWithStore(const NodeSettings& settings,
                   const std::string& settings_file);

}  // namespace agaterun

#endif  // SERVICES_AGATERUND_STORE_MODE_H_
