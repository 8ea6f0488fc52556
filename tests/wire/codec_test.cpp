#include <cstring>
#include <string>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "wire/wire.h"

namespace damaskledge::wire {
namespace {

const std::string secret = "cluster secret";
const endpoint reply_to{"127.0.0.1", 7400};

/// Fills every field that a message serialises with an arbitrary value.
struct arbitrary_fields {
  template <class... Fields>
  void operator()(Fields&... fields) {
    (fill(fields), ...);
  }
  template <class T>
  void fill(T& value) {
    if constexpr (std::is_same_v<T, member_state>) {
      value = static_cast<member_state>(*rc::gen::inRange(0, 5));
    } else if constexpr (std::is_same_v<T, claim_decision>) {
      value = static_cast<claim_decision>(*rc::gen::inRange(0, 6));
    } else if constexpr (std::is_arithmetic_v<T> || std::is_same_v<T, std::string>) {
      value = *rc::gen::arbitrary<T>();
    } else {
      value.serialize(*this);
    }
  }
  template <class T>
  void fill(std::vector<T>& value) {
    value.resize(*rc::gen::inRange<std::size_t>(0, 4));
    for (auto& it : value) {
      fill(it);
    }
  }
};

template <std::size_t N = 0>
message arbitrary_message(std::size_t index) {
  if constexpr (N < std::variant_size_v<message>) {
    if (index == N) {
      std::variant_alternative_t<N, message> body;
      arbitrary_fields().fill(body);
      return body;
    }
    return arbitrary_message<N + 1>(index);
  } else {
    return probe{};
  }
}

/// @return the error of a frame, or nothing when it decodes.
std::optional<frame_error> error_of(std::string_view frame,
                                    const std::vector<std::string>& secrets = {secret}) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<std::optional<frame_error>> {
        BOOST_LEAF_CHECK(decode(secrets, frame));
        return std::optional<frame_error>();
      },
      [](frame_error error) { return std::optional(error); },
      []() -> std::optional<frame_error> { throw std::logic_error("no frame_error was given"); });
}

/// Builds a frame with a valid authenticator around any payload.
std::string frame_of(const std::string& payload) {
  std::string frame("DMLK\x01\x00", 6);
  const auto size = static_cast<std::uint32_t>(payload.size());
  for (int shift = 0; shift < 32; shift += 8) {
    frame.push_back(static_cast<char>((size >> shift) & 0xffU));
  }
  const auto digest = hmac_sha256(secret, frame + payload);
  frame.append(reinterpret_cast<const char*>(digest.data()), 16);
  return frame + payload;
}

std::string payload_of(const message& body) {
  return encode(secret, "node-1", reply_to, body).substr(frame_header_bytes);
}

member_record record_of(const std::string& name) {
  return {name,
          "dc-1",
          "127.0.0.1",
          7400,
          7401,
          9,
          member_state::draining,
          {{"s", 1, 2, 3, true}},
          {{"lists", 4}}};
}

TEST_CASE("Every message type survives a round trip, so that no field is lost or swapped") {
  for (std::size_t index = 0; index < std::variant_size_v<message>; ++index) {
    CHECK(rc::check([index] {
      const auto body = arbitrary_message(index);
      const auto sender = *rc::gen::arbitrary<std::string>();
      const auto frame = encode(secret, sender, reply_to, body);
      RC_ASSERT(frame.size() == frame_bytes(sender, reply_to, body));
      auto result = decode({"other", secret}, frame);
      RC_ASSERT(static_cast<bool>(result));
      RC_ASSERT(result.value().sender == sender);
      RC_ASSERT(result.value().from == reply_to);
      RC_ASSERT(result.value().body.index() == index);
      RC_ASSERT(encode(secret, sender, reply_to, result.value().body) == frame);
      RC_ASSERT(payload_length(frame).value() == frame.size() - frame_header_bytes);
    }));
  }
}

TEST_CASE("Field values are equal after a round trip") {
  probe_acknowledgement body{7, "node-2", {}};
  body.facts.members = {record_of("node-3"), record_of("node-4")};
  body.facts.crash_fingerprints = {{1, 2}};
  const auto result = decode({secret}, encode(secret, "node-1", reply_to, body));
  REQUIRE(static_cast<bool>(result));
  const auto& back = std::get<probe_acknowledgement>(result.value().body);
  CHECK(back.sequence == 7);
  CHECK(back.subject == "node-2");
  CHECK(back.facts.members == body.facts.members);
  CHECK(back.facts.crash_fingerprints == body.facts.crash_fingerprints);
}

TEST_CASE("The bytes of list elements add up, so that senders can fill a datagram exactly") {
  probe body;
  const auto empty = frame_bytes("node-1", reply_to, body);
  body.facts.members = {record_of("node-3")};
  body.facts.highest = {{"keys", 3}};
  CHECK(frame_bytes("node-1", reply_to, body) ==
        empty + element_bytes(body.facts.members[0]) + element_bytes(body.facts.highest[0]));
}

