#include <string>
#include <string_view>
#include <vector>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "config/config.h"

namespace damaskledge::config {
namespace {

constexpr std::string_view good_accounts = R"({
  // Comments of both kinds must not shift line numbers.
  "accounts": [
    {"name": "ica", "plan": "large"}, /* two
    lines */
    {"name": "paracas", "plan": "small"}
  ]
})";

constexpr std::string_view good_plans = R"({
  "plans": [
    {"name": "large", "rate": 100.5, "burst": 200, "routes": ["status", "confirm"]},
    {"name": "small", "rate": 10, "burst": 20, "routes": ["status"]}
  ],
  "routes": [
    {"name": "status", "service": "plots", "method": "GET", "path": "/status",
     "importance": "critical", "deadline": "500ms"},
    {"name": "confirm", "service": "dispatch", "method": "POST", "path": "/confirm",
     "idempotent": false, "calls": ["plots"], "operation_field": "/dispatch_number"},
    {"name": "about", "service": "plots", "method": "GET", "path": "/about", "open": true}
  ],
  "data_centres": [
    {"name": "north", "weight": 0.5},
    {"name": "south", "weight": 0.5}
  ]
})";

std::vector<parse_error> errors_of(auto&& parse) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<std::vector<parse_error>> {
        BOOST_LEAF_CHECK(parse());
        return std::vector<parse_error>{};
      },
      [](const parse_errors& errors) { return errors.all; },
      []() -> std::vector<parse_error> {
        return {{"unexpected error", 0, "", "", ""}};
      });
}

std::vector<parse_error> errors_of_lists(std::string_view accounts, std::string_view plans) {
  return errors_of([&] { return parse_lists(accounts, "accounts.json", plans, "plans.json"); });
}

std::string replaced(std::string_view text, std::string_view from, std::string_view to) {
  std::string result(text);
  const auto it = result.find(from);
  REQUIRE(it != std::string::npos);
  return result.replace(it, from.size(), to);
}

TEST_CASE("Both lists parse into typed values with defaults") {
  const lists value = parse_lists(good_accounts, "accounts.json", good_plans, "plans.json").value();
  CHECK(value.accounts == std::vector<account>{{"ica", "large"}, {"paracas", "small"}});
  CHECK(value.plans.front() == plan{"large", 100.5, 200, {"status", "confirm"}});
  CHECK(value.routes.at(0) == route_builder("status", "plots", "GET", "/status")
                                  .with_importance(importance::critical)
                                  .with_deadline(milliseconds(500))
                                  .build());
  CHECK(value.routes.at(1) == route_builder("confirm", "dispatch", "POST", "/confirm")
                                  .non_idempotent("/dispatch_number")
                                  .calling("plots")
                                  .build());
  CHECK(value.routes.at(2) == route_builder("about", "plots", "GET", "/about").open().build());
}

struct broken_plans {
  std::string_view from;
  std::string_view to;
  int line;
  std::string_view field;
  /// Errors in all; above 1 where a renamed element also leaves references dangling.
  std::size_t count = 1;
};

