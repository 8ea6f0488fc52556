#include "placement/placement.h"

#include <algorithm>
#include <cmath>

namespace damaskledge::placement {

namespace {

/// Load at which a target's weight reaches its minimum; above 1, since a short queue is no reason
/// to avoid a target whose service is busy everywhere.
constexpr double full_load = 1.1;
/// Weight of full targets, so that requests still spread when all are full.
constexpr double min_weight = 0.02;
/// The other data centres must be less loaded by this much before requests go there.
constexpr double min_gain = 0.05;
/// Time constant of the load average, in seconds; about two intervals between reports.
constexpr double load_time_constant_s = 0.6;

/// Runs of a target that weigh as much as the assumption that it is as fast as the others.
constexpr double assumed_runs = 20;
constexpr double min_slowness = 0.25;
constexpr double max_slowness = 16;
/// Steps of a reported slowness for each doubling.
constexpr double slowness_steps = 4;
/// Weight of the newest run in the fraction of failed ones.
constexpr double failure_smoothing = 0.1;
/// Penalty of a target that fails every request. It still gets one in some hundred, which shows
/// when it has recovered.
constexpr double max_penalty = 16;

double round_to_step(double ratio) {
  return std::exp2(std::round(std::log2(ratio) * slowness_steps) / slowness_steps);
}

/// The square prefers fast targets while they have room, beyond what would use all targets evenly:
/// a request on a slow target misses its objective although slots are free elsewhere.
double weight_of(const candidate& it) {
  return it.slots * std::max(min_weight, full_load - it.load) / (it.slowness * it.slowness);
}

/// Means over the targets of one group.
struct group_mean {
  double slots = 0;
  double load_sum = 0;
  double weight = 0;
  double slowness_sum = 0;

  void add(const candidate& it) {
    slots += it.slots;
    load_sum += it.load * it.slots;
    weight += weight_of(it);
    slowness_sum += it.slowness * weight_of(it);
  }
  double load() const { return load_sum / slots; }
  /// @return the slowness that a request of the group meets on average.
  double slowness() const { return slowness_sum / weight; }
};

} // namespace

double relative_slowness(const std::vector<traffic::route_cost>& own,
                         const std::vector<traffic::route_cost>& fleet) {
  double taken = assumed_runs;
  double usual = assumed_runs;
  for (const auto& it : own) {
    const auto found =
        std::find_if(fleet.begin(), fleet.end(), [&](const traffic::route_cost& other) {
          return other.route == it.route && other.service == it.service;
        });
    if (found != fleet.end() && found->slot_seconds > 0) {
      taken += it.runs * it.slot_seconds / found->slot_seconds;
      usual += it.runs;
    }
  }
  return round_to_step(std::clamp(taken / usual, min_slowness, max_slowness));
}

void failure_meter::ended(bool failed) {
  failed_fraction_ += ((failed ? 1.0 : 0.0) - failed_fraction_) * failure_smoothing;
}

double failure_meter::penalty() const {
  return round_to_step(1 + (max_penalty - 1) * failed_fraction_);
}

double target_chooser::spill(const std::vector<candidate>& candidates) const {
  group_mean near;
  group_mean far;
  for (const auto& it : candidates) {
    (it.within_data_centre ? near : far).add(it);
  }
  if (near.slots <= 0 || far.slots <= 0) {
    return 1;
  }
  double by_slowness = 0;
  if (far.load() < options_.high_load) {
    by_slowness = near.slowness() / far.slowness() - options_.tolerated_slowness;
  }
  double by_load = 0;
  if (far.load() < near.load() - min_gain) {
    const double excess = std::max(near.load() - far.load() - options_.data_centre_preference,
                                   near.load() - options_.high_load);
    by_load = excess / options_.data_centre_preference;
  }
  return std::clamp(std::max(by_slowness, by_load), 0.0, 1.0);
}

std::optional<std::size_t> target_chooser::choose(const std::vector<candidate>& candidates) {
  const double far_part = spill(candidates);
  double total = 0;
  for (const auto& it : candidates) {
    total += weight_of(it) * (it.within_data_centre ? 1.0 : far_part);
  }
  double left = std::uniform_real_distribution<double>(0, total)(random_);
  std::optional<std::size_t> chosen;
  for (const auto& it : candidates) {
    const double weight = weight_of(it) * (it.within_data_centre ? 1.0 : far_part);
    if (weight <= 0) {
      continue;
    }
    chosen = it.id;
    left -= weight;
    if (left <= 0) {
      break;
    }
  }
  return chosen;
}

void smoothed_load::update(time_point now, double load) {
  const double elapsed = std::chrono::duration<double>(now - updated_).count();
  value_ += (load - value_) * (1 - std::exp(-std::max(0.0, elapsed) / load_time_constant_s));
  updated_ = now;
}

} // namespace damaskledge::placement
