#include "libraries/node/frame_reader.h"

#include <algorithm>
#include <utility>

namespace agaterun::node {

Result<std::optional<std::size_t>> FrameReader::FrameSize(
    std::string_view bytes) const {
  if (bytes.size() < FrameHeader::kBytes) {
    return std::nullopt;
  }
  const auto header = ParseFrameHeader(bytes, this->payload_limit);
  if (!header) {
    return tl::unexpected(header.error());
  }
  return FrameHeader::kBytes + header->payload_bytes;
}

Result<void> FrameReader::Deliver(std::string_view frame,
                                  const Sink& sink) const {
  if (!IsFrameIntact(frame)) {
    return MakeError(ErrorKind::kMalformedFrame,
                     "the checksum of a frame does not match; look for a fault "
                     "on the network between the two hosts");
  }
  const auto header = ParseFrameHeader(frame, this->payload_limit);
  if (!header) {
    return tl::unexpected(header.error());
  }
  return sink(*header, frame.substr(FrameHeader::kBytes));
}

// The buffer grows with the bytes received, not with the length in the header,
// which a peer can set to any value.
Result<void> FrameReader::CompletePartial(std::string_view& bytes,
                                          const Sink& sink) {
  while (!bytes.empty()) {
    const auto size = this->FrameSize(this->partial);
    if (!size) {
      return tl::unexpected(size.error());
    }
    const auto needed = size->value_or(FrameHeader::kBytes);
    const auto appended = std::min(needed - this->partial.size(), bytes.size());
    this->partial.append(bytes.substr(0, appended));
    bytes.remove_prefix(appended);
    if (const auto frame_size = this->FrameSize(this->partial); !frame_size) {
      return tl::unexpected(frame_size.error());
    } else if (*frame_size == this->partial.size()) {
      const std::string frame = std::exchange(this->partial, std::string());
      return this->Deliver(frame, sink);
    }
  }
  return {};
}

Result<void> FrameReader::Feed(std::string_view bytes, const Sink& sink) {
  if (!this->partial.empty()) {
    if (auto completed = this->CompletePartial(bytes, sink); !completed) {
      return completed;
    }
  }
  while (!bytes.empty()) {
    const auto size = this->FrameSize(bytes);
    if (!size) {
      return tl::unexpected(size.error());
    }
    if (!*size || **size > bytes.size()) {
      this->partial.assign(bytes);
      return {};
    }
    if (auto done = this->Deliver(bytes.substr(0, **size), sink); !done) {
      return done;
    }
    bytes.remove_prefix(**size);
  }
  return {};
}

}  // namespace agaterun::node
