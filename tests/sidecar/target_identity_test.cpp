#include <functional>
#include <vector>

#include <doctest/doctest.h>

#include "sidecar/target_identity.h"

using namespace damaskledge;
using sidecar::target_identity;

namespace {

constexpr unix_milliseconds wall_zero = 1'700'000'000'000;

/// An identity that gets events at given times. Starts are named by the time at which they
/// began.
struct history {
  sidecar::moment at(int ms) const {
    return {time_point(milliseconds(1'000'000 + ms)), wall_zero + ms + clock_error};
  }
  target_identity::change announce(int now, int began, std::uint64_t sequence, bool leaving = false,
                                   const std::string& instance = "i-1") {
    adapter::target_announcement value;
    value.instance = instance;
    value.started = wall_zero + began;
    value.sequence = sequence;
    value.leaving = leaving;
    return identity.announced(at(now), value);
  }
  /// @param began 0 if the record does not name the start.
  void recall(int now, int began, int left, const std::string& instance = "i-1") {
    identity.recalled(at(now), {instance, began == 0 ? 0 : wall_zero + began, wall_zero + left});
  }
  void leave(int now, const std::string& instance = "i-1") { identity.leaves(at(now), instance); }
  bool usable() const { return !identity.instance().empty() && !identity.leaving(); }

