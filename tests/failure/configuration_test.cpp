// Promise P12: an accepted configuration is in force everywhere within seconds and never reverts.
#include <algorithm>
#include <atomic>
#include <mutex>
#include <thread>

#include <doctest/doctest.h>

#include "failure/fleet.h"

namespace damaskledge::failure {
namespace {

constexpr milliseconds settle_limit{30'000};
constexpr milliseconds in_force_limit{3'000};

fleet& shared() {
  static fleet instance("configuration", small_plan(34));
  static const bool started = instance.start();
  REQUIRE(started);
  return instance;
}

/// @return version of the lists that a node has in force; 0 when it has none or gives no answer.
int version_at(fleet& all, const machine& node) {
  const auto status =
      exchange(all.operator_endpoint(node), {.target = "/status", .timeout = milliseconds(1'000)})
          .json();
  return status.is_object() ? status["documents"].value("lists", 0) : 0;
}

int version_in_platform(fleet& all) {
  const std::string tag =
      exchange(all.platform_endpoint(), {.target = "/v1/objects/config/lists"}).header("ETag");
  return tag.size() < 3 ? 0 : std::stoi(tag.substr(1, tag.size() - 2));
}

/// Writes the plans with another rate for plan "small".
std::string plans_with(fleet& all, double rate) {
  nlohmann::json plans = small_plan(34).plans;
  plans["plans"][1]["rate"] = rate;
  const std::string file = all.folder() + "/plans-" + std::to_string(rate) + ".json";
  write_file(file, plans.dump(2));
  return file;
}

control_result apply(fleet& all, double rate, const std::vector<std::string>& more = {}) {
  std::vector<std::string> words{"apply", "--accounts=" + all.folder() + "/accounts.json",
                                 "--plans=" + plans_with(all, rate)};
  words.insert(words.end(), more.begin(), more.end());
  return all.control(words);
}

/// Reads the versions in force of all nodes again and again, and remembers any that went back.
class version_watch {
 public:
  explicit version_watch(fleet& all) : all_(all) {
    for (const machine& node : all.machines()) {
      threads_.emplace_back([this, &node] {
        int highest = 0;
        while (!stopping_) {
          const int now = version_at(all_, node);
          // 0 is a node that is down, or that has just started and serves no keyed request.
          if (now != 0 && now < highest) {
            ++reverts_;
          }
          highest = std::max(highest, now);
          ++samples_;
          std::this_thread::sleep_for(milliseconds(20));
        }
      });
    }
  }
  ~version_watch() { stop(); }
  version_watch(const version_watch&) = delete;
  version_watch& operator=(const version_watch&) = delete;

  void stop() {
    stopping_ = true;
    for (std::thread& it : threads_) {
      if (it.joinable()) {
        it.join();
      }
    }
  }
  int reverts() const { return reverts_; }
  int samples() const { return samples_; }

 private:
  fleet& all_;
  std::atomic<bool> stopping_{false};
  std::atomic<int> reverts_{0};
  std::atomic<int> samples_{0};
  std::vector<std::thread> threads_;
};

/// @return longest time from `since` until a node has the version, or nothing after the limit.
std::optional<milliseconds> time_until_in_force(fleet& all, const std::vector<machine*>& nodes,
                                                int version, time_point since) {
  duration longest{0};
  std::mutex mutex;
  std::atomic<bool> all_have_it{true};
  std::vector<std::thread> threads;
  for (const machine* node : nodes) {
    threads.emplace_back([&, node] {
      if (!wait_until([&] { return version_at(all, *node) >= version; }, 2 * in_force_limit)) {
        all_have_it = false;
      }
      const std::lock_guard lock(mutex);
      longest = std::max<duration>(longest, clock_type::now() - since);
    });
  }
  for (std::thread& it : threads) {
    it.join();
  }
  if (!all_have_it) {
    return std::nullopt;
  }
  return std::chrono::duration_cast<milliseconds>(longest);
}

std::vector<machine*> nodes_outside(fleet& all, const std::string& data_centre) {
  std::vector<machine*> result;
  for (machine& it : all.machines()) {
    if (it.data_centre != data_centre) {
      result.push_back(&it);
    }
  }
  return result;
}

} // namespace

TEST_CASE("applied lists are in force on all nodes within 3 s") {
  // Guards against nodes that wait for a poll, and against versions that go back.
  fleet& all = shared();
  version_watch watch(all);
  for (const double rate : {31.0, 32.0, 33.0, 34.0, 35.0}) {
    const time_point applied = clock_type::now();
    REQUIRE(apply(all, rate).exit_code == 0);
    const auto time =
        time_until_in_force(all, nodes_outside(all, ""), version_in_platform(all), applied);
    REQUIRE(time.has_value());
    CHECK(*time <= in_force_limit);
    MESSAGE("in force on 6 nodes ", time->count(), " ms after the start of damaskledgectl");
  }
  watch.stop();
  CHECK(watch.samples() > 0);
  CHECK(watch.reverts() == 0);
}

TEST_CASE("of two operators that apply at once one wins and the other is told") {
  // Guards against lists that overwrite a colleague's without a word.
  fleet& all = shared();
  for (int round = 0; round < 5; ++round) {
    const std::string expected = "--expect_version=" + std::to_string(version_in_platform(all));
    control_result first;
    control_result second;
    std::thread other([&] { second = apply(all, 41 + round, {expected}); });
    first = apply(all, 51 + round, {expected});
    other.join();
    INFO(first.exit_code, " ", first.errors, " / ", second.exit_code, " ", second.errors);
    CHECK((first.exit_code == 0) != (second.exit_code == 0));
    const control_result& loser = first.exit_code == 0 ? second : first;
    CHECK(loser.errors.find("version") != std::string::npos);
    const double winner = first.exit_code == 0 ? 51 + round : 41 + round;
    const auto stored =
        exchange(all.platform_endpoint(), {.target = "/v1/objects/config/lists"}).body;
    CHECK(stored.find(std::to_string(static_cast<int>(winner))) != std::string::npos);
  }
  REQUIRE(all.settled(settle_limit));
}

TEST_CASE("lists are applied while a data centre is cut off") {
  // Guards against an apply that waits for a lost data centre, and against one that never learns.
  fleet& all = shared();
  version_watch watch(all);
  all.cut("dc3", true);
  std::this_thread::sleep_for(milliseconds(500));
  const int before = version_at(all, *all.of_data_centre("dc3").front());
  const time_point applied = clock_type::now();
  REQUIRE(apply(all, 61).exit_code == 0);
  const int version = version_in_platform(all);
  const auto time = time_until_in_force(all, nodes_outside(all, "dc3"), version, applied);
  REQUIRE(time.has_value());
  CHECK(*time <= in_force_limit);
  MESSAGE("in force on 4 reachable nodes ", time->count(), " ms after the start of damaskledgectl");
  for (const machine* node : all.of_data_centre("dc3")) {
    CHECK(version_at(all, *node) == before);
    // A cut data centre goes on with what it has.
    CHECK(all.call(*node, "crews", "GET", "/dispatch/state").status == 200);
  }
  all.heal();
  const time_point healed = clock_type::now();
  const auto later = time_until_in_force(all, nodes_outside(all, ""), version, healed);
  CHECK(later.has_value());
  if (later) {
    MESSAGE("in force in the healed data centre after ", later->count(), " ms");
  }
  REQUIRE(all.settled(settle_limit));
  watch.stop();
  CHECK(watch.reverts() == 0);
}

TEST_CASE("lists can't be applied while the platform is down and nothing reverts") {
  // Guards against a half applied configuration and against replaced nodes that begin with an
  // old one.
  fleet& all = shared();
  version_watch watch(all);
  const int version = version_in_platform(all);
  all.platform_faults({{"outage", true}});
  const auto refused = apply(all, 71);
  CHECK(refused.exit_code != 0);
  CHECK_FALSE(refused.errors.empty());

  const auto replaced = all.of_data_centre("dc2");
  for (machine* it : replaced) {
    it->node->signal(SIGKILL);
  }
  for (machine* it : replaced) {
    it->node->wait(milliseconds(5'000));
    all.start_node(*it);
  }
  // The new nodes know no document and can't reach the platform: the peers have it.
  const auto time = time_until_in_force(all, replaced, version, clock_type::now());
  CHECK(time.has_value());
  if (time) {
    MESSAGE("replaced nodes had the lists ", time->count(), " ms after their start");
  }
  for (const machine* it : replaced) {
    CHECK(wait_until([&] { return all.call(*it, "crews", "GET", "/gate/state").status == 200; },
                     settle_limit));
  }
  for (const machine& it : all.machines()) {
    CHECK(version_at(all, it) == version);
  }
  all.platform_faults({{"outage", false}});
  CHECK(wait_until([&] { return apply(all, 72).exit_code == 0; }, settle_limit));
  CHECK(version_in_platform(all) > version);
  REQUIRE(all.settled(settle_limit));
  watch.stop();
  CHECK(watch.reverts() == 0);
  CHECK(all.false_refusals() == std::vector<std::string>{});
  CHECK_FALSE(all.violated());
}

} // namespace damaskledge::failure
