#include <doctest/doctest.h>

#include "admission/admission.h"

using namespace damaskledge;
using namespace damaskledge::admission;

namespace {

constexpr time_point start{seconds{1'000}};
constexpr std::array all_classes{importance::critical, importance::high, importance::normal,
                                 importance::low};

/// Runs `intervals` intervals of 100 ms with one call each that waits in the queue for `delay`.
void run_intervals(shed_table& table, time_point& now, int intervals, milliseconds delay) {
  for (int it = 0; it < intervals; ++it) {
    table.observe_queue_delay(now, "s", delay);
    now += milliseconds{100};
    table.tick(now);
  }
}

} // namespace

TEST_CASE("the level rises while the delay stays above target and falls slowly") {
  // Guards against shedding at light load and against a level that oscillates.
  shed_table table({}, "n1");
  time_point now = start;
  run_intervals(table, now, 5, milliseconds{4});
  CHECK(table.level(now, "s") == 0);
  CHECK(table.own_levels().empty());
  run_intervals(table, now, 5, milliseconds{6});
  CHECK(table.level(now, "s") == 20);
  run_intervals(table, now, 5, milliseconds{0});
  CHECK(table.level(now, "s") == 10);
  run_intervals(table, now, 100, milliseconds{20});
  CHECK(table.level(now, "s") == max_shed_level);
  run_intervals(table, now, 40, milliseconds{0});
  CHECK(table.level(now, "s") == 0);
}

TEST_CASE("the level falls faster when overload has ended") {
  // Guards against refusing unimportant requests for seconds after a surge.
  shed_table table({}, "n1");
  time_point now = start;
  run_intervals(table, now, 100, milliseconds{20});
  run_intervals(table, now, 5, milliseconds{0});
  CHECK(table.level(now, "s") == max_shed_level - 10);
  run_intervals(table, now, 5, milliseconds{0});
  CHECK(table.level(now, "s") == 0);
  // Overload that comes back within half a second keeps the fall slow.
  run_intervals(table, now, 100, milliseconds{20});
  for (int it = 0; it < 6; ++it) {
    run_intervals(table, now, 5, milliseconds{0});
    run_intervals(table, now, 1, milliseconds{20});
  }
  CHECK(table.level(now, "s") == max_shed_level - 6 * (10 - 4));
}

TEST_CASE("an account with most of the demand is not shed by all nodes at once") {
  // Guards against all nodes refusing and admitting a large account in alternation.
  int shed = 0;
  for (int node = 0; node < 200; ++node) {
    shed_table table({}, "n" + std::to_string(node));
    time_point now = start;
    run_intervals(table, now, 2, milliseconds{20});
    shed += table.sheds(now, "s", importance::low, "large", true) ? 1 : 0;
  }
  // Level 8 of the 16 steps of the class: half of the nodes shed, within five standard deviations.
  CHECK(shed > 64);
  CHECK(shed < 136);
}

TEST_CASE("refusals raise the level, but a single one among many calls does not") {
  // Guards against shedding a sixteenth of a class because of a single refusal, and against
  // ignoring refusals when no call waits in the queue.
  shed_table table({}, "n1");
  time_point now = start;
  for (int it = 0; it < 99; ++it) {
    table.observe_queue_delay(now, "s", milliseconds{0});
  }
  table.observe_refusal(now, "s");
  now += milliseconds{100};
  table.tick(now);
  CHECK(table.level(now, "s") == 0);
  table.observe_refusal(now, "s");
  now += milliseconds{100};
  table.tick(now);
  CHECK(table.level(now, "s") == 4);
}

TEST_CASE("less important classes are shed first and the first critical step never") {
  // Guards against refusing important reads while bulk reads are admitted (P2).
  shed_table table({}, "n1");
  time_point now = start;
  for (int step = 0; step < 20; ++step) {
    run_intervals(table, now, 1, milliseconds{20});
    for (int account = 0; account < 50; ++account) {
      const std::string name = "a" + std::to_string(account);
      bool shed_before = false;
      for (const importance it : all_classes) {
        const bool shed = table.sheds(now, "s", it, name, true);
        CHECK((!shed_before || shed));
        shed_before = shed;
        // Inner calls are shed later than entry requests: work was already done for their request.
        CHECK((!table.sheds(now, "s", it, name, false) || shed));
      }
    }
  }
  CHECK(table.level(now, "s") == max_shed_level);
  int served = 0;
  for (int account = 0; account < 1'000; ++account) {
    served +=
        table.sheds(now, "s", importance::critical, "a" + std::to_string(account), true) ? 0 : 1;
  }
  CHECK(served > 20);
  CHECK_FALSE(table.sheds(now, "other", importance::low, "a", true));
}

TEST_CASE("no account is always the first to be shed") {
  // Guards against a hash that disadvantages the same account in every overload.
  shed_table table({}, "n1");
  time_point now = start;
  run_intervals(table, now, 2, milliseconds{20});
  REQUIRE(table.level(now, "s") == 8);
  for (int account = 0; account < 8; ++account) {
    int shed = 0;
    for (int slot = 0; slot < 200; ++slot) {
      shed += table.sheds(now + seconds{5} * slot, "s", importance::low,
                          "a" + std::to_string(account), true)
                  ? 1
                  : 0;
    }
    CAPTURE(account);
    CHECK(shed > 60);
    CHECK(shed < 140);
  }
}

TEST_CASE("levels of other nodes are combined by their median and expire") {
  // Guards against one isolated node that makes all nodes shed, and against levels of dead nodes.
  shed_table table({}, "n1");
  table.heard(start, "s", "n1", 60, 9);
  CHECK(table.level(start, "s") == 0);
  table.heard(start, "s", "n2", 60, 5);
  CHECK(table.level(start, "s") == 60);
  CHECK_FALSE(table.sheds(start, "s", importance::low, "a", false));
  table.heard(start, "s", "n2", 0, 5);
  table.heard(start, "s", "n2", 0, 4);
  CHECK(table.level(start, "s") == 60);
  table.heard(start, "s", "n3", 4, 1);
  table.heard(start, "s", "n4", 4, 1);
  CHECK(table.level(start, "s") == 4);
  table.tick(start + milliseconds{2'800});
  CHECK(table.level(start + milliseconds{2'800}, "s") == 4);
  table.tick(start + milliseconds{3'001});
  CHECK(table.level(start + milliseconds{3'001}, "s") == 0);
  // A restarted node starts its sequence numbers again.
  table.heard(start + milliseconds{3'001}, "s", "n2", 7, 1);
  CHECK(table.level(start + milliseconds{3'001}, "s") == 7);
}

TEST_CASE(
    "a level is reported with increasing sequence numbers until some time after it fell to 0") {
  // Guards against a level that expires on other nodes because it doesn't change.
  shed_table table({}, "n1");
  time_point now = start;
  run_intervals(table, now, 1, milliseconds{20});
  REQUIRE(table.own_levels().size() == 1);
  const auto first = table.own_levels().front();
  run_intervals(table, now, 2, milliseconds{0});
  REQUIRE(table.own_levels().size() == 1);
  CHECK(table.own_levels().front().level == 0);
  CHECK(table.own_levels().front().sequence > first.sequence);
  run_intervals(table, now, 20, milliseconds{0});
  CHECK(table.own_levels().empty());
}

TEST_CASE("with fairness the account with the larger recent share is shed first") {
  // Guards against a large account whose demand displaces the small ones.
  shed_table table({.fairness = true}, "n1");
  time_point now = start;
  const auto admit = [&](const std::string& account, int n) {
    for (int it = 0; it < n; ++it) {
      table.observe_admitted(now, "s", importance::normal, account);
    }
  };
  for (int it = 0; it < 10; ++it) {
    admit("large", 100);
    admit("middle", 20);
    admit("small", 5);
    run_intervals(table, now, 1, milliseconds{0});
  }
  const auto intervals_until_shed = [&](const std::string& account) {
    shed_table copy = table;
    time_point at = now;
    for (int it = 0; it < 30; ++it) {
      if (copy.sheds(at, "s", importance::normal, account, true)) {
        return it;
      }
      copy.observe_queue_delay(at, "s", milliseconds{20});
      at += milliseconds{100};
      copy.tick(at);
    }
    return 30;
  };
  CHECK(intervals_until_shed("large") < intervals_until_shed("middle"));
  CHECK(intervals_until_shed("middle") < intervals_until_shed("small"));
  CHECK(intervals_until_shed("small") <= intervals_until_shed("unseen"));
  // The share is recent: when the large account has stopped, it is no longer the first.
  for (int it = 0; it < 300; ++it) {
    admit("small", 5);
    run_intervals(table, now, 1, milliseconds{0});
  }
  CHECK(intervals_until_shed("small") < intervals_until_shed("large"));
}

TEST_CASE("with fairness a large account does not starve the small ones under overload") {
  // Guards against an account that offers ten times its share and starves the others: a closed
  // loop in which the service takes 100 requests per interval.
  for (const bool fairness : {false, true}) {
    shed_table table({.fairness = fairness}, "n1");
    time_point now = start;
    const std::array<int, 4> offered{400, 30, 30, 30};
    std::array<int, 4> admitted{};
    for (int interval = 0; interval < 600; ++interval) {
      int total = 0;
      for (std::size_t account = 0; account < offered.size(); ++account) {
        const std::string name = "a" + std::to_string(account);
        for (int it = 0; it < offered.at(account); ++it) {
          if (!table.sheds(now, "s", importance::normal, name, true)) {
            table.observe_admitted(now, "s", importance::normal, name);
            ++admitted.at(account);
            ++total;
          }
        }
      }
      run_intervals(table, now, 1, milliseconds{total > 100 ? 20 : 0});
    }
    MESSAGE("fairness ", fairness, ": admitted ", admitted[0], " of 240000, ", admitted[1], ", ",
            admitted[2], ", ", admitted[3], " of 18000");
    if (fairness) {
      for (std::size_t account = 1; account < 4; ++account) {
        CHECK(admitted.at(account) > 0.85 * 18'000);
      }
    }
  }
}
