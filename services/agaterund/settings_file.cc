#include "services/agaterund/settings_file.h"

#include <fstream>
#include <sstream>

namespace agaterun {

std::optional<std::string> ReadSettingsText(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    return std::nullopt;
  }
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

}  // namespace agaterun
