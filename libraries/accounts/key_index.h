#ifndef LIBRARIES_ACCOUNTS_KEY_INDEX_H_
#define LIBRARIES_ACCOUNTS_KEY_INDEX_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string_view>
#include <unordered_map>

#include "libraries/routing/configuration.h"

namespace agaterun::accounts {

// Finds the client account that a key belongs to, in constant time.
class KeyIndex {
 public:
  // `seed` is random and differs between processes, so that a caller can't
  // choose keys that collide in the hash table.
  KeyIndex(std::shared_ptr<const routing::Configuration> configuration,
           std::uint64_t seed);

  // False if the configuration has no accounts, so that requests need no key.
  bool HasAccounts() const { return !this->configuration->accounts.empty(); }

  // The account that holds `key`, valid for the lifetime of the index; nullptr
  // if no account does.
  const routing::ClientAccount* Find(std::string_view key) const;

 private:
  struct SeededHash {
    std::uint64_t seed = 0;
    std::size_t operator()(std::string_view key) const;
  };

  std::shared_ptr<const routing::Configuration> configuration;
  std::
      unordered_map<std::string_view, const routing::ClientAccount*, SeededHash>
          by_key;
};

}  // namespace agaterun::accounts

#endif  // LIBRARIES_ACCOUNTS_KEY_INDEX_H_
