#ifndef LIBRARIES_DECISION_TICKET_PARSER_H_
#define LIBRARIES_DECISION_TICKET_PARSER_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "libraries/base/ini_document.h"
#include "libraries/base/ini_section_reader.h"
#include "libraries/decision/ticket_state.h"

namespace agaterun::decision {

// Reads the sections of a ticket and reports every error in their content.
class TicketParser {
 public:
  // Both must outlive the parser.
  TicketParser(const IniDocument& document, IniFaults& faults)
      : document(document), faults(faults) {}

  // Reads all sections. [ticket] is required if `with_number`, and is an error
  // otherwise, as in the text of one item.
  void Read(bool with_number);

  std::uint64_t Number() const { return this->number; }
  // By name, with endpoints and routes in the order of their names.
  const std::map<std::string, std::shared_ptr<ServiceState>>& Services() const {
    return this->services;
  }
  const std::map<std::string, std::shared_ptr<PolicyState>>& Policies() const {
    return this->policies;
  }

 private:
  void ReadNumber();
  void ReadSection(const IniSection& section);
  void ReadService(const IniSection& section, const std::string& name);
  void ReadRetired(IniSectionReader& reader, const IniSection& section);
  void ReadEndpoint(IniSectionReader& reader,
                    const IniEntry& entry,
                    ServiceState& service);
  void ReadPolicy(const IniSection& section, const std::string& name);
  void ReadRoute(const IniSection& section,
                 const std::string& service_name,
                 const std::string& name);
  void SortAndCheckRoutes();
  void Fail(const IniSection& section, std::string message);

  const IniDocument& document;
  IniFaults& faults;
  std::uint64_t number = 0;
  std::map<std::string, std::shared_ptr<ServiceState>> services;
  std::map<std::string, std::shared_ptr<PolicyState>> policies;
  // The endpoint that uses each node address; a node has one service.
  std::map<NodeAddress, std::string> endpoint_by_node;
};

}  // namespace agaterun::decision

#endif  // LIBRARIES_DECISION_TICKET_PARSER_H_
