// Promises P10 and P11: a target that leaves gets no new work after a few seconds, and a graceful
// stop cuts no request.
#include <algorithm>
#include <atomic>
#include <thread>

#include <doctest/doctest.h>

#include "failure/fleet.h"

namespace damaskledge::failure {
namespace {

constexpr milliseconds settle_limit{30'000};
/// "A few seconds" of promise P10; the stand-in itself refuses work 3 s after its drain began.
constexpr milliseconds leaving_limit{3'000};

fleet& shared() {
  static fleet instance("leaving", small_plan(35));
  static const bool started = instance.start();
  REQUIRE(started);
  return instance;
}

/// Callers on kept-alive connections to all nodes. A caller whose node refuses connections or
/// answers "Connection: close" goes on at the next node.
class load {
 public:
  explicit load(fleet& all) : all_(all) {
    for (std::size_t caller = 0; caller < 12; ++caller) {
      threads_.emplace_back([this, caller] { run(caller); });
    }
  }
  ~load() { stop(); }
  load(const load&) = delete;
  load& operator=(const load&) = delete;

  void stop() {
    stopping_ = true;
    for (std::thread& it : threads_) {
      if (it.joinable()) {
        it.join();
      }
    }
  }
  /// Requests that were sent and got no whole answer, or an answer that the work was cut off.
  int cut() const { return cut_; }
  int answered() const { return answered_; }
  int refused() const { return refused_; }

 private:
  void run(std::size_t caller) {
    std::size_t at = caller;
    while (!stopping_) {
      const machine& node = all_.machines()[at % all_.machines().size()];
      kept_connection connection(all_.caller_endpoint(node));
      bool stay = true;
      while (stay && !stopping_) {
        const time_point sent = clock_type::now();
        const auto answer =
            connection.exchange({.target = "/dispatch/state",
                                 .headers = {{"Authorization", "Bearer " + all_.key("crews")}}});
        all_.record({"crews", "/dispatch/state", "", answer.status,
                     answer.header("Damaskledge-Reason"), answer.header("Damaskledge-Outcome"),
                     answer.header("Damaskledge-Request-Id"), sent, clock_type::now()});
        if (answer.status == 200) {
          ++answered_;
        } else if (answer.header("Damaskledge-Outcome") == "not-run") {
          ++refused_;
        } else if (!answer.connect_failed) {
          ++cut_;
        }
        stay =
            !answer.connect_failed && answer.status != 0 && answer.header("Connection") != "Close";
        std::this_thread::sleep_for(milliseconds(10));
      }
      ++at;
    }
  }

  fleet& all_;
  std::atomic<bool> stopping_{false};
  std::atomic<int> cut_{0};
  std::atomic<int> answered_{0};
  std::atomic<int> refused_{0};
  std::vector<std::thread> threads_;
};

std::uint64_t counter(fleet& all, const machine& it, const std::string& name) {
  const auto counters = exchange(all.upstream_endpoint(it), {.target = "/control"}).json();
  return counters.is_object() ? counters.value(name, std::uint64_t{0}) : 0;
}

} // namespace

TEST_CASE("an upstream that drains gets no new work and no request is cut") {
  // Guards against work that goes on to a target that said it leaves.
  fleet& all = shared();
  machine& leaving = *all.of_service("dispatch").front();
  load callers(all);
  REQUIRE(wait_until([&] { return counter(all, leaving, "executed") > 20; }, settle_limit));
  exchange(all.upstream_endpoint(leaving), {.method = "POST", .target = "/control/drain"});
  std::this_thread::sleep_for(leaving_limit);
  const auto executed = counter(all, leaving, "executed");
  const auto refused = counter(all, leaving, "refused_draining");
  std::this_thread::sleep_for(milliseconds(2'000));
  callers.stop();
  CHECK(counter(all, leaving, "executed") == executed);
  // Work that was still sent to it would be refused by the stand-in.
  CHECK(counter(all, leaving, "refused_draining") == refused);
  CHECK(callers.answered() > 100);
  CHECK(callers.cut() == 0);
  leaving.upstream.reset();
  all.start_upstream(leaving);
  REQUIRE(all.settled(settle_limit));
}

TEST_CASE("an upstream that stops with SIGTERM under load cuts no request") {
  // Guards against a stop that closes connections with requests on them.
  fleet& all = shared();
  machine& leaving = *all.of_service("dispatch")[1];
  load callers(all);
  REQUIRE(wait_until([&] { return counter(all, leaving, "executed") > 20; }, settle_limit));
  leaving.upstream->signal(SIGTERM);
  CHECK(leaving.upstream->wait(milliseconds(20'000)) == 0);
  std::this_thread::sleep_for(milliseconds(1'000));
  callers.stop();
  CHECK(callers.answered() > 100);
  CHECK(callers.cut() == 0);
  all.start_upstream(leaving);
  REQUIRE(all.settled(settle_limit));
}

TEST_CASE("an upstream that is killed gets no new work after a few seconds") {
  // Guards against requests that go on failing at a dead target.
  fleet& all = shared();
  machine& killed = *all.of_service("dispatch")[2];
  {
    load callers(all);
    REQUIRE(wait_until([&] { return counter(all, killed, "executed") > 20; }, settle_limit));
    killed.upstream->signal(SIGKILL);
    killed.upstream->wait(milliseconds(5'000));
    std::this_thread::sleep_for(leaving_limit);
  }
  load callers(all);
  std::this_thread::sleep_for(milliseconds(2'000));
  callers.stop();
  CHECK(callers.answered() > 50);
  CHECK(callers.cut() == 0);
  CHECK(callers.refused() == 0);
  all.start_upstream(killed);
  REQUIRE(all.settled(settle_limit));
}

TEST_CASE("a node that stops with SIGTERM under load cuts no request") {
  // Guards against a node that ends while callers wait for answers.
  fleet& all = shared();
  // Requests that take 100 ms, so that some are in flight at any time.
  all.upstream_behaviour("dispatch", {{"slowdown", 20}});
  machine& leaving = all.machines()[4];
  load callers(all);
  std::this_thread::sleep_for(milliseconds(1'500));
  leaving.node->signal(SIGTERM);
  CHECK(leaving.node->wait(milliseconds(20'000)) == 0);
  std::this_thread::sleep_for(milliseconds(1'000));
  callers.stop();
  CHECK(callers.answered() > 50);
  CHECK(callers.cut() == 0);
  all.upstream_behaviour("dispatch", {{"slowdown", 1}});
  all.start_node(leaving);
  REQUIRE(all.settled(settle_limit));
  CHECK(all.false_refusals() == std::vector<std::string>{});
  CHECK_FALSE(all.violated());
}

} // namespace damaskledge::failure
