#include <algorithm>
#include <cmath>

#include "platform/platform.h"

namespace damaskledge::platform {

call_budget::call_budget(double calls_per_second, time_point now)
    : rate_(std::max(1.0, calls_per_second)), tokens_(rate_), refilled_at_(now) {}

void call_budget::refill(time_point now) {
  if (now <= refilled_at_) {
    return;
  }
  const double passed = std::chrono::duration<double>(now - refilled_at_).count();
  tokens_ = std::min(rate_, tokens_ + passed * rate_);
  refilled_at_ = now;
}

duration call_budget::take(time_point now) {
  refill(now);
  if (tokens_ >= 1) {
    tokens_ -= 1;
    return duration{0};
  }
  const double wait = (1 - tokens_) / rate_;
  return std::max(duration{1}, std::chrono::duration_cast<duration>(
                                   std::chrono::duration<double>(wait) + duration{1}));
}

void call_budget::charge(time_point now) {
  refill(now);
  tokens_ -= 1;
}

double call_budget::available(time_point now) {
  refill(now);
  return tokens_;
}

backoff::backoff(std::uint64_t seed) : random_state_(seed) {}

time_point backoff::failed(time_point now, milliseconds at_least) {
  constexpr unsigned highest_exponent = 10;
  const auto bound = std::min<milliseconds>(
      highest_bound, first_bound * (1U << std::min(failures_, highest_exponent)));
  ++failures_;
  const auto jitter_range =
      static_cast<std::uint64_t>(std::chrono::duration_cast<duration>(bound).count());
  // A hash of a counter is uniform enough for jitter and keeps the object small.
  ++random_state_;
  const std::uint64_t draw =
      hash64(std::string_view(reinterpret_cast<const char*>(&random_state_), sizeof random_state_));
  const duration jitter{static_cast<duration::rep>(draw % (jitter_range + 1))};
  retry_at_ = now + at_least + jitter;
  return retry_at_;
}

void backoff::succeeded() {
  failures_ = 0;
  retry_at_ = time_point{};
}

} // namespace damaskledge::platform
