#include <doctest/doctest.h>

#include "platform/http_answer.h"

using namespace damaskledge;
using namespace damaskledge::platform;

TEST_CASE("an answer with a malformed era is not taken for one of the first era") {
  for (const char* it : {"0", "-1", "x", "", "2 ", "8388609", "18446744073709551616"}) {
    CAPTURE(it);
    CHECK_FALSE(parse_era(it).has_value());
    http::response response;
    response.status = 200;
    response.fields.add("ETag", "\"3\"");
    response.fields.add("Store-Era", it);
    CHECK_FALSE(check_head(response).usable);
  }
  CHECK(parse_era("2") == 2);
}

TEST_CASE("a body without a length is whole only when all of it is JSON") {
  // Guards against taking a truncated answer for a whole one.
  const auto check = [](std::string body) {
    http::response response;
    response.body = std::move(body);
    return check_body(response);
  };
  CHECK(check("").empty());
  CHECK(check(R"({"write_id": "a"})").empty());
  CHECK_FALSE(check(R"({"write_id": "a")").empty());
  // Found by the fuzz target platform_answer: the parser stops at a null byte.
  using namespace std::string_literals;
  CHECK_FALSE(check("{}\0{"s).empty());
}
