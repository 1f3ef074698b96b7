#ifndef LIBRARIES_BASE_RANDOM_H_
#define LIBRARIES_BASE_RANDOM_H_

#include <cstdint>
#include <random>

namespace agaterun {

// Source of random 64-bit numbers, passed to whatever needs them.
class RandomSource {
 public:
  virtual ~RandomSource() = default;
  virtual std::uint64_t Next() = 0;

  // Uniform in [0, bound). `bound` must be positive.
  std::uint64_t Below(std::uint64_t bound);

  // Uniform in [0, 1).
  double Unit();
};

// Repeatable numbers for tests and sweeps.
class SeededRandom final : public RandomSource {
 public:
  explicit SeededRandom(std::uint64_t seed) : engine(seed) {}
  std::uint64_t Next() override { return this->engine(); }

 private:
  std::mt19937_64 engine;
};

// Numbers that an outsider can't predict, from the kernel's generator.
class SystemRandom final : public RandomSource {
 public:
  std::uint64_t Next() override;

 private:
  // Numbers are fetched in batches, since each fetch is a system call.
  static constexpr int kBatch = 64;
  std::uint64_t numbers[kBatch] = {};
  int used = kBatch;
};

}  // namespace agaterun

#endif  // LIBRARIES_BASE_RANDOM_H_