TEST_CASE("Each kind of mistake is reported once, with its own line and field path") {
  const std::vector<broken_plans> cases{
      {"\"rate\": 10,", "\"rate\": 0,", 4, "plans[1].rate"},
      {"\"rate\": 10,", "\"rate\": -1,", 4, "plans[1].rate"},
      {"\"rate\": 10,", "\"rate\": \"10\",", 4, "plans[1].rate"},
      {"\"rate\": 10,", "", 4, "plans[1].rate"},
      {"\"burst\": 20,", "\"burst\": 1,", 4, "plans[1].burst"},
      {"\"burst\": 20,", "\"burst\": 0.5,", 4, "plans[1].burst"},
      {"[\"status\"]", "[]", 4, "plans[1].routes"},
      {"[\"status\"]", "[\"none\"]", 4, "plans[1].routes[0]"},
      {"[\"status\"]", "[\"status\",\n\"status\"]", 5, "plans[1].routes[1]"},
      {"[\"status\"]", "[\"status\",\n7\n]", 5, "plans[1].routes[1]"},
      {"\"name\": \"small\"", "\"name\": \"large\"", 4, "plans[1].name", 2},
      {"\"name\": \"status\"", "\"name\": \"confirm\"", 9, "routes[1].name", 3},
      {"\"GET\"", "\"get\"", 7, "routes[0].method"},
      {"\"/status\"", "\"status\"", 7, "routes[0].path"},
      {"\"/status\"", "\"/a/../b\"", 7, "routes[0].path"},
      {"\"/status\"", "\"/a?b\"", 7, "routes[0].path"},
      {"\"/about\"", "\"/status\"", 11, "routes[2].path"},
      {"\"critical\"", "\"urgent\"", 8, "routes[0].importance"},
      {"\"500ms\"", "500", 8, "routes[0].deadline"},
      {"\"500ms\"", "\"500\"", 8, "routes[0].deadline"},
      {"\"500ms\"", "\"0ms\"", 8, "routes[0].deadline"},
      {"\"500ms\"", "\"1d\"", 8, "routes[0].deadline"},
      {"\"idempotent\": false, ", "", 9, "routes[1].idempotent"},
      {"\"idempotent\": false", "\"idempotent\": true", 10, "routes[1].operation_field"},
      {"\"/dispatch_number\"", "\"dispatch_number\"", 10, "routes[1].operation_field"},
      {"\"calls\": [\"plots\"]", "\"calls\": [\"gate\"]", 10, "routes[1].calls[0]"},
      {"\"calls\": [\"plots\"]", "\"calls\": [\"plots\"], \"open\": true", 10, "routes[1].open"},
      {"\"open\": true", "\"opened\": true", 11, "routes[2].opened"},
      {"\"open\": true", "\"open\": 1", 11, "routes[2].open"},
      {"\"open\": true", "\"open\": true,\n \"open\": true", 12, "routes[2].open"},
      {"\"weight\": 0.5}\n", "\"weight\": 0.6}\n", 13, "data_centres"},
      {"\"weight\": 0.5}\n", "\"weight\": 1.5}\n", 15, "data_centres[1].weight"},
      {"\"south\"", "\"north\"", 15, "data_centres[1].name"},
      {"\"south\"", "\"so uth\"", 15, "data_centres[1].name"},
      {"\"data_centres\": [", "\"data_centres\" [", 13, "data_centres"},
  };
  for (const broken_plans& it : cases) {
    CAPTURE(it.from);
    CAPTURE(it.to);
    const auto errors = errors_of_lists(good_accounts, replaced(good_plans, it.from, it.to));
    REQUIRE_FALSE(errors.empty());
    CHECK(errors.size() == it.count);
    CHECK(errors.front().file == "plans.json");
    CHECK(errors.front().line == it.line);
    CHECK(errors.front().field == it.field);
    CHECK_FALSE(errors.front().found.empty());
    CHECK_FALSE(errors.front().remedy.empty());
  }
}

TEST_CASE("An account with an unknown plan is reported at its line in accounts.json") {
  const auto errors = errors_of_lists(replaced(good_accounts, "\"small\"", "\"tiny\""), good_plans);
  REQUIRE(errors.size() == 1);
  CHECK(to_string(errors.front()) == "accounts.json:6: accounts[1].plan: found string \"tiny\"; "
                                     "add a plan of this name or use an existing one");
}

TEST_CASE("All errors of both files are reported at once") {
  const auto plans = replaced(replaced(good_plans, "\"GET\"", "\"get\""), "\"/about\"", "\"\"");
  const auto errors = errors_of_lists(R"({"accounts": [], "extra": 1})", plans);
  CHECK(errors.size() == 4);
}

TEST_CASE("An unterminated text is an error and not an empty list") {
  CHECK(errors_of_lists(good_accounts.substr(0, 60), good_plans).size() == 1);
  CHECK(errors_of_lists("", good_plans).size() == 1);
  CHECK(errors_of_lists("[]", good_plans).size() == 1);
}

TEST_CASE("Numbers at the end of a line keep their line") {
  // The lexer reads the newline behind a number before it reports the number.
  const auto errors = errors_of_lists(good_accounts, R"({"plans": [
1
,
2
], "routes": [], "data_centres": []})");
  REQUIRE(errors.size() >= 2);
  CHECK(errors[0].line == 2);
  CHECK(errors[1].line == 4);
}

// Generators of valid values.

std::string name_at(std::string_view prefix, std::size_t index) {
  return std::string(prefix) + std::to_string(index);
}

