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

/// Simulates crashes of targets that have many harmless requests in flight.
struct crash_run {
  crash_table table{{}};
  std::mt19937_64 random;
  std::uint64_t last = 1;
  std::vector<id128> harmless_requests;

  /// Crashes `target` at `at`. The harmless requests arrive evenly over the 50 ms before, the
  /// crashing request, if any, `age` before. All attempts break in random order within 2 ms.
  void crash_target(time_point at, const std::string& target, const std::vector<id128>& repeated,
                    std::size_t count, milliseconds age, bool with_crashing_request = true) {
    constexpr milliseconds latency{50};
    std::vector<std::pair<time_point, id128>> arrivals;
    std::vector<id128> others = repeated;
    while (others.size() < count) {
      others.push_back(fingerprint(++last));
    }
    for (const id128& it : others) {
      const auto since = std::chrono::microseconds(random() % 50'000);
      arrivals.emplace_back(at - since, it);
      harmless_requests.push_back(it);
    }
    if (with_crashing_request) {
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

  std::size_t count_harmless_refused(time_point now) const {
    return static_cast<std::size_t>(
        std::count_if(harmless_requests.begin(), harmless_requests.end(),
                      [&](const id128& it) { return table.convicted(now, it); }));
  }
};

} // namespace

TEST_CASE("a request that crashed two targets is refused before the third, the others are not") {
  // Guards against a request that its caller sends again until every upstream is dead, and
  // against refusing the hundreds of requests in flight with it, some of which were repeated.
  std::size_t missed = 0;
  std::size_t falsely_refused = 0;
  constexpr int runs = 200;
  for (int run = 0; run < runs; ++run) {
    crash_run it;
    it.random.seed(static_cast<std::uint64_t>(run));
    it.crash_target(start, "t1", {}, 300, milliseconds{5});
    CHECK_FALSE(it.table.convicted(start, fingerprint(0)));
    // Harmless requests that were repeated and answered, and are in flight again at the second
    // crash.
    const std::vector<id128> repeated(it.harmless_requests.begin(),
                                      it.harmless_requests.begin() + 40);
    for (const id128& one : repeated) {
      it.table.started(start + milliseconds{100}, one, "t3");
      it.table.answered(start + milliseconds{120}, one, "t3");
    }
    it.crash_target(start + seconds{1}, "t2", repeated, 300, milliseconds{6});
    const time_point now = start + seconds{1} + milliseconds{10};
    missed += it.table.convicted(now, fingerprint(0)) ? 0 : 1;
    falsely_refused += it.count_harmless_refused(now);
  }
  CHECK(falsely_refused == 0);
  CHECK(missed == 0);
}

TEST_CASE("harmless requests repeated without an answer may delay detection but are not refused") {
  // Guards against refusing harmless requests that can't be told from the crashing one yet: they
  // were in flight at the same crashes, and only their ages differ.
  for (const std::size_t count : {std::size_t{1}, std::size_t{5}, std::size_t{40}}) {
    std::size_t after_two = 0;
    std::size_t after_three = 0;
    std::size_t falsely_refused = 0;
    constexpr std::size_t runs = 200;
    for (std::size_t run = 0; run < runs; ++run) {
      crash_run it;
      it.random.seed(run);
      it.crash_target(start, "t1", {}, 300, milliseconds{5});
      const std::vector<id128> repeated(it.harmless_requests.begin(),
                                        it.harmless_requests.begin() +
                                            static_cast<std::ptrdiff_t>(count));
      it.crash_target(start + seconds{1}, "t2", repeated, 300, milliseconds{6});
      after_two += it.table.convicted(start + seconds{2}, fingerprint(0)) ? 1 : 0;
      it.crash_target(start + seconds{3}, "t3", repeated, 300, milliseconds{5});
      after_three += it.table.convicted(start + seconds{4}, fingerprint(0)) ? 1 : 0;
      falsely_refused += it.count_harmless_refused(start + seconds{4});
    }
    MESSAGE(count, " repeats: crashing request refused after two crashes in ", after_two,
            " and after three in ", after_three, " of ", runs, " runs, harmless requests refused ",
            falsely_refused);
    CHECK(falsely_refused == 0);
    CHECK(after_three >= (count <= 5 ? runs * 9 / 10 : runs / 2));
    CHECK((count > 5 || after_two >= runs / 2));
  }
}

TEST_CASE("a request alone on two targets that died is refused") {
  // Guards against detection that works only when other requests are in flight to compare with.
  crash_run it;
  it.crash_target(start, "t1", {}, 0, milliseconds{5});
  CHECK_FALSE(it.table.convicted(start, fingerprint(0)));
  it.crash_target(start + seconds{1}, "t1", {}, 0, milliseconds{5});
  CHECK_FALSE(it.table.convicted(start + seconds{1}, fingerprint(0)));
  it.crash_target(start + seconds{2}, "t2", {}, 0, milliseconds{25});
  CHECK(it.table.convicted(start + seconds{2} + milliseconds{10}, fingerprint(0)));
  CHECK(it.table.convictions(start + seconds{3}) == std::vector{fingerprint(0)});
  CHECK_FALSE(it.table.convicted(start + seconds{700}, fingerprint(0)));
}

TEST_CASE("crashes that no request caused lead to no refusal") {
  // Guards against refusing requests because two upstreams were killed by operators.
  std::size_t falsely_refused = 0;
  for (int run = 0; run < 200; ++run) {
    crash_run it;
    it.random.seed(static_cast<std::uint64_t>(run));
    it.crash_target(start, "t1", {}, 300, milliseconds{0}, false);
    const std::vector<id128> repeated(it.harmless_requests.begin(),
                                      it.harmless_requests.begin() + 20);
    it.crash_target(start + seconds{1}, "t2", repeated, 300, milliseconds{0}, false);
    falsely_refused += it.count_harmless_refused(start + seconds{2});
  }
  MESSAGE("crashes that no request caused: harmless requests refused ", falsely_refused);
  CHECK(falsely_refused == 0);
}

TEST_CASE("resets by live targets, expired suspicions and answered requests cause no refusal") {
  // Guards against refusing requests on evidence that no longer holds or never did.
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

TEST_CASE("a conviction reported by another node is applied but not forwarded") {
  // Guards against two nodes that renew each other's convictions for ever.
  crash_table table({});
  table.heard(start, fingerprint(1));
  CHECK(table.convicted(start, fingerprint(1)));
  table.heard(start + seconds{599}, fingerprint(1));
  CHECK_FALSE(table.convicted(start + seconds{600}, fingerprint(1)));
  CHECK(table.convictions(start).empty());
}

TEST_CASE("nodes that exchange reports refuse the crashing request and no harmless one") {
  // Guards against a caller that sends the request again to another node each time, and against a
  // node that blames the only request that it had in flight at a target.
  std::size_t caught = 0;
  std::size_t falsely_refused = 0;
  constexpr std::size_t runs = 200;
  constexpr std::size_t node_count = 12;
  for (std::size_t run = 0; run < runs; ++run) {
    std::mt19937_64 random(run);
    std::vector<crash_table> nodes(node_count, crash_table({}));
    std::vector<id128> harmless_requests;
    std::vector<std::vector<id128>> in_flight_before(node_count);
    time_point now = start;
    for (const std::string target : {"t1", "t2"}) {
      // One to four harmless requests in flight from each node; on every second node, the first of
      // them was also in flight at the previous crash.
      std::vector<std::vector<id128>> in_flight(node_count);
      for (std::size_t node = 0; node < node_count; ++node) {
        const std::size_t count = 1 + random() % 4;
        for (std::size_t it = 0; it < count; ++it) {
          const bool again = it == 0 && node % 2 == 1 && !in_flight_before[node].empty();
          const id128 value = again ? in_flight_before[node].front() : fingerprint(random());
          const auto age = std::chrono::microseconds(10'000 + random() % 40'000);
          nodes[node].started(now - age, value, target);
          in_flight[node].push_back(value);
          harmless_requests.push_back(value);
        }
      }
      const std::size_t crashing_request_node = random() % node_count;
      nodes[crashing_request_node].started(now - milliseconds{5}, fingerprint(0), target);
      in_flight[crashing_request_node].push_back(fingerprint(0));
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
      for (const id128& harmless : harmless_requests) {
        falsely_refused += it.convicted(now, harmless) ? 1 : 0;
      }
    }
  }
  MESSAGE("12 nodes, 6 unanswered repeats: crashing request refused on ", caught, " of ",
          runs * node_count, " nodes after two crashes, harmless requests refused ",
          falsely_refused);
  CHECK(falsely_refused == 0);
  CHECK(caught >= runs * node_count / 2);
}

TEST_CASE("an answer at one node clears the suspicion on the others") {
  // Guards against harmless requests that stay suspected on nodes where they aren't sent again.
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
