#include "libraries/accounts/key_index.h"

#include <xxhash.h>

#include <utility>

namespace agaterun::accounts {

std::size_t KeyIndex::SeededHash::operator()(std::string_view key) const {
  return XXH3_64bits_withSeed(key.data(), key.size(), this->seed);
}

KeyIndex::KeyIndex(std::shared_ptr<const routing::Configuration> configuration,
                   std::uint64_t seed)
    : configuration(std::move(configuration)),
      by_key(/*bucket_count=*/0, SeededHash{.seed = seed}) {
  std::size_t keys = 0;
  for (const auto& account : this->configuration->accounts) {
    keys += account.keys.size();
  }
  this->by_key.reserve(keys);
  for (const auto& account : this->configuration->accounts) {
    for (const auto& key : account.keys) {
      this->by_key.emplace(key, &account);
    }
  }
}

const routing::ClientAccount* KeyIndex::Find(std::string_view key) const {
  const auto found = this->by_key.find(key);
  return found == this->by_key.end() ? nullptr : found->second;
}

}  // namespace agaterun::accounts