rc::Gen<lists> any_lists() {
  return rc::gen::exec([] {
    lists result;
    const auto count = [] { return *rc::gen::inRange<std::size_t>(1, 6); };
    for (std::size_t it = 0, n = count(); it < n; ++it) {
      route_builder builder(name_at("r", it), name_at("s", it),
                            *rc::gen::element<std::string>("GET", "POST", "PUT"),
                            name_at("/p", it));
      builder.with_importance(*rc::gen::element(importance::critical, importance::high,
                                                importance::normal, importance::low));
      builder.with_deadline(milliseconds(*rc::gen::inRange(1, 600'001)));
      if (*rc::gen::arbitrary<bool>()) {
        builder.non_idempotent(*rc::gen::element<std::string>("", "/a/b~0c"));
      } else if (*rc::gen::arbitrary<bool>()) {
        builder.open();
      }
      if (*rc::gen::arbitrary<bool>()) {
        builder.calling("s0");
      }
      result.routes.push_back(builder.build());
    }
    for (std::size_t it = 0, n = count(); it < n; ++it) {
      const double rate = *rc::gen::inRange(1, 1'000'000) / 7.0;
      const double burst = 100 + *rc::gen::inRange(0, 1'000'000) / 3.0;
      result.plans.push_back({name_at("p", it), rate, burst, {result.routes.back().name}});
    }
    for (std::size_t it = 0, n = count(); it < n; ++it) {
      result.accounts.push_back({name_at("a", it), result.plans.front().name});
    }
    const std::size_t n = count();
    for (std::size_t it = 0; it < n; ++it) {
      result.data_centres.push_back({name_at("d", it), 1.0 / static_cast<double>(n)});
    }
    return result;
  });
}

rc::Gen<keys> any_keys() {
  return rc::gen::exec([] {
    keys result;
    const auto n = *rc::gen::inRange<std::uint64_t>(0, 6);
    for (std::uint64_t it = 0; it < n; ++it) {
      key_record record;
      record.id = to_string(id128{0, it}).substr(20);
      record.account = "a";
      record.digest =
          to_string(id128{*rc::gen::arbitrary<std::uint64_t>(), it}) + to_string(id128{1, 2});
      record.given_at = *rc::gen::positive<std::int64_t>();
      record.withdrawn = *rc::gen::arbitrary<bool>();
      result.records.push_back(std::move(record));
    }
    return result;
  });
}

TEST_CASE("Lists survive the stored form") {
  CHECK(rc::check([] {
    const lists value = *any_lists();
    RC_ASSERT(parse_lists_document(to_document(value)).value() == value);
    RC_ASSERT(differences(value, value).empty());
  }));
}

TEST_CASE("Keys survive the stored form and the object content") {
  CHECK(rc::check([] {
    const keys value = *any_keys();
    RC_ASSERT(parse_keys_document(to_document(value)).value() == value);
    const std::string content = to_object_content(keys_document, to_document(value), "w1");
    RC_ASSERT(document_in_object(keys_document, content).value() == to_document(value));
  }));
}

TEST_CASE("Malformed key records are rejected without their digest in the message") {
  const std::string record =
      R"({"id": "00112233445", "account": "a", "digest": "abc", "given_at": -1})";
  const auto errors =
      errors_of([&] { return parse_keys_document("{\"records\": [\n" + record + "]}"); });
  CHECK(errors.size() == 4);
  for (const parse_error& it : errors) {
    CHECK(it.line == 2);
    CHECK(to_string(it).find("abc") == std::string::npos);
  }
  const std::string digest(64, 'a');
  const std::string good = R"({"id": "001122334455", "account": "a", "digest": ")" + digest +
                           R"(", "given_at": 1, "withdrawn": false})";
  const auto twice =
      errors_of([&] { return parse_keys_document("{\"records\": [" + good + "," + good + "]}"); });
  CHECK(twice.size() == 2);
}

TEST_CASE("Differences name what changed, what came and what went") {
  const lists before =
      parse_lists(good_accounts, "accounts.json", good_plans, "plans.json").value();
  lists after = before;
  after.accounts.erase(after.accounts.begin());
  after.accounts.push_back({"tambo", "small"});
  after.plans[1].rate = 12.5;
  after.plans[0].routes = {"status", "about"};
  after.data_centres[1].weight = 0;
  CHECK(differences(before, after) ==
        std::vector<std::string>{
            "account ica: removed (plan large)", "account tambo: added (plan small)",
            "plan large: routes -confirm +about", "plan small: rate 10.0 -> 12.5",
            "data centre south: weight 0.5 -> 0.0"});
}

} // namespace
} // namespace damaskledge::config
