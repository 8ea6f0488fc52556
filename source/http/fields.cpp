#include <algorithm>
#include <cctype>
#include <unordered_set>

#include <Poco/Net/HTTPResponse.h>

#include "http/http.h"

namespace damaskledge::http {

namespace {

char lower(char value) {
  return static_cast<char>(std::tolower(static_cast<unsigned char>(value)));
}

std::string to_lower(std::string_view text) {
  std::string result(text);
  std::transform(result.begin(), result.end(), result.begin(), lower);
  return result;
}

void append_fields(std::string& out, const header_fields& fields) {
  for (const auto& it : fields.all()) {
    out += it.name;
    out += ": ";
    out += it.value;
    out += "\r\n";
  }
}

} // namespace

std::string_view detail::trim(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) {
    text.remove_prefix(1);
  }
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) {
    text.remove_suffix(1);
  }
  return text;
}

bool has_control_character(std::string_view text) {
  return std::any_of(text.begin(), text.end(), [](char it) {
    const auto code = static_cast<unsigned char>(it);
    return (code < 0x20 && it != '\t') || code == 0x7F;
  });
}

bool same_name(std::string_view a, std::string_view b) {
  return a.size() == b.size() && std::equal(a.begin(), a.end(), b.begin(),
                                            [](char x, char y) { return lower(x) == lower(y); });
}

void header_fields::add(std::string name, std::string value) {
  fields_.push_back({std::move(name), std::move(value)});
}

void header_fields::remove(std::string_view name) {
  remove_if([&](const header_field& it) { return same_name(it.name, name); });
}

void header_fields::remove_if(const std::function<bool(const header_field&)>& condition) {
  std::erase_if(fields_, condition);
}

void header_fields::set(std::string_view name, std::string value) {
  remove(name);
  add(std::string(name), std::move(value));
}

const std::string* header_fields::find(std::string_view name) const {
  for (const auto& it : fields_) {
    if (same_name(it.name, name)) {
      return &it.value;
    }
  }
  return nullptr;
}

void remove_connection_fields(header_fields& fields) {
  // A set, since one field can name some thousands of others.
  std::unordered_set<std::string> names{"connection",
                                        "keep-alive",
                                        "proxy-connection",
                                        "te",
                                        "trailer",
                                        "transfer-encoding",
                                        "upgrade",
                                        "expect",
                                        "proxy-authorization",
                                        "proxy-authenticate",
                                        "content-length"};
  for (const auto& it : fields.all()) {
    if (!same_name(it.name, "Connection")) {
      continue;
    }
    std::string_view rest = it.value;
    while (!rest.empty()) {
      const auto comma = rest.find(',');
      names.insert(to_lower(detail::trim(rest.substr(0, comma))));
      rest = comma == std::string_view::npos ? std::string_view{} : rest.substr(comma + 1);
    }
  }
  fields.remove_if([&](const header_field& it) { return names.contains(to_lower(it.name)); });
}

std::string serialize_head(const request& message) {
  std::string out = message.method + ' ' + message.target + " HTTP/1.1\r\n";
  append_fields(out, message.fields);
  return out;
}

std::string serialize_head(const response& message) {
  std::string out = "HTTP/1.1 " + std::to_string(message.status) + ' ' + message.reason + "\r\n";
  append_fields(out, message.fields);
  return out;
}

std::string serialize(const response& message, bool head_request) {
  std::string out = serialize_head(message);
  if (message.status != 204 && message.status != 304) {
    out += "Content-Length: " + std::to_string(message.body.size()) + "\r\n";
  }
  out += "\r\n";
  if (!head_request) {
    out += message.body;
  }
  return out;
}

std::string reason_phrase(int status) {
  return Poco::Net::HTTPResponse::getReasonForStatus(
      static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
}

std::optional<std::uint64_t> parse_number(std::string_view text) {
  constexpr std::size_t max_digits = 18;
  if (text.empty() || text.size() > max_digits) {
    return std::nullopt;
  }
  std::uint64_t value = 0;
  for (const char it : text) {
    if (it < '0' || it > '9') {
      return std::nullopt;
    }
    value = value * 10 + static_cast<std::uint64_t>(it - '0');
  }
  return value;
}

std::optional<seconds> keep_alive_timeout(const header_fields& fields) {
  constexpr std::string_view parameter = "timeout=";
  const std::string* value = fields.find("Keep-Alive");
  if (value == nullptr) {
    return std::nullopt;
  }
  const auto at = value->find(parameter);
  if (at == std::string::npos) {
    return std::nullopt;
  }
  const std::string_view digits = std::string_view(*value).substr(at + parameter.size());
  const auto n = parse_number(digits.substr(0, digits.find_first_not_of("0123456789")));
  if (!n) {
    return std::nullopt;
  }
  return seconds(static_cast<std::int64_t>(*n));
}

} // namespace damaskledge::http
