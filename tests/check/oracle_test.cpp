#include <doctest/doctest.h>

#include "check/check.h"
#include "check/oracle.h"

namespace damaskledge::check {
namespace {

const shares::limit ten_per_second{10, 5};

TEST_CASE("The oracle rejects one request above rate and burst, and none below") {
  // Guards against a judge that would let a fleet admit more than the plan.
  oracle judge(0);
  for (int it = 0; it < 5; ++it) {
    CHECK_FALSE(judge.admitted(0.0, "a", ten_per_second));
  }
  CHECK_FALSE(judge.admitted(0.1, "a", ten_per_second));
  CHECK(judge.admitted(0.15, "a", ten_per_second));
}

TEST_CASE("The oracle rejects a second run, an older version and a run that never was") {
  oracle judge(0);
  const id128 operation{1, 2};
  CHECK(judge.told_already_run(operation));
  CHECK_FALSE(judge.ran(operation));
  CHECK_FALSE(judge.told_already_run(operation));
  CHECK(judge.ran(operation));
  CHECK_FALSE(judge.in_force(3, "lists", 7));
  CHECK_FALSE(judge.in_force(3, "lists", 7));
  CHECK(judge.in_force(3, "lists", 6));
}

TEST_CASE("The same seed gives the same run") {
  // Guards against a hidden source of chance that would make failures unrepeatable.
  options wanted;
  wanted.seed = 5;
  wanted.steps = 30'000;
  const auto schedule = draw_schedule(wanted);
  const result first = run(wanted, schedule);
  const result second = run(wanted, schedule);
  CHECK(first.steps == second.steps);
  CHECK(first.simulated == second.simulated);
  CHECK(first.tokens_taken == second.tokens_taken);
  CHECK(first.operations_run == second.operations_run);
  CHECK(first.tokens_taken > 0);
  CHECK(first.operations_run > 0);
}

TEST_CASE("A pause that outlasts the faults ends with them, also for events that wait") {
  // Guards against requests of the pause that are refused together long after the faults.
  options wanted;
  wanted.seed = 1;
  wanted.steps = 300'000;
  const fault pause{fault_kind::pause, milliseconds(76'000), milliseconds(20'000), 1};
  const result it = run(wanted, {pause});
  INFO(it.simulated.count(), " ms, refused ", it.judged_refusals, " of ", it.judged_requests);
  REQUIRE(it.simulated > pause.at + pause.lasts);
  REQUIRE(it.judged_requests > 1'000);
  CHECK_FALSE(it.failed);
}

} // namespace
} // namespace damaskledge::check
