#include <set>
#include <string>

#include <doctest/doctest.h>

#include "config/config.h"

namespace damaskledge::config {
namespace {

/// @return the file's content; fails the test when it cannot be read.
std::string example(const std::string& name) {
  return read_file(std::string(DAMASKLEDGE_SOURCE_DIR) + "/examples/" + name).value();
}

TEST_CASE("Every example file passes the checks and has the size of its deployment") {
  for (const std::string deployment : {"moquegua", "archive"}) {
    CAPTURE(deployment);
    const lists value = leaf::try_handle_all(
        [&]() -> leaf::result<lists> {
          return parse_lists(example(deployment + "/accounts.json"), "accounts.json",
                             example(deployment + "/plans.json"), "plans.json");
        },
        [](const parse_errors& errors) {
          for (const parse_error& it : errors.all) {
            MESSAGE(to_string(it));
          }
          return lists{};
        },
        [] { return lists{}; });
    CHECK(value.accounts.size() == 8);
    REQUIRE(value.data_centres.size() == 3);
    const node_settings node =
        parse_node_settings(example(deployment + "/node.json"), "node.json").value();
    for (std::size_t it = 0; it < 3; ++it) {
      CHECK(node.data_centres.at(it) == value.data_centres[it].name);
    }
    std::set<std::string> services;
    bool has_open = false;
    bool has_critical = false;
    bool has_operation = false;
    for (const route& it : value.routes) {
      services.insert(it.service);
      has_open = has_open || it.open;
      has_critical = has_critical || it.importance == importance::critical;
      has_operation = has_operation || !it.idempotent;
    }
    CHECK(services.size() == 4);
    CHECK(has_open);
    CHECK(has_critical);
    CHECK(has_operation);
  }
}

} // namespace
} // namespace damaskledge::config
