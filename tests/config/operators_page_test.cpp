#include <string>

#include <doctest/doctest.h>

#include "config/config.h"

namespace damaskledge::config {
namespace {

TEST_CASE("The operators' page has every setting with its default and range") {
  const std::string page =
      read_file(std::string(DAMASKLEDGE_SOURCE_DIR) + "/docs/operators.md").value();
  for (const setting_description& it : node_setting_descriptions()) {
    const std::string row = "| `" + it.name + "` | " + it.kind + " | " +
                            (it.required ? "required" : "`" + it.default_value + "`") + " | " +
                            it.range + " | " + it.meaning + " |";
    CAPTURE(row);
    CHECK(page.find(row) != std::string::npos);
  }
}

} // namespace
} // namespace damaskledge::config
