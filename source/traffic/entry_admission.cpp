#include <algorithm>
#include <cmath>
#include <functional>
#include <set>

#include "traffic/traffic.h"

namespace damaskledge::traffic {

namespace {

/// Weight of the newest interval in a class's rate.
constexpr double rate_smoothing = 0.4;
/// Mean ratios below this are treated as noise.
constexpr double min_ratio = 0.2;
/// Requests of a class that may be admitted ahead of the planned fraction because they were
/// refused before.
constexpr double max_credit_debt = 20;
/// Rates below this (requests per second) are removed, so that unused classes leave the table.
constexpr double min_rate = 0.01;
/// Demand has changed when a class differs by more than this fraction of its rate and by more than
/// this many requests per second.
constexpr double demand_change = 0.2;
constexpr double min_demand_change = 0.5;

/// Mean cost of each route over the reports of all nodes.
std::map<std::string, route_cost> merge_costs(const std::vector<route_cost>& reports) {
  std::map<std::string, route_cost> result;
  for (const auto& it : reports) {
    auto& merged = result[it.route];
    merged.route = it.route;
    merged.service = it.service;
    merged.slot_seconds = (merged.slot_seconds * merged.runs + it.slot_seconds * it.runs) /
                          std::max(1e-9, merged.runs + it.runs);
    merged.runs += it.runs;
  }
  return result;
}

/// Mean calls of each pair of routes over all runs of the parent. A node reports only the pairs
/// that it has found significant, so runs at the other nodes count as runs without such calls.
/// Otherwise a false attribution at one node of a large fleet would count for the whole fleet.
std::vector<call_ratio> merge_calls(const std::vector<call_ratio>& reports,
                                    const std::map<std::string, route_cost>& costs) {
  std::map<std::pair<std::string, std::string>, double> sums;
  for (const auto& it : reports) {
    sums[{it.parent, it.child}] += it.calls * it.runs;
  }
  std::vector<call_ratio> result;
  for (const auto& [routes, calls] : sums) {
    const auto parent = costs.find(routes.first);
    if (parent != costs.end() && parent->second.runs > 0) {
      const double runs = parent->second.runs;
      result.push_back({routes.first, routes.second, calls / runs, runs});
    }
  }
  return result;
}

struct call_graph {
  std::map<std::string, route_cost> costs;
  std::map<std::string, std::map<std::string, double>> calls;

  explicit call_graph(const load_picture& picture) : costs(merge_costs(picture.costs)) {
    for (const auto& it : merge_calls(picture.calls, costs)) {
      if (it.calls >= min_ratio) {
        calls[it.parent][it.child] = it.calls;
      }
    }
  }

  /// Computes each route once. A call back to a route that is still being computed is ignored, so
  /// that a cycle among the learned calls does not recurse forever.
  const std::map<std::string, double>& slot_cost(const std::string& route) {
    auto [found, added] = cost_cache.try_emplace(route);
    if (!added) {
      return found->second;
    }
    std::map<std::string, double> result;
    if (const auto cost = costs.find(route); cost != costs.end()) {
      result[cost->second.service] += cost->second.slot_seconds;
    }
    if (const auto callees = calls.find(route); callees != calls.end()) {
      for (const auto& [child, n] : callees->second) {
        for (const auto& [service, slot_seconds] : slot_cost(child)) {
          result[service] += n * slot_seconds;
        }
      }
    }
    return cost_cache[route] = std::move(result);
  }

