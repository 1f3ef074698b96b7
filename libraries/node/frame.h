#ifndef LIBRARIES_NODE_FRAME_H_
#define LIBRARIES_NODE_FRAME_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "libraries/base/enum_names.h"
#include "libraries/base/error.h"
#include "libraries/base/time.h"
#include "libraries/decision/request_types.h"

namespace agaterun::node {

enum class FrameKind : std::uint8_t {
  kGreeting = 1,  // First on each connection: identifies the opener.
  kVisit = 2,
  kCancel = 3,
  kReply = 4,
  kHeartbeat = 5,  // In datagrams only.
  kTicketItems = 6,
  kTicketItemsWanted = 7,
  kClosing = 8,  // The gate stops; send no new visits on this connection.
};

inline constexpr std::array kFrameKindNames = {
    EnumName<FrameKind>{FrameKind::kGreeting, "greeting"},
    EnumName<FrameKind>{FrameKind::kVisit, "visit"},
    EnumName<FrameKind>{FrameKind::kCancel, "cancel"},
    EnumName<FrameKind>{FrameKind::kReply, "reply"},
    EnumName<FrameKind>{FrameKind::kHeartbeat, "heartbeat"},
    EnumName<FrameKind>{FrameKind::kTicketItems, "ticket-items"},
    EnumName<FrameKind>{FrameKind::kTicketItemsWanted, "ticket-items-wanted"},
    EnumName<FrameKind>{FrameKind::kClosing, "closing"},
};

inline constexpr std::uint8_t kFrameVersion = 2;

// Header before each payload, little endian:
//   0 "agn"  3 version  4 kind  5 zeros (3)  8 payload bytes (4)
//   12 microseconds in the sender's queue (4)  16 sender's state digest (8)
//   24 XXH3 of the payload, seeded with XXH3 of the first 24 bytes (8)
struct FrameHeader {
  static constexpr std::size_t kBytes = 32;

  FrameKind kind = FrameKind::kGreeting;
  std::uint32_t payload_bytes = 0;
  std::chrono::duration<std::uint32_t, std::micro> queued{};
  std::uint64_t state_digest = 0;
  std::uint64_t checksum = 0;
};

// Parses the header in the first FrameHeader::kBytes of `bytes`. Fails with
// ErrorKind::kMalformedFrame when they are not a header of this version, or
// when the payload is larger than `payload_limit`.
Result<FrameHeader> ParseFrameHeader(std::string_view bytes,
                                     std::size_t payload_limit);

// Returns true if the checksum in the header of `frame` matches its bytes.
bool IsFrameIntact(std::string_view frame);

// A frame to be written. Seal() fills in the header at the time of writing,
// because the time in the queue and the digest are only known then.
struct OutgoingFrame {
  FrameKind kind = FrameKind::kGreeting;
  std::string bytes;  // Space for the header, then the payload.
  Instant queued_at{};
  std::optional<decision::AttemptId> attempt;  // Set for visits only.

  // Writes the header. Call once per frame.
  void Seal(Duration queued, std::uint64_t state_digest);
};

}  // namespace agaterun::node

#endif  // LIBRARIES_NODE_FRAME_H_
