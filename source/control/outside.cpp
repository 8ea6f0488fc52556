#include <memory>
#include <thread>

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>

#include "control/control.h"

namespace damaskledge::control {

namespace {

/// Explanations are short; a longer body does not come from a node.
constexpr std::size_t max_reply_bytes = 65'536;

node_reply get_once(const endpoint& node, const std::string& path, milliseconds timeout) {
  try {
    Poco::Net::HTTPClientSession session(node.address, node.port);
    session.setTimeout(Poco::Timespan(timeout.count() * 1'000));
    Poco::Net::HTTPRequest request(Poco::Net::HTTPRequest::HTTP_GET, path,
                                   Poco::Net::HTTPMessage::HTTP_1_1);
    session.sendRequest(request);
    Poco::Net::HTTPResponse response;
    std::istream& stream = session.receiveResponse(response);
    node_reply result;
    result.status = response.getStatus();
    result.body.resize(max_reply_bytes);
    stream.read(result.body.data(), static_cast<std::streamsize>(result.body.size()));
    result.body.resize(static_cast<std::size_t>(stream.gcount()));
    return result;
  } catch (const Poco::Exception& error) {
    return {0, error.displayText()};
  }
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
