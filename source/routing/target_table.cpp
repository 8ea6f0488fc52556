#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

#include "routing/routing.h"

namespace damaskledge::routing {

namespace {

/// Latency may exceed the minimum by this factor before it counts as queueing. Averages of few
/// samples vary; Netflix concurrency-limits (Gradient2Limit) uses the same figure.
constexpr double latency_tolerance = 1.5;
/// Weight of a round's average in the smoothed latency.
constexpr double smoothing_weight = 0.3;
/// Weight of a gradient step in the limit. The smoothed latency lags by some rounds, and a full
/// step in each of them would undershoot.
constexpr double limit_weight = 0.3;
constexpr double decrease_factor = 0.7;
/// Growth factor per round after timeouts, up to the limit floor. A stall ends abruptly and says
/// nothing about the number of slots; a refusal does, and is followed by additive increase.
constexpr double stall_recovery = 1.5;
constexpr std::uint32_t min_round_samples = 4;
constexpr std::uint32_t max_round_samples = 32;
/// A limit counts as used when the requests in flight reached this fraction of it.
constexpr double used_fraction = 0.75;
/// Limit of a target that announces no slots.
constexpr double cap_without_slots = 1'000;
/// Below this number of connections per node, the node uses a subset of the targets.
constexpr double min_connections_per_node = 4;
/// A subset has at least this many targets, so that one remains when another fails.
constexpr std::size_t min_subset = 2;
/// Latencies that differ by less than this factor, or are older than `latency_validity`, are not
/// compared: an idle target that was slow once would otherwise never be tried again.
constexpr double latency_difference = 1.2;
constexpr seconds latency_validity{1};
constexpr milliseconds min_round_trip{1};

double to_seconds(duration value) {
  return std::chrono::duration<double>(value).count();
}

duration from_seconds(double value) {
  return std::chrono::duration_cast<duration>(std::chrono::duration<double>(value));
}

/// Amount added to the limit per round. With a quarter of the square root, the queue that the
/// increases of all nodes cause together stays below half of the slots.
double additive_step(double limit) {
  return std::sqrt(limit) / 4;
}

} // namespace

target_table::target_table(settings options, std::string data_centre, std::uint64_t seed)
    : options_(options), data_centre_(std::move(data_centre)), seed_(seed),
      random_(static_cast<std::minstd_rand::result_type>(seed ^ seed >> 32U)) {}

void target_table::make_cold(time_point now, target_row& row) const {
  row.must_be_cold = false;
  row.slow_start = true;
  row.stalled = false;
  row.cold_since = now;
  row.smoothed = 0;
  row.minimum = 0;
  row.measured_at = {};
  row.round_start = now;
  row.round_samples = 0;
  row.round_sum = 0;
  row.round_peak = row.in_flight;
  row.decreased_at = now - seconds{3'600};
  row.last_used_fully = now;
  const double start = options_.cold_limit;
  row.limit =
      std::max(1.0, row.fair_share > 0 ? std::min(start, std::max(1.0, row.fair_share)) : start);
}

void target_table::set_shares(const std::string& service, std::uint32_t calling_nodes) {
  const double nodes = std::max(1U, calling_nodes);
  std::vector<row_index> local;
  for (const row_index it : by_service_[service]) {
    rows_[it].in_subset = true;
    if (rows_[it].local) {
      local.push_back(it);
    }
  }
  // Rendezvous hashing: each node ranks the targets by a hash of node and target, so that a target
  // that is added or removed changes the subsets of few nodes.
  double per_node = std::numeric_limits<double>::max();
  for (const row_index it : local) {
    if (rows_[it].record.connections > 0) {
      per_node = std::min(per_node, rows_[it].record.connections / nodes);
    }
  }
  double callers = nodes;
  if (per_node < min_connections_per_node && local.size() > min_subset) {
    const auto wanted = static_cast<std::size_t>(
        std::ceil(static_cast<double>(local.size()) * per_node / min_connections_per_node));
    const std::size_t size = std::clamp(wanted, min_subset, local.size());
    const std::string node = std::to_string(seed_);
    std::vector<std::pair<std::uint64_t, row_index>> ranked;
    for (const row_index it : local) {
      ranked.emplace_back(hash_parts({node, rows_[it].record.id}).low, it);
    }
    std::sort(ranked.begin(), ranked.end());
    for (std::size_t it = size; it < ranked.size(); ++it) {
      rows_[ranked[it].second].in_subset = false;
    }
    callers = nodes * static_cast<double>(size) / static_cast<double>(local.size());
    if (size < local.size()) {
      // The number of callers of one target is binomially distributed; two standard deviations
      // are added so that few targets get more connections than they announced.
      callers = std::min(nodes, callers + 2 * std::sqrt(callers));
    }
  }
  for (const row_index it : by_service_[service]) {
    target_row& row = rows_[it];
    const double divisor = row.local ? callers : nodes;
    row.connections =
        std::max(1U, static_cast<std::uint32_t>(std::floor(row.record.connections / divisor)));
    if (row.record.slots == 0) {
      row.fair_share = 0;
      row.cap = cap_without_slots;
    } else {
      const double slots = row.record.slots * options_.slot_headroom;
      row.fair_share = slots / divisor;
      // Targets of other data centres serve their own callers, so the fair share is not exceeded.
      const double borrowed = row.local ? row.fair_share * options_.borrow_factor : row.fair_share;
      row.cap = std::max(1.0, std::min(slots, borrowed));
    }
    row.limit = std::clamp(row.limit, 1.0, row.cap);
  }
}

void target_table::set_targets(time_point now, const std::vector<target_record>& targets,
                               std::uint32_t calling_nodes) {
  for (target_row& it : rows_) {
    it.announced = false;
  }
  for (const target_record& it : targets) {
    known_services_.insert(it.service);
    const auto [found, added] = index_.try_emplace(it.id, rows_.size());
    if (added) {
      rows_.emplace_back();
      const std::uint64_t hash = hash_parts({std::to_string(seed_), it.id}).high;
      rows_.back().rounding = static_cast<double>(hash >> 11U) / 9'007'199'254'740'992.0;
    }
    target_row& row = rows_[found->second];
    if (added || row.record.incarnation != it.incarnation || row.record.address != it.address) {
      row.failures = 0;
      row.must_be_cold = true;
    }
    row.record = it;
    row.announced = true;
    row.local = it.data_centre == data_centre_;
  }
  remove_departed();
  index_services();
  std::vector<std::string> services;
  services.reserve(by_service_.size());
  for (const auto& [service, unused] : by_service_) {
    services.push_back(service);
  }
  for (const std::string& it : services) {
    set_shares(it, calling_nodes);
  }
  for (target_row& it : rows_) {
    if (it.announced && it.must_be_cold) {
      make_cold(now, it);
    }
  }
}

void target_table::index_services() {
  by_service_.clear();
  for (row_index it = 0; it < rows_.size(); ++it) {
    if (rows_[it].announced) {
      by_service_[rows_[it].record.service].push_back(it);
    }
  }
}

void target_table::remove_departed() {
  // A target that left is kept until its last request ends, so that its requests in flight are
  // still counted if it is announced again before that.
  const auto departed = [](const target_row& it) { return !it.announced && it.in_flight == 0; };
  if (std::erase_if(rows_, departed) == 0) {
    return;
  }
  index_.clear();
  for (row_index it = 0; it < rows_.size(); ++it) {
    index_.emplace(rows_[it].record.id, it);
  }
  index_services();
}

std::uint32_t target_table::rounded_limit(const target_row& row) {
  return std::max(1U, static_cast<std::uint32_t>(std::floor(row.limit + row.rounding)));
}

bool target_table::is_excluded(time_point now, const target_row& row) const {
  return options_.mode != policy::none && row.failures > 0 && now < row.excluded_until;
}

bool target_table::has_free_slot(time_point now, const target_row& row) const {
  if (!row.announced || row.record.draining || !row.in_subset) {
    return false;
  }
  if (options_.mode == policy::none) {
    return true;
  }
  if (row.failures > 0) {
    return now >= row.excluded_until && row.in_flight == 0;
  }
  if (options_.mode == policy::fixed) {
    return row.in_flight < options_.fixed_limit;
  }
  return row.in_flight < rounded_limit(row);
}

bool target_table::is_better(time_point now, const target_row& a, const target_row& b) const {
  if (options_.mode != policy::chosen) {
    return a.in_flight < b.in_flight;
  }
  const double load_a = a.in_flight / a.limit;
  const double load_b = b.in_flight / b.limit;
  if (load_a != load_b) {
    return load_a < load_b;
  }
  if (now - a.measured_at > latency_validity || now - b.measured_at > latency_validity) {
    return false;
  }
  return a.smoothed * latency_difference < b.smoothed;
}

std::optional<target_table::choice>
target_table::acquire(time_point now, const std::string& service,
                      const std::vector<std::string>& excluded) {
  const auto found = by_service_.find(service);
  if (found == by_service_.end()) {
    return std::nullopt;
  }
  for (const bool local : {true, false}) {
    candidates_.clear();
    for (const row_index it : found->second) {
      const target_row& row = rows_[it];
      if (row.local == local && has_free_slot(now, row) &&
          std::find(excluded.begin(), excluded.end(), row.record.id) == excluded.end()) {
        candidates_.push_back(it);
      }
    }
    if (candidates_.empty()) {
      continue;
    }
    const std::size_t n = candidates_.size();
    std::size_t first = random_() % n;
    if (n > 1) {
      const std::size_t second = (first + 1 + random_() % (n - 1)) % n;
      if (is_better(now, rows_[candidates_[second]], rows_[candidates_[first]])) {
        first = second;
      }
    }
    target_row& row = rows_[candidates_[first]];
    ++row.in_flight;
    row.round_peak = std::max(row.round_peak, row.in_flight);
    if (row.in_flight >= used_fraction * rounded_limit(row)) {
      row.last_used_fully = now;
    }
    return choice{row.record.id, row.record.address, row.connections};
  }
  return std::nullopt;
}

void target_table::exclude(time_point now, target_row& row, bool connect_failure) const {
  // Failures of attempts that were in flight when the first one failed are not counted again.
  if (row.failures > 0 && now < row.excluded_until) {
    return;
  }
  if (connect_failure && !row.connect_failure) {
    row.failures = 0;
  }
  ++row.failures;
  row.connect_failure = connect_failure;
  row.failed_at = now;
  // The reset of a single connection does not mean that the target is gone: the next request is
  // sent at once as a trial, and only a second failure in a row excludes the target.
  const std::uint32_t doublings =
      connect_failure ? row.failures - 1 : std::max(row.failures, 2U) - 2;
  duration pause = options_.exclusion;
  for (std::uint32_t it = 0; it < doublings && pause < options_.exclusion_max; ++it) {
    pause *= 2;
  }
  pause = std::min<duration>(pause, options_.exclusion_max);
  row.excluded_until = connect_failure || row.failures > 1 ? now + pause : now;
}

void target_table::decrease(time_point now, target_row& row, time_point sent) const {
  // At most once per round trip: the attempt must have been sent after the last decrease, and
  // fast refusals must not count several times within one service latency.
  const duration round_trip = std::max<duration>(from_seconds(row.smoothed), min_round_trip);
  if (sent < row.decreased_at || now - row.decreased_at < round_trip) {
    return;
  }
  row.limit = std::max(1.0, row.limit * decrease_factor);
  row.slow_start = false;
  row.decreased_at = now;
  row.round_start = now;
  row.round_samples = 0;
  row.round_sum = 0;
  row.round_peak = row.in_flight;
}

void target_table::end_round(time_point now, target_row& row) const {
  const double average = row.round_sum / row.round_samples;
  const bool first = row.smoothed == 0;
  row.smoothed = first ? average : row.smoothed + smoothing_weight * (average - row.smoothed);
  row.minimum = first ? average : std::min(row.minimum, row.smoothed);
  row.measured_at = now;
  const bool used = row.round_peak >= used_fraction * rounded_limit(row);
  const double gradient =
      std::clamp(latency_tolerance * row.minimum / std::max(row.smoothed, 1e-9), 0.5, 1.0);
  if (row.slow_start) {
    if (average > latency_tolerance * row.minimum) {
      row.slow_start = false;
    } else if (used) {
      const double end = row.fair_share > 0 ? std::max(1.0, row.fair_share) : row.cap;
      if (row.limit * 2 >= end) {
        row.slow_start = false;
      }
      row.limit = std::max(row.limit, std::min(row.limit * 2, end));
    }
  } else {
    const double floor = std::max(1.0, row.fair_share * options_.limit_floor);
    if (gradient < 1 && row.limit > floor) {
      const double wanted = row.limit * gradient + additive_step(row.limit);
      row.limit += limit_weight * (wanted - row.limit);
      row.limit = std::max(row.limit, floor);
    } else if (used && row.stalled && row.limit < floor) {
      row.limit = std::min(floor, row.limit * stall_recovery);
    } else if (used) {
      row.stalled = false;
      row.limit += additive_step(row.limit);
    }
  }
  row.limit = std::clamp(row.limit, 1.0, row.cap);
  row.round_start = now;
  row.round_samples = 0;
  row.round_sum = 0;
  row.round_peak = row.in_flight;
}

void target_table::release(time_point now, const std::string& id, attempt_end end,
                           duration latency) {
  const auto found = index_.find(id);
  if (found == index_.end()) {
    return;
  }
  target_row& row = rows_[found->second];
  if (row.in_flight > 0) {
    --row.in_flight;
  }
  const time_point sent = now - latency;
  if (sent < row.cold_since) {
    return;
  }
  switch (end) {
  case attempt_end::answered:
  case attempt_end::shed:
    if (row.failures > 0 && (!row.connect_failure || sent >= row.failed_at)) {
      row.failures = 0;
      if (row.connect_failure) {
        // The target may have restarted, so that its learned limit no longer applies.
        make_cold(now, row);
        return;
      }
    }
    if (end == attempt_end::shed) {
      row.stalled = false;
      decrease(now, row, sent);
      return;
    }
    break;
  case attempt_end::connect_failed:
    exclude(now, row, true);
    return;
  case attempt_end::broken:
    decrease(now, row, sent);
    exclude(now, row, false);
    return;
  case attempt_end::timed_out:
    // A caller may ask for a deadline below the usual latency. Such a timeout is no sign of
    // overload and must not lower the limit for other accounts.
    if (to_seconds(latency) >= row.smoothed) {
      row.stalled = true;
      decrease(now, row, sent);
    }
    return;
  case attempt_end::cancelled:
    return;
  }
  ++row.round_samples;
  row.round_sum += to_seconds(latency);
  const auto wanted =
      std::clamp(static_cast<std::uint32_t>(row.limit), min_round_samples, max_round_samples);
  const duration round_trip = std::max<duration>(from_seconds(row.smoothed), min_round_trip);
  if (row.round_samples >= wanted && now - row.round_start >= round_trip) {
    end_round(now, row);
  }
}

bool target_table::has_target(time_point now, const std::string& service) const {
  const auto found = by_service_.find(service);
  return found != by_service_.end() &&
         std::any_of(found->second.begin(), found->second.end(), [&](row_index it) {
           return !rows_[it].record.draining && !is_excluded(now, rows_[it]);
         });
}

bool target_table::knows_service(const std::string& service) const {
  return known_services_.contains(service);
}

void target_table::decay_unused(time_point now, target_row& row, double elapsed) const {
  // A high limit learned while this node had most of the demand would, together with the limits
  // that other nodes have learned since, overload the target.
  if (row.fair_share > 0 && row.limit > row.fair_share && now - row.last_used_fully > seconds{1}) {
    row.limit = std::max(row.fair_share, row.limit * (1 - options_.unused_limit_decay * elapsed));
    row.limit = std::max(1.0, row.limit);
  }
}

void target_table::tick(time_point now) {
  const double elapsed =
      last_tick_ == time_point{} ? 0 : std::clamp(to_seconds(now - last_tick_), 0.0, 1.0);
  last_tick_ = now;
  for (target_row& it : rows_) {
    // While the limit is above the fair share, higher latency may come from queueing that this
    // node and others cause; taken as the target's own latency, it would let the limit grow.
    if (it.minimum > 0 && (it.fair_share == 0 || it.limit <= it.fair_share)) {
      it.minimum =
          std::min(it.smoothed, it.minimum * (1 + options_.minimum_latency_growth * elapsed));
    }
    decay_unused(now, it, elapsed);
  }
  remove_departed();
}

std::vector<target_table::target_state> target_table::snapshot(time_point now) const {
  std::vector<target_state> result;
  result.reserve(rows_.size());
  for (const target_row& it : rows_) {
    if (!it.announced) {
      continue;
    }
    double limit = it.limit;
    if (options_.mode == policy::fixed) {
      limit = options_.fixed_limit;
    } else if (options_.mode == policy::none) {
      limit = std::numeric_limits<double>::infinity();
    }
    result.push_back({it.record.id, it.record.service, limit, it.in_flight, is_excluded(now, it),
                      it.record.draining, from_seconds(it.smoothed), from_seconds(it.minimum)});
  }
  return result;
}

} // namespace damaskledge::routing
