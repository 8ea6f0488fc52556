#include <atomic>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/StreamCopier.h>
#include <doctest/doctest.h>
#include <sys/wait.h>
#include <unistd.h>

#include "stand_ins/upstream_server.h"

namespace damaskledge::stand_ins {
namespace {

struct http_answer {
  int status = 0;
  std::string body;
  Poco::Net::HTTPResponse head;
};

using header_list = std::vector<std::pair<std::string, std::string>>;

http_answer send_on(Poco::Net::HTTPClientSession& session, const std::string& method,
                    const std::string& path, const std::string& body = "",
                    const header_list& headers = {}) {
  session.setTimeout(Poco::Timespan(10, 0));
  Poco::Net::HTTPRequest request(method, path, Poco::Net::HTTPRequest::HTTP_1_1);
  request.setKeepAlive(true);
  for (const auto& [name, value] : headers) {
    request.set(name, value);
  }
  if (method == "POST") {
    request.setContentLength64(static_cast<Poco::Int64>(body.size()));
  }
  session.sendRequest(request) << body << std::flush;
  http_answer result;
  Poco::StreamCopier::copyToString(session.receiveResponse(result.head), result.body);
  result.status = result.head.getStatus();
  return result;
}

http_answer send(const endpoint& to, const std::string& method, const std::string& path,
                 const std::string& body = "", const header_list& headers = {}) {
  Poco::Net::HTTPClientSession session(to.address, to.port);
  return send_on(session, method, path, body, headers);
}

/// A request that does not wait for its answer; closing it cancels the request.
std::unique_ptr<Poco::Net::HTTPClientSession> start_request(const endpoint& to,
                                                            const std::string& path) {
  auto session = std::make_unique<Poco::Net::HTTPClientSession>(to.address, to.port);
  Poco::Net::HTTPRequest request("GET", path, Poco::Net::HTTPRequest::HTTP_1_1);
  request.setKeepAlive(true);
  session->sendRequest(request).flush();
  return session;
}

template <class Condition>
bool eventually(const Condition& condition, milliseconds limit = milliseconds{5'000}) {
  const time_point end = clock_type::now() + limit;
  while (clock_type::now() < end) {
    if (condition()) {
      return true;
    }
    std::this_thread::sleep_for(milliseconds{2});
  }
  return condition();
}

upstream_settings quick_settings() {
  upstream_settings result;
  result.service_time_ms = 1;
  result.connection_cost_ms = 0;
  result.distribution = service_time_distribution::constant;
  return result;
}

/// Records what the stand-in sends to its node, and answers inner calls.
class recording_node {
 public:
  recording_node() : server_({"127.0.0.1", 0}, 64, [this](http_exchange& it) { handle(it); }) {}

  struct message {
    std::string method;
    std::string path;
    std::string body;
    header_list headers;
  };

  [[nodiscard]] endpoint address() const { return {"127.0.0.1", server_.port()}; }
  std::vector<message> messages(const std::string& path) {
    const std::lock_guard lock(mutex_);
    std::vector<message> result;
    std::copy_if(messages_.begin(), messages_.end(), std::back_inserter(result),
                 [&](const message& it) { return it.path == path; });
    return result;
  }
  std::atomic<int> inner_status{200};
  std::atomic<int> inner_delay_ms{0};
  std::atomic<int> inner_cancelled{0};

 private:
  void handle(http_exchange& exchange) {
    message received{exchange.method(), exchange.path(), exchange.body(1'000'000).value_or(""), {}};
    for (const auto& [name, value] : exchange.request()) {
      received.headers.emplace_back(name, value);
    }
    {
      const std::lock_guard lock(mutex_);
      messages_.push_back(received);
    }
    if (exchange.path().starts_with("/.damaskledge/")) {
      exchange.answer(200, "{}");
      return;
    }
    if (!exchange.wait_while_connected(milliseconds{inner_delay_ms.load()})) {
      ++inner_cancelled;
      exchange.abort();
      return;
    }
    if (inner_status != 200) {
      exchange.set("Damaskledge-Reason", "overloaded");
      exchange.set("Damaskledge-Outcome", "not-run");
    }
    exchange.answer(inner_status, "{}");
  }

  std::mutex mutex_;
  std::vector<message> messages_;
  http_server server_;
};

std::string header_of(const recording_node::message& message, const std::string& name) {
  for (const auto& [key, value] : message.headers) {
    if (key == name) {
      return value;
    }
  }
  return {};
}

TEST_CASE("the flags' lists and names are parsed, and other forms are rejected") {
  const auto calls = parse_inner_calls("gate:POST:/gate/open,melodies:GET:/melodies/list");
  REQUIRE(calls.has_value());
  CHECK(*calls == std::vector<inner_call>{{"gate", "POST", "/gate/open"},
                                          {"melodies", "GET", "/melodies/list"}});
  CHECK(parse_inner_calls("")->empty());
  for (const char* it : {"gate", "gate:POST", "gate:POST:open", ":POST:/x", "gate::/x"}) {
    CAPTURE(it);
    CHECK(!parse_inner_calls(it).has_value());
  }
  CHECK(parse_distribution("lognormal") == service_time_distribution::lognormal);
  CHECK(!parse_distribution("normal").has_value());
  CHECK(parse_endpoint("127.0.0.1:80") == endpoint{"127.0.0.1", 80});
  for (const char* it : {"127.0.0.1", ":80", "127.0.0.1:", "127.0.0.1:70000", "127.0.0.1:8x"}) {
    CAPTURE(it);
    CHECK(!parse_endpoint(it).has_value());
  }
}

TEST_CASE("the answer ends in the caller's number and the request id") {
  upstream_settings settings = quick_settings();
  settings.body_bytes = 100;
  upstream_server server(settings);
  const auto answer =
      send(server.address(), "GET", "/plots/7?call=c-1", "", {{"Damaskledge-Request-Id", "r-1"}});
  CHECK(answer.status == 200);
  CHECK(answer.body.size() == 100);
  CHECK(answer.body.ends_with("|c-1|r-1"));
}

TEST_CASE("each execution is logged with its account and operation") {
  const auto path = std::filesystem::temp_directory_path() /
                    ("upstream_test_" + std::to_string(::getpid()) + ".log");
  upstream_settings settings = quick_settings();
  settings.log_file = path.string();
  settings.service = "gate";
  {
    upstream_server server(settings);
    send(server.address(), "POST", "/open?call=c", R"({"dispatch_number":"D-17"})",
         {{"Damaskledge-Request-Id", "r-1"},
          {"Damaskledge-Account", "growers"},
          {"Damaskledge-Attempt", "2"},
          {"Idempotency-Key", "op-3"}});
    const auto served = send(server.address(), "GET", "/control/executions");
    const auto document = nlohmann::json::parse(served.body);
    CHECK(document.at("executions").size() == 1);
    CHECK(document.at("leaked_keys") == 0);
  }
  std::ifstream file(path);
  std::string line;
  REQUIRE(std::getline(file, line));
  const auto document = nlohmann::json::parse(line);
  CHECK(document.at("request_id") == "r-1");
  CHECK(document.at("account") == "growers");
  CHECK(document.at("attempt") == "2");
  CHECK(document.at("operation") == "op-3");
  CHECK(document.at("dispatch_number") == "D-17");
  CHECK(document.at("path") == "/open");
  CHECK(document.at("call") == "c");
  CHECK(document.at("time_ms").get<std::int64_t>() > 0);
  CHECK(!std::getline(file, line));
  std::filesystem::remove(path);
}

// Guards against a stand-in that runs more than its slots and so hides overload.
TEST_CASE("work beyond the slots waits, and beyond the queue it is refused as not run") {
  upstream_settings settings = quick_settings();
  settings.slots = 2;
  settings.queue = 1;
  settings.service_time_ms = 300;
  upstream_server server(settings);
  std::atomic<int> completed{0};
  std::atomic<int> refused{0};
  std::vector<std::thread> callers;
  callers.reserve(5);
  for (int it = 0; it < 5; ++it) {
    callers.emplace_back([&] {
      const auto answer = send(server.address(), "GET", "/x");
      if (answer.status == 503 && answer.head.get("Damaskledge-Outcome", "") == "not-run") {
        ++refused;
      }
      completed += answer.status == 200 ? 1 : 0;
    });
  }
  for (std::thread& it : callers) {
    it.join();
  }
  CHECK(completed == 3);
  CHECK(refused == 2);
  CHECK(server.counters().executed == 3);
  CHECK(server.counters().highest_running == 2);
  CHECK(server.counters().refused_queue_full == 2);
  CHECK(server.executions().size() == 3);
  CHECK(server.counters().running == 0);
}

TEST_CASE("a deadline ends waiting and running work") {
  upstream_settings settings = quick_settings();
  settings.slots = 1;
  settings.service_time_ms = 400;
  upstream_server server(settings);
  const time_point start = clock_type::now();
  const auto running = send(server.address(), "GET", "/x", "", {{"Damaskledge-Deadline-Ms", "80"}});
  CHECK(running.status == 504);
  CHECK(clock_type::now() - start < milliseconds{350});
  CHECK(server.counters().expired_running == 1);

  const auto holder = start_request(server.address(), "/x");
  REQUIRE(eventually([&] { return server.counters().running == 1; }));
  const auto waiting = send(server.address(), "GET", "/x", "", {{"Damaskledge-Deadline-Ms", "60"}});
  CHECK(waiting.status == 503);
  CHECK(waiting.head.get("Damaskledge-Outcome", "") == "not-run");
  CHECK(server.counters().refused_deadline == 1);
  CHECK(server.executions().size() == 2);
}

TEST_CASE("a closed connection stops work that runs and work that waits") {
  upstream_settings settings = quick_settings();
  settings.slots = 1;
  settings.service_time_ms = 5'000;
  upstream_server server(settings);
  auto running = start_request(server.address(), "/x");
  REQUIRE(eventually([&] { return server.counters().running == 1; }));
  auto waiting = start_request(server.address(), "/x");
  REQUIRE(eventually([&] { return server.counters().waiting == 1; }));
  waiting.reset();
  CHECK(eventually([&] { return server.counters().cancelled_waiting == 1; }));
  running.reset();
  CHECK(eventually([&] { return server.counters().cancelled_running == 1; }, milliseconds{1'000}));
  CHECK(eventually([&] { return server.counters().running == 0; }));
  CHECK(server.counters().completed == 0);
}

TEST_CASE("a new connection costs time once") {
  upstream_settings settings = quick_settings();
  settings.connection_cost_ms = 150;
  upstream_server server(settings);
  Poco::Net::HTTPClientSession session("127.0.0.1", server.port());
  session.setKeepAlive(true);
  const auto timed = [&] {
    const time_point start = clock_type::now();
    CHECK(send_on(session, "GET", "/x").status == 200);
    return clock_type::now() - start;
  };
  CHECK(timed() >= milliseconds{150});
  CHECK(timed() < milliseconds{120});
}

TEST_CASE("the slow-down and the cold start lengthen the service time") {
  upstream_settings settings = quick_settings();
  settings.service_time_ms = 10;
  upstream_server server(settings);
  const auto timed = [](const upstream_server& at) {
    const time_point start = clock_type::now();
    CHECK(send(at.address(), "GET", "/x").status == 200);
    return clock_type::now() - start;
  };
  CHECK(timed(server) < milliseconds{100});
  CHECK(send(server.address(), "POST", "/control", R"({"slowdown":15})").status == 200);
  CHECK(timed(server) >= milliseconds{150});
  CHECK(send(server.address(), "POST", "/control", R"({"slowdown":-1})").status == 400);
  CHECK(send(server.address(), "POST", "/control", "x").status == 400);

  settings.cold_start_ms = 60'000;
  settings.cold_start_factor = 20;
  const upstream_server cold(settings);
  CHECK(timed(cold) >= milliseconds{150});
}

TEST_CASE("health is good whatever the load is") {
  upstream_settings settings = quick_settings();
  settings.slots = 1;
  settings.service_time_ms = 2'000;
  upstream_server server(settings);
  const auto running = start_request(server.address(), "/x");
  REQUIRE(eventually([&] { return server.counters().running == 1; }));
  const auto health = send(server.address(), "GET", "/health");
  CHECK(health.status == 200);
  CHECK(nlohmann::json::parse(health.body).at("load").get<double>() < 0.1);
  CHECK(send(server.address(), "POST", "/control", R"({"health":"down"})").status == 200);
  CHECK(send(server.address(), "GET", "/health").status == 503);
}

TEST_CASE("a key in a header or in the path is counted as a leak") {
  upstream_server server(quick_settings());
  send(server.address(), "GET", "/x", "", {{"X-Api-Key", "nothing secret"}});
  CHECK(server.counters().leaked_keys == 0);
  send(server.address(), "GET", "/x", "", {{"X-Forwarded", "Bearer dlk_0123_abc"}});
  send(server.address(), "GET", "/x?api_key=dlk_0123_abc");
  CHECK(server.counters().leaked_keys == 2);
  const auto control = nlohmann::json::parse(send(server.address(), "GET", "/control").body);
  CHECK(control.at("leaked_keys") == 2);
}

TEST_CASE("answers can be truncated or lost after the request ran") {
  upstream_server server(quick_settings());
  server.set_behaviour({.truncate_answers = 1});
  const auto truncated = send(server.address(), "GET", "/x?call=c");
  CHECK(static_cast<Poco::Int64>(truncated.body.size()) < truncated.head.getContentLength64());
  server.set_behaviour({.lose_answers = 1});
  CHECK_THROWS_AS(send(server.address(), "GET", "/x"), Poco::Exception);
  CHECK(server.counters().executed == 2);
  CHECK(send(server.address(), "GET", "/x").status == 200);
}

TEST_CASE("the stand-in announces itself again and again, drains and leaves") {
  recording_node node;
  upstream_settings settings = quick_settings();
  settings.service = "gate";
  settings.node = node.address();
  settings.slots = 45;
  settings.connections = 380;
  settings.announce_interval = milliseconds{50};
  settings.drain_grace = milliseconds{200};
  upstream_server server(settings);
  REQUIRE(eventually([&] { return node.messages("/.damaskledge/announce").size() >= 3; }));
  const auto announced =
      nlohmann::json::parse(node.messages("/.damaskledge/announce").front().body);
  CHECK(announced == nlohmann::json{{"service", "gate"},
                                    {"port", server.port()},
                                    {"slots", 45},
                                    {"connections", 380},
                                    {"health_path", "/health"}});

  CHECK(send(server.address(), "POST", "/control/drain").status == 200);
  CHECK(node.messages("/.damaskledge/drain").size() == 1);
  // The node needs time to tell its peers, so work still arrives and is done.
  CHECK(send(server.address(), "GET", "/x").status == 200);
  REQUIRE(eventually([&] { return server.drained(); }));
  const auto refused = send(server.address(), "GET", "/x");
  CHECK(refused.status == 503);
  CHECK(refused.head.get("Damaskledge-Outcome", "") == "not-run");
  CHECK(server.counters().refused_draining == 1);
  CHECK(node.messages("/.damaskledge/leave").empty());
  server.leave();
  REQUIRE(node.messages("/.damaskledge/leave").size() == 1);
  const auto left = nlohmann::json::parse(node.messages("/.damaskledge/leave").front().body);
  CHECK(left == nlohmann::json{{"service", "gate"}, {"port", server.port()}});
}

TEST_CASE("leaving waits for the work in progress") {
  recording_node node;
  upstream_settings settings = quick_settings();
  settings.node = node.address();
  settings.service_time_ms = 400;
  settings.drain_grace = milliseconds{50};
  upstream_server server(settings);
  std::atomic<int> status{0};
  std::thread caller([&] { status = send(server.address(), "GET", "/x").status; });
  REQUIRE(eventually([&] { return server.counters().running == 1; }));
  server.leave();
  CHECK(server.counters().completed == 1);
  caller.join();
  CHECK(status == 200);
}

TEST_CASE("inner calls carry the context, the operation and the body") {
  recording_node node;
  upstream_settings settings = quick_settings();
  settings.node = node.address();
  settings.inner = *parse_inner_calls("gate:POST:/gate/open,melodies:GET:/melodies/list");
  upstream_server server(settings);
  const std::string body = R"({"dispatch_number":"D-1"})";
  const auto answer = send(server.address(), "POST", "/dispatch", body,
                           {{"Damaskledge-Context", "token"},
                            {"traceparent", "00-1-2-01"},
                            {"Idempotency-Key", "op"},
                            {"Damaskledge-Account", "growers"}});
  CHECK(answer.status == 200);
  REQUIRE(node.messages("/gate/open").size() == 1);
  REQUIRE(node.messages("/melodies/list").size() == 1);
  const auto gate = node.messages("/gate/open").front();
  CHECK(gate.method == "POST");
  CHECK(gate.body == body);
  CHECK(header_of(gate, "Damaskledge-Context") == "token");
  CHECK(header_of(gate, "traceparent") == "00-1-2-01");
  CHECK(header_of(gate, "Idempotency-Key") == "op");
  CHECK(header_of(gate, "Damaskledge-Account").empty());
  CHECK(node.messages("/melodies/list").front().body.empty());
  CHECK(server.counters().inner_calls == 2);
}

TEST_CASE("the failure of an inner call fails the request with the refusal's headers") {
  recording_node node;
  node.inner_status = 503;
  upstream_settings settings = quick_settings();
  settings.node = node.address();
  settings.inner = *parse_inner_calls("gate:POST:/gate/open,melodies:GET:/melodies/list");
  upstream_server server(settings);
  const auto answer = send(server.address(), "POST", "/dispatch", "{}");
  CHECK(answer.status == 502);
  CHECK(answer.head.get("Damaskledge-Reason", "") == "overloaded");
  CHECK(answer.head.get("Damaskledge-Outcome", "") == "not-run");
  CHECK(node.messages("/melodies/list").empty());
  CHECK(server.counters().inner_failures == 1);
  CHECK(server.counters().running == 0);
}

TEST_CASE("a cancelled request cancels its inner call") {
  recording_node node;
  node.inner_delay_ms = 5'000;
  upstream_settings settings = quick_settings();
  settings.node = node.address();
  settings.inner = *parse_inner_calls("gate:GET:/gate/open");
  upstream_server server(settings);
  auto request = start_request(server.address(), "/x");
  REQUIRE(eventually([&] { return !node.messages("/gate/open").empty(); }));
  request.reset();
  CHECK(eventually([&] { return node.inner_cancelled == 1; }, milliseconds{2'000}));
  CHECK(eventually([&] { return server.counters().cancelled_running == 1; }));
}

// The crash ends the process, so the server runs in a child process of the test.
TEST_CASE("a request that asks for a crash ends the process after it was logged") {
  const auto path = std::filesystem::temp_directory_path() /
                    ("upstream_crash_" + std::to_string(::getpid()) + ".log");
  for (const bool by_header : {true, false}) {
    std::filesystem::remove(path);
    int ports[2] = {};
    REQUIRE(::pipe(ports) == 0);
    const pid_t child = ::fork();
    REQUIRE(child >= 0);
    if (child == 0) {
      upstream_settings settings = quick_settings();
      settings.log_file = path.string();
      const upstream_server server(settings);
      const std::uint16_t port = server.port();
      if (::write(ports[1], &port, sizeof port) == sizeof port) {
        std::this_thread::sleep_for(seconds{10});
      }
      ::_exit(0);
    }
    std::uint16_t port = 0;
    REQUIRE(::read(ports[0], &port, sizeof port) == sizeof port);
    if (by_header) {
      CHECK_THROWS_AS(send({"127.0.0.1", port}, "GET", "/x", "", {{"X-Crash", "1"}}),
                      Poco::Exception);
    } else {
      CHECK_THROWS_AS(send({"127.0.0.1", port}, "POST", "/x", R"({"crash": true})"),
                      Poco::Exception);
    }
    int status = 0;
    REQUIRE(::waitpid(child, &status, 0) == child);
    CHECK(WIFEXITED(status));
    CHECK(WEXITSTATUS(status) == upstream_server::crash_status);
    std::ifstream file(path);
    std::string line;
    CHECK(static_cast<bool>(std::getline(file, line)));
    ::close(ports[0]);
    ::close(ports[1]);
  }
  std::filesystem::remove(path);
}

} // namespace
} // namespace damaskledge::stand_ins
