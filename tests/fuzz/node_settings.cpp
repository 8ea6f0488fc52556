// Node settings. A '~' stands for a secret, which no error may repeat.
#include <nlohmann/json.hpp>

#include "config/config.h"
#include "fuzz/fuzz.h"

using namespace damaskledge;

namespace {

constexpr std::string_view secret = "Zx81kqPd0vWw3TqLm2YhZx81kqPd0vWw3TqLm2Yh";

std::size_t count_secrets(std::string_view text) {
  std::size_t n = 0;
  for (auto it = text.find(secret); it != std::string_view::npos; it = text.find(secret, it + 1)) {
    ++n;
  }
  return n;
}

/// @return true for text that is not JSON, and for JSON in which the secret stands in the values of
/// the members for secrets only. An error about another member may quote its value.
bool is_only_in_place(const std::string& text) {
  constexpr bool ignore_comments = true;
  auto value = nlohmann::json::parse(text, nullptr, false, ignore_comments);
  if (value.is_discarded()) {
    return true;
  }
  if (!value.is_object()) {
    return false;
  }
  value.erase("cluster_secret");
  value.erase("previous_cluster_secret");
  return count_secrets(value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace)) == 0;
}

} // namespace

void damaskledge::fuzz::run(const std::uint8_t* data, std::size_t size) {
  std::string text;
  for (const char it : fuzz::text_of(data, size)) {
    if (it == '~') {
      text += secret;
    } else {
      text += it;
    }
  }
  const bool secret_only_in_place = is_only_in_place(text);
  const auto value = fuzz::value_of(
      [&] { return config::parse_node_settings(text, "node.json"); },
      [&](const parse_error& error) {
        fuzz::require(!error.remedy.empty(), "an error names its remedy");
        fuzz::require(!secret_only_in_place || error.found.find(secret) == std::string::npos,
                      "an error does not contain the secret");
      });
  if (value) {
    fuzz::require(value->cluster_secret.size() >= 32, "an accepted secret is long enough");
    fuzz::require(value->max_depth > 0 && value->claim_shards > 0 &&
                      value->probe_period > milliseconds{0},
                  "accepted settings are in their ranges");
    fuzz::require(
        value == fuzz::value_of([&] { return config::parse_node_settings(text, "node.json"); }),
        "settings parse to the same value twice");
  }
  if (const auto it = config::parse_duration(text)) {
    fuzz::require(config::parse_duration(config::format_duration(*it)) == it,
                  "parse(format(x)) == x");
  }
  if (const auto it = config::parse_endpoint(text)) {
    fuzz::require(config::parse_endpoint(to_string(*it)) == it, "parse(print(x)) == x");
  }
}
