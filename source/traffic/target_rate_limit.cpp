#include <algorithm>

#include "traffic/traffic.h"

namespace damaskledge::traffic {

namespace {

/// A target that takes nothing is still sent a request at this rate, since only an answer of it can
/// tell that it takes requests again.
constexpr double min_requests_per_s = 0.5;
/// Requests that may be sent at once, as the time in which the limit allows as many.
constexpr double burst_s = 0.25;

} // namespace

bool target_rate_limit::answered(time_point now, time_point sent,
                                 std::optional<double> requests_per_s) {
  if (requests_per_s) {
    const bool changed = requests_per_s != limit_;
    if (limit_) {
      advance(now);
    } else {
      tokens_ = 0;
      updated_ = now;
    }
    limit_ = requests_per_s;
    tokens_ = std::min(tokens_, burst());
    named_at_ = now;
    return changed;
  }
  if (!limit_ || sent < named_at_) {
    return false;
  }
  limit_.reset();
  return true;
}

double target_rate_limit::burst() const {
  return std::max(1.0, rate() * burst_s);
}

double target_rate_limit::rate() const {
  return std::max(min_requests_per_s, *limit_);
}

void target_rate_limit::advance(time_point now) {
  const double elapsed = std::chrono::duration<double>(now - updated_).count();
  tokens_ = std::min(burst(), tokens_ + elapsed * rate());
  updated_ = now;
}

bool target_rate_limit::may_send(time_point now) {
  if (!limit_) {
    return true;
  }
  advance(now);
  return tokens_ >= 1;
}

void target_rate_limit::sent(time_point now) {
  if (limit_) {
    advance(now);
    tokens_ -= 1;
  }
}

duration target_rate_limit::expected_wait(std::size_t requests) const {
  if (!limit_) {
    return duration::zero();
  }
  return std::chrono::duration_cast<duration>(
      std::chrono::duration<double>((static_cast<double>(requests) - tokens_) / rate()));
}

std::size_t target_rate_limit::usable_slots(std::size_t slots, double held_s) const {
  if (!limit_) {
    return slots;
  }
  return std::clamp<std::size_t>(static_cast<std::size_t>(rate() * held_s), 1, slots);
}

} // namespace damaskledge::traffic
