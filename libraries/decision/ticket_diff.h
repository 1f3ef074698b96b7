#ifndef LIBRARIES_DECISION_TICKET_DIFF_H_
#define LIBRARIES_DECISION_TICKET_DIFF_H_

#include <string>
#include <vector>

#include "libraries/decision/ticket.h"

namespace agaterun::decision {

// Describes what `ticket` would change compared with `in_force`, as lines for
// an operator: one for each service and policy, each followed by one for each
// key that differs.
std::vector<std::string> DiffTicket(const TicketState& in_force,
                                    const Ticket& ticket);

}  // namespace agaterun::decision

#endif  // LIBRARIES_DECISION_TICKET_DIFF_H_
