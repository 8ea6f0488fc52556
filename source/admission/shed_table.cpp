#include <algorithm>
#include <cmath>
#include <utility>

#include "admission/admission.h"

namespace damaskledge::admission {

namespace {

constexpr std::size_t class_count = 4;
constexpr std::uint32_t step_count = class_count * sub_levels_per_class;
/// Time after which the order of accounts within a class changes. It is long compared with the
/// time that the level needs to follow a change in load, about a second.
constexpr seconds time_slot{5};
/// Fraction of refused calls above which a service is overloaded; a single refusal by a busy target
/// is not overload.
constexpr double refused_fraction = 0.05;
/// Decay factor of the admitted counts per interval: halves them every 3 s at intervals of 100 ms.
constexpr double share_decay = 0.977;
constexpr double min_admitted_count = 0.05;
/// A level that fell to 0 is still sent for this many intervals, so that nodes that missed one
/// message receive it before the old level expires.
constexpr std::uint32_t zero_level_send_intervals = 10;

/// Intervals without overload after which the decrease of a level doubles with each further one.
/// At a level that balances demand, overload recurs more often than that. A longer time without
/// overload therefore shows that its cause has ended, and the faster decrease admits the least
/// important requests sooner.
constexpr std::uint32_t linear_fall_intervals = 5;

/// Order of an account within its class. It differs between nodes: with one order for the whole
/// fleet, an account with most of the demand would be refused or admitted everywhere at once,
/// which would alternately starve it and leave capacity unused.
std::uint64_t order_hash(std::string_view account, std::string_view node, time_point now) {
  const auto slot = static_cast<std::uint64_t>(now.time_since_epoch() / time_slot);
  return hash_parts({account, node, std::to_string(slot)}).low;
}

} // namespace

shed_table::shed_table(shed_settings options, std::string node)
    : options_(options), node_(std::move(node)) {}

void shed_table::observe_queue_delay(time_point now, const std::string& service, duration waited) {
  tick(now);
  service_state& state = services_[service];
  ++state.calls;
  state.waited += waited;
}

void shed_table::observe_refusal(time_point now, const std::string& service) {
  tick(now);
  ++services_[service].refusals;
}

void shed_table::observe_admitted(time_point now, const std::string& service, importance value,
                                  std::string_view account) {
  if (!options_.fairness) {
    return;
  }
  tick(now);
  auto& shares = services_[service].shares.at(static_cast<std::size_t>(value));
  auto found = shares.find(account);
  if (found == shares.end()) {
    found = shares.emplace(std::string(account), account_share{}).first;
  }
  found->second.admitted += 1;
}

void shed_table::end_interval(service_state& state) const {
  const std::uint32_t total = state.calls + state.refusals;
  const bool delayed = state.calls > 0 && state.waited / state.calls > options_.target_delay;
  const bool refused = state.refusals > refused_fraction * total;
  const std::uint32_t previous_level = state.level;
  if (delayed || refused) {
    state.level = std::min(max_shed_level, state.level + options_.rise_step);
    state.intervals_without_overload = 0;
  } else {
    state.intervals_without_overload =
        std::min(state.intervals_without_overload + 1, linear_fall_intervals + 6);
    const std::uint32_t doublings =
        std::max(state.intervals_without_overload, linear_fall_intervals) - linear_fall_intervals;
    state.level -= std::min(state.level, options_.fall_step << doublings);
  }
  if (state.level > 0 || previous_level > 0) {
    state.intervals_at_zero = 0;
  } else {
    state.intervals_at_zero = std::min(state.intervals_at_zero + 1, zero_level_send_intervals + 1);
  }
  // A new sequence in each interval keeps a constant level from expiring on other nodes.
  ++state.sequence;
  state.calls = 0;
  state.refusals = 0;
  state.waited = duration{0};
}

void shed_table::tick(time_point now) {
  if (interval_start_ == time_point{}) {
    interval_start_ = now;
  }
  if (now - interval_start_ < options_.interval) {
    return;
  }
  // After a long time without a tick, the observations count for one interval and the remaining
  // intervals count as free of overload.
  constexpr std::int64_t max_intervals = max_shed_level;
  const auto passed =
      std::min<std::int64_t>((now - interval_start_) / options_.interval, max_intervals);
  interval_start_ = now;
  for (auto& [service, state] : services_) {
    for (std::int64_t it = 0; it < passed; ++it) {
      end_interval(state);
    }
    std::erase_if(state.remote,
                  [&](const auto& it) { return now - it.second.at > options_.remote_level_ttl; });
    state.median_remote_level = median_level(state);
    for (auto& shares : state.shares) {
      const double decay = std::pow(share_decay, static_cast<double>(passed));
      std::vector<std::pair<double, text_map<account_share>::iterator>> ranked;
      for (auto it = shares.begin(); it != shares.end();) {
        it->second.admitted *= decay;
        if (it->second.admitted < min_admitted_count) {
          it = shares.erase(it);
        } else {
          ranked.emplace_back(it->second.admitted, it);
          ++it;
        }
      }
      std::sort(ranked.begin(), ranked.end(), [&](const auto& a, const auto& b) {
        return a.first != b.first ? a.first > b.first
                                  : order_hash(a.second->first, node_, now) >
                                        order_hash(b.second->first, node_, now);
      });
      for (std::size_t it = 0; it < ranked.size(); ++it) {
        ranked[it].second->second.sub_level = static_cast<std::uint32_t>(
            sub_levels_per_class - 1 - it * sub_levels_per_class / ranked.size());
      }
    }
  }
}

void shed_table::heard(time_point now, const std::string& service, const std::string& origin,
                       std::uint32_t level, std::uint64_t sequence) {
  if (origin == node_) {
    return;
  }
  service_state& state = services_[service];
  remote_level& entry = state.remote[origin];
  const bool known = entry.at != time_point{} && now - entry.at <= options_.remote_level_ttl;
  if (known && sequence <= entry.sequence) {
    return;
  }
  const std::uint32_t bounded = std::min(level, max_shed_level);
  const bool changed = !known || bounded != entry.level;
  entry = {bounded, sequence, now};
  if (changed) {
    state.median_remote_level = median_level(state);
  }
}

std::uint32_t shed_table::median_level(const service_state& state) {
  // The median is used so that one node that is cut off from its targets does not make the whole
  // fleet shed. Callers cache it, because computing it over 820 nodes takes 7 us.
  std::vector<std::uint32_t> levels;
  levels.reserve(state.remote.size());
  for (const auto& [origin, entry] : state.remote) {
    levels.push_back(entry.level);
  }
  if (levels.empty()) {
    return 0;
  }
  const auto middle = levels.begin() + static_cast<std::ptrdiff_t>(levels.size() / 2);
  std::nth_element(levels.begin(), middle, levels.end());
  return *middle;
}

std::uint32_t shed_table::level(time_point /*now*/, const std::string& service) const {
  const auto found = services_.find(service);
  return found == services_.end()
             ? 0
             : std::max(found->second.level, found->second.median_remote_level);
}

bool shed_table::sheds(time_point now, const std::string& service, importance value,
                       std::string_view account, bool from_caller) const {
  const auto found = services_.find(service);
  if (found == services_.end()) {
    return false;
  }
  const service_state& state = found->second;
  const std::uint32_t level =
      from_caller ? std::max(state.level, state.median_remote_level) : state.level;
  if (level == 0) {
    return false;
  }
  const auto importance_class = static_cast<std::uint32_t>(value);
  std::uint32_t sub_level = 0;
  if (from_caller && options_.fairness) {
    const auto& shares = state.shares.at(importance_class);
    const auto share = shares.find(account);
    sub_level = share == shares.end() ? 0 : share->second.sub_level;
  } else if (from_caller) {
    sub_level = static_cast<std::uint32_t>(order_hash(account, node_, now) % sub_levels_per_class);
  }
  return importance_class * sub_levels_per_class + sub_level >= step_count - level;
}

std::vector<shed_table::level_record> shed_table::own_levels() const {
  std::vector<level_record> result;
  for (const auto& [service, state] : services_) {
    if (state.sequence > 0 &&
        (state.level > 0 || state.intervals_at_zero < zero_level_send_intervals)) {
      result.push_back({service, state.level, state.sequence});
    }
  }
  return result;
}

} // namespace damaskledge::admission
