#include <set>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "routing/routing.h"

using namespace damaskledge;
using namespace damaskledge::routing;

namespace {
constexpr time_point start{seconds{1'000}};
constexpr time_point far_deadline = start + seconds{60};
} // namespace

TEST_CASE("important calls leave the queue first, the least important are dropped first") {
  // Guards against dropping important calls while less important ones are still queued.
  waiting_queue queue({.max_length = 3});
  const auto low = *queue.push(start, "s", importance::low, far_deadline).own;
  const auto normal = *queue.push(start, "s", importance::normal, far_deadline).own;
  const auto high = *queue.push(start, "s", importance::high, far_deadline).own;
  CHECK_FALSE(queue.push(start, "s", importance::low, far_deadline).own);
  const auto result = queue.push(start, "s", importance::critical, far_deadline);
  CHECK(result.dropped == low);
  CHECK(queue.length("s") == 3);
  CHECK(queue.pop(start, "s") == result.own);
  CHECK(queue.pop(start, "s") == high);
  CHECK(queue.pop(start, "s") == normal);
  CHECK_FALSE(queue.pop(start, "s"));
}

TEST_CASE("calls expire at their maximum wait or deadline and are never served after it") {
  // Guards against work for callers that have already given up.
  waiting_queue queue({});
  const auto soon = *queue.push(start, "s", importance::normal, start + milliseconds{5}).own;
  const auto later = *queue.push(start, "s", importance::normal, far_deadline).own;
  CHECK_FALSE(queue.push(start, "s", importance::normal, start).own);
  CHECK(queue.pop(start + milliseconds{6}, "s") == later);
  CHECK_FALSE(queue.pop(start + milliseconds{6}, "s"));
  CHECK(queue.expire(start + milliseconds{6}) == std::vector{soon});
  CHECK_FALSE(queue.remove(soon));
}

TEST_CASE("the newest is served first only while the delay stays above target") {
  // Guards against first-in first-out order under overload, where every call waits almost until
  // its deadline, and against last-in first-out order at light load.
  waiting_queue queue({});
  time_point now = start;
  std::vector<waiting_queue::ticket> tickets;
  for (int it = 0; it < 15; ++it, now += milliseconds{10}) {
    (void)queue.expire(now);
    for (int n = 0; n < 2; ++n) {
      tickets.push_back(*queue.push(now, "s", importance::normal, far_deadline).own);
    }
  }
  CHECK(queue.overloaded("s"));
  CHECK(queue.pop(now, "s") == tickets.back());
  while (queue.pop(now, "s")) {
  }
  (void)queue.expire(now);
  CHECK_FALSE(queue.overloaded("s"));
  const auto first = queue.push(now, "s", importance::normal, far_deadline).own;
  (void)queue.push(now, "s", importance::normal, far_deadline);
  CHECK(queue.pop(now, "s") == first);
}

TEST_CASE("each call leaves the queue exactly once") {
  // Guards against a connection thread that waits forever or is woken twice.
  CHECK(rc::check([] {
    waiting_queue queue({.max_length = 8});
    std::set<waiting_queue::ticket> queued;
    time_point now = start;
    const auto leaves = [&](waiting_queue::ticket it) { RC_ASSERT(queued.erase(it) == 1U); };
    for (const auto step : *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 100))) {
      now += milliseconds{step % 7};
      const auto value = static_cast<importance>(step % 4);
      if (step < 60) {
        const auto result = queue.push(now, "s", value, now + milliseconds{step % 30});
        if (result.own) {
          RC_ASSERT(queued.insert(*result.own).second);
        }
        if (result.dropped) {
          leaves(*result.dropped);
        }
      } else if (step < 80) {
        if (const auto it = queue.pop(now, "s")) {
          leaves(*it);
        }
      } else if (step < 90) {
        for (const auto it : queue.expire(now)) {
          leaves(it);
        }
      } else if (!queued.empty()) {
        const auto it = *queued.begin();
        RC_ASSERT(queue.remove(it));
        leaves(it);
      }
      RC_ASSERT(queue.length("s") == queued.size());
    }
    for (const auto it : queue.expire(now + seconds{1})) {
      leaves(it);
    }
    RC_ASSERT(queued.empty());
  }));
}
