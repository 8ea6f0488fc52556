#include <algorithm>

#include "traffic/traffic.h"

namespace damaskledge::traffic {

namespace {

/// Weight that an interval keeps after the next one; with intervals of 250 ms about 5 s count.
constexpr double interval_decay = 0.95;
/// Runs after which older costs count half as much.
constexpr double cost_runs = 200;
/// Passes of the coordinate descent; two or three routes of a service converge in a few.
constexpr int passes = 20;
/// Ratios below this are taken as chance.
constexpr double min_ratio = 0.05;

} // namespace

void call_observer::run_ended(const std::string& route, const std::string& service, duration held) {
  auto& it = costs_[route];
  it.service = service;
  if (it.runs > cost_runs) {
    it.runs /= 2;
    it.seconds /= 2;
  }
  it.seconds += std::chrono::duration<double>(held).count();
  it.runs += 1;
}

void call_observer::end_interval() {
  for (auto& [key, value] : runs_runs_) {
    value *= interval_decay;
  }
  for (auto& [key, value] : runs_calls_) {
    value *= interval_decay;
  }
  for (const auto& [parent, runs] : interval_runs_) {
    for (const auto& [other, n] : interval_runs_) {
      runs_runs_[{parent, other}] += runs * n;
    }
    for (const auto& [child, calls] : interval_calls_) {
      runs_calls_[{parent, child}] += runs * calls;
      estimates_.try_emplace({parent, child}, 0.0);
    }
  }
  interval_runs_.clear();
  interval_calls_.clear();
  for (int i = 0; i < passes; ++i) {
    for (auto& [key, estimate] : estimates_) {
      const auto& [parent, child] = key;
      const double own = runs_runs_[{parent, parent}];
      if (own <= 0) {
        continue;
      }
      double residual = runs_calls_[key];
      for (const auto& [other_key, other] : estimates_) {
        if (other_key.second == child && other_key.first != parent) {
          const auto found = runs_runs_.find({parent, other_key.first});
          residual -= found == runs_runs_.end() ? 0.0 : found->second * other;
        }
      }
      estimate = std::max(0.0, residual / own);
    }
  }
}

std::vector<call_ratio> call_observer::ratios() const {
  std::vector<call_ratio> result;
  for (const auto& [key, calls] : estimates_) {
    if (calls >= min_ratio) {
      result.push_back({key.first, key.second, calls});
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
