// Stored form of the lists and of the keys, and the platform objects that hold them. The first
// byte chooses the kind.
#include "config/config.h"
#include "fuzz/fuzz.h"

using namespace damaskledge;

namespace {

constexpr std::string_view digest =
    "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08";

void check_error(const parse_error& error) {
  fuzz::require(!error.remedy.empty(), "an error names its remedy");
}

void check_object(std::string_view name, std::string_view document) {
  const std::string content = config::to_object_content(name, document, "write-1");
  const auto again = fuzz::value_of([&] { return config::document_in_object(name, content); });
  fuzz::require(again.has_value(), "a stored document is found in its object");
  fuzz::require(*again == document, "a stored document comes back with the same bytes");
}

void check_keys(std::string_view text) {
  const auto value = fuzz::value_of([&] { return config::parse_keys_document(text); }, check_error);
  if (!value) {
    return;
  }
  const std::string document = config::to_document(*value);
  const auto again = fuzz::value_of([&] { return config::parse_keys_document(document); });
  fuzz::require(again == value, "accepted keys print to a document of the same value");
  check_object(config::keys_document, document);
  for (const std::string& line : config::differences(config::keys{}, *value)) {
    fuzz::require(line.find(digest) == std::string::npos, "a difference shows no digest");
  }
}

void check_lists(std::string_view text) {
  const auto value =
      fuzz::value_of([&] { return config::parse_lists_document(text); }, check_error);
  if (!value) {
    return;
  }
  const std::string document = config::to_document(*value);
  const auto again = fuzz::value_of([&] { return config::parse_lists_document(document); });
  fuzz::require(again == value, "accepted lists print to a document of the same value");
  check_object(config::lists_document, document);
}

} // namespace

void damaskledge::fuzz::run(const std::uint8_t* data, std::size_t size) {
  if (size == 0) {
    return;
  }
  const std::string_view text = fuzz::text_of(data + 1, size - 1);
  switch (data[0]) {
  case 'k':
    check_keys(text);
    break;
  case 'l':
    check_lists(text);
    break;
  default:
    for (const std::string_view name : {config::lists_document, config::keys_document}) {
      (void)fuzz::value_of([&] { return config::document_in_object(name, text); }, check_error);
    }
  }
}
