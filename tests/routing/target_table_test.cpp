#include <algorithm>
#include <map>
#include <set>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "routing/routing.h"

using namespace damaskledge;
using namespace damaskledge::routing;

namespace {

constexpr time_point start{seconds{1'000}};

target_record record(const std::string& id, const std::string& dc = "a", std::uint32_t slots = 40,
                     std::uint32_t connections = 400, std::uint64_t incarnation = 1) {
  return {id, "s", dc, {"127.0.0.1", 9'000}, slots, connections, false, incarnation};
}

target_table::target_state state_of(const target_table& table, time_point now,
                                    const std::string& id) {
  for (const auto& it : table.snapshot(now)) {
    if (it.id == id) {
      return it;
    }
  }
  FAIL("target " << id << " is not in the table");
  return {};
}

/// Fills the targets' limits and answers every request, for the given number of round trips.
void use_fully(target_table& table, time_point& now, int rounds, milliseconds latency) {
  for (int it = 0; it < rounds; ++it) {
    std::vector<std::string> taken;
    while (const auto choice = table.acquire(now, "s", {})) {
      taken.push_back(choice->id);
    }
    now += latency;
    for (const auto& id : taken) {
      table.release(now, id, attempt_end::answered, latency);
    }
    table.tick(now);
  }
}

} // namespace

TEST_CASE("local targets come first, others only when the local ones are at their limits") {
  // Guards against calls to another data centre while local targets have free slots.
  target_table table({}, "a", 1);
  table.set_targets(start, {record("l"), record("r", "b")}, 2);
  for (int it = 0; it < 4; ++it) {
    CHECK(table.acquire(start, "s", {})->id == "l");
  }
  CHECK(table.acquire(start, "s", {})->id == "r");
  CHECK(table.acquire(start, "s", {"l"})->id == "r");
  CHECK_FALSE(table.acquire(start, "s", {"l", "r"}));
  CHECK_FALSE(table.acquire(start, "unknown", {}));
  CHECK_FALSE(table.knows_service("unknown"));
  table.set_targets(start, {}, 2);
  CHECK(table.knows_service("s"));
  CHECK_FALSE(table.has_target(start, "s"));
}

TEST_CASE("a draining target gets no new requests and a target that left is removed") {
  // Guards against new requests to an upstream that is draining, and against a lost count of the
  // requests in flight when a target leaves and returns.
  target_table table({}, "a", 1);
  table.set_targets(start, {record("t")}, 1);
  REQUIRE(table.acquire(start, "s", {}));
  auto draining = record("t");
  draining.draining = true;
  table.set_targets(start, {draining}, 1);
  CHECK_FALSE(table.acquire(start, "s", {}));
  CHECK_FALSE(table.has_target(start, "s"));
  table.set_targets(start, {}, 1);
  table.set_targets(start, {record("t")}, 1);
  CHECK(state_of(table, start, "t").in_flight == 1);
  table.release(start + seconds{1}, "t", attempt_end::answered, seconds{1});
  CHECK(state_of(table, start, "t").in_flight == 0);
  table.set_targets(start, {}, 1);
  table.release(start, "t", attempt_end::answered, seconds{1});
}

TEST_CASE("connect failures exclude a target for doubling times, then allow one trial at a time") {
  // Guards against a burst of requests to a target that still refuses connections.
  target_table table({}, "a", 1);
  table.set_targets(start, {record("t")}, 1);
  time_point now = start;
  for (const int pause : {250, 500, 1'000, 2'000, 4'000, 8'000, 8'000}) {
    CAPTURE(pause);
    REQUIRE(table.acquire(now, "s", {}));
    CHECK_FALSE((pause > 250 && table.acquire(now, "s", {})));
    table.release(now, "t", attempt_end::connect_failed, duration{0});
    CHECK(state_of(table, now, "t").excluded);
    CHECK_FALSE(table.acquire(now + milliseconds{pause - 1}, "s", {}));
    now += milliseconds{pause};
  }
  REQUIRE(table.acquire(now, "s", {}));
  CHECK_FALSE(table.acquire(now, "s", {}));
  now += milliseconds{10};
  table.release(now, "t", attempt_end::answered, milliseconds{10});
  CHECK(state_of(table, now, "t").limit == 4);
  CHECK(table.acquire(now, "s", {}));
  CHECK(table.acquire(now, "s", {}));
}

TEST_CASE("connect failures of requests sent together count once") {
  // Guards against an exclusion that lasts seconds after one short interruption, because several
  // requests in flight failed together.
  target_table table({}, "a", 1);
  table.set_targets(start, {record("t")}, 1);
  for (int it = 0; it < 4; ++it) {
    REQUIRE(table.acquire(start, "s", {}));
  }
  for (int it = 0; it < 4; ++it) {
    table.release(start, "t", attempt_end::connect_failed, duration{0});
  }
  CHECK(table.acquire(start + milliseconds{250}, "s", {}));
}

TEST_CASE("refusals and timeouts lower the limit at most once per round trip") {
  // Guards against a limit that falls to 1 when all requests of one round trip fail.
  for (const attempt_end end : {attempt_end::shed, attempt_end::timed_out}) {
    target_table table({}, "a", 1);
    table.set_targets(start, {record("t")}, 1);
    time_point now = start;
    use_fully(table, now, 10, milliseconds{20});
    const double before = state_of(table, now, "t").limit;
    CHECK(before == 40);
    for (int it = 0; it < 30; ++it) {
      REQUIRE(table.acquire(now, "s", {}));
    }
    for (int it = 0; it < 30; ++it) {
      table.release(now + milliseconds{25}, "t", end, milliseconds{25});
    }
    const auto after = state_of(table, now, "t");
    CHECK(after.limit == doctest::Approx(0.7 * before));
    // The latency of a refusal is not service latency.
    CHECK(after.smoothed_latency == milliseconds{20});
  }
}

TEST_CASE("fast refusals count once per service latency, not per refusal") {
  // Guards against a limit that falls to 1 within milliseconds, because refusals return faster
  // than answers.
  target_table table({}, "a", 1);
  table.set_targets(start, {record("t")}, 1);
  time_point now = start;
  use_fully(table, now, 10, milliseconds{20});
  for (int it = 0; it < 19; ++it) {
    REQUIRE(table.acquire(now, "s", {}));
    now += milliseconds{1};
    table.release(now, "t", attempt_end::shed, milliseconds{1});
  }
  CHECK(state_of(table, now, "t").limit == doctest::Approx(0.7 * 40));
}

TEST_CASE("deadlines below the usual latency do not lower the limit") {
  // Guards against one account that lowers the targets' limits for all others by asking for a
  // timeout as short as 1 ms.
  target_table table({}, "a", 1);
  table.set_targets(start, {record("t")}, 1);
  time_point now = start;
  use_fully(table, now, 10, milliseconds{20});
  for (int it = 0; it < 100; ++it) {
    REQUIRE(table.acquire(now, "s", {}));
    now += milliseconds{19};
    table.release(now, "t", attempt_end::timed_out, milliseconds{19});
  }
  CHECK(state_of(table, now, "t").limit == 40);
}

TEST_CASE("the limit recovers within half a second after everything timed out") {
  // Guards against a target that stays nearly unused after a short stall, because at a limit of 1
  // few answers arrive per round trip.
  for (const std::uint32_t nodes : {12U, 2U}) {
    target_table table({}, "a", 1);
    table.set_targets(start, {record("t", "a", 45)}, nodes);
    time_point now = start;
    use_fully(table, now, 50, milliseconds{20});
    for (int it = 0; it < 20; ++it) {
      std::vector<std::string> taken;
      while (const auto choice = table.acquire(now, "s", {})) {
        taken.push_back(choice->id);
      }
      now += milliseconds{200};
      for (const auto& id : taken) {
        table.release(now, id, attempt_end::timed_out, milliseconds{200});
      }
    }
    CHECK(state_of(table, now, "t").limit == 1);
    int rounds = 0;
    while (state_of(table, now, "t").limit < 0.75 * 45 / nodes && rounds < 200) {
      use_fully(table, now, 1, milliseconds{20});
      ++rounds;
    }
    MESSAGE(nodes, " nodes: ", rounds, " round trips to three quarters of the fair share");
    CHECK(rounds <= 25);
  }
}

TEST_CASE("limits and counts stay within their bounds for any sequence of calls") {
  // Guards against lost slots, counts that wrap, and limits outside 1 and the cap.
  CHECK(rc::check([] {
    target_table table({}, "a", 1);
    std::vector<target_record> targets{record("t0", "a", 8), record("t1", "a", 30),
                                       record("t2", "b", 8)};
    time_point now = start;
    table.set_targets(now, targets, 4);
    std::vector<std::pair<std::string, time_point>> outstanding;
    for (const int step : *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 200))) {
      now += milliseconds{step % 50};
      if (step < 100) {
        if (const auto choice = table.acquire(now, "s", {})) {
          outstanding.emplace_back(choice->id, now);
        }
      } else if (step < 180 && !outstanding.empty()) {
        const auto at = outstanding.begin() + step % static_cast<int>(outstanding.size());
        table.release(now, at->first, static_cast<attempt_end>(step % 6), now - at->second);
        outstanding.erase(at);
      } else if (step < 190) {
        table.tick(now);
      } else {
        auto& target = targets[static_cast<std::size_t>(step) % targets.size()];
        target.draining = step % 2 == 0;
        target.incarnation += static_cast<std::uint64_t>(step % 3);
        table.set_targets(now, step == 199 ? std::vector<target_record>{} : targets, 4);
      }
      std::map<std::string, std::uint32_t> counts;
      for (const auto& it : outstanding) {
        ++counts[it.first];
      }
      for (const auto& it : table.snapshot(now)) {
        RC_ASSERT(it.in_flight == counts[it.id]);
        RC_ASSERT(it.limit >= 1);
        RC_ASSERT(it.limit <= (it.id == "t0" ? 8 : it.id == "t1" ? 30 : 2));
      }
    }
  }));
}

TEST_CASE("an unused limit does not grow, and an unused one above the fair share falls") {
  // Guards against limits that grow during hours of light load and then do not hold back a surge.
  target_table table({}, "a", 1);
  table.set_targets(start, {record("t", "a", 80)}, 8);
  time_point now = start;
  for (int it = 0; it < 1'000; ++it) {
    const auto choice = table.acquire(now, "s", {});
    now += milliseconds{5};
    table.release(now, choice->id, attempt_end::answered, milliseconds{5});
  }
  CHECK(state_of(table, now, "t").limit == 4);
  use_fully(table, now, 100, milliseconds{5});
  CHECK(state_of(table, now, "t").limit == 40);
  for (int it = 0; it < 3'000; ++it) {
    now += milliseconds{10};
    table.tick(now);
  }
  CHECK(state_of(table, now, "t").limit == 10);
}

TEST_CASE("a new incarnation is cold, and late answers of the old one do not count") {
  // Guards against overloading a process that has just started.
  target_table table({}, "a", 1);
  table.set_targets(start, {record("t")}, 1);
  time_point now = start;
  use_fully(table, now, 10, milliseconds{20});
  REQUIRE(table.acquire(now, "s", {}));
  now += milliseconds{5};
  table.set_targets(now, {record("t", "a", 40, 400, 2)}, 1);
  CHECK(state_of(table, now, "t").limit == 4);
  now += milliseconds{5};
  table.release(now, "t", attempt_end::shed, milliseconds{10});
  CHECK(state_of(table, now, "t").limit == 4);
  CHECK(state_of(table, now, "t").in_flight == 0);
}

TEST_CASE("one connection reset leads to a trial, repeated resets exclude the target") {
  // Guards against a target that is excluded for seconds because one connection was reset.
  target_table table({}, "a", 1);
  table.set_targets(start, {record("t")}, 1);
  REQUIRE(table.acquire(start, "s", {}));
  table.release(start, "t", attempt_end::broken, duration{0});
  CHECK_FALSE(state_of(table, start, "t").excluded);
  REQUIRE(table.acquire(start, "s", {}));
  CHECK_FALSE(table.acquire(start, "s", {}));
  table.release(start, "t", attempt_end::broken, duration{0});
  CHECK(state_of(table, start, "t").excluded);
}

TEST_CASE("two choices prefer fewer requests in flight relative to the limit, then latency") {
  // Guards against sending to the busier or slower of two targets.
  target_table table({}, "a", 1);
  table.set_targets(start, {record("t1"), record("t2")}, 1);
  const auto first = table.acquire(start, "s", {})->id;
  const auto second = table.acquire(start, "s", {})->id;
  CHECK(first != second);
  time_point now = start + milliseconds{10};
  table.release(now, first, attempt_end::answered, milliseconds{1});
  table.release(now, second, attempt_end::answered, milliseconds{9});
  for (int it = 0; it < 20; ++it) {
    const auto one = table.acquire(now, "s", {})->id;
    const auto two = table.acquire(now, "s", {})->id;
    now += milliseconds{10};
    table.release(now, one, attempt_end::answered, milliseconds{one == "t1" ? 2 : 9});
    table.release(now, two, attempt_end::answered, milliseconds{two == "t1" ? 2 : 9});
  }
  for (int it = 0; it < 20; ++it) {
    CHECK(table.acquire(now, "s", {})->id == "t1");
    table.release(now, "t1", attempt_end::cancelled, milliseconds{1});
  }
}

TEST_CASE("subsets keep the connections of a target within the announced number") {
  // Guards against 137 nodes that each open one or more connections to every target, although
  // each target announces only 190.
  std::map<std::string, std::uint32_t> connections;
  std::set<std::size_t> sizes;
  std::vector<target_record> targets;
  for (int it = 0; it < 12; ++it) {
    targets.push_back(record("t" + std::to_string(it), "a", 15, 190));
  }
  for (std::uint64_t node = 1; node <= 137; ++node) {
    target_table table({}, "a", node);
    table.set_targets(start, targets, 137);
    std::set<std::string> used;
    for (int it = 0; it < 500; ++it) {
      const auto choice = table.acquire(start, "s", {});
      if (choice && used.insert(choice->id).second) {
        connections[choice->id] += choice->connections;
      }
    }
    sizes.insert(used.size());
  }
  CHECK(sizes == std::set<std::size_t>{5});
  for (const auto& it : connections) {
    const std::uint32_t sum = it.second;
    CAPTURE(it.first);
    CHECK(sum <= 190);
    CHECK(sum >= 90);
  }
}

TEST_CASE("the baselines keep their fixed limit or none") {
  // Guards against baseline measurements in which the limit is adapted after all.
  target_table fixed({.mode = policy::fixed, .fixed_limit = 7}, "a", 1);
  target_table none({.mode = policy::none}, "a", 1);
  for (auto* it : {&fixed, &none}) {
    it->set_targets(start, {record("t")}, 1);
  }
  for (int it = 0; it < 7; ++it) {
    CHECK(fixed.acquire(start, "s", {}));
  }
  CHECK_FALSE(fixed.acquire(start, "s", {}));
  for (int it = 0; it < 1'000; ++it) {
    CHECK(none.acquire(start, "s", {}));
  }
}

TEST_CASE("cost of acquire and release") {
  // Guards against a request path that takes more than a few microseconds. The bound is loose
  // because other work may share the machine.
  target_table table({}, "a", 1);
  std::vector<target_record> targets;
  for (int it = 0; it < 820; ++it) {
    auto row = record("vm-" + std::to_string(it) + ":9000", it % 6 == 0 ? "a" : "b");
    row.service = "service-" + std::to_string(it % 110);
    targets.push_back(row);
  }
  table.set_targets(start, targets, 137);
  constexpr int calls = 100'000;
  const auto begin = clock_type::now();
  for (int it = 0; it < calls; ++it) {
    const auto choice = table.acquire(start, "service-7", {});
    table.release(start + milliseconds{5}, choice->id, attempt_end::answered, milliseconds{5});
  }
  const double cost = std::chrono::duration<double, std::micro>(clock_type::now() - begin).count();
  MESSAGE("acquire+release: ", cost / calls, " us");
  CHECK(cost / calls < 20);
}
