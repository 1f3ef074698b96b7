#include "libraries/base/log.h"

#include <easylogging++.h>

// The library keeps its state in globals that one source has to define.
INITIALIZE_EASYLOGGINGPP

namespace agaterun {

namespace {

// Written before any thread starts, only read afterwards.
LogLevel least_level = LogLevel::kWarning;

std::string Quote(const std::string& value) {
  if (value.find_first_of(" \"=\n\r\t") == std::string::npos &&
      !value.empty()) {
    return value;
  }
  std::string quoted = "\"";
  for (const char letter : value) {
    if (letter == '"' || letter == '\\') {
      quoted += '\\';
    }
    quoted += letter == '\n' || letter == '\r' ? ' ' : letter;
  }
  return quoted + '"';
}

el::Level ToLibraryLevel(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return el::Level::Debug;
    case LogLevel::kInfo:
      return el::Level::Info;
    case LogLevel::kWarning:
      return el::Level::Warning;
    case LogLevel::kError:
      return el::Level::Error;
  }
  return el::Level::Error;
}

}  // namespace

void StartLogging(std::string process, LogLevel least) {
  el::Configurations configuration;
  configuration.setToDefault();
  configuration.setGlobally(el::ConfigurationType::ToFile, "false");
  configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
  configuration.setGlobally(
      el::ConfigurationType::Format,
      "%datetime{%Y-%M-%dT%H:%m:%s.%g} %level process=" + process + " %msg");
  el::Loggers::reconfigureAllLoggers(configuration);
  least_level = least;
}

void Log(LogEvent event, std::initializer_list<LogField> fields) {
  const auto& row = RowOf(event);
  if (row.level < least_level) {
    return;
  }
  std::string line = "event=" + std::to_string(static_cast<int>(event));
  line += " ";
  line += row.name;
  for (const auto& [key, value] : fields) {
    line += " ";
    line += key;
    line += "=";
    line += Quote(value);
  }
  el::base::Writer(ToLibraryLevel(row.level), __FILE__, __LINE__, "Log")
          .construct(1, el::base::consts::kDefaultLoggerId)
      << line;
}

}  // namespace agaterun
