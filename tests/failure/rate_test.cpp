// Rates and bursts of client accounts over the whole fleet, while coordinators die and pause.
// The callers' own records decide.
#include <algorithm>
#include <atomic>
#include <thread>

#include <doctest/doctest.h>

#include "failure/fleet.h"

namespace damaskledge::failure {
namespace {

constexpr milliseconds settle_limit{30'000};
constexpr double greedy_rate = 100;
constexpr double greedy_burst = 60;

fleet& shared() {
  static fleet instance("rate", [] {
    fleet_plan plan = small_plan(32);
    plan.accounts["accounts"].push_back({{"name", "greedy"}, {"plan", "limited"}});
    plan.accounts["accounts"].push_back({{"name", "modest"}, {"plan", "limited"}});
    nlohmann::json limited = plan.plans["plans"][0];
    limited["name"] = "limited";
    limited["rate"] = greedy_rate;
    limited["burst"] = greedy_burst;
    plan.plans["plans"].push_back(limited);
    return plan;
  }());
  static const bool started = instance.start();
  REQUIRE(started);
  return instance;
}

struct admission {
  time_point sent;
  time_point ended;
};

double seconds_between(time_point from, time_point to) {
  return std::chrono::duration<double>(to - from).count();
}

/// Each admission took place between its request's first byte and its answer, so the admissions
/// that lie wholly in an interval are a lower bound of those in it.
/// @return the largest number of tokens by which an interval exceeds burst + rate * length; at
/// most 0 when the limit was kept.
double largest_excess(std::vector<admission> all, double rate, double burst) {
  std::sort(all.begin(), all.end(),
            [](const admission& a, const admission& b) { return a.ended < b.ended; });
  double worst = -burst;
  for (const admission& first : all) {
    double count = 0;
    for (const admission& it : all) {
      if (it.sent >= first.sent) {
        count += 1;
        worst = std::max(worst, count - burst - rate * seconds_between(first.sent, it.ended));
      }
    }
  }
  return worst;
}

} // namespace

TEST_CASE("the check of rates finds an excess of one token") {
  // Guards against a check that can't fail.
  std::vector<admission> all;
  const time_point start{};
  for (int it = 0; it < 20; ++it) {
    all.push_back({start, start + milliseconds(10)});
  }
  CHECK(largest_excess(all, 0.01, 20) <= 0);
  CHECK(largest_excess(all, 0.01, 19) > 0.9);
  for (int it = 1; it <= 100; ++it) {
    all.push_back({start + milliseconds(100 * it), start + milliseconds(100 * it + 10)});
  }
  CHECK(largest_excess(all, 10, 20.01) <= 0);
  CHECK(largest_excess(all, 5, 20.01) > 45);
}

TEST_CASE("an account far above its rate gets no more than rate and burst, whatever fails") {
  // Guards against tokens that are granted twice when a coordinator dies or pauses, or when a
  // data centre is cut off.
  fleet& all = shared();
  constexpr milliseconds length{14'000};
  const time_point start = clock_type::now();
  std::atomic<std::uint64_t> offered{0};
  std::vector<std::vector<admission>> admitted(all.machines().size() * 2);
  std::vector<std::thread> callers;
  for (std::size_t it = 0; it < admitted.size(); ++it) {
    callers.emplace_back([&, it] {
      const machine& node = all.machines()[it % all.machines().size()];
      kept_connection connection(all.caller_endpoint(node));
      const http_request request{.target = "/dispatch/state",
                                 .headers = {{"Authorization", "Bearer " + all.key("greedy")}}};
      while (clock_type::now() < start + length) {
        const time_point sent = clock_type::now();
        const auto answer = connection.exchange(request);
        const time_point ended = clock_type::now();
        ++offered;
        all.record({"greedy", request.target, "", answer.status,
                    answer.header("Damaskledge-Reason"), answer.header("Damaskledge-Outcome"),
                    answer.header("Damaskledge-Request-Id"), sent, ended});
        if (answer.status == 200) {
          admitted[it].push_back({sent, ended});
        }
        std::this_thread::sleep_for(milliseconds(5));
      }
    });
  }
  const machine& observer = all.machines()[2];
  machine* killed = all.coordinator("dc1", observer);
  machine* paused = all.coordinator("dc2", observer);
  std::this_thread::sleep_until(start + milliseconds(3'000));
  if (killed != nullptr && paused != nullptr) {
    killed->node->signal(SIGKILL);
    killed->node->wait(milliseconds(5'000));
    std::this_thread::sleep_until(start + milliseconds(4'000));
    // Past the coordinator's term of 3 s.
    paused->node->signal(SIGSTOP);
    std::this_thread::sleep_until(start + milliseconds(9'000));
    paused->node->signal(SIGCONT);
    all.start_node(*killed);
    all.cut("dc3", true);
    std::this_thread::sleep_until(start + milliseconds(12'000));
    all.heal();
  }
  for (std::thread& it : callers) {
    it.join();
  }
  REQUIRE(killed != nullptr);
  REQUIRE(paused != nullptr);
  std::vector<admission> together;
  for (const auto& it : admitted) {
    together.insert(together.end(), it.begin(), it.end());
  }
  const double time = seconds_between(start, clock_type::now());
  const double excess = largest_excess(together, greedy_rate, greedy_burst);
  MESSAGE("offered ", offered.load(), ", admitted ", together.size(), " of at most ",
          greedy_burst + greedy_rate * time, "; largest excess of an interval ", excess);
  // Without demand above the limit and a good part of it served, the check says nothing.
  REQUIRE(static_cast<double>(offered) > 3 * greedy_rate * time);
  CHECK(static_cast<double>(together.size()) > 0.2 * greedy_rate * time);
  CHECK(excess <= 0);
  REQUIRE(all.settled(settle_limit));
  CHECK(all.false_refusals() == std::vector<std::string>{});
  CHECK_FALSE(all.violated());
}

TEST_CASE("an account inside its rate whose demand sits on one node is hardly ever refused") {
  // Guards against fixed shares of nodes or data centres: one data centre's share is 33/s.
  fleet& all = shared();
  constexpr int calls = 480;
  constexpr milliseconds interval{1'000 / 60};
  kept_connection connection(all.caller_endpoint(all.machines()[1]));
  int refused = 0;
  int answered = 0;
  time_point next = clock_type::now();
  for (int it = 0; it < calls; ++it) {
    std::this_thread::sleep_until(next);
    // A late call is not made up for: the demand must stay inside the rate.
    next = std::max(next, clock_type::now()) + interval;
    const auto answer =
        connection.exchange({.target = "/dispatch/state",
                             .headers = {{"Authorization", "Bearer " + all.key("modest")}}});
    answered += answer.status == 200 ? 1 : 0;
    refused += answer.header("Damaskledge-Reason") == "rate-exceeded" ? 1 : 0;
  }
  MESSAGE("refused ", refused, " of ", calls, " calls at 60/s on one node; answered ", answered);
  CHECK(refused <= calls / 50);
  CHECK(answered + refused >= calls * 95 / 100);
}

} // namespace damaskledge::failure
