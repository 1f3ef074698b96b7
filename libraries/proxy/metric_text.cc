#include "libraries/proxy/metric_text.h"

namespace agaterun::proxy {

std::string QuotedLabel(std::string_view value) {
  std::string quoted = "\"";
  for (const char letter : value) {
    if (letter == '\n') {
      quoted += "\\n";
      continue;
    }
    if (letter == '"' || letter == '\\') {
      quoted += '\\';
    }
    quoted += letter;
  }
  return quoted + "\"";
}

}  // namespace agaterun::proxy
