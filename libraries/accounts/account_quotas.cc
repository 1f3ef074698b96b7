#include "libraries/accounts/account_quotas.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace agaterun::accounts {

namespace {

// Position of the rates of an account in reports.
constexpr std::size_t kOffered = 0;
constexpr std::size_t kAdmitted = 1;

constexpr double kThousandths = 1000;

// A node that uses less than this fraction of its even part of a limit doesn't
// report it. All such nodes together can't use more than the fraction.
constexpr double kMinReportedFraction = 0.1;

// The part of the tolerance that is given out as tokens. The rest covers
// differences between the reports of nodes, their age, and tokens being whole.
constexpr double kBurstFractionOfTolerance = 0.15;

// A restarted node that receives reports of less than this part of the fleet
// admits nothing in advance.
constexpr double kMinKnownPart = 0.5;

// The fleet may admit this part of the tolerance beyond the limit before its
// nodes refuse.
constexpr double kDebtFractionOfTolerance = 0.1;

// Tokens of a node beyond its part of the burst, for uneven arrivals at a node
// with few requests: its even part of the tolerance within these bounds, or
// what its even part of the rate fills up in kExtraTime, whichever is more.
constexpr double kMinExtraTokens = 2;
constexpr double kMaxToleranceTokens = 3;
constexpr Duration kExtraTime = 400ms;

// An account is in a surge when its requests exceed its rate by this many
// standard deviations of requests that arrive at random.
constexpr double kSurgeDeviations = 3;

// A node's part of a limit follows its requests with this delay. After a
// restart it follows slowly, since the reports of others may still lack their
// requests.
constexpr Duration kPartHalfLife = 500ms;
constexpr Duration kPartHalfLifeAfterRestart = 3s;

// The fleet's size is the largest of this time: nodes that are cut off leave
// the list while they may still serve.
constexpr Duration kListedMemory = 20s;

// Accounts without requests for this long are forgotten; their buckets are full
// by then.
constexpr Duration kIdleTimeout = 60s;

constexpr Duration kMinRetryAfter = 100ms;
constexpr Duration kMaxRetryAfter = 5s;

// The least fraction of a limit that retry delays are computed from.
constexpr double kMinFillRate = 1e-3;

// A rate that was reported for an account, in parts of its limit.
double RateOf(const admission::Demand& use,
              const std::string& account,
              std::size_t rate) {
  const auto found = use.find(account);
  return found == use.end() ? 0 : found->second[rate] / kThousandths;
}

// The wait after which `rate` has filled up `missing` tokens, rounded up.
Duration TimeToFill(double missing, double rate) {
  const double seconds = std::min(missing / std::max(rate, kMinFillRate),
                                  ToSeconds(kMaxRetryAfter));
  const auto wait = std::chrono::ceil<std::chrono::milliseconds>(
      std::chrono::duration<double>(seconds));
  return std::clamp<Duration>(wait + 1ms, kMinRetryAfter, kMaxRetryAfter);
}

}  // namespace

double AccountQuotas::Tolerance(const Limit& limit) const {
  const double quota =
      limit.rate * ToSeconds(this->options.window) + limit.burst;
  return quota * this->options.overage + this->options.slack;
}

AccountQuotas::Account& AccountQuotas::FindOrAdd(
    Instant now,
    const routing::ClientAccount& configured) {
  const auto [found, is_new] = this->accounts.try_emplace(configured.name);
  auto& account = found->second;
  account.limit = {.rate = configured.requests_per_second,
                   .burst = configured.burst};
  if (is_new) {
    account.filled_at = now;
    account.part = this->EvenPart();
    account.offered.Add(now, 1);
    // What the former process at this address admitted in the current window is
    // not known.
    const bool is_restarted = this->IsRestarted(now);
    account.fleet_balance =
        is_restarted ? 0 : configured.burst * this->covered_part;
    if (const auto debt = this->debts.find(configured.name);
        debt != this->debts.end()) {
      account.fleet_balance -= debt->second * configured.requests_per_second;
      this->debts.erase(debt);
    }
    // Fill() reduces this to the capacity.
    account.tokens = is_restarted
                         ? std::min(1.0, this->covered_part / kMinKnownPart)
                         : configured.burst + this->Tolerance(account.limit);
  }
  return account;
}