TEST_CASE("A frame that is cut at any byte, or has bytes after it, is rejected") {
  const auto frame = encode(secret, "node-1", reply_to, member_sync_request{record_of("node-3")});
  for (std::size_t size = 0; size < frame.size(); ++size) {
    CHECK(error_of(std::string_view(frame).substr(0, size)).has_value());
  }
  CHECK(error_of(frame + "x") == frame_error::wrong_length);
}

TEST_CASE("A payload that is cut at any byte is rejected even with a valid authenticator") {
  const auto payload = payload_of(member_sync_request{record_of("node-3")});
  CHECK_FALSE(error_of(frame_of(payload)).has_value());
  for (std::size_t size = 0; size < payload.size(); ++size) {
    CHECK(error_of(frame_of(payload.substr(0, size))) == frame_error::malformed_payload);
  }
  CHECK(error_of(frame_of(payload + '\0')) == frame_error::malformed_payload);
}

TEST_CASE("A flipped bit anywhere in a frame is noticed") {
  const auto frame = encode(secret, "node-1", reply_to, member_sync_request{record_of("node-3")});
  for (std::size_t bit = 0; bit < frame.size() * 8; ++bit) {
    auto changed = frame;
    changed[bit / 8] = static_cast<char>(changed[bit / 8] ^ (1 << (bit % 8)));
    CHECK(error_of(changed).has_value());
  }
}

TEST_CASE("Each check of the header has its own error") {
  const auto frame = encode(secret, "node-1", reply_to, document_pull{"lists", 1});
  const auto changed_at = [&frame](std::size_t at) {
    auto changed = frame;
    changed[at] = static_cast<char>(changed[at] ^ 1);
    return error_of(changed);
  };
  CHECK(changed_at(0) == frame_error::wrong_magic);
  CHECK(changed_at(4) == frame_error::wrong_version);
  CHECK(changed_at(6) == frame_error::wrong_length);
  CHECK(changed_at(9) == frame_error::over_limit);
  CHECK(changed_at(10) == frame_error::wrong_authenticator);
  CHECK(error_of("") == frame_error::too_short);
  CHECK(error_of(frame, {"other"}) == frame_error::wrong_authenticator);
  CHECK(error_of(frame, {}) == frame_error::wrong_authenticator);
  CHECK(error_of(std::string(max_frame_bytes + 1, 'x')) == frame_error::over_limit);
}

TEST_CASE("Changed bytes under a valid authenticator neither throw nor read out of bounds") {
  CHECK(rc::check([] {
    auto payload = payload_of(
        arbitrary_message(*rc::gen::inRange<std::size_t>(0, std::variant_size_v<message>)));
    const auto changes = *rc::gen::inRange(1, 6);
    for (int it = 0; it < changes; ++it) {
      payload[*rc::gen::inRange<std::size_t>(0, payload.size())] =
          static_cast<char>(*rc::gen::inRange(0, 256));
    }
    const auto error = error_of(frame_of(payload));
    RC_ASSERT(!error || *error == frame_error::malformed_payload);
  }));
}

TEST_CASE("A hostile container size is rejected before memory is allocated for it") {
  // The payload ends with the sizes of five empty lists of four bytes each.
  const auto base = payload_of(member_sync_reply{});
  for (const std::uint32_t size : {1U, 21U, 0x7fffffffU, 0xffffffffU}) {
    for (std::size_t list = 1; list <= 5; ++list) {
      auto payload = base;
      std::memcpy(payload.data() + payload.size() - list * 4, &size, 4);
      CHECK(error_of(frame_of(payload)) == frame_error::malformed_payload);
    }
  }
  // A size equal to the bytes that remain passes the first check; reading must then stop early.
  auto payload = base + std::string(1'000'000, '\xff');
  const std::uint32_t size = 1'000'000;
  std::memcpy(payload.data() + base.size() - 20, &size, 4);
  CHECK(error_of(frame_of(payload)) == frame_error::malformed_payload);
}

TEST_CASE("Unknown enumerators, message types and truth values are rejected") {
  auto payload = payload_of(claim_finish_reply{1, true});
  payload.back() = 2;
  CHECK(error_of(frame_of(payload)) == frame_error::malformed_payload);

  payload = payload_of(claim_finish_reply{1, true});
  const std::size_t type_at = payload.size() - 9 - 4;
  for (const char type : {static_cast<char>(std::variant_size_v<message>), '\x7f', '\xff'}) {
    payload[type_at] = type;
    CHECK(error_of(frame_of(payload)) == frame_error::malformed_payload);
  }

  member_record record;
  payload = payload_of(member_sync_request{record});
  // Behind the state come the sizes of two empty lists and the process identifier.
  auto& state = payload[payload.size() - 17];
  state = static_cast<char>(member_state::dead);
  CHECK_FALSE(error_of(frame_of(payload)).has_value());
  state = static_cast<char>(member_state::dead) + 1;
  CHECK(error_of(frame_of(payload)) == frame_error::malformed_payload);
}

TEST_CASE("A message above the frame limit is not encoded") {
  document_content body;
  body.content.assign(max_frame_bytes, 'x');
  CHECK(encode(secret, "node-1", reply_to, body).empty());
  body.content.resize(1'048'576);
  CHECK_FALSE(error_of(encode(secret, "node-1", reply_to, body)).has_value());
}

} // namespace
} // namespace damaskledge::wire
