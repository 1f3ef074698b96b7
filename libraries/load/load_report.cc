#include "libraries/load/load_report.h"

#include <algorithm>
#include <cstdio>

namespace agaterun::load {

namespace {

constexpr Duration kSlice = 100ms;
constexpr Duration kHeldFor = 1s;
constexpr double kRecoveredShare = 0.95;

std::size_t SliceIndex(Duration instant) {
  return static_cast<std::size_t>(std::max<std::int64_t>(0, instant / kSlice));
}

std::string Format(const char* format, double value) {
  char text[32] = {};
  std::snprintf(text, sizeof(text), format, value);
  return text;
}

std::string Pad(std::string text, std::size_t width) {
  if (text.size() < width) {
    text.insert(0, width - text.size(), ' ');
  }
  return text;
}

}  // namespace

LoadReport::LoadReport(const RequestMix& mix)
    : mix(mix), totals(mix.Kinds().size()) {}

LoadReport::Slice& LoadReport::SliceAt(Duration instant, std::size_t kind) {
  const auto index = SliceIndex(instant);
  if (this->slices.size() <= index) {
    this->slices.resize(index + 1, std::vector<Slice>(this->totals.size()));
  }
  return this->slices[index][kind];
}

void LoadReport::Add(const LoadSample& sample) {
  const auto ending = static_cast<std::size_t>(sample.ending);
  ++this->SliceAt(sample.sent_at, sample.kind).sent;
  ++this->SliceAt(sample.sent_at + sample.latency, sample.kind)
        .endings.at(ending);
  auto& total = this->totals[sample.kind];
  ++total.slice.sent;
  ++total.slice.endings.at(ending);
  total.sends += static_cast<std::uint64_t>(sample.sends);
  if (sample.ending == Ending::kWhole) {
    total.latencies.Add(ToMilliseconds(sample.latency));
  }
}

double LoadReport::Goodput(Duration from, Duration until) const {
  std::uint64_t whole = 0;
  const auto end = std::min(SliceIndex(until), this->slices.size());
  for (auto index = SliceIndex(from); index < end; ++index) {
    for (const auto& slice : this->slices[index]) {
      whole += slice.endings[static_cast<std::size_t>(Ending::kWhole)];
    }
  }
  return static_cast<double>(whole) / ToSeconds(until - from);
}

std::optional<Duration> LoadReport::RecoveryTime(Trigger trigger,
                                                 Duration warm_up) const {
  const double before = this->Goodput(warm_up, trigger.from);
  const Duration last = kSlice * static_cast<std::int64_t>(this->slices.size());
  for (Duration from = trigger.until; from + kHeldFor <= last; from += kSlice) {
    if (this->Goodput(from, from + kHeldFor) >= kRecoveredShare * before) {
      return from - trigger.until;
    }
  }
  return std::nullopt;
}

std::uint64_t LoadReport::Count(Ending ending) const {
  std::uint64_t count = 0;
  for (const auto& total : this->totals) {
    count += total.slice.endings.at(static_cast<std::size_t>(ending));
  }
  return count;
}

void LoadReport::WriteTable(std::ostream& out) const {
  constexpr std::size_t kNameWidth = 22;
  constexpr std::size_t kCountWidth = 9;
  out << std::string("request").append(kNameWidth - 7, ' ');
  for (const auto* column :
       {"sent", "whole", "wrong", "failed", "not-run", "unknown", "resends",
        "p50 ms", "p90 ms", "p99 ms", "p99.9 ms"}) {
    out << Pad(column, kCountWidth);
  }
  out << "\n";
  for (std::size_t kind = 0; kind < this->totals.size(); ++kind) {
    const auto& [slice, sends, latencies] = this->totals[kind];
    auto name = this->mix.Kinds()[kind].name;
    name.resize(std::max(kNameWidth, name.size() + 1), ' ');
    out << name << Pad(std::to_string(slice.sent), kCountWidth);
    for (const auto count : slice.endings) {
      out << Pad(std::to_string(count), kCountWidth);
    }
    out << Pad(std::to_string(sends > slice.sent ? sends - slice.sent : 0),
               kCountWidth);
    for (const double share : {0.5, 0.9, 0.99, 0.999}) {
      out << Pad(Format("%.2f", latencies.Quantile(share)), kCountWidth);
    }
    out << "\n";
  }
}

void LoadReport::WriteCsv(std::ostream& out) const {
  out << "seconds,request,importance,sent";
  for (const auto& [ending, name] : kEndingNames) {
    out << "," << name;
  }
  out << "\n";
  for (std::size_t index = 0; index < this->slices.size(); ++index) {
    const auto seconds =
        Format("%.1f", ToSeconds(kSlice * static_cast<std::int64_t>(index)));
    for (std::size_t kind = 0; kind < this->totals.size(); ++kind) {
      const auto& slice = this->slices[index][kind];
      out << seconds << "," << this->mix.Kinds()[kind].name << ","
          << this->mix.Kinds()[kind].importance << "," << slice.sent;
      for (const auto count : slice.endings) {
        out << "," << count;
      }
      out << "\n";
    }
  }
}

}  // namespace agaterun::load
