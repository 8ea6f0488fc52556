#include <doctest/doctest.h>

#include "admission/admission.h"

using namespace damaskledge;
using namespace damaskledge::admission;

namespace {

constexpr time_point start{seconds{1'000}};
constexpr std::array all_classes{importance::critical, importance::high, importance::normal,
                                 importance::low};

/// Runs intervals with one delayed call each.
void overload(shed_table& table, time_point& now, int intervals, milliseconds delay) {
  for (int it = 0; it < intervals; ++it) {
    table.observe_queue_delay(now, "s", delay);
    now += milliseconds{100};
    table.tick(now);
  }
}

} // namespace

TEST_CASE("the level rises while the delay stays above target and falls slowly") {
  // Guards against shedding at light load and against a level that flaps.
  shed_table table({}, "n1");
  time_point now = start;
  overload(table, now, 5, milliseconds{4});
  CHECK(table.level(now, "s") == 0);
  CHECK(table.own_levels().empty());
  overload(table, now, 5, milliseconds{6});
  CHECK(table.level(now, "s") == 20);
  overload(table, now, 5, milliseconds{0});
  CHECK(table.level(now, "s") == 10);
  overload(table, now, 100, milliseconds{20});
  CHECK(table.level(now, "s") == max_shed_level);
  overload(table, now, 40, milliseconds{0});
  CHECK(table.level(now, "s") == 0);
}

TEST_CASE("the level falls faster when overload has ended") {
  // Guards against refusing unimportant requests for seconds after a surge.
  shed_table table({}, "n1");
  time_point now = start;
  overload(table, now, 100, milliseconds{20});
  overload(table, now, 5, milliseconds{0});
  CHECK(table.level(now, "s") == max_shed_level - 10);
  overload(table, now, 5, milliseconds{0});
  CHECK(table.level(now, "s") == 0);
  // Overload that comes back within half a second keeps the fall slow.
  overload(table, now, 100, milliseconds{20});
  for (int it = 0; it < 6; ++it) {
    overload(table, now, 5, milliseconds{0});
    overload(table, now, 1, milliseconds{20});
  }
  CHECK(table.level(now, "s") == max_shed_level - 6 * (10 - 4));
}

TEST_CASE("an account with most of the demand is not shed by all nodes at once") {
  // Guards against a fleet that refuses and lets in a large account in turn.
  int shed = 0;
  for (int node = 0; node < 200; ++node) {
    shed_table table({}, "n" + std::to_string(node));
    time_point now = start;
    overload(table, now, 2, milliseconds{20});
    shed += table.sheds(now, "s", importance::low, "large", true) ? 1 : 0;
  }
  // Level 8 of 16 steps of the class: half of the nodes, within five standard deviations.
  CHECK(shed > 64);
  CHECK(shed < 136);
}

TEST_CASE("refusals raise the level, a lone one among many calls does not") {
  // Guards against a single refusal that sheds a sixteenth of a class, and against refusals
  // that are not noticed because no call waits.
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
  // Guards against refusing growers' reads while bulk reads run (P2).
  shed_table table({}, "n1");
  time_point now = start;
  for (int step = 0; step < 20; ++step) {
    overload(table, now, 1, milliseconds{20});
    for (int account = 0; account < 50; ++account) {
      const std::string name = "a" + std::to_string(account);
      bool shed_before = false;
      for (const importance it : all_classes) {
        const bool shed = table.sheds(now, "s", it, name, true);
        CHECK((!shed_before || shed));
        shed_before = shed;
        // Work has been spent on inner calls, so they are shed later than entry requests.
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
  overload(table, now, 2, milliseconds{20});
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

TEST_CASE("levels of other nodes count by their median and lapse") {
  // Guards against one cut-off node that makes the fleet shed, and against levels of dead nodes.
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
  // A restarted node begins its sequence anew.
  table.heard(start + milliseconds{3'001}, "s", "n2", 7, 1);
  CHECK(table.level(start + milliseconds{3'001}, "s") == 7);
}

TEST_CASE("a level is told with a rising sequence until some time after it fell to 0") {
  // Guards against a constant level that lapses on other nodes.
  shed_table table({}, "n1");
  time_point now = start;
  overload(table, now, 1, milliseconds{20});
  REQUIRE(table.own_levels().size() == 1);
  const auto first = table.own_levels().front();
  overload(table, now, 2, milliseconds{0});
  REQUIRE(table.own_levels().size() == 1);
  CHECK(table.own_levels().front().level == 0);
  CHECK(table.own_levels().front().sequence > first.sequence);
  overload(table, now, 20, milliseconds{0});
  CHECK(table.own_levels().empty());
}

TEST_CASE("with fairness the account with the larger recent share is shed first") {
  // Guards against a large archive whose demand displaces the small one.
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
    overload(table, now, 1, milliseconds{0});
  }
  const auto shed_at = [&](const std::string& account) {
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
  CHECK(shed_at("large") < shed_at("middle"));
  CHECK(shed_at("middle") < shed_at("small"));
  CHECK(shed_at("small") <= shed_at("unseen"));
  // The share is recent: when the large account has stopped, it is no longer the first.
  for (int it = 0; it < 300; ++it) {
    admit("small", 5);
    overload(table, now, 1, milliseconds{0});
  }
  CHECK(shed_at("small") < shed_at("large"));
}

TEST_CASE("fairness evens the accounts out under overload") {
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
      overload(table, now, 1, milliseconds{total > 100 ? 20 : 0});
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
