#ifndef LIBRARIES_ACCOUNTS_ACCOUNT_QUOTAS_H_
#define LIBRARIES_ACCOUNTS_ACCOUNT_QUOTAS_H_

#include <string>
#include <unordered_map>
#include <vector>

#include "libraries/accounts/decaying_rate.h"
#include "libraries/admission/fleet_demand.h"
#include "libraries/base/time.h"
#include "libraries/routing/configuration.h"

namespace agaterun::accounts {

// Client accounts in a heartbeat, and in each of its aggregates. Those that use
// most of their limits are reported.
inline constexpr std::size_t kMaxReportedAccounts = 24;

// Reports of the use of account limits. They are dropped earlier than those of
// demand, since a node that is cut off may otherwise use the part of others.
inline constexpr admission::FleetDemand::Options kAccountReports = {
    .max_reported = kMaxReportedAccounts,
    .timeout = 800ms};

// Limits the requests of client accounts over the whole fleet, without a
// coordinator. Each node has a token bucket for each account that its callers
// use. The bucket is filled with the node's part of the account's rate: the
// part of the fleet's requests of that account that this node receives. Nodes
// report how much of each limit their callers use, and a node that reaches only
// a part of the fleet shares out only that part of the limit.
class AccountQuotas {
 public:
  // What the platform tolerates in any `window`: (rate x window + burst) x
  // (1 + overage) + slack requests of an account.
  struct Options {
    Duration window = 5s;
    double overage = 0.25;
    double slack = 20;  // Requests.
  };

  struct Verdict {
    bool admitted = true;
    Duration retry_after{};  // Time until a token is available.
  };

  // Part of the fleet whose use of the limits is known at this node.
  struct Coverage {
    int reporting = 0;  // Nodes, this one included.
    int listed = 0;     // Nodes of the platform's list.
  };

  // Use of one account's limit, for operators.
  struct AccountUse {
    std::string account;
    double limit = 0;     // Requests per second of the whole fleet.
    double part = 0;      // Of the limit, that this node may use.
    double offered = 0;   // Requests per second at this node.
    double admitted = 0;  // The same, without refused ones.
    double tokens = 0;
    double fleet_balance = 0;  // Requests that the fleet may still run at once.
  };

  void SetOptions(Options new_options) { this->options = new_options; }

  // Takes a token for a request of `account`, if there is one.
  Verdict Take(Instant now, const routing::ClientAccount& account);

  // Returns the token of a request that was refused later and did not run.
  void Return(Instant now, const std::string& account);

  // Use of the accounts by the callers of this node, for reports: by account,
  // the offered and the admitted requests, in thousandths of the limit. Leaves
  // out accounts of whose limit this node uses little.
  admission::Demand LocalUse(Instant now) const;

  // Sets the use by the whole fleet, as LocalUse has it, and the part of the
  // fleet that it covers. To be called several times a second.
  void Update(Instant now,
              const admission::Demand& fleet_use,
              const Coverage& coverage);

  // The accounts that use their limits most, at most `count`.
  std::vector<AccountUse> HighestUse(Instant now, std::size_t count) const;

 private:
  // Offered requests determine this node's part of a limit, which should not
  // follow single requests. Admitted ones are added up, so that averaging them
  // only delays the sum.
  static constexpr Duration kOfferedHalfLife = 700ms;
  static constexpr Duration kAdmittedHalfLife = 300ms;

  struct Limit {
    double rate = 0;
    double burst = 0;
  };

  struct Account {
    Limit limit;
    DecayingRate offered{kOfferedHalfLife};
    DecayingRate admitted{kAdmittedHalfLife};
    double part = 0;  // Of the limit, that this node may use.
    double tokens = 0;
    Instant filled_at{};
    // By other nodes, in requests per second.
    double others_offered = 0;
    double others_admitted = 0;
    double fleet_balance = 0;
    Instant next_return{};  // Latest time that a refused caller was given.
    Instant last_request{};
  };

  Account& FindOrAdd(Instant now, const routing::ClientAccount& account);
  // Whether a former process of this node may have admitted requests in the
  // current window.
  bool IsRestarted(Instant now) const {
    return now - this->started_at < this->options.window;
  }
  // Tolerated requests beyond the limit in a window.
  double Tolerance(const Limit& limit) const;
  // The part of the limit that this node has if all nodes have the same part.
  // 0 while no node is listed.
  double EvenPart() const {
    return this->coverage.listed > 0 ? 1.0 / this->coverage.listed : 0;
  }
  // The part of the fleet's requests of the account that this node receives.
  double OfferedFraction(Instant now, const Account& account) const;
  // Whether this node's group receives more requests of the account than its
  // part of the rate allows.
  bool IsInSurge(Instant now, const Account& account) const;
  double ExtraTokens(Instant now, const Account& account) const;
  // Tokens per second that this node's bucket gets.
  double FillRate(const Account& account) const {
    return account.part * this->covered_part * account.limit.rate;
  }
  // Time after which a refused caller should retry, at least `earliest`.
  Duration PromiseReturn(Instant now,
                         Account& account,
                         Duration earliest) const;
  void UpdatePart(Instant now, Account& account, double elapsed);
  // Adapts the part of an account in a surge to a group that has grown.
  void ShrinkPart(Instant now, Account& account) const;
  void Fill(Instant now, Account& account);
  void UpdateBalance(Instant now, Account& account, double seconds);
  void UpdateDebts(const admission::Demand& fleet_use, double seconds);

  Options options;
  std::unordered_map<std::string, Account> accounts;
  // Of accounts that only other nodes use: what the fleet admitted beyond their
  // rate, in seconds of the rate.
  std::unordered_map<std::string, double> debts;
  double covered_part = 0;  // Part of the limits that this group may use.
  Coverage coverage;
  int recent_listed = 0;
  Instant recent_listed_at{};
  Instant started_at{};  // First update.
  Instant updated_at{};
};

}  // namespace agaterun::accounts

#endif  // LIBRARIES_ACCOUNTS_ACCOUNT_QUOTAS_H_
