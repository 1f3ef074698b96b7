#ifndef LIBRARIES_BASE_LOG_H_
#define LIBRARIES_BASE_LOG_H_

#include <initializer_list>
#include <string>
#include <string_view>

#include "libraries/base/log_event.h"

namespace agaterun {

struct LogField {
  std::string_view key;
  std::string value;
};

// Sets up easylogging++ for this process: one line per event on standard
// error, `time level event=NUMBER name key=value ...`. `process` is the first
// field of each line. Events below `least` are dropped.
void StartLogging(std::string process, LogLevel least);

// Writes one numbered event. Values with spaces or quotes are quoted.
void Log(LogEvent event, std::initializer_list<LogField> fields = {});

}  // namespace agaterun

#endif  // LIBRARIES_BASE_LOG_H_
