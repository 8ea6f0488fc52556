#include <string>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "claims/claim_simulation.h"

namespace damaskledge::claims {
namespace {

settings small_shards() {
  settings options;
  options.shards = 3;
  // About twenty rows, so that heads are sealed often.
  options.head_limit = 1'600;
  options.request_timeout = milliseconds{400};
  return options;
}

void submit_many(claim_world& world, double from, double to, double rate, std::uint64_t first,
                 std::uint64_t operations) {
  for (int it = 0; it < static_cast<int>((to - from) * rate); ++it) {
    world.submit(world.uniform(from, to), first + static_cast<std::uint64_t>(world.uniform(
                                                      0, static_cast<double>(operations))));
  }
}

void check_safety(const claim_world& world) {
  CHECK(world.double_grants == 0);
  CHECK(world.grants_without_row == 0);
  CHECK(world.runs_without_finish == 0);
  CHECK(world.grants_after_finish == 0);
  CHECK(world.missing_segments == 0);
}

TEST_CASE("One request is granted per operation until it is released, under each fault and all") {
  struct row {
    const char* name;
    claim_faults faults;
  };
  const row rows[] = {
      {"no fault", {}},
      {"answers lost", {.answer_lost = 0.3}},
      {"effects late", {.effect_late = 0.3}},
      {"platform refuses", {.refused = 0.3, .outages = 0.3}},
      {"platform slow", {.slow = 0.5}},
      {"messages", {.lost = 0.2, .repeated = 0.3, .delayed = 0.3}},
      {"restarts", {.answer_lost = 0.1, .restarts = 3}},
      {"all",
       {.refused = 0.05,
        .answer_lost = 0.1,
        .effect_late = 0.1,
        .slow = 0.1,
        .lost = 0.1,
        .repeated = 0.1,
        .delayed = 0.2,
        .restarts = 0.5,
        .outages = 0.1}},
  };
  const std::uint64_t before = violation_count();
  for (const row& it : rows) {
    CAPTURE(it.name);
    std::uint64_t granted = 0;
    std::uint64_t again = 0;
    std::uint64_t stuck = 0;
    std::uint64_t segments = 0;
    std::uint64_t unavailable = 0;
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
      CAPTURE(seed);
      claim_plan plan;
      plan.seed = seed;
      plan.faults = it.faults;
      plan.options = small_shards();
      claim_world world(plan);
      submit_many(world, 0, 10, 100, 0, plan.operations);
      world.run_until(20);
      check_safety(world);
      CHECK(world.largest_head <= plan.options.head_limit);
      granted += world.granted;
      again += world.granted_again;
      stuck += world.stuck();
      segments += world.segments_stored();
      unavailable += world.unavailable;
    }
    MESSAGE(std::string(it.name), ": granted ", granted, ", again ", again, ", unavailable ",
            unavailable, ", segments ", segments, ", left claimed without a grant ", stuck);
    CHECK(granted > 500);
    CHECK(segments > 0);
  }
  CHECK(violation_count() == before);
}

TEST_CASE("Claims stay single for random mixes of faults") {
  CHECK(rc::check([] {
    claim_plan plan;
    plan.seed = *rc::gen::inRange<std::uint64_t>(1, 1'000'000);
    const auto probability = [] { return *rc::gen::inRange(0, 30) / 100.0; };
    plan.faults = {.refused = probability(),
                   .answer_lost = probability(),
                   .effect_late = probability(),
                   .slow = probability(),
                   .lost = probability(),
                   .repeated = probability(),
                   .delayed = probability(),
                   .restarts = probability() * 5,
                   .outages = probability()};
    plan.options = small_shards();
    plan.options.request_timeout = milliseconds{*rc::gen::inRange(50, 1'000)};
    claim_world world(plan);
    // Few operations, so that requests for one operation meet often.
    submit_many(world, 0, 4, 60, 0, 20);
    world.run_until(8);
    RC_ASSERT(world.double_grants == 0U);
    RC_ASSERT(world.grants_without_row == 0U);
    RC_ASSERT(world.runs_without_finish == 0U);
    RC_ASSERT(world.grants_after_finish == 0U);
  }));
}

TEST_CASE("Without faults every new operation is granted within a few batches, in few writes") {
  claim_plan plan;
  plan.options.shards = 4;
  claim_world world(plan);
  for (std::uint64_t it = 0; it < 2'000; ++it) {
    world.submit(world.uniform(0, 10), it);
  }
  world.run_until(12);
  MESSAGE("granted ", world.granted, ", head writes ", world.head_writes, ", longest wait ",
          world.longest_wait, " s");
  CHECK(world.granted == 2'000);
  CHECK(world.longest_wait < 0.1);
  check_safety(world);
}

TEST_CASE("After faults end, claims whose requesters were told unavailable are free again") {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    CAPTURE(seed);
    claim_plan plan;
    plan.seed = seed;
    plan.faults = {.refused = 0.2, .answer_lost = 0.3, .effect_late = 0.3, .slow = 0.4};
    plan.options = small_shards();
    // A second writer that grants a stored claim again cannot know whether the first one granted
    // it, so it never withdraws such a claim; its requester has to release it.
    plan.writers = 1;
    claim_world world(plan);
    submit_many(world, 0, 8, 80, 0, 100'000);
    world.stop_faults(10);
    world.run_until(20);
    CHECK(world.unavailable > 0);
    CHECK(world.stuck() == 0);
    check_safety(world);
  }
}

} // namespace
} // namespace damaskledge::claims
