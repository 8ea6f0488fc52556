#include <string>

#include <doctest/doctest.h>

#include "node/header_check.h"

namespace damaskledge::node {
namespace {

TEST_CASE("Headers are checked across any split of their bytes") {
  // Guards against a malformed length that slips through because it came in two packets.
  const std::string bad = "POST /a HTTP/1.1\r\nHost: x\r\ncontent-LENGTH: 1x\r\n\r\n";
  for (std::size_t split = 0; split < bad.size(); ++split) {
    header_check check(1'000);
    auto refused = check.feed(std::string_view(bad).substr(0, split));
    if (!refused) {
      refused = check.feed(std::string_view(bad).substr(split));
    }
    REQUIRE(refused);
    CHECK(refused->reason == refusal_reason::malformed_request);
  }
}

TEST_CASE("Bodies and following messages are not taken for headers") {
  const std::string good = "POST /a HTTP/1.1\r\nContent-Length: 3\r\n\r\nContent-Length: x\r\n\r\n";
  header_check check(60);
  CHECK_FALSE(check.feed(good));
  CHECK_FALSE(check.feed(std::string(500, 'a')));
  check.reset();
  CHECK_FALSE(check.feed("GET /b HTTP/1.1\r\nHost: y\r\n\r\n"));
}

TEST_CASE("Headers above the bound are refused before they end") {
  header_check check(100);
  const auto refused = check.feed("GET /" + std::string(200, 'a'));
  REQUIRE(refused);
  CHECK(refused->reason == refusal_reason::headers_too_large);
}

} // namespace
} // namespace damaskledge::node
