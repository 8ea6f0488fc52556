#include <algorithm>
#include <set>
#include <thread>

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/StreamCopier.h>
#include <doctest/doctest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

#include "http/raw_server.h"
#include "telemetry/telemetry.h"

using namespace damaskledge;
using namespace damaskledge::telemetry;

namespace {

constexpr std::string_view key = "dlk_0123456789ab_Zx81kqPd0vWw3TqLm2Yh";
constexpr std::string_view secret = "Zx81kqPd0vWw3TqLm2Yh";

bool contains(std::string_view text, std::string_view part) {
  return text.find(part) != std::string_view::npos;
}

/// Keeps the bodies of the posts it gets and answers with a given status after a delay.
class collector {
 public:
  collector(int status, milliseconds delay)
      : status_(status), delay_(delay), socket_(Poco::Net::SocketAddress("127.0.0.1", 0)),
        server_(new factory(*this), socket_, new Poco::Net::HTTPServerParams) {
    server_.start();
  }
  ~collector() { server_.stopAll(true); }
  collector(const collector&) = delete;
  collector& operator=(const collector&) = delete;

  endpoint address() const { return {"127.0.0.1", socket_.address().port()}; }
  std::vector<std::string> bodies() {
    const std::lock_guard lock(mutex_);
    return bodies_;
  }

 private:
  class handler : public Poco::Net::HTTPRequestHandler {
   public:
    explicit handler(collector& owner) : owner_(owner) {}
    void handleRequest(Poco::Net::HTTPServerRequest& request,
                       Poco::Net::HTTPServerResponse& response) override {
      std::string body =
          request.getMethod() + " " + request.getURI() + " " + request.getContentType() + "\n";
      Poco::StreamCopier::copyToString(request.stream(), body);
      std::this_thread::sleep_for(owner_.delay_);
      {
        const std::lock_guard lock(owner_.mutex_);
        owner_.bodies_.push_back(body);
      }
      response.setStatus(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(owner_.status_));
      response.setContentLength(2);
      response.send() << "{}";
    }

   private:
    collector& owner_;
  };
  class factory : public Poco::Net::HTTPRequestHandlerFactory {
   public:
    explicit factory(collector& owner) : owner_(owner) {}
    Poco::Net::HTTPRequestHandler*
    createRequestHandler(const Poco::Net::HTTPServerRequest& /*request*/) override {
      return new handler(owner_);
    }

   private:
    collector& owner_;
  };

  int status_;
  milliseconds delay_;
  std::mutex mutex_;
  std::vector<std::string> bodies_;
  Poco::Net::ServerSocket socket_;
  Poco::Net::HTTPServer server_;
};

span example_span() {
  const trace_context root = new_trace();
  return {"forward",
          child_of(root),
          root.span_id,
          span_kind::client,
          1'700'000'000'000'000'001,
          1'700'000'000'000'000'002,
          {{"damaskledge.account", std::string("rossi")},
           {"url.query", "api_key=" + std::string(key)},
           {"attempt", std::int64_t{2}},
           {"local", true}},
          true};
}

template <class Condition>
bool wait_until(Condition condition) {
  for (int it = 0; it < 500 && !condition(); ++it) {
    std::this_thread::sleep_for(milliseconds{10});
  }
  return condition();
}

} // namespace

TEST_CASE("the exposition shows each kind of metric") {
  // Guards against counters that are fed and never shown.
  metrics value;
  value.served("melody");
  value.refused("melody", refusal_reason::overloaded, outcome::not_run);
  value.refused("melody", refusal_reason::overloaded, outcome::not_run);
  value.retried("melody");
  value.tokens(token_event::granted, 2.5);
  value.claim(claim_event::already_run);
  value.platform_call(platform_event::conflict);
  value.frame_dropped();
  value.spans_dropped(3);
  value.shed_level("melody", 7);
  value.limits({{"vm-1:9000", 3.75, 2}, {"vm-2:9000", 4, 0}});
  value.limits({{"vm-1:9000", 5.5, 1}});
  value.queue_delay("melody", milliseconds{3});
  value.added_latency(std::chrono::microseconds{450});
  const std::string text = value.exposition();
  for (const std::string_view it :
       {R"(damaskledge_requests_total{outcome="served",reason="",service="melody"} 1)",
        R"(damaskledge_requests_total{outcome="not-run",reason="overloaded",service="melody"} 2)",
        R"(damaskledge_refusals_total{reason="overloaded"} 2)",
        R"(damaskledge_retries_total{service="melody"} 1)",
        R"(damaskledge_tokens_total{event="granted"} 2.5)",
        R"(damaskledge_claims_total{result="already-run"} 1)",
        R"(damaskledge_platform_calls_total{result="conflict"} 1)",
        "damaskledge_frames_dropped_total 1", "damaskledge_spans_dropped_total 3",
        "damaskledge_invariant_violations 0", R"(damaskledge_shed_level{service="melody"} 7)",
        R"(damaskledge_target_limit{target="vm-1:9000"} 5.5)",
        R"(damaskledge_target_in_flight{target="vm-1:9000"} 1)",
        R"(damaskledge_queue_delay_seconds_bucket{service="melody",le="0.005"} 1)",
        R"(damaskledge_queue_delay_seconds_bucket{service="melody",le="0.002"} 0)",
        R"(damaskledge_added_latency_seconds_bucket{le="0.00047"} 1)",
        R"(damaskledge_added_latency_seconds_bucket{le="0.0004"} 0)"}) {
    CAPTURE(it);
    CHECK(contains(text, it));
  }
  CHECK_FALSE(contains(text, "vm-2"));
}

