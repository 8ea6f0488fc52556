#include <algorithm>
#include <deque>

#include <doctest/doctest.h>

#include "traffic/traffic.h"

using namespace damaskledge;

namespace {

constexpr milliseconds step{1};
constexpr milliseconds window{4'000};

/// Requests that a target with a limit gets.
struct limited_target {
  /// Sends whatever the limit allows until `end`, with an answer that names `limit` to each
  /// request.
  void offer(time_point end, double limit) {
    for (; now < end; now += step) {
      if (paced.may_send(now)) {
        paced.sent(now);
        sent.push_back(now);
        paced.answered(now, now, limit);
      }
    }
  }
  std::size_t most_in_window() const {
    std::size_t most = 0;
    std::deque<time_point> recent;
    for (const time_point it : sent) {
      recent.push_back(it);
      while (it - recent.front() >= window) {
        recent.pop_front();
      }
      most = std::max(most, recent.size());
    }
    return most;
  }

  traffic::target_rate_limit paced;
  time_point now{seconds(100)};
  std::vector<time_point> sent;
};

} // namespace

TEST_CASE("A target gets no more than the limit that it names, and not much less") {
  for (const double limit : {0.0, 0.3, 1.0, 12.3, 67.3, 900.0}) {
    CAPTURE(limit);
    limited_target target;
    target.paced.answered(target.now, target.now, limit);
    target.offer(target.now + seconds(20), limit);
    // The target takes one and a half times its limit, and five requests.
    CHECK(static_cast<double>(target.most_in_window()) <= limit * 1.5 * 4 + 5);
    CHECK(static_cast<double>(target.sent.size()) >= limit * 20 * 0.95);
  }
}

TEST_CASE("A limit that falls while requests are saved up holds at once") {
  limited_target target;
  target.paced.answered(target.now, target.now, 400);
  target.now += seconds(30);
  target.paced.answered(target.now, target.now, 4);
  target.offer(target.now + seconds(8), 4);
  CHECK(target.most_in_window() <= 4 * 1.5 * 4 + 5);
}

TEST_CASE("A limit is lifted by an answer to a later request only") {
  traffic::target_rate_limit paced;
  const time_point now{seconds(100)};
  CHECK(paced.answered(now, now - milliseconds(50), 10));
  CHECK_FALSE(paced.answered(now + milliseconds(10), now - milliseconds(20), {}));
  CHECK(paced.limit() == 10);
  CHECK(paced.answered(now + milliseconds(90), now + milliseconds(20), {}));
  CHECK_FALSE(paced.limit());
  for (int i = 0; i < 1'000; ++i) {
    REQUIRE(paced.may_send(now + milliseconds(90)));
    paced.sent(now + milliseconds(90));
  }
}

TEST_CASE("A target that takes nothing is asked now and then") {
  limited_target target;
  target.paced.answered(target.now, target.now, 0);
  target.offer(target.now + seconds(20), 0);
  CHECK(target.sent.size() >= 5);
}

TEST_CASE("The wait and the usable slots follow the limit") {
  traffic::target_rate_limit paced;
  const time_point now{seconds(100)};
  CHECK(paced.expected_wait(100) == duration::zero());
  CHECK(paced.usable_slots(60, 0.2) == 60);
  paced.answered(now, now, 20);
  CHECK(paced.expected_wait(10) == milliseconds(500));
  CHECK(paced.usable_slots(60, 0.2) == 4);
  CHECK(paced.usable_slots(60, 0.001) == 1);
  CHECK(paced.usable_slots(60, 100) == 60);
}
