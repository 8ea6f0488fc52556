// Request paths: the check before a path is matched or forwarded, and the choice of the route.
#include <algorithm>

#include "admission/admission.h"
#include "fuzz/fuzz.h"

using namespace damaskledge;

namespace {

config::route route(const std::string& name, const std::string& path) {
  return config::route_builder(name, "melodies", "GET", path).build();
}

const admission::rule_book& rules() {
  static const admission::rule_book value = [] {
    config::lists lists;
    lists.accounts = {{"north-archive", "large"}};
    lists.plans = {{"large", 600, 600, {"browse"}}};
    lists.routes = {route("browse", "/browse"), route("old", "/browse/old"),
                    route("space", "/a b/c"), route("slash", "/s/")};
    return admission::rule_book(lists, config::keys{});
  }();
  return value;
}

/// @return the text with all well-formed escapes replaced; `malformed` when another one is found.
std::string decoded(std::string_view text, bool& malformed) {
  std::string result;
  for (std::size_t it = 0; it < text.size(); ++it) {
    if (text[it] != '%') {
      result += text[it];
    } else if (const auto byte = from_hex(text.substr(it + 1, 2)); byte && byte->size() == 1) {
      result += *byte;
      it += 2;
    } else {
      malformed = true;
    }
  }
  return result;
}

} // namespace

void damaskledge::fuzz::run(const std::uint8_t* data, std::size_t size) {
  const std::string_view path = fuzz::text_of(data, size);
  const auto refused = admission::check_path(path);
  const std::string_view whole = path.substr(0, path.find('?'));
  const config::route* found = rules().find_route("melodies", "GET", path);
  if (refused) {
    fuzz::require(refused->reason == refusal_reason::malformed_request &&
                      refused->state == outcome::not_run,
                  "a refused path is malformed and not run");
  }
  bool malformed = false;
  const std::string plain = decoded(whole, malformed);
  if (!refused) {
    bool other = false;
    const std::string all = decoded(path, other);
    fuzz::require(!other, "an accepted path has no malformed escape");
    fuzz::require(all.starts_with('/') && all.find("//") == std::string::npos,
                  "an accepted path has no empty segments");
    fuzz::require(std::count(all.begin(), all.end(), '/') ==
                      std::count(path.begin(), path.end(), '/'),
                  "an accepted path has no escaped slash");
    const std::string closed = all + "/";
    for (const std::string_view it : {"/./", "/../", "\\"}) {
      fuzz::require(closed.find(it) == std::string::npos,
                    "an accepted path has no '.', '..' or backslash");
    }
    fuzz::require(std::none_of(all.begin(), all.end(),
                               [](unsigned char it) { return it < 0x20 || it == 0x7F; }),
                  "an accepted path has no control characters");
  }
  if (found != nullptr) {
    fuzz::require(!malformed && !admission::check_path(whole),
                  "a route is found only for an acceptable path");
    const std::string prefix =
        found->path.ends_with('/') ? found->path.substr(0, found->path.size() - 1) : found->path;
    fuzz::require(plain == prefix || plain.starts_with(prefix + "/"),
                  "a route matches at a segment boundary");
  }
}
