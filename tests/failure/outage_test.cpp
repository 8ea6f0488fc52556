// Service of idempotent requests while the platform is down and just after it.
#include <algorithm>
#include <atomic>
#include <thread>

#include <doctest/doctest.h>

#include "failure/fleet.h"

namespace damaskledge::failure {
namespace {

constexpr milliseconds settle_limit{30'000};

fleet& shared() {
  static fleet instance("outage", small_plan(39));
  static const bool started = instance.start();
  REQUIRE(started);
  return instance;
}

} // namespace

TEST_CASE("an outage of the platform costs an account inside its rate hardly any request") {
  // Guards against coordinators that are replaced although they live: a data centre without one
  // grants no tokens, so that all its requests are refused as rate-exceeded.
  fleet& all = shared();
  std::atomic<bool> stopping{false};
  std::atomic<int> calls{0};
  std::atomic<int> answered{0};
  std::atomic<int> over_rate{0};
  std::vector<std::thread> callers;
  for (const machine& node : all.machines()) {
    callers.emplace_back([&] {
      kept_connection connection(all.caller_endpoint(node));
      while (!stopping) {
        const auto answer =
            connection.exchange({.target = "/dispatch/state",
                                 .headers = {{"Authorization", "Bearer " + all.key("crews")}}});
        ++calls;
        answered += answer.status == 200 ? 1 : 0;
        over_rate += answer.header("Damaskledge-Reason") == "rate-exceeded" ? 1 : 0;
        std::this_thread::sleep_for(milliseconds(20));
      }
    });
  }
  for (int round = 0; round < 2; ++round) {
    std::this_thread::sleep_for(milliseconds(1'500));
    all.platform_faults({{"outage", true}});
    // Past the coordinator's term of 3 s.
    std::this_thread::sleep_for(milliseconds(5'000));
    all.platform_faults({{"outage", false}});
    std::this_thread::sleep_for(milliseconds(4'500));
  }
  stopping = true;
  for (std::thread& it : callers) {
    it.join();
  }
  MESSAGE("of ", calls.load(), " calls ", answered.load(), " answered, ", over_rate.load(),
          " refused as rate-exceeded");
  REQUIRE(calls > 1'000);
  CHECK(over_rate <= calls / 50);
  CHECK(answered >= calls * 95 / 100);
  REQUIRE(all.settled(settle_limit));
  CHECK_FALSE(all.violated());
}

} // namespace damaskledge::failure
