#include <algorithm>
#include <optional>

#include "traffic/traffic.h"

namespace damaskledge::traffic {

namespace {

/// Weight that an interval keeps after the next one; with intervals of 50 ms about 10 s count.
constexpr double interval_decay = 0.995;
/// Runs after which older costs count half as much.
constexpr double cost_runs = 200;
/// Ratios below this are taken as chance.
constexpr double min_ratio = 0.05;
/// A route counts as a cause when leaving it out raises the squared error by this many times its
/// mean: about three standard errors.
constexpr double significance = 9;
/// Passes of the coordinate descent; two or three routes of a service converge in a few.
constexpr int passes = 40;

double value_of(const std::map<std::pair<std::string, std::string>, double>& sums,
                const std::string& first, const std::string& second) {
  const auto found = sums.find({first, second});
  return found == sums.end() ? 0.0 : found->second;
}

} // namespace

call_observer::running& call_observer::advance(time_point now, const std::string& route) {
  auto [found, added] = running_.try_emplace(route);
  running& it = found->second;
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
  running& it = advance(now, route);
  it.runs = std::max(0.0, it.runs - 1);
}

void call_observer::run_answered(const std::string& route, const std::string& service,
                                 duration held) {
  auto& it = costs_[route];
  it.service = service;
  if (it.runs > cost_runs) {
    it.runs /= 2;
    it.seconds /= 2;
  }
  it.seconds += std::chrono::duration<double>(held).count();
  it.runs += 1;
}

void call_observer::end_interval(time_point now) {
  for (auto& [key, value] : runs_runs_) {
    value *= interval_decay;
  }
  for (auto& [key, value] : runs_calls_) {
    value *= interval_decay;
  }
  for (auto& [child, value] : calls_calls_) {
    value *= interval_decay;
  }
  intervals_ = intervals_ * interval_decay + 1;
  for (auto& [route, it] : running_) {
    advance(now, route);
  }
  for (const auto& [child, calls] : interval_calls_) {
    calls_calls_[child] += calls * calls;
  }
  for (const auto& [parent, it] : running_) {
    if (it.exposure <= 0) {
      continue;
    }
    for (const auto& [other, n] : running_) {
      runs_runs_[{parent, other}] += it.exposure * n.exposure;
    }
    for (const auto& [child, calls] : interval_calls_) {
      runs_calls_[{parent, child}] += it.exposure * calls;
    }
  }
  interval_calls_.clear();
  for (auto& [route, it] : running_) {
    it.exposure = 0;
  }
}

call_observer::fit call_observer::solve(const std::string& child,
                                        const std::vector<std::string>& parents) const {
  fit result;
  for (int i = 0; i < passes; ++i) {
    for (const auto& parent : parents) {
      const double own = value_of(runs_runs_, parent, parent);
      double residual = value_of(runs_calls_, parent, child);
      for (const auto& other : parents) {
        if (other != parent) {
          residual -= value_of(runs_runs_, parent, other) * result.rates[other];
        }
      }
      result.rates[parent] = own <= 0 ? 0.0 : std::max(0.0, residual / own);
    }
  }
  const auto squares = calls_calls_.find(child);
  result.error = squares == calls_calls_.end() ? 0.0 : squares->second;
  for (const auto& parent : parents) {
    result.error -= 2 * result.rates[parent] * value_of(runs_calls_, parent, child);
    for (const auto& other : parents) {
      result.error +=
          result.rates[parent] * result.rates[other] * value_of(runs_runs_, parent, other);
    }
  }
  return result;
}

call_observer::fit call_observer::explain(const std::string& child) const {
  std::vector<std::string> parents;
  for (const auto& [route, it] : running_) {
    if (value_of(runs_calls_, route, child) > 0) {
      parents.push_back(route);
    }
  }
  fit best = solve(child, parents);
  while (parents.size() > 1) {
    std::optional<fit> next;
    std::size_t dropped = 0;
    for (std::size_t i = 0; i < parents.size(); ++i) {
      auto fewer = parents;
      fewer.erase(fewer.begin() + static_cast<std::ptrdiff_t>(i));
      fit without = solve(child, fewer);
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
  for (const auto& [child, squares] : calls_calls_) {
    for (const auto& [parent, rate] : explain(child).rates) {
      const auto cost = costs_.find(parent);
      if (cost == costs_.end()) {
        continue;
      }
      const double calls = rate * cost->second.seconds / cost->second.runs;
      if (calls >= min_ratio) {
        result.push_back({parent, child, calls});
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
