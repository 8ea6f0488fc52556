#include <algorithm>
#include <utility>

#include <Poco/Exception.h>
#include <Poco/URI.h>

#include "admission/admission.h"
#include "admission/uri.h"

namespace damaskledge::admission {

namespace {

constexpr std::string_view key_parameter = "api_key";
constexpr std::size_t max_key_length = 512;

refusal malformed(std::string detail) {
  return {refusal_reason::malformed_request, outcome::not_run, {}, std::move(detail)};
}

bool is_control(char value) {
  const auto code = static_cast<unsigned char>(value);
  return code < 0x20 || code == 0x7F;
}

std::string_view trim(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) {
    text.remove_prefix(1);
  }
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) {
    text.remove_suffix(1);
  }
  return text;
}

bool equal_ignoring_case(std::string_view a, std::string_view b) {
  const auto lower = [](char it) {
    return it >= 'A' && it <= 'Z' ? static_cast<char>(it - 'A' + 'a') : it;
  };
  return a.size() == b.size() && std::equal(a.begin(), a.end(), b.begin(),
                                            [&](char x, char y) { return lower(x) == lower(y); });
}

/// A key is printable ASCII without spaces. Refusal texts never repeat it.
bool is_valid_key_text(std::string_view key) {
  return !key.empty() && key.size() <= max_key_length &&
         std::all_of(key.begin(), key.end(), [](char it) { return it > ' ' && it < 0x7F; });
}

/// Stores the first key of a request in `first`.
/// @return false when a later key differs from it.
bool add_key(std::string& first, std::string_view key) {
  if (first.empty()) {
    first = key;
    return true;
  }
  return equal_constant_time(first, key);
}

} // namespace

std::optional<std::string> percent_decode(std::string_view text, bool plus_is_space) {
  std::string result;
  try {
    Poco::URI::decode(std::string(text), result, plus_is_space);
  } catch (const Poco::Exception&) {
    return std::nullopt;
  }
  return result;
}

std::variant<extracted_key, refusal> extract_key(std::string_view authorization,
                                                 std::string_view api_key_header,
                                                 std::string_view target) {
  constexpr std::string_view conflicting_keys =
      "the request has several different keys; send one key";
  std::string key;
  authorization = trim(authorization);
  if (!authorization.empty()) {
    const std::size_t space = authorization.find(' ');
    if (!equal_ignoring_case(authorization.substr(0, space), "Bearer") ||
        space == std::string_view::npos) {
      return malformed("the Authorization header is not of the form Bearer <key>");
    }
    const std::string_view value = trim(authorization.substr(space));
    if (!is_valid_key_text(value)) {
      return malformed("the key in the Authorization header is empty, too long or contains "
                       "characters that a key may not contain; send it exactly as it was issued");
    }
    add_key(key, value);
  }
  api_key_header = trim(api_key_header);
  if (!api_key_header.empty()) {
    if (!is_valid_key_text(api_key_header)) {
      return malformed("the key in the X-Api-Key header is too long or contains characters that a "
                       "key may not contain; send it exactly as it was issued");
    }
    if (!add_key(key, api_key_header)) {
      return malformed(std::string(conflicting_keys));
    }
  }
  extracted_key result;
  const std::size_t query_start = target.find('?');
  result.target = target.substr(0, query_start);
  char separator = '?';
  std::string_view rest =
      query_start == std::string_view::npos ? std::string_view{} : target.substr(query_start + 1);
  bool more = query_start != std::string_view::npos;
  while (more) {
    const std::size_t end = rest.find('&');
    const std::string_view parameter = rest.substr(0, end);
    more = end != std::string_view::npos;
    rest = more ? rest.substr(end + 1) : std::string_view{};
    const std::size_t equals = parameter.find('=');
    const auto name = percent_decode(parameter.substr(0, equals), true);
    if (!name || *name != key_parameter) {
      if (!parameter.empty()) {
        result.target += separator;
        result.target += parameter;
        separator = '&';
      }
      continue;
    }
    const auto value = percent_decode(
        equals == std::string_view::npos ? std::string_view{} : parameter.substr(equals + 1), true);
    if (!value || !is_valid_key_text(*value)) {
      return malformed("the api_key parameter is empty, too long or not correctly escaped; escape "
                       "it as RFC 3986 says, or send the key in the Authorization header");
    }
    if (!add_key(key, *value)) {
      return malformed(std::string(conflicting_keys));
    }
  }
  if (!key.empty()) {
    const auto decoded = percent_decode(result.target, false);
    if (contains_key(result.target, key) || (decoded && contains_key(*decoded, key))) {
      return malformed("the key also occurs elsewhere in the request target, which is forwarded to "
                       "the upstream; send it in the Authorization header only");
    }
  }
  result.key = std::move(key);
  return result;
}

std::optional<refusal> check_path(std::string_view path) {
  if (!path.starts_with('/')) {
    return malformed("the path does not start with '/'");
  }
  const auto is_allowed = [](char it) { return it > ' ' && it < 0x7F && it != '\\' && it != '#'; };
  if (!std::all_of(path.begin(), path.end(), is_allowed)) {
    return malformed("the path has characters that a URI may not contain; escape them");
  }
  const auto decoded = percent_decode(path, false);
  if (!decoded) {
    return malformed("the path has a malformed escape; write it as % and two hexadecimal digits");
  }
  if (std::count(decoded->begin(), decoded->end(), '/') !=
          std::count(path.begin(), path.end(), '/') ||
      decoded->find('\\') != std::string::npos) {
    return malformed("the path has an escaped slash or a backslash");
  }
  if (std::any_of(decoded->begin(), decoded->end(), is_control)) {
    return malformed("the path has an escaped control character");
  }
  std::string_view rest(*decoded);
  while (!rest.empty()) {
    rest.remove_prefix(1);
    const std::size_t end = rest.find('/');
    const std::string_view segment = rest.substr(0, end);
    const bool last = end == std::string_view::npos;
    if (segment == "." || segment == ".." || (segment.empty() && !last)) {
      return malformed("the path has an empty segment, '.' or '..'; send the normalised path");
    }
    rest = last ? std::string_view{} : rest.substr(end);
  }
  return std::nullopt;
}

} // namespace damaskledge::admission
