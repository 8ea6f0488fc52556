// Keys and context tokens: what upstreams see, and what withdrawn, copied and forged ones do.
#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <cstring>
#include <mutex>
#include <thread>

#include <doctest/doctest.h>

#include "failure/fleet.h"
#include "stand_ins/http_server.h"

namespace damaskledge::failure {
namespace {

constexpr milliseconds settle_limit{30'000};
/// Promise P5: a withdrawn key stops working within seconds.
constexpr milliseconds withdrawal_limit{3'000};

/// One fleet for all cases; service "look" is served by `look_server` in this process.
fleet& shared() {
  static fleet instance("keys", [] {
    fleet_plan plan = small_plan(31, "gate:GET:/gate/state");
    plan.plans["routes"].push_back(
        {{"name", "look"}, {"service", "look"}, {"method", "GET"}, {"path", "/look"}});
    plan.plans["routes"].back()["deadline"] = "10s";
    plan.plans["plans"][0]["routes"].push_back("look");
    return plan;
  }());
  static const bool started = instance.start();
  REQUIRE(started);
  return instance;
}

/// An upstream that keeps each request until it is told to answer and shows its headers.
class look_server {
 public:
  explicit look_server(const machine& vm)
      : local_{vm.address, 8'081},
        server_({vm.address, 9'100}, 16, [this](auto& exchange) { serve(exchange); }) {
    announcer_ = std::thread([this] {
      while (!stopping_) {
        exchange(local_, {.method = "POST",
                          .target = "/.damaskledge/announce",
                          .body = R"({"service":"look","port":9100,"slots":8,"connections":16})"});
        std::this_thread::sleep_for(milliseconds(500));
      }
    });
  }
  ~look_server() {
    answer_all();
    stopping_ = true;
    announcer_.join();
    server_.stop();
  }
  look_server(const look_server&) = delete;
  look_server& operator=(const look_server&) = delete;

  /// @return headers of the latest request, in the order in which they came.
  std::vector<std::pair<std::string, std::string>> headers() const {
    const std::lock_guard lock(mutex_);
    return headers_;
  }
  std::string header(const std::string& name) const {
    for (const auto& [key, value] : headers()) {
      if (key == name) {
        return value;
      }
    }
    return "";
  }
  std::uint64_t requests() const { return requests_; }
  /// Adds a field to the answers from now on.
  void answer_with(const std::string& name, const std::string& value) {
    const std::lock_guard lock(mutex_);
    answer_field_ = {name, value};
  }
  void answer_all() {
    const std::lock_guard lock(mutex_);
    answering_ = true;
    wake_.notify_all();
  }

 private:
  void serve(stand_ins::http_exchange& exchange) {
    std::unique_lock lock(mutex_);
    headers_.assign(exchange.request().begin(), exchange.request().end());
    ++requests_;
    wake_.wait_for(lock, seconds(8), [&] { return answering_; });
    if (!answer_field_.first.empty()) {
      exchange.set(answer_field_.first, answer_field_.second);
    }
    lock.unlock();
    exchange.answer(200, "seen");
  }

  endpoint local_;
  mutable std::mutex mutex_;
  std::condition_variable wake_;
  std::vector<std::pair<std::string, std::string>> headers_;
  bool answering_ = false;
  std::pair<std::string, std::string> answer_field_;
  std::atomic<std::uint64_t> requests_{0};
  std::atomic<bool> stopping_{false};
  stand_ins::http_server server_;
  std::thread announcer_;
};

http_answer inner_call(const machine& vm, const std::string& context) {
  return exchange({vm.address, 8'081},
                  {.target = "/gate/state", .headers = {{"Damaskledge-Context", context}}});
}

} // namespace

TEST_CASE("no upstream sees a key, wherever the caller puts it") {
  // Guards against keys in forwarded headers, paths, queries and bodies.
  fleet& all = shared();
  const std::string key = all.key("crews");
  const machine& node = all.machines()[0];
  const endpoint at = all.caller_endpoint(node);
  const std::vector<std::map<std::string, std::string>> places{
      {{"Authorization", "Bearer " + key}},
      {{"X-Api-Key", key}},
      {{"Authorization", "Bearer " + key}, {"X-Api-Key", key}},
      {{"Authorization", "Bearer " + key}, {"X-Copy", key}},
      {{"X-Api-Key", key}, {"Cookie", "session=" + key + "; other=1"}},
      {{"Authorization", "Bearer " + key}, {"Referer", "http://a/?api_key=" + key}}};
  for (const auto& it : places) {
    CHECK(exchange(at, {.target = "/dispatch/state", .headers = it}).status == 200);
  }
  CHECK(exchange(at, {.target = "/dispatch/state?api_key=" + key + "&call=a"}).status == 200);
  CHECK(exchange(at, {.target = "/dispatch/state?call=a&api_key=" + key}).status == 200);

  const std::size_t before = all.executions("dispatch").size();
  const auto refused = [&](const http_request& request) {
    const auto answer = exchange(at, request);
    INFO(request.target, " ", answer.status, " ", answer.body);
    CHECK(answer.status == 400);
    CHECK(answer.header("Damaskledge-Outcome") == "not-run");
  };
  const std::map<std::string, std::string> usual{{"Authorization", "Bearer " + key}};
  refused({.target = "/dispatch/state/" + key, .headers = usual});
  refused({.target = "/dispatch/state?note=" + key, .headers = usual});
  refused({.target = "/dispatch/state/%64" + key.substr(1), .headers = usual});
  refused({.method = "POST",
           .target = "/dispatch/confirm",
           .headers = usual,
           .body = R"({"dispatch_number": "leak", "note": ")" + key + "\"}"});
  CHECK(all.executions("dispatch").size() == before);
  CHECK(all.leaked_keys() == 0);
  CHECK_FALSE(all.violated());
}

TEST_CASE("a caller can't set what the node says about it") {
  // Guards against callers that choose their account, importance or request id.
  fleet& all = shared();
  look_server look(all.machines()[0]);
  look.answer_all();
  const std::string forged_id(32, 'a');
  const std::map<std::string, std::string> headers{
      {"Damaskledge-Account", "crews"},       {"damaskledge-account", "crews"},
      {"Damaskledge-Importance", "critical"}, {"Damaskledge-Request-Id", forged_id},
      {"Damaskledge-Attempt", forged_id},     {"Damaskledge-Deadline-Ms", "99999999"},
      {"Damaskledge-Context", "forged"},      {"Damaskledge-Other", "1"}};
  http_answer answer;
  CHECK(wait_until(
      [&] {
        answer = all.call(all.machines()[4], "growers", "GET", "/look/look", "", headers);
        return answer.status == 200;
      },
      settle_limit));
  CHECK(look.header("Damaskledge-Account") == "growers");
  CHECK(look.header("Damaskledge-Importance") == "normal");
  CHECK(look.header("Damaskledge-Request-Id") == answer.header("Damaskledge-Request-Id"));
  CHECK(look.header("Damaskledge-Request-Id") != forged_id);
  CHECK(look.header("Damaskledge-Attempt") != forged_id);
  CHECK(look.header("Damaskledge-Other").empty());
  const auto seen = look.headers();
  for (const char* name : {"damaskledge-account", "damaskledge-importance",
                           "damaskledge-request-id", "damaskledge-context"}) {
    CHECK(std::count_if(seen.begin(), seen.end(), [&](const auto& it) {
            return std::equal(
                it.first.begin(), it.first.end(), name, name + std::strlen(name),
                [](unsigned char a, unsigned char b) { return std::tolower(a) == b; });
          }) == 1);
  }
}

TEST_CASE("line ends in an encoded word add no field to a request or an answer") {
  // Guards against the HTTP library's decoder (RFC 2047), which runs after the headers' check.
  fleet& all = shared();
  const machine& node = all.machines()[4];
  look_server look(all.machines()[0]);
  look.answer_all();
  const auto call = [&](const std::map<std::string, std::string>& headers) {
    return all.call(node, "growers", "GET", "/look/look", "", headers);
  };
  REQUIRE(wait_until(
      [&] {
        return call({{"X-Title", "=?UTF-8?Q?plain?="}}).status == 200;
      },
      settle_limit));
  const auto before = look.requests();
  for (const std::string word : {
           // "x", line end, "Damaskledge-Account: crews"
           "=?UTF-8?B?eA0KRGFtYXNrbGVkZ2UtQWNjb3VudDogY3Jld3M=?=",
           // "x", end of the head, a request
           "=?UTF-8?B?eA0KDQpHRVQgL2xvb2svaGlkZGVuIEhUVFAvMS4xDQpIb3N0OiBub2RlDQoNCg==?=",
       }) {
    const auto answer = call({{"X-Title", word}});
    INFO(word, " ", answer.status, " ", answer.body);
    CHECK(answer.status == 400);
    CHECK(answer.header("Damaskledge-Outcome") == "not-run");
  }
  CHECK(look.requests() == before);

  // "x", line end, "X-Hidden: 1"
  look.answer_with("X-Title", "=?UTF-8?B?eA0KWC1IaWRkZW46IDE=?=");
  const auto answer = call({});
  CHECK(answer.status == 502);
  CHECK(answer.header("X-Hidden").empty());
  CHECK_FALSE(all.violated());
}

TEST_CASE("context tokens work only at their own VM, unchanged, while their request runs") {
  // Guards against an upstream that uses a caller's identity elsewhere or later.
  fleet& all = shared();
  const machine& vm = all.machines()[1];
  look_server look(vm);
  http_answer answer;
  // The first calls may come before the nodes know the new target.
  std::thread caller([&] {
    wait_until(
        [&] {
          answer = all.call(all.machines()[5], "growers", "GET", "/look/look");
          return answer.status == 200;
        },
        settle_limit);
  });
  REQUIRE(wait_until([&] { return look.requests() == 1; }, settle_limit));
  const std::string token = look.header("Damaskledge-Context");
  REQUIRE(token.size() > 40);

  CHECK(inner_call(vm, token).status == 200);
  for (const machine& other : all.machines()) {
    if (&other != &vm) {
      const auto copied = inner_call(other, token);
      CHECK(copied.status == 401);
      CHECK(copied.header("Damaskledge-Reason") == "context-invalid");
    }
  }
  for (const std::size_t at :
       {std::size_t{0}, token.size() / 3, token.size() / 2, token.size() - 3}) {
    std::string forged = token;
    forged[at] = forged[at] == 'A' ? 'B' : 'A';
    const auto refused = inner_call(vm, forged);
    INFO("changed character ", at);
    CHECK(refused.status == 401);
    CHECK(refused.header("Damaskledge-Reason") == "context-invalid");
  }
  CHECK(inner_call(vm, "").status == 401);
  CHECK(inner_call(vm, "garbage").status == 401);
  // The callers' port accepts keys only.
  const auto outside =
      exchange(all.caller_endpoint(vm),
               {.target = "/gate/state", .headers = {{"Damaskledge-Context", token}}});
  CHECK(outside.status == 401);
  CHECK(outside.header("Damaskledge-Reason") == "key-missing");

  look.answer_all();
  caller.join();
  CHECK(answer.status == 200);
  http_answer late;
  // The token's deadline is 10 s after the request; the notice of its end must come before.
  CHECK(wait_until(
      [&] {
        late = inner_call(vm, token);
        return late.status == 401;
      },
      milliseconds(4'000)));
  CHECK(late.header("Damaskledge-Reason") == "context-ended");
}

TEST_CASE("a key that is withdrawn during a chain of calls stops the next inner call") {
  // Guards against chains that go on for a withdrawn key until their deadline.
  fleet& all = shared();
  all.give_key("reader");
  const std::string id = all.key_id("reader");
  // The outer call works for 3.4 s of its 4 s before it makes the inner call.
  all.upstream_behaviour("dispatch", {{"slowdown", 680}});
  const std::size_t before = all.executions("dispatch").size();
  http_answer answer;
  std::thread caller(
      [&] { answer = all.call(all.machines()[2], "reader", "GET", "/dispatch/state"); });
  CHECK(wait_until([&] { return all.executions("dispatch").size() > before; }, seconds(3)));
  CHECK(all.control({"keys", "withdraw", id}).exit_code == 0);
  caller.join();
  all.upstream_behaviour("dispatch", {{"slowdown", 1}});
  INFO(answer.status, " ", answer.body);
  CHECK(answer.status == 502);
  CHECK(all.count_executions("gate", "request_id", answer.header("Damaskledge-Request-Id")) == 0);
  all.give_key("reader");
  REQUIRE(all.settled(settle_limit));
}

TEST_CASE("a key that is withdrawn while its caller is connected is refused on every node") {
  // Guards against nodes that check a key only when a connection is opened.
  fleet& all = shared();
  const std::string key = all.key("growers");
  std::vector<kept_connection> connections;
  for (const machine& node : all.machines()) {
    connections.emplace_back(all.caller_endpoint(node));
  }
  const http_request request{.target = "/gate/state",
                             .headers = {{"Authorization", "Bearer " + key}}};
  for (auto& it : connections) {
    REQUIRE(it.exchange(request).status == 200);
  }
  const time_point before = clock_type::now();
  CHECK(all.control({"keys", "withdraw", all.key_id("growers")}).exit_code == 0);
  const time_point withdrawn = clock_type::now();
  std::vector<time_point> refused(connections.size());
  std::vector<std::thread> callers;
  std::atomic<int> accepted_again{0};
  for (std::size_t it = 0; it < connections.size(); ++it) {
    callers.emplace_back([&, it] {
      while (clock_type::now() < withdrawn + 2 * withdrawal_limit) {
        const auto answer = connections[it].exchange(request);
        const bool is_refused = answer.header("Damaskledge-Reason") == "key-withdrawn";
        if (is_refused && refused[it] == time_point{}) {
          refused[it] = clock_type::now();
        }
        accepted_again += answer.status == 200 && refused[it] != time_point{} ? 1 : 0;
        std::this_thread::sleep_for(milliseconds(10));
      }
    });
  }
  for (std::thread& it : callers) {
    it.join();
  }
  duration longest{0};
  for (std::size_t it = 0; it < connections.size(); ++it) {
    CHECK(refused[it] != time_point{});
    CHECK(refused[it] < withdrawn + withdrawal_limit);
    CHECK(connections[it].opened() == 1);
    longest = std::max<duration>(longest, refused[it] - before);
  }
  CHECK(accepted_again == 0);
  MESSAGE("refused on all nodes within ", std::chrono::duration_cast<milliseconds>(longest).count(),
          " ms of the start of damaskledgectl");
  all.give_key("growers");
  REQUIRE(all.settled(settle_limit));
}

TEST_CASE("a key is withdrawn while a data centre has lost only the platform") {
  // Guards against a data centre that learns of withdrawals from the platform alone.
  fleet& all = shared();
  all.cut_platform("dc2");
  std::this_thread::sleep_for(milliseconds(500));
  const std::string key = all.key("growers");
  CHECK(all.control({"keys", "withdraw", all.key_id("growers")}).exit_code == 0);
  const time_point withdrawn = clock_type::now();
  for (const machine& node : all.machines()) {
    CHECK(wait_until(
        [&] {
          return exchange(
                     all.caller_endpoint(node),
                     {.target = "/gate/state", .headers = {{"Authorization", "Bearer " + key}}})
                     .header("Damaskledge-Reason") == "key-withdrawn";
        },
        std::chrono::duration_cast<milliseconds>(withdrawn + withdrawal_limit -
                                                 clock_type::now())));
  }
  all.heal();
  all.give_key("growers");
  REQUIRE(all.settled(settle_limit));
}

TEST_CASE("the upstreams' counter of leaked keys sees a key that is sent to them") {
  // Guards against a check of leaks that can't fail. Last, because it leaves the counter at 1.
  fleet& all = shared();
  CHECK(all.leaked_keys() == 0);
  exchange(all.upstream_endpoint(all.machines()[0]),
           {.target = "/state", .headers = {{"X-Copy", all.key("crews")}}});
  CHECK(all.leaked_keys() == 1);
  CHECK(all.false_refusals() == std::vector<std::string>{});
  CHECK_FALSE(all.violated());
}

} // namespace damaskledge::failure
