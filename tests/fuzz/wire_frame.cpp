// Frames between nodes. The first byte chooses between a raw frame and a payload that gets a valid
// header and authenticator, so that the payload decoder is reached.
#include "fuzz/fuzz.h"
#include "wire/wire.h"

using namespace damaskledge;

namespace {

const std::string secret = "the cluster secret of the fuzz targets";

/// @return a frame with a valid header and authenticator around the payload.
std::string frame_around(std::string_view payload) {
  std::string frame = "DMLK";
  for (const std::uint32_t it : {1U, 0U}) {
    frame += static_cast<char>(it);
  }
  for (unsigned shift = 0; shift < 32; shift += 8) {
    frame += static_cast<char>(payload.size() >> shift & 0xFFU);
  }
  const digest256 digest = hmac_sha256(secret, frame + std::string(payload));
  frame.append(digest.begin(), digest.begin() + 16);
  frame += payload;
  return frame;
}

std::optional<wire::incoming> decoded(std::string_view frame) {
  return fuzz::value_of([&] { return wire::decode({secret, ""}, frame); });
}

std::string encoded(const wire::incoming& value) {
  return wire::encode(secret, value.sender, value.from, value.body);
}

} // namespace

void damaskledge::fuzz::run(const std::uint8_t* data, std::size_t size) {
  if (size == 0) {
    return;
  }
  const std::string_view rest = fuzz::text_of(data + 1, size - 1);
  const bool raw = data[0] == 'r';
  const std::string frame = raw ? std::string(rest) : frame_around(rest);
  (void)fuzz::value_of([&] { return wire::payload_length(frame); });
  const auto value = decoded(frame);
  if (!value) {
    return;
  }
  const std::string again = encoded(*value);
  const auto second = decoded(again);
  fuzz::require(second.has_value(), "an encoded message can be decoded");
  fuzz::require(encoded(*second) == again, "decode(encode(x)) == x");
  fuzz::require(again.size() == wire::frame_bytes(value->sender, value->from, value->body),
                "frame_bytes tells the size of the frame");
  // The first byte of a payload tells its byte order; frames are written as little-endian.
  constexpr char little_endian = 1;
  if (frame[wire::frame_header_bytes] == little_endian) {
    fuzz::require(again == frame, "a little-endian frame has one encoding only");
  }
}
