#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "config/config.h"

namespace damaskledge::config {
namespace {

std::vector<parse_error> errors_of(const std::string& text) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<std::vector<parse_error>> {
        BOOST_LEAF_CHECK(parse_node_settings(text, "node.json"));
        return std::vector<parse_error>{};
      },
      [](const parse_errors& errors) { return errors.all; },
      []() -> std::vector<parse_error> {
        return {{"unexpected error", 0, "", "", ""}};
      });
}

std::string good_settings() {
  return read_file(std::string(DAMASKLEDGE_SOURCE_DIR) + "/examples/moquegua/node.json").value();
}

std::string any_gap() {
  std::string gap;
  const int parts = *rc::gen::inRange(0, 4);
  for (int it = 0; it < parts; ++it) {
    gap += *rc::gen::element<std::string>(" ", "\n", "\r\n", "\t", "// {\"a\": 1\n", "//\n",
                                          "/* , */", "/* \"\n\n*/", "/**/", "/*\n**/");
  }
  return gap;
}

TEST_CASE("A field's line is that of its name, whatever whitespace and comments surround it") {
  CHECK(rc::check([] {
    // Numbers matter most here: the lexer reads one character past them.
    std::vector<std::pair<std::string, std::string>> fields{
        {"caller_port", "0"},  {"local_port", "-1"},    {"slot_headroom", "1e99"},
        {"idle_timeout", "7"}, {"queue_wait", "\"x\""}, {"policy", "true"},
        {"objective", "null"}, {"unknown", "{}"},       {"max_depth", "[1]"}};
    const auto rotation = *rc::gen::inRange<std::ptrdiff_t>(0, 9);
    std::rotate(fields.begin(), fields.begin() + rotation, fields.end());
    std::string text = any_gap() + "{";
    std::vector<std::pair<std::string, int>> expected;
    for (std::size_t it = 0; it < fields.size(); ++it) {
      text += (it == 0 ? "" : ",") + any_gap();
      const int line = 1 + static_cast<int>(std::count(text.begin(), text.end(), '\n'));
      expected.emplace_back(fields[it].first, line);
      text += "\"" + fields[it].first + "\"" + any_gap() + ":" + any_gap() + fields[it].second +
              any_gap();
    }
    text += "}" + any_gap();
    const auto errors = errors_of(text);
    for (const auto& wanted : expected) {
      const auto it = std::find_if(errors.begin(), errors.end(), [&](const parse_error& each) {
        return each.field == wanted.first;
      });
      RC_ASSERT(it != errors.end());
      RC_ASSERT(it->line == wanted.second);
    }
  }));
}

TEST_CASE("Damaged files give errors with a place and a remedy, or valid settings") {
  const std::string good = good_settings();
  REQUIRE(errors_of(good).empty());
  CHECK(rc::check([&] {
    std::string text = good;
    const int changes = *rc::gen::inRange(1, 4);
    for (int it = 0; it < changes; ++it) {
      const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
      switch (*rc::gen::inRange(0, 3)) {
      case 0:
        text.erase(at, *rc::gen::inRange<std::size_t>(1, 40));
        break;
      case 1:
        text[at] = *rc::gen::arbitrary<char>();
        break;
      default:
        text.insert(at, *rc::gen::element<std::string>("[", "{", "\"", "/*", "//", "\\u0000",
                                                       "1e999", "\xff", "-", ",", "]", "}"));
      }
    }
    const int lines = 1 + static_cast<int>(std::count(text.begin(), text.end(), '\n'));
    for (const parse_error& it : errors_of(text)) {
      RC_ASSERT(it.line >= 1);
      RC_ASSERT(it.line <= lines);
      RC_ASSERT(!it.found.empty());
      RC_ASSERT(!it.remedy.empty());
    }
  }));
}

} // namespace
} // namespace damaskledge::config
