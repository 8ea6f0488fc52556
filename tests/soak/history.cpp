#include "soak/history.h"

namespace damaskledge::soak {

namespace {

/// Statuses that promise that the request has not run and never will.
bool promises_not_run(int status) {
  return status == 429 || status == 503 || status == 408 || status == 421;
}

} // namespace

request_record& history::sent(time_point now, request_record value) {
  value.sent = now;
  return requests_[value.id] = std::move(value);
}

request_record* history::find(const std::string& id) {
  const auto found = requests_.find(id);
  return found == requests_.end() ? nullptr : &found->second;
}

void history::violated(time_point now, const std::string& promise, const std::string& detail) {
  violations_.push_back({now - start_, promise, detail});
}

void history::answered(time_point now, const std::string& id, int status, bool whole) {
  request_record* it = find(id);
  if (it == nullptr) {
    return;
  }
  it->status = status;
  it->ended = true;
  if (status == 200 && !whole) {
    violated(now, "whole answers", id + " got a success that is not its target's");
  }
  if (it->once && promises_not_run(status) && it->runs > 0) {
    violated(now, "true refusals", id + " got " + std::to_string(status) + " and has run");
  }
}

void history::ran(time_point now, const std::string& id, const std::string& account,
                  const std::string& calling_service, const std::string& origin_service,
                  bool key_seen) {
  request_record* it = find(id);
  if (it == nullptr) {
    violated(now, "only what was asked", id + " ran and no caller sent it");
    return;
  }
  ++it->runs;
  ++runs_;
  if (it->once && it->runs > 1) {
    violated(now, "at most once", id + " ran again");
  }
  if (it->once && promises_not_run(it->status)) {
    violated(now, "true refusals", id + " runs after " + std::to_string(it->status));
  }
  if (key_seen) {
    violated(now, "keys stay", id + " reached its target with a key");
  }
  if (account != it->account) {
    violated(now, "accounts", id + " of '" + it->account + "' ran for '" + account + "'");
  }
  if (calling_service != origin_service) {
    violated(now, "calling service", id + " came as from '" + calling_service + "'");
  }
  const auto taken = withdrawn_.find(it->key);
  if (it->in_touch && taken != withdrawn_.end() && it->sent - taken->second > apply_limit) {
    violated(now, "withdrawn keys", id + " ran with a key that was withdrawn");
  }
  if (!it->inner) {
    check_rate(it->sent, it->account);
  }
}

void history::check_rate(time_point now, const std::string& account) {
  auto& runs = runs_by_account_[account];
  // Runs of requests sent earlier may come later; the window slides over the times of sending.
  const auto at = std::upper_bound(runs.begin(), runs.end(), now);
  runs.insert(at, now);
  while (runs.size() > 2 && runs.back() - runs.front() > account_window * 4) {
    runs.pop_front();
  }
  constexpr double allowed =
      (account_rate * static_cast<double>(account_window.count()) + account_burst) *
          (1 + account_overage) +
      account_slack;
  std::size_t first = 0;
  for (std::size_t last = 0; last < runs.size(); ++last) {
    while (runs[last] - runs[first] > account_window) {
      ++first;
    }
    if (static_cast<double>(last - first + 1) > allowed) {
      violated(now, "rates", account + ": " + std::to_string(last - first + 1) + " runs in 5 s");
      runs.clear();
      return;
    }
  }
}

std::pair<std::size_t, std::size_t> history::served_since(time_point from) const {
  std::size_t asked = 0;
  std::size_t served = 0;
  for (const auto& [id, it] : requests_) {
    if (!it.inner && it.ended && it.sent >= from && it.status != 401) {
      ++asked;
      served += it.status == 200 ? 1 : 0;
    }
  }
  return {asked, served};
}

} // namespace damaskledge::soak
