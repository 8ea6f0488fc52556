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

} // namespace damaskledge::traffic
