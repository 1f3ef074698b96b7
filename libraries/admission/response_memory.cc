#include "libraries/admission/response_memory.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "libraries/base/verify.h"

namespace agaterun::admission {

namespace {

// Responses up to this size may use all of the memory, longer ones leave a part
// of it free. So callers of short responses are served while long ones wait
// for slow callers.
constexpr std::size_t kShortResponseBytes = 256 * 1024;
constexpr std::size_t kShortResponsesDivisor = 12;

// Responses may take the memory of those that are expected to become this many
// times as long.
constexpr std::size_t kMuchLongerRatio = 4;

}  // namespace

std::size_t ResponseMemory::ExpectedBytes(const Reservation& reservation) {
  return reservation.expected_bytes.value_or(
      std::numeric_limits<std::size_t>::max());
}

ResponseMemory::Reservation::Reservation(std::shared_ptr<ResponseMemory> memory)
    : memory(std::move(memory)) {}

ResponseMemory::Reservation::~Reservation() {
  this->memory->Release(*this);
}

bool ResponseMemory::Reservation::Extend(std::size_t new_bytes) {
  VERIFY(new_bytes >= this->bytes);
  while (!this->memory->Fits(*this, new_bytes)) {
    auto* victim = this->memory->FindVictim(*this, new_bytes);
    if (victim == nullptr) {
      ++this->memory->given_up;
      return false;
    }
    this->memory->Revoke(*victim);
  }
  this->memory->used_bytes += new_bytes - this->bytes;
  this->bytes = new_bytes;
  return true;
}

void ResponseMemory::Reservation::StartReceiving(
    std::optional<std::size_t> new_expected_bytes,
    std::function<void()> new_on_revoked) {
  VERIFY(!this->on_revoked);
  this->expected_bytes = new_expected_bytes;
  this->on_revoked = std::move(new_on_revoked);
  this->memory->receiving.push_back(this);
}

void ResponseMemory::Reservation::Complete() {
  this->memory->RemoveReceiving(*this);
}

ResponseMemory::Counts ResponseMemory::Count() const {
  return {.used_bytes = this->used_bytes,
          .max_bytes = this->options.max_bytes,
          .given_up = this->given_up};
}

bool ResponseMemory::Fits(const Reservation& reservation,
                          std::size_t bytes) const {
  const auto kept_free = bytes > kShortResponseBytes
                             ? this->options.max_bytes / kShortResponsesDivisor
                             : 0;
  const auto others = this->used_bytes - reservation.bytes;
  return others + bytes + kept_free <= this->options.max_bytes;
}

// The longest response is the least likely to be sound, and giving it up serves
// most others. Giving up short ones would gain little.
ResponseMemory::Reservation* ResponseMemory::FindLongest() const {
  Reservation* longest = nullptr;
  const auto length_of = [](const Reservation& reservation) {
    return std::pair(ExpectedBytes(reservation), reservation.bytes);
  };
  for (auto* candidate : this->receiving) {
    if (candidate->bytes > kShortResponseBytes &&
        (longest == nullptr || length_of(*candidate) > length_of(*longest))) {
      longest = candidate;
    }
  }
  return longest;
}

// Responses of similar lengths take no memory from each other: under lasting
// overload none of them would end.
ResponseMemory::Reservation* ResponseMemory::FindVictim(
    const Reservation& growing,
    std::size_t bytes) const {
  auto* longest = this->FindLongest();
  if (longest == nullptr) {
    return nullptr;
  }
  const bool is_growing_open_ended =
      growing.on_revoked && !growing.expected_bytes;
  const bool is_much_longer =
      is_growing_open_ended
          ? !longest->expected_bytes && longest->bytes > bytes
          : ExpectedBytes(*longest) / kMuchLongerRatio >=
                std::max(bytes, growing.expected_bytes.value_or(0));
  return is_much_longer ? longest : nullptr;
}

void ResponseMemory::Revoke(Reservation& reservation) {
  ++this->given_up;
  const auto on_revoked = std::move(reservation.on_revoked);
  this->RemoveReceiving(reservation);
  this->used_bytes -= std::exchange(reservation.bytes, 0);
  on_revoked();
}

void ResponseMemory::Release(Reservation& reservation) {
  this->RemoveReceiving(reservation);
  this->used_bytes -= reservation.bytes;
}

void ResponseMemory::RemoveReceiving(Reservation& reservation) {
  reservation.on_revoked = nullptr;
  std::erase(this->receiving, &reservation);
}

decision::Answer HoldResponse(
    decision::Answer response,
    std::unique_ptr<ResponseMemory::Reservation> reservation) {
  if (reservation == nullptr) {
    return response;
  }
  struct Held {
    decision::Answer response;
    std::unique_ptr<ResponseMemory::Reservation> reservation;
  };
  reservation->Complete();
  auto held = std::make_shared<const Held>(
      Held{std::move(response), std::move(reservation)});
  const auto* content = held->response.get();
  return {std::move(held), content};
}

}  // namespace agaterun::admission
