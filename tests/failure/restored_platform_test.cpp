// A platform that comes back from a copy some seconds old and has lost what it acknowledged since.
#include "failure/restored_fleet.h"

namespace damaskledge::failure {

using fleet_46 = restored_fleet<46>;
constexpr milliseconds in_force_limit{3'000};

TEST_CASE_FIXTURE(fleet_46, "Operations are not refused for good after a claim was lost") {
  REQUIRE(submit(0, "before").status == 200);
  save();
  REQUIRE(submit(0, "lost").status == 200);
  restore();
  CHECK(wait_until([&] { return submit(1, "after").status == 200; }, settle_limit));
  CHECK(submit(2, "lost").status != 503);
  CHECK(runs("lost") == 1);
}

TEST_CASE_FIXTURE(fleet_46, "A change after a restoration is not ignored for its low version") {
  save();
  REQUIRE(apply(40).exit_code == 0);
  REQUIRE(apply(41).exit_code == 0);
  restore();
  std::this_thread::sleep_for(in_force_limit);
  const auto applied = apply(42);
  INFO(applied.output, applied.errors);
  CHECK(applied.exit_code == 0);
}

} // namespace damaskledge::failure
