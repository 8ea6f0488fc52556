// Promise P7: a caller gets the complete answer to its own request, or is told that it did not.
#include <atomic>
#include <thread>

#include <doctest/doctest.h>

#include "failure/fleet.h"
#include "http/raw_server.h"
#include "stand_ins/http_server.h"

namespace damaskledge::failure {
namespace {

fleet& shared() {
  static fleet instance("answers", [] {
    fleet_plan plan = small_plan(33);
    plan.plans["routes"].push_back({{"name", "late"},
                                    {"service", "late"},
                                    {"method", "GET"},
                                    {"path", "/state"},
                                    {"deadline", "4s"}});
    plan.plans["routes"].push_back(
        {{"name", "raw"}, {"service", "raw"}, {"method", "GET"}, {"path", "/state"}});
    plan.plans["routes"].back()["deadline"] = "4s";
    plan.plans["plans"][0]["routes"].push_back("late");
    plan.plans["plans"][0]["routes"].push_back("raw");
    return plan;
  }());
  static const bool started = instance.start();
  REQUIRE(started);
  return instance;
}

struct totals {
  std::atomic<int> whole{0};
  std::atomic<int> wrong{0};
  std::atomic<int> truncated{0};
  std::atomic<int> failed{0};
  std::atomic<int> late{0};
};

/// Callers on kept-alive connections to all nodes. Each answer with status 200 is checked: the
/// stand-in ends its body with the call's own text and the request id.
class checked_load {
 public:
  checked_load(fleet& all, totals& counts, std::size_t body_bytes, std::string service = "dispatch",
               std::string timeout_ms = "")
      : all_(all), counts_(counts), body_bytes_(body_bytes), service_(std::move(service)),
        timeout_ms_(std::move(timeout_ms)) {
    for (std::size_t caller = 0; caller < 12; ++caller) {
      threads_.emplace_back([this, caller] { run(caller); });
    }
  }
  ~checked_load() {
    stopping_ = true;
    for (std::thread& it : threads_) {
      it.join();
    }
  }
  checked_load(const checked_load&) = delete;
  checked_load& operator=(const checked_load&) = delete;

 private:
  void run(std::size_t caller) {
    const machine& node = all_.machines()[caller % all_.machines().size()];
    kept_connection connection(all_.caller_endpoint(node));
    for (int it = 0; !stopping_; ++it) {
      const std::string call = "c" + std::to_string(caller) + "-" + std::to_string(it);
      http_request request{.target = "/" + service_ + "/state?call=" + call,
                           .headers = {{"Authorization", "Bearer " + all_.key("crews")}}};
      if (!timeout_ms_.empty()) {
        request.headers["Damaskledge-Timeout-Ms"] = timeout_ms_;
      }
      const time_point sent = clock_type::now();
      const auto answer = connection.exchange(request);
      const std::string id = answer.header("Damaskledge-Request-Id");
      const std::string reason = answer.header("Damaskledge-Reason");
      all_.record({"crews", request.target, "", answer.status, reason,
                   answer.header("Damaskledge-Outcome"), id, sent, clock_type::now()});
      if (answer.status == 200) {
        const bool own = answer.body.size() == body_bytes_ &&
                         answer.body.ends_with("|" + call + "|" + id) && !id.empty();
        ++(own ? counts_.whole : counts_.wrong);
      }
      counts_.truncated += reason == "answer-truncated" ? 1 : 0;
      counts_.failed += reason == "upstream-failed" ? 1 : 0;
      counts_.late += reason == "deadline-exceeded" ? 1 : 0;
      std::this_thread::sleep_for(milliseconds(10));
    }
  }

  fleet& all_;
  totals& counts_;
  std::size_t body_bytes_;
  std::string service_;
  std::string timeout_ms_;
  std::atomic<bool> stopping_{false};
  std::vector<std::thread> threads_;
};

/// Upstreams of service "late" on all VMs. Unlike the stand-in they ignore deadlines and closed
/// connections: every third request is answered 150 ms late, but whole.
class late_service {
 public:
  static constexpr std::size_t body_bytes = 300;