double AccountQuotas::OfferedFraction(Instant now,
                                      const Account& account) const {
  const double local = account.offered.PerSecond(now);
  const double total = local + account.others_offered;
  return total > 0 ? local / total : 0;
}

bool AccountQuotas::IsInSurge(Instant now, const Account& account) const {
  const double rate = account.limit.rate * this->covered_part;
  const double offered =
      account.offered.PerSecond(now) + account.others_offered;
  return offered > rate + kSurgeDeviations * std::sqrt(rate);
}

double AccountQuotas::ExtraTokens(Instant now, const Account& account) const {
  if (this->IsInSurge(now, account)) {
    return 1;
  }
  const double even_tolerance =
      this->Tolerance(account.limit) * this->EvenPart();
  return std::max(
      std::clamp(even_tolerance, kMinExtraTokens, kMaxToleranceTokens),
      account.limit.rate * this->EvenPart() * ToSeconds(kExtraTime));
}

void AccountQuotas::UpdatePart(Instant now, Account& account, double elapsed) {
  const auto half_life =
      this->IsRestarted(now) ? kPartHalfLifeAfterRestart : kPartHalfLife;
  const double kept = std::exp2(-elapsed / ToSeconds(half_life));
  account.part =
      account.part * kept + this->OfferedFraction(now, account) * (1 - kept);
}

void AccountQuotas::ShrinkPart(Instant now, Account& account) const {
  // Without a delay: until now the nodes of each group divided the whole limit
  // among themselves.
  const double fraction = this->OfferedFraction(now, account);
  account.part = std::min(account.part, std::max(fraction, this->EvenPart()));
}

void AccountQuotas::Fill(Instant now, Account& account) {
  const double elapsed = ToSeconds(now - account.filled_at);
  account.filled_at = now;
  this->UpdatePart(now, account, elapsed);
  const double part = account.part * this->covered_part;
  const double burst = account.limit.burst + this->Tolerance(account.limit) *
                                                 kBurstFractionOfTolerance;
  const double capacity = part * burst + this->ExtraTokens(now, account);
  account.tokens =
      std::min(capacity, account.tokens + part * account.limit.rate * elapsed);
}

Duration AccountQuotas::PromiseReturn(Instant now,
                                      Account& account,
                                      Duration earliest) const {
  // One token is available for each refused caller, one after another.
  const auto spacing = TimeToFill(1, this->FillRate(account));
  account.next_return = std::clamp<Instant>(
      account.next_return + spacing, now + earliest, now + kMaxRetryAfter);
  return account.next_return - now;
}

AccountQuotas::Verdict AccountQuotas::Take(
    Instant now,
    const routing::ClientAccount& configured) {
  if (!configured.HasLimit()) {
    return {};
  }
  auto& account = this->FindOrAdd(now, configured);
  account.last_request = now;
  this->Fill(now, account);
  account.offered.Add(now, 1);
  const double lowest_balance = -this->Tolerance(account.limit) *
                                kDebtFractionOfTolerance * this->covered_part;
  if (account.fleet_balance < lowest_balance) {
    const double missing = lowest_balance - account.fleet_balance;
    return {.admitted = false,
            .retry_after = this->PromiseReturn(
                now, account, TimeToFill(missing, account.limit.rate))};
  }
  if (account.tokens < 1) {
    const double missing = 1 - account.tokens;
    return {.admitted = false,
            .retry_after = this->PromiseReturn(
                now, account, TimeToFill(missing, this->FillRate(account)))};
  }
  account.tokens -= 1;
  account.admitted.Add(now, 1);
  return {};
}

void AccountQuotas::Return(Instant now, const std::string& name) {
  if (const auto found = this->accounts.find(name);
      found != this->accounts.end()) {
    found->second.tokens += 1;
    found->second.admitted.Add(now, -1);
  }
}

