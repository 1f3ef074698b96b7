#ifndef LIBRARIES_NODE_FRAME_READER_H_
#define LIBRARIES_NODE_FRAME_READER_H_

#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "libraries/base/error.h"
#include "libraries/node/frame.h"

namespace agaterun::node {

// Splits a byte stream into frames. Buffers only the bytes of an incomplete
// frame, so that an idle connection uses no buffer memory.
class FrameReader {
 public:
  // Receives one complete frame whose checksum matches. An error ends the
  // stream.
  using Sink = std::function<Result<void>(const FrameHeader& header,
                                          std::string_view payload)>;

  explicit FrameReader(std::size_t payload_limit)
      : payload_limit(payload_limit) {}

  // Passes each frame that `bytes` completes to `sink`. After an error from the
  // stream or the sink, the reader must not be used again.
  Result<void> Feed(std::string_view bytes, const Sink& sink);

  // True when an incomplete frame is buffered.
  bool IsInsideFrame() const { return !this->partial.empty(); }

 private:
  // Size of the frame that `bytes` starts with, or nullopt when `bytes` does
  // not contain a whole header.
  Result<std::optional<std::size_t>> FrameSize(std::string_view bytes) const;
  Result<void> CompletePartial(std::string_view& bytes, const Sink& sink);
  Result<void> Deliver(std::string_view frame, const Sink& sink) const;

  std::size_t payload_limit;
  std::string partial;
};

}  // namespace agaterun::node

#endif  // LIBRARIES_NODE_FRAME_READER_H_