  explicit late_service(fleet& all) {
    for (const machine& vm : all.machines()) {
      servers_.push_back(std::make_unique<stand_ins::http_server>(endpoint{vm.address, 9'100}, 64,
                                                                  [this](auto& it) { serve(it); }));
    }
    announcer_ = std::thread([this, &all] {
      while (!stopping_) {
        for (const machine& vm : all.machines()) {
          exchange({vm.address, 8'081},
                   {.method = "POST",
                    .target = "/.damaskledge/announce",
                    .body = R"({"service":"late","port":9100,"slots":30,"connections":64})"});
        }
        std::this_thread::sleep_for(milliseconds(500));
      }
    });
  }
  ~late_service() {
    stopping_ = true;
    announcer_.join();
    for (auto& it : servers_) {
      it->stop();
    }
  }
  late_service(const late_service&) = delete;
  late_service& operator=(const late_service&) = delete;

 private:
  void serve(stand_ins::http_exchange& it) {
    if (++requests_ % 3 == 0) {
      std::this_thread::sleep_for(milliseconds(150));
    }
    const std::string tail = "|" + it.parameter("call") + "|" + it.header("Damaskledge-Request-Id");
    it.answer(200, std::string(body_bytes - tail.size(), '.') + tail);
  }

  std::atomic<std::uint64_t> requests_{0};
  std::atomic<bool> stopping_{false};
  std::vector<std::unique_ptr<stand_ins::http_server>> servers_;
  std::thread announcer_;
};

} // namespace

TEST_CASE("truncated and lost answers never reach the caller as whole ones") {
  // Guards against an answer that is forwarded before its end is known.
  fleet& all = shared();
  totals counts;
  {
    const checked_load callers(all, counts, 256);
    for (int round = 0; round < 15; ++round) {
      all.upstream_behaviour("dispatch", {{"truncate_answers", 1}, {"lose_answers", 1}});
      std::this_thread::sleep_for(milliseconds(250));
    }
  }
  MESSAGE(counts.whole.load(), " whole, ", counts.truncated.load(), " truncated, ",
          counts.failed.load(), " lost");
  CHECK(counts.wrong == 0);
  CHECK(counts.whole > 100);
  CHECK(counts.truncated >= 10);
  CHECK(counts.failed >= 10);
  CHECK(all.false_refusals() == std::vector<std::string>{});
}

TEST_CASE("large truncated answers never reach the caller as whole ones") {
  // Guards against an answer that fills the node's buffers before it ends early.
  fleet& all = shared();
  totals counts;
  all.upstream_behaviour("dispatch", {{"body_bytes", 300'000}});
  {
    const checked_load callers(all, counts, 300'000);
    for (int round = 0; round < 6; ++round) {
      all.upstream_behaviour("dispatch", {{"truncate_answers", 1}});
      std::this_thread::sleep_for(milliseconds(250));
    }
  }
  all.upstream_behaviour("dispatch", {{"body_bytes", 256}, {"truncate_answers", 0}});
  CHECK(counts.wrong == 0);
  CHECK(counts.whole > 20);
  CHECK(counts.truncated >= 3);
}

TEST_CASE("malformed and broken answers never reach the caller") {
  fleet& all = shared();
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  const std::string good = ok + "Content-Length: 4\r\n\r\nseen";
  const machine& vm = all.machines()[0];
  test::raw_server upstream(good, test::then::reset, {vm.address, 9'200});
  const auto call = [&] { return all.call(vm, "crews", "GET", "/raw/state"); };
  const auto announce = [&] {
    exchange({vm.address, 8'081},
             {.method = "POST",
              .target = "/.damaskledge/announce",
              .body = R"({"service":"raw","port":9200,"slots":8,"connections":16})"});
  };
  for (const auto& it : {
           std::string("HTTP/1.1 000 Trouble\r\nContent-Length: 0\r\n\r\n"),
           ok + "X Other: 1\r\nContent-Length: 4\r\n\r\nseen",
           ok + "Content-Length: 4\r\n\rX-Other: 1\r\n\r\nseen",
           ok + "Transfer-Encoding: chunked\r\n\r\n4\r\nseen\r\n",
       }) {
    CAPTURE(it);
    upstream.answer_with(good);
    REQUIRE(wait_until(
        [&] {
          announce();
          return call().status == 200;
        },
        milliseconds(15'000)));
    upstream.answer_with(it);
    const auto answer = call();
    CHECK(answer.status == 502);
    CHECK(answer.body.find("seen") == std::string::npos);
    CHECK(answer.header("Damaskledge-Outcome") == "unknown");
  }
  CHECK_FALSE(all.violated());
}

TEST_CASE("an answer that comes after its deadline goes to nobody") {
  // Guards against a connection that is used again while an earlier answer is still to come.
  fleet& all = shared();
  const late_service upstreams(all);
  totals counts;
  {
    const checked_load callers(all, counts, late_service::body_bytes, "late", "100");
    wait_until([&] { return counts.late > 50 && counts.whole > 100; }, milliseconds(15'000));
  }
  MESSAGE(counts.whole.load(), " whole, ", counts.late.load(), " late");
  CHECK(counts.wrong == 0);
  CHECK(counts.whole > 100);
  CHECK(counts.late > 50);
  CHECK(all.false_refusals() == std::vector<std::string>{});
  CHECK_FALSE(all.violated());
}

} // namespace damaskledge::failure
