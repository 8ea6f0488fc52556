#include <cmath>
#include <string>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "shares/fleet_simulation.h"

namespace damaskledge::shares {
namespace {

/// Slack for rounding of doubles, in tokens.
constexpr double slack = 1e-3;

/// Calls at random times with the given mean rate; `place` names the node of each call.
template <class Place>
void demand(fleet& sim, double from, double to, double rate, Place place) {
  std::exponential_distribution<double> gap(rate);
  double when = from + gap(sim.random());
  while (when < to) {
    sim.attempt(when, place(when));
    when += gap(sim.random());
  }
}

fault_rates every_fault() {
  return {.lost = 0.03,
          .repeated = 0.05,
          .delayed = 0.03,
          .node_restarts = 1,
          .takeovers = 0.4,
          .pauses = 1.5,
          .clock_stops = 1,
          .drift = 5e-4};
}

double refused_fraction(const fleet& sim) {
  return static_cast<double>(sim.refused) /
         static_cast<double>(std::max<std::uint64_t>(1, sim.taken + sim.refused));
}

/// Cycles that reveal tokens counted too low: nodes fetch tokens, keep them for a random time
/// up to past their expiry, then all nodes spend at once whatever they hold or can get.
void fetch_and_spend(fleet& sim, limit whole, double to) {
  const auto anywhere = [&](double) { return sim.random()() % sim.nodes(); };
  double when = 0.5;
  while (when < to) {
    const double quiet = when + 0.08;
    demand(sim, when, quiet, std::max(0.7 * whole.rate, 400.0), anywhere);
    const double spend = quiet + sim.uniform(0, 0.75);
    demand(sim, spend, spend + 0.02, 2 * whole.burst / 0.02, anywhere);
    when = spend + 0.02 + sim.uniform(0, 0.4);
  }
}

TEST_CASE("No interval gets more than burst + rate * T, under each fault and all at once") {
  struct row {
    const char* name;
    fault_rates faults;
  };
  const row rows[] = {
      {"no fault", {}},
      {"loss", {.lost = 0.2}},
      {"repeats", {.repeated = 0.5}},
      {"delay and reordering", {.delayed = 0.2}},
      {"repeats of delayed messages", {.repeated = 0.5, .delayed = 0.4}},
      {"most messages late", {.delayed = 0.9}},
      {"node restarts", {.delayed = 0.1, .node_restarts = 10}},
      {"takeovers", {.takeovers = 1.5}},
      {"takeovers and delay", {.delayed = 0.1, .takeovers = 1.5}},
      {"pauses", {.pauses = 6}},
      {"clock drift and stops", {.clock_stops = 20, .drift = 5e-4}},
      {"all", every_fault()},
  };
  const std::uint64_t before = violation_count();
  for (const row& it : rows) {
    CAPTURE(it.name);
    std::uint64_t taken = 0;
    double lowest = 1e18;
    for (std::uint64_t seed = 1; seed <= 15; ++seed) {
      fleet_plan plan;
      plan.seed = seed;
      // Rates that refill the burst within the life of a grant, and bursts of about one token
      // for each data centre.
      const limit limits[] = {{1'000, 120}, {400, 60}, {2'000, 400}, {50, 5}, {300, 20}};
      plan.whole = limits[seed % 5];
      plan.faults = it.faults;
      plan.options.prefetch_fraction = seed % 2 == 0 ? 0.5 : 0.125;
      fleet sim(plan);
      fetch_and_spend(sim, plan.whole, 15);
      sim.run_until(16);
      taken += sim.taken;
      lowest = std::min(lowest, sim.lowest());
    }
    MESSAGE(std::string(it.name), ": tokens taken ", taken, ", least left in the bucket ", lowest);
    CHECK(lowest >= -slack);
    CHECK(taken > 5'000);
  }
  CHECK(violation_count() == before);
}

TEST_CASE("Limits that fall and rise under faults keep the bound of the larger limit until the "
          "grants under the old one have ended") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    CAPTURE(seed);
    fleet_plan plan;
    plan.seed = seed;
    plan.faults = every_fault();
    fleet sim(plan);
    demand(sim, 0, 20, 500, [&](double) { return sim.random()() % sim.nodes(); });
    const limit limits[] = {{20, 10}, {300, 150}, {50, 5}, {200, 100}};
    for (int it = 0; it < 9; ++it) {
      sim.change_limit(1 + 2 * it + sim.uniform(0, 1), limits[(seed + it) % 4]);
    }
    sim.run_until(21);
    CHECK(sim.lowest() >= -slack);
    CHECK(sim.taken > 0);
  }
}

TEST_CASE("The bound holds for random mixes of faults, limits and fleets") {
  CHECK(rc::check([] {
    fleet_plan plan;
    plan.seed = *rc::gen::inRange<std::uint64_t>(1, 1'000'000);
    plan.whole = {static_cast<double>(*rc::gen::inRange(1, 500)),
                  static_cast<double>(*rc::gen::inRange(1, 200))};
    plan.data_centres = *rc::gen::inRange(1, 5);
    plan.nodes_per_data_centre = *rc::gen::inRange(1, 5);
    const auto probability = [] { return *rc::gen::inRange(0, 30) / 100.0; };
    plan.faults = every_fault();
    plan.faults.lost = probability();
    plan.faults.repeated = probability();
    plan.faults.delayed = probability();
    fleet sim(plan);
    fetch_and_spend(sim, plan.whole, 6);
    sim.run_until(7);
    RC_ASSERT(sim.lowest() >= -slack);
  }));
}

TEST_CASE("An account below its rate is hardly ever refused, wherever its demand is") {
  struct row {
    const char* name;
    limit whole;
    double rate;
    /// Seconds that the demand stays at one node; 0 for a node at random for each call.
    double stay;
  };
  const row rows[] = {
      {"spread over all nodes", {200, 100}, 150, 0},
      {"at one node", {200, 100}, 150, 1e9},
      {"moves between data centres every 0.5 s", {200, 100}, 150, 0.5},
      {"moves between data centres every 2 s", {200, 100}, 150, 2},
      {"large account at one node", {2'000, 1'000}, 1'600, 1e9},
      {"large account that moves", {2'000, 1'000}, 1'600, 0.5},
      {"low rate spread over all nodes", {10, 30}, 5, 0},
      {"low rate at one node", {10, 30}, 5, 1e9},
      {"low rate that moves", {10, 30}, 5, 1},
  };
  for (const row& it : rows) {
    CAPTURE(it.name);
    fleet_plan plan;
    plan.whole = it.whole;
    fleet sim(plan);
    // The allocators start without tokens.
    const double warm = 3 + it.whole.burst / it.whole.rate;
    const double length = std::max(30.0, 3'000 / it.rate);
    demand(sim, warm, warm + length, it.rate, [&](double when) {
      return it.stay > 0 ? static_cast<std::size_t>((when - warm) / it.stay) * 5 % sim.nodes()
                         : sim.random()() % sim.nodes();
    });
    sim.run_until(warm + length + 1);
    MESSAGE(std::string(it.name), ": taken ", sim.taken, ", refused ", sim.refused, ", waited ",
            sim.waited, ", messages per call ",
            static_cast<double>(sim.messages) / static_cast<double>(sim.taken));
    CHECK(sim.taken > 2'000);
    CHECK(refused_fraction(sim) < 0.001);
    CHECK(sim.lowest() >= -slack);
  }
}

TEST_CASE("A burst of five over three data centres can be used at every node") {
  for (const double rate : {5.0, 50.0}) {
    CAPTURE(rate);
    fleet_plan plan;
    plan.whole = {rate, 5};
    fleet sim(plan);
    const double gap = 1.25 / rate;
    const int calls = 800;
    for (int it = 0; it < calls; ++it) {
      sim.attempt(5 + it * gap, static_cast<std::size_t>(it) * 5 % sim.nodes());
    }
    sim.run_until(6 + calls * gap);
    MESSAGE("rate ", rate, ": taken ", sim.taken, ", refused ", sim.refused);
    CHECK(refused_fraction(sim) < 0.01);
  }
}

TEST_CASE("A data centre that is cut off serves its own fraction") {
  fleet_plan plan;
  fleet sim(plan);
  sim.cut_data_centre(0);
  demand(sim, 3, 33, 60, [&](double) { return sim.random()() % plan.nodes_per_data_centre; });
  sim.run_until(34);
  CHECK(refused_fraction(sim) < 0.001);
}

TEST_CASE("A takeover costs an account below its rate little more than the settling time") {
  fleet_plan plan;
  fleet sim(plan);
  demand(sim, 3, 33, 100, [&](double) { return sim.random()() % sim.nodes(); });
  sim.takeover_at(10, 0);
  sim.run_until(34);
  // A third of 100/s for 600 ms.
  MESSAGE("refused after a takeover: ", sim.refused);
  CHECK(sim.refused <= 25);
}

} // namespace
} // namespace damaskledge::shares
