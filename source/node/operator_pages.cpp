#include "node/operator_pages.h"

#include <string>
#include <vector>

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/URI.h>
#include <nlohmann/json.hpp>

#include "node/caller_socket.h"

namespace damaskledge::node {

namespace {

constexpr std::size_t max_announcement_bytes = 4'096;

/// Announcements of the VM's own upstreams.
class announcement_handler : public Poco::Net::HTTPRequestHandler {
 public:
  explicit announcement_handler(front_state& state) : state_(state) {}

  void handleRequest(Poco::Net::HTTPServerRequest& request,
                     Poco::Net::HTTPServerResponse& response) override {
    const std::string error = apply(request);
    caller_answer answer;
    answer.status = error.empty() ? 204 : 400;
    if (!error.empty()) {
      answer.headers = {{"Content-Type", "application/problem+json"}};
      answer.body = nlohmann::json{{"reason", "malformed-request"}, {"detail", error}}.dump();
    }
    write_answer(response, answer, false);
  }

 private:
  /// @return an empty text, or what is wrong with the request.
  std::string apply(Poco::Net::HTTPServerRequest& request) {
    if (request.getMethod() != "POST" || !request.hasContentLength() ||
        request.getContentLength64() > static_cast<Poco::Int64>(max_announcement_bytes)) {
      return "send a POST with a Content-Length of at most 4096 bytes";
    }
    std::string text(static_cast<std::size_t>(request.getContentLength64()), '\0');
    request.stream().read(text.data(), static_cast<std::streamsize>(text.size()));
    const auto body = nlohmann::json::parse(text, nullptr, false);
    const auto is_number = [&](const char* name, std::int64_t low, std::int64_t high) {
      return body.contains(name) && body[name].is_number_integer() &&
             body[name].get<std::int64_t>() >= low && body[name].get<std::int64_t>() <= high;
    };
    if (!body.is_object() || !body.contains("service") || !body["service"].is_string() ||
        body["service"].get<std::string>().empty() ||
        body["service"].get<std::string>().size() > 64 || !is_number("port", 1, 65'535)) {
      return "give \"service\" (1 to 64 characters) and \"port\" (1 to 65535)";
    }
    const auto service = body["service"].get<std::string>();
    const auto port = body["port"].get<std::uint16_t>();
    const std::string action = request.getURI();
    if (action == "/.damaskledge/drain") {
      state_.control.drain(service, port);
      return {};
    }
    if (action == "/.damaskledge/leave") {
      state_.control.leave(service, port);
      return {};
    }
    if (action != "/.damaskledge/announce") {
      return "the actions are announce, drain and leave";
    }
    if (!is_number("slots", 1, 100'000) || !is_number("connections", 1, 100'000)) {
      return "give \"slots\" and \"connections\" (1 to 100000)";
    }
    wire::service_record record;
    record.service = service;
    record.port = port;
    record.slots = body["slots"].get<std::uint32_t>();
    record.connections = body["connections"].get<std::uint32_t>();
    const auto instance = body.find("instance");
    record.instance = instance == body.end() ? 0 : hash64(instance->dump());
    state_.control.announce(record);
    return {};
  }

  front_state& state_;
};

/// Metrics, status and explanations for operators.
class operator_handler : public Poco::Net::HTTPRequestHandler {
 public:
  explicit operator_handler(front_state& state) : state_(state) {}

  void handleRequest(Poco::Net::HTTPServerRequest& request,
                     Poco::Net::HTTPServerResponse& response) override {
    const Poco::URI uri(request.getURI());
    caller_answer answer;
    answer.status = 200;
    std::string type = "application/json";
    if (uri.getPath() == "/metrics") {
      type = "text/plain; version=0.0.4";
      answer.body = exposition();
    } else if (uri.getPath() == "/status") {
      answer.body = state_.control.describe();
    } else if (uri.getPath() == "/targets") {
      answer.body = targets();
    } else if (uri.getPath() == "/explain") {
      explain(uri, answer);
    } else {
      answer.status = 404;
      answer.body = R"({"detail": "the pages are /metrics, /status, /targets and /explain"})";
    }
    answer.headers = {{"Content-Type", type}};
    write_answer(response, answer, false);
  }

 private:
  /// @return the request metrics and those of the parts that count for themselves.
  std::string exposition() {
    std::vector<telemetry::limit_sample> limits;
    for (const auto& it : state_.routes.targets()) {
      limits.push_back({it.id, it.limit, it.in_flight});
    }
    auto& metrics = state_.reports.metrics();
    metrics.limits(limits);
    for (const auto& it : state_.routes.own_shed_levels()) {
      metrics.shed_level(it.service, it.level);
    }
    const auto& traffic = state_.control.traffic();
    metrics.set("damaskledge_in_flight", "Requests in flight", state_.in_flight);
    metrics.set("damaskledge_connections", "Open connections of callers",
                state_.caller_listener->currentConnections());
    metrics.set("damaskledge_peer_sent_bytes", "Bytes sent to other nodes",
                static_cast<double>(traffic.bytes_sent));
    metrics.set("damaskledge_peer_received_bytes", "Bytes received from other nodes",
                static_cast<double>(traffic.bytes_received));
    metrics.set("damaskledge_peer_dropped_frames", "Frames that were dropped",
                static_cast<double>(traffic.dropped));
    metrics.set("damaskledge_ticker_seconds", "Processor time of the control ticker",
                std::chrono::duration<double>(state_.control.ticker_time()).count());
    double calls = 0;
    for (const auto& it : state_.control.platform_calls()) {
      calls += static_cast<double>(it.count);
    }
    metrics.set("damaskledge_platform_calls", "Calls to the platform since the start", calls);
    return metrics.exposition();
  }

  std::string targets() {
    auto result = nlohmann::json::array();
    for (const auto& it : state_.routes.targets()) {
      const auto ms = [](duration value) {
        return std::chrono::duration<double, std::milli>(value).count();
      };
      result.push_back({{"id", it.id},
                        {"service", it.service},
                        {"limit", it.limit},
                        {"in_flight", it.in_flight},
                        {"excluded", it.excluded},
                        {"draining", it.draining},
                        {"latency_ms", ms(it.smoothed_latency)},
                        {"minimum_latency_ms", ms(it.minimum_latency)}});
    }
    return result.dump();
  }

  void explain(const Poco::URI& uri, caller_answer& answer) {
    for (const auto& [name, value] : uri.getQueryParameters()) {
      if (name == "request") {
        if (const auto found = state_.reports.explain(value)) {
          answer.body = *found;
          return;
        }
      }
    }
    answer.status = 404;
    answer.body = R"({"detail": "this node has no refusal of that request"})";
  }

  front_state& state_;
};

} // namespace

Poco::Net::HTTPRequestHandler* make_announcement_handler(front_state& state) {
  return new announcement_handler(state);
}

Poco::Net::HTTPRequestHandler* make_operator_handler(front_state& state) {
  return new operator_handler(state);
}

} // namespace damaskledge::node
