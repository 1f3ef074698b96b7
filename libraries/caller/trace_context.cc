// W3C Trace Context, https://www.w3.org/TR/trace-context/.

#include <xxhash.h>

#include <algorithm>
#include <vector>

#include "libraries/caller/header_reader.h"
#include "libraries/caller/request_headers.h"

namespace agaterun::caller {

namespace {

constexpr std::string_view kTraceParent = "traceparent";
constexpr std::string_view kTraceState = "tracestate";
constexpr std::size_t kUint64HexDigits = 16;       // 64 bits in hexadecimal.
constexpr std::size_t kMaxTraceStateMembers = 32;  // Section 3.3.1.1.
constexpr std::size_t kTraceParentBytes = 55;
constexpr std::size_t kTraceIdOffset = 3;
constexpr std::size_t kTraceIdDigits = 32;
constexpr std::size_t kParentIdOffset = 36;
constexpr std::size_t kFlagsOffset = 53;

std::string_view Trim(std::string_view text) {
  constexpr std::string_view kBlanks = " \t";
  const std::size_t first = text.find_first_not_of(kBlanks);
  if (first == text.npos) {
    return {};
  }
  return text.substr(first, text.find_last_not_of(kBlanks) - first + 1);
}

bool IsAgaterunMember(std::string_view member) {
  return member.starts_with(kTraceStateKey) &&
         member.substr(kTraceStateKey.size()).starts_with('=');
}

// Members of all tracestate headers, in order.
std::vector<std::string_view> TraceStateMembers(const HttpHeaders& headers) {
  std::vector<std::string_view> members;
  for (const auto& [name, value] : headers) {
    if (!EqualsIgnoringCase(name, kTraceState)) {
      continue;
    }
    std::string_view rest = value;
    while (!rest.empty()) {
      const std::size_t comma = std::min(rest.find(','), rest.size());
      if (const auto member = Trim(rest.substr(0, comma)); !member.empty()) {
        members.push_back(member);
      }
      rest.remove_prefix(std::min(comma + 1, rest.size()));
    }
  }
  return members;
}

bool IsLowerHexadecimal(std::string_view text) {
  return text.find_first_not_of("0123456789abcdef") == text.npos;
}

bool IsZero(std::string_view text) {
  return text.find_first_not_of('0') == text.npos;
}

// Section 3.2: "00-TRACE ID-PARENT ID-FLAGS". Later versions may append fields.
bool IsTraceParent(std::string_view text) {
  if (text.size() < kTraceParentBytes || text.starts_with("ff") ||
      (text.starts_with("00") && text.size() != kTraceParentBytes) ||
      (text.size() > kTraceParentBytes && text[kTraceParentBytes] != '-')) {
    return false;
  }
  const auto trace_id = text.substr(kTraceIdOffset, kTraceIdDigits);
  const auto parent_id = text.substr(kParentIdOffset, kUint64HexDigits);
  return text[kTraceIdOffset - 1] == '-' && text[kParentIdOffset - 1] == '-' &&
         text[kFlagsOffset - 1] == '-' &&
         IsLowerHexadecimal(text.substr(0, 2)) &&
         IsLowerHexadecimal(trace_id) && IsLowerHexadecimal(parent_id) &&
         IsLowerHexadecimal(text.substr(kFlagsOffset, 2)) &&
         !IsZero(trace_id) && !IsZero(parent_id);
}

// A nonzero number for the trace ids, hashed so that it does not reveal the
// visit id. Only the backend server may see the visit id, but traces are
// exported to the same places as logs.
std::string HashVisitId(decision::VisitId visit, std::uint64_t seed) {
  const std::uint64_t numbers[] = {visit.high, visit.low};
  const std::uint64_t hash = XXH64(numbers, sizeof(numbers), seed);
  return WriteHexadecimal(std::max<std::uint64_t>(hash, 1), kUint64HexDigits);
}

}  // namespace

std::string WriteVisitId(decision::VisitId visit) {
  return WriteHexadecimal(visit.high, kUint64HexDigits) +
         WriteHexadecimal(visit.low, kUint64HexDigits);
}

std::optional<decision::VisitId> ReadVisitId(std::string_view text) {
  if (text.size() != 2 * kUint64HexDigits || !IsLowerHexadecimal(text)) {
    return std::nullopt;
  }
  return decision::VisitId{*ReadNumber(text.substr(0, kUint64HexDigits), 16),
                           *ReadNumber(text.substr(kUint64HexDigits), 16)};
}

std::optional<decision::VisitId> ReadParentVisit(const HttpHeaders& headers) {
  for (const auto member : TraceStateMembers(headers)) {
    if (IsAgaterunMember(member)) {
      return ReadVisitId(member.substr(kTraceStateKey.size() + 1));
    }
  }
  return std::nullopt;
}

void WriteParentVisit(HttpHeaders& headers, decision::VisitId visit) {
  const std::string* old_parent = FindHeader(headers, kTraceParent);
  const bool has_parent = old_parent && IsTraceParent(*old_parent);
  // A changed tracestate needs a new parent id (section 3.4).
  const std::string trace_id =
      has_parent ? old_parent->substr(kTraceIdOffset, kTraceIdDigits)
                 : HashVisitId(visit, 1) + HashVisitId(visit, 2);
  const std::string flags =
      has_parent ? old_parent->substr(kFlagsOffset, 2) : "00";
  const std::string parent =
      "00-" + trace_id + "-" + HashVisitId(visit, 3) + "-" + flags;

  // The most recently changed member goes first. Without a valid traceparent,
  // the tracestate members of other vendors are discarded (section 4.3).
  std::string state = std::string(kTraceStateKey) + "=" + WriteVisitId(visit);
  std::size_t count = 1;
  for (const auto member : TraceStateMembers(headers)) {
    if (has_parent && !IsAgaterunMember(member) &&
        count < kMaxTraceStateMembers) {
      state += "," + std::string(member);
      ++count;
    }
  }
  RemoveHeader(headers, kTraceParent);
  RemoveHeader(headers, kTraceState);
  headers.push_back({std::string(kTraceParent), parent});
  headers.push_back({std::string(kTraceState), state});
}

}  // namespace agaterun::caller
