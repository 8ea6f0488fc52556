// Key extraction: Authorization header, X-Api-Key header and request target, separated by lines.
// A '@' in any of them stands for a whole key and a '~' for its secret, so that matching keys in
// different places are common.
#include "admission/admission.h"
#include "fuzz/fuzz.h"

using namespace damaskledge;

namespace {

constexpr std::string_view key = "dlk_0123456789ab_Zx81kqPd0vWw3TqLm2Yh";
constexpr std::string_view secret = "Zx81kqPd0vWw3TqLm2Yh";

std::string with_keys(std::string_view text) {
  std::string result;
  for (const char it : text) {
    if (it == '@') {
      result += key;
    } else if (it == '~') {
      result += secret;
    } else {
      result += it;
    }
  }
  return result;
}

/// Decoder of its own, so that a fault of the library's decoder shows.
std::string decoded(std::string_view text) {
  const auto digit = [](char it) {
    const std::string_view digits = "0123456789abcdef";
    const char lower = it >= 'A' && it <= 'F' ? static_cast<char>(it - 'A' + 'a') : it;
    return digits.find(lower);
  };
  std::string result;
  for (std::size_t it = 0; it < text.size(); ++it) {
    if (text[it] == '%' && it + 2 < text.size() && digit(text[it + 1]) < 16 &&
        digit(text[it + 2]) < 16) {
      result += static_cast<char>(digit(text[it + 1]) * 16 + digit(text[it + 2]));
      it += 2;
    } else {
      result += text[it];
    }
  }
  return result;
}

bool contains(std::string_view text, std::string_view part) {
  return text.find(part) != std::string_view::npos;
}

} // namespace

void damaskledge::fuzz::run(const std::uint8_t* data, std::size_t size) {
  const auto parts = fuzz::split(fuzz::text_of(data, size), 3);
  const std::string authorization = with_keys(parts[0]);
  const std::string header = with_keys(parts[1]);
  const std::string target = with_keys(parts[2]);
  const auto result = admission::extract_key(authorization, header, target);
  if (const auto* refused = std::get_if<refusal>(&result)) {
    fuzz::require(!contains(refused->detail, secret) && !contains(refused->detail, "dlk_"),
                  "a refusal does not contain the key");
    fuzz::require(refused->state == outcome::not_run, "a refusal of a key says not-run");
    return;
  }
  const auto& value = std::get<admission::extracted_key>(result);
  if (value.key == key) {
    fuzz::require(!contains(value.target, secret), "the target does not contain the secret");
    fuzz::require(!contains(decoded(value.target), secret),
                  "the decoded target does not contain the secret");
  }
  const auto again = admission::extract_key("", "", value.target);
  const auto* second = std::get_if<admission::extracted_key>(&again);
  fuzz::require(second != nullptr && second->key.empty() && second->target == value.target,
                "a target without its key is left as it is");
}
