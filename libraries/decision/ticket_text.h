#ifndef LIBRARIES_DECISION_TICKET_TEXT_H_
#define LIBRARIES_DECISION_TICKET_TEXT_H_

#include <string>

#include "libraries/decision/ticket_state.h"

namespace agaterun::decision {

// The INI sections of a service or policy, with every key written out in a
// fixed order: equal content has equal text, whatever the formatting of the
// ticket that it came from.
std::string CanonicalText(const ServiceState& service);
std::string CanonicalText(const PolicyState& policy);

// The name under which tickets merge: "service drafts", "policy shares".
std::string ItemNameOf(const ServiceState& service);
std::string ItemNameOf(const PolicyState& policy);

}  // namespace agaterun::decision

#endif  // LIBRARIES_DECISION_TICKET_TEXT_H_
