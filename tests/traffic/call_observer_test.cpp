#include <chrono>
#include <ctime>
#include <map>
#include <random>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "traffic/traffic.h"

using namespace damaskledge;

namespace {

/// Runs of one route at a target: how often they come, how long they last, how many calls each
/// makes one after the other.
struct route_load {
  std::string name;
  double per_s = 0;
  double seconds = 0;
  int calls = 0;
};

/// What a node does with its observer, and how often.
constexpr int ticks_per_interval = 50;
constexpr int ticks_per_estimate = 1'000;
constexpr int simulated_ticks = 20'000;

struct observation {
  /// Calls attributed to one run of each route.
  std::map<std::string, double> calls;
  /// Processor time of the periodic work.
  duration processor_time{};
};

duration processor_clock() {
  timespec value{};
  ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &value);
  return std::chrono::seconds(value.tv_sec) + std::chrono::nanoseconds(value.tv_nsec);
}

/// Simulates 20 s of the routes running together, unless the periodic work exceeds `limit` before.
observation observe(const std::vector<route_load>& routes, unsigned seed,
                    duration limit = duration::max()) {
  struct run {
    const route_load* route = nullptr;
    time_point started;
    time_point end;
    int calls_made = 0;
  };
  traffic::call_observer observer;
  std::mt19937 random{seed};
  std::vector<run> runs;
  time_point now{seconds(1)};
  observation result;
  std::vector<traffic::call_ratio> ratios;
  for (int tick = 1; tick <= simulated_ticks && result.processor_time < limit; ++tick) {
    now += milliseconds(1);
    for (const auto& it : routes) {
      std::poisson_distribution<int> arrivals(it.per_s * 0.001);
      for (int n = arrivals(random); n > 0; --n) {
        std::exponential_distribution<double> length(1 / it.seconds);
        const auto held = std::chrono::duration_cast<duration>(
            std::chrono::duration<double>(0.005 + length(random)));
        runs.push_back({&it, now, now + held, 0});
        observer.run_started(now, it.name);
      }
    }
    std::erase_if(runs, [&](run& it) {
      const int due = static_cast<int>((it.route->calls + 0.999) *
                                       ((now - it.started) * 1.0 / (it.end - it.started)));
      while (it.calls_made < std::min(due, it.route->calls)) {
        ++it.calls_made;
        observer.call_made("child");
      }
      if (now < it.end) {
        return false;
      }
      observer.run_ended(now, it.route->name);
      observer.run_answered(it.route->name, "service", it.end - it.started);
      return true;
    });
    const duration began = processor_clock();
    if (tick % ticks_per_interval == 0) {
      observer.end_interval(now);
    }
    if (tick % ticks_per_estimate == 0) {
      ratios = observer.ratios();
    }
    result.processor_time += processor_clock() - began;
  }
  for (const auto& it : ratios) {
    result.calls[it.parent] = it.calls;
  }
  return result;
}

} // namespace

TEST_CASE("Calls are attributed to the routes that make them when several run at once") {
  double plain = 0;
  double lookup = 0;
  constexpr unsigned seeds = 10;
  for (unsigned seed = 1; seed <= seeds; ++seed) {
    auto calls = observe({{"plain", 13, 0.4, 0}, {"lookup", 71, 0.17, 4}}, seed).calls;
    plain += calls["plain"] / seeds;
    lookup += calls["lookup"] / seeds;
  }
  CHECK(lookup == doctest::Approx(4).epsilon(0.1));
  CHECK(plain < 0.4);
  auto calls = observe({{"deposit", 24, 0.21, 2}, {"donor", 36, 0.15, 1}}, 3).calls;
  CHECK(calls["deposit"] > calls["donor"]);
  CHECK(24 * calls["deposit"] + 36 * calls["donor"] == doctest::Approx(84).epsilon(0.15));
}

TEST_CASE("Hundreds of routes that ran once in a while do not occupy the processor") {
  std::vector<route_load> routes{{"plain", 13, 0.4, 0}, {"lookup", 71, 0.17, 4}};
  for (int i = 0; i < 350; ++i) {
    routes.push_back({"rare" + std::to_string(i), 0.1, 0.1, i % 3});
  }
  // Control may take 1.7% of a core.
  const duration limit = milliseconds(simulated_ticks) * 17 / 1'000;
  auto observed = observe(routes, 1, limit);
  CHECK(observed.processor_time < limit);
  CHECK(observed.calls["lookup"] == doctest::Approx(4).epsilon(0.15));
  CHECK(observed.calls["plain"] < 0.6);
}

TEST_CASE("A route that no longer runs is forgotten, one that runs is not") {
  traffic::call_observer observer;
  time_point now{seconds(1)};
  for (int i = 0; i < 100; ++i) {
    const std::string route = "once" + std::to_string(i);
    observer.run_started(now, route);
    observer.run_ended(now + milliseconds(100), route);
    observer.run_answered(route, "service", milliseconds(100));
  }
  observer.run_started(now, "long");
  CHECK(observer.costs().size() == 100);
  for (int i = 0; i < 2'400; ++i) {
    observer.end_interval(now += milliseconds(50));
  }
  CHECK(observer.routes() == 1);
  CHECK(observer.costs().empty());
}
