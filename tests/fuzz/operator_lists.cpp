// The operators' two lists: accounts.json and plans.json, separated by a line.
#include "config/config.h"
#include "fuzz/fuzz.h"

using namespace damaskledge;

void damaskledge::fuzz::run(const std::uint8_t* data, std::size_t size) {
  const auto parts = fuzz::split(fuzz::text_of(data, size), 2);
  const auto value = fuzz::value_of(
      [&] { return config::parse_lists(parts[0], "accounts.json", parts[1], "plans.json"); },
      [](const parse_error& error) {
        fuzz::require(!error.remedy.empty(), "an error names its remedy");
        fuzz::require(to_string(error).find('\n') == std::string::npos, "an error is one line");
      });
  if (!value) {
    return;
  }
  const std::string document = config::to_document(*value);
  const auto again = fuzz::value_of([&] { return config::parse_lists_document(document); });
  fuzz::require(again == value, "an accepted list prints to a document of the same value");
  fuzz::require(config::differences(*value, *again).empty(), "equal lists have no differences");
}
