#include "libraries/caller/request_headers.h"

#include <xxhash.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <utility>

#include "libraries/caller/header_reader.h"
#include "libraries/caller/route_path.h"

namespace agaterun::caller {

namespace {

constexpr std::size_t kMaxShareBytes = 64;
constexpr std::size_t kMaxIdempotencyKeyBytes = 255;
constexpr std::size_t kMaxServiceNameBytes = 64;
constexpr std::uint64_t kMaxTimeoutMilliseconds = 60 * 60 * 1000;

struct HashStateDeleter {
  void operator()(XXH64_state_t* state) const { XXH64_freeState(state); }
};

// Hash of the method, target and body. Equal requests cause the same work at a
// backend server; headers such as request ids don't change it.
std::uint64_t Fingerprint(const HttpRequest& request) {
  const std::unique_ptr<XXH64_state_t, HashStateDeleter> state(
      XXH64_createState());
  XXH64_reset(state.get(), 0);
  for (const std::string* part :
       {&request.method, &request.target, &request.body}) {
    // Includes the terminating zero, so that moving bytes from one field to the
    // next changes the hash.
    XXH64_update(state.get(), part->c_str(), part->size() + 1);
  }
  return XXH64_digest(state.get());
}

tl::unexpected<Error> BindingError(std::string_view text) {
  return MakeError(ErrorKind::kMalformedMessage,
                   "'" + std::string(text.substr(0, 64)) +
                       "' is no binding; send back the value of " +
                       std::string(kNextBindingHeader) + " unchanged");
}

// Calls `read` with the value of a header, unless the header is missing.
Result<void> ReadHeader(
    const HttpHeaders& headers,
    std::string_view name,
    const std::function<Result<void>(std::string_view)>& read) {
  const auto text = ReadSingleHeader(headers, name);
  if (!text) {
    return tl::unexpected(text.error());
  }
  return *text ? read(**text) : Result<void>();
}

Result<void> ReadBindingHeader(const HttpHeaders& headers,
                               decision::CallArrived& event) {
  return ReadHeader(headers, kBindingHeader, [&](std::string_view text) {
    return ReadBinding(text).map(
        [&](const decision::Binding& binding) { event.binding = binding; });
  });
}

Result<void> ReadTimeoutHeader(const HttpHeaders& headers,
                               decision::CallArrived& event) {
  const auto read = [&](std::string_view text) -> Result<void> {
    const auto number = ReadNumber(text, 10);
    if (!number || *number == 0 || *number > kMaxTimeoutMilliseconds) {
      return MakeError(ErrorKind::kMalformedMessage,
                       std::string(kTimeoutHeader) +
                           " must be whole milliseconds from 1 to " +
                           std::to_string(kMaxTimeoutMilliseconds));
    }
    event.timeout = std::chrono::milliseconds(*number);
    return {};
  };
  return ReadHeader(headers, kTimeoutHeader, read);
}

// Reads a header with a short text into `target`, which stays unchanged if the
// header is missing.
Result<void> ReadTokenHeader(const HttpHeaders& headers,
                             std::string_view name,
                             std::size_t limit,
                             std::string& target) {
  return ReadHeader(headers, name, [&](std::string_view text) {
    return ReadToken(text, name, limit).map([&](std::string token) {
      target = std::move(token);
    });
  });
}

Result<void> ReadService(std::string_view name, decision::CallArrived& event) {
  return ReadToken(name, "the service's name", kMaxServiceNameBytes)
      .map([&](std::string service) { event.service = std::move(service); });
}

Result<void> ReadOutcomeQuery(const HttpRequest& request,
                              decision::CallArrived& event) {
  event.kind = decision::VisitKind::kQueryBinding;
  event.path = "/";
  if (request.method != "GET") {
    return MakeError(ErrorKind::kMalformedMessage,
                     "what became of a binding is asked with GET; use it");
  }
  if (!event.binding) {
    return MakeError(
        ErrorKind::kMalformedMessage,
        "the binding is missing; send it in " + std::string(kBindingHeader));
  }
  return ReadService(
      std::string_view{request.target}.substr(kOutcomePath.size()), event);
}

Result<void> ReadTarget(const HttpRequest& request,
                        decision::CallArrived& event) {
  if (request.target.starts_with(kOutcomePath)) {
    return ReadOutcomeQuery(request, event);
  }
  const auto target = SplitTarget(request.target);
  if (!target) {
    return tl::unexpected(target.error());
  }
  auto path = ReadRoutePath(target->rest);
  if (!path) {
    return tl::unexpected(path.error());
  }
  event.path = *std::move(path);
  return ReadService(target->service, event);
}

}  // namespace

std::string WriteBinding(const decision::Binding& binding) {
  return binding.gate.ToString() + "/" + WriteHexadecimal(binding.incarnation) +
         "/" + WriteHexadecimal(binding.sequence);
}

Result<decision::Binding> ReadBinding(std::string_view text) {
  const std::size_t first = text.find('/');
  const std::size_t second = text.find('/', std::min(first, text.size()) + 1);
  if (first == text.npos || second == text.npos) {
    return BindingError(text);
  }
  const auto gate = NodeAddress::Parse(text.substr(0, first));
  const auto incarnation =
      ReadNumber(text.substr(first + 1, second - first - 1), 16);
  const auto sequence = ReadNumber(text.substr(second + 1), 16);
  if (!gate || !incarnation || !sequence) {
    return BindingError(text);
  }
  const decision::Binding binding = {*gate, *incarnation, *sequence};
  // A binding has one canonical text. No node has issued a binding in another
  // form, such as with leading zeros or capitals.
  if (WriteBinding(binding) != text) {
    return BindingError(text);
  }
  return binding;
}

Result<decision::CallArrived> ReadCall(decision::CallId call,
                                       const HttpRequest& request,
                                       bool nested) {
  decision::CallArrived event;
  event.call = call;
  event.method = request.method;
  event.fingerprint = Fingerprint(request);
  const HttpHeaders& headers = request.headers;
  if (auto read = ReadBindingHeader(headers, event); !read) {
    return tl::unexpected(read.error());
  }
  if (auto read = ReadTimeoutHeader(headers, event); !read) {
    return tl::unexpected(read.error());
  }
  if (auto read =
          ReadTokenHeader(headers, kShareHeader, kMaxShareBytes, event.share);
      !read) {
    return tl::unexpected(read.error());
  }
  if (auto read = ReadTarget(request, event); !read) {
    return tl::unexpected(read.error());
  }
  if (!nested) {
    return event;
  }
  // A nested call without a parent, such as background work of the backend
  // server, counts as an original request.
  event.parent = ReadParentVisit(headers);
  if (auto read =
          ReadTokenHeader(headers, kIdempotencyKeyHeader,
                          kMaxIdempotencyKeyBytes, event.idempotency_key);
      !read) {
    return tl::unexpected(read.error());
  }
  return event;
}

HttpRequest ForBackendServer(HttpRequest request,
                             decision::VisitId visit,
                             std::optional<Duration> remaining) {
  if (const auto target = SplitTarget(request.target); target) {
    std::string rest(target->rest);
    request.target = rest.starts_with('/') ? rest : "/" + rest;
  }
  std::erase_if(request.headers, [](const HttpHeader& header) {
    return IsProductHeader(header.name);
  });
  if (remaining) {
    const auto remaining_ms =
        std::chrono::duration_cast<std::chrono::milliseconds>(*remaining);
    request.headers.push_back(
        {std::string(kTimeoutHeader),
         std::to_string(std::max<std::int64_t>(1, remaining_ms.count()))});
  }
  WriteParentVisit(request.headers, visit);
  return request;
}

}  // namespace agaterun::caller
