#ifndef TESTS_PROXY_RECORDING_OBSERVER_H_
#define TESTS_PROXY_RECORDING_OBSERVER_H_

#include <boost/test/unit_test.hpp>
#include <map>
#include <utility>

#include "libraries/proxy/endpoint_pool.h"

namespace agaterun::proxy {

// Records the results of exchanges with the backend server.
class RecordingObserver final : public EndpointObserver {
 public:
  struct Ended {
    calls::ExchangeResult end = calls::ExchangeResult::kBroken;
    decision::Answer answer;
  };

  void OnExchangeEnded(calls::VisitNumber visit,
                       calls::ExchangeResult end,
                       decision::Answer answer) override {
    BOOST_TEST(!this->ended.contains(visit), "ended twice");
    this->ended[visit] = {end, std::move(answer)};
  }
  void OnBackendReachable(bool reachable) override {
    this->reachable = reachable;
  }

  std::map<calls::VisitNumber, Ended> ended;
  bool reachable = true;
};

}  // namespace agaterun::proxy

#endif  // TESTS_PROXY_RECORDING_OBSERVER_H_
