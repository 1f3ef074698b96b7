#include "tests/fakes/backend_server/fake_visit.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "libraries/base/clock.h"

namespace agaterun::fakes {

namespace {

constexpr int kSuccess = 200;
constexpr int kBadGateway = 502;
constexpr int kGatewayTimeout = 504;
constexpr std::string_view kRequestId = "X-Request-Id";
constexpr std::string_view kTimeout = "Agaterun-Timeout-Ms";

Instant Now() {
  return MonotonicClock().Now();
}

Instant ReadDeadline(const HttpHeaders& headers) {
  const std::string* text = FindHeader(headers, kTimeout);
  int milliseconds = 0;
  if (text) {
    std::from_chars(text->data(), text->data() + text->size(), milliseconds);
  }
  return milliseconds > 0 ? Now() + std::chrono::milliseconds(milliseconds)
                          : Instant::zero();
}

}  // namespace

FakeVisit::FakeVisit(asio::io_context& io,
                     Options options,
                     NestedCaller* caller,
                     HttpRequest request)
    : options(std::move(options)),
      caller(caller),
      request(std::move(request)),
      deadline(ReadDeadline(this->request.headers)),
      timer(io) {}

void FakeVisit::Start(Callback done) {
  this->done = std::move(done);
  this->Wait(this->options.own_time / 2, [this] { this->CallNext(); });
}

void FakeVisit::Cancel() {
  this->ended = true;
  this->timer.cancel();
  if (this->nested_call) {
    this->caller->Abort(*this->nested_call);
    this->nested_call.reset();
  }
}

std::string FakeVisit::RequestId() const {
  const std::string* id = FindHeader(this->request.headers, kRequestId);
  return id ? *id : "";
}

void FakeVisit::Wait(Duration time, std::function<void()> next) {
  const auto left = this->TimeLeft();
  const bool too_late = left && *left < time;
  this->timer.expires_after(too_late ? std::max(*left, Duration::zero())
                                     : time);
  this->timer.async_wait([self = this->shared_from_this(), too_late,
                          next = std::move(next)](const std::error_code&) {
    if (self->ended) {
      return;
    }
    if (too_late) {
      self->Finish(kGatewayTimeout);
    } else {
      next();
    }
  });
}

std::optional<Duration> FakeVisit::TimeLeft() const {
  if (this->deadline == Instant::zero()) {
    return std::nullopt;
  }
  return this->deadline - Now();
}

void FakeVisit::CallNext() {
  if (this->nested_done < this->options.nested.size()) {
    this->nested_call = this->caller->Call(
        this->NestedRequest(),
        [self = this->shared_from_this()](std::optional<HttpResponse> answer) {
          self->OnNestedAnswer(std::move(answer));
        });
    return;
  }
  this->Wait(this->options.own_time / 2, [this] {
    this->Finish(this->options.fail_status == 0 ? kSuccess
                                                : this->options.fail_status);
  });
}

HttpRequest FakeVisit::NestedRequest() const {
  const NestedCall& call = this->options.nested[this->nested_done];
  HttpRequest nested = {
      .method = call.method.empty() ? this->request.method : call.method,
      .target = call.target};
  // The trace context goes on unchanged, as instrumented servers do it.
  for (const auto& header : this->request.headers) {
    if (EqualsIgnoringCase(header.name, "traceparent") ||
        EqualsIgnoringCase(header.name, "tracestate")) {
      nested.headers.push_back(header);
    }
  }
  // Ids of nested calls differ, so that each is counted by itself.
  const std::string id =
      this->RequestId() + "." + std::to_string(this->nested_done + 1);
  nested.headers.push_back({std::string(kRequestId), id});
  // What it asks for differs too, as with real keys.
  nested.target += "?for=" + id;
  nested.headers.push_back({"Idempotency-Key", id});
  if (const auto left = this->TimeLeft(); left) {
    const auto milliseconds =
        std::chrono::duration_cast<std::chrono::milliseconds>(*left).count();
    nested.headers.push_back(
        {std::string(kTimeout),
         std::to_string(std::max<std::int64_t>(1, milliseconds))});
  }
  return nested;
}

void FakeVisit::OnNestedAnswer(std::optional<HttpResponse> response) {
  this->nested_call.reset();
  if (!response) {
    this->nested_answers.push_back("broken");
    this->Finish(kBadGateway);
    return;
  }
  const auto body =
      nlohmann::ordered_json::parse(response->body, nullptr, false);
  this->nested_answers.push_back(body.is_discarded() ? "no JSON" : body);
  if (response->status != kSuccess) {
    this->Finish(kBadGateway);
    return;
  }
  ++this->nested_done;
  this->CallNext();
}

void FakeVisit::Finish(int status) {
  this->ended = true;
  nlohmann::ordered_json body = {
      {"service", this->options.service},
      {"request_id", this->RequestId()},
      {"target", this->request.target},
      {"status", status},
      {"body_bytes", this->request.body.size()},
      {"nested", this->nested_answers},
  };
  if (this->options.response_bytes > 0) {
    body["padding"] = std::string(this->options.response_bytes, 'x');
  }
  HttpResponse response = {
      .status = status,
      .headers = {{"Content-Type", "application/json"},
                  {std::string(kRequestId), this->RequestId()}},
      .body =
          body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace)};
  // Frees what `done` holds, which may be this visit.
  const Callback callback = std::exchange(this->done, nullptr);
  callback(std::move(response));
}

}  // namespace agaterun::fakes
