#include <algorithm>
#include <cmath>
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
/// The descent ends early when no rate has changed by more than this in a pass (calls a second).
constexpr double converged_change = 1e-9;
/// A route without runs is forgotten when its decayed sum of run-seconds is below this: about a
/// minute after a run of 0.2 s.
constexpr double min_recent_exposure = 0.0005;
/// A child is forgotten when its decayed sum of squared calls is below this.
constexpr double min_call_squares = 0.001;
/// A route takes the column of another one when it is busier by this factor.
constexpr double takeover_factor = 2;

} // namespace

call_observer::route_activity& call_observer::advance(time_point now, const std::string& route) {
  auto [found, added] = routes_.try_emplace(route);
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
  auto& it = routes_[route];
  it.service = service;
  if (it.answered_runs > cost_history_runs) {
    it.answered_runs /= 2;
    it.answered_seconds /= 2;
  }
  it.answered_seconds += std::chrono::duration<double>(held).count();
  it.answered_runs += 1;
}

void call_observer::end_interval(time_point now) {
  for (auto& [route, it] : routes_) {
    advance(now, route);
    it.recent_exposure = it.recent_exposure * interval_decay + it.exposure;
  }
  forget_idle_routes();
  assign_columns();
  columns exposure{};
  for (auto& [route, it] : routes_) {
    exposure[it.column] += it.exposure;
    it.exposure = 0;
  }
  for (std::size_t i = 0; i < exposure.size(); ++i) {
    for (std::size_t j = 0; j < exposure.size(); ++j) {
      double& sum = exposure_products_[i][j];
      sum = sum * interval_decay + exposure[i] * exposure[j];
    }
  }
  for (auto& [child, it] : children_) {
    it.squares = it.squares * interval_decay + it.interval_calls * it.interval_calls;
    for (std::size_t i = 0; i < exposure.size(); ++i) {
      it.products[i] = it.products[i] * interval_decay + exposure[i] * it.interval_calls;
    }
    it.interval_calls = 0;
  }
  std::erase_if(children_, [](const auto& it) { return it.second.squares < min_call_squares; });
  intervals_ = intervals_ * interval_decay + 1;
}

void call_observer::forget_idle_routes() {
  std::erase_if(routes_, [this](const auto& it) {
    const route_activity& value = it.second;
    if (value.runs > 0 || value.recent_exposure >= min_recent_exposure) {
      return false;
    }
    if (value.column != pooled) {
      clear_column(value.column);
    }
    return true;
  });
}

void call_observer::assign_columns() {
  for (auto& [route, it] : routes_) {
    if (it.column != pooled || it.exposure <= 0) {
      continue;
    }
    const auto busyness = [this](const std::string& parent) {
      return parent.empty() ? 0.0 : routes_.at(parent).recent_exposure;
    };
    const auto idlest =
        std::min_element(parents_.begin(), parents_.end(),
                         [&](const auto& a, const auto& b) { return busyness(a) < busyness(b); });
    if (it.recent_exposure > busyness(*idlest) * takeover_factor) {
      const auto column = static_cast<std::size_t>(idlest - parents_.begin());
      clear_column(column);
      it.column = column;
      *idlest = route;
    }
  }
}

void call_observer::clear_column(std::size_t column) {
  if (const auto owner = routes_.find(parents_[column]); owner != routes_.end()) {
    owner->second.column = pooled;
  }
  parents_[column].clear();
  exposure_products_[column].fill(0);
  for (auto& it : exposure_products_) {
    it[column] = 0;
  }
  for (auto& [child, it] : children_) {
    it.products[column] = 0;
  }
}

call_observer::fit call_observer::fit_rates(const child_activity& child,
                                            const std::vector<std::size_t>& parents) const {
  fit result;
  double change = converged_change * 2;
  for (int i = 0; i < descent_passes && change > converged_change; ++i) {
    change = 0;
    for (const std::size_t parent : parents) {
      const double own = exposure_products_[parent][parent];
      double residual = child.products[parent];
      for (const std::size_t other : parents) {
        if (other != parent) {
          residual -= exposure_products_[parent][other] * result.rates[other];
        }
      }
      const double rate = own <= 0 ? 0.0 : std::max(0.0, residual / own);
      change = std::max(change, std::abs(rate - result.rates[parent]));
      result.rates[parent] = rate;
    }
  }
  result.error = child.squares;
  for (const std::size_t parent : parents) {
    result.error -= 2 * result.rates[parent] * child.products[parent];
    for (const std::size_t other : parents) {
      result.error +=
          result.rates[parent] * result.rates[other] * exposure_products_[parent][other];
    }
  }
  return result;
}

call_observer::fit call_observer::fit_significant_parents(const child_activity& child) const {
  std::vector<std::size_t> parents;
  for (std::size_t i = 0; i < child.products.size(); ++i) {
    if (child.products[i] > 0) {
      parents.push_back(i);
    }
  }
  fit best = fit_rates(child, parents);
  const auto drop_zero_rates = [&] {
    std::erase_if(parents, [&](std::size_t it) { return best.rates[it] <= 0; });
  };
  drop_zero_rates();
  while (parents.size() > 1) {
    std::optional<fit> next;
    for (std::size_t i = 0; i < parents.size(); ++i) {
      auto fewer = parents;
      fewer.erase(fewer.begin() + static_cast<std::ptrdiff_t>(i));
      fit without = fit_rates(child, fewer);
      if (!next || without.error < next->error) {
        next = without;
      }
    }
    if (next->error - best.error > significance * best.error / std::max(1.0, intervals_)) {
      break;
    }
    best = *next;
    drop_zero_rates();
  }
  return best;
}

std::vector<call_ratio> call_observer::ratios() const {
  std::vector<call_ratio> result;
  for (const auto& [child, activity] : children_) {
    const fit found = fit_significant_parents(activity);
    for (std::size_t i = 0; i < parents_.size(); ++i) {
      const auto parent = routes_.find(parents_[i]);
      if (found.rates[i] <= 0 || parent == routes_.end() || parent->second.answered_runs <= 0) {
        continue;
      }
      const route_activity& it = parent->second;
      const double calls = found.rates[i] * it.answered_seconds / it.answered_runs;
      if (calls >= min_ratio) {
        result.push_back({parent->first, child, calls, it.answered_runs});
      }
    }
  }
  return result;
}

std::vector<route_cost> call_observer::costs() const {
  std::vector<route_cost> result;
  for (const auto& [route, it] : routes_) {
    if (it.answered_runs > 0) {
      result.push_back(
          {route, it.service, it.answered_seconds / it.answered_runs, it.answered_runs});
    }
  }
  return result;
}

} // namespace damaskledge::traffic
