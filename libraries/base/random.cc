#include "libraries/base/random.h"

#include <sys/random.h>

#include "libraries/base/verify.h"

namespace agaterun {

std::uint64_t RandomSource::Below(std::uint64_t bound) {
  VERIFY(bound > 0);
  // The bias of the multiplication is below bound / 2^64.
  __extension__ using Wide = unsigned __int128;
  return static_cast<std::uint64_t>((Wide{this->Next()} * bound) >> 64);
}

double RandomSource::Unit() {
  constexpr int kMantissaBits = 53;
  return static_cast<double>(this->Next() >> (64 - kMantissaBits)) /
         static_cast<double>(std::uint64_t{1} << kMantissaBits);
}

std::uint64_t SystemRandom::Next() {
  if (this->used == kBatch) {
    const auto fetched = getrandom(this->numbers, sizeof(this->numbers), 0);
    VERIFY(fetched == sizeof(this->numbers));
    this->used = 0;
  }
  return this->numbers[this->used++];
}

}  // namespace agaterun
