#include <atomic>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "http/raw_server.h"
#include "load/load.h"
#include "stand_ins/http_server.h"
#include "stand_ins/upstream_server.h"

namespace damaskledge::load {
namespace {

using stand_ins::http_exchange;
using stand_ins::http_server;

constexpr const char* key = "dlk_0123456789ab_secret";

scenario scenario_for(const std::vector<endpoint>& nodes, double per_second,
                      duration length = milliseconds{500}) {
  scenario result;
  result.length = length;
  result.nodes = nodes;
  result.connections = 8;
  account_demand account;
  account.name = "growers";
  account.rate = 10'000;
  account.burst = 10'000;
  call_template call;
  call.route = "status";
  call.path = "/plots/status";
  call.deadline = milliseconds{400};
  call.per_second = per_second;
  account.calls = {call};
  result.accounts = {account};
  return result;
}

run_options options() {
  run_options result;
  result.keys = {{"growers", key}};
  return result;
}

/// Answers as a node would.
void answer_own(http_exchange& exchange, const std::string& request_id = "r-1") {
  exchange.set("Damaskledge-Request-Id", request_id);
  exchange.answer(200, "....|" + exchange.parameter("call") + "|" + request_id, "text/plain");
}

void answer_refusal(http_exchange& exchange, refusal_reason reason,
                    const std::string& retry_after) {
  exchange.set("Damaskledge-Reason", std::string(to_string(reason)));
  exchange.set("Damaskledge-Outcome", "not-run");
  exchange.set("Retry-After", retry_after);
  exchange.answer(http_status(reason), R"({"reason":"x"})", "application/problem+json");
}

std::uint64_t count(const run_result& result, result_kind kind) {
  return static_cast<std::uint64_t>(
      std::count_if(result.attempts.begin(), result.attempts.end(),
                    [&](const attempt_record& it) { return it.result == kind; }));
}

TEST_CASE("every arrival is sent once with its key and its deadline") {
  std::mutex mutex;
  std::set<std::string> calls;
  std::set<std::string> headers;
  http_server node({"127.0.0.1", 0}, 64, [&](http_exchange& it) {
    {
      const std::lock_guard lock(mutex);
      calls.insert(it.parameter("call"));
      headers.insert(it.header("Authorization") + "/" + it.header("Damaskledge-Timeout-Ms"));
    }
    answer_own(it);
  });
  const scenario value = scenario_for({{"127.0.0.1", node.port()}}, 300);
  const auto result = run(value, options());
  REQUIRE(result);
  CHECK(result->arrivals == make_arrivals(value, value.seed));
  CHECK(result->arrivals.size() > 80);
  CHECK(result->attempts.size() == result->arrivals.size());
  CHECK(count(*result, result_kind::good) == result->arrivals.size());
  CHECK(calls.size() == result->arrivals.size());
  CHECK(headers == std::set<std::string>{std::string("Bearer ") + key + "/400"});
  // Connections are kept: the bound is also the number that is ever opened.
  CHECK(result->opened_connections <= value.connections);
  CHECK(node.highest_connections() <= value.connections);
  const report out = measure(value, *result, std::nullopt);
  CHECK(to_text(out).find("dlk_") == std::string::npos);
  CHECK(to_json_text(out).find("dlk_") == std::string::npos);
}

// Guards P7: an answer of the right size and status that belongs to someone else is no success.
TEST_CASE("answers that are not the caller's own or not whole are wrong or failed") {
  std::function<void(http_exchange&)> behaviour;
  http_server node({"127.0.0.1", 0}, 64, [&](http_exchange& it) { behaviour(it); });
  const scenario value = scenario_for({{"127.0.0.1", node.port()}}, 40);
  const auto all = [&](result_kind kind) {
    const auto result = run(value, options());
    return result && !result->arrivals.empty() && count(*result, kind) == result->arrivals.size() &&
           result->attempts.size() == result->arrivals.size();
  };
  behaviour = [](http_exchange& it) {
    it.set("Damaskledge-Request-Id", "r-1");
    it.answer(200, std::string("....|other|r-1"), "text/plain");
  };
  CHECK(all(result_kind::wrong));
  behaviour = [](http_exchange& it) {
    it.set("Damaskledge-Request-Id", "r-1");
    it.answer(200, "....|" + it.parameter("call") + "|r-2", "text/plain");
  };
  CHECK(all(result_kind::wrong));
  behaviour = [](http_exchange& it) {
    it.set("Damaskledge-Request-Id", "r-1");
    it.answer_truncated("....|" + it.parameter("call") + "|r-1");
  };
  CHECK(all(result_kind::wrong));
  behaviour = [](http_exchange& it) { it.abort(); };
  CHECK(all(result_kind::connection_failed));
  behaviour = [](http_exchange& it) { it.answer(500, "{}"); };
  CHECK(all(result_kind::failed));
  behaviour = [](http_exchange& it) { answer_refusal(it, refusal_reason::overloaded, "1"); };
  CHECK(all(result_kind::refused));
}

// Guards against a broken body in chunks that counts as a success.
TEST_CASE(
    "malformed and partial answers are no successes, whether their content is checked or not") {
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  for (const auto& it : {ok + "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n",
                         ok + "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\nzz\r\n\r\n",
                         ok + "X Other: 1\r\nContent-Length: 4\r\n\r\nseen",
                         std::string("HTTP/1.1 000 Trouble\r\nContent-Length: 0\r\n\r\n")}) {
    CAPTURE(it);
    const test::raw_server node(it, test::then::end);
    scenario value = scenario_for({node.address()}, 40);
    value.connections = 1;
    value.check_answers = false;
    const auto result = run(value, options());
    REQUIRE(result);
    CHECK(count(*result, result_kind::good) == 0);
    CHECK(count(*result, result_kind::failed) == 0);
    CHECK(result->attempts.size() == result->arrivals.size());
  }
}

TEST_CASE("answers after the deadline are late, and missing ones time out") {
  std::atomic<int> delay_ms{500};
  http_server node({"127.0.0.1", 0}, 64, [&](http_exchange& it) {
    if (it.wait_while_connected(milliseconds{delay_ms})) {
      answer_own(it);
    } else {
      it.abort();
    }
  });
  scenario value = scenario_for({{"127.0.0.1", node.port()}}, 20, milliseconds{300});
  value.connections = 64;
  auto result = run(value, options());
  REQUIRE(result);
  CHECK(result->arrivals.size() > 1);
  CHECK(count(*result, result_kind::late) == result->arrivals.size());
  delay_ms = 5'000;
  result = run(value, options());
  REQUIRE(result);
  CHECK(count(*result, result_kind::timed_out) == result->arrivals.size());
}

TEST_CASE("retries keep the operation's id and wait as the refusal asks") {
  std::mutex mutex;
  std::map<std::string, std::vector<std::string>> operations;
  http_server node({"127.0.0.1", 0}, 64, [&](http_exchange& it) {
    const std::string body = it.body(1'000).value_or("");
    const std::string call = it.parameter("call");
    std::size_t attempt = 0;
    {
      const std::lock_guard lock(mutex);
      operations[call].push_back(it.header("Idempotency-Key") + body);
      attempt = operations[call].size();
    }
    if (attempt < 3) {
      answer_refusal(it, refusal_reason::claims_unavailable, "1");
    } else {
      answer_own(it);
    }
  });
  scenario value = scenario_for({{"127.0.0.1", node.port()}}, 20, milliseconds{300});
  value.accounts[0].calls[0].method = "POST";
  value.accounts[0].calls[0].operation = operation_place::header;
  value.accounts[0].calls[0].body = R"({"number":"{operation}","call":"{call}"})";
  value.accounts[0].retries = {1, 3, true, milliseconds{10}};
  const auto result = run(value, options());
  REQUIRE(result);
  REQUIRE(!result->arrivals.empty());
  CHECK(count(*result, result_kind::good) == result->arrivals.size());
  CHECK(result->attempts.size() == 3 * result->arrivals.size());
  std::set<std::string> distinct;
  for (const auto& [call, seen] : operations) {
    REQUIRE(seen.size() == 3);
    CHECK(seen[0] == seen[1]);
    CHECK(seen[0] == seen[2]);
    // A UUIDv7, whose version digit follows the second hyphen.
    CHECK(seen[0].at(14) == '7');
    CHECK(seen[0].find(call) != std::string::npos);
    distinct.insert(seen[0]);
  }
  CHECK(distinct.size() == result->arrivals.size());
  for (const attempt_record& it : result->attempts) {
    if (it.attempt > 1) {
      CHECK(it.intended - result->arrivals[it.arrival].at >= seconds{1} * (it.attempt - 1));
    }
    CHECK(it.last == (it.attempt == 3));
  }

  // A caller that does not honour the time comes back at once.
  operations.clear();
  value.accounts[0].retries.honour_retry_after = false;
  const auto eager = run(value, options());
  REQUIRE(eager);
  for (const attempt_record& it : eager->attempts) {
    CHECK(it.intended - eager->arrivals[it.arrival].at < seconds{1});
  }
}

TEST_CASE("only the given fraction of the callers retries") {
  http_server node({"127.0.0.1", 0}, 64,
                   [&](http_exchange& it) { answer_refusal(it, refusal_reason::overloaded, "0"); });
  scenario value = scenario_for({{"127.0.0.1", node.port()}}, 400);
  value.accounts[0].retries = {0.25, 2, false, milliseconds{1}};
  const auto result = run(value, options());
  REQUIRE(result);
  const double retried =
      static_cast<double>(result->attempts.size()) / static_cast<double>(result->arrivals.size()) -
      1;
  CHECK(retried > 0.12);
  CHECK(retried < 0.40);
}

// Guards against a retry storm that goes on after its phase or does not begin with it.
TEST_CASE("a phase replaces the retries of the calls that start in it") {
  http_server node({"127.0.0.1", 0}, 64,
                   [&](http_exchange& it) { answer_refusal(it, refusal_reason::overloaded, "1"); });
  scenario value = scenario_for({{"127.0.0.1", node.port()}}, 100, milliseconds{900});
  value.phases = {{"base", milliseconds{0}, milliseconds{300}, 1, {}},
                  {"storm", milliseconds{300}, milliseconds{300}, 1, {}}};
  value.phases[1].retries = retry_policy{1, 4, false, milliseconds{1}};
  const auto result = run(value, options());
  REQUIRE(result);
  std::vector<std::uint32_t> attempts(result->arrivals.size());
  for (const attempt_record& it : result->attempts) {
    ++attempts[it.arrival];
  }
  std::size_t inside = 0;
  for (std::size_t it = 0; it < attempts.size(); ++it) {
    const duration at = result->arrivals[it].at;
    const bool storm = at >= milliseconds{300} && at < milliseconds{600};
    inside += storm ? 1 : 0;
    CHECK(attempts[it] == (storm ? 4 : 1));
  }
  CHECK(inside > 0);
}

TEST_CASE("replayed answers are the caller's own without the new request's id") {
  http_server node({"127.0.0.1", 0}, 64, [&](http_exchange& it) {
    it.set("Damaskledge-Replayed", "true");
    it.set("Damaskledge-Request-Id", "r-2");
    it.answer(200, "....|" + it.parameter("call") + "|r-1", "text/plain");
  });
  const scenario value = scenario_for({{"127.0.0.1", node.port()}}, 20);
  const auto result = run(value, options());
  REQUIRE(result);
  CHECK(count(*result, result_kind::good) == result->arrivals.size());
  CHECK(measure(value, *result, std::nullopt).replayed == result->arrivals.size());
}

// Guards against coordinated omission: a stall must show in all calls that were due during it.
TEST_CASE("a stall counts for the calls that could not be sent during it") {
  std::atomic<int> served{0};
  http_server node({"127.0.0.1", 0}, 64, [&](http_exchange& it) {
    if (++served == 5) {
      it.wait_while_connected(milliseconds{300});
    }
    answer_own(it);
  });
  scenario value = scenario_for({{"127.0.0.1", node.port()}}, 100, milliseconds{800});
  value.connections = 1;
  value.accounts[0].calls[0].deadline = milliseconds{2'000};
  const auto result = run(value, options());
  REQUIRE(result);
  const report out = measure(value, *result, std::nullopt);
  CHECK(out.good == result->arrivals.size());
  CHECK(out.late_sends > 10);
  CHECK(out.latency_from_intended.p90 > 60);
  CHECK(out.latency_from_sent.p90 < 60);
  CHECK(out.latency_from_sent.max >= 300);
}

TEST_CASE("calls that find no free connection before their deadline are not sent") {
  std::atomic<int> received{0};
  http_server node({"127.0.0.1", 0}, 64, [&](http_exchange& it) {
    ++received;
    it.wait_while_connected(milliseconds{300});
    answer_own(it);
  });
  scenario value = scenario_for({{"127.0.0.1", node.port()}}, 100, milliseconds{500});
  value.connections = 1;
  const auto result = run(value, options());
  REQUIRE(result);
  const auto unsent = count(*result, result_kind::not_sent);
  CHECK(unsent > result->arrivals.size() / 2);
  CHECK(unsent + static_cast<std::uint64_t>(received) == result->arrivals.size());
}

TEST_CASE("connections spread over the nodes and move when a node cannot be reached") {
  std::atomic<int> first{0};
  std::atomic<int> second{0};
  http_server a({"127.0.0.1", 0}, 64, [&](http_exchange& it) {
    ++first;
    answer_own(it);
  });
  auto b = std::make_unique<http_server>(endpoint{"127.0.0.1", 0}, 64U, [&](http_exchange& it) {
    ++second;
    answer_own(it);
  });
  const scenario value = scenario_for({{"127.0.0.1", a.port()}, {"127.0.0.1", b->port()}}, 200);
  auto result = run(value, options());
  REQUIRE(result);
  CHECK(first > 20);
  CHECK(second > 20);
  b.reset();
  result = run(value, options());
  REQUIRE(result);
  CHECK(count(*result, result_kind::good) == result->arrivals.size());
}

TEST_CASE("the simulated delay of callers is part of the latency") {
  http_server node({"127.0.0.1", 0}, 64, [&](http_exchange& it) { answer_own(it); });
  scenario value = scenario_for({{"127.0.0.1", node.port()}}, 40);
  value.caller_delay = milliseconds{8};
  const auto result = run(value, options());
  REQUIRE(result);
  const report out = measure(value, *result, std::nullopt);
  CHECK(out.latency_from_sent.p50 >= 15.9);
  CHECK(out.latency_from_sent.p50 < 40);
}

TEST_CASE("the direct comparison shows the time that a node adds") {
  stand_ins::upstream_settings settings;
  settings.service_time_ms = 2;
  settings.connection_cost_ms = 0;
  settings.distribution = stand_ins::service_time_distribution::constant;
  stand_ins::upstream_server upstream(settings);
  http_server node({"127.0.0.1", 0}, 64, [&](http_exchange& it) {
    it.wait_while_connected(milliseconds{12});
    answer_own(it);
  });
  const scenario value = scenario_for({{"127.0.0.1", node.port()}}, 100);
  run_options with_direct = options();
  with_direct.direct = upstream.address();
  auto result = run(value, with_direct);
  REQUIRE(result);
  CHECK(!result->direct_arrivals.empty());
  CHECK(result->direct_arrivals != result->arrivals);
  CHECK(upstream.counters().executed == result->direct_attempts.size());
  CHECK(upstream.counters().leaked_keys == 0);
  const report out = measure(value, *result, std::nullopt);
  REQUIRE(out.direct.has_value());
  CHECK(out.direct->direct.count == result->direct_attempts.size());
  CHECK(out.direct->node.p50 - out.direct->direct.p50 > 8);
  CHECK(out.direct->node.p50 - out.direct->direct.p50 < 14);

  with_direct.direct_service = "gate";
  result = run(value, with_direct);
  REQUIRE(result);
  CHECK(result->direct_arrivals.empty());
}

TEST_CASE("duplicates are read from the upstreams' execution logs") {
  stand_ins::upstream_settings settings;
  settings.service_time_ms = 0;
  stand_ins::upstream_server upstream(settings);
  scenario value = scenario_for({upstream.address()}, 40);
  value.check_answers = false;
  value.accounts[0].calls[0].operation = operation_place::header;
  const auto first = run(value, options());
  REQUIRE(first);
  auto executions = fetch_executions({upstream.address()});
  REQUIRE(executions);
  CHECK(executions->executions.size() == first->attempts.size());
  CHECK(measure(value, *first, *executions).duplicates == 0U);
  // The upstream saw the callers' keys, because no node took them away.
  CHECK(executions->leaked_keys == first->attempts.size());

  const auto refused = leaf::try_handle_all(
      [&]() -> leaf::result<std::string> {
        BOOST_LEAF_CHECK(fetch_executions({{"127.0.0.1", 1}}));
        return std::string();
      },
      [](const environment_error& error) { return to_string(error); },
      [] { return std::string("an error of another type"); });
  CHECK(refused.find("127.0.0.1:1") != std::string::npos);
}

// A script that disturbs the fleet by this time would otherwise miss the phases.
TEST_CASE("a run tells its start before the first call") {
  std::atomic<unix_milliseconds> first{0};
  http_server node({"127.0.0.1", 0}, 64, [&](http_exchange& it) {
    unix_milliseconds none = 0;
    first.compare_exchange_strong(none, unix_now());
    answer_own(it);
  });
  unix_milliseconds start = 0;
  run_options told = options();
  told.starting = [&](unix_milliseconds at) {
    CHECK(first == 0);
    start = at;
  };
  const auto result = run(scenario_for({{"127.0.0.1", node.port()}}, 50), told);
  REQUIRE(result);
  REQUIRE(!result->arrivals.empty());
  const double expected =
      static_cast<double>(start) +
      std::chrono::duration<double, std::milli>(result->arrivals.front().at).count();
  CHECK(static_cast<double>(first) >= expected - 2);
  CHECK(static_cast<double>(first) <= expected + 500);
}

TEST_CASE("a run needs nodes and a key for each account") {
  const auto message_of = [](const scenario& value, const run_options& with) {
    return leaf::try_handle_all(
        [&]() -> leaf::result<std::string> {
          BOOST_LEAF_CHECK(run(value, with));
          return std::string();
        },
        [](const environment_error& error) { return to_string(error); },
        [] { return std::string("an error of another type"); });
  };
  CHECK(message_of(scenario_for({}, 1), options()).find("nodes") != std::string::npos);
  CHECK(message_of(scenario_for({{"127.0.0.1", 1}}, 1), {}).find("growers") != std::string::npos);
}

} // namespace
} // namespace damaskledge::load