TEST_CASE("the number of time series is bounded") {
  // Guards against memory that grows with names from faulty announcements.
  metrics value;
  for (int it = 0; it < 10'000; ++it) {
    value.retried("service-" + std::to_string(it));
  }
  const std::string text = value.exposition();
  CHECK(std::count(text.begin(), text.end(), '\n') < 5'000);
  CHECK(contains(text, R"(damaskledge_retries_total{service="other"} 5904)"));
}

TEST_CASE("a caller cannot forge a log line or a field") {
  // Guards against log entries that a request's text makes up.
  log_event event("refused");
  event.request("r1")
      .account("x reason=served")
      .reason(refusal_reason::key_unknown)
      .field("path", "/a\r\nevent=withdrawn \"q\" \\ \x1b[2J\xff")
      .field("empty", "")
      .field("status", 401);
  CHECK(event.text() == "event=refused request=r1 account=\"x reason=served\" reason=key-unknown "
                        "path=\"/a\\x0d\\x0aevent=withdrawn \\\"q\\\" \\\\ \\x1b[2J\\xff\" "
                        "empty=\"\" status=401");
  CHECK(rc::check([](const std::string& text) {
    const std::string line = log_event("e").field("v", text).text();
    RC_ASSERT(
        std::all_of(line.begin(), line.end(), [](char it) { return it >= ' ' && it < 0x7F; }));
    RC_ASSERT(line.size() < 4 * 512 + 20);
  }));
}

TEST_CASE("keys never reach logs, refusals or spans") {
  // Guards against secrets in places that operators and third parties read.
  const std::string k(key);
  CHECK(redact_keys("a " + k + " b " + k) == "a dlk_0123456789ab_*** b dlk_0123456789ab_***");
  CHECK(redact_keys("dlk_short_" + std::string(secret)) == "dlk_***");
  CHECK(redact_keys("dlk_Zx81kqPd0vWw_3Tq") == "dlk_***");
  CHECK(redact_keys("nothing dlk_") == "nothing dlk_");
  CHECK_FALSE(contains(log_event("e").field("v", "?api_key=" + k).text(), secret));
  // The cut after 512 bytes must not come before the redaction.
  CHECK_FALSE(contains(log_event("e").field("v", std::string(500, 'x') + k).text(), "Zx81"));
  CHECK_FALSE(contains(to_otlp_json({example_span()}, {}), secret));
  refusal_log log;
  log.add({"r", 1, "a", "route", refusal_reason::key_unknown, outcome::not_run, "sent " + k});
  CHECK_FALSE(contains(log.find("r")->detail, secret));
  CHECK(rc::check([&](const std::string& before, const std::string& after) {
    RC_ASSERT(!contains(redact_keys(before + k + after), secret));
  }));
}

TEST_CASE("traceparent is parsed strictly") {
  // Guards against broken or forged trace ids in spans.
  const std::string good = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01";
  const auto value = parse_traceparent(good);
  REQUIRE(value);
  CHECK(to_traceparent(*value) == good);
  CHECK(value->sampled());
  for (std::size_t it = 0; it < good.size(); ++it) {
    for (const char other : {'-', 'A', 'g', ' ', '\0'}) {
      std::string bad = good;
      bad[it] = other;
      CHECK((bad == good || !parse_traceparent(bad)));
    }
    CHECK_FALSE(parse_traceparent(good.substr(0, it)));
  }
  CHECK_FALSE(parse_traceparent(good + "-00"));
  CHECK_FALSE(parse_traceparent("ff" + good.substr(2)));
  CHECK(parse_traceparent("01" + good.substr(2) + "-more"));
  CHECK_FALSE(parse_traceparent("01" + good.substr(2) + "more"));
  CHECK_FALSE(parse_traceparent("00-" + std::string(32, '0') + good.substr(35)));
  CHECK_FALSE(parse_traceparent(good.substr(0, 36) + std::string(16, '0') + "-01"));
  const trace_context child = child_of(*value);
  CHECK(child.trace_id == value->trace_id);
  CHECK(child.span_id != value->span_id);
  CHECK(child.flags == value->flags);
  CHECK(parse_traceparent(to_traceparent(new_trace())));
  CHECK(rc::check([](const std::string& text) { (void)parse_traceparent(text); }));
}

TEST_CASE("spans reach the collector as OTLP with their parents") {
  // Guards against spans that a collector refuses or cannot join.
  collector server(200, milliseconds{0});
  const span sent = example_span();
  {
    span_exporter exporter({.collector = server.address(),
                            .resource = {{"service.name", "damaskledge-node"}},
                            .interval = milliseconds{10}});
    exporter.record(sent);
    span unsampled = sent;
    unsampled.context.flags = 0;
    exporter.record(unsampled);
    CHECK(wait_until([&] { return exporter.exported() == 1; }));
    CHECK(exporter.dropped() == 0);
  }
  REQUIRE(server.bodies().size() == 1);
  const std::string body = server.bodies().front();
  CHECK(body.starts_with("POST /v1/traces application/json\n"));
  const auto document = nlohmann::json::parse(body.substr(body.find('\n')));
  const auto& group = document["resourceSpans"][0];
  CHECK(group["resource"]["attributes"][0]["value"]["stringValue"] == "damaskledge-node");
  const auto& found = group["scopeSpans"][0]["spans"][0];
  CHECK(found["traceId"] == to_string(sent.context.trace_id));
  CHECK(found["spanId"] == to_traceparent(sent.context).substr(36, 16));
  trace_context parent = sent.context;
  parent.span_id = sent.parent_span_id;
  CHECK(found["parentSpanId"] == to_traceparent(parent).substr(36, 16));
  CHECK(found["name"] == "forward");
  CHECK(found["kind"] == 3);
  CHECK(found["startTimeUnixNano"] == "1700000000000000001");
  CHECK(found["endTimeUnixNano"] == "1700000000000000002");
  CHECK(found["attributes"][2]["value"]["intValue"] == "2");
  CHECK(found["attributes"][3]["value"]["boolValue"] == true);
  CHECK(found["status"]["code"] == 2);
}

TEST_CASE("a slow, failing or absent collector blocks no request and its spans are counted") {
  // Guards against requests that wait for the collector, and against silent loss.
  collector slow(200, milliseconds{300});
  collector failing(503, milliseconds{0});
  for (const endpoint& it : {slow.address(), failing.address(), endpoint{"127.0.0.1", 1}}) {
    span_exporter exporter({.collector = it,
                            .resource = {},
                            .max_queue = 100,
                            .max_batch = 10,
                            .interval = milliseconds{10},
                            .timeout = milliseconds{1'000},
                            .backoff = milliseconds{50}});
    const auto begin = clock_type::now();
    for (int n = 0; n < 1'000; ++n) {
      exporter.record(example_span());
    }
    // 1,000 spans against a collector that takes 300 ms for 10 would take 30 s.
    CHECK(clock_type::now() - begin < milliseconds{250});
    CHECK(exporter.dropped() >= 800);
    CHECK(wait_until([&] { return exporter.exported() + exporter.dropped() >= 900; }));
  }
}

TEST_CASE("spans whose export got a malformed or partial answer do not count as exported") {
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  std::vector<std::string> bad = test::malformed_answers();
  bad.push_back(ok + "Content-Length: 8\r\n\r\npart");
  bad.push_back(ok + "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n");
  for (const auto& it : bad) {
    CAPTURE(it);
    const test::raw_server server(it, test::then::end);
    span_exporter exporter({.collector = server.address(),
                            .resource = {},
                            .max_queue = 100,
                            .max_batch = 1,
                            .interval = milliseconds{10},
                            .timeout = milliseconds{1'000},
                            .backoff = milliseconds{50}});
    exporter.record(example_span());
    CHECK(wait_until([&] { return exporter.exported() + exporter.dropped() == 1; }));
    CHECK(exporter.exported() == 0);
  }
}

TEST_CASE("the refusal log keeps the last refusals within its bound") {
  // Guards against unbounded memory and against an explanation of the wrong request.
  refusal_log log(3);
  for (int it = 0; it < 5; ++it) {
    log.add({"r" + std::to_string(it % 4), it, "rossi", "browse", refusal_reason::rate_exceeded,
             outcome::not_run, "n" + std::to_string(it)});
  }
  CHECK_FALSE(log.find("r1"));
  CHECK(log.find("r0")->detail == "n4");
  CHECK(log.find("r2")->at == 2);
  REQUIRE(log.latest(10).size() == 3);
  CHECK(log.latest(1).front().detail == "n4");
  CHECK(rc::check([](const std::vector<std::uint8_t>& requests) {
    refusal_log value(4);
    for (std::size_t it = 0; it < requests.size(); ++it) {
      value.add({std::to_string(requests[it] % 6), static_cast<unix_milliseconds>(it), "", "",
                 refusal_reason::overloaded, outcome::not_run, ""});
    }
    for (int request = 0; request < 6; ++request) {
      std::optional<unix_milliseconds> expected;
      for (std::size_t it = requests.size() - std::min<std::size_t>(4, requests.size());
           it < requests.size(); ++it) {
        if (requests[it] % 6 == request) {
          expected = static_cast<unix_milliseconds>(it);
        }
      }
      const auto found = value.find(std::to_string(request));
      RC_ASSERT(found.has_value() == expected.has_value());
      RC_ASSERT(!found || found->at == *expected);
    }
  }));
}
