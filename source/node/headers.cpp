#include "node/headers.h"

#include <algorithm>
#include <array>
#include <cctype>

namespace damaskledge::node {

namespace {

bool equal_names(std::string_view a, std::string_view b) {
  return a.size() == b.size() &&
         std::equal(a.begin(), a.end(), b.begin(), [](unsigned char x, unsigned char y) {
           return std::tolower(x) == std::tolower(y);
         });
}

bool starts_with_name(std::string_view text, std::string_view prefix) {
  return text.size() >= prefix.size() && equal_names(text.substr(0, prefix.size()), prefix);
}

} // namespace

bool stays_behind(std::string_view name) {
  constexpr std::array<std::string_view, 14> names{"Connection",
                                                   "Keep-Alive",
                                                   "Proxy-Connection",
                                                   "Proxy-Authorization",
                                                   "TE",
                                                   "Trailer",
                                                   "Transfer-Encoding",
                                                   "Upgrade",
                                                   "Authorization",
                                                   "X-Api-Key",
                                                   "Content-Length",
                                                   "Host",
                                                   "Expect",
                                                   "traceparent"};
  return starts_with_name(name, "Damaskledge-") ||
         std::any_of(names.begin(), names.end(),
                     [&](std::string_view it) { return equal_names(it, name); });
}

const std::string* find_header(const header_list& headers, std::string_view name) {
  const auto found = std::find_if(headers.begin(), headers.end(),
                                  [&](const auto& it) { return equal_names(it.first, name); });
  return found == headers.end() ? nullptr : &found->second;
}

} // namespace damaskledge::node
