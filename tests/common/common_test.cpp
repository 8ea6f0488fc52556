#include <string>
#include <string_view>

#include <doctest/doctest.h>

#include "common/common.h"

namespace damaskledge {
namespace {

std::string_view bytes_of(const digest256& digest) {
  return {reinterpret_cast<const char*>(digest.data()), digest.size()};
}

TEST_CASE("SHA-256 and HMAC match the published vectors") {
  CHECK(to_hex(bytes_of(sha256("abc"))) ==
        "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
  // RFC 4231, test case 2.
  CHECK(to_hex(bytes_of(hmac_sha256("Jefe", "what do ya want for nothing?"))) ==
        "5bdcc146bf60754e6a042426089575c75a003f089d2739839dec58b964ec3843");
}

TEST_CASE("Different splits of the same bytes hash differently") {
  CHECK(hash_parts({"ab", "c"}) != hash_parts({"a", "bc"}));
  CHECK(hash_parts({"ab", "c"}) == hash_parts({"ab", "c"}));
}

TEST_CASE("Every refusal reason has its own row, so that no reason is sent under another's name") {
  for (int it = 0; it <= static_cast<int>(refusal_reason::deadline_exceeded); ++it) {
    const auto reason = static_cast<refusal_reason>(it);
    CHECK_FALSE(to_string(reason).empty());
    CHECK(http_status(reason) >= 400);
  }
  CHECK(to_string(refusal_reason::deadline_exceeded) == "deadline-exceeded");
  CHECK(to_string(refusal_reason::rate_exceeded) == "rate-exceeded");
  CHECK(http_status(refusal_reason::rate_exceeded) == 429);
}

TEST_CASE("Identifiers survive the text form and malformed text is rejected") {
  const id128 value = random_id();
  CHECK(parse_id128(to_string(value)) == value);
  CHECK_FALSE(parse_id128("12").has_value());
  CHECK_FALSE(parse_id128(std::string(32, 'g')).has_value());
  CHECK(from_hex("00ff") == std::string("\0\xff", 2));
  CHECK_FALSE(from_hex("0").has_value());
}

TEST_CASE("Constant-time comparison rejects a prefix") {
  CHECK(equal_constant_time("abc", "abc"));
  CHECK_FALSE(equal_constant_time("abc", "ab"));
  CHECK_FALSE(equal_constant_time("abc", "abd"));
}

TEST_CASE("an error of a file is one line") {
  // Guards against a name with an escaped newline that forges a log line: found by the fuzz target
  // operator_lists.
  const parse_error error{"plans.json", 3, "plans\nerror: x", "string \r\x1b[1m\x7f", "rename it"};
  CHECK(to_string(error) == "plans.json:3: plans error: x: found string   [1m ; rename it");
}

} // namespace
} // namespace damaskledge
