/// @file
/// Randomised runs of the real node programs as separate processes. Faults come from outside them:
/// signals, proxies, a store and targets that misbehave. The promises are checked while it runs,
/// from what callers and targets see.
#pragma once

#include <cstdint>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "sidecar/store_stand_in.h"
#include "soak/caller.h"
#include "soak/history.h"
#include "soak/vm.h"

namespace damaskledge::soak {

struct soak_options {
  std::uint64_t seed = 1;
  seconds length{30};
  /// Even, since the VMs of the two services alternate; in three data centres.
  std::size_t vms = 6;
  /// Ten ports of 127.0.0.1 are used for each VM, and one for the store.
  std::uint16_t first_port = 21'000;
  /// Logs, settings and the report are written here.
  std::string folder;
};

/// One fault and when it began.
struct fault_record {
  duration at{};
  std::string what;
};

struct soak_report {
  std::uint64_t seed = 0;
  std::vector<fault_record> faults;
  std::vector<violation> violations;
  std::size_t requests = 0;
  std::size_t runs = 0;
  /// Part of the requests served after the last fault.
  double served_after = 0;
};

/// @return one line a fault and violation, in the order of their times, and a summary.
std::string to_text(const soak_report& report);

class soak_run {
 public:
  explicit soak_run(soak_options options);
  soak_report run();

  /// The store has not been disturbed for the stable window.
  bool store_stable() const { return loop_.now() - store_disturbed_until_ > stable_window; }
  /// Nothing unplanned has happened anywhere for the stable window.
  bool calm() const;

 private:
  /// Writes a configuration with the present keys and a new version.
  void configure();
  void write_configuration();
  nlohmann::json configuration_of(const nlohmann::json& tenants) const;
  void plan_faults();
  void inject();
  void disturb_link(vm& at, bool store_side);
  void disturb_store();
  /// Loses what was written since the last copy, entries of nodes included.
  void restore_store();
  /// Copies the store at regular intervals.
  void copy_store();
  void plan_restorations();
  void change_keys();
  void surge();
  /// Lets targets name limits, one after the other.
  void plan_limits();
  vm& any_vm() { return *vms_[random_() % vms_.size()]; }
  milliseconds between(int low, int high);
  /// @return mean pause of a caller between an answer and its next request.
  milliseconds usual_pause() const;
  void note(const std::string& what);

  soak_options options_;
  event::loop loop_;
  time_point start_;
  std::mt19937_64 random_;
  /// Apart from `random_`, so that the other faults of earlier seeds stay as they were.
  std::mt19937_64 limit_random_;
  std::mt19937_64 restoration_random_;
  history seen_;
  surroundings all_;
  test::store_stand_in store_;
  std::vector<std::unique_ptr<vm>> vms_;
  std::vector<std::unique_ptr<caller>> callers_;
  std::vector<std::string> keys_;
  std::uint64_t version_ = 0;
  /// Configuration that the operator wrote last.
  nlohmann::json written_;
  std::uint64_t keys_made_ = 0;
  time_point store_disturbed_until_{};
  std::vector<fault_record> faults_;
  bool over_ = false;
};

} // namespace damaskledge::soak
