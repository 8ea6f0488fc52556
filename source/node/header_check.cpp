#include "node/header_check.h"

#include <algorithm>
#include <cctype>

#include <Poco/String.h>

namespace damaskledge::node {

namespace {

/// Bounds of the HTTP library on one header field and on the request line.
constexpr std::size_t max_line_bytes = 8'192;
constexpr std::string_view length_name = "content-length:";

} // namespace

std::optional<refusal> header_check::feed(std::string_view bytes) {
  for (const char it : bytes) {
    if (ended_) {
      return std::nullopt;
    }
    ++bytes_;
    if (bytes_ > max_bytes_ || line_.size() > max_line_bytes) {
      return refusal{refusal_reason::headers_too_large, outcome::not_run, milliseconds(0),
                     "send at most " + std::to_string(max_bytes_) +
                         " bytes of headers and 8192 in one field"};
    }
    if (it != '\n') {
      line_ += it;
      continue;
    }
    if (!line_.empty() && line_.back() == '\r') {
      line_.pop_back();
    }
    if (auto refused = check_line()) {
      return refused;
    }
    // Empty lines before the request line are allowed (RFC 9112 section 2.2).
    ended_ = line_.empty() && has_lines_;
    has_lines_ = has_lines_ || !line_.empty();
    line_.clear();
  }
  return std::nullopt;
}

std::optional<refusal> header_check::check_line() const {
  if (line_.size() < length_name.size() ||
      Poco::icompare(line_, 0, length_name.size(), std::string(length_name)) != 0) {
    return std::nullopt;
  }
  std::string_view value = std::string_view(line_).substr(length_name.size());
  while (!value.empty() && (value.front() == ' ' || value.front() == '\t')) {
    value.remove_prefix(1);
  }
  while (!value.empty() && (value.back() == ' ' || value.back() == '\t')) {
    value.remove_suffix(1);
  }
  // 18 digits fit the library's 64-bit integer.
  const bool digits =
      !value.empty() && value.size() <= 18 &&
      std::all_of(value.begin(), value.end(), [](unsigned char it) { return std::isdigit(it); });
  if (digits) {
    return std::nullopt;
  }
  return refusal{refusal_reason::malformed_request, outcome::not_run, milliseconds(0),
                 "Content-Length must be a decimal number"};
}

void header_check::reset() {
  bytes_ = 0;
  line_.clear();
  has_lines_ = false;
  ended_ = false;
}

} // namespace damaskledge::node
