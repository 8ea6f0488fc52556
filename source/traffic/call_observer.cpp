#include <algorithm>
#include <optional>

#include "traffic/traffic.h"

namespace damaskledge::traffic {

namespace {

/// Factor by which older intervals decay with each new one; at 50 ms an interval, the time constant
/// is about 10 s.
constexpr double interval_decay = 0.995;
/// Number of runs after which the weight of the older costs is halved.
constexpr double cost_history_runs = 200;
/// Ratios below this are treated as noise.
constexpr double min_ratio = 0.05;
/// A route counts as a cause when leaving it out raises the squared error by this many times its
/// mean: about three standard errors.
constexpr double significance = 9;
/// Passes of the coordinate descent; two or three routes of a service converge in a few.
constexpr int descent_passes = 40;

double sum_or_zero(const std::map<std::pair<std::string, std::string>, double>& sums,
                   const std::string& first, const std::string& second) {
  const auto found = sums.find({first, second});
  return found == sums.end() ? 0.0 : found->second;
}

} // namespace

call_observer::route_activity& call_observer::advance(time_point now, const std::string& route) {
  auto [found, added] = activity_.try_emplace(route);
  route_activity& it = found->second;
  if (!added) {
    it.exposure += it.runs * std::chrono::duration<double>(now - it.updated).count();
  }
  it.updated = now;
  return it;
}

void call_observer::run_started(time_point now, const std::string& route) {
  advance(now, route).runs += 1;
}

void call_observer::run_ended(time_point now, const std::string& route) {
  route_activity& it = advance(now, route);
  it.runs = std::max(0.0, it.runs - 1);
}

void call_observer::run_answered(const std::string& route, const std::string& service,
                                 duration held) {
  auto& it = costs_[route];
  it.service = service;
  if (it.runs > cost_history_runs) {
    it.runs /= 2;
    it.seconds /= 2;
  }
  it.seconds += std::chrono::duration<double>(held).count();
  it.runs += 1;
}

void call_observer::end_interval(time_point now) {
  for (auto& [key, value] : exposure_products_) {
    value *= interval_decay;
  }
  for (auto& [key, value] : exposure_call_products_) {
    value *= interval_decay;
  }
  for (auto& [child, value] : call_squares_) {
    value *= interval_decay;
  }
  intervals_ = intervals_ * interval_decay + 1;
  for (auto& [route, it] : activity_) {
    advance(now, route);
  }
  for (const auto& [child, calls] : interval_calls_) {
    call_squares_[child] += calls * calls;
  }
  for (const auto& [parent, it] : activity_) {
    if (it.exposure <= 0) {
      continue;
    }
    for (const auto& [other, n] : activity_) {
      exposure_products_[{parent, other}] += it.exposure * n.exposure;
    }
    for (const auto& [child, calls] : interval_calls_) {
      exposure_call_products_[{parent, child}] += it.exposure * calls;
    }
  }
  interval_calls_.clear();
  for (auto& [route, it] : activity_) {
    it.exposure = 0;
  }
}

call_observer::fit call_observer::fit_rates(const std::string& child,
                                            const std::vector<std::string>& parents) const {
  fit result;
  for (int i = 0; i < descent_passes; ++i) {
    for (const auto& parent : parents) {
      const double own = sum_or_zero(exposure_products_, parent, parent);
      double residual = sum_or_zero(exposure_call_products_, parent, child);
      for (const auto& other : parents) {
        if (other != parent) {
          residual -= sum_or_zero(exposure_products_, parent, other) * result.rates[other];
        }
      }
      result.rates[parent] = own <= 0 ? 0.0 : std::max(0.0, residual / own);
    }
  }
  const auto squares = call_squares_.find(child);
  result.error = squares == call_squares_.end() ? 0.0 : squares->second;
  for (const auto& parent : parents) {
    result.error -= 2 * result.rates[parent] * sum_or_zero(exposure_call_products_, parent, child);
    for (const auto& other : parents) {
      result.error += result.rates[parent] * result.rates[other] *
                      sum_or_zero(exposure_products_, parent, other);
    }
  }
  return result;
}

call_observer::fit call_observer::fit_significant_parents(const std::string& child) const {
  std::vector<std::string> parents;
  for (const auto& [route, it] : activity_) {
    if (sum_or_zero(exposure_call_products_, route, child) > 0) {
      parents.push_back(route);
    }
  }
  fit best = fit_rates(child, parents);
  while (parents.size() > 1) {
    std::optional<fit> next;
    std::size_t dropped = 0;
    for (std::size_t i = 0; i < parents.size(); ++i) {
      auto fewer = parents;
      fewer.erase(fewer.begin() + static_cast<std::ptrdiff_t>(i));
      fit without = fit_rates(child, fewer);
      if (!next || without.error < next->error) {
        next = std::move(without);
        dropped = i;
      }
    }
    if (next->error - best.error > significance * best.error / std::max(1.0, intervals_)) {
      break;
    }
    best = std::move(*next);
    parents.erase(parents.begin() + static_cast<std::ptrdiff_t>(dropped));
  }
  return best;
}

std::vector<call_ratio> call_observer::ratios() const {
  std::vector<call_ratio> result;
  for (const auto& [child, squares] : call_squares_) {
    for (const auto& [parent, rate] : fit_significant_parents(child).rates) {
      const auto cost = costs_.find(parent);
      if (cost == costs_.end()) {
        continue;
      }
      const double calls = rate * cost->second.seconds / cost->second.runs;
      if (calls >= min_ratio) {
        result.push_back({parent, child, calls, cost->second.runs});
      }
    }
  }
  return result;
}

std::vector<route_cost> call_observer::costs() const {
  std::vector<route_cost> result;
  for (const auto& [route, it] : costs_) {
    if (it.runs > 0) {
      result.push_back({route, it.service, it.seconds / it.runs, it.runs});
    }
  }
  return result;
}

} // namespace damaskledge::traffic
