#include "libraries/load/load_generator.h"

#include <cmath>
#include <utility>

namespace agaterun::load {

namespace {

constexpr int kSuccessStatus = 200;
constexpr std::string_view kRequestIdHeader = "X-Request-Id";

// `text` with every {id} replaced, as real requests name different things.
std::string WithId(std::string text, const std::string& id) {
  constexpr std::string_view kPlaceholder = "{id}";
  for (auto at = text.find(kPlaceholder); at != std::string::npos;
       at = text.find(kPlaceholder, at + id.size())) {
    text.replace(at, kPlaceholder.size(), id);
  }
  return text;
}

Ending EndingOf(const client::CallerResult& result,
                const std::string& request_id,
                Duration timeout) {
  if (result.outcome == decision::Outcome::kNotRun) {
    return Ending::kNotRun;
  }
  if (result.outcome == decision::Outcome::kUnknown) {
    return Ending::kUnknown;
  }
  if (result.response.status != kSuccessStatus) {
    return Ending::kFailed;
  }
  // The backend server names the request in its answer.
  if (result.response.body.find("\"" + request_id + "\"") ==
      std::string::npos) {
    return Ending::kWrong;
  }
  return result.latency <= timeout ? Ending::kWhole : Ending::kUnknown;
}

}  // namespace

LoadGenerator::LoadGenerator(asio::io_context& io,
                             Options options,
                             RequestMix mix)
    : options(std::move(options)),
      mix(std::move(mix)),
      random(this->options.seed),
      client(io,
             {.nodes = this->options.nodes,
              .connections = this->options.connections,
              .seed = this->options.seed}),
      report(this->mix),
      arrival_timer(io),
      progress_timer(io) {}

void LoadGenerator::Start(std::function<void(int)> on_progress) {
  this->on_progress = std::move(on_progress);
  this->start = this->clock.Now();
  this->next_arrival = this->start;
  this->ShowProgress(1);
  this->ScheduleNext();
}

double LoadGenerator::RateAt(Duration since_start) const {
  double rate = this->options.rate;
  for (const auto& [from, until, factor] : this->options.surges) {
    if (since_start >= from && since_start < until) {
      rate *= factor;
    }
  }
  return rate;
}

void LoadGenerator::ScheduleNext() {
  const auto since_start = this->next_arrival - this->start;
  // Exponential gaps make Poisson arrivals.
  const double seconds =
      -std::log(1 - this->random.Unit()) / this->RateAt(since_start);
  this->next_arrival += std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
  if (this->next_arrival - this->start >= this->options.length) {
    return;
  }
  this->arrival_timer.expires_at(
      std::chrono::steady_clock::time_point(this->next_arrival));
  this->arrival_timer.async_wait([this](const std::error_code& error) {
    if (error) {
      return;
    }
    this->SendOne();
    this->ScheduleNext();
  });
}

void LoadGenerator::SendOne() {
  if (this->in_flight >= this->options.most_in_flight) {
    ++this->dropped;
    return;
  }
  const auto kind_index = this->mix.Draw(this->random);
  const auto& kind = this->mix.Kinds()[kind_index];
  const auto request_id = "r" + std::to_string(this->options.seed) + "-" +
                          std::to_string(this->next_request++);
  client::CallerRequest request{
      .request = {.method = kind.method,
                  .target = WithId(kind.target, request_id),
                  .headers = {{std::string(kRequestIdHeader), request_id}},
                  .body = WithId(kind.body, request_id)},
      .idempotent = kind.idempotent,
      .timeout = kind.timeout,
      .try_timeout = this->options.try_timeout,
      .resends = this->options.resends,
      .resend_policy = this->options.resend_policy};
  ++this->in_flight;
  const auto sent_at = this->next_arrival - this->start;
  this->client.Call(
      std::move(request),
      [this, kind_index, request_id, sent_at,
       timeout = kind.timeout](const client::CallerResult& result) {
        --this->in_flight;
        const LoadSample sample{.kind = kind_index,
                                .ending = EndingOf(result, request_id, timeout),
                                .sent_at = sent_at,
                                .latency = result.latency,
                                .sends = result.sends};
        this->report.Add(sample);
        if (this->options.on_end) {
          this->options.on_end(request_id, sample);
        }
      });
}

void LoadGenerator::ShowProgress(int second) {
  if (std::chrono::seconds(second) > this->options.length) {
    return;
  }
  this->progress_timer.expires_at(std::chrono::steady_clock::time_point(
      this->start + std::chrono::seconds(second)));
  this->progress_timer.async_wait([this, second](const std::error_code& error) {
    if (error) {
      return;
    }
    this->on_progress(second);
    this->ShowProgress(second + 1);
  });
}

}  // namespace agaterun::load
