#ifndef LIBRARIES_LOAD_LOAD_REPORT_H_
#define LIBRARIES_LOAD_LOAD_REPORT_H_

#include <array>
#include <cstdint>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

#include "libraries/base/time.h"
#include "libraries/load/latency_histogram.h"
#include "libraries/load/request_mix.h"

namespace agaterun::load {

// How one request of the load ended, as its caller saw it.
enum class Ending {
  kWhole,   // Complete, correct and in time: goodput.
  kWrong,   // Said to be complete, but not this request's answer.
  kFailed,  // A complete answer that reports a failure.
  kNotRun,
  kUnknown,  // Timeouts and lost connections among them.
};

inline constexpr std::array kEndingNames = {
    EnumName<Ending>{Ending::kWhole, "whole"},
    EnumName<Ending>{Ending::kWrong, "wrong"},
    EnumName<Ending>{Ending::kFailed, "failed"},
    EnumName<Ending>{Ending::kNotRun, "not-run"},
    EnumName<Ending>{Ending::kUnknown, "unknown"},
};

struct LoadSample {
  std::size_t kind = 0;  // Index in the mix.
  Ending ending = Ending::kUnknown;
  Duration sent_at{};  // Since the load's start.
  Duration latency{};
  int sends = 1;
};

// Part of the load's time in which its trigger was on.
struct Trigger {
  Duration from{};
  Duration until{};
};

// Collects samples and tells goodput, latency and recovery time.
class LoadReport {
 public:
  explicit LoadReport(const RequestMix& mix);

  void Add(const LoadSample& sample);

  // Whole answers per second that ended in [from, until).
  double Goodput(Duration from, Duration until) const;

  // Time from the trigger's end until goodput was at least 95% of that before
  // the trigger for one second; nothing when it never was. The first
  // `warm_up` of the load doesn't count as before.
  std::optional<Duration> RecoveryTime(Trigger trigger, Duration warm_up) const;

  // One row per kind: sent, endings, resends, latency at 50/90/99/99.9%.
  void WriteTable(std::ostream& out) const;

  // One row per kind and tenth of a second: time, kind, importance, sent and
  // endings.
  void WriteCsv(std::ostream& out) const;

  std::uint64_t Count(Ending ending) const;

 private:
  static constexpr std::size_t kEndings = kEndingNames.size();

  struct Slice {
    std::uint64_t sent = 0;
    std::array<std::uint64_t, kEndings> endings{};
  };

  struct KindTotals {
    Slice slice;
    std::uint64_t sends = 0;
    LatencyHistogram latencies;  // Of whole answers.
  };

  Slice& SliceAt(Duration instant, std::size_t kind);

  RequestMix mix;
  std::vector<KindTotals> totals;
  // By tenth of a second since the start, then by kind.
  std::vector<std::vector<Slice>> slices;
};

}  // namespace agaterun::load

#endif  // LIBRARIES_LOAD_LOAD_REPORT_H_
