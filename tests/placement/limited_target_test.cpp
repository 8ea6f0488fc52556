#include <algorithm>
#include <cmath>
#include <deque>
#include <random>
#include <set>

#include <doctest/doctest.h>

#include "placement/placement.h"

using namespace damaskledge;

namespace {

constexpr std::size_t senders = 12;
constexpr std::size_t targets = 3;
constexpr std::size_t slots = 20;
constexpr double run_ms = 50;
constexpr int give_up_ms = 100;
constexpr int report_every_ms = 250;
constexpr int warm_up_ms = 2'000;
constexpr int length_ms = 20'000;
constexpr double judged_s = (length_ms - warm_up_ms) * 0.001;

struct limited_outcome {
  int asked = 0;
  int served = 0;
  /// Requests that the limited target has got.
  int at_limited = 0;
};

struct target {
  traffic::target_rate_limit limit;
  std::vector<int> ends;
  /// Times at which waiting requests give up.
  std::deque<int> queue;
  /// Slots and load as the senders know them.
  double told_slots = slots;
  placement::smoothed_load load;
};

time_point at(int ms) {
  return time_point(milliseconds(100'000 + ms));
}

/// Twelve nodes send calls to three targets with 400 calls a second each; the first one names a
/// limit of 40. A refused call is tried at the others.
/// @param per_s calls offered.
limited_outcome play(double per_s) {
  std::mt19937 random{7};
  std::vector<target> all(targets);
  std::vector<placement::target_chooser> choosers;
  for (std::size_t i = 0; i < senders; ++i) {
    choosers.emplace_back(placement::options{}, static_cast<std::uint32_t>(i));
  }
  limited_outcome result;
  std::exponential_distribution<double> run(1 / run_ms);
  std::poisson_distribution<int> arrivals(per_s / 1'000);
  const auto start = [&](int now, target& it) {
    it.limit.sent(at(now));
    it.ends.push_back(now + 1 + static_cast<int>(run(random)));
    const bool judged = now >= warm_up_ms;
    result.served += judged ? 1 : 0;
    result.at_limited += judged && &it == &all[0] ? 1 : 0;
  };
  for (int now = 0; now < length_ms; ++now) {
    for (target& it : all) {
      if (&it == &all[0]) {
        it.limit.answered(at(now), at(now), 40);
      }
      std::erase_if(it.ends, [&](int end) { return end <= now; });
      std::erase_if(it.queue, [&](int give_up) { return give_up <= now; });
      while (!it.queue.empty() && it.ends.size() < slots && it.limit.may_send(at(now))) {
        it.queue.pop_front();
        start(now, it);
      }
      if (now % report_every_ms == 0) {
        it.told_slots = static_cast<double>(it.limit.usable_slots(slots, run_ms / 1'000));
        it.load.update(at(now),
                       static_cast<double>(it.ends.size() + it.queue.size()) / it.told_slots);
      }
    }
    for (int n = arrivals(random); n > 0; --n) {
      result.asked += now >= warm_up_ms ? 1 : 0;
      std::set<std::size_t> tried;
      auto& chooser = choosers[random() % senders];
      for (bool taken = false; !taken && tried.size() < targets;) {
        std::vector<placement::candidate> candidates;
        for (std::size_t i = 0; i < targets; ++i) {
          if (tried.count(i) == 0) {
            candidates.push_back({i, all[i].load.value(), all[i].told_slots, true});
          }
        }
        const std::size_t chosen = chooser.choose(candidates).value();
        tried.insert(chosen);
        target& it = all[chosen];
        if (it.queue.empty() && it.ends.size() < slots && it.limit.may_send(at(now))) {
          start(now, it);
          taken = true;
          continue;
        }
        const std::size_t ahead = it.queue.size() + 1;
        const auto for_slot =
            milliseconds(std::lround(static_cast<double>(ahead) * run_ms / slots));
        const duration wait = std::max<duration>(for_slot, it.limit.expected_wait(ahead));
        if (wait <= milliseconds(give_up_ms)) {
          it.queue.push_back(now + give_up_ms);
          taken = true;
        }
      }
    }
  }
  return result;
}

} // namespace

TEST_CASE("Callers are served beside a target that names a limit, while the others have room") {
  // 840 calls a second can be served.
  for (const double per_s : {300.0, 600.0, 700.0}) {
    CAPTURE(per_s);
    const limited_outcome it = play(per_s);
    CHECK(it.served >= it.asked * 0.98);
    CHECK(it.at_limited <= 40 * judged_s * 1.05);
  }
}

TEST_CASE("What a limited target takes is used when the others are full") {
  const limited_outcome it = play(1'200);
  CHECK(it.at_limited >= 40 * judged_s * 0.9);
  CHECK(it.served >= 840 * judged_s * 0.9);
}
