#ifndef LIBRARIES_ADMISSION_RESPONSE_MEMORY_H_
#define LIBRARIES_ADMISSION_RESPONSE_MEMORY_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "libraries/decision/messages.h"

namespace agaterun::admission {

// Bounds the memory that the responses of all connections take in this process
// until they are written. Held by shared pointers, since responses outlive the
// objects that received them. Not thread-safe.
class ResponseMemory {
 public:
  struct Options {
    std::size_t max_bytes = 104 * 1024 * 1024;
  };

  // What a response takes. Returned to the process on destruction.
  class Reservation {
   public:
    explicit Reservation(std::shared_ptr<ResponseMemory> memory);
    ~Reservation();
    Reservation(const Reservation&) = delete;
    Reservation& operator=(const Reservation&) = delete;

    // The response is being received, and others may take its memory until it
    // is complete. `expected_bytes` is the length that it states; without one
    // it may never end. `on_revoked` is called when its memory has been taken,
    // at most once; it must not destroy other reservations.
    void StartReceiving(std::optional<std::size_t> expected_bytes,
                        std::function<void()> on_revoked);

    // Increases the reservation to `bytes`, if need be at the cost of responses
    // that are being received and are expected to become much longer. Returns
    // false when the memory does not suffice; then this response has to be
    // given up.
    bool Extend(std::size_t bytes);

    // The response has been received whole and keeps its memory.
    void Complete();

   private:
    friend class ResponseMemory;

    std::shared_ptr<ResponseMemory> memory;
    std::size_t bytes = 0;
    std::optional<std::size_t> expected_bytes;
    std::function<void()> on_revoked;  // Empty unless it is being received.
  };

  // Counters since the start, and what is in use.
  struct Counts {
    std::size_t used_bytes = 0;
    std::size_t max_bytes = 0;
    std::uint64_t given_up = 0;  // Responses for which the memory was short.
  };

  ResponseMemory() : ResponseMemory(Options{}) {}
  explicit ResponseMemory(Options options) : options(options) {}

  Counts Count() const;

 private:
  static std::size_t ExpectedBytes(const Reservation& reservation);
  // Whether a response may grow to `bytes` now.
  bool Fits(const Reservation& reservation, std::size_t bytes) const;
  // The one of those being received that is expected to become the longest;
  // nullptr if all are short.
  Reservation* FindLongest() const;
  // The response that has to make room for one that grows to `bytes`; nullptr
  // if none has to.
  Reservation* FindVictim(const Reservation& growing, std::size_t bytes) const;
  void Revoke(Reservation& reservation);
  void Release(Reservation& reservation);
  void RemoveReceiving(Reservation& reservation);

  Options options;
  std::size_t used_bytes = 0;
  std::uint64_t given_up = 0;
  std::vector<Reservation*> receiving;
};

// The response together with its reservation, which is returned with the last
// pointer to the response. `reservation` may be nullptr.
decision::Answer HoldResponse(
    decision::Answer response,
    std::unique_ptr<ResponseMemory::Reservation> reservation);

}  // namespace agaterun::admission

#endif  // LIBRARIES_ADMISSION_RESPONSE_MEMORY_H_
