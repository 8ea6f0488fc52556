#include <algorithm>

#include <glog/logging.h>

#include "telemetry/telemetry.h"

namespace damaskledge::telemetry {

namespace {

constexpr std::size_t max_value_length = 512;
constexpr std::string_view key_prefix = "dlk_";
constexpr std::size_t key_id_length = 12;

bool is_key_character(char value) {
  return (value >= '0' && value <= '9') || (value >= 'a' && value <= 'z') ||
         (value >= 'A' && value <= 'Z') || value == '_' || value == '-' || value == '.' ||
         value == '~' || value == '+' || value == '/' || value == '%' || value == '=';
}

void append_escaped(std::string& out, std::string_view value) {
  constexpr std::string_view digits = "0123456789abcdef";
  const bool plain = !value.empty() && std::all_of(value.begin(), value.end(), [](char it) {
    return it > ' ' && it < 0x7F && it != '"' && it != '\\' && it != '=';
  });
  if (plain) {
    out += value;
    return;
  }
  out += '"';
  for (const char it : value) {
    const auto code = static_cast<unsigned char>(it);
    if (it == '"' || it == '\\') {
      out += '\\';
      out += it;
    } else if (code < 0x20 || code >= 0x7F) {
      out += "\\x";
      out += digits[code >> 4U];
      out += digits[code & 0xFU];
    } else {
      out += it;
    }
  }
  out += '"';
}

} // namespace

std::string redact_keys(std::string_view text) {
  std::string result;
  result.reserve(text.size());
  while (true) {
    const std::size_t at = text.find(key_prefix);
    if (at == std::string_view::npos) {
      result += text;
      return result;
    }
    const std::size_t after = at + key_prefix.size();
    result += text.substr(0, after);
    text.remove_prefix(after);
    // Everything after the prefix goes when it is not of the form <id>_<secret>: a key that was
    // mistyped can still give most of a secret away.
    const bool has_id = text.size() > key_id_length && text[key_id_length] == '_' &&
                        text.find_first_not_of("0123456789abcdef") == key_id_length;
    if (has_id) {
      result += text.substr(0, key_id_length + 1);
      text.remove_prefix(key_id_length + 1);
    }
    const auto end = std::find_if_not(text.begin(), text.end(), is_key_character);
    if (end != text.begin()) {
      result += "***";
    }
    text.remove_prefix(static_cast<std::size_t>(end - text.begin()));
  }
}

log_event::log_event(std::string_view name) : text_("event=") {
  text_ += name;
}

log_event& log_event::field(std::string_view name, std::string_view value) {
  text_ += ' ';
  text_ += name;
  text_ += '=';
  const std::string redacted = redact_keys(value);
  append_escaped(text_, std::string_view(redacted).substr(0, max_value_length));
  return *this;
}

log_event& log_event::field(std::string_view name, std::int64_t value) {
  text_ += ' ';
  text_ += name;
  text_ += '=';
  text_ += std::to_string(value);
  return *this;
}

void log_event::info() const {
  LOG(INFO) << text_;
}

void log_event::warning() const {
  LOG(WARNING) << text_;
}

void log_event::error() const {
  LOG(ERROR) << text_;
}

} // namespace damaskledge::telemetry
