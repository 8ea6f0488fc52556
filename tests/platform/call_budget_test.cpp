#include <set>
#include <vector>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "platform/platform.h"

namespace damaskledge::platform {
namespace {

TEST_CASE("the budget allows one second's worth at once and then the rate") {
  const time_point start{};
  call_budget budget(10, start);
  for (int it = 0; it < 10; ++it) {
    CHECK(budget.take(start) == duration{0});
  }
  const duration wait = budget.take(start);
  CHECK(wait > milliseconds{99});
  CHECK(wait < milliseconds{101});
  CHECK(budget.take(start + wait) == duration{0});
  CHECK(budget.take(start + wait) > duration{0});
}

// Guards against a budget that accrues twice for the same time, or loses its bound when
// the clock readings of several threads arrive out of order.
TEST_CASE("no interval holds more calls than one second's worth plus the rate") {
  const bool passed = rc::check("call budget bound", [] {
    const auto rate = *rc::gen::inRange(1, 200);
    const auto steps = *rc::gen::container<std::vector<int>>(200, rc::gen::inRange(-3, 40));
    time_point now{};
    call_budget budget(rate, now);
    std::vector<time_point> taken;
    for (const int it : steps) {
      now += milliseconds{it};
      if (budget.take(now) == duration{0}) {
        taken.push_back(now);
      }
    }
    for (std::size_t first = 0; first < taken.size(); ++first) {
      for (std::size_t last = first; last < taken.size(); ++last) {
        const double passed = std::chrono::duration<double>(taken[last] - taken[first]).count();
        // Readings that go back by up to 3 ms widen the interval.
        RC_ASSERT(static_cast<double>(last - first + 1) <= rate + rate * (passed + 0.6) + 1);
      }
    }
  });
  CHECK(passed);
}

TEST_CASE("calls that are charged without waiting delay later calls") {
  const time_point start{};
  call_budget budget(10, start);
  for (int it = 0; it < 15; ++it) {
    budget.charge(start);
  }
  CHECK(budget.available(start) == doctest::Approx(-5));
  CHECK(budget.take(start + milliseconds{500}) > duration{0});
  CHECK(budget.take(start + milliseconds{601}) == duration{0});
}

TEST_CASE("the backoff draws from the whole range, doubles its bound and starts again") {
  std::set<duration> first_delays;
  duration highest{0};
  for (std::uint64_t seed = 0; seed < 400; ++seed) {
    backoff pause(seed * 7'919);
    const time_point now{};
    const duration delay = pause.failed(now) - now;
    CHECK(delay >= duration{0});
    CHECK(delay <= backoff::first_bound);
    first_delays.insert(delay);
    highest = std::max(highest, delay);
  }
  CHECK(first_delays.size() > 390);
  CHECK(*first_delays.begin() < backoff::first_bound / 20);
  CHECK(highest > backoff::first_bound * 19 / 20);

  duration longest{0};
  backoff pause(1);
  for (int it = 0; it < 300; ++it) {
    const time_point now{};
    longest = std::max<duration>(longest, pause.failed(now) - now);
  }
  CHECK(longest <= backoff::highest_bound);
  CHECK(longest > backoff::highest_bound * 9 / 10);
  pause.succeeded();
  CHECK(pause.retry_at() == time_point{});
  CHECK(pause.failed(time_point{}) - time_point{} <= backoff::first_bound);
}

TEST_CASE("the backoff waits at least as long as the server asked for") {
  backoff pause(3);
  const time_point now{};
  CHECK(pause.failed(now, milliseconds{1'000}) - now >= milliseconds{1'000});
  CHECK(pause.retry_at() - now <= milliseconds{1'000} + backoff::first_bound);
}

TEST_CASE("the same seed gives the same delays") {
  backoff a(42);
  backoff b(42);
  for (int it = 0; it < 20; ++it) {
    CHECK(a.failed(time_point{}) == b.failed(time_point{}));
  }
}

} // namespace
} // namespace damaskledge::platform
