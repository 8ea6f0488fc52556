#include <cmath>
#include <limits>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include "bench/bench.h"

namespace damaskledge::bench {
namespace {

// Guards against a wrong sum in the fit.
TEST_CASE("the fit finds a known line") {
  std::vector<point> points;
  for (const double x : {12.0, 50.0, 137.0, 300.0, 820.0}) {
    points.push_back({x, 0.25 * x + 7});
  }
  const line found = fit_line(points);
  CHECK(found.slope == doctest::Approx(0.25));
  CHECK(found.intercept == doctest::Approx(7));
  CHECK(found.largest_error < 1e-9);
}

// Guards against an error that hides points off the line. Least squares of (0,0), (1,0), (2,3) is
// y = 1.5 x - 0.5 with residuals 0.5, -1 and 0.5; zeros are compared with the largest value.
TEST_CASE("the error of the fit is the largest relative residual") {
  const line found = fit_line({{0, 0}, {1, 0}, {2, 3}});
  CHECK(found.slope == doctest::Approx(1.5));
  CHECK(found.intercept == doctest::Approx(-0.5));
  CHECK(found.largest_error == doctest::Approx(1.0 / 3));
  const line relative = fit_line({{1, 1}, {2, 4}, {3, 4}});
  CHECK(relative.slope == doctest::Approx(1.5));
  CHECK(relative.intercept == doctest::Approx(0));
  CHECK(relative.largest_error == doctest::Approx(0.5));
}

// Guards against a division by zero when all points have the same size, or there are none.
TEST_CASE("a series without spread has slope 0") {
  const line same = fit_line({{5, 2}, {5, 4}});
  CHECK(same.slope == 0);
  CHECK(same.intercept == doctest::Approx(3));
  CHECK(same.largest_error == doctest::Approx(0.5));
  CHECK(fit_line({}).largest_error == 0);
  CHECK(fit_line({{1, 0}, {2, 0}}).largest_error == 0);
}

// Guards against a world that no longer reaches its steady state, or that loses its messages, so
// that series are empty or measure nothing.
TEST_CASE("a quick run fills every series and its fleets work") {
  options wanted;
  wanted.quick = true;
  const std::uint64_t violations = violation_count();
  const report result = run(wanted);
  CHECK(violation_count() == violations);
  CHECK(result.processors > 0);
  std::map<std::string, series> by_name;
  for (const series& it : result.all) {
    CAPTURE(it.name);
    CHECK(by_name.emplace(it.name, it).second);
    REQUIRE(it.points.size() >= 3);
    std::set<double> sizes;
    for (const point& at : it.points) {
      CHECK(std::isfinite(at.y));
      sizes.insert(at.x);
    }
    CHECK(sizes.size() == it.points.size());
    CHECK(std::isfinite(it.fitted.slope));
    CHECK(std::isfinite(it.fitted.largest_error));
  }
  const auto positive = [&](const std::string& name) {
    CAPTURE(name);
    REQUIRE(by_name.contains(name));
    for (const point& at : by_name.at(name).points) {
      CHECK(at.y > 0);
    }
  };
  for (const char* role : {"node", "candidate", "coordinator"}) {
    for (const char* what : {"tick", "handling", "messages_sent", "messages_received", "bytes_sent",
                             "bytes_received"}) {
      positive(std::string(role) + "." + what);
    }
  }
  for (const char* name : {"coordinator.platform_writes",
                           "coordinator.platform_watches_waiting",
                           "change_lists_by_members.rumour_messages",
                           "change_lists_by_members.pull_messages",
                           "change_lists_by_members.content_bytes",
                           "change_keys_by_keys.content_bytes",
                           "memory.members",
                           "memory.accounts",
                           "memory.keys",
                           "memory.buckets",
                           "memory.allocator",
                           "memory.targets",
                           "join.synchronisation",
                           "authenticate",
                           "buckets.take",
                           "targets.acquire_release",
                           "context.issue",
                           "context.check",
                           "frame.encode",
                           "frame.decode",
                           "tokens_by_holders.coordinator_bytes",
                           "claims_10ms.platform_writes",
                           "claims_50ms.platform_bytes_per_claim",
                           "claims_one_of_six.platform_bytes",
                           "memory.claims"}) {
    positive(name);
  }
  for (const point& at : by_name.at("check.members_alive").points) {
    CHECK(at.y == at.x);
  }
  for (const char* name : {"check.rules_in_force.keys", "check.rules_in_force.accounts"}) {
    for (const point& at : by_name.at(name).points) {
      CHECK(at.y == 1);
    }
  }
  for (const point& at : by_name.at("change_lists_by_members.time").points) {
    CHECK(at.y < 3);
  }
  for (const point& at : by_name.at("claims_50ms.granted").points) {
    CHECK(at.y > 0.9);
  }
  const auto parsed = nlohmann::json::parse(to_json(result));
  CHECK(parsed.at("series").size() == result.all.size());
  CHECK(to_text(result).find("coordinator.tick") != std::string::npos);
}

} // namespace
} // namespace damaskledge::bench
