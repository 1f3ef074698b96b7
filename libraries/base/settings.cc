#include "libraries/base/settings.h"

#include <algorithm>
#include <map>
#include <sstream>

#include "libraries/base/ini_document.h"
#include "libraries/base/ini_section_reader.h"

namespace agaterun {

namespace {

constexpr int kMostThreads = 64;
constexpr int kMostConnections = 65536;
constexpr int kMostBodyKilobytes = 64 * 1024;
constexpr std::size_t kBytesPerKilobyte = 1024;
constexpr double kMostMemoryMegabytes = 1e6;
constexpr double kBytesPerMegabyte = 1e6;
constexpr std::size_t kMostSeeds = 16;
constexpr double kMostExtraRepeats = 1e6;
constexpr double kMostQuotaOverage = 10;
constexpr double kMostQuotaSlack = 1e6;

std::vector<std::string> SectionNames() {
  return {"node",     "caller",     "backend_server", "platform",
          "operator", "experiment", "probe",          "metrics",
          "repeats",  "stop",       "quotas",         "keys"};
}

// Stands for a section that the text lacks, so that its required keys are
// reported by name.
const IniSection& SectionOrEmpty(const IniDocument& document,
                                 const IniSection& empty) {
  const auto* section = document.Find(empty.name);
  return section == nullptr ? empty : *section;
}

class SettingsReader {
 public:
  SettingsReader(const IniDocument& document, IniFaults& faults)
      : document(document), faults(faults) {}

  NodeSettings Read() {
    this->ReadPlatform();
    this->ReadNode();
    this->ReadCaller();
    if (this->document.Find("backend_server") != nullptr) {
      this->ReadBackendServer();
    }
    if (this->settings.platform_interface == PlatformInterface::kStore) {
      this->settings.probe = this->ReadAddressOnly("probe", "127.0.1.1:8302");
      if (this->document.Find("metrics") != nullptr) {
        this->settings.metrics =
            this->ReadAddressOnly("metrics", "127.0.1.1:9464");
      }
    } else {
      this->settings.operator_address =
          this->ReadAddressOnly("operator", "127.0.1.1:8200");
    }
    this->ReadRepeats();
    this->ReadStop();
    this->ReadQuotas();
    this->ReadKeys();
    this->ReadExperiment();
    this->CheckSections();
    this->CheckListeners();
    return std::move(this->settings);
  }

 private:
  void ReadNode() {
    const IniSection empty{.name = "node"};
    IniSectionReader reader(SectionOrEmpty(this->document, empty),
                            this->faults);
    reader.Require("host", "drafts-a-1");
    reader.Require("region", "cascadia");
    reader.Require("failure_domain", "a");
    reader.Require("address", "127.0.1.1:7400");
    this->settings.host = reader.Text("host").value_or("");
    this->settings.region = this->ReadWord(reader, "region");
    this->settings.failure_domain = this->ReadWord(reader, "failure_domain");
    if (const auto domains = reader.Text("failure_domains"); domains) {
      this->settings.failure_domain_count =
          std::max<std::size_t>(1, WordsOf(*domains).size());
    }
    this->settings.node = reader.Address("address").value_or(NodeAddress{});
    this->ReadSeeds(reader);
    this->settings.threads =
        static_cast<int>(reader.Integer("threads", 1, kMostThreads)
                             .value_or(this->settings.threads));
    if (const auto size = reader.Number("memory_mb", 1, kMostMemoryMegabytes);
        size) {
      this->settings.memory_bytes =
          static_cast<std::size_t>(*size * kBytesPerMegabyte);
    }
    if (const auto level =
            reader.OneOf("log_level", {"debug", "info", "warning", "error"});
        level) {
      this->settings.log_level = static_cast<LogLevel>(*level);
    }
    reader.Finish();
  }

  // Tickets name failure domains as REGION/FAILURE_DOMAIN.
  std::string ReadWord(IniSectionReader& reader, std::string_view key) {
    const auto word = reader.Text(key).value_or("");
    if (word.find_first_of("/ \t") != std::string::npos) {
      reader.Fail(key, "'" + word + "' has a '/' or a blank; remove it");
    }
    return word;
  }

