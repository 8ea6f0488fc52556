#include <cmath>

#include "traffic/traffic.h"

namespace damaskledge::traffic {

void retry_budget::prune(time_point now, history& value) const {
  const time_point oldest = now - options_.window;
  while (!value.requests.empty() && value.requests.front() < oldest) {
    value.requests.pop_front();
  }
  while (!value.retries.empty() && value.retries.front() < oldest) {
    value.retries.pop_front();
  }
}

void retry_budget::requested(time_point now, const std::string& service) {
  auto& it = services_[service];
  it.requests.push_back(now);
  prune(now, it);
}

void retry_budget::repeated(time_point now, const std::string& service) {
  auto& it = services_[service];
  it.retries.push_back(now);
  prune(now, it);
}

bool retry_budget::take(time_point now, const std::string& service) {
  auto& it = services_[service];
  prune(now, it);
  const double allowed =
      options_.ratio * static_cast<double>(it.requests.size()) + options_.reserve;
  if (static_cast<double>(it.retries.size()) + 1 > allowed) {
    return false;
  }
  it.retries.push_back(now);
  return true;
}

void repeat_tracker::repeat_started(time_point now, const std::string& route) {
  for (const auto& it : ratios_) {
    if (it.parent != route) {
      continue;
    }
    expected_calls& expected = expected_[it.child];
    if (now - expected.last_run > lifetime) {
      expected.calls = 0;
    }
    expected.calls += it.calls;
    expected.last_run = now;
  }
}

bool repeat_tracker::call_made(time_point now, const std::string& route) {
  const auto found = expected_.find(route);
  if (found == expected_.end()) {
    return false;
  }
  expected_calls& expected = found->second;
  if (expected.calls < 0.5 || now - expected.last_run > lifetime) {
    expected_.erase(found);
    return false;
  }
  expected.calls -= 1;
  return true;
}

} // namespace damaskledge::traffic
