#include <algorithm>
#include <charconv>
#include <random>

#include "telemetry/telemetry.h"

namespace damaskledge::telemetry {

namespace {

constexpr std::size_t header_length = 55;

/// Span ids need not be secret, and the operating system's generator costs a system call.
std::uint64_t random_span_id() {
  thread_local std::mt19937_64 generator(random_id().low);
  std::uint64_t value = 0;
  while (value == 0) {
    value = generator();
  }
  return value;
}

/// Reads lower-case hexadecimal digits; the specification forbids upper-case ones.
template <class Number>
bool read_hex(std::string_view text, Number& value) {
  const bool lower = std::all_of(text.begin(), text.end(), [](char it) {
    return (it >= '0' && it <= '9') || (it >= 'a' && it <= 'f');
  });
  const auto result = std::from_chars(text.data(), text.data() + text.size(), value, 16);
  return lower && result.ec == std::errc{} && result.ptr == text.data() + text.size();
}

std::string hex(std::uint64_t value, int digits) {
  constexpr std::string_view symbols = "0123456789abcdef";
  std::string result;
  for (int shift = (digits - 1) * 4; shift >= 0; shift -= 4) {
    result += symbols[value >> static_cast<unsigned>(shift) & 0xFU];
  }
  return result;
}

} // namespace

std::optional<trace_context> parse_traceparent(std::string_view header) {
  if (header.size() < header_length || header[2] != '-' || header[35] != '-' || header[52] != '-') {
    return std::nullopt;
  }
  std::uint8_t version = 0;
  trace_context value;
  if (!read_hex(header.substr(0, 2), version) ||
      !read_hex(header.substr(3, 16), value.trace_id.high) ||
      !read_hex(header.substr(19, 16), value.trace_id.low) ||
      !read_hex(header.substr(36, 16), value.span_id) ||
      !read_hex(header.substr(53, 2), value.flags)) {
    return std::nullopt;
  }
  // Later versions may append fields after another dash.
  const bool length_fits =
      header.size() == header_length || (version > 0 && header[header_length] == '-');
  if (version == 0xFF || !length_fits || value.trace_id == id128{} || value.span_id == 0) {
    return std::nullopt;
  }
  return value;
}

std::string to_traceparent(const trace_context& value) {
  return "00-" + to_string(value.trace_id) + "-" + hex(value.span_id, 16) + "-" +
         hex(value.flags, 2);
}

trace_context new_trace() {
  trace_context value{random_id(), random_span_id(), 1};
  if (value.trace_id == id128{}) {
    value.trace_id.low = 1;
  }
  return value;
}

trace_context child_of(const trace_context& parent) {
  return {parent.trace_id, random_span_id(), parent.flags};
}

std::uint64_t unix_nanoseconds() {
  return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::nanoseconds>(
                                        std::chrono::system_clock::now().time_since_epoch())
                                        .count());
}

} // namespace damaskledge::telemetry
