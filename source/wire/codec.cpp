#include <cstring>
#include <istream>
#include <ostream>
#include <stdexcept>
#include <streambuf>

#include "wire/bounded_archive.h"
#include "wire/wire.h"

namespace cereal {

template <class Enum>
void load_enumerator(Enum& value, std::uint8_t byte, Enum last) {
  if (byte > static_cast<std::uint8_t>(last)) {
    throw Exception("an enumerator is unknown");
  }
  value = static_cast<Enum>(byte);
}

inline void load_minimal(const PortableBinaryInputArchive& /*archive*/,
                         damaskledge::wire::member_state& value, const std::uint8_t& byte) {
  load_enumerator(value, byte, damaskledge::wire::member_state::dead);
}

inline void load_minimal(const PortableBinaryInputArchive& /*archive*/,
                         damaskledge::wire::claim_decision& value, const std::uint8_t& byte) {
  load_enumerator(value, byte, damaskledge::wire::claim_decision::not_writer);
}

} // namespace cereal

namespace damaskledge::wire {

namespace {

constexpr std::string_view magic = "DMLK";
constexpr std::uint16_t protocol_version = 1;
constexpr std::size_t authenticated_header_bytes = 4 + 2 + 4;
constexpr std::size_t authenticator_bytes = 16;
static_assert(frame_header_bytes == authenticated_header_bytes + authenticator_bytes);

/// Counts the bytes written to it.
class counting_buffer : public std::streambuf {
 public:
  std::size_t count() const { return count_; }

 protected:
  std::streamsize xsputn(const char* /*data*/, std::streamsize size) override {
    count_ += static_cast<std::size_t>(size);
    return size;
  }
  int_type overflow(int_type character) override {
    ++count_;
    return traits_type::not_eof(character);
  }

 private:
  std::size_t count_ = 0;
};

/// Appends the bytes written to it to a string.
class appending_buffer : public std::streambuf {
 public:
  explicit appending_buffer(std::string& target) : target_(target) {}

 protected:
  std::streamsize xsputn(const char* data, std::streamsize size) override {
    target_.append(data, static_cast<std::size_t>(size));
    return size;
  }
  int_type overflow(int_type character) override {
    target_.push_back(traits_type::to_char_type(character));
    return traits_type::not_eof(character);
  }

