/// @file
/// Choice of the target that runs a request, among the targets that its node knows from reports.
/// Nothing here does input or output or reads a clock.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>
#include <vector>

#include "common/common.h"
#include "traffic/traffic.h"

namespace damaskledge::placement {

/// Compares one target with the others of its service.
/// @param own mean times of the target's runs, by route.
/// @param fleet mean times at all targets.
/// @return how many times longer runs take at the target, 1 without enough runs. Rounded, so that
/// it changes seldom.
double relative_slowness(const std::vector<traffic::route_cost>& own,
                         const std::vector<traffic::route_cost>& fleet);

/// Measures how much a target is to be avoided because its answers fail or are no answers. A target
/// may fail a part of its requests, or answer with garbage at once, while its health is good;
/// having few requests under way, it would even attract more of them.
class failure_meter {
 public:
  /// A run has ended.
  /// @param failed the target answered with an error of its own, or with no valid answer.
  void ended(bool failed);
  /// @return factor by which the target's slowness counts higher; 1 without failures.
  double penalty() const;

 private:
  double failed_fraction_ = 0;
};

/// A target that may run a request.
struct candidate {
  /// Identifies the candidate to the caller.
  std::size_t id = 0;
  /// Requests at the target as a fraction of its slots, averaged over the last second or so.
  double load = 0;
  double slots = 1;
  bool within_data_centre = true;
  /// See `relative_slowness`.
  double slowness = 1;

  bool operator==(const candidate&) const = default;
};

struct options {
  /// Most members of each group that are compared for one request.
  std::size_t sample = 16;
  /// Requests leave their data centre when its mean load exceeds that of the others by this much.
  /// Bytes between data centres are billed.
  double data_centre_preference = 0.2;
  /// Requests also leave when targets of their data centre take this many times as long as the
  /// others.
  double tolerated_slowness = 1.6;
  /// Requests also leave when the mean load of their data centre exceeds this, before they wait.
  double high_load = 0.75;
};

/// Chooses targets for requests. Loads are known from reports that are up to some hundred
/// milliseconds old, and many nodes choose at the same time. If each took the least loaded target,
/// all would send to the same one until the next report. Targets are therefore drawn at random with
/// weights that follow their free slots ("How useful is old information?", Mitzenmacher 2000).
class target_chooser {
 public:
  target_chooser(options options, std::uint32_t seed) : options_(options), random_(seed) {}

  /// Draws a sample of one group of targets.
  /// @param n size of the group.
  /// @param usable tells whether a member is eligible.
  /// @return indices of different usable members, at most `options::sample`.
  template <class Usable>
  std::vector<std::size_t> sample(std::size_t n, const Usable& usable) {
    std::vector<std::size_t> result;
    std::size_t at = n <= options_.sample ? 0 : random_() % n;
    for (std::size_t i = 0; i < n && result.size() < options_.sample; ++i) {
      if (usable(at)) {
        result.push_back(at);
      }
      at = (at + 1) % n;
    }
    return result;
  }

  /// @return the id of the chosen candidate, or nothing if there is none.
  std::optional<std::size_t> choose(const std::vector<candidate>& candidates);

 private:
  /// @return part of the weight that targets in other data centres get.
  double spill(const std::vector<candidate>& candidates) const;

  options options_;
  std::mt19937 random_;
};

/// Average of a target's load that weighs values by the time for which they were current.
class smoothed_load {
 public:
  void update(time_point now, double load);
  double value() const { return value_; }

  bool operator==(const smoothed_load&) const = default;

 private:
  double value_ = 0;
  time_point updated_{};
};

} // namespace damaskledge::placement