  std::map<std::string, std::map<std::string, double>> cost_cache;
};

struct planned_class {
  const class_demand* demand = nullptr;
  std::map<std::string, double> slot_cost;
  double fraction = 1;
};

double offered_slots(const std::vector<planned_class>& classes, const std::string& service) {
  double total = 0;
  for (const auto& it : classes) {
    const auto found = it.slot_cost.find(service);
    total += found == it.slot_cost.end() ? 0.0 : found->second * it.demand->rate * it.fraction;
  }
  return total;
}

/// Urgency of a class: its effective priority, then its route's.
using urgency = std::pair<unsigned, unsigned>;

urgency urgency_of(const request_class& kind) {
  return {kind.priority, kind.route_priority};
}

/// Cuts classes of one urgency alike until `excess` slots are saved or the floor is reached.
/// @return what remains of the excess.
double cut_classes(std::vector<planned_class>& classes, const std::string& service,
                   const urgency& of, double excess, double floor) {
  double reducible_slots = 0;
  for (const auto& it : classes) {
    const auto found = it.slot_cost.find(service);
    if (urgency_of(it.demand->kind) == of && found != it.slot_cost.end()) {
      reducible_slots += found->second * it.demand->rate * std::max(0.0, it.fraction - floor);
    }
  }
  if (reducible_slots <= 0) {
    return excess;
  }
  const double part = std::min(1.0, excess / reducible_slots);
  for (auto& it : classes) {
    if (urgency_of(it.demand->kind) == of && it.slot_cost.count(service) != 0) {
      it.fraction -= std::max(0.0, it.fraction - floor) * part;
    }
  }
  return excess - reducible_slots * part;
}

/// Multiplies the fractions of all classes that need the service.
void scale_classes(std::vector<planned_class>& classes, const std::string& service, double factor) {
  for (auto& it : classes) {
    if (it.slot_cost.count(service) != 0) {
      it.fraction *= factor;
    }
  }
}

} // namespace

std::map<std::string, double> slot_cost_of(const load_picture& picture, const std::string& route,
                                           const std::string& service) {
  call_graph calls(picture);
  std::map<std::string, double> result = calls.slot_cost(route);
  // A request of a route that is moved to another service is expected to cost the same there.
  if (const auto cost = calls.costs.find(route);
      cost != calls.costs.end() && cost->second.service != service) {
    result[cost->second.service] -= cost->second.slot_seconds;
    result[service] += cost->second.slot_seconds;
  }
  return result;
}

load_picture summarise(const load_picture& picture) {
  load_picture result;
  std::map<std::pair<request_class, std::string>, double> demand;
  for (const auto& it : picture.demand) {
    demand[{it.kind, it.service}] += it.rate;
  }
  for (const auto& [key, rate] : demand) {
    result.demand.push_back({key.first, key.second, rate});
  }
  const auto costs = merge_costs(picture.costs);
  for (const auto& [route, it] : costs) {
    result.costs.push_back(it);
  }
  result.calls = merge_calls(picture.calls, costs);
  result.capacity = picture.capacity;
  return result;
}

bool demand_changed(const std::vector<class_demand>& before, const std::vector<class_demand>& now) {
  if (before.size() != now.size()) {
    return true;
  }
  for (std::size_t i = 0; i < now.size(); ++i) {
    const double difference = std::abs(now[i].rate - before[i].rate);
    if (before[i].kind != now[i].kind || before[i].service != now[i].service ||
        difference > std::max(min_demand_change, before[i].rate * demand_change)) {
      return true;
    }
  }
  return false;
}

admission_plan plan_admission(const load_picture& picture, const admission_options& options) {
  call_graph calls(picture);
  std::vector<planned_class> classes;
  std::set<urgency, std::greater<>> order;
  for (const auto& it : picture.demand) {
    planned_class planned;
    planned.demand = &it;
    planned.slot_cost = calls.slot_cost(it.kind.route);
    classes.push_back(std::move(planned));
    order.insert(urgency_of(it.kind));
  }
  for (const auto& [service, slots] : picture.capacity) {
    double excess = offered_slots(classes, service) - slots * options.utilisation;
    for (const auto& next : order) {
      if (excess <= 0) {
        break;
      }
      excess = cut_classes(classes, service, next, excess, options.floor);
    }
    if (excess > 0) {
      // Demand at the floor fractions still exceeds the capacity. All classes are scaled down,
      // because a service that stays overloaded answers no request in time.
      const double wanted = offered_slots(classes, service);
      scale_classes(classes, service, slots * options.utilisation / wanted);
    }
  }
  admission_plan plan;
  for (const auto& it : classes) {
    auto [found, added] = plan.try_emplace(it.demand->kind, it.fraction);
    found->second = std::min(found->second, it.fraction);
  }
  return plan;
}

double entry_admission::fraction(const request_class& kind) const {
  const auto found = plan_.find(kind);
  return found == plan_.end() ? 1.0 : found->second;
}

bool entry_admission::admit(const request_class& kind, bool returning) {
  const double share = fraction(kind);
  if (share >= 1) {
    return true;
  }
  double& credit = credit_[kind];
  credit += share;
  if (credit < (returning ? -max_credit_debt : 1.0)) {
    return false;
  }
  credit -= 1;
  return true;
}

const std::vector<class_demand>& demand_meter::end_interval(duration interval) {
  const double length = std::max(0.001, std::chrono::duration<double>(interval).count());
  for (const auto& [key, n] : counts_) {
    rates_.try_emplace(key, 0.0);
  }
  demand_.clear();
  for (auto it = rates_.begin(); it != rates_.end();) {
    const auto counted = counts_.find(it->first);
    const double rate = counted == counts_.end() ? 0.0 : counted->second / length;
    it->second += (rate - it->second) * rate_smoothing;
    if (it->second < min_rate) {
      it = rates_.erase(it);
      continue;
    }
    demand_.push_back({it->first.first, it->first.second, it->second});
    ++it;
  }
  counts_.clear();
  return demand_;
}

} // namespace damaskledge::traffic
