#include <string>
#include <vector>

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include "control/control.h"
#include "http/raw_server.h"
#include "stand_ins/platform_server.h"

namespace damaskledge::control {
namespace {

using nlohmann::json;

/// Commands against the platform stand-in over HTTP.
struct over_http {
  over_http()
      : server(stand_ins::platform_settings{}),
        outside(make_environment(to_string(server.address()), "500ms").value()) {
    given.accounts = std::string(DAMASKLEDGE_SOURCE_DIR) + "/examples/archive/accounts.json";
    given.plans = std::string(DAMASKLEDGE_SOURCE_DIR) + "/examples/archive/plans.json";
    given.account = "north-archive";
  }

  exit_code call(const std::vector<std::string>& words) { return run(words, given, outside).code; }

  stand_ins::platform_server server;
  environment outside;
  flags given;
};

TEST_CASE_FIXTURE(over_http, "A lost answer to a write over HTTP is resolved and written once") {
  server.set_faults({.lose_write_answers = 1});
  CHECK(call({"apply"}) == exit_code::success);
  CHECK(server.version("config/lists") == 1);
  server.set_faults({.lose_write_answers = 2});
  CHECK(call({"keys", "give"}) == exit_code::success);
  CHECK(server.version("config/keys") == 1);
  given.output = "json";
  const json keys = json::parse(run({"keys", "list"}, given, outside).out)["keys"];
  REQUIRE(keys.size() == 1);
  CHECK(call({"keys", "withdraw", keys[0]["id"].get<std::string>()}) == exit_code::success);
  CHECK(server.version("config/keys") == 2);
}

TEST_CASE_FIXTURE(over_http, "A stale read never turns a write of one's own into a lost race") {
  REQUIRE(call({"apply"}) == exit_code::success);
  // Stale reads return the version before the current one, so each object needs two.
  const platform::answer lists = outside.platform(platform::read{"config/lists"});
  const std::string& content = std::get<platform::found>(lists).value.content;
  outside.platform(platform::write{"config/lists", 1, content});
  REQUIRE(server.version("config/lists") == 2);
  REQUIRE(call({"keys", "give"}) == exit_code::success);
  REQUIRE(call({"keys", "give"}) == exit_code::success);
  for (std::uint64_t stale = 1; stale <= 4; ++stale) {
    CAPTURE(stale);
    const std::uint64_t before = server.version("config/keys");
    server.set_faults({.lose_write_answers = 1, .stale_reads = stale});
    CHECK(call({"keys", "give"}) == exit_code::success);
    CHECK(server.version("config/keys") == before + 1);
    server.set_faults({});
  }
}

TEST_CASE_FIXTURE(over_http, "An outage of the platform is told as such") {
  server.set_faults({.outage = true});
  // The pauses between attempts would make this test slow and change nothing here.
  outside.sleep = [](milliseconds) {};
  CHECK(call({"apply"}) == exit_code::unavailable);
  CHECK(call({"status"}) == exit_code::unavailable);
  server.set_faults({});
  CHECK(server.version("config/lists") == 0);
}

TEST_CASE_FIXTURE(over_http, "A node's endpoint that does not respond gives no status") {
  CHECK(outside.get({"127.0.0.1", 1}, "/explain?request=a").status == 0);
  // The stand-in serves other pages only.
  CHECK(outside.get(server.address(), "/explain?request=a").status == 404);
}

TEST_CASE_FIXTURE(over_http, "A part of a node's page is not taken for the whole page") {
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  for (const auto& it : {ok + "Content-Length: 8\r\n\r\npart",
                         ok + "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n"}) {
    CAPTURE(it);
    for (const auto after : {test::then::end, test::then::reset}) {
      const test::raw_server node(it, after);
      const auto reply = outside.get(node.address(), "/explain?request=a");
      CHECK(reply.status == 0);
      CHECK(reply.body.find("part") == std::string::npos);
    }
  }
  const test::raw_server large(ok + "Content-Length: 70000\r\n\r\n" + std::string(70'000, 'x'),
                               test::then::end);
  CHECK(outside.get(large.address(), "/explain?request=a").status == 0);
  const test::raw_server node("HTTP/1.1 000 Trouble\r\nContent-Length: 4\r\n\r\npart",
                              test::then::end);
  CHECK(outside.get(node.address(), "/explain?request=a").body != "part");
}

} // namespace
} // namespace damaskledge::control
