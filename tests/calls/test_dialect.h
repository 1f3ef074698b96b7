#ifndef TESTS_CALLS_TEST_DIALECT_H_
#define TESTS_CALLS_TEST_DIALECT_H_

#include "libraries/calls/dialect.h"

namespace agaterun::calls {

// Header names that no platform uses, so that tests fail on hard-coded names.
inline Dialect TestDialect() {
  return {.request_id = "Id",
          .deadline = "Left",
          .expected_instance = "Expected",
          .caller_service = "Caller",
          .response_stamp = "Stamp",
          .not_run = "Not-Run",
          .instance = "Instance",
          .account_key = "Key",
          .account = "Account",
          .rate_limit = "Rate",
          .leaving = "Leaving",
          .probe_path = "/ready"};
}

}  // namespace agaterun::calls

#endif  // TESTS_CALLS_TEST_DIALECT_H_
