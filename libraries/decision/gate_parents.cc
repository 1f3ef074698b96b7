#include <algorithm>
#include <tuple>

#include "libraries/decision/gate.h"

// What a gate provides to the origin part of its node, to peers and to the log.
namespace agaterun::decision {

namespace {

// Maximum number of thresholds that one reply carries. A call graph has fewer
// services.
constexpr std::size_t kMaxServicesPerPath = 64;

}  // namespace

LoadReport Gate::Load() const {
  return LoadReport{
      .running = static_cast<std::uint32_t>(this->admission.Running()),
      .queued = static_cast<std::uint32_t>(this->admission.Queued()),
      .limit = static_cast<std::uint32_t>(this->admission.Limit()),
      .leaving = this->leaving,
      .backend_up = this->backend_up};
}

std::optional<ParentVisit> Gate::FindParent(VisitId id) const {
  const auto* visit = this->visits.Find(id);
  if (visit == nullptr || visit->phase == VisitPhase::kQueued) {
    return std::nullopt;
  }
  return ParentVisit{.importance = visit->request.importance,
                     .deadline = visit->deadline,
                     .admission_key = visit->request.admission_key,
                     .request_id = visit->request.request_id,
                     .share = visit->request.share};
}

int Gate::LendAllowance(VisitId id, int wanted) {
  auto* visit = this->visits.Find(id);
  if (visit == nullptr) {
    return 0;
  }
  // Lends half of what remains, rounded up, so that the first of several nested
  // calls does not take everything, while a single one gets most of it.
  const int lendable = (visit->allowance.Remaining() + 1) / 2;
  return visit->allowance.Lend(std::min(wanted, lendable));
}

void Gate::NestedCallStarted(Instant now, VisitId id) {
  if (auto* visit = this->visits.Find(id); visit != nullptr) {
    visit->time.NestedCallStarted(now);
  }
}

void Gate::NestedCallEnded(
    Instant now,
    VisitId id,
    int unspent,
    const std::vector<std::pair<std::string, AdmissionThreshold>>& thresholds) {
  auto* visit = this->visits.Find(id);
  if (visit == nullptr) {
    return;
  }
  visit->time.NestedCallEnded(now);
  // A faulty peer may return more than it was lent; the excess is dropped.
  std::ignore =
      visit->allowance.Return(std::clamp(unspent, 0, visit->allowance.Lent()));
  for (const auto& [service, threshold] : thresholds) {
    const auto known =
        std::ranges::find(visit->thresholds, service,
                          &std::pair<std::string, AdmissionThreshold>::first);
    if (known != visit->thresholds.end()) {
      known->second = StricterThreshold(known->second, threshold);
    } else if (visit->thresholds.size() < kMaxServicesPerPath) {
      visit->thresholds.emplace_back(service, threshold);
    }
  }
}

void Gate::ReportFindings(const SuspectTable::Findings& findings,
                          Actions& actions) const {
  const auto report = [&](LogEvent event,
                          const std::vector<std::uint64_t>& fingerprints) {
    for (const auto fingerprint : fingerprints) {
      actions.push_back(Report{.event = event,
                               .subject = this->options.service,
                               .detail = std::to_string(fingerprint)});
    }
  };
  report(LogEvent::kSuspectRecorded, findings.suspects);
  report(LogEvent::kFingerprintQuarantined, findings.quarantined);
}

void Gate::ReportShedding(Instant now, Actions& actions) {
  const auto threshold = this->admission.Threshold(now);
  const bool is_shedding = threshold != AdmissionThreshold{};
  if (is_shedding == this->shedding) {
    return;
  }
  this->shedding = is_shedding;
  actions.push_back(Report{
      .event =
          is_shedding ? LogEvent::kSheddingStarted : LogEvent::kSheddingEnded,
      .subject = this->options.service,
      .detail = is_shedding
                    ? std::string(NameOf(kImportanceNames, threshold.cutoff))
                    : std::string()});
}

}  // namespace agaterun::decision
