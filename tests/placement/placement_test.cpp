#include <algorithm>
#include <random>
#include <set>

#include <doctest/doctest.h>

#include "placement/placement.h"

using namespace damaskledge;

namespace {

/// What callers of one service get whose targets are known from reports and answers.
struct placement_outcome {
  /// Fraction of the calls that had to wait for a slot.
  double waited = 0;
  /// 99th percentile of the wait, in ms.
  int wait_p99_ms = 0;
};

/// 95 nodes send calls to 6 targets with 18 slots each, of different speed, at three quarters of
/// what the targets can run. Targets report their load every 250 ms and with each answer.
/// @param choose gets the sender and the loads that it knows, and returns a target.
template <class Choose>
placement_outcome play_placement(const Choose& choose) {
  constexpr std::size_t senders = 95;
  constexpr std::size_t targets = 6;
  constexpr std::size_t slots = 18;
  constexpr double calls_per_ms = 2.0;
  struct view {
    double reported = 0;
    double sent = 0;
    placement::smoothed_load load;
  };
  struct pending_answer {
    int at = 0;
    std::size_t sender = 0;
    std::size_t target = 0;
  };
  std::vector<std::vector<view>> views(senders, std::vector<view>(targets));
  std::vector<std::vector<int>> ends(targets);
  std::vector<pending_answer> answers;
  std::vector<int> waits;
  std::mt19937 random{5};
  const auto report = [&](int now, std::size_t sender, std::size_t target) {
    view& it = views[sender][target];
    it.reported = static_cast<double>(ends[target].size()) / slots;
    it.sent = 0;
    it.load.update(time_point(milliseconds(100'000 + now)), it.reported);
  };
  for (int now = 0; now < 10'000; ++now) {
    for (std::size_t i = 0; i < targets; ++i) {
      std::erase_if(ends[i], [&](int end) { return end <= now; });
      for (std::size_t from = 0; now % 250 == 0 && from < senders; ++from) {
        report(now, from, i);
      }
    }
    std::erase_if(answers, [&](const pending_answer& it) {
      if (it.at <= now) {
        report(now, it.sender, it.target);
      }
      return it.at <= now;
    });
    std::poisson_distribution<int> arrivals(calls_per_ms);
    for (int n = arrivals(random); n > 0; --n) {
      const std::size_t from = random() % senders;
      std::vector<placement::candidate> recent;
      std::vector<placement::candidate> smoothed;
      for (std::size_t i = 0; i < targets; ++i) {
        const view& it = views[from][i];
        recent.push_back({i, it.reported + it.sent / slots, slots, true});
        smoothed.push_back({i, it.load.value() + it.sent / slots, slots, true});
      }
      const std::size_t chosen = choose(from, recent, smoothed);
      views[from][chosen].sent += 1;
      int start = now;
      if (ends[chosen].size() >= slots) {
        auto& it = ends[chosen];
        const auto next = it.end() - static_cast<std::ptrdiff_t>(slots);
        std::nth_element(it.begin(), next, it.end());
        start = *next;
      }
      const int held = 28 + static_cast<int>(chosen) * 5;
      ends[chosen].push_back(start + held);
      answers.push_back({start + held + 1, from, chosen});
      waits.push_back(start - now);
    }
  }
  std::sort(waits.begin(), waits.end());
  const auto waited = std::count_if(waits.begin(), waits.end(), [](int it) { return it > 0; });
  return {static_cast<double>(waited) / static_cast<double>(waits.size()),
          waits[waits.size() * 99 / 100]};
}

} // namespace

TEST_CASE("Many nodes with old reports do not all choose the same target") {
  const auto least_loaded = play_placement([](std::size_t, const auto& recent, const auto&) {
    return std::min_element(recent.begin(), recent.end(),
                            [](const auto& a, const auto& b) { return a.load < b.load; })
        ->id;
  });
  std::vector<placement::target_chooser> choosers;
  for (std::uint32_t i = 0; i < 95; ++i) {
    choosers.emplace_back(placement::options{}, i + 1);
  }
  const auto drawn = play_placement([&](std::size_t from, const auto&, const auto& smoothed) {
    return choosers[from].choose(smoothed).value();
  });
  MESSAGE("waited: ", least_loaded.waited, ", p99 ", least_loaded.wait_p99_ms,
          " ms at the least loaded target; ", drawn.waited, ", p99 ", drawn.wait_p99_ms,
          " ms when drawn by free slots");
  CHECK(drawn.waited < least_loaded.waited / 2);
  // A call takes 40 ms; 99 in 100 wait less than that.
  CHECK(drawn.wait_p99_ms < 40);
}

TEST_CASE("A request leaves its data centre only when the load there is clearly less") {
  placement::target_chooser chooser({.data_centre_preference = 0.2}, 1);
  const auto far_part = [&](double near_load, double far_load) {
    int far = 0;
    for (int i = 0; i < 1'000; ++i) {
      far += static_cast<int>(
          chooser.choose({{0, near_load, 10, true}, {1, far_load, 10, false}}).value());
    }
    return far / 1'000.0;
  };
  CHECK(far_part(0.3, 0.15) == 0);
  CHECK(far_part(0.7, 0.6) == 0);
  CHECK(far_part(0.9, 0.9) == 0);
  CHECK(far_part(0.9, 0.2) > 0.7);
  CHECK(far_part(1.0, 0.85) > 0.5);
  // A data centre whose only target is slow is left although that target has free slots.
  int far = 0;
  for (int i = 0; i < 1'000; ++i) {
    far +=
        static_cast<int>(chooser.choose({{0, 0.3, 10, true, 2.8}, {1, 0.3, 10, false, 1}}).value());
  }
  CHECK(far > 800);
  CHECK_FALSE(chooser.choose({}));
  CHECK(chooser.choose({{7, 2.0, 10, false}}) == 7);
}

TEST_CASE("A slow target gets few requests while faster ones have room") {
  // Targets of one service differ in speed. With free slots everywhere, a quarter of the requests
  // went to a target that took three times as long, and missed their objective.
  const std::vector<traffic::route_cost> fleet{{"read", "search", 0.2, 1'000},
                                               {"write", "search", 0.4, 500}};
  CHECK(placement::relative_slowness({}, fleet) == 1);
  CHECK(placement::relative_slowness({{"read", "search", 0.6, 3}}, fleet) < 1.5);
  const double slow = placement::relative_slowness(
      {{"read", "search", 0.6, 150}, {"write", "search", 1.2, 50}}, fleet);
  CHECK(slow == doctest::Approx(2.83).epsilon(0.05));
  CHECK(placement::relative_slowness({{"read", "search", 1e9, 1e9}}, fleet) == 16);
  placement::target_chooser chooser({}, 1);
  const auto slow_part = [&](double load_of_fast) {
    int n = 0;
    for (int i = 0; i < 1'000; ++i) {
      const auto chosen = chooser.choose({{0, 0.2, 10, true, slow},
                                          {1, load_of_fast, 10, true, 1},
                                          {2, load_of_fast, 10, true, 1},
                                          {3, load_of_fast, 10, true, 1}});
      n += chosen == 0 ? 1 : 0;
    }
    return n / 1'000.0;
  };
  CHECK(slow_part(0.2) < 0.08);
  CHECK(slow_part(1.05) > 0.3);
}

TEST_CASE("A target that fails requests gets few of them, and more again once it has recovered") {
  // A target that answers with garbage at once has few requests under way and attracted more.
  placement::failure_meter meter;
  CHECK(meter.penalty() == 1);
  for (int i = 0; i < 40; ++i) {
    meter.ended(true);
  }
  placement::target_chooser chooser({}, 1);
  int failing = 0;
  for (int i = 0; i < 10'000; ++i) {
    failing +=
        chooser.choose({{0, 0, 10, true, meter.penalty()}, {1, 0.5, 10, true, 1}}) == 0 ? 1 : 0;
  }
  CHECK(failing > 0);
  CHECK(failing < 200);
  for (int i = 0; i < 60; ++i) {
    meter.ended(false);
  }
  CHECK(meter.penalty() < 1.1);
}

TEST_CASE("A large group is sampled, and each usable member may be chosen") {
  placement::target_chooser chooser({.sample = 3}, 3);
  std::set<std::size_t> drawn;
  for (int i = 0; i < 300; ++i) {
    const auto sample = chooser.sample(9, [](std::size_t at) { return at != 4; });
    REQUIRE(sample.size() == 3);
    drawn.insert(sample.begin(), sample.end());
  }
  CHECK(drawn == std::set<std::size_t>{0, 1, 2, 3, 5, 6, 7, 8});
  CHECK(chooser.sample(3, [](std::size_t) { return false; }).empty());
  CHECK(chooser.sample(0, [](std::size_t) { return true; }).empty());
}
