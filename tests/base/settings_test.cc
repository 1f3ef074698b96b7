#include "libraries/base/settings.h"

#include <boost/test/unit_test.hpp>

namespace agaterun {

namespace {

constexpr const char kWhole[] = R"([node]
host = drafts-a-1
region = cascadia
failure_domain = a
address = 127.0.1.1:7400
seeds = 127.0.1.2:7400, 127.0.2.1:7400
threads = 3
log_level = warning

[caller]
address = 127.0.1.1:8000
connections = 780
body_kb = 64

[backend_server]
service = drafts
address = 127.0.1.1:9000
nested_address = 127.0.1.1:8001

[platform]
address = 127.0.0.1:8300

[operator]
address = 127.0.1.1:8200
)";

// `kWhole` with the first `from` replaced by `to`.
std::string With(const std::string& from, const std::string& to) {
  std::string text = kWhole;
  const auto at = text.find(from);
  BOOST_REQUIRE(at != std::string::npos);
  return text.replace(at, from.size(), to);
}

struct FaultCase {
  const char* from;
  const char* to;
  int line;
  const char* section;
  const char* key;
  const char* message;  // A part of it.
};

constexpr FaultCase kFaultCases[] = {
    {"address = 127.0.1.1:7400", "adress = 127.0.1.1:7400", 5, "node", "adress",
     "did you mean 'address'?"},
    {"address = 127.0.1.1:7400\n", "", 1, "node", "address", "missing; add"},
    {"127.0.1.1:7400", "drafts:7400", 5, "node", "address", "IP:PORT"},
    {"127.0.2.1:7400", "127.0.2.1", 6, "node", "seeds", "IP:PORT"},
    {"threads = 3", "threads = 0", 7, "node", "threads", "from 1 to 64"},
    {"threads = 3", "threads = three", 7, "node", "threads", "whole number"},
    {"warning", "loud", 8, "node", "log_level", "debug, info, warning, error"},
    {"region = cascadia", "region = cascadia/a", 3, "node", "region", "'/'"},
    {"region = cascadia", "region =", 3, "node", "region", "no value"},
    {"threads = 3", "host = other", 7, "node", "host",
     "stands already in line 2"},
    {"threads = 3", "threads", 7, "node", "", "key = value"},
    {"threads = 3", "threads: 3", 7, "node", "threads", "no '='"},
    {"[caller]", "[callr]", 10, "callr", "", "did you mean 'caller'?"},
    {"[caller]", "[caller", 10, "[caller", "", "without ']'"},
    {"[caller]", "[caller] here", 10, "caller", "", "its own line"},
    {"[operator]", "[platform]", 23, "platform", "", "already in line 20"},
    {"body_kb = 64", "body_kb = 999999", 13, "caller", "body_kb", "65536"},
    {"127.0.1.1:8001", "127.0.1.1:8000", 18, "backend_server", "nested_address",
     "taken by [caller] address"},
    {"[node]\n", "", 1, "", "host", "before the first [section]"},
};

}  // namespace

BOOST_AUTO_TEST_SUITE(SettingsTest)

BOOST_AUTO_TEST_CASE(ReadsAllKeys) {
  const auto settings = ParseSettings(kWhole);
  BOOST_REQUIRE(settings.has_value());
  BOOST_TEST(settings->host == "drafts-a-1");
  BOOST_TEST(settings->failure_domain == "a");
  BOOST_TEST(settings->node.ToString() == "127.0.1.1:7400");
  BOOST_REQUIRE(settings->seeds.size() == 2U);
  BOOST_TEST(settings->seeds[1].ToString() == "127.0.2.1:7400");
  BOOST_TEST(settings->threads == 3);
  BOOST_TEST((settings->log_level == LogLevel::kWarning));
  BOOST_TEST(settings->caller_connections == 780U);
  BOOST_TEST(settings->body_bytes == 64U * 1024U);
  BOOST_TEST(settings->service == "drafts");
  BOOST_TEST(settings->backend_server->ToString() == "127.0.1.1:9000");
  BOOST_TEST(settings->nested->ToString() == "127.0.1.1:8001");
  BOOST_TEST(settings->platform.ToString() == "127.0.0.1:8300");
  BOOST_TEST(settings->operator_address.ToString() == "127.0.1.1:8200");
}

BOOST_AUTO_TEST_CASE(NodeWithoutBackendServerIsAllowed) {
  std::string text = kWhole;
  const auto start = text.find("[backend_server]");
  text.erase(start, text.find("[platform]") - start);
  const auto settings = ParseSettings(text);
  BOOST_REQUIRE(settings.has_value());
  BOOST_TEST(settings->service.empty());
  BOOST_TEST(!settings->backend_server.has_value());
}

BOOST_AUTO_TEST_CASE(NamesEachFaultWithPlaceAndRemedy) {
  for (const auto& fault_case : kFaultCases) {
    const auto settings = ParseSettings(With(fault_case.from, fault_case.to));
    BOOST_TEST_CONTEXT(fault_case.from << " -> " << fault_case.to) {
      BOOST_REQUIRE(!settings.has_value());
      bool found = false;
      for (const auto& fault : settings.error()) {
        BOOST_TEST_INFO(Describe(fault, "node.ini"));
        found = found ||
                (fault.line == fault_case.line &&
                 fault.section == fault_case.section &&
                 fault.key == fault_case.key &&
                 fault.message.find(fault_case.message) != std::string::npos);
      }
      BOOST_TEST(found);
    }
  }
}

