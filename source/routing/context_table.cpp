#include <algorithm>
#include <string>

#include "routing/routing.h"

namespace damaskledge::routing {

namespace {

/// A pass over the whole table takes up to a millisecond at its largest size.
constexpr milliseconds sweep_interval{250};

} // namespace

context_table::context_table(context_settings options) : options_(options) {}

std::optional<std::uint32_t> context_table::begin_call(time_point now, const context& value,
                                                       duration lifetime) {
  if (has_ended(value.id)) {
    return std::nullopt;
  }
  auto found = budgets_.find(value.id);
  if (found == budgets_.end()) {
    if (budgets_.size() >= options_.max_entries) {
      // Without an entry the budget could be spent twice, so the call runs without retries.
      return 0;
    }
    found =
        budgets_.emplace(value.id, budget{value.retries, value.retries, 0, now + lifetime}).first;
  }
  budget& entry = found->second;
  const std::uint32_t grant = (entry.remaining + 1) / 2;
  entry.remaining -= grant;
  entry.granted += grant;
  if (entry.remaining + entry.granted > entry.initial) {
    report_violation("attempt-budget", "context=" + to_string(value.id) +
                                           " initial=" + std::to_string(entry.initial) +
                                           " remaining=" + std::to_string(entry.remaining) +
                                           " granted=" + std::to_string(entry.granted));
    return 0;
  }
  return grant;
}

void context_table::end_call(const id128& context_id, std::uint32_t unspent) {
  const auto found = budgets_.find(context_id);
  if (found == budgets_.end()) {
    return;
  }
  budget& entry = found->second;
  if (unspent > entry.granted) {
    report_violation("attempt-budget", "context=" + to_string(context_id) +
                                           " returned=" + std::to_string(unspent) +
                                           " granted=" + std::to_string(entry.granted));
    unspent = entry.granted;
  }
  entry.granted -= unspent;
  entry.remaining += unspent;
}

void context_table::ended(time_point now, const id128& context_id, duration keep) {
  const auto [found, added] = ended_.try_emplace(context_id, now + keep);
  if (!added) {
    found->second = std::max(found->second, now + keep);
    return;
  }
  ended_order_.push_back(context_id);
  while (ended_.size() > options_.max_entries) {
    ended_.erase(ended_order_.front());
    ended_order_.pop_front();
  }
}

bool context_table::has_ended(const id128& context_id) const {
  return ended_.contains(context_id);
}

void context_table::tick(time_point now) {
  if (now - last_sweep_ < sweep_interval) {
    return;
  }
  last_sweep_ = now;
  std::erase_if(budgets_, [&](const auto& it) { return it.second.expires <= now; });
  const auto before = ended_.size();
  std::erase_if(ended_, [&](const auto& it) { return it.second <= now; });
  if (ended_.size() != before) {
    std::erase_if(ended_order_, [&](const id128& it) { return !ended_.contains(it); });
  }
}

std::size_t context_table::size() const {
  return budgets_.size() + ended_.size();
}

} // namespace damaskledge::routing
