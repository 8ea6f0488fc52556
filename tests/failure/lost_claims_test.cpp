// A platform that has lost claims, while no writer is left that knew them.
#include <csignal>

#include "failure/restored_fleet.h"

namespace damaskledge::failure {

using fleet_47 = restored_fleet<47>;

TEST_CASE_FIXTURE(fleet_47,
                  "An operation whose claim was lost with all its writers does not run again") {
  // The first VMs of the data centres hold the coordinators; the operation ran at another VM.
  constexpr std::size_t writers = 3;
  REQUIRE(submit(writers, "before").status == 200);
  save();
  REQUIRE(submit(writers, "lost").status == 200);
  restore();
  for (std::size_t i = 0; i < writers; ++i) {
    machine& it = all.machines()[i];
    it.node->signal(SIGKILL);
    it.node->wait(settle_limit);
    all.start_node(it);
  }
  REQUIRE(all.settled(settle_limit));
  CHECK(wait_until(
      [&] {
        const int status = submit(1, "lost").status;
        return status == 200 || status == 409;
      },
      settle_limit));
  CHECK(runs("lost") == 1);
}

} // namespace damaskledge::failure