admission::Demand AccountQuotas::LocalUse(Instant now) const {
  admission::Demand use;
  for (const auto& [name, account] : this->accounts) {
    const double offered = account.offered.PerSecond(now) / account.limit.rate;
    if (offered < kMinReportedFraction * this->EvenPart()) {
      continue;
    }
    auto& rates = use[name];
    rates[kOffered] = offered * kThousandths;
    rates[kAdmitted] =
        account.admitted.PerSecond(now) / account.limit.rate * kThousandths;
  }
  return use;
}

void AccountQuotas::UpdateBalance(Instant now,
                                  Account& account,
                                  double seconds) {
  const double admitted =
      account.admitted.PerSecond(now) + account.others_admitted;
  const double gained = account.limit.rate * this->covered_part - admitted;
  account.fleet_balance = std::clamp(account.fleet_balance + gained * seconds,
                                     -2 * this->Tolerance(account.limit),
                                     account.limit.burst * this->covered_part);
}

void AccountQuotas::Update(Instant now,
                           const admission::Demand& fleet_use,
                           const Coverage& new_coverage) {
  if (this->started_at == Instant{}) {
    this->started_at = now;
    this->updated_at = now;
  }
  const double seconds = ToSeconds(now - this->updated_at);
  this->updated_at = now;
  this->coverage = new_coverage;
  if (new_coverage.listed >= this->recent_listed ||
      now - this->recent_listed_at > kListedMemory) {
    this->recent_listed = new_coverage.listed;
    this->recent_listed_at = now;
  }
  const double covered =
      this->recent_listed > 0
          ? static_cast<double>(new_coverage.reporting) / this->recent_listed
          : 0;
  const double former_covered_part = this->covered_part;
  this->covered_part = std::min(1.0, covered);
  std::erase_if(this->accounts, [&](const auto& item) {
    return now - item.second.last_request > kIdleTimeout;
  });
  this->UpdateDebts(fleet_use, seconds);
  for (auto& [name, account] : this->accounts) {
    // Tokens up to now are filled with the former part.
    this->Fill(now, account);
    const double offered =
        RateOf(fleet_use, name, kOffered) * account.limit.rate;
    const double admitted =
        RateOf(fleet_use, name, kAdmitted) * account.limit.rate;
    account.others_offered =
        std::max(0.0, offered - account.offered.PerSecond(now));
    account.others_admitted =
        std::max(0.0, admitted - account.admitted.PerSecond(now));
    if (this->covered_part > former_covered_part &&
        this->IsInSurge(now, account)) {
      this->ShrinkPart(now, account);
    }
    this->UpdateBalance(now, account, seconds);
  }
}

void AccountQuotas::UpdateDebts(const admission::Demand& fleet_use,
                                double seconds) {
  for (const auto& [name, rates] : fleet_use) {
    this->debts.try_emplace(name, 0);
  }
  for (auto& [name, debt] : this->debts) {
    debt += (RateOf(fleet_use, name, kAdmitted) - this->covered_part) * seconds;
  }
  std::erase_if(this->debts, [&](const auto& item) {
    return item.second <= 0 || this->accounts.contains(item.first);
  });
}

std::vector<AccountQuotas::AccountUse> AccountQuotas::HighestUse(
    Instant now,
    std::size_t count) const {
  std::vector<AccountUse> uses;
  for (const auto& [name, account] : this->accounts) {
    uses.push_back({.account = name,
                    .limit = account.limit.rate,
                    .part = account.part * this->covered_part,
                    .offered = account.offered.PerSecond(now),
                    .admitted = account.admitted.PerSecond(now),
                    .tokens = account.tokens,
                    .fleet_balance = account.fleet_balance});
  }
  std::sort(uses.begin(), uses.end(), [](const auto& left, const auto& right) {
    return left.offered * right.limit > right.offered * left.limit;
  });
  uses.resize(std::min(uses.size(), count));
  return uses;
}

}  // namespace agaterun::accounts
