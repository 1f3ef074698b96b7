#include "libraries/decision/binding_table.h"

#include <xxhash.h>

#include "libraries/base/verify.h"

namespace agaterun::decision {

namespace {

constexpr int kTagBits = 24;
constexpr Duration kEpochLength = 1s;

bool IsSameCall(const AttemptId& left, const AttemptId& right) {
  return left.origin == right.origin && left.incarnation == right.incarnation &&
         left.call == right.call;
}

std::size_t GetSize(const Answer& answer) {
  if (answer == nullptr) {
    return 0;
  }
  std::size_t size = answer->body.size();
  for (const auto& header : answer->headers) {
    size += header.name.size() + header.value.size();
  }
  return size;
}

}  // namespace

BindingTable::BindingTable(Options options, RandomSource& random)
    : options(options), key(random.Next()) {}

std::uint64_t BindingTable::ComputeTag(Counter counter) const {
  // Without the tag a caller could guess the sequences of other callers'
  // bindings by counting, then read their responses with a query, or fence
  // bindings before they are used.
  return XXH3_64bits_withSeed(&counter, sizeof(counter), this->key) >>
         (64 - kTagBits);
}

BindingTable::Counter BindingTable::GetCounter(const Binding& binding) {
  return binding.sequence >> kTagBits;
}

Binding BindingTable::Issue(Instant now) {
  this->ExpireEpochs(now);
  if (this->states.size() >= this->options.max_states) {
    this->ExpireOldest();
  }
  const Counter counter = this->next_counter++;
  if (this->epochs.empty() ||
      now - this->epochs.back().started_at >= kEpochLength) {
    this->epochs.push_back({.started_at = now, .first_counter = counter});
  }
  this->states.push_back(BindingState::kOpen);
  return Binding{.gate = this->options.self,
                 .incarnation = this->options.incarnation,
                 .sequence = (counter << kTagBits) | this->ComputeTag(counter)};
}

void BindingTable::ExpireOldest() {
  this->states.pop_front();
  ++this->oldest_counter;
}

void BindingTable::ExpireEpochs(Instant now) {
  // All bindings of an epoch were issued within kEpochLength, so one instant is
  // precise enough for them.
  while (!this->epochs.empty() &&
         now - this->epochs.front().started_at >= kLifetime + kEpochLength) {
    this->epochs.pop_front();
    const Counter end = this->epochs.empty()
                            ? this->next_counter
                            : this->epochs.front().first_counter;
    while (this->oldest_counter < end) {
      this->ExpireOldest();
    }
  }
}

BindingTable::Entry BindingTable::Find(Instant now, const Binding& binding) {
  if (binding.gate != this->options.self ||
      binding.incarnation != this->options.incarnation) {
    return {.state = BindingState::kElsewhere};
  }
  this->ExpireEpochs(now);
  const Counter counter = GetCounter(binding);
  if (counter == 0 || counter >= this->next_counter ||
      binding.sequence != ((counter << kTagBits) | this->ComputeTag(counter))) {
    return {.state = BindingState::kNeverIssued};
  }
  if (const auto found = this->records.find(counter);
      found != this->records.end()) {
    const auto& record = found->second;
    return {.state = record.state,
            .fingerprint = record.fingerprint,
            .visit = record.visit,
            .answer = record.answer,
            .moved_to = record.moved_to};
  }
  if (counter < this->oldest_counter) {
    return {.state = BindingState::kLost};
  }
  return {.state = this->states.at(counter - this->oldest_counter)};
}

void BindingTable::SetState(Counter counter, BindingState state) {
  if (counter >= this->oldest_counter && counter < this->next_counter) {
    this->states.at(counter - this->oldest_counter) = state;
  }
}

void BindingTable::Activate(const Binding& binding,
                            std::uint64_t fingerprint,
                            VisitId visit) {
  const Counter counter = GetCounter(binding);
  this->SetState(counter, BindingState::kLost);
  const auto [found, added] = this->records.try_emplace(
      counter, Record{.fingerprint = fingerprint,
                      .visit = visit,
                      .droppable_position = this->droppable.end()});
  VERIFY(added);
}

void BindingTable::DropRecord(Counter counter, BindingState state) {
  const auto found = this->records.find(counter);
  if (found != this->records.end()) {
    this->response_bytes -= found->second.bytes;
    if (found->second.droppable_position != this->droppable.end()) {
      this->droppable.erase(found->second.droppable_position);
    }
    this->records.erase(found);
  }
  this->SetState(counter, state);
}

void BindingTable::StoreRecord(Counter counter, Record record) {
  // After its record is dropped, a finished or moved binding counts as lost and
  // a refused one as fenced. Both are the strictest states that remain true.
  this->DropRecord(counter, record.state == BindingState::kRefused
                                ? BindingState::kFenced
                                : BindingState::kLost);
  record.droppable_position =
      this->droppable.insert(this->droppable.end(), counter);
  this->response_bytes += record.bytes;
  this->records.emplace(counter, std::move(record));
  this->DropExcessRecords();
}

void BindingTable::DropExcessRecords() {
  while (!this->droppable.empty() &&
         (this->droppable.size() > this->options.max_records ||
          this->response_bytes > this->options.max_response_bytes)) {
    const Counter oldest = this->droppable.front();
    const bool is_refused =
        this->records.at(oldest).state == BindingState::kRefused;
    this->DropRecord(oldest,
                     is_refused ? BindingState::kFenced : BindingState::kLost);
  }
}

void BindingTable::Finish(const Binding& binding, Answer answer) {
  const Counter counter = GetCounter(binding);
  const auto found = this->records.find(counter);
  if (found == this->records.end()) {
    return;
  }
  const std::size_t bytes = GetSize(answer);
  this->StoreRecord(counter, {.state = BindingState::kFinished,
                              .fingerprint = found->second.fingerprint,
                              .answer = std::move(answer),
                              .bytes = bytes});
}

void BindingTable::MarkLost(const Binding& binding) {
  this->DropRecord(GetCounter(binding), BindingState::kLost);
}

void BindingTable::MarkRefused(const Binding& binding,
                               const AttemptId& attempt) {
  this->StoreRecord(GetCounter(binding), {.state = BindingState::kRefused,
                                          .refused_attempt = attempt});
}

void BindingTable::Fence(const Binding& binding) {
  this->DropRecord(GetCounter(binding), BindingState::kFenced);
}

bool BindingTable::WasRefused(const Binding& binding,
                              const AttemptId& attempt) const {
  const auto found = this->records.find(GetCounter(binding));
  return found != this->records.end() &&
         found->second.state == BindingState::kRefused &&
         IsSameCall(found->second.refused_attempt, attempt);
}

bool BindingTable::Move(const Binding& binding,
                        const Binding& moved_to,
                        const AttemptId& attempt) {
  // If another call used the binding after the refusal, the binding was fenced
  // and "not run" was reported to that call's caller. Moving the binding after
  // that would still run the request.
  if (!this->WasRefused(binding, attempt)) {
    return false;
  }
  this->StoreRecord(GetCounter(binding),
                    {.state = BindingState::kMoved, .moved_to = moved_to});
  return true;
}

}  // namespace agaterun::decision
