#include "libraries/decision/ticket.h"

#include <xxhash.h>

#include <algorithm>
#include <tuple>

#include "libraries/base/ini_document.h"
#include "libraries/decision/ticket_parser.h"
#include "libraries/decision/ticket_text.h"

namespace agaterun::decision {

namespace {

// Hashes fixed-size numbers and length-prefixed texts, so that two different
// sequences can't get the same hash by having the same concatenation.
class Hasher {
 public:
  void Add(std::uint64_t number) {
    for (int shift = 0; shift < 64; shift += 8) {
      this->bytes.push_back(static_cast<char>(number >> shift));
    }
  }
  void Add(std::string_view text) {
    this->Add(std::uint64_t{text.size()});
    this->bytes += text;
  }
  std::uint64_t Digest() const {
    return XXH64(this->bytes.data(), this->bytes.size(), 0);
  }

 private:
  std::string bytes;
};

std::uint64_t HashOf(std::string_view text) {
  return XXH64(text.data(), text.size(), 0);
}

std::vector<TicketFault> ToTicketFaults(const IniFaults& faults) {
  std::vector<TicketFault> result;
  for (const auto& fault : faults) {
    std::string message;
    if (!fault.section.empty()) {
      message += "[" + fault.section + "] ";
    }
    if (!fault.key.empty()) {
      message += fault.key + ": ";
    }
    result.push_back({.line = fault.line, .message = message + fault.message});
  }
  std::stable_sort(result.begin(), result.end(),
                   [](const TicketFault& left, const TicketFault& right) {
                     return left.line < right.line;
                   });
  return result;
}

tl::unexpected<std::vector<TicketFault>> WholeTextFault(std::string message) {
  return tl::unexpected(
      std::vector{TicketFault{.line = 0, .message = std::move(message)}});
}

std::string TooLargeMessage(std::size_t bytes) {
  return std::to_string(bytes) + " bytes are more than the " +
         std::to_string(kMaxTicketBytes) +
         " that a ticket may have; split it into several tickets";
}

// The order that decides on every node which of two items with one name wins.
auto MergeOrder(const TicketItem& item) {
  return std::tie(item.number, item.ticket_hash, item.text_hash);
}

// Sets on every item the hash of the whole ticket and the names of all its
// items.
void SetTicketHashAndSiblings(Ticket& ticket) {
  Hasher hasher;
  std::vector<std::string> names;
  for (const auto& item : ticket.items) {
    hasher.Add(item.text);
    names.push_back(item.name);
  }
  for (auto& item : ticket.items) {
    item.number = ticket.number;
    item.ticket_hash = hasher.Digest();
    item.siblings = names;
  }
}

}  // namespace

tl::expected<Ticket, std::vector<TicketFault>> ParseTicket(
    std::string_view text) {
  if (text.size() > kMaxTicketBytes) {
    return WholeTextFault(TooLargeMessage(text.size()));
  }
  IniFaults faults;
  const auto document = IniDocument::Parse(text, faults);
  TicketParser parser(document, faults);
  parser.Read(/*with_number=*/true);
  if (!faults.empty()) {
    return tl::unexpected(ToTicketFaults(faults));
  }
  Ticket ticket{.number = parser.Number()};
  std::size_t bytes = 0;
  const auto add = [&](const auto& content) {
    ticket.items.push_back(
        {.name = ItemNameOf(content), .text = CanonicalText(content)});
    bytes += ticket.items.back().text.size();
  };
  for (const auto& [name, policy] : parser.Policies()) {
    add(*policy);
  }
  for (const auto& [name, service] : parser.Services()) {
    add(*service);
  }
  if (ticket.items.empty()) {
    return WholeTextFault("the ticket has only a number; add [service NAME]");
  }
  if (ticket.items.size() > kMaxTicketItems) {
    return WholeTextFault(std::to_string(ticket.items.size()) +
                          " services and policies are more than the " +
                          std::to_string(kMaxTicketItems) +
                          " that a ticket may have; split it");
  }
  // Nodes send each other the canonical text, so it has to fit their frames
  // too.
  if (bytes > kMaxTicketBytes) {
    return WholeTextFault("with all defaults written out, " +
                          TooLargeMessage(bytes));
  }
  SetTicketHashAndSiblings(ticket);
  return ticket;
}

tl::expected<TicketItem, std::vector<TicketFault>> ParseTicketItem(
    const TicketItemText& item) {
  if (item.text.size() > kMaxTicketBytes) {
    return WholeTextFault(TooLargeMessage(item.text.size()));
  }
  IniFaults faults;
  const auto document = IniDocument::Parse(item.text, faults);
  TicketParser parser(document, faults);
  parser.Read(/*with_number=*/false);
  if (!faults.empty()) {
    return tl::unexpected(ToTicketFaults(faults));
  }
  if (parser.Services().size() + parser.Policies().size() != 1) {
    return WholeTextFault("expected the text of exactly one service or policy");
  }
  TicketItem parsed{.name = item.name,
                    .number = item.number,
                    .ticket_hash = item.ticket_hash,
                    .text_hash = HashOf(item.text),
                    .text = item.text,
                    .siblings = item.siblings};
  if (!parser.Services().empty()) {
    parsed.service = parser.Services().begin()->second;
  } else {
    parsed.policy = parser.Policies().begin()->second;
  }
  const auto name =
      parsed.service ? ItemNameOf(*parsed.service) : ItemNameOf(*parsed.policy);
  if (name != item.name || item.number == 0) {
    return WholeTextFault("the text defines '" + name +
                          "', but was received as '" + item.name + "' number " +
                          std::to_string(item.number));
  }
  return parsed;
}

std::uint64_t DigestOf(const std::vector<TicketItemVersion>& versions) {
  Hasher hasher;
  for (const auto& version : versions) {
    hasher.Add(version.name);
    hasher.Add(version.number);
    hasher.Add(version.ticket_hash);
    hasher.Add(version.text_hash);
  }
  return hasher.Digest();
}

std::vector<TicketItemVersion> VersionsOf(const TicketState& state) {
  std::vector<TicketItemVersion> versions;
  for (const auto& [name, item] : state.items) {
    versions.push_back({.name = name,
                        .number = item.number,
                        .ticket_hash = item.ticket_hash,
                        .text_hash = item.text_hash});
  }
  return versions;
}

std::shared_ptr<const TicketState> MergeTicketItems(
    const std::shared_ptr<const TicketState>& state,
    const std::vector<TicketItem>& items,
    std::vector<std::string>& conflicts) {
  std::shared_ptr<TicketState> merged;
  for (const auto& item : items) {
    const auto& current = merged ? *merged : *state;
    if (const auto existing = current.items.find(item.name);
        existing != current.items.end()) {
      const auto& in_force = existing->second;
      if (in_force.number == item.number &&
          MergeOrder(in_force) != MergeOrder(item)) {
        conflicts.push_back(item.name);
      }
      if (MergeOrder(in_force) >= MergeOrder(item)) {
        continue;
      }
    }
    if (!merged) {
      merged = std::make_shared<TicketState>(*state);
    }
    merged->items[item.name] = item;
  }
  if (!merged) {
    return state;
  }
  merged->digest = DigestOf(VersionsOf(*merged));
  return merged;
}

}  // namespace agaterun::decision
