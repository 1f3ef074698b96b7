#ifndef LIBRARIES_BASE_VERIFY_H_
#define LIBRARIES_BASE_VERIFY_H_

#include <cstdio>
#include <cstdlib>

// Aborts when an invariant is broken, in release builds too.
// NOLINTNEXTLINE(readability-identifier-naming)
#define VERIFY(condition)                                              \
  do {                                                                 \
    if (!(condition)) {                                                \
      std::fprintf(stderr, "VERIFY failed: %s at %s:%d\n", #condition, \
                   __FILE__, __LINE__);                                \
      std::abort();                                                    \
    }                                                                  \
  } while (false)

#endif  // LIBRARIES_BASE_VERIFY_H_
