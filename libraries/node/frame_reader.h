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

// Cuts a stream of bytes into frames. Keeps only the bytes of a frame that is
// not whole yet, so that an idle connection holds no buffer.
class FrameReader {
 public:
  // Takes one whole frame with a right checksum. An error ends the stream.
  using Sink = std::function<Result<void>(const FrameHeader& header,
                                          std::string_view payload)>;

  explicit FrameReader(std::size_t payload_limit)
      : payload_limit(payload_limit) {}

  // Gives each frame that `bytes` completes to `sink`. After an error, of the
  // stream or of the sink, the reader must not be used again.
  Result<void> Feed(std::string_view bytes, const Sink& sink);

  // True between the first and the last byte of a frame.
  bool IsInsideFrame() const { return !this->partial.empty(); }

 private:
  // Size of the frame that `bytes` starts with, once its header is there.
  Result<std::optional<std::size_t>> FrameSize(std::string_view bytes) const;
  Result<void> CompletePartial(std::string_view& bytes, const Sink& sink);
  Result<void> Deliver(std::string_view frame, const Sink& sink) const;

  std::size_t payload_limit;
  std::string partial;
};

}  // namespace agaterun::node

#endif  // LIBRARIES_NODE_FRAME_READER_H_
