#ifndef SERVICES_AGATERUN_COMMAND_H_
#define SERVICES_AGATERUN_COMMAND_H_

#include <popt.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "libraries/base/error.h"
#include "libraries/base/node_address.h"

namespace agaterun {

// Exit codes of all commands, as `agaterun --help` lists them.
enum ExitCode : int {
  kSuccess = 0,
  kFailure = 1,         // The node said no, or could not be reached.
  kUsage = 2,           // The command line is wrong.
  kBadInput = 3,        // A file that was named has faults.
  kUnknownOutcome = 4,  // `call`: the request may have run.
};

// Each command gets its own name as argv[0].
int RunCall(int argc, const char** argv);
int RunLoad(int argc, const char** argv);
int RunState(int argc, const char** argv);
int RunTicket(int argc, const char** argv);

using PoptContext = std::unique_ptr<poptContext_s, decltype(&poptFreeContext)>;

// Parses options; prints what is wrong and returns false on a fault.
bool ParseOptions(poptContext context, const char* command);

// Arguments that are no options.
std::vector<std::string> RemainingArguments(poptContext context);

// Whole text of a file. Fails with ErrorKind::kInputOutput.
Result<std::string> ReadFile(const std::string& path);

// Addresses between commas. Fails with ErrorKind::kInvalidArgument.
Result<std::vector<NodeAddress>> ParseAddresses(const std::string& text);

}  // namespace agaterun

#endif  // SERVICES_AGATERUN_COMMAND_H_
