// Promise P1: retries for one request are bounded over its whole call tree.
#include <atomic>
#include <map>
#include <mutex>
#include <set>
#include <thread>

#include <doctest/doctest.h>

#include "failure/fleet.h"
#include "stand_ins/http_server.h"

namespace damaskledge::failure {
namespace {

constexpr milliseconds settle_limit{30'000};
constexpr std::size_t retry_budget = 4;

fleet& shared() {
  static fleet instance("retries", [] {
    fleet_plan plan = small_plan(37);
    plan.settings["retry_budget"] = retry_budget;
    for (const char* name : {"outer", "inner"}) {
      plan.plans["routes"].push_back(
          {{"name", name}, {"service", name}, {"method", "GET"}, {"path", "/state"}});
      plan.plans["routes"].back()["deadline"] = "4s";
      plan.plans["plans"][0]["routes"].push_back(name);
    }
    return plan;
  }());
  static const bool started = instance.start();
  REQUIRE(started);
  return instance;
}

/// Attempts by request id, counted by the upstreams.
class attempt_counts {
 public:
  void count(const std::string& request_id) {
    const std::lock_guard lock(mutex_);
    ++counts_[request_id];
  }
  std::size_t of(const std::string& request_id) const {
    const std::lock_guard lock(mutex_);
    const auto found = counts_.find(request_id);
    return found == counts_.end() ? 0 : found->second;
  }

 private:
  mutable std::mutex mutex_;
  std::map<std::string, std::size_t> counts_;
};

/// An upstream on each VM of service "outer" or "inner" that refuses without running. "outer"
/// first calls "inner" through its node and passes the refusal on.
class refusing_service {
 public:
  refusing_service(fleet& all, std::string name, std::uint16_t port, attempt_counts& counts)
      : name_(std::move(name)), port_(port), counts_(counts) {
    for (const machine& vm : all.machines()) {
      servers_.push_back(std::make_unique<stand_ins::http_server>(
          endpoint{vm.address, port}, 64,
          [this, local = endpoint{vm.address, 8'081}](auto& it) { serve(it, local); }));
    }
    announcer_ = std::thread([this, &all] {
      while (!stopping_) {
        for (const machine& vm : all.machines()) {
          exchange({vm.address, 8'081},
                   {.method = "POST",
                    .target = "/.damaskledge/announce",
                    .body =
                        nlohmann::json{
                            {"service", name_}, {"port", port_}, {"slots", 50}, {"connections", 64}}
                            .dump()});
        }
        std::this_thread::sleep_for(milliseconds(500));
      }
    });
  }
  ~refusing_service() {
    stopping_ = true;
    announcer_.join();
    for (auto& it : servers_) {
      it->stop();
    }
  }
  refusing_service(const refusing_service&) = delete;
  refusing_service& operator=(const refusing_service&) = delete;

 private:
  void serve(stand_ins::http_exchange& it, const endpoint& local) {
    counts_.count(it.header("Damaskledge-Request-Id"));
    if (name_ == "outer") {
      const auto answer =
          exchange(local, {.target = "/inner/state",
                           .headers = {{"Damaskledge-Context", it.header("Damaskledge-Context")}}});
      if (answer.header("Damaskledge-Outcome") != "not-run") {
        it.answer(502, "the inner call was not refused as not-run");
        return;
      }
    }
    it.set("Damaskledge-Outcome", "not-run");
    it.answer(503, "refused");
  }

  std::string name_;
  std::uint16_t port_;
  attempt_counts& counts_;
  std::atomic<bool> stopping_{false};
  std::vector<std::unique_ptr<stand_ins::http_server>> servers_;
  std::thread announcer_;
};

} // namespace

TEST_CASE("attempts of one request in a chain of two refusing services stay within the budget") {
  // Guards against retries that multiply along a chain: 5 * 5 attempts instead of 5.
  fleet& all = shared();
  attempt_counts outer_counts;
  attempt_counts inner_counts;
  const refusing_service outer(all, "outer", 9'100, outer_counts);
  const refusing_service inner(all, "inner", 9'101, inner_counts);
  std::size_t most_outer = 0;
  std::size_t most_inner = 0;
  std::size_t trees_with_retries = 0;
  const auto call = [&](const machine& node) {
    const auto answer = all.call(node, "crews", "GET", "/outer/state");
    const std::string id = answer.header("Damaskledge-Request-Id");
    const std::size_t outer_attempts = outer_counts.of(id);
    const std::size_t inner_attempts = inner_counts.of(id);
    INFO("outer ", outer_attempts, " inner ", inner_attempts, " ", answer.status, " ", answer.body);
    CHECK(answer.status != 200);
    // Each attempt at "outer" makes one call of "inner"; what goes beyond that is a retry.
    CHECK(outer_attempts <= 1 + retry_budget);
    CHECK(inner_attempts <= 1 + retry_budget);
    most_outer = std::max(most_outer, outer_attempts);
    most_inner = std::max(most_inner, inner_attempts);
    trees_with_retries += inner_attempts > 1 ? 1 : 0;
  };
  // The first calls may come before the nodes know the new targets.
  REQUIRE(wait_until(
      [&] {
        call(all.machines()[0]);
        return trees_with_retries > 0;
      },
      settle_limit));
  for (int round = 0; round < 10; ++round) {
    for (const machine& node : all.machines()) {
      call(node);
    }
  }
  MESSAGE("most attempts of one tree: outer ", most_outer, ", inner ", most_inner);
  CHECK(all.false_refusals() == std::vector<std::string>{});
  CHECK_FALSE(all.violated());
}

TEST_CASE("many callers at a refusing service get at most the budget's attempts each") {
  // Guards against a budget that concurrent requests share or lose.
  fleet& all = shared();
  attempt_counts counts;
  const refusing_service inner(all, "inner", 9'101, counts);
  REQUIRE(wait_until(
      [&] {
        const auto answer = all.call(all.machines()[5], "crews", "GET", "/inner/state");
        return counts.of(answer.header("Damaskledge-Request-Id")) > 0;
      },
      settle_limit));
  std::vector<std::thread> callers;
  std::mutex mutex;
  std::set<std::string> ids;
  for (std::size_t caller = 0; caller < 12; ++caller) {
    callers.emplace_back([&, caller] {
      for (int it = 0; it < 20; ++it) {
        const auto answer = all.call(all.machines()[caller % 6], "crews", "GET", "/inner/state");
        const std::lock_guard lock(mutex);
        ids.insert(answer.header("Damaskledge-Request-Id"));
      }
    });
  }
  for (std::thread& it : callers) {
    it.join();
  }
  CHECK(ids.size() == 240);
  std::size_t most = 0;
  for (const std::string& it : ids) {
    most = std::max(most, counts.of(it));
  }
  CHECK(most >= 1);
  CHECK(most <= 1 + retry_budget);
  CHECK_FALSE(all.violated());
}

} // namespace damaskledge::failure
