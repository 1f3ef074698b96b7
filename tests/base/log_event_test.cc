#include "libraries/base/log_event.h"

#include <boost/test/unit_test.hpp>
#include <fstream>
#include <set>
#include <sstream>
#include <string>

namespace agaterun {

namespace {

constexpr std::array kLevelNames = {"debug", "info", "warning", "error"};

// Rows of the catalogue: "| 100 | info | started | ..." as "100 info started".
std::set<std::string> ReadCatalogue() {
  std::ifstream file(AGATERUN_SOURCE_DIR "/docs/EVENTS.md");
  std::set<std::string> rows;
  std::string line;
  while (std::getline(file, line)) {
    std::istringstream words(line);
    std::string bar;
    int number = 0;
    std::string level;
    std::string name;
    if (words >> bar >> number >> bar >> level >> bar >> name) {
      rows.insert(std::to_string(number) + " " + level + " " + name);
    }
  }
  return rows;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(LogEventTest)

BOOST_AUTO_TEST_CASE(CatalogueListsExactlyTheEventsOfTheCode) {
  std::set<std::string> in_code;
  for (const auto& row : kLogEvents) {
    in_code.insert(std::to_string(static_cast<int>(row.event)) + " " +
                   kLevelNames[static_cast<std::size_t>(row.level)] + " " +
                   std::string(row.name));
  }
  const auto in_docs = ReadCatalogue();
  BOOST_TEST(in_code == in_docs, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace agaterun