BOOST_AUTO_TEST_CASE(RefusesALineThatLibinihWouldCut) {
  const auto settings =
      ParseSettings(With("drafts-a-1", std::string(300, 'x')));
  BOOST_REQUIRE(!settings.has_value());
  // The key that the cut line would have given is missing as well.
  BOOST_REQUIRE(settings.error().size() == 2U);
  BOOST_TEST(settings.error()[1].line == 2);
  BOOST_TEST(settings.error()[1].message.find("shorten it") !=
             std::string::npos);
}

BOOST_AUTO_TEST_CASE(ReturnsAllFaultsAtOnce) {
  const auto settings = ParseSettings("[node]\nthreads = 0\n[foo]\n");
  BOOST_REQUIRE(!settings.has_value());
  // Four keys of [node], its threads, [foo], and three missing addresses.
  BOOST_TEST(settings.error().size() == 9U);
}

BOOST_AUTO_TEST_CASE(DescribesAFaultInOneLine) {
  BOOST_TEST(Describe({.section = "node",
                       .key = "threads",
                       .line = 7,
                       .message = "remove it"},
                      "node.ini") == "node.ini:7: [node] threads: remove it");
}

constexpr const char kStore[] = R"([node]
host = drafts-a-1
region = cascadia
failure_domain = a
address = 127.0.1.1:7400

[caller]
address = 127.0.1.1:8000

[backend_server]
service = drafts
address = 127.0.1.1:9000

[platform]
interface = store
address = 127.0.0.1:8300

[probe]
address = 127.0.1.1:8302

[metrics]
address = 127.0.1.1:9464

[repeats]
ratio = 0.2
extra = 47
window = 10s

[stop]
grace = 6s
)";

BOOST_AUTO_TEST_CASE(ReadsSettingsForAStore) {
  const auto read = ParseSettings(kStore);
  BOOST_TEST_REQUIRE(read.has_value());
  BOOST_TEST((read->platform_interface == PlatformInterface::kStore));
  BOOST_TEST(read->probe.ToString() == "127.0.1.1:8302");
  BOOST_TEST_REQUIRE(read->metrics.has_value());
  BOOST_TEST(read->metrics->ToString() == "127.0.1.1:9464");
  BOOST_TEST(read->extra_retries == 47);
  BOOST_TEST((read->stop_grace == 6s));
}

BOOST_AUTO_TEST_CASE(CountsFailureDomains) {
  const auto alone = ParseSettings(kStore);
  BOOST_TEST_REQUIRE(alone.has_value());
  BOOST_TEST(alone->failure_domain_count == 1U);
  std::string text = kStore;
  const std::string line = "failure_domain = a\n";
  text.insert(text.find(line) + line.size(), "failure_domains = a,b, c\n");
  const auto read = ParseSettings(text);
  BOOST_TEST_REQUIRE(read.has_value());
  BOOST_TEST(read->failure_domain_count == 3U);
}

BOOST_AUTO_TEST_CASE(ReadsMemory) {
  const auto unknown = ParseSettings(kStore);
  BOOST_TEST_REQUIRE(unknown.has_value());
  BOOST_TEST(!unknown->memory_bytes.has_value());
  const auto with_memory = [](const std::string& value) {
    std::string text = kStore;
    const std::string line = "failure_domain = a\n";
    text.insert(text.find(line) + line.size(), "memory_mb = " + value + "\n");
    return ParseSettings(text);
  };
  const auto read = with_memory("260");
  BOOST_TEST_REQUIRE(read.has_value());
  BOOST_TEST(read->memory_bytes.value_or(0) == 260'000'000U);
  for (const auto* value : {"0", "-1", "2000000", "much"}) {
    const auto refused = with_memory(value);
    BOOST_TEST_REQUIRE(!refused.has_value());
    BOOST_TEST(refused.error().front().key == "memory_mb");
  }
}

BOOST_AUTO_TEST_CASE(ReadsQuotasAndKeys) {
  const auto defaults = ParseSettings(kStore);
  BOOST_TEST_REQUIRE(defaults.has_value());
  BOOST_TEST(!defaults->strict_keys);
  const auto read =
      ParseSettings(std::string(kStore) +
                    "[quotas]\nwindow = 4s\noverage = 0.5\nslack = 30\n"
                    "[keys]\nstrict = yes\nmax_age = 7s\n");
  BOOST_TEST_REQUIRE(read.has_value());
  BOOST_TEST((read->quota_window == 4s));
  BOOST_TEST(read->quota_overage == 0.5);
  BOOST_TEST(read->quota_slack == 30);
  BOOST_TEST(read->strict_keys);
  BOOST_TEST((read->max_key_age == 7s));
}

BOOST_AUTO_TEST_CASE(NamesFaultsOfQuotasAndKeys) {
  const auto read = ParseSettings(
      std::string(kStore) +
      "[quotas]\noverage = -1\nslak = 3\n[keys]\nstrict = true\n");
  BOOST_TEST_REQUIRE(!read.has_value());
  BOOST_TEST(read.error().size() == 3U);
}

BOOST_AUTO_TEST_CASE(RefusesTwoListenersOfAStoreNodeOnOneAddress) {
  std::string text = kStore;
  text.replace(text.find("9464"), 4, "8302");
  const auto read = ParseSettings(text);
  BOOST_TEST_REQUIRE(!read.has_value());
  BOOST_TEST(read.error().size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace agaterun
