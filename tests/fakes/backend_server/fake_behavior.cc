#include "tests/fakes/backend_server/fake_behavior.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

namespace agaterun::fakes {

namespace {

constexpr double kColdFactor = 5;

void ApplyMember(const std::string& key,
                 const nlohmann::json& value,
                 FakeBehavior& behavior) {
  if (key == "service_ms") {
    behavior.service_ms = value.get<double>();
  } else if (key == "distribution") {
    behavior.distribution =
        FromName(kDistributionNames, value.get<std::string>())
            .value_or(behavior.distribution);
  } else if (key == "slots") {
    behavior.slots = value.get<int>();
  } else if (key == "fail_status") {
    behavior.fail_status = value.get<int>();
  } else if (key == "shed") {
    behavior.shed = value.get<bool>();
  } else if (key == "drain") {
    behavior.drain = value.get<bool>();
  } else if (key == "cold_ms") {
    behavior.cold_ms = value.get<double>();
  } else if (key == "crash_on") {
    behavior.crash_on = value.get<std::string>();
  } else if (key == "lie_idle") {
    behavior.lie_idle = value.get<bool>();
  } else if (key == "report_lag_ms") {
    behavior.report_lag_ms = value.get<double>();
  } else if (key == "reset_mid_body") {
    behavior.reset_mid_body = value.get<bool>();
  } else {
    throw std::invalid_argument("unknown member '" + key + "'");
  }
}

}  // namespace

Result<void> ApplyControl(std::string_view json, FakeBehavior& behavior) {
  FakeBehavior changed = behavior;
  try {
    const auto members = nlohmann::json::parse(json);
    for (const auto& [key, value] : members.items()) {
      ApplyMember(key, value, changed);
    }
  } catch (const std::exception& error) {
    return MakeError(ErrorKind::kInvalidArgument,
                     std::string(error.what()) +
                         "; send an object with members of FakeBehavior");
  }
  behavior = changed;
  return {};
}

Duration DrawOwnTime(const FakeBehavior& behavior,
                     Duration age,
                     RandomSource& random) {
  double milliseconds = behavior.service_ms;
  if (behavior.distribution == Distribution::kExponential) {
    milliseconds *= -std::log1p(-random.Unit());
  }
  if (const double left = 1 - ToMilliseconds(age) / behavior.cold_ms;
      behavior.cold_ms > 0 && left > 0) {
    milliseconds *= 1 + (kColdFactor - 1) * left;
  }
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(milliseconds));
}

bool CrashesOn(const FakeBehavior& behavior, const HttpRequest& request) {
  if (behavior.crash_on.empty()) {
    return false;
  }
  return request.target.find(behavior.crash_on) != std::string::npos ||
         std::any_of(request.headers.begin(), request.headers.end(),
                     [&](const HttpHeader& header) {
                       return header.value == behavior.crash_on;
                     });
}

}  // namespace agaterun::fakes
