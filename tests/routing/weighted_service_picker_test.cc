#include "libraries/routing/weighted_service_picker.h"

#include <boost/test/unit_test.hpp>
#include <cmath>
#include <map>

namespace agaterun::routing {

BOOST_AUTO_TEST_SUITE(WeightedServicePickerTest)

std::map<std::string, int> Divide(int requests, const Route& route) {
  SeededRandom random(7);
  WeightedServicePicker picker(random);
  std::map<std::string, int> counts;
  for (int request = 0; request < requests; ++request) {
    counts[*picker.Pick(route)] += 1;
  }
  return counts;
}

BOOST_AUTO_TEST_CASE(ShortSequencesFollowWeights) {
  const Route route{.name = "r", .services = {{"a", 90}, {"b", 10}}};
  for (const int requests : {30, 50, 300, 1000}) {
    const auto counts = Divide(requests, route);
    const double fraction =
        counts.contains("b") ? counts.at("b") * 1.0 / requests : 0;
    BOOST_TEST(std::abs(fraction - 0.1) < 0.04, requests << " requests");
  }
}

BOOST_AUTO_TEST_CASE(ServiceWithoutWeightIsNeverPicked) {
  const Route route{.name = "r", .services = {{"a", 0}, {"b", 3}, {"c", 0}}};
  const auto counts = Divide(200, route);
  BOOST_TEST(counts.size() == 1U);
  BOOST_TEST(counts.at("b") == 200);
}

BOOST_AUTO_TEST_CASE(ZeroWeightsPickNoService) {
  SeededRandom random(7);
  WeightedServicePicker picker(random);
  BOOST_TEST((picker.Pick({.name = "r", .services = {{"a", 0}}}) == nullptr));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace agaterun::routing
