#include "libraries/accounts/authentication.h"

#include <algorithm>

namespace agaterun::accounts {

namespace {

const routing::ClientAccount* AccountOf(const KeyIndex& keys,
                                        const HttpHeaders& headers,
                                        std::string_view key_header) {
  const auto has_name = [&](const HttpHeader& header) {
    return EqualsIgnoringCase(header.name, key_header);
  };
  const auto first = std::find_if(headers.begin(), headers.end(), has_name);
  if (first == headers.end() ||
      std::any_of(first + 1, headers.end(), has_name)) {
    return nullptr;
  }
  return keys.Find(first->value);
}

}  // namespace

Authentication Authenticate(const KeyIndex& keys,
                            const routing::Route& route,
                            const HttpHeaders& headers,
                            std::string_view key_header) {
  if (!keys.HasAccounts()) {
    return {};
  }
  const auto* account = AccountOf(keys, headers, key_header);
  return {.accepted = account != nullptr || !route.requires_key,
          .account = account};
}

}  // namespace agaterun::accounts
