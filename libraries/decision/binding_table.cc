#include "libraries/decision/binding_table.h"

#include <xxhash.h>

#include "libraries/base/verify.h"

namespace agaterun::decision {

namespace {

constexpr int kTagBits = 24;
constexpr Duration kEpochLength = 1s;

bool SameCall(const AttemptId& left, const AttemptId& right) {
  return left.origin == right.origin && left.incarnation == right.incarnation &&
         left.call == right.call;
}

std::size_t SizeOf(const Answer& answer) {
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

std::uint64_t BindingTable::Tag(Counter counter) const {
  // Without it a caller could count up to the bindings of others, read their
  // answers by a query, and fence what they have not sent yet.
  return XXH3_64bits_withSeed(&counter, sizeof(counter), this->key) >>
         (64 - kTagBits);
}

BindingTable::Counter BindingTable::CounterOf(const Binding& binding) {
  return binding.sequence >> kTagBits;
}

Binding BindingTable::Issue(Instant now) {
  this->Expire(now);
  if (this->states.size() >= this->options.window) {
    this->ExpireOldest();
  }
  const Counter counter = this->next++;
  if (this->epochs.empty() || now - this->epochs.back().start >= kEpochLength) {
    this->epochs.push_back({.start = now, .first = counter});
  }
  this->states.push_back(BindingState::kOpen);
  return Binding{.gate = this->options.self,
                 .incarnation = this->options.incarnation,
                 .sequence = (counter << kTagBits) | this->Tag(counter)};
}

void BindingTable::ExpireOldest() {
  this->states.pop_front();
  ++this->floor;
}

void BindingTable::Expire(Instant now) {
  // The bindings of an epoch were issued within its length, so that one
  // instant for all of them suffices.
  while (!this->epochs.empty() &&
         now - this->epochs.front().start >= kLifetime + kEpochLength) {
    this->epochs.pop_front();
    const Counter end =
        this->epochs.empty() ? this->next : this->epochs.front().first;
    while (this->floor < end) {
      this->ExpireOldest();
    }
  }
}

BindingTable::Entry BindingTable::Find(Instant now, const Binding& binding) {
  if (binding.gate != this->options.self ||
      binding.incarnation != this->options.incarnation) {
    return {.state = BindingState::kElsewhere};
  }
  this->Expire(now);
  const Counter counter = CounterOf(binding);
  if (counter == 0 || counter >= this->next ||
      binding.sequence != ((counter << kTagBits) | this->Tag(counter))) {
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
  if (counter < this->floor) {
    return {.state = BindingState::kLost};
  }
  return {.state = this->states.at(counter - this->floor)};
}

void BindingTable::SetState(Counter counter, BindingState state) {
  if (counter >= this->floor && counter < this->next) {
    this->states.at(counter - this->floor) = state;
  }
}

void BindingTable::Activate(const Binding& binding,
                            std::uint64_t fingerprint,
                            VisitId visit) {
  const Counter counter = CounterOf(binding);
  this->SetState(counter, BindingState::kLost);
  const auto [found, added] =
      this->records.try_emplace(counter, Record{.fingerprint = fingerprint,
                                                .visit = visit,
                                                .age = this->droppable.end()});
  VERIFY(added);
}

void BindingTable::Drop(Counter counter, BindingState state) {
  const auto found = this->records.find(counter);
  if (found != this->records.end()) {
    this->response_bytes -= found->second.bytes;
    if (found->second.age != this->droppable.end()) {
      this->droppable.erase(found->second.age);
    }
    this->records.erase(found);
  }
  this->SetState(counter, state);
}

void BindingTable::Keep(Counter counter, Record record) {
  // Without its record a finished or moved binding counts as lost, a refused
  // one as fenced: either is the strictest thing that stays true.
  this->Drop(counter, record.state == BindingState::kRefused
                          ? BindingState::kFenced
                          : BindingState::kLost);
  record.age = this->droppable.insert(this->droppable.end(), counter);
  this->response_bytes += record.bytes;
  this->records.emplace(counter, std::move(record));
  this->Trim();
}

void BindingTable::Trim() {
  while (!this->droppable.empty() &&
         (this->droppable.size() > this->options.records ||
          this->response_bytes > this->options.response_bytes)) {
    const Counter oldest = this->droppable.front();
    const bool refused =
        this->records.at(oldest).state == BindingState::kRefused;
    this->Drop(oldest, refused ? BindingState::kFenced : BindingState::kLost);
  }
}

void BindingTable::Finish(const Binding& binding, Answer answer) {
  const Counter counter = CounterOf(binding);
  const auto found = this->records.find(counter);
  if (found == this->records.end()) {
    return;
  }
  const std::size_t bytes = SizeOf(answer);
  this->Keep(counter, {.state = BindingState::kFinished,
                       .fingerprint = found->second.fingerprint,
                       .answer = std::move(answer),
                       .bytes = bytes});
}

void BindingTable::Lose(const Binding& binding) {
  this->Drop(CounterOf(binding), BindingState::kLost);
}

void BindingTable::Refuse(const Binding& binding, const AttemptId& attempt) {
  this->Keep(CounterOf(binding),
             {.state = BindingState::kRefused, .refused = attempt});
}

void BindingTable::Fence(const Binding& binding) {
  this->Drop(CounterOf(binding), BindingState::kFenced);
}

bool BindingTable::WasRefused(const Binding& binding,
                              const AttemptId& attempt) const {
  const auto found = this->records.find(CounterOf(binding));
  return found != this->records.end() &&
         found->second.state == BindingState::kRefused &&
         SameCall(found->second.refused, attempt);
}

bool BindingTable::Move(const Binding& binding,
                        const Binding& moved_to,
                        const AttemptId& attempt) {
  // Another call that met the fence has been told that the request was not
  // run. Were it moved after that, the request would run all the same.
  if (!this->WasRefused(binding, attempt)) {
    return false;
  }
  this->Keep(CounterOf(binding),
             {.state = BindingState::kMoved, .moved_to = moved_to});
  return true;
}

}  // namespace agaterun::decision
