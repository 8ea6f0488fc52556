#include <doctest/doctest.h>

#include "platform/http_answer.h"

using namespace damaskledge;
using namespace damaskledge::platform;

TEST_CASE("a body without a length is whole only when all of it is JSON") {
  // Guards against taking a truncated answer for a whole one.
  const Poco::Net::HTTPResponse response;
  CHECK(check_body(response, "").empty());
  CHECK(check_body(response, R"({"write_id": "a"})").empty());
  CHECK_FALSE(check_body(response, R"({"write_id": "a")").empty());
  // Found by the fuzz target platform_answer: the parser stops at a null byte.
  using namespace std::string_view_literals;
  CHECK_FALSE(check_body(response, "{}\0{"sv).empty());
}
