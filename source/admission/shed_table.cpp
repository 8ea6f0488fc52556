#include <algorithm>
#include <cmath>
#include <utility>

#include "admission/admission.h"

namespace damaskledge::admission {

namespace {

constexpr std::size_t class_count = 4;
constexpr std::uint32_t step_count = class_count * sub_levels_per_class;
/// Order of accounts within a class changes after this time. It is long against the time in which
/// the level follows a change, about a second.
constexpr seconds time_slot{5};
/// A lone refusal of a busy target is not overload.
constexpr double refused_fraction = 0.05;
/// Factor per interval of 100 ms that halves the admitted counts every 3 s.
constexpr double share_memory = 0.977;
constexpr double negligible_share = 0.05;
/// A level that fell to 0 is told for this many intervals, so that nodes that missed one message
/// hear of it before the level lapses.
constexpr std::uint32_t told_intervals = 10;

/// Intervals without overload after which the fall of a level doubles with each further one. A
/// level that balances demand sees overload more often than that, so a longer stretch shows that
/// the cause has ended, and the least important requests need not wait for the whole fall.
constexpr std::uint32_t steady_fall_intervals = 5;

/// Order of an account within its class. It differs from node to node: with one order for the
/// fleet, an account with most of the demand would be refused or let in everywhere at once, which
/// starves it and leaves capacity unused in turn.
std::uint64_t order_hash(std::string_view account, std::string_view node, time_point now) {
  const auto slot = static_cast<std::uint64_t>(now.time_since_epoch() / time_slot);
  return hash_parts({account, node, std::to_string(slot)}).low;
}

} // namespace

shed_table::shed_table(shed_settings options, std::string node)
    : options_(options), node_(std::move(node)) {}

void shed_table::observe_queue_delay(time_point now, const std::string& service, duration waited) {
  tick(now);
  service_row& row = services_[service];
  ++row.calls;
  row.waited += waited;
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

void shed_table::end_interval(service_row& row) const {
  const std::uint32_t all = row.calls + row.refusals;
  const bool delayed = row.calls > 0 && row.waited / row.calls > options_.target_delay;
  const bool refused = row.refusals > refused_fraction * all;
  const std::uint32_t before = row.level;
  if (delayed || refused) {
    row.level = std::min(max_shed_level, row.level + options_.rise_step);
    row.quiet_intervals = 0;
  } else {
    row.quiet_intervals = std::min(row.quiet_intervals + 1, steady_fall_intervals + 6);
    const std::uint32_t doublings =
        std::max(row.quiet_intervals, steady_fall_intervals) - steady_fall_intervals;
    row.level -= std::min(row.level, options_.fall_step << doublings);
  }
  if (row.level > 0 || before > 0) {
    row.idle_intervals = 0;
  } else {
    row.idle_intervals = std::min(row.idle_intervals + 1, told_intervals + 1);
  }
  // A new sequence in each interval keeps a constant level from lapsing on other nodes.
  ++row.sequence;
  row.calls = 0;
  row.refusals = 0;
  row.waited = duration{0};
}

void shed_table::tick(time_point now) {
  if (interval_start_ == time_point{}) {
    interval_start_ = now;
  }
  if (now - interval_start_ < options_.interval) {
    return;
  }
  // A table that was not ticked for long ends one interval with what it observed, and lets the
  // others pass without overload.
  constexpr std::int64_t max_intervals = max_shed_level;
  const auto passed =
      std::min<std::int64_t>((now - interval_start_) / options_.interval, max_intervals);
  interval_start_ = now;
  for (auto& [service, row] : services_) {
    for (std::int64_t it = 0; it < passed; ++it) {
      end_interval(row);
    }
    std::erase_if(row.remote,
                  [&](const auto& it) { return now - it.second.at > options_.remote_lapse; });
    row.heard_level = median_level(row);
    for (auto& shares : row.shares) {
      const double memory = std::pow(share_memory, static_cast<double>(passed));
      std::vector<std::pair<double, text_map<account_share>::iterator>> ranked;
      for (auto it = shares.begin(); it != shares.end();) {
        it->second.admitted *= memory;
        if (it->second.admitted < negligible_share) {
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
  service_row& row = services_[service];
  remote_level& entry = row.remote[origin];
  const bool known = entry.at != time_point{} && now - entry.at <= options_.remote_lapse;
  if (known && sequence <= entry.sequence) {
    return;
  }
  const std::uint32_t bounded = std::min(level, max_shed_level);
  const bool changed = !known || bounded != entry.level;
  entry = {bounded, sequence, now};
  if (changed) {
    row.heard_level = median_level(row);
  }
}

std::uint32_t shed_table::median_level(const service_row& row) {
  // The median: one node that is cut off from its targets must not make the whole fleet shed.
  // It is kept in the row, because forming it over 820 nodes takes 7 us.
  std::vector<std::uint32_t> levels;
  levels.reserve(row.remote.size());
  for (const auto& [origin, entry] : row.remote) {
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
  return found == services_.end() ? 0 : std::max(found->second.level, found->second.heard_level);
}

bool shed_table::sheds(time_point now, const std::string& service, importance value,
                       std::string_view account, bool entry) const {
  const auto found = services_.find(service);
  if (found == services_.end()) {
    return false;
  }
  const service_row& row = found->second;
  const std::uint32_t level = entry ? std::max(row.level, row.heard_level) : row.level;
  if (level == 0) {
    return false;
  }
  const auto importance_class = static_cast<std::uint32_t>(value);
  std::uint32_t sub_level = 0;
  if (entry && options_.fairness) {
    const auto& shares = row.shares.at(importance_class);
    const auto share = shares.find(account);
    sub_level = share == shares.end() ? 0 : share->second.sub_level;
  } else if (entry) {
    sub_level = static_cast<std::uint32_t>(order_hash(account, node_, now) % sub_levels_per_class);
  }
  return importance_class * sub_levels_per_class + sub_level >= step_count - level;
}

std::vector<shed_table::level_record> shed_table::own_levels() const {
  std::vector<level_record> result;
  for (const auto& [service, row] : services_) {
    if (row.sequence > 0 && (row.level > 0 || row.idle_intervals < told_intervals)) {
      result.push_back({service, row.level, row.sequence});
    }
  }
  return result;
}

} // namespace damaskledge::admission
