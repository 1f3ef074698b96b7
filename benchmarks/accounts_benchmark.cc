#include <chrono>
#include <cstdio>
#include <memory>
#include <string>

#include "libraries/accounts/account_quotas.h"
#include "libraries/accounts/authentication.h"
#include "libraries/base/clock.h"

// Measures what keys and quotas cost: per request the lookup of a key and one
// token, and the time to build the index of a large configuration.
namespace agaterun::accounts {

namespace {

constexpr int kAccounts = 10'000;
constexpr int kKeysPerAccount = 3;
constexpr int kRequests = 2'000'000;

std::string KeyOf(int account, int key) {
  return "key-" + std::to_string(account * 7919 + key) + "-of-an-account";
}

std::shared_ptr<const routing::Configuration> LargeConfiguration() {
  auto configuration = std::make_shared<routing::Configuration>();
  for (int account = 0; account < kAccounts; ++account) {
    routing::ClientAccount added{.name = "account-" + std::to_string(account),
                                 .requests_per_second = 1e6,
                                 .burst = 1e6};
    for (int key = 0; key < kKeysPerAccount; ++key) {
      added.keys.push_back(KeyOf(account, key));
    }
    configuration->accounts.push_back(std::move(added));
  }
  return configuration;
}

void Run() {
  const MonotonicClock clock;
  const auto configuration = LargeConfiguration();
  const auto started = clock.Now();
  const KeyIndex index(configuration, /*seed=*/1);
  const auto built = clock.Now();
  AccountQuotas quotas;
  quotas.Update(built, {}, {.reporting = 1, .listed = 1});
  const routing::Route route;
  const HttpHeaders headers = {
      {"Host", "desk.example"}, {"Id", "1"}, {"Key", KeyOf(kAccounts / 2, 1)}};
  int admitted = 0;
  const auto first = clock.Now();
  for (int request = 0; request < kRequests; ++request) {
    const auto found = Authenticate(index, route, headers, "Key");
    const auto now = first + std::chrono::microseconds(request);
    admitted += quotas.Take(now, *found.account).admitted ? 1 : 0;
  }
  const auto taken = clock.Now() - first;
  std::printf("index of %d keys built in %.1f ms\n",
              kAccounts * kKeysPerAccount, ToMilliseconds(built - started));
  std::printf("lookup and token: %.0f ns a request, %d of %d admitted\n",
              ToSeconds(taken) * 1e9 / kRequests, admitted, kRequests);
}

}  // namespace

}  // namespace agaterun::accounts

int main() {
  agaterun::accounts::Run();
}
