#include <algorithm>
#include <cmath>

#include "shares/shares.h"

namespace damaskledge::shares {
namespace {

/// Minimum time between reports of settled tokens from a node without tokens.
constexpr milliseconds report_interval{10};
/// A node requests tokens before it runs out when it holds fewer than it uses in this time.
constexpr milliseconds early_use{100};
/// Retransmission timeout of a request that callers wait for. One lost datagram costs a quarter of
/// `caller_wait`, and a second one still leaves time for an answer.
constexpr milliseconds urgent_timeout{10};
/// Approximate time for which callers wait for tokens; see the setting token_wait.
constexpr milliseconds caller_wait{40};

double seconds_of(duration value) {
  return std::chrono::duration<double>(value).count();
}

} // namespace

node_buckets::node_buckets(settings options, std::uint64_t process)
    : options_(options), process_(process),
      // Grants do not name the process, so a restarted process must not repeat the sequence
      // numbers of the one before it.
      next_sequence_(hash64(std::to_string(process)) >> 1U) {}

void node_buckets::settle(bucket& row, const lot& from, std::uint32_t tokens) {
  if (from.stream == row.stream) {
    row.settled += tokens;
  }
}

void node_buckets::expire(bucket& row, time_point now) {
  while (!row.lots.empty() && row.lots.front().expires <= now) {
    settle(row, row.lots.front(), row.lots.front().tokens);
    row.lots.pop_front();
  }
}

void node_buckets::start_stream(bucket& row) {
  row.stream = process_ + streams_;
  ++streams_;
  row.settled = 0;
  row.reported = 0;
  row.in_flight.reset();
}

void node_buckets::adopt(const endpoint& address, term held, const bucket* keep_stream) {
  coordinator_ = address;
  held_ = held;
  has_coordinator_ = true;
  for (auto& [name, row] : buckets_) {
    row.lots.clear();
    row.denials = 0;
    if (&row == keep_stream) {
      row.settled = 0;
      row.reported = 0;
    } else {
      start_stream(row);
    }
  }
}

void node_buckets::set_coordinator(time_point /*now*/, const endpoint& address, term held) {
  if (!has_coordinator_ || held > held_) {
    adopt(address, held, nullptr);
  } else if (held == held_) {
    coordinator_ = address;
  }
}

void node_buckets::set_accounts(const std::map<std::string, limit>& accounts) {
  std::erase_if(buckets_, [&](const auto& it) { return !accounts.contains(it.first); });
  for (const auto& [name, value] : accounts) {
    const auto [it, added] = buckets_.try_emplace(name);
    it->second.fleet = value;
    if (added) {
      start_stream(it->second);
    }
  }
}

take_result node_buckets::take(time_point now, const std::string& account, bool last) {
  const auto found = buckets_.find(account);
  if (found == buckets_.end()) {
    return take_result::refused;
  }
  bucket& row = found->second;
  expire(row, now);
  if (!row.lots.empty()) {
    lot& first = row.lots.front();
    --first.tokens;
    settle(row, first, 1);
    ++row.taken;
    row.last_taken = now;
    if (first.tokens == 0) {
      row.lots.pop_front();
    }
    return take_result::taken;
  }
  if (last) {
    // Counting this call as demand would request a token that no caller uses and that stays here
    // until it expires. With a small burst, that is most of what may be outstanding in the data
    // centre.
    return take_result::refused;
  }
  if (!has_coordinator_) {
    return take_result::refused;
  }
  // After an answer without tokens, only as many callers may wait as the account's rate can serve
  // within `caller_wait`.
  const double useful = std::max(1.0, row.fleet.rate * seconds_of(caller_wait));
  if (row.denials > 0 && row.waiting >= useful) {
    return take_result::refused;
  }
  ++row.waiting;
  return take_result::pending;
}

void node_buckets::send(const std::string& account, bucket& row, std::uint64_t sequence,
                        std::uint32_t wanted, time_point now,
                        std::vector<wire::outgoing>& out) const {
  row.last_sent = now;
  row.reported = row.settled;
  out.push_back({coordinator_, wire::transport::datagram,
                 wire::token_request{account, sequence, row.stream, held_, row.settled, wanted}});
}

void node_buckets::refresh(const std::string& account, bucket& row, time_point now,
                           std::vector<wire::outgoing>& out) {
  expire(row, now);
  const double window = seconds_of(options_.use_window);
  row.use = row.use * std::exp(-seconds_of(now - row.use_at) / window) + row.taken / window;
  row.use_at = now;
  row.taken = 0;
  if (row.in_flight && now - row.in_flight->first_sent >= options_.grant_ttl) {
    start_stream(row);
  }
  if (row.in_flight) {
    // After an answer without tokens, the next answer is probably late because the allocator holds
    // the request until it has tokens, so it is not repeated early.
    const bool urgent = row.waiting > 0 && row.lots.empty() && row.denials == 0;
    if (now - row.in_flight->last_sent >=
        (urgent ? std::min(urgent_timeout, options_.request_timeout) : options_.request_timeout)) {
      row.in_flight->last_sent = now;
      send(account, row, row.in_flight->sequence, row.in_flight->wanted, now, out);
    }
    return;
  }
  std::uint32_t remaining = 0;
  for (const lot& it : row.lots) {
    remaining += it.tokens;
  }
  // No prefetching after demand has stopped at this node: the tokens would expire unused.
  const double horizon =
      now - row.last_taken < early_use ? seconds_of(options_.request_horizon) : 0;
  const auto ahead = static_cast<std::uint32_t>(
      std::min(row.use * horizon, row.fleet.burst * options_.prefetch_fraction));
  const bool interval_passed = now - row.last_sent >= options_.request_interval;
  const bool early = ahead > remaining && interval_passed &&
                     remaining < std::max(1.0, row.use * seconds_of(early_use));
  // Requests for an account above its rate are limited to one per interval. An account within its
  // rate is rarely denied twice in succession.
  const bool may_ask = row.denials < 2 || interval_passed;
  const bool empty = remaining == 0 && (row.waiting > 0 || ahead > 0);
  if ((empty && may_ask) || early) {
    const std::uint32_t wanted = row.waiting + ahead - std::min(ahead, remaining);
    row.report_repeats = 0;
    row.in_flight = flight{++next_sequence_, now, now, wanted};
    send(account, row, next_sequence_, wanted, now, out);
  } else if (row.settled > row.reported &&
             (interval_passed || (remaining == 0 && now - row.last_sent >= report_interval))) {
    // A report needs no acknowledgement, because the settled count is cumulative.
    send(account, row, ++next_sequence_, 0, now, out);
    row.report_repeats = remaining == 0 ? 1 : 0;
  } else if (row.report_repeats > 0 && interval_passed) {
    // Repeated, because a lost report would leave its tokens outstanding until they expire.
    --row.report_repeats;
    send(account, row, ++next_sequence_, 0, now, out);
  }
}

std::vector<wire::outgoing> node_buckets::tick(time_point now) {
  std::vector<wire::outgoing> out;
  if (!has_coordinator_) {
    return out;
  }
  for (auto& [name, row] : buckets_) {
    refresh(name, row, now, out);
  }
  return out;
}

void node_buckets::receive(time_point now, const wire::incoming& from) {
  const auto* grant = std::get_if<wire::token_grant>(&from.body);
  if (grant == nullptr || (has_coordinator_ && grant->held < held_)) {
    return;
  }
  const auto found = buckets_.find(grant->account);
  bucket* row = found == buckets_.end() ? nullptr : &found->second;
  const bool answers =
      row != nullptr && row->in_flight && row->in_flight->sequence == grant->sequence;
  if (!has_coordinator_ || grant->held > held_) {
    // The allocator of the new term counts this grant under the request's stream, so that stream
    // is kept.
    adopt(from.from, grant->held, answers ? row : nullptr);
  }
  if (!answers) {
    return;
  }
  const auto ttl = std::min(options_.grant_ttl, milliseconds{grant->ttl_ms});
  const lot added{grant->tokens, row->in_flight->first_sent + ttl, row->stream};
  row->in_flight.reset();
  row->waiting = 0;
  row->denials = grant->tokens == 0 ? row->denials + 1 : 0;
  if (added.expires <= now) {
    settle(*row, added, added.tokens);
  } else if (added.tokens > 0) {
    row->lots.push_back(added);
  }
}

milliseconds node_buckets::retry_after(time_point now, const std::string& account) const {
  constexpr double longest_ms = 60'000;
  const auto found = buckets_.find(account);
  if (found == buckets_.end() || found->second.fleet.rate <= 0) {
    return milliseconds{static_cast<std::int64_t>(longest_ms)};
  }
  if (held(now, account) > 0) {
    return milliseconds{0};
  }
  const bucket& row = found->second;
  const double wait_ms = 1'000.0 * (row.waiting + 1) / row.fleet.rate;
  return milliseconds{static_cast<std::int64_t>(std::clamp(std::ceil(wait_ms), 1.0, longest_ms))};
}

std::uint32_t node_buckets::held(time_point now, const std::string& account) const {
  const auto found = buckets_.find(account);
  std::uint32_t result = 0;
  if (found != buckets_.end()) {
    for (const lot& it : found->second.lots) {
      result += it.expires > now ? it.tokens : 0;
    }
  }
  return result;
}

} // namespace damaskledge::shares
