#include <algorithm>
#include <random>

#include <doctest/doctest.h>

#include "admission/admission.h"

using namespace damaskledge;
using namespace damaskledge::admission;

namespace {

constexpr time_point start{seconds{1'000}};

id128 fingerprint(std::uint64_t n) {
  return {n, ~n};
}

/// Several deaths of targets with many innocent requests in flight.
struct crash_run {
  crash_table table{{}};
  std::mt19937_64 random;
  std::uint64_t last = 1;
  std::vector<id128> innocents;

  /// The culprit arrives among requests that arrived evenly over `latency`; the target dies
  /// `age` after its arrival, and all attempts break in arbitrary order within 2 ms.
  void death(time_point at, const std::string& target, const std::vector<id128>& repeated,
             std::size_t count, milliseconds age, bool culprit = true) {
    constexpr milliseconds latency{50};
    std::vector<std::pair<time_point, id128>> arrivals;
    std::vector<id128> others = repeated;
    while (others.size() < count) {
      others.push_back(fingerprint(++last));
    }
    for (const id128& it : others) {
      const auto since = std::chrono::microseconds(random() % 50'000);
      arrivals.emplace_back(at - since, it);
      innocents.push_back(it);
    }
    if (culprit) {
      arrivals.emplace_back(at - age, fingerprint(0));
    }
    std::sort(arrivals.begin(), arrivals.end(),
              [](const auto& a, const auto& b) { return a.first < b.first; });
    for (const auto& [when, it] : arrivals) {
      table.started(when, it, target);
    }
    std::shuffle(arrivals.begin(), arrivals.end(), random);
    auto noticed = at;
    for (const auto& [when, it] : arrivals) {
      noticed += std::chrono::microseconds(2'000 / arrivals.size());
      table.broken(noticed, it, target, true);
    }
  }

  std::size_t innocents_refused(time_point now) const {
    return static_cast<std::size_t>(
        std::count_if(innocents.begin(), innocents.end(),
                      [&](const id128& it) { return table.convicted(now, it); }));
  }
};

} // namespace

TEST_CASE("a request that crashed two targets is refused before the third, the others are not") {
  // Guards against a request that its caller sends again until every upstream is dead, and
  // against refusing the hundreds that were in flight beside it, some of them repeated.
  std::size_t missed = 0;
  std::size_t wrong = 0;
  constexpr int runs = 200;
  for (int run = 0; run < runs; ++run) {
    crash_run it;
    it.random.seed(static_cast<std::uint64_t>(run));
    it.death(start, "t1", {}, 300, milliseconds{5});
    CHECK_FALSE(it.table.convicted(start, fingerprint(0)));
    // Innocents that were repeated and answered, and are in flight again at the second death.
    const std::vector<id128> repeated(it.innocents.begin(), it.innocents.begin() + 40);
    for (const id128& one : repeated) {
      it.table.started(start + milliseconds{100}, one, "t3");
      it.table.answered(start + milliseconds{120}, one, "t3");
    }
    it.death(start + seconds{1}, "t2", repeated, 300, milliseconds{6});
    const time_point now = start + seconds{1} + milliseconds{10};
    missed += it.table.convicted(now, fingerprint(0)) ? 0 : 1;
    wrong += it.innocents_refused(now);
  }
  CHECK(wrong == 0);
  CHECK(missed == 0);
}

TEST_CASE("innocents repeated without an answer may delay the verdict but are not refused") {
  // Guards against refusing innocents when the evidence does not tell them apart yet: these were
  // in flight at the same deaths as the culprit, and only their ages differ.
  for (const std::size_t count : {std::size_t{1}, std::size_t{5}, std::size_t{40}}) {
    std::size_t after_two = 0;
    std::size_t after_three = 0;
    std::size_t wrong = 0;
    constexpr std::size_t runs = 200;
    for (std::size_t run = 0; run < runs; ++run) {
      crash_run it;
      it.random.seed(run);
      it.death(start, "t1", {}, 300, milliseconds{5});
      const std::vector<id128> repeated(it.innocents.begin(),
                                        it.innocents.begin() + static_cast<std::ptrdiff_t>(count));
      it.death(start + seconds{1}, "t2", repeated, 300, milliseconds{6});
      after_two += it.table.convicted(start + seconds{2}, fingerprint(0)) ? 1 : 0;
      it.death(start + seconds{3}, "t3", repeated, 300, milliseconds{5});
      after_three += it.table.convicted(start + seconds{4}, fingerprint(0)) ? 1 : 0;
      wrong += it.innocents_refused(start + seconds{4});
    }
    MESSAGE(count, " repeats: culprit refused after two deaths in ", after_two,
            " and after three in ", after_three, " of ", runs, " runs, innocents refused ", wrong);
    CHECK(wrong == 0);
    CHECK(after_three >= (count <= 5 ? runs * 9 / 10 : runs / 2));
    CHECK((count > 5 || after_two >= runs / 2));
  }
}

TEST_CASE("a request alone on two targets that died is refused") {
  // Guards against depending on competitors.
  crash_run it;
  it.death(start, "t1", {}, 0, milliseconds{5});
  CHECK_FALSE(it.table.convicted(start, fingerprint(0)));
  it.death(start + seconds{1}, "t1", {}, 0, milliseconds{5});
  CHECK_FALSE(it.table.convicted(start + seconds{1}, fingerprint(0)));
  it.death(start + seconds{2}, "t2", {}, 0, milliseconds{25});
  CHECK(it.table.convicted(start + seconds{2} + milliseconds{10}, fingerprint(0)));
  CHECK(it.table.convictions(start + seconds{3}) == std::vector{fingerprint(0)});
  CHECK_FALSE(it.table.convicted(start + seconds{700}, fingerprint(0)));
}

TEST_CASE("deaths without a culprit convict nobody") {
  // Guards against refusing requests because two upstreams were killed by operators.
  std::size_t wrong = 0;
  for (int run = 0; run < 200; ++run) {
    crash_run it;
    it.random.seed(static_cast<std::uint64_t>(run));
    it.death(start, "t1", {}, 300, milliseconds{0}, false);
    const std::vector<id128> repeated(it.innocents.begin(), it.innocents.begin() + 20);
    it.death(start + seconds{1}, "t2", repeated, 300, milliseconds{0}, false);
    wrong += it.innocents_refused(start + seconds{2});
  }
  MESSAGE("deaths without a culprit: innocents refused ", wrong);
  CHECK(wrong == 0);
}

TEST_CASE("resets of targets that live, lapsed suspicions and answers convict nobody") {
  // Guards against verdicts from evidence that is void.
  crash_table table({});
  for (const std::string target : {"t1", "t2", "t3"}) {
    table.started(start, fingerprint(1), target);
    table.broken(start, fingerprint(1), target, false);
    table.started(start, fingerprint(2), target);
    table.abandoned(fingerprint(2), target);
  }
  CHECK_FALSE(table.convicted(start, fingerprint(1)));
  const auto crash = [&](time_point now, const std::string& target) {
    table.started(now, fingerprint(3), target);
    table.broken(now, fingerprint(3), target, true);
  };
  crash(start, "a");
  crash(start + seconds{61}, "b");
  CHECK_FALSE(table.convicted(start + seconds{61}, fingerprint(3)));
  table.started(start + seconds{62}, fingerprint(3), "c");
  table.answered(start + seconds{62}, fingerprint(3), "c");
  crash(start + seconds{63}, "d");
  CHECK_FALSE(table.convicted(start + seconds{63}, fingerprint(3)));
}

TEST_CASE("a conviction of another node counts but is not told on") {
  // Guards against two nodes that renew each other's convictions for ever.
  crash_table table({});
  table.heard(start, fingerprint(1));
  CHECK(table.convicted(start, fingerprint(1)));
  table.heard(start + seconds{599}, fingerprint(1));
  CHECK_FALSE(table.convicted(start + seconds{600}, fingerprint(1)));
  CHECK(table.convictions(start).empty());
}

TEST_CASE("nodes that exchange reports refuse the culprit everywhere and no innocent") {
  // Guards against a caller that sends the request again to another node each time, and against a
  // node that blames the only request that it had in flight at a target.
  std::size_t caught = 0;
  std::size_t wrong = 0;
  constexpr std::size_t runs = 200;
  constexpr std::size_t node_count = 12;
  for (std::size_t run = 0; run < runs; ++run) {
    std::mt19937_64 random(run);
    std::vector<crash_table> nodes(node_count, crash_table({}));
    std::vector<id128> innocents;
    std::vector<std::vector<id128>> in_flight_before(node_count);
    time_point now = start;
    for (const std::string target : {"t1", "t2"}) {
      // One to four innocents in flight from each node; on every second node, the first of them
      // was in flight at the death before, too.
      std::vector<std::vector<id128>> in_flight(node_count);
      for (std::size_t node = 0; node < node_count; ++node) {
        const std::size_t count = 1 + random() % 4;
        for (std::size_t it = 0; it < count; ++it) {
          const bool again = it == 0 && node % 2 == 1 && !in_flight_before[node].empty();
          const id128 value = again ? in_flight_before[node].front() : fingerprint(random());
          const auto age = std::chrono::microseconds(10'000 + random() % 40'000);
          nodes[node].started(now - age, value, target);
          in_flight[node].push_back(value);
          innocents.push_back(value);
        }
      }
      const std::size_t culprit_node = random() % node_count;
      nodes[culprit_node].started(now - milliseconds{5}, fingerprint(0), target);
      in_flight[culprit_node].push_back(fingerprint(0));
      for (std::size_t node = 0; node < node_count; ++node) {
        for (const id128& it : in_flight[node]) {
          nodes[node].broken(now, it, target, true);
        }
      }
      for (std::size_t node = 0; node < node_count; ++node) {
        const crash_report report = nodes[node].take_report();
        CHECK_FALSE(report.empty());
        for (std::size_t other = 0; other < node_count; ++other) {
          if (other != node) {
            nodes[other].heard_report(now + milliseconds{2}, report);
          }
        }
      }
      in_flight_before = in_flight;
      now += seconds{1};
    }
    for (const crash_table& it : nodes) {
      caught += it.convicted(now, fingerprint(0)) ? 1 : 0;
      for (const id128& innocent : innocents) {
        wrong += it.convicted(now, innocent) ? 1 : 0;
      }
    }
  }
  MESSAGE("12 nodes, 6 unanswered repeats: culprit refused on ", caught, " of ", runs * node_count,
          " nodes after two deaths, innocents refused ", wrong);
  CHECK(wrong == 0);
  CHECK(caught >= runs * node_count / 2);
}

TEST_CASE("an answer at one node clears the suspicion on the others") {
  // Guards against innocents that stay suspects where they are not sent again.
  crash_table first({});
  crash_table second({});
  first.started(start, fingerprint(1), "t1");
  first.broken(start, fingerprint(1), "t1", true);
  second.heard_report(start, first.take_report());
  CHECK(first.take_report().empty());
  second.started(start, fingerprint(1), "t2");
  second.answered(start, fingerprint(1), "t2");
  first.heard_report(start, second.take_report());
  for (crash_table* it : {&first, &second}) {
    it->started(start, fingerprint(1), "t3");
    it->broken(start, fingerprint(1), "t3", true);
    CHECK_FALSE(it->convicted(start, fingerprint(1)));
  }
}
