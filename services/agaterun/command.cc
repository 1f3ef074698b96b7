#include "services/agaterun/command.h"

#include <cstdio>
#include <fstream>
#include <sstream>

namespace agaterun {

bool ParseOptions(poptContext context, const char* command) {
  const int parsed = poptGetNextOpt(context);
  if (parsed >= -1) {
    return true;
  }
  std::fprintf(stderr, "agaterun %s: %s: %s; see agaterun %s --help\n", command,
               poptBadOption(context, 0), poptStrerror(parsed), command);
  return false;
}

std::vector<std::string> RemainingArguments(poptContext context) {
  std::vector<std::string> arguments;
  while (const char* argument = poptGetArg(context)) {
    arguments.emplace_back(argument);
  }
  return arguments;
}

Result<std::string> ReadFile(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    return MakeError(ErrorKind::kInputOutput,
                     "can't read " + path + "; check its name");
  }
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

Result<std::vector<NodeAddress>> ParseAddresses(const std::string& text) {
  std::vector<NodeAddress> addresses;
  std::istringstream parts(text);
  std::string part;
  while (std::getline(parts, part, ',')) {
    auto address = NodeAddress::Parse(part);
    if (!address) {
      return tl::unexpected(address.error());
    }
    addresses.push_back(*address);
  }
  if (addresses.empty()) {
    return MakeError(ErrorKind::kInvalidArgument,
                     "name at least one address as IP:PORT");
  }
  return addresses;
}

}  // namespace agaterun
