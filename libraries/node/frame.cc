#include "libraries/node/frame.h"

#include <xxhash.h>

#include <algorithm>
#include <cstring>

#include "libraries/base/verify.h"

namespace agaterun::node {

namespace {

constexpr std::string_view kMagic = "agn";
constexpr std::size_t kVersionOffset = 3;
constexpr std::size_t kKindOffset = 4;
constexpr std::size_t kReservedOffset = 5;
constexpr std::size_t kReservedBytes = 3;
constexpr std::size_t kLengthOffset = 8;
constexpr std::size_t kQueuedOffset = 12;
constexpr std::size_t kDigestOffset = 16;
constexpr std::size_t kChecksumOffset = 24;

template <typename Number>
void WriteLittleEndian(std::string& bytes, std::size_t offset, Number number) {
  for (std::size_t index = 0; index < sizeof(Number); ++index) {
    bytes[offset + index] = static_cast<char>(number >> (8 * index));
  }
}

template <typename Number>
Number ReadLittleEndian(std::string_view bytes, std::size_t offset) {
  Number number = 0;
  for (std::size_t index = 0; index < sizeof(Number); ++index) {
    const auto byte = static_cast<std::uint8_t>(bytes[offset + index]);
    number |= static_cast<Number>(Number{byte} << (8 * index));
  }
  return number;
}

// Also covers the header, so that a corrupt digest or length is detected.
std::uint64_t ChecksumOf(std::string_view frame) {
  const auto payload = frame.substr(FrameHeader::kBytes);
  const auto seed = XXH3_64bits(frame.data(), kChecksumOffset);
  return XXH3_64bits_withSeed(payload.data(), payload.size(), seed);
}

tl::unexpected<Error> Malformed(std::string message) {
  return MakeError(ErrorKind::kMalformedFrame, std::move(message));
}

}  // namespace

Result<FrameHeader> ParseFrameHeader(std::string_view bytes,
                                     std::size_t payload_limit) {
  VERIFY(bytes.size() >= FrameHeader::kBytes);
  if (!bytes.starts_with(kMagic)) {
    return Malformed(
        "the data does not start with a frame header; let only nodes connect "
        "to the node port");
  }
  if (const auto version =
          ReadLittleEndian<std::uint8_t>(bytes, kVersionOffset);
      version != kFrameVersion) {
    return Malformed("received frame version " + std::to_string(version) +
                     ", expected version " + std::to_string(kFrameVersion) +
                     "; run the same release on all hosts");
  }
  FrameHeader header;
  header.kind = static_cast<FrameKind>(
      ReadLittleEndian<std::uint8_t>(bytes, kKindOffset));
  const auto reserved = bytes.substr(kReservedOffset, kReservedBytes);
  if (NameOf(kFrameKindNames, header.kind) == "?" ||
      std::any_of(reserved.begin(), reserved.end(),
                  [](char byte) { return byte != 0; })) {
    return Malformed(
        "the frame kind is unknown or reserved bytes are set; run the same "
        "release on all hosts");
  }
  header.payload_bytes = ReadLittleEndian<std::uint32_t>(bytes, kLengthOffset);
  if (header.payload_bytes > payload_limit) {
    return Malformed("a payload of " + std::to_string(header.payload_bytes) +
                     " bytes is over the limit of " +
                     std::to_string(payload_limit) +
                     "; give all nodes the same limit");
  }
  header.queued = decltype(header.queued)(
      ReadLittleEndian<std::uint32_t>(bytes, kQueuedOffset));
  header.state_digest = ReadLittleEndian<std::uint64_t>(bytes, kDigestOffset);
  header.checksum = ReadLittleEndian<std::uint64_t>(bytes, kChecksumOffset);
  return header;
}

bool IsFrameIntact(std::string_view frame) {
  return frame.size() >= FrameHeader::kBytes &&
         ChecksumOf(frame) ==
             ReadLittleEndian<std::uint64_t>(frame, kChecksumOffset);
}

void OutgoingFrame::Seal(Duration queued, std::uint64_t state_digest) {
  VERIFY(this->bytes.size() >= FrameHeader::kBytes);
  const auto payload_bytes = this->bytes.size() - FrameHeader::kBytes;
  const auto queued_microseconds =
      std::chrono::duration_cast<std::chrono::microseconds>(queued).count();
  std::memcpy(this->bytes.data(), kMagic.data(), kMagic.size());
  WriteLittleEndian(this->bytes, kVersionOffset, kFrameVersion);
  WriteLittleEndian(this->bytes, kKindOffset,
                    static_cast<std::uint8_t>(this->kind));
  WriteLittleEndian(this->bytes, kLengthOffset,
                    static_cast<std::uint32_t>(payload_bytes));
  WriteLittleEndian(
      this->bytes, kQueuedOffset,
      static_cast<std::uint32_t>(std::clamp<decltype(queued_microseconds)>(
          queued_microseconds, 0, UINT32_MAX)));
  WriteLittleEndian(this->bytes, kDigestOffset, state_digest);
  WriteLittleEndian(this->bytes, kChecksumOffset, ChecksumOf(this->bytes));
}

}  // namespace agaterun::node
