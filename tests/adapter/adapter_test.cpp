#include <doctest/doctest.h>

#include "platform/adapter.h"

using namespace damaskledge;

namespace {

const char* const sample_configuration = R"({
  "version": "0000001a",
  "limits": {"max-header-bytes": 1000, "max-body-bytes": 2000, "header-timeout-ms": 300,
             "idle-timeout-ms": 400},
  "tenants": [{"name": "t1", "api-keys": ["k1", "k2"], "priority": 1, "rate-per-s": 5, "burst": 6},
              {"name": "t2", "api-keys": []}],
  "listeners": [{"host": "h.example", "rules": [
    {"name": "short", "kind": "safe", "aim-ms": 150, "priority": 2, "public": true,
     "match": {"path-prefix": "/a/"},
     "action": {"service": "s1", "timeout-ms": 1000, "max-attempts": 2}},
    {"name": "long", "kind": "unsafe", "aim-ms": 250, "priority": 0, "public": false,
     "match": {"path-prefix": "/a/b/"},
     "action": {"traffic-split": [{"service": "s1", "weight": 90}, {"service": "s2", "weight": 10}],
                "timeout-ms": 1200, "max-attempts": 1}}]}],
  "clusters": [{"name": "s1", "health-path": "/up", "max-connections": 10}]
})";

std::shared_ptr<const traffic::configuration> parse(const std::string& text) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<std::shared_ptr<const traffic::configuration>> {
        return adapter::parse_configuration(text);
      },
      [](const parse_error&) { return std::shared_ptr<const traffic::configuration>(); },
      [] { return std::shared_ptr<const traffic::configuration>(); });
}

const char* const sample_announcement =
    R"({"address":"10.0.0.9:8080","born":1700000000000,)"
    R"("info":{"service":"s1","version":"v1","zone":"z","slots":68},)"
    R"("status":{"state":"ready","sequence":4,"cold-remaining-ms":120}})";

} // namespace

TEST_CASE("A configuration of the platform becomes the project's types") {
  const auto value = parse(sample_configuration);
  REQUIRE(value);
  CHECK(value->version() == 26);
  CHECK(value->limits().idle_timeout == milliseconds(400));
  const auto* longer = value->find_route("h.example", "/a/b/c");
  REQUIRE(longer);
  CHECK(longer->name == "long");
  CHECK_FALSE(longer->idempotent);
  CHECK(longer->destinations.size() == 2);
  const auto* shorter = value->find_route("h.example", "/a/x");
  REQUIRE(shorter);
  CHECK(shorter->open_to_all);
  CHECK(shorter->objective == milliseconds(150));
  CHECK(shorter->max_attempts == 2);
  CHECK_FALSE(value->find_route("h.example", "/a"));
  CHECK_FALSE(value->find_route("other.example", "/a/"));
  REQUIRE(value->find_account("k2"));
  CHECK(value->find_account("k2")->priority == 1U);
  CHECK_FALSE(value->find_account("k3"));
  CHECK(value->find_account_by_name("t2")->rate == 0);
  CHECK(value->find_service("s1")->health_path == "/up");
}

TEST_CASE("A configuration with missing or malformed fields is rejected whole") {
  const std::string text = sample_configuration;
  const std::pair<std::string, std::string> damages[] = {
      {"\"0000001a\"", "\"1a\""},
      {"\"0000001a\"", "26"},
      {"\"h.example\"", "5"},
      {"\"timeout-ms\": 1200", "\"timeout-ms\": 1e300"},
      {"\"timeout-ms\": 1000", "\"timeout-ms\": \"x\""},
      {"\"kind\": \"safe\"", "\"k\": 1"},
      {"\"api-keys\": []", "\"api-keys\": [1]"},
      // Both are written into heads of requests to the target.
      {"\"name\": \"t1\"", R"("name": "t1\r\nX: y")"},
      {"\"/up\"", R"("/up HTTP/1.1\r\nX: y")"},
  };
  for (const auto& damage : damages) {
    const std::string& from = damage.first;
    const std::string& to = damage.second;
    std::string damaged = text;
    damaged.replace(damaged.find(from), from.size(), to);
    CAPTURE(to);
    CHECK_FALSE(parse(damaged));
  }
  CHECK_FALSE(parse(text.substr(0, 100)));
  CHECK_FALSE(parse("[]"));
}

TEST_CASE("Any kind that is not known to be repeatable is treated as not repeatable") {
  std::string text = sample_configuration;
  const std::string kind = "\"kind\": \"safe\"";
  text.replace(text.find(kind), kind.size(), "\"kind\": \"new\"");
  const auto value = parse(text);
  REQUIRE(value);
  CHECK_FALSE(value->find_route("h.example", "/a/x")->idempotent);
}

TEST_CASE("Announcements are recognised by method and path") {
  const auto beat = adapter::match_announcement("POST", "/instances/i-1/heartbeat");
  REQUIRE(beat);
  CHECK(beat->instance == "i-1");
  CHECK_FALSE(beat->farewell);
  CHECK(adapter::match_announcement("POST", "/instances/i-1/deregister")->farewell);
  CHECK_FALSE(adapter::match_announcement("GET", "/instances/i-1/heartbeat"));
  CHECK_FALSE(adapter::match_announcement("POST", "/instances//heartbeat"));
  CHECK_FALSE(adapter::match_announcement("POST", "/instances/i-1/other"));
}

