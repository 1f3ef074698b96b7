#include "libraries/decision/ticket_diff.h"

#include <map>

#include "libraries/base/ini_document.h"

namespace agaterun::decision {

namespace {

// Values by "[SECTION] KEY". Canonical texts have no syntax errors, so none are
// reported.
std::map<std::string, std::string> ValuesByKey(const std::string& text) {
  IniFaults faults;
  const auto document = IniDocument::Parse(text, faults);
  std::map<std::string, std::string> keys;
  for (const auto& section : document.Sections()) {
    for (const auto& entry : section.entries) {
      keys["[" + section.name + "] " + entry.key] = entry.value;
    }
  }
  return keys;
}

void DiffKeys(const std::string& before_text,
              const std::string& after_text,
              std::vector<std::string>& lines) {
  const auto before = ValuesByKey(before_text);
  const auto after = ValuesByKey(after_text);
  for (const auto& [key, value] : before) {
    const auto found = after.find(key);
    if (found == after.end()) {
      lines.push_back("  - " + key + " = " + value);
    } else if (found->second != value) {
      lines.push_back("  ~ " + key + " = " + value + " -> " + found->second);
    }
  }
  for (const auto& [key, value] : after) {
    if (!before.contains(key)) {
      lines.push_back("  + " + key + " = " + value);
    }
  }
}

}  // namespace

std::vector<std::string> DiffTicket(const TicketState& in_force,
                                    const Ticket& ticket) {
  std::vector<std::string> lines;
  const auto number = std::to_string(ticket.number);
  for (const auto& item : ticket.items) {
    const auto existing = in_force.items.find(item.name);
    if (existing == in_force.items.end()) {
      lines.push_back(item.name + ": new with " + number);
      DiffKeys("", item.text, lines);
      continue;
    }
    const auto& before = existing->second;
    const auto change =
        item.name + ": " + std::to_string(before.number) + " -> " + number;
    if (before.number > ticket.number) {
      lines.push_back(change + ", no effect: the larger number stays");
    } else if (before.text == item.text) {
      lines.push_back(change + ", same content");
    } else if (before.number == ticket.number) {
      lines.push_back(change +
                      ", conflict: another text has this number; issue the "
                      "next one");
    } else {
      lines.push_back(change);
      DiffKeys(before.text, item.text, lines);
    }
  }
  return lines;
}

}  // namespace agaterun::decision
