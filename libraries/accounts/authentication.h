#ifndef LIBRARIES_ACCOUNTS_AUTHENTICATION_H_
#define LIBRARIES_ACCOUNTS_AUTHENTICATION_H_

#include <string_view>

#include "libraries/accounts/key_index.h"
#include "libraries/base/http_message.h"
#include "libraries/routing/configuration.h"

namespace agaterun::accounts {

// Whom a caller's request is attributed to.
struct Authentication {
  bool accepted = true;
  // Valid for the lifetime of the index; nullptr if the request belongs to no
  // account.
  const routing::ClientAccount* account = nullptr;
};

// Authenticates a caller's request by the header `key_header`. A request with
// several such headers has no valid key, since it names no single account.
// Without accounts every request is accepted. On a route that needs no key, a
// valid key still attributes the request to its account.
Authentication Authenticate(const KeyIndex& keys,
                            const routing::Route& route,
                            const HttpHeaders& headers,
                            std::string_view key_header);

}  // namespace agaterun::accounts

#endif  // LIBRARIES_ACCOUNTS_AUTHENTICATION_H_
