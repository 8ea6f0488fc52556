#include <fstream>
#include <sstream>
#include <string>

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include "load/load.h"

namespace damaskledge::load {
namespace {

constexpr const char* minimal = R"(// A comment.
{
  "duration_s": 10, /* another one */
  "nodes": ["127.0.0.1:8080"],
  "accounts": [
    { "name": "growers", "rate": 10, "burst": 5,
      "calls": [ { "route": "status", "path": "/plots/status", "per_second": 3 } ] }
  ],
  "phases": [
    { "name": "base", "start_s": 0, "duration_s": 4 },
    { "name": "surge", "start_s": 4, "duration_s": 2, "factor": 3 }
  ]
})";

/// @return the error of a text that must not parse.
parse_error error_of(const std::string& text) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<parse_error> {
        BOOST_LEAF_CHECK(parse_scenario(text, "load.json"));
        return parse_error{"", 0, "", "no error", ""};
      },
      [](const parse_error& error) { return error; },
      [] {
        return parse_error{"", 0, "", "an error of another type", ""};
      });
}

/// @return the minimal scenario with one member replaced, as text.
std::string with(const std::string& pointer, const nlohmann::json& value) {
  auto document = nlohmann::json::parse(minimal, nullptr, true, true);
  document[nlohmann::json::json_pointer(pointer)] = value;
  return document.dump();
}

std::string read_example(const std::string& name) {
  std::ifstream file(std::string(EXAMPLES_FOLDER) + "/" + name);
  std::ostringstream content;
  content << file.rdbuf();
  return content.str();
}

