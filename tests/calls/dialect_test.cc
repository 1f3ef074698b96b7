#include "libraries/calls/dialect.h"

#include <boost/test/unit_test.hpp>
#include <string>

#include "tests/calls/test_dialect.h"

namespace agaterun::calls {

BOOST_AUTO_TEST_SUITE(DialectTest)

BackendNotice NoticeOf(HttpHeaders headers) {
  return ReadBackendNotice({.status = 200, .headers = std::move(headers)},
                           TestDialect());
}

BOOST_AUTO_TEST_CASE(ResponseWithoutHeadersStatesNothing) {
  BOOST_TEST((NoticeOf({}) == BackendNotice{}));
}

BOOST_AUTO_TEST_CASE(ReadsLimitAndLeaving) {
  const auto notice = NoticeOf({{"rate", "4.8"}, {"LEAVING", "1"}});
  BOOST_TEST(*notice.rate_limit == 4.8);
  BOOST_TEST(notice.is_leaving);
  BOOST_TEST(!notice.has_invalid_rate_limit);
  BOOST_TEST(*NoticeOf({{"Rate", "0"}}).rate_limit == 0);
}

BOOST_AUTO_TEST_CASE(InvalidLimitIsReportedAndNotApplied) {
  for (const std::string text :
       {"", "-1", "five", "nan", "inf", "4.8/s", " 4", "1e400", "0x10"}) {
    BOOST_TEST_CONTEXT("limit '" << text << "'") {
      const auto notice = NoticeOf({{"Rate", text}});
      BOOST_TEST(!notice.rate_limit.has_value());
      BOOST_TEST(notice.has_invalid_rate_limit);
    }
  }
}

BOOST_AUTO_TEST_CASE(OnlyOneMeansLeaving) {
  BOOST_TEST(!NoticeOf({{"Leaving", "0"}}).is_leaving);
  BOOST_TEST(!NoticeOf({{"Leaving", ""}}).is_leaving);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace agaterun::calls
