#include <doctest/doctest.h>

#include "sidecar/sidecar.h"

using namespace damaskledge;

namespace {

const char* const valid = R"({
  // one node
  "name": "n", "data_centre": "d", "service": "s",
  "caller_address": "127.0.0.1:1", "ready_address": "127.0.0.1:2",
  "announce_address": "127.0.0.1:3", "peer_address": "127.0.0.1:4",
  "upstream_address": "127.0.0.1:5", "store_address": "127.0.0.1:6",
  "first_start": true, "drain_limit_ms": 2500, "grace_s": 7.0, "retry_ratio": 0.1
})";

std::string error_of(const std::string& text) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<std::string> {
        BOOST_LEAF_CHECK(sidecar::parse_settings(text, "f.json"));
        return std::string();
      },
      [](const parse_error& error) { return to_string(error); },
      [] { return std::string("unknown"); });
}

std::string replaced(const std::string& from, const std::string& to) {
  std::string text = valid;
  text.replace(text.find(from), from.size(), to);
  return text;
}

} // namespace

TEST_CASE("Settings are read with comments and defaults") {
  CHECK(error_of(valid).empty());
  const auto values = sidecar::parse_settings(valid, "f.json").value();
  CHECK(values.caller_address == endpoint{"127.0.0.1", 1});
  CHECK(values.drain_limit == milliseconds(2'500));
  CHECK(values.grace == seconds(7));
  CHECK(values.retry_window == seconds(10));
  CHECK(values.metrics_address.port == 0);
  CHECK(values.peer_listen_address.port == 0);
}

TEST_CASE("A node behind a forwarder listens elsewhere than it tells the others") {
  const auto text =
      replaced("\"peer_address\"", "\"peer_listen_address\": \"127.0.0.1:9\", \"peer_address\"");
  const auto values = sidecar::parse_settings(text, "f.json").value();
  CHECK(values.peer_listen_address == endpoint{"127.0.0.1", 9});
  CHECK(values.peer_address == endpoint{"127.0.0.1", 4});
}

TEST_CASE("Wrong settings are refused with the field and the remedy") {
  CHECK(error_of("[]").find("f.json") != std::string::npos);
  CHECK(error_of(replaced("\"name\": \"n\"", "\"nam\": \"n\"")).find("nam") != std::string::npos);
  CHECK(error_of(replaced("\"name\": \"n\",", "")).find("name") != std::string::npos);
  CHECK(error_of(replaced("\"127.0.0.1:1\"", "\"host:1\"")).find("caller_address") !=
        std::string::npos);
  CHECK(error_of(replaced("\"retry_ratio\": 0.1", "\"retry_ratio\": 2")).find("retry_ratio") !=
        std::string::npos);
  CHECK(error_of(replaced("true", "1")).find("first_start") != std::string::npos);
}
