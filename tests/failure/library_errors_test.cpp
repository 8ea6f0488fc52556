// Malformed input that the HTTP library rejects before a node sees the request.
#include <doctest/doctest.h>

#include "failure/fleet.h"

namespace damaskledge::failure {
namespace {

constexpr milliseconds answer_limit{5'000};

fleet& shared() {
  static fleet instance("library-errors", small_plan(40));
  static const bool started = instance.start();
  REQUIRE(started);
  return instance;
}

std::string head(fleet& all, const std::string& request_line, const std::string& more) {
  return request_line + " HTTP/1.1\r\nHost: node\r\nAuthorization: Bearer " + all.key("crews") +
         "\r\n" + more + "\r\n";
}

std::string send(fleet& all, const std::string& bytes) {
  return send_raw(all.caller_endpoint(all.machines()[0]), bytes, answer_limit);
}

void check_serves(fleet& all) {
  CHECK(all.machines()[0].node->running());
  CHECK(all.call(all.machines()[0], "crews", "GET", "/dispatch/state").status == 200);
  CHECK_FALSE(all.violated());
}

const std::string body = R"({"dispatch_number": "malformed"})";

} // namespace

TEST_CASE("a length that is no number gets an error") {
  // Guards against a connection that closes without a word, which looks like a failed node.
  fleet& all = shared();
  const std::string answer =
      send(all, head(all, "POST /dispatch/confirm", "Content-Length: 0x20\r\n") + body);
  INFO("answer: ", answer);
  CHECK(answer.starts_with("HTTP/1.1 400"));
  check_serves(all);
}

TEST_CASE("a header field above the limit gets 431") {
  // Guards against an error that does not say what to change.
  fleet& all = shared();
  const std::string answer =
      send(all, head(all, "GET /dispatch/state", "X-Large: " + std::string(60'000, 'a') + "\r\n"));
  INFO("answer: ", answer);
  CHECK(answer.starts_with("HTTP/1.1 431"));
  check_serves(all);
}

} // namespace damaskledge::failure