  // The words of a list, separated by commas or blanks.
  static std::vector<std::string> WordsOf(std::string_view rest) {
    constexpr std::string_view kSeparators = " \t,";
    std::vector<std::string> words;
    for (auto start = rest.find_first_not_of(kSeparators);
         start != std::string_view::npos;
         start = rest.find_first_not_of(kSeparators)) {
      rest.remove_prefix(start);
      const auto end = std::min(rest.find_first_of(kSeparators), rest.size());
      words.emplace_back(rest.substr(0, end));
      rest.remove_prefix(end);
    }
    return words;
  }

  void ReadSeeds(IniSectionReader& reader) {
    for (const auto& word : WordsOf(reader.Text("seeds").value_or(""))) {
      const auto seed = NodeAddress::Parse(word);
      if (!seed) {
        reader.Fail("seeds", seed.error().message);
        continue;
      }
      this->settings.seeds.push_back(*seed);
    }
    if (this->settings.seeds.size() > kMostSeeds) {
      reader.Fail("seeds", "more than " + std::to_string(kMostSeeds) +
                               " seeds; a few per failure domain are enough");
    }
  }

  void ReadCaller() {
    const IniSection empty{.name = "caller"};
    IniSectionReader reader(SectionOrEmpty(this->document, empty),
                            this->faults);
    reader.Require("address", "127.0.1.1:8000");
    this->settings.caller = reader.Address("address").value_or(NodeAddress{});
    if (const auto count = reader.Integer("connections", 1, kMostConnections);
        count) {
      this->settings.caller_connections = static_cast<std::size_t>(*count);
    }
    if (const auto size = reader.Integer("body_kb", 1, kMostBodyKilobytes);
        size) {
      this->settings.body_bytes =
          static_cast<std::size_t>(*size) * kBytesPerKilobyte;
    }
    reader.Finish();
  }

  void ReadPlatform() {
    const IniSection empty{.name = "platform"};
    IniSectionReader reader(SectionOrEmpty(this->document, empty),
                            this->faults);
    reader.Require("address", "127.0.0.1:8300");
    this->settings.platform = reader.Address("address").value_or(NodeAddress{});
    if (const auto kind = reader.OneOf("interface", {"tickets", "store"});
        kind) {
      this->settings.platform_interface = kPlatformInterfaceNames[*kind].value;
    }
    reader.Finish();
  }

  void ReadRepeats() {
    const auto* section = this->document.Find("repeats");
    if (section == nullptr) {
      return;
    }
    IniSectionReader reader(*section, this->faults);
    auto& settings = this->settings;
    settings.retry_ratio =
        reader.Number("ratio", 0, 1).value_or(settings.retry_ratio);
    settings.extra_retries = reader.Number("extra", 0, kMostExtraRepeats)
                                 .value_or(settings.extra_retries);
    settings.retry_window =
        reader.Time("window", 100ms, 3600s).value_or(settings.retry_window);
    reader.Finish();
  }

  void ReadQuotas() {
    const auto* section = this->document.Find("quotas");
    if (section == nullptr) {
      return;
    }
    IniSectionReader reader(*section, this->faults);
    auto& settings = this->settings;
    settings.quota_window =
        reader.Time("window", 100ms, 3600s).value_or(settings.quota_window);
    settings.quota_overage = reader.Number("overage", 0, kMostQuotaOverage)
                                 .value_or(settings.quota_overage);
    settings.quota_slack = reader.Number("slack", 0, kMostQuotaSlack)
                               .value_or(settings.quota_slack);
    reader.Finish();
  }

  void ReadKeys() {
    const auto* section = this->document.Find("keys");
    if (section == nullptr) {
      return;
    }
    IniSectionReader reader(*section, this->faults);
    auto& settings = this->settings;
    settings.strict_keys =
        reader.YesOrNo("strict").value_or(settings.strict_keys);
    settings.max_key_age =
        reader.Time("max_age", 100ms, 3600s).value_or(settings.max_key_age);
    reader.Finish();
  }

