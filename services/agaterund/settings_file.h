#ifndef SERVICES_AGATERUND_SETTINGS_FILE_H_
#define SERVICES_AGATERUND_SETTINGS_FILE_H_

#include <optional>
#include <string>

namespace agaterun {

// Text of the settings file; nothing when it can't be read.
std::optional<std::string> ReadSettingsText(const std::string& path);

}  // namespace agaterun

#endif  // SERVICES_AGATERUND_SETTINGS_FILE_H_
