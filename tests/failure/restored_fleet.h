/// @file
/// A fleet whose platform can be taken back to a copy that is some seconds old.
#pragma once

#include <string>
#include <thread>

#include <doctest/doctest.h>

#include "failure/fleet.h"

namespace damaskledge::failure {

constexpr milliseconds settle_limit{30'000};
/// Time that the platform is away before it comes back from the copy.
constexpr milliseconds away{1'000};

template <std::uint8_t subnet>
struct restored_fleet {
  restored_fleet() {
    REQUIRE(all.start());
    REQUIRE(all.settled(settle_limit));
  }

  http_answer submit(std::size_t node, const std::string& number) {
    return all.call(all.machines()[node], "crews", "POST", "/dispatch/confirm",
                    nlohmann::json{{"dispatch_number", number}, {"gate", 7}}.dump());
  }
  std::size_t runs(const std::string& number) {
    return all.count_executions("dispatch", "dispatch_number", number);
  }
  void save() { all.platform_faults({{"save", true}}); }
  void restore() {
    all.platform_faults({{"outage", true}});
    std::this_thread::sleep_for(away);
    all.platform_faults({{"restore", true}, {"outage", false}});
  }
  control_result apply(double rate) {
    nlohmann::json plans = small_plan(subnet).plans;
    plans["plans"][1]["rate"] = rate;
    const std::string file = all.folder() + "/plans-" + std::to_string(rate) + ".json";
    write_file(file, plans.dump(2));
    return all.control(
        {"apply", "--accounts=" + all.folder() + "/accounts.json", "--plans=" + file, "--wait"});
  }

  fleet all{"restored-platform-" + std::to_string(subnet), small_plan(subnet)};
};

} // namespace damaskledge::failure
