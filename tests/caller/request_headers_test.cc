#include "libraries/caller/request_headers.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <ostream>
#include <string>

namespace agaterun::caller {

namespace {

using decision::Outcome;
using decision::Reason;

constexpr decision::VisitId kVisit = {0x0123456789abcdef, 0x1};
constexpr std::string_view kVisitText = "0123456789abcdef0000000000000001";

struct PathCase {
  std::string target;
  std::string path;  // Empty if the target is rejected.
};

std::ostream& operator<<(std::ostream& out, const PathCase& row) {
  return out << row.target;
}

const PathCase path_cases[] = {
    {"/drafts/open/7", "/open/7"},
    {"/drafts/open?redeem=/x", "/open"},
    {"/drafts", "/"},
    {"/drafts?a", "/"},
    {"/drafts//%72edeem", "/redeem"},
    {"/drafts/a%2Fb", "/a/b"},
    {"/drafts/a/", "/a/"},
    {"/drafts/look/../redeem", ""},
    {"/drafts/look/%2e%2E/redeem", ""},
    {"/drafts/look/..%2fredeem", ""},
    {"/drafts/look\\..\\redeem", ""},
    {"/drafts/./redeem", ""},
    {"/drafts/a%00", ""},
    {"/drafts/a%0a", ""},
    {"/drafts/a%4", ""},
    {"/drafts/a%zz", ""},
    {"/", ""},
    {"//drafts", ""},
};

struct HeaderCase {
  std::string name;
  HttpHeaders headers;
  std::string remedy;  // Substring of the error message.
};

std::ostream& operator<<(std::ostream& out, const HeaderCase& row) {
  return out << row.name;
}

const HeaderCase refused_cases[] = {
    {"no number", {{"Agaterun-Timeout-Ms", "soon"}}, "whole milliseconds"},
    {"zero", {{"Agaterun-Timeout-Ms", "0"}}, "whole milliseconds"},
    {"negative", {{"Agaterun-Timeout-Ms", "-5"}}, "whole milliseconds"},
    {"too long", {{"Agaterun-Timeout-Ms", "3600001"}}, "whole milliseconds"},
    {"overflow",
     {{"Agaterun-Timeout-Ms", "18446744073709551617"}},
     "whole milliseconds"},
    {"space in a share", {{"Agaterun-Share", "a b"}}, "visible"},
    {"empty share", {{"Agaterun-Share", ""}}, "visible"},
    {"long share", {{"Agaterun-Share", std::string(65, 'a')}}, "64"},
    {"two bindings",
     {{"Agaterun-Binding", "127.0.0.1:1/1/1"},
      {"agaterun-binding", "127.0.0.1:1/1/2"}},
     "send it once"},
    {"binding in parts", {{"Agaterun-Binding", "127.0.0.1:1/1"}}, "unchanged"},
    {"binding to a name", {{"Agaterun-Binding", "h:1/1/1"}}, "unchanged"},
    {"binding with zeros",
     {{"Agaterun-Binding", "127.0.0.1:1/1/01"}},
     "unchanged"},
    {"binding in capitals",
     {{"Agaterun-Binding", "127.0.0.1:1/1/A"}},
     "unchanged"},
    {"binding with a rest",
     {{"Agaterun-Binding", "127.0.0.1:1/1/1/1"}},
     "unchanged"},
};

HttpRequest Get(const std::string& target, HttpHeaders headers = {}) {
  return {.method = "GET", .target = target, .headers = std::move(headers)};
}

std::string Header(const HttpResponse& response, std::string_view name) {
  const std::string* value = FindHeader(response.headers, name);
  return value ? *value : "";
}

}  // namespace

BOOST_AUTO_TEST_SUITE(RequestHeadersTest)

BOOST_DATA_TEST_CASE(TargetIsNormalizedToRoutePath,
                     boost::unit_test::data::make(path_cases),
                     row) {
  const auto call = ReadCall(1, Get(row.target), false);
  BOOST_TEST(call.has_value() == !row.path.empty());
  if (call) {
    BOOST_TEST(call->path == row.path);
    BOOST_TEST(call->service == "drafts");
  }
}

BOOST_DATA_TEST_CASE(InvalidHeaderIsRejectedWithRemedy,
                     boost::unit_test::data::make(refused_cases),
                     row) {
  const auto call = ReadCall(1, Get("/drafts/a", row.headers), false);
  BOOST_REQUIRE(!call);
  BOOST_TEST(call.error().message.find(row.remedy) != std::string::npos,
             call.error().message);
  const HttpResponse response = WriteRejection(call.error());
  BOOST_TEST(response.status == 400);
  BOOST_TEST(Header(response, "Agaterun-Outcome") == "not-run");
}

BOOST_AUTO_TEST_CASE(OutsideCallIgnoresParentAndIdempotencyKey) {
  HttpRequest request =
      Get("/ledger/invoice",
          {{"Agaterun-Binding", "127.0.0.2:7400/1f/2a"},
           {"Agaterun-Timeout-Ms", "250"},
           {"Agaterun-Share", "team-a"},
           {"Idempotency-Key", "k"},
           {"tracestate", "agaterun=" + std::string(kVisitText)}});
  request.method = "POST";
  const auto call = ReadCall(9, request, false);
  BOOST_REQUIRE(call);
  BOOST_TEST(call->call == 9);
  BOOST_TEST(call->service == "ledger");
  BOOST_TEST(call->method == "POST");
  BOOST_TEST(call->share == "team-a");
  BOOST_TEST((call->timeout == Duration(250ms)));
  BOOST_TEST(call->binding->sequence == 0x2a);
  BOOST_TEST(WriteBinding(*call->binding) == "127.0.0.2:7400/1f/2a");
  // Outside callers are not trusted to set a parent or an idempotency key.
  BOOST_TEST(!call->parent);
  BOOST_TEST(call->idempotency_key.empty());
}

BOOST_AUTO_TEST_CASE(NestedCallHasParentAndIdempotencyKey) {
  const auto call = ReadCall(
      1,
      Get("/vault/a", {{"tracestate", "x=1"},
                       {"tracestate", "agaterun=" + std::string(kVisitText)},
                       {"Idempotency-Key", "k"}}),
      true);
  BOOST_REQUIRE(call);
  BOOST_TEST((call->parent == kVisit));
  BOOST_TEST(call->idempotency_key == "k");
  BOOST_TEST(!ReadCall(1, Get("/vault/a"), true)->parent);
}

BOOST_AUTO_TEST_CASE(FingerprintCoversFieldBoundariesNotHeaders) {
  const auto fingerprint = [](HttpRequest request) {
    return ReadCall(1, request, false)->fingerprint;
  };
  const HttpRequest request = {.method = "POST", .target = "/a/b", .body = "c"};
  HttpRequest shifted = request;
  shifted.target = "/a/bc";
  shifted.body = "";
  HttpRequest with_header = request;
  with_header.headers = {{"X-Request-Id", "5"}};
  BOOST_TEST(fingerprint(request) != fingerprint(shifted));
  BOOST_TEST(fingerprint(request) == fingerprint(with_header));
}

BOOST_AUTO_TEST_CASE(OutcomeTargetIsReadAsBindingQuery) {
  const std::string target = "/.agaterun/outcome/ledger";
  const auto call = ReadCall(
      1, Get(target, {{"Agaterun-Binding", "127.0.0.2:7400/1/2"}}), false);
  BOOST_REQUIRE(call);
  BOOST_TEST((call->kind == decision::VisitKind::kQueryBinding));
  BOOST_TEST(call->service == "ledger");
  BOOST_TEST(!ReadCall(1, Get(target), false));
}

BOOST_AUTO_TEST_CASE(BackendServerRequestIsRewritten) {
  const HttpRequest request = ForBackendServer(
      Get("/drafts/open?x=1",
          {{"Agaterun-Binding", "b"},
           {"agaterun-share", "s"},
           {"tracestate", "agaterun=forged, x=1"},
           {"traceparent",
            "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"},
           {"X-Kept", "1"}}),
      kVisit, 40ms);
  BOOST_TEST(request.target == "/open?x=1");
  BOOST_TEST(FindHeader(request.headers, "Agaterun-Binding") == nullptr);
  BOOST_TEST(FindHeader(request.headers, "Agaterun-Share") == nullptr);
  BOOST_TEST(*FindHeader(request.headers, "Agaterun-Timeout-Ms") == "40");
  BOOST_TEST(*FindHeader(request.headers, "tracestate") ==
             "agaterun=" + std::string(kVisitText) + ",x=1");
  const std::string parent = *FindHeader(request.headers, "traceparent");
  BOOST_TEST(parent.starts_with("00-0af7651916cd43dd8448eb211c80319c-"));
  BOOST_TEST(parent.ends_with("-01"));
  BOOST_TEST(parent.find("b7ad6b7169203331") == std::string::npos);
  BOOST_TEST((ReadParentVisit(request.headers) == kVisit));
}

BOOST_AUTO_TEST_CASE(InvalidTraceparentStartsNewTrace) {
  HttpHeaders headers = {{"traceparent", "00-nonsense"}, {"tracestate", "x=1"}};
  WriteParentVisit(headers, kVisit);
  BOOST_TEST(FindHeader(headers, "traceparent")->size() == 55);
  BOOST_TEST(FindHeader(headers, "traceparent")->find("0123456789abcdef") ==
             std::string::npos);
  BOOST_TEST(*FindHeader(headers, "tracestate") ==
             "agaterun=" + std::string(kVisitText));
}

BOOST_AUTO_TEST_CASE(CompletedResponseKeepsBackendServerResponse) {
  const HttpResponse backend = {
      .status = 201,
      .headers = {{"Agaterun-Outcome", "not-run"}, {"X-Kept", "1"}},
      .body = "made"};
  const HttpResponse response = WriteCallerResponse(
      {.outcome = Outcome::kCompleted,
       .answer = std::make_shared<const HttpResponse>(backend),
       .next_binding = decision::Binding{{0x7f000001, 80}, 1, 2}});
  BOOST_TEST(response.status == 201);
  BOOST_TEST(response.body == "made");
  BOOST_TEST(Header(response, "Agaterun-Outcome") == "completed");
  BOOST_TEST(Header(response, "X-Kept") == "1");
  BOOST_TEST(Header(response, "Agaterun-Next-Binding") == "127.0.0.1:80/1/2");
}

BOOST_AUTO_TEST_CASE(RefusalHasStatusHeadersAndJsonBody) {
  const HttpResponse response =
      WriteCallerResponse({.outcome = Outcome::kNotRun,
                           .reason = Reason::kOverloaded,
                           .retry_after = 1200ms});
  BOOST_TEST(response.status == 503);
  BOOST_TEST(Header(response, "Agaterun-Outcome") == "not-run");
  BOOST_TEST(Header(response, "Agaterun-Reason") == "overloaded");
  BOOST_TEST(Header(response, "Retry-After") == "2");
  BOOST_TEST(Header(response, "Agaterun-Retry-After-Ms") == "1200");
  const auto body = nlohmann::json::parse(response.body);
  BOOST_TEST(body["outcome"] == "not-run");
  BOOST_TEST(body["reason"] == "overloaded");
  BOOST_TEST(body["retry_after_ms"] == 1200);
  BOOST_TEST(!body["remedy"].get<std::string>().empty());
}

BOOST_AUTO_TEST_CASE(EachReasonHasErrorStatus) {
  for (const auto& [reason, name] : decision::kReasonNames) {
    const auto refused =
        WriteCallerResponse({.outcome = Outcome::kNotRun, .reason = reason});
    BOOST_TEST(Header(refused, "Agaterun-Reason") == name);
    BOOST_TEST(refused.status >= 400);
    const auto unknown =
        WriteCallerResponse({.outcome = Outcome::kUnknown, .reason = reason});
    BOOST_TEST((unknown.status == 502 || unknown.status == 504));
    // A completed outcome needs the response of the backend server.
    BOOST_TEST(Header(WriteCallerResponse(
                          {.outcome = Outcome::kCompleted, .reason = reason}),
                      "Agaterun-Outcome") == "unknown");
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace agaterun::caller
