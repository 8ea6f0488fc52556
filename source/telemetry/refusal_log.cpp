#include <algorithm>

#include "telemetry/telemetry.h"

namespace damaskledge::telemetry {

namespace {

constexpr std::size_t max_text = 512;

void clean(std::string& text) {
  text = redact_keys(text).substr(0, max_text);
}

} // namespace

refusal_log::refusal_log(std::size_t max_entries)
    : max_entries_(std::max<std::size_t>(1, max_entries)) {}

void refusal_log::add(refusal_entry entry) {
  clean(entry.request);
  clean(entry.account);
  clean(entry.route);
  clean(entry.detail);
  const std::lock_guard lock(mutex_);
  if (entries_.size() >= max_entries_) {
    const auto found = by_request_.find(entries_.front().request);
    if (found != by_request_.end() && found->second == first_) {
      by_request_.erase(found);
    }
    entries_.pop_front();
    ++first_;
  }
  by_request_[entry.request] = first_ + entries_.size();
  entries_.push_back(std::move(entry));
}

std::optional<refusal_entry> refusal_log::find(std::string_view request) const {
  const std::lock_guard lock(mutex_);
  const auto found = by_request_.find(std::string(request));
  if (found == by_request_.end()) {
    return std::nullopt;
  }
  return entries_[found->second - first_];
}

std::vector<refusal_entry> refusal_log::latest(std::size_t n) const {
  const std::lock_guard lock(mutex_);
  const auto count = static_cast<std::ptrdiff_t>(std::min(n, entries_.size()));
  return {entries_.rbegin(), entries_.rbegin() + count};
}

} // namespace damaskledge::telemetry