TEST_CASE("An announcement names its target, state and start") {
  const auto value = adapter::parse_announcement("i-1", sample_announcement);
  REQUIRE(value);
  CHECK(value->service == "s1");
  CHECK(value->address == endpoint{"10.0.0.9", 8080});
  CHECK(value->slots == 68);
  CHECK(value->sequence == 4);
  CHECK(value->started == 1'700'000'000'000);
  CHECK(value->warming_up == milliseconds(120));
  CHECK_FALSE(value->leaving);
}

TEST_CASE("Announcements of another writer name no target") {
  const std::string text = sample_announcement;
  const std::pair<std::string, std::string> damages[] = {
      {"\"ready\"", "\"resting\""},     {"\"slots\":68", "\"slots\":\"68\""},
      {"\"slots\":68", "\"slots\":-1"}, {"\"sequence\":4,", ""},
      {"10.0.0.9:8080", "10.0.0.9"},    {"\"service\":\"s1\",", ""},
  };
  for (const auto& damage : damages) {
    const std::string& from = damage.first;
    const std::string& to = damage.second;
    std::string damaged = text;
    damaged.replace(damaged.find(from), from.size(), to);
    CAPTURE(to);
    CHECK_FALSE(adapter::parse_announcement("i-1", damaged));
  }
  CHECK_FALSE(adapter::parse_announcement("i-1", "\xff\xfe"));
}

TEST_CASE("Pages of the store are read and unreadable entries are left out") {
  const auto page = adapter::parse_page(
      R"({"items":[{"metadata":{"name":"a","revision":5},"spec":{"x":1}},{"metadata":7},3],)"
      R"("has-more":true,"at":9})");
  REQUIRE(page);
  REQUIRE(page->objects.size() == 1);
  CHECK(page->objects[0].name == "a");
  CHECK(page->objects[0].revision == 5);
  CHECK(page->objects[0].content == R"({"x":1})");
  CHECK(page->has_more);
  CHECK(page->revision == 9);
  CHECK_FALSE(adapter::parse_page(R"({"items":[]})"));
  CHECK_FALSE(adapter::parse_page("no json"));
}

TEST_CASE("Changes of the store tell removals") {
  const auto page = adapter::parse_changes(
      R"({"events":[{"object":{"metadata":{"name":"a"}},"removed":true},)"
      R"({"object":{"metadata":{"name":"b"},"spec":1},"removed":false}],"at":12})");
  REQUIRE(page);
  REQUIRE(page->changes.size() == 2);
  CHECK(page->changes[0].removed);
  CHECK(page->changes[1].object.content == "1");
  CHECK(page->revision == 12);
}

TEST_CASE("A node's record is the same after a round through the store") {
  const adapter::node_record record{"n1", "dc", {"10.0.0.1", 7000}};
  CHECK(adapter::parse_node_record("n1", adapter::to_json(record)) == record);
  CHECK_FALSE(adapter::parse_node_record("n1", R"({"address":"10.0.0.1:0","data_centre":"d"})"));
  CHECK_FALSE(adapter::parse_node_record("n1", "7"));
}

TEST_CASE("A leave is the same after a round through the store, and others are not read as one") {
  const adapter::leave_record record{"i-1", 1'700'000'000'000, 1'700'000'000'500};
  CHECK(adapter::parse_leave_record(adapter::to_json(record)) == record);
  CHECK_FALSE(adapter::parse_leave_record("{}"));
  CHECK_FALSE(adapter::parse_leave_record(R"({"instance":"","started":1,"left":2})"));
  CHECK_FALSE(adapter::parse_leave_record(R"({"instance":"i-1","started":-1,"left":2})"));
  CHECK_FALSE(adapter::parse_leave_record(R"({"instance":"i-1","started":1})"));
}

TEST_CASE("Calls to the store have the platform's form") {
  CHECK(adapter::list_objects("config", "", adapter::read_freshness::current).target ==
        "/objects/config");
  CHECK(adapter::list_objects("config", "a", adapter::read_freshness::current).target ==
        "/objects/config?after=a");
  CHECK(adapter::watch_objects("config", 7, milliseconds(2'000), adapter::read_freshness::current)
            .target == "/objects/config?watch=7&wait-ms=2000");
  const auto put = adapter::replace_object("k", "n", "{}", 4);
  CHECK(put.method == "PUT");
  CHECK(put.target == "/objects/k/n");
  CHECK(put.body == R"({"metadata":{"name":"n","revision":4},"spec":{}})");
  CHECK(adapter::create_object("k", "n", "{}").method == "POST");
}

TEST_CASE("A limit that is no number of requests is told apart from no limit") {
  const auto notice = [](const std::string& limit) {
    http::header_fields answer;
    answer.add("server-limit", limit);
    return adapter::read_notice(answer);
  };
  CHECK(notice("16.25").requests_per_s == 16.25);
  CHECK(notice("0").requests_per_s == 0.0);
  for (const char* text : {"", "-1", "12 ", "1e3", "nan", "inf", "0x10", "12,5", "1.2.3"}) {
    CAPTURE(text);
    CHECK(notice(text).malformed_limit);
    CHECK_FALSE(notice(text).requests_per_s);
  }
  CHECK(adapter::read_notice({}) == adapter::target_notice{});
}

TEST_CASE("Only a target that says so in its answer is leaving") {
  const auto leaving = [](const std::string& value) {
    http::header_fields answer;
    answer.add("Server-Leaving", value);
    return adapter::read_notice(answer).leaving;
  };
  CHECK(leaving("1"));
  CHECK_FALSE(leaving("0"));
  CHECK_FALSE(leaving(""));
}
