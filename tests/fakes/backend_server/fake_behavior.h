#ifndef TESTS_FAKES_BACKEND_SERVER_FAKE_BEHAVIOR_H_
#define TESTS_FAKES_BACKEND_SERVER_FAKE_BEHAVIOR_H_

#include <array>
#include <string>
#include <string_view>

#include "libraries/base/enum_names.h"
#include "libraries/base/error.h"
#include "libraries/base/http_message.h"
#include "libraries/base/random.h"
#include "libraries/base/time.h"

namespace agaterun::fakes {

enum class Distribution { kExponential, kFixed };

inline constexpr std::array kDistributionNames = {
    EnumName<Distribution>{Distribution::kExponential, "exponential"},
    EnumName<Distribution>{Distribution::kFixed, "fixed"},
};

// How a fake backend server behaves; may change while it runs.
struct FakeBehavior {
  double service_ms = 10;  // Mean own time of a request.
  Distribution distribution = Distribution::kExponential;
  int slots = 100;
  int fail_status = 0;  // Status of all answers; 0 answers 200.
  bool shed = false;    // Answers 503 without running.
  bool drain = false;   // As `shed`, and closes connections.
  // Time after a start in which own times fall from kColdFactor to normal.
  double cold_ms = 0;
  // Crashes on a request with this header value or path substring.
  std::string crash_on;
  bool lie_idle = false;        // /load and /health tell of no load.
  double report_lag_ms = 0;     // Age that /load and /health may have.
  bool reset_mid_body = false;  // Resets in the middle of each answer.
};

// Takes over the members of a JSON object into `behavior`, or none. Fails with
// ErrorKind::kInvalidArgument.
Result<void> ApplyControl(std::string_view json, FakeBehavior& behavior);

// Own time of one request, `age` after the start.
Duration DrawOwnTime(const FakeBehavior& behavior,
                     Duration age,
                     RandomSource& random);

// True when the request is one to crash on.
bool CrashesOn(const FakeBehavior& behavior, const HttpRequest& request);

}  // namespace agaterun::fakes

#endif  // TESTS_FAKES_BACKEND_SERVER_FAKE_BEHAVIOR_H_
