#ifndef LIBRARIES_LOAD_REQUEST_MIX_H_
#define LIBRARIES_LOAD_REQUEST_MIX_H_

#include <string>
#include <vector>

#include "libraries/base/error.h"
#include "libraries/base/random.h"
#include "libraries/base/time.h"

namespace agaterun::load {

// One kind of request that callers send.
struct RequestKind {
  std::string name;
  std::string method = "GET";
  std::string target;  // /SERVICE/PATH; {id} stands for the request's id.
  std::string body;    // {id} as in `target`.
  std::string importance = "normal";  // Only groups rows of the report.
  bool idempotent = false;
  double weight = 1;
  Duration timeout = 1s;
};

// The kinds of request that make up a load, each with its weight.
class RequestMix {
 public:
  // Reads an INI text with one [request NAME] section per kind; keys method,
  // target, body, importance, idempotent, weight, timeout_ms. Fails with
  // ErrorKind::kInvalidArgument.
  static Result<RequestMix> Parse(const std::string& text);

  const std::vector<RequestKind>& Kinds() const { return this->kinds; }

  // Index of a kind, drawn by weight.
  std::size_t Draw(RandomSource& random) const;

 private:
  std::vector<RequestKind> kinds;
  double total_weight = 0;
};

}  // namespace agaterun::load

#endif  // LIBRARIES_LOAD_REQUEST_MIX_H_
