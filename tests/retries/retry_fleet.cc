#include "tests/retries/retry_fleet.h"

#include <algorithm>
#include <array>
#include <numeric>

namespace agaterun::retries {

namespace {

constexpr Duration kStep = 20ms;
constexpr const char* kService = "ledger";

// Endpoints that one request may reach at most.
constexpr int kMaxEndpoints = 3;

// Sums of the first 0, 1, 2, ... counts.
std::vector<int> RunningSums(const std::vector<int>& counts) {
  std::vector<int> sums = {0};
  for (const int count : counts) {
    sums.push_back(sums.back() + count);
  }
  return sums;
}

// Sum of the counts in [from, to), of which those before the first are zero.
int Sum(const std::vector<int>& sums, std::ptrdiff_t from, std::ptrdiff_t to) {
  const auto at = [&](std::ptrdiff_t place) {
    return sums[static_cast<std::size_t>(std::max<std::ptrdiff_t>(0, place))];
  };
  return at(to) - at(from);
}

}  // namespace

RetryFleet::RetryFleet(Options options)
    : options(options),
      random(options.seed),
      nodes(static_cast<std::size_t>(options.nodes)) {
  for (auto& node : this->nodes) {
    node.quota = this->MakeQuota();
  }
}

RetryQuota RetryFleet::MakeQuota() const {
  RetryQuota quota({.ratio = this->options.ratio,
                    .extra = this->options.extra,
                    .window = this->options.window},
                   kStep * static_cast<int>(this->requests.size()));
  quota.SetFleetSize(static_cast<std::size_t>(this->options.nodes));
  return quota;
}

void RetryFleet::SetTraffic(double new_per_second, double new_failing) {
  this->per_second = new_per_second;
  this->failing = new_failing;
}

void RetryFleet::Restart(int count, Duration down) {
  const Instant now = kStep * static_cast<int>(this->requests.size());
  std::vector<std::size_t> order(this->nodes.size());
  std::iota(order.begin(), order.end(), std::size_t{0});
  for (std::size_t place = order.size(); place > 1; --place) {
    std::swap(order[place - 1], order[this->random.Below(place)]);
  }
  order.resize(std::min(order.size(), static_cast<std::size_t>(count)));
  for (const auto index : order) {
    this->nodes[index].quota.reset();
    this->nodes[index].starts_at = now + down;
  }
}

void RetryFleet::ReceiveRequest(Node& node) {
  const Instant now = kStep * static_cast<int>(this->requests.size());
  node.quota->AddRequest(now, kService);
  ++this->requests.back();
  for (int attempt = 1; attempt < kMaxEndpoints; ++attempt) {
    if (this->random.Unit() >= this->failing ||
        !node.quota->TryConsume(now, kService, 1)) {
      return;
    }
    ++this->retries.back();
  }
}

void RetryFleet::Step() {
  this->requests.push_back(0);
  this->retries.push_back(0);
  const Instant now = kStep * static_cast<int>(this->requests.size());
  const double per_node = this->per_second * ToMilliseconds(kStep) / 1000 /
                          static_cast<double>(this->nodes.size());
  for (auto& node : this->nodes) {
    if (!node.quota) {
      if (now < node.starts_at) {
        continue;
      }
      node.quota = this->MakeQuota();
    }
    // A varying number of requests per step, with the mean of the rate.
    node.requests_due += per_node * 2 * this->random.Unit();
    for (; node.requests_due >= 1; node.requests_due -= 1) {
      this->ReceiveRequest(node);
    }
  }
}

void RetryFleet::AdvanceTo(Instant end) {
  while (kStep * static_cast<int>(this->requests.size()) < end) {
    this->Step();
  }
}

void RetryFleet::PlayRandomFaults(Instant end) {
  constexpr std::array kRates = {2.0, 20.0, 100.0, 400.0};
  constexpr std::array kFailing = {0.0, 0.1, 0.5, 0.9, 1.0};
  this->AdvanceTo(this->options.window);
  Instant now = this->options.window;
  while (now < end) {
    if (this->random.Unit() < 0.5) {
      this->SetTraffic(kRates[this->random.Below(kRates.size())],
                       kFailing[this->random.Below(kFailing.size())]);
    }
    if (this->random.Unit() < 0.5) {
      this->Restart(static_cast<int>(this->random.Below(
                        static_cast<std::size_t>(this->options.nodes) + 1)),
                    100ms * static_cast<int>(1 + this->random.Below(20)));
    }
    now += 100ms * static_cast<int>(1 + this->random.Below(60));
    this->AdvanceTo(now);
  }
}

RetryFleet::Window RetryFleet::WorstWindow() const {
  const auto steps = this->options.window / kStep;
  const auto request_sums = RunningSums(this->requests);
  const auto retry_sums = RunningSums(this->retries);
  Window worst{.limit = this->options.extra};
  const auto last = static_cast<std::ptrdiff_t>(this->requests.size());
  for (std::ptrdiff_t end = 1; end <= last; ++end) {
    const auto begin = end - steps;
    const auto most_requests =
        std::max({Sum(request_sums, begin, end),
                  Sum(request_sums, begin - steps / 2, end - steps / 2),
                  Sum(request_sums, begin - steps, begin)});
    const Window window{
        .end = kStep * static_cast<int>(end),
        .retries = Sum(retry_sums, begin, end),
        .limit = this->options.ratio * most_requests + this->options.extra};
    if (window.retries * worst.limit > worst.retries * window.limit) {
      worst = window;
    }
  }
  return worst;
}

int RetryFleet::Retries() const {
  return std::accumulate(this->retries.begin(), this->retries.end(), 0);
}

}  // namespace agaterun::retries