TEST_CASE("a scenario with comments is read, with defaults") {
  const auto result = parse_scenario(minimal, "load.json");
  REQUIRE(result);
  CHECK(result->length == seconds{10});
  CHECK(result->nodes == std::vector<endpoint>{{"127.0.0.1", 8'080}});
  CHECK(result->connections == 64);
  CHECK(result->caller_delay == milliseconds{0});
  REQUIRE(result->accounts.size() == 1);
  const call_template& call = result->accounts[0].calls.at(0);
  CHECK(call.method == "GET");
  CHECK(call.importance == importance::normal);
  CHECK(call.deadline == milliseconds{1'000});
  CHECK(result->accounts[0].retries.attempts == 1);
  REQUIRE(result->phases.size() == 2);
  CHECK(result->phases[0].is_base());
  CHECK(!result->phases[1].is_base());
  CHECK(phase_at(*result, milliseconds{3'999}) == 0U);
  CHECK(phase_at(*result, seconds{4}) == 1U);
  CHECK(!phase_at(*result, seconds{6}).has_value());
}

TEST_CASE("a disturbed phase and one with its own retries are no base") {
  const auto disturbed = parse_scenario(
      with("/phases/1", {{"name", "cut"}, {"start_s", 4}, {"duration_s", 2}, {"disturbed", true}}),
      "load.json");
  REQUIRE(disturbed);
  CHECK(disturbed->phases[1].disturbed);
  CHECK(!disturbed->phases[1].is_base());
  const auto storm = parse_scenario(
      with("/phases/1",
           {{"name", "storm"},
            {"start_s", 4},
            {"duration_s", 2},
            {"retries",
             {{"fraction", 1}, {"attempts", 5}, {"pause_ms", 0}, {"honour_retry_after", false}}}}),
      "load.json");
  REQUIRE(storm);
  CHECK(!storm->phases[1].is_base());
  CHECK(retries_at(*storm, 0, seconds{5}) == retry_policy{1, 5, false, milliseconds{0}});
  CHECK(retries_at(*storm, 0, seconds{6}) == storm->accounts[0].retries);
}

TEST_CASE("the error of a broken scenario names the field") {
  const auto call = [](const std::string& member) { return "/accounts/0/calls/0/" + member; };
  const std::string call_field = "accounts[0].calls[0].";
  const std::vector<std::pair<std::string, std::string>> cases{
      {with("/duration_s", -1), "duration_s"},
      {with("/duration_s", "10"), "duration_s"},
      {with("/nodes", {"127.0.0.1"}), "nodes[0]"},
      {with("/nodes", {"127.0.0.1:0"}), "nodes[0]"},
      {with("/connections", 0), "connections"},
      {with("/connections", 1.5), "connections"},
      {with("/accounts", nlohmann::json::array()), "accounts"},
      {with("/accounts/0/name", ""), "accounts[0].name"},
      {with("/accounts/0/rate", -3), "accounts[0].rate"},
      {with("/accounts/0/retries", {{"fraction", 2}}), "accounts[0].retries.fraction"},
      {with("/accounts/0/retries", {{"fraction", 0.5}, {"attempts", 0}}),
       "accounts[0].retries.attempts"},
      {with(call("path"), "plots"), call_field + "path"},
      {with(call("path"), "/a b"), call_field + "path"},
      {with(call("method"), "FETCH"), call_field + "method"},
      {with(call("importance"), "urgent"), call_field + "importance"},
      {with(call("deadline_ms"), 0), call_field + "deadline_ms"},
      {with(call("per_second"), -1), call_field + "per_second"},
      {with(call("per_secnd"), 1), call_field + "per_secnd"},
      {with(call("operation"), "body"), call_field + "body"},
      {with(call("operation"), "path"), call_field + "operation"},
      {with("/phases/1/start_s", 3), "phases[1].start_s"},
      {with("/phases/1/duration_s", 20), "phases[1]"},
      {with("/phases/1/factor", -1), "phases[1].factor"},
      {with("/phases/1/account_factors", {{"nobody", 2}}), "phases[1].account_factors.nobody"},
      {with("/phases/0/factor", 2), "phases"},
      {with("/phases/0/disturbed", true), "phases"},
      {with("/phases/1/disturbed", 1), "phases[1].disturbed"},
      {with("/phases/1/retries", {{"fraction", 2}}), "phases[1].retries.fraction"},
      {with("/unknown", 1), "unknown"},
  };
  for (const auto& it : cases) {
    const parse_error error = error_of(it.first);
    CAPTURE(it.second);
    CHECK(error.field == it.second);
    CHECK(error.file == "load.json");
    CHECK(!error.remedy.empty());
  }
  auto twice = nlohmann::json::parse(minimal, nullptr, true, true);
  twice["accounts"].push_back(twice["accounts"][0]);
  CHECK(error_of(twice.dump()).field == "accounts[1].name");
}

TEST_CASE("a syntax error names its line") {
  const parse_error error = error_of("{\n  \"duration_s\": 10,\n  oops\n}");
  CHECK(error.line == 3);
}

// Guards against keys in the tool's messages.
TEST_CASE("errors in the key file do not show keys") {
  const auto message_of = [](const std::string& text) {
    return leaf::try_handle_all(
        [&]() -> leaf::result<std::string> {
          BOOST_LEAF_CHECK(parse_keys(text, "keys.json"));
          return std::string("no error");
        },
        [](const parse_error& error) { return to_string(error); },
        [] { return std::string("an error of another type"); });
  };
  for (const char* it :
       {R"({"growers": "dlk_0123_secret" "x": "dlk_4567_secret"})", R"({"growers": "secret"})",
        R"(["dlk_0123_secret"])", R"({"growers": ["dlk_0123_secret"]})", "\"dlk_0123_secret\"",
        // Name and key swapped: found by the fuzz target load_scenario.
        R"({"dlk_0123_secret": "growers"})"}) {
    const std::string message = message_of(it);
    CAPTURE(it);
    CHECK(message.find("keys.json") == 0);
    CHECK(message.find("secret") == std::string::npos);
  }
  const auto keys = parse_keys(R"({ /* note */ "growers": "dlk_0123_secret"})", "keys.json");
  REQUIRE(keys);
  CHECK(keys->at("growers") == "dlk_0123_secret");
}

TEST_CASE("the example scenarios are valid and offer what their plans allow") {
  for (const char* it : {"moquegua/load.json", "archive/load.json"}) {
    CAPTURE(it);
    const auto result = parse_scenario(read_example(it), it);
    REQUIRE(result);
    CHECK(result->accounts.size() >= 3);
    CHECK(result->phases.size() == 3);
    for (const account_demand& account : result->accounts) {
      double offered = 0;
      for (const call_template& call : account.calls) {
        offered += call.per_second;
      }
      CAPTURE(account.name);
      CHECK(offered > 0);
      CHECK(offered <= account.rate);
    }
  }
}

} // namespace
} // namespace damaskledge::load
