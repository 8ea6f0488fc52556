/// @file
/// cereal input archive that trusts no size or truth value found in the data. Included only by the
/// source files that encode and decode messages.
#pragma once

#include <cstdint>
#include <istream>
#include <string>
#include <vector>

// The default of 64 bits for container sizes would cost a datagram of member records about a
// quarter of its space. All uses of cereal come through this header, so the setting cannot differ
// between files.
#define CEREAL_SIZE_TYPE std::uint32_t
#include <Poco/MemoryStream.h>
#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>

// cereal finds these overloads by argument-dependent lookup and prefers them to its own
// templates, which trust the sizes and values found in the data.
namespace cereal {

/// Input archive that knows how many bytes remain.
class bounded_input_archive : public PortableBinaryInputArchive {
 public:
  explicit bounded_input_archive(std::istream& stream)
      : PortableBinaryInputArchive(stream), stream_(stream) {}
  std::streamsize remaining() const { return stream_.rdbuf()->in_avail(); }

 private:
  std::istream& stream_;
};

/// @param archive a `bounded_input_archive`, the only input archive in use.
inline std::size_t read_bounded_size(PortableBinaryInputArchive& archive) {
  size_type size = 0;
  archive(make_size_tag(size));
  const auto remaining = static_cast<bounded_input_archive&>(archive).remaining();
  if (remaining < 0 || size > static_cast<std::uint64_t>(remaining)) {
    throw Exception("a size exceeds the bytes that remain");
  }
  return size;
}

inline void load(PortableBinaryInputArchive& archive, std::string& value) {
  value.resize(read_bounded_size(archive));
  archive(binary_data(value.data(), value.size()));
}

/// Grows the vector only as elements are read: an element in memory is several times larger
/// than its shortest encoding, so a resize to the stated size could multiply the frame's size.
template <class T>
void load(PortableBinaryInputArchive& archive, std::vector<T>& value) {
  const auto size = read_bounded_size(archive);
  value.clear();
  for (std::size_t it = 0; it < size; ++it) {
    archive(value.emplace_back());
  }
}

/// Another byte than 0 or 1 in a bool is undefined behaviour.
inline void load(PortableBinaryInputArchive& archive, bool& value) {
  std::uint8_t byte = 0;
  archive(byte);
  if (byte > 1) {
    throw Exception("a truth value is neither 0 nor 1");
  }
  value = byte == 1;
}

} // namespace cereal
