#include "platform/http_answer.h"

#include <algorithm>
#include <charconv>

#include <Poco/Net/HTTPResponse.h>
#include <nlohmann/json.hpp>

namespace damaskledge::platform {

using Poco::Net::HTTPResponse;

namespace {

std::string_view field(const http::response& response, std::string_view name,
                       std::string_view otherwise) {
  const std::string* value = response.fields.find(name);
  return value == nullptr ? otherwise : std::string_view(*value);
}

} // namespace

std::optional<std::uint64_t> parse_etag(std::string_view text) {
  if (text.size() < 3 || text.front() != '"' || text.back() != '"') {
    return std::nullopt;
  }
  std::uint64_t value = 0;
  const char* first = text.data() + 1;
  const char* last = text.data() + text.size() - 1;
  const auto [end, ec] = std::from_chars(first, last, value);
  if (ec != std::errc{} || end != last || value == 0) {
    return std::nullopt;
  }
  return value;
}

std::optional<std::uint64_t> parse_era(std::string_view text) {
  constexpr std::uint64_t highest = std::uint64_t{1} << (63 - era_shift);
  std::uint64_t value = 0;
  const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value);
  const bool whole = ec == std::errc{} && end == text.data() + text.size();
  return whole && value > 0 && value <= highest ? std::optional(value) : std::nullopt;
}

milliseconds parse_retry_after(std::string_view text) {
  unsigned value = 0;
  const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value);
  constexpr unsigned highest_seconds = 60;
  if (ec != std::errc{} || end != text.data() + text.size()) {
    return milliseconds{0};
  }
  return seconds{std::min(value, highest_seconds)};
}

std::string write_id_of(std::string_view content) {
  const auto document = nlohmann::json::parse(content, nullptr, false);
  if (!document.is_object()) {
    return {};
  }
  const auto it = document.find("write_id");
  return it != document.end() && it->is_string() ? it->get<std::string>() : std::string{};
}

bool refused(int status) {
  return status == HTTPResponse::HTTP_TOO_MANY_REQUESTS || status >= 500;
}

answer_head check_head(const http::response& response) {
  answer_head result;
  result.status = response.status;
  result.retry_after = parse_retry_after(field(response, "Retry-After", ""));
  if (refused(result.status)) {
    result.reason = "the platform answered with status " + std::to_string(result.status);
  }
  const bool needs_version =
      (result.status == HTTPResponse::HTTP_OK || result.status == HTTPResponse::HTTP_CREATED);
  const auto era = parse_era(field(response, "Store-Era", "1"));
  if (!era) {
    result.reason = "Store-Era is not a positive decimal number";
    return result;
  }
  result.era = *era;
  const auto version = parse_etag(field(response, "ETag", ""));
  if (version && (result.era == 1 || stored_version(*version) == *version)) {
    result.version = version_in_era(result.era, *version);
  } else if (needs_version) {
    result.reason = "the ETag is not a positive decimal number in double quotes";
    return result;
  }
  result.usable = true;
  return result;
}

std::string check_body(const http::response& response) {
  const std::string& body = response.body;
  if (const std::string* length = response.fields.find("Content-Length")) {
    return http::parse_number(*length) == body.size() ? std::string{} : "the answer is truncated";
  }
  // Without a length, the end of the connection looks like the end of the body. No proper
  // prefix of a JSON object is valid JSON. The parser takes a null byte for the end of the text, so
  // that what follows would go unchecked.
  const bool whole =
      body.find('\0') == std::string::npos && (body.empty() || nlohmann::json::accept(body));
  return whole ? std::string{} : "the answer is truncated";
}

} // namespace damaskledge::platform
