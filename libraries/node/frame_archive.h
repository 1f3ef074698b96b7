#ifndef LIBRARIES_NODE_FRAME_ARCHIVE_H_
#define LIBRARIES_NODE_FRAME_ARCHIVE_H_

#include <cereal/cereal.hpp>
#include <cereal/types/chrono.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/utility.hpp>
#include <cereal/types/vector.hpp>
#include <concepts>
#include <cstdint>
#include <cstring>
#include <limits>
#include <string>
#include <string_view>
#include <type_traits>
#include <vector>

namespace agaterun::node {

// Integers of four or more bytes are written as variable-length integers, seven
// bits per byte, least significant first, with the top bit set on all bytes but
// the last; a ninth byte holds eight bits. This saves space because most values
// are small and many are zero. Shorter integers are written with a fixed size,
// little endian. Negative integers are written as their two's complement.
template <class Number>
inline constexpr bool kHasVariableSize = sizeof(Number) >= 4;

inline constexpr int kBitsPerByte = 7;
inline constexpr std::size_t kMaxNumberBytes = 9;

// Appends values to a string.
class FrameOutputArchive
    : public cereal::OutputArchive<FrameOutputArchive,
                                   cereal::AllowEmptyClassElision> {
 public:
  explicit FrameOutputArchive(std::string& bytes)
      : OutputArchive(this), bytes(bytes) {}

  void Write(const void* data, std::size_t size) {
    this->bytes.append(static_cast<const char*>(data), size);
  }

  template <std::integral Number>
  void WriteNumber(Number number) {
    const auto raw = static_cast<std::make_unsigned_t<Number>>(number);
    if constexpr (kHasVariableSize<Number>) {
      this->WriteVariable(raw);
      return;
    }
    char encoded[sizeof(Number)];
    for (std::size_t index = 0; index < sizeof(Number); ++index) {
      encoded[index] = static_cast<char>(raw >> (8 * index));
    }
    this->Write(encoded, sizeof(encoded));
  }

 private:
  void WriteVariable(std::uint64_t rest) {
    constexpr std::uint64_t kMore = 0x80;
    for (std::size_t index = 1; rest >= kMore && index < kMaxNumberBytes;
         ++index) {
      this->bytes.push_back(static_cast<char>(rest | kMore));
      rest >>= kBitsPerByte;
    }
    this->bytes.push_back(static_cast<char>(rest));
  }

  std::string& bytes;
};

// Reads the output of FrameOutputArchive. Throws cereal::Exception when a value
// extends past the end or a size exceeds the remaining bytes, so that a length
// field cannot reserve more memory than the frame contains.
class FrameInputArchive
    : public cereal::InputArchive<FrameInputArchive,
                                  cereal::AllowEmptyClassElision> {
 public:
  explicit FrameInputArchive(std::string_view bytes)
      : InputArchive(this), rest(bytes) {}

  void Read(void* data, std::size_t size) {
    if (size > this->rest.size()) {
      throw cereal::Exception("a value extends past the end of the frame");
    }
    // For an empty list, `data` may be null.
    if (size == 0) {
      return;
    }
    std::memcpy(data, this->rest.data(), size);
    this->rest.remove_prefix(size);
  }

  template <std::integral Number>
  void ReadNumber(Number& number) {
    if constexpr (kHasVariableSize<Number>) {
      const auto raw = this->ReadVariable();
      if (raw > std::numeric_limits<std::make_unsigned_t<Number>>::max()) {
        throw cereal::Exception("a number is larger than its field");
      }
      number = static_cast<Number>(raw);
      return;
    }
    unsigned char encoded[sizeof(Number)];
    this->Read(encoded, sizeof(encoded));
    std::make_unsigned_t<Number> raw = 0;
    for (std::size_t index = 0; index < sizeof(Number); ++index) {
      raw |= static_cast<std::make_unsigned_t<Number>>(
          std::make_unsigned_t<Number>{encoded[index]} << (8 * index));
    }
    number = static_cast<Number>(raw);
  }

  std::size_t BytesLeft() const { return this->rest.size(); }

 private:
  std::uint64_t ReadVariable() {
    constexpr std::uint64_t kMore = 0x80;
    std::uint64_t value = 0;
    for (std::size_t index = 0; index < kMaxNumberBytes; ++index) {
      unsigned char byte = 0;
      this->Read(&byte, 1);
      const bool is_last = index + 1 == kMaxNumberBytes;
      const std::uint64_t bits = is_last ? byte : byte & (kMore - 1);
      value |= bits << (kBitsPerByte * index);
      if (is_last || (byte & kMore) == 0) {
        // Each number has exactly one encoding, so that writing a decoded
        // message again yields the same bytes.
        if (byte == 0 && index > 0) {
          throw cereal::Exception("a number has redundant trailing bytes");
        }
        break;
      }
    }
    return value;
  }

  std::string_view rest;
};

// cereal finds the functions below by name for the basic types of an archive.

template <std::integral Number>
void CEREAL_SAVE_FUNCTION_NAME(FrameOutputArchive& archive,
                               const Number& number) {
  if constexpr (std::is_same_v<Number, bool>) {
    archive.WriteNumber(static_cast<std::uint8_t>(number));
  } else {
    archive.WriteNumber(number);
  }
}

template <std::integral Number>
void CEREAL_LOAD_FUNCTION_NAME(FrameInputArchive& archive, Number& number) {
  if constexpr (std::is_same_v<Number, bool>) {
    std::uint8_t byte = 0;
    archive.ReadNumber(byte);
    if (byte > 1) {
      throw cereal::Exception("a boolean is neither 0 nor 1");
    }
    number = byte == 1;
  } else {
    archive.ReadNumber(number);
  }
}

// This binary format stores no field names.
template <class T>
void CEREAL_SAVE_FUNCTION_NAME(FrameOutputArchive& archive,
                               const cereal::NameValuePair<T>& pair) {
  archive(pair.value);
}

template <class T>
void CEREAL_LOAD_FUNCTION_NAME(FrameInputArchive& archive,
                               cereal::NameValuePair<T>& pair) {
  archive(pair.value);
}

template <class T>
void CEREAL_SAVE_FUNCTION_NAME(FrameOutputArchive& archive,
                               const cereal::SizeTag<T>& tag) {
  archive.WriteNumber(static_cast<std::uint32_t>(tag.size));
}

template <class T>
void CEREAL_LOAD_FUNCTION_NAME(FrameInputArchive& archive,
                               cereal::SizeTag<T>& tag) {
  std::uint32_t size = 0;
  archive.ReadNumber(size);
  if (size > archive.BytesLeft()) {
    throw cereal::Exception("a size is larger than the rest of the frame");
  }
  tag.size = size;
}

template <class T>
void CEREAL_SAVE_FUNCTION_NAME(FrameOutputArchive& archive,
                               const cereal::BinaryData<T>& data) {
  archive.Write(data.data, static_cast<std::size_t>(data.size));
}

template <class T>
void CEREAL_LOAD_FUNCTION_NAME(FrameInputArchive& archive,
                               cereal::BinaryData<T>& data) {
  archive.Read(data.data, static_cast<std::size_t>(data.size));
}

// cereal's own loader resizes the vector before it reads the elements. An
// element can take more memory than its encoding, so this loader grows the
// vector only by elements that were read.
template <class T>
requires(!std::is_arithmetic_v<T>) void CEREAL_LOAD_FUNCTION_NAME(
    FrameInputArchive& archive,
    std::vector<T>& elements) {
  cereal::size_type size = 0;
  archive(cereal::make_size_tag(size));
  elements.clear();
  for (cereal::size_type index = 0; index < size; ++index) {
    archive(elements.emplace_back());
  }
}

}  // namespace agaterun::node

CEREAL_SETUP_ARCHIVE_TRAITS(agaterun::node::FrameInputArchive,
                            agaterun::node::FrameOutputArchive)

#endif  // LIBRARIES_NODE_FRAME_ARCHIVE_H_