  void ReadStop() {
    const auto* section = this->document.Find("stop");
    if (section == nullptr) {
      return;
    }
    IniSectionReader reader(*section, this->faults);
    this->settings.stop_grace =
        reader.Time("grace", 100ms, 3600s).value_or(this->settings.stop_grace);
    reader.Finish();
  }

  void ReadBackendServer() {
    IniSectionReader reader(*this->document.Find("backend_server"),
                            this->faults);
    reader.Require("service", "drafts");
    reader.Require("address", "127.0.1.1:9000");
    if (this->settings.platform_interface == PlatformInterface::kTickets) {
      reader.Require("nested_address", "127.0.1.1:8001");
    }
    this->settings.service = reader.Text("service").value_or("");
    this->settings.backend_server = reader.Address("address");
    this->settings.nested = reader.Address("nested_address");
    reader.Finish();
  }

  // The names are checked by whoever knows the mechanisms.
  void ReadExperiment() {
    const auto* section = this->document.Find("experiment");
    if (section == nullptr) {
      return;
    }
    IniSectionReader reader(*section, this->faults);
    reader.Require("disabled", "early-shedding, newest-first");
    std::istringstream names(reader.Text("disabled").value_or(""));
    std::string name;
    while (std::getline(names >> std::ws, name, ',')) {
      this->settings.disabled_mechanisms.push_back(name);
    }
    reader.Finish();
  }

  NodeAddress ReadAddressOnly(std::string_view name, std::string_view example) {
    const IniSection empty{.name = std::string(name)};
    IniSectionReader reader(SectionOrEmpty(this->document, empty),
                            this->faults);
    reader.Require("address", example);
    const auto address = reader.Address("address").value_or(NodeAddress{});
    reader.Finish();
    return address;
  }

  void CheckSections() {
    const auto names = SectionNames();
    for (const auto& section : this->document.Sections()) {
      if (std::find(names.begin(), names.end(), section.name) != names.end()) {
        continue;
      }
      const auto meant = DidYouMean(section.name, names);
      this->faults.push_back(
          {.section = section.name,
           .line = section.line,
           .message = "unknown section [" + section.name + "]" +
                      (meant.empty() ? "; remove it" : meant)});
    }
  }

  // Two listeners on one address would only fail when the second opens.
  void CheckListeners() {
    std::map<NodeAddress, std::string> taken;
    const auto check = [&](std::string_view section, std::string_view key,
                           std::optional<NodeAddress> address) {
      const auto* where = this->document.Find(section);
      if (!address || *address == NodeAddress{} || where == nullptr) {
        return;
      }
      const auto [earlier, is_new] = taken.emplace(
          *address, "[" + std::string(section) + "] " + std::string(key));
      if (!is_new) {
        IniSectionReader(*where, this->faults)
            .Fail(key, address->ToString() + " is taken by " + earlier->second +
                           "; choose another port");
      }
    };
    check("node", "address", this->settings.node);
    check("caller", "address", this->settings.caller);
    check("backend_server", "address", this->settings.backend_server);
    check("backend_server", "nested_address", this->settings.nested);
    check("operator", "address", this->settings.operator_address);
    check("platform", "address", this->settings.platform);
    check("probe", "address", this->settings.probe);
    check("metrics", "address", this->settings.metrics);
  }

  const IniDocument& document;
  IniFaults& faults;
  NodeSettings settings;
};

}  // namespace

tl::expected<NodeSettings, std::vector<SettingsFault>> ParseSettings(
    std::string_view text) {
  IniFaults faults;
  const auto document = IniDocument::Parse(text, faults);
  auto settings = SettingsReader(document, faults).Read();
  if (!faults.empty()) {
    std::stable_sort(faults.begin(), faults.end(),
                     [](const IniFault& left, const IniFault& right) {
                       return left.line < right.line;
                     });
    return tl::unexpected(std::move(faults));
  }
  return settings;
}

std::string Describe(const SettingsFault& fault, std::string_view file) {
  std::string text(file);
  if (fault.line > 0) {
    text += ":" + std::to_string(fault.line);
  }
  text += ": ";
  if (!fault.section.empty()) {
    text += "[" + fault.section + "] ";
  }
  if (!fault.key.empty()) {
    text += fault.key + ": ";
  }
  return text + fault.message;
}

}  // namespace agaterun