  target_identity identity;
  int clock_error = 0;
};

struct order {
  const char* name;
  std::function<void(history&)> events;
  bool usable;
};

const std::vector<order> orders{
    {"announced", [](history& it) { it.announce(0, -9'000, 3); }, true},
    {"announced, leaves, late announcement of the same start",
     [](history& it) {
       it.announce(0, -9'000, 3);
       it.leave(100);
       it.announce(2'000, -9'000, 4);
     },
     false},
    {"announced as leaving, late announcement of the same start",
     [](history& it) {
       it.announce(0, -9'000, 4, true);
       it.announce(2'000, -9'000, 3);
       it.announce(2'100, -9'000, 5);
     },
     false},
    {"health check, leaves, late announcement of the same start",
     [](history& it) {
       it.identity.identified("i-1");
       it.leave(280);
       it.announce(2'390, -9'000, 4);
     },
     false},
    {"health check, leaves, two late announcements of the same start",
     [](history& it) {
       it.identity.identified("i-1");
       it.leave(280);
       it.announce(2'390, -9'000, 4);
       it.announce(2'400, -9'000, 5);
     },
     false},
    {"leaves, late announcement of the same start",
     [](history& it) {
       it.leave(100);
       it.announce(2'000, -9'000, 4);
     },
     false},
    {"health check, late announcement, leaves, later announcement of the same start",
     [](history& it) {
       it.identity.identified("i-1");
       it.announce(50, -9'000, 4);
       it.leave(100);
       it.announce(2'000, -9'000, 5);
     },
     false},
    {"announced, leaves, new start of the same instance",
     [](history& it) {
       it.announce(0, -9'000, 9);
       it.leave(100);
       it.announce(3'000, 2'900, 1);
     },
     true},
    {"health check, leaves, new start of the same instance",
     [](history& it) {
       it.identity.identified("i-1");
       it.leave(100);
       it.announce(3'000, 2'900, 1);
     },
     true},
    {"health check, leaves, late announcement, new start of the same instance",
     [](history& it) {
       it.identity.identified("i-1");
       it.leave(100);
       it.announce(2'000, -9'000, 4);
       it.announce(3'000, 2'900, 1);
     },
     true},
    {"new start of the same instance, late announcement of the earlier one",
     [](history& it) {
       it.announce(0, -9'000, 9);
       it.announce(3'000, 2'900, 1);
       it.announce(3'100, -9'000, 10, true);
     },
     true},
    {"leaves, another target at the address",
     [](history& it) {
       it.leave(100);
       it.announce(3'000, 2'900, 1, false, "i-2");
     },
     true},
    {"another target at the address, late leave of the earlier one",
     [](history& it) {
       it.announce(0, -9'000, 9);
       it.announce(3'000, 2'900, 1, false, "i-2");
       it.leave(3'100, "i-1");
     },
     true},
    {"health check, late leave of an earlier target",
     [](history& it) {
       it.identity.identified("i-2");
       it.leave(100, "i-1");
     },
     true},
    {"late leave of an earlier target, another target announces itself",
     [](history& it) {
       it.leave(100, "i-1");
       it.announce(200, -9'000, 6, false, "i-2");
     },
     true},
    {"health check, leaves, clock set back, late announcement of the same start",
     [](history& it) {
       it.identity.identified("i-1");
       it.leave(100);
       it.clock_error = -2'000;
       it.announce(2'000, -500, 1);
     },
     false},
    {"health check, leaves, clock set ahead, late announcement of the same start",
     [](history& it) {
       it.identity.identified("i-1");
       it.leave(100);
       it.clock_error = 2'000;
       it.announce(2'000, -500, 1);
     },
     false},
    {"health check, leaves, clock set ahead, new start of the same instance",
     [](history& it) {
       it.identity.identified("i-1");
       it.leave(100);
       it.clock_error = 2'000;
       it.announce(3'000, 2'900 + 2'000, 1);
     },
     true},
    {"health check, leaves, clock set back, new start of the same instance",
     [](history& it) {
       it.identity.identified("i-1");
       it.leave(100);
       it.clock_error = -2'000;
       it.announce(5'000, 4'900 - 2'000, 1);
     },
     true},
    {"recorded leave, late announcement of the same start",
     [](history& it) {
       it.recall(0, -9'000, -1'000);
       it.announce(500, -9'000, 4);
       it.announce(600, -9'000, 5);
     },
     false},
    {"recorded leave of an unknown start, late announcement of it",
     [](history& it) {
       it.recall(0, 0, -1'000);
       it.announce(500, -9'000, 4);
     },
     false},
    {"recorded leave, health check",
     [](history& it) {
       it.recall(0, -9'000, -1'000);
       it.identity.identified("i-1");
     },
     false},
    {"health check, recorded leave",
     [](history& it) {
       it.identity.identified("i-1");
       it.recall(500, -9'000, -1'000);
     },
     false},
    {"late announcement, recorded leave",
     [](history& it) {
       it.announce(0, -9'000, 4);
       it.recall(500, -9'000, -1'000);
     },
     false},
    {"recorded leave, new start of the same instance",
     [](history& it) {
       it.recall(0, -9'000, -1'000);
       it.announce(500, 200, 1);
     },
     true},
    {"recorded leave of an unknown start, new start of the same instance",
     [](history& it) {
       it.recall(0, 0, -1'000);
       it.announce(500, 200, 1);
     },
     true},
    {"new start of the same instance, recorded leave of the earlier one",
     [](history& it) {
       it.announce(0, -200, 1);
       it.recall(500, -9'000, -1'000);
     },
     true},
    {"new start of the same instance, recorded leave of an unknown start",
     [](history& it) {
       it.announce(0, -200, 1);
       it.recall(500, 0, -1'000);
     },
     true},
    {"recorded leave, another target at the address",
     [](history& it) {
       it.recall(0, -9'000, -1'000);
       it.announce(500, 200, 1, false, "i-2");
     },
     true},
    {"another target at the address, recorded leave of the earlier one",
     [](history& it) {
       it.identity.identified("i-2");
       it.recall(500, -9'000, -1'000);
     },
     true},
};

} // namespace

TEST_CASE(
    "A target that leaves stays so until another start, in whichever order the node is told") {
  for (const order& it : orders) {
    CAPTURE(it.name);
    history told;
    it.events(told);
    CHECK(told.usable() == it.usable);
  }
}

TEST_CASE("The first announcement after a health check is not taken for another start") {
  history told;
  told.identity.identified("i-1");
  CHECK(told.announce(0, -9'000, 3) == target_identity::change::same_start);
  CHECK(told.usable());
  told.leave(100);
  CHECK(told.announce(3'000, 2'900, 1) == target_identity::change::other_start);
}

TEST_CASE("An announcement that is older than what is known changes nothing") {
  history told;
  told.announce(0, -9'000, 9);
  CHECK(told.announce(10, -9'000, 9) == target_identity::change::none);
  CHECK(told.announce(10, -9'000, 8) == target_identity::change::none);
  CHECK(told.announce(10, -9'500, 20) == target_identity::change::none);
  CHECK(told.announce(10, -9'500, 20, false, "i-0") == target_identity::change::none);
  CHECK(told.announce(10, -9'000, 10) == target_identity::change::same_start);
  CHECK(told.announce(20, 15, 1) == target_identity::change::other_start);
}