 private:
  std::string& target_;
};

template <class... Parts>
void write_payload(std::streambuf& buf, const Parts&... parts) {
  std::ostream stream(&buf);
  cereal::PortableBinaryOutputArchive archive(
      stream, cereal::PortableBinaryOutputArchive::Options::LittleEndian());
  archive(parts...);
}

/// The archive's own first byte tells the byte order.
constexpr std::size_t archive_prefix_bytes = 1;

template <class... Parts>
std::size_t payload_bytes(const Parts&... parts) {
  counting_buffer buf;
  write_payload(buf, parts...);
  return buf.count();
}

template <class Value>
std::size_t bytes_of_element(const Value& value) {
  return payload_bytes(value) - archive_prefix_bytes;
}

template <class Unsigned>
void append_little_endian(std::string& target, Unsigned value) {
  for (std::size_t it = 0; it < sizeof(Unsigned); ++it) {
    target.push_back(static_cast<char>((value >> (8 * it)) & 0xffU));
  }
}

template <class Unsigned>
Unsigned read_little_endian(std::string_view bytes) {
  Unsigned value = 0;
  for (std::size_t it = 0; it < sizeof(Unsigned); ++it) {
    value |= static_cast<Unsigned>(static_cast<Unsigned>(static_cast<std::uint8_t>(bytes[it]))
                                   << (8 * it));
  }
  return value;
}

std::string authenticator(std::string_view secret, std::string_view header,
                          std::string_view payload) {
  std::string data;
  data.reserve(header.size() + payload.size());
  data.append(header).append(payload);
  const auto digest = hmac_sha256(secret, data);
  return {digest.begin(), digest.begin() + authenticator_bytes};
}

} // namespace

std::string_view to_string(frame_error error) {
  switch (error) {
  case frame_error::too_short:
    return "the frame is shorter than its header";
  case frame_error::wrong_magic:
    return "the frame does not start with the protocol's magic; check which process sends to "
           "this port";
  case frame_error::wrong_version:
    return "the frame has another protocol version; run the same release on all nodes";
  case frame_error::wrong_length:
    return "the frame's length does not match its size";
  case frame_error::wrong_authenticator:
    return "the frame's authenticator is wrong; check that all nodes have the same cluster secret";
  case frame_error::malformed_payload:
    return "the frame's payload cannot be decoded; run the same release on all nodes";
  case frame_error::over_limit:
    return "the frame exceeds the size limit";
  }
  return "unknown frame error";
}

std::string encode(std::string_view secret, const std::string& sender, const endpoint& reply_to,
                   const message& body) {
  std::string payload;
  appending_buffer buf(payload);
  write_payload(buf, sender, reply_to, body);
  if (payload.size() > max_frame_bytes - frame_header_bytes) {
    return {};
  }
  std::string frame;
  frame.reserve(frame_header_bytes + payload.size());
  frame.append(magic);
  append_little_endian(frame, protocol_version);
  append_little_endian(frame, static_cast<std::uint32_t>(payload.size()));
  frame.append(authenticator(secret, frame, payload));
  frame.append(payload);
  return frame;
}

std::size_t frame_bytes(const std::string& sender, const endpoint& reply_to, const message& body) {
  return frame_header_bytes + payload_bytes(sender, reply_to, body);
}

std::size_t element_bytes(const member_record& value) {
  return bytes_of_element(value);
}
std::size_t element_bytes(const document_version& value) {
  return bytes_of_element(value);
}
std::size_t element_bytes(const coordinator_record& value) {
  return bytes_of_element(value);
}
std::size_t element_bytes(const shed_record& value) {
  return bytes_of_element(value);
}
std::size_t element_bytes(const id128& value) {
  return bytes_of_element(value);
}

leaf::result<std::size_t> payload_length(std::string_view header) {
  if (header.size() < frame_header_bytes) {
    return leaf::new_error(frame_error::too_short);
  }
  if (!header.starts_with(magic)) {
    return leaf::new_error(frame_error::wrong_magic);
  }
  if (read_little_endian<std::uint16_t>(header.substr(4)) != protocol_version) {
    return leaf::new_error(frame_error::wrong_version);
  }
  const std::size_t length = read_little_endian<std::uint32_t>(header.substr(6));
  if (length > max_frame_bytes - frame_header_bytes) {
    return leaf::new_error(frame_error::over_limit);
  }
  return length;
}

leaf::result<incoming> decode(const std::vector<std::string>& secrets, std::string_view frame) {
  if (frame.size() > max_frame_bytes) {
    return leaf::new_error(frame_error::over_limit);
  }
  BOOST_LEAF_AUTO(length, payload_length(frame));
  const auto payload = frame.substr(frame_header_bytes);
  if (payload.size() != length) {
    return leaf::new_error(frame_error::wrong_length);
  }
  const auto given = frame.substr(authenticated_header_bytes, authenticator_bytes);
  bool authentic = false;
  for (const auto& secret : secrets) {
    authentic |= equal_constant_time(
        given, authenticator(secret, frame.substr(0, authenticated_header_bytes), payload));
  }
  if (!authentic) {
    return leaf::new_error(frame_error::wrong_authenticator);
  }
  try {
    Poco::MemoryInputStream stream(payload.data(), static_cast<std::streamsize>(payload.size()));
    cereal::bounded_input_archive archive(stream);
    incoming result;
    archive(result.sender, result.from, result.body);
    if (archive.remaining() > 0) {
      return leaf::new_error(frame_error::malformed_payload);
    }
    return result;
  } catch (const std::exception&) {
    return leaf::new_error(frame_error::malformed_payload);
  }
}

} // namespace damaskledge::wire
