#include <memory>
#include <thread>

#include "control/control.h"
#include "http/http.h"

namespace damaskledge::control {

namespace {

/// Explanations are short; a longer body does not come from a node.
constexpr std::size_t max_reply_bytes = 65'536;
constexpr std::size_t max_reply_head_bytes = 16'384;

node_reply get_once(const endpoint& node, const std::string& path, milliseconds timeout) {
  auto [answer, error] =
      http::fetch(node, {"GET", path, {}, {}}, timeout, {max_reply_head_bytes, max_reply_bytes});
  if (!answer) {
    return {0, std::move(error)};
  }
  return {answer->status, std::move(answer->body)};
}

} // namespace

leaf::result<environment> make_environment(std::string_view platform_endpoints,
                                           std::string_view call_timeout) {
  const auto timeout = config::parse_duration(call_timeout);
  if (!timeout || *timeout <= milliseconds{0}) {
    return leaf::new_error(failure(usage_error{"--timeout is \"" + std::string(call_timeout) +
                                               "\"; write a duration such as \"2s\""}));
  }
  std::vector<endpoint> endpoints;
  for (std::string_view rest = platform_endpoints; !rest.empty();) {
    const auto comma = rest.find(',');
    const std::string_view part = rest.substr(0, comma);
    const auto value = config::parse_endpoint(part);
    if (!value) {
      return leaf::new_error(
          failure(usage_error{"--platform has \"" + std::string(part) +
                              "\"; write \"<IPv4 address>:<port>\", several separated by commas"}));
    }
    endpoints.push_back(*value);
    rest = comma == std::string_view::npos ? std::string_view() : rest.substr(comma + 1);
  }
  environment result;
  if (endpoints.empty()) {
    result.platform = [](const platform::call&) -> platform::answer {
      return platform::unavailable{"no endpoint is given; use --platform", milliseconds{0}};
    };
  } else {
    std::shared_ptr<platform::http_client> client = platform::http_client::builder()
                                                        .endpoints(std::move(endpoints))
                                                        .timeout(*timeout)
                                                        .seed(random_id().low)
                                                        .build();
    result.platform = [client](const platform::call& what) { return client->execute(what); };
  }
  result.get = [timeout = *timeout](const endpoint& node, const std::string& path) {
    return get_once(node, path, timeout);
  };
  result.now = [] { return clock_type::now(); };
  result.sleep = [](milliseconds value) { std::this_thread::sleep_for(value); };
  result.progress = [](const std::string&) {};
  return result;
}

} // namespace damaskledge::control
