#ifndef LIBRARIES_DECISION_TICKET_DIFF_H_
#define LIBRARIES_DECISION_TICKET_DIFF_H_

#include <string>
#include <vector>

#include "libraries/decision/ticket.h"

namespace agaterun::decision {

// What `ticket` would change against `in_force`, as lines for a person: one
// for each service and policy, then one for each key that differs.
std::vector<std::string> DiffTicket(const TicketState& in_force,
                                    const Ticket& ticket);

}  // namespace agaterun::decision

#endif  // LIBRARIES_DECISION_TICKET_DIFF_H_
