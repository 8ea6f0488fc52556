#include <algorithm>
#include <cmath>

#include "traffic/traffic.h"

namespace damaskledge::traffic {

namespace {

/// Time constant of the demand estimate, in seconds; a few intervals of the status messages.
constexpr double demand_time_constant_s = 1.0;
/// Demand is reported again when it has changed by more than this many requests per second and by
/// more than this fraction, or when it has ended. Each report goes to the whole fleet.
constexpr double min_demand_change = 0.2;
constexpr double relative_demand_change = 0.2;
constexpr double negligible_demand = 0.05;
/// Share of a node that knows neither the size of the fleet nor another node's demand.
constexpr double unknown_fleet_share = 0.02;
/// While the bucket holds less than this part of the burst, a node spends only its share of the
/// refill.
constexpr double low_level_fraction = 0.15;
/// Above this part of the burst, every node may admit a second request before its next report.
constexpr double full_level_fraction = 0.3;
/// Part of the bucket's level that all nodes together may spend between two reports. Reports to
/// other data centres may take two intervals, so each interval may spend half of the level.
constexpr double allowance_fraction = 0.5;
/// Part of the operator's tolerance that deepens the bucket. The rest is left for admissions that
/// the nodes have not reported to each other yet.
constexpr double tolerance_fraction = 0.5;
/// Nothing is admitted while the bucket is overdrawn by more than this part of the burst. Within
/// it, admissions that were not reported yet don't stop an account that keeps its rate.
constexpr double max_overdraft = 0.25;
/// Smallest overdraft, in requests, for accounts with small bursts.
constexpr double min_overdraft = 2;
/// Part of the refill that is spent while the bucket is overdrawn, so that it recovers.
constexpr double overdrawn_refill_fraction = 0.7;
/// A share holds at least one request, or a small account could never use it.
constexpr double min_share_burst = 1.0;
/// Most a share can hold, in seconds of its refill; it must not become a second burst.
constexpr double share_burst_s = 0.25;

double in_seconds(duration value) {
  return std::chrono::duration<double>(value).count();
}

/// @return level of the bucket below which a node spends only its share of the refill.
double low_level(double burst) {
  return std::max(1.0, burst * low_level_fraction);
}

/// @return a hash of the value, evenly distributed over [0, 1).
double hash_fraction(std::uint64_t value) {
  // Fibonacci hashing: neighbouring seeds lie far apart.
  constexpr std::uint64_t multiplier = 0x9E37'79B9'7F4A'7C15;
  return static_cast<double>((value * multiplier) >> 11U) * 0x1.0p-53;
}

} // namespace

void account_rates::advance_demand(time_point now, bucket& value) const {
  const double elapsed = in_seconds(now - value.demand_updated);
  if (elapsed < 0.05) {
    return;
  }
  const double weight = 1 - std::exp(-elapsed / demand_time_constant_s);
  value.demand += (value.requests_since_update / elapsed - value.demand) * weight;
  value.requests_since_update = 0;
  value.demand_updated = now;
}

double account_rates::reporting_fraction() const {
  if (fleet_size_ == 0) {
    return unknown_fleet_share;
  }
  const double reporting = 1 + static_cast<double>(reporting_nodes_.size());
  return std::min(1.0, reporting / static_cast<double>(fleet_size_));
}

double account_rates::share(const bucket& value) const {
  const double known = std::min(value.demand, value.delivered_demand);
  const double total = known + value.remote_demand;
  const double even =
      fleet_size_ == 0 ? unknown_fleet_share : 1.0 / static_cast<double>(fleet_size_);
  const double own = total <= 0 ? even : known / total;
  return std::max(even, own * reporting_fraction());
}

double account_rates::initial_share_level(const std::string& account) const {
  return hash_fraction(hash64(account) ^ seed_);
}

account_rates::bucket& account_rates::find_or_create_bucket(time_point now,
                                                            const std::string& account) {
  if (!started_) {
    started_ = now;
  }
  auto [found, added] = buckets_.try_emplace(account);
  if (added) {
    found->second.updated = *started_;
    found->second.demand_updated = now;
    found->second.share_level = initial_share_level(account);
  }
  return found->second;
}

account_rates::bucket& account_rates::advance(time_point now, const account& of) {
  bucket& value = find_or_create_bucket(now, of.name);
  value.rate = of.rate;
  value.burst = std::max(1.0, of.burst) + tolerance_ * tolerance_fraction;
  advance(now, of.name, value);
  return value;
}

void account_rates::advance(time_point now, const std::string& account, bucket& value) const {
  const double rate = value.rate;
  const double burst = value.burst;
  const double elapsed = in_seconds(now - value.updated);
  if (!value.initialised) {
    value.initialised = true;
    value.level += start_full_ ? burst : 0;
    // Admissions of other nodes are assumed only since their last reports.
    value.level += value.remote_rate * elapsed;
    for (const auto& [node, it] : value.remote) {
      value.level -= it.rate * in_seconds(now - it.last_report);
    }
  }
  value.updated = now;
  // Nodes that have not reported yet may be using their part of the refill.
  value.level += rate * elapsed * reporting_fraction();
  // Nodes whose reports stop may still admit requests, so admissions at their last rate are assumed
  // until their next report or their removal.
  value.level -= value.remote_rate * elapsed;
  value.level = std::min(value.level, burst);
  advance_demand(now, value);
  const double refill = rate * share(value) * (value.level < 0 ? overdrawn_refill_fraction : 1.0);
  value.share_level = std::min(value.share_level + refill * elapsed,
                               std::max(min_share_burst, refill * share_burst_s));
  if (value.level >= low_level(burst)) {
    // The bucket is spent at this level. If all nodes saved one request of their shares meanwhile,
    // a surge over a large fleet would spend all of them at once when the level falls.
    const double saved = std::max(initial_share_level(account), refill * share_burst_s);
    value.share_level = std::min(value.share_level, saved);
  }
}

void account_rates::set_accounts(time_point now, const std::vector<account>& accounts) {
  for (const auto& it : accounts) {
    if (it.rate > 0) {
      advance(now, it);
    }
  }
}

std::optional<milliseconds> account_rates::ask(time_point now, const account& of) {
  if (of.rate <= 0) {
    return std::nullopt;
  }
  bucket& value = advance(now, of);
  value.requests_since_update += 1;
  const double burst = value.burst;
  const bool above_low_level = value.level >= low_level(burst);
  if (!value.allowance_set) {
    // Requests of a small account arrive at any node of a large fleet, where its share is far below
    // one request.
    const double least = value.level >= burst * full_level_fraction ? 2.0 : 1.0;
    value.unreported_allowance =
        above_low_level ? std::max(least, allowance_fraction * share(value) * value.level) : 0.0;
    value.allowance_set = true;
  }
  // While shares are reserved for nodes that have not reported, the level counts too little of the
  // refill and falls without bound, so it does not show an overdraft.
  const bool overdrawn =
      reporting_fraction() >= 1 && value.level < -std::max(min_overdraft, burst * max_overdraft);
  if (above_low_level && value.unreported_allowance >= 1) {
    value.unreported_allowance -= 1;
    report_due_ = report_due_ || value.unreported_allowance < 1;
  } else if (value.share_level >= 1 && !overdrawn) {
    value.share_level -= 1;
  } else {
    const double refill = std::max(0.1, of.rate * share(value));
    return milliseconds(static_cast<std::int64_t>(1'000 * (1 - value.share_level) / refill) + 1);
  }
  value.level -= 1;
  ++value.admitted;
  return std::nullopt;
}

void account_rates::give_back(const std::string& account) {
  const auto found = buckets_.find(account);
  if (found != buckets_.end() && found->second.admitted > 0) {
    found->second.level += 1;
    --found->second.admitted;
  }
}

void account_rates::heard(time_point now, const std::string& node, std::uint64_t incarnation,
                          const std::vector<account_usage>& usage, usage_scope scope) {
  reporting_nodes_.insert(node);
  const auto whole = whole_report_incarnations_.find(node);
  const bool has_whole_report =
      whole != whole_report_incarnations_.end() && whole->second == incarnation;
  if (scope == usage_scope::whole) {
    whole_report_incarnations_[node] = incarnation;
  } else if (!has_whole_report && whole != whole_report_incarnations_.end()) {
    // A relay may still forward a report of an earlier incarnation. Counting it would subtract all
    // admissions of that incarnation from the bucket again.
    return;
  }
  for (const auto& it : usage) {
    bucket& value = find_or_create_bucket(now, it.account);
    if (value.rate > 0) {
      // What the bucket could not hold is lost now, before the reported admissions are taken.
      advance(now, it.account, value);
    }
    auto [found, added] = value.remote.try_emplace(node);
    remote_usage& remote = found->second;
    const double assumed_admissions =
        value.rate > 0 ? remote.rate * in_seconds(now - remote.last_report) : 0.0;
    if (!added && remote.incarnation == incarnation && it.admitted < remote.admitted) {
      // A report that was overtaken by a newer one.
      continue;
    }
    if (!added && remote.incarnation == incarnation) {
      const double admitted =
          static_cast<double>(it.admitted) - static_cast<double>(remote.admitted);
      const double elapsed = std::max(0.05, in_seconds(now - remote.last_report));
      value.level -= admitted - assumed_admissions;
      // One interval holds few admissions of one node, so that its rate alone is mostly noise.
      const double weight = 1 - std::exp(-elapsed / demand_time_constant_s);
      const double previous_rate = remote.rate;
      remote.rate += (std::max(0.0, admitted / elapsed) - remote.rate) * weight;
      value.remote_rate += remote.rate - previous_rate;
    } else {
      // Without an earlier report the count may go back to before this node's start.
      value.level -= added && !has_whole_report ? 0.0 : static_cast<double>(it.admitted);
      value.level += added ? 0.0 : assumed_admissions;
      value.remote_rate -= remote.rate;
      remote.rate = 0;
    }
    remote.incarnation = incarnation;
    remote.admitted = it.admitted;
    value.remote_demand += it.demand - remote.demand;
    remote.demand = it.demand;
    remote.last_report = now;
  }
}

void account_rates::forget_node(const std::string& node) {
  reporting_nodes_.erase(node);
  whole_report_incarnations_.erase(node);
  for (auto& [name, it] : buckets_) {
    const auto found = it.remote.find(node);
    if (found == it.remote.end()) {
      continue;
    }
    it.remote.erase(found);
    // Summed anew, so that rounding errors don't accumulate.
    it.remote_rate = 0;
    it.remote_demand = 0;
    for (const auto& [other, usage] : it.remote) {
      it.remote_rate += usage.rate;
      it.remote_demand += usage.demand;
    }
  }
}

std::vector<account_usage> account_rates::changed(time_point now) {
  std::vector<account_usage> result;
  report_due_ = false;
  if (!started_) {
    started_ = now;
  }
  for (auto& [name, it] : buckets_) {
    it.allowance_set = false;
    advance_demand(now, it);
    if (now - it.demand_shifted >= report_interval) {
      it.delivered_demand = it.previous_reported_demand;
      it.previous_reported_demand = it.reported_demand;
      it.demand_shifted = now;
    }
    const double change = std::abs(it.demand - it.reported_demand);
    const bool ended = it.demand < negligible_demand && it.reported_demand >= negligible_demand;
    if (it.admitted != it.reported_admitted || ended ||
        change > std::max(min_demand_change, it.reported_demand * relative_demand_change)) {
      it.reported_admitted = it.admitted;
      it.reported_demand = it.demand;
      result.push_back({name, it.admitted, it.demand});
    }
  }
  return result;
}

std::vector<account_usage> account_rates::whole() const {
  std::vector<account_usage> result;
  for (const auto& [name, it] : buckets_) {
    result.push_back({name, it.admitted, it.reported_demand});
  }
  return result;
}

} // namespace damaskledge::traffic
