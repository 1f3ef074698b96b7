#ifndef LIBRARIES_CALLS_IMPORTANCE_H_
#define LIBRARIES_CALLS_IMPORTANCE_H_

#include <cstdint>

#include "libraries/decision/request_types.h"
#include "libraries/routing/configuration.h"

namespace agaterun::calls {

// Together these determine the rank of a caller's request, see
// decision::RankOf(). Nested calls inherit both from their request.
decision::Importance ImportanceOf(const routing::Route& route);
// `account` is nullptr if the request belongs to no client account.
std::uint8_t AccountPriorityOf(const routing::ClientAccount* account);

}  // namespace agaterun::calls

#endif  // LIBRARIES_CALLS_IMPORTANCE_H_
