// A request that crashes every upstream that runs it, sent again and again by its caller.
#include <algorithm>
#include <thread>

#include <doctest/doctest.h>

#include "failure/fleet.h"

namespace damaskledge::failure {
namespace {

constexpr milliseconds settle_limit{30'000};

fleet& shared() {
  static fleet instance("crash", small_plan(36));
  static const bool started = instance.start();
  REQUIRE(started);
  return instance;
}

std::size_t living(fleet& all) {
  const auto targets = all.of_service("dispatch");
  return static_cast<std::size_t>(std::count_if(
      targets.begin(), targets.end(), [](machine* it) { return it->upstream->running(); }));
}

void restart_dead(fleet& all) {
  for (machine* it : all.of_service("dispatch")) {
    if (!it->upstream->running()) {
      all.start_upstream(*it);
    }
  }
  REQUIRE(all.settled(settle_limit));
}

} // namespace

TEST_CASE("a crashing read that is sent again through all nodes does not kill every target") {
  // Guards against one request that takes a whole service down.
  fleet& all = shared();
  for (int round = 0; round < 2; ++round) {
    for (const machine& node : all.machines()) {
      const auto answer = all.call(node, "crews", "GET", "/dispatch/state", "", {{"X-Crash", "1"}});
      INFO(answer.status, " ", answer.body);
      CHECK(answer.status != 200);
    }
  }
  MESSAGE(living(all), " of 3 targets live");
  CHECK(living(all) >= 1);
  // The service goes on for everybody else.
  CHECK(wait_until(
      [&] {
        return all.call(all.machines()[0], "growers", "GET", "/dispatch/state").status == 200;
      },
      settle_limit));
  CHECK(all.false_refusals() == std::vector<std::string>{});
  restart_dead(all);
}

TEST_CASE("a crashing write with a new operation id each time does not kill every target") {
  // Guards against recognition by the operation id, which such a caller changes.
  fleet& all = shared();
  int sent = 0;
  for (int round = 0; round < 2; ++round) {
    for (const machine& node : all.machines()) {
      const auto answer = all.call(node, "growers", "POST", "/dispatch/deposits",
                                   R"({"title": "song", "crash": true})",
                                   {{"Idempotency-Key", "crash-" + std::to_string(sent++)}});
      INFO(answer.status, " ", answer.body);
      CHECK(answer.status != 200);
    }
  }
  MESSAGE(living(all), " of 3 targets live");
  CHECK(living(all) >= 1);
  CHECK(wait_until(
      [&] {
        return all.call(all.machines()[3], "crews", "GET", "/dispatch/state?after=1").status == 200;
      },
      settle_limit));
  CHECK(all.most_executions("dispatch", "operation") <= 1);
  CHECK(all.false_refusals() == std::vector<std::string>{});
  restart_dead(all);
}

TEST_CASE("other requests on a target that crashes are not taken for the culprit") {
  // Guards against suspects that are only bystanders.
  fleet& all = shared();
  all.upstream_behaviour("dispatch", {{"slowdown", 60}});
  std::vector<std::thread> bystanders;
  for (std::size_t it = 0; it < 24; ++it) {
    bystanders.emplace_back([&all, it] {
      all.call(all.machines()[it % 6], "growers", "GET",
               "/dispatch/state?bystander=" + std::to_string(it));
    });
  }
  std::this_thread::sleep_for(milliseconds(100));
  all.call(all.machines()[5], "crews", "GET", "/dispatch/state?culprit=1", "", {{"X-Crash", "1"}});
  for (std::thread& it : bystanders) {
    it.join();
  }
  restart_dead(all);
  for (std::size_t it = 0; it < 24; ++it) {
    const auto again = all.call(all.machines()[it % 6], "growers", "GET",
                                "/dispatch/state?bystander=" + std::to_string(it));
    INFO(again.status, " ", again.body);
    CHECK(again.header("Damaskledge-Reason") != "suspected-crash");
  }
  CHECK(all.false_refusals() == std::vector<std::string>{});
  CHECK_FALSE(all.violated());
}

} // namespace damaskledge::failure
