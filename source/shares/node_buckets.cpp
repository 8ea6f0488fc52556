#include <algorithm>
#include <cmath>

#include "shares/shares.h"

namespace damaskledge::shares {
namespace {

/// Minimum time between reports of settled tokens from a node without tokens.
constexpr milliseconds report_interval{10};
/// A node requests tokens before it runs out when it holds fewer than it uses in this time.
constexpr milliseconds prefetch_threshold{100};
/// Retransmission timeout of a request that callers wait for. One lost datagram costs a quarter of
/// `caller_wait`, and a second one still leaves time for an answer.
constexpr milliseconds urgent_request_timeout{10};
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

void node_buckets::settle(bucket& target, const lot& source, std::uint32_t tokens) {
  if (source.stream == target.stream) {
    target.settled += tokens;
  }
}

void node_buckets::expire(bucket& target, time_point now) {
  while (!target.lots.empty() && target.lots.front().expires <= now) {
    settle(target, target.lots.front(), target.lots.front().tokens);
    target.lots.pop_front();
  }
}

void node_buckets::start_stream(bucket& target) {
  target.stream = process_ + stream_count_;
  ++stream_count_;
  target.settled = 0;
  target.reported_settled = 0;
  target.in_flight.reset();
}

void node_buckets::start_coordinator_term(const endpoint& address, term new_term,
                                          const bucket* keep_stream) {
  coordinator_ = address;
  coordinator_term_ = new_term;
  has_coordinator_ = true;
  for (auto& [name, target] : buckets_) {
    target.lots.clear();
    target.consecutive_denials = 0;
    if (&target == keep_stream) {
      target.settled = 0;
      target.reported_settled = 0;
    } else {
      start_stream(target);
    }
  }
}

void node_buckets::set_coordinator(time_point /*now*/, const endpoint& address, term new_term) {
  if (!has_coordinator_ || new_term > coordinator_term_) {
    start_coordinator_term(address, new_term, nullptr);
  } else if (new_term == coordinator_term_) {
    coordinator_ = address;
  }
}

void node_buckets::set_accounts(const std::map<std::string, limit>& accounts) {
  std::erase_if(buckets_, [&](const auto& it) { return !accounts.contains(it.first); });
  for (const auto& [name, value] : accounts) {
    const auto [it, added] = buckets_.try_emplace(name);
    it->second.fleet_limit = value;
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
  bucket& target = found->second;
  expire(target, now);
  if (!target.lots.empty()) {
    lot& first = target.lots.front();
    --first.tokens;
    settle(target, first, 1);
    ++target.taken_since_update;
    target.last_taken = now;
    if (first.tokens == 0) {
      target.lots.pop_front();
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
  const double max_waiting = std::max(1.0, target.fleet_limit.rate * seconds_of(caller_wait));
  if (target.consecutive_denials > 0 && target.waiting >= max_waiting) {
    return take_result::refused;
  }
  ++target.waiting;
  return take_result::pending;
}

void node_buckets::send(const std::string& account, bucket& target, std::uint64_t sequence,
                        std::uint32_t wanted, time_point now,
                        std::vector<wire::outgoing>& out) const {
  target.last_sent = now;
  target.reported_settled = target.settled;
  out.push_back({coordinator_, wire::transport::datagram,
                 wire::token_request{account, sequence, target.stream, coordinator_term_,
                                     target.settled, wanted}});
}

void node_buckets::update(const std::string& account, bucket& target, time_point now,
                          std::vector<wire::outgoing>& out) {
  expire(target, now);
  const double window = seconds_of(options_.use_window);
  target.use_rate = target.use_rate * std::exp(-seconds_of(now - target.use_updated_at) / window) +
                    target.taken_since_update / window;
  target.use_updated_at = now;
  target.taken_since_update = 0;
  if (target.in_flight && now - target.in_flight->first_sent >= options_.grant_ttl) {
    start_stream(target);
  }
  if (target.in_flight) {
    // After an answer without tokens, the next answer is probably late because the allocator holds
    // the request until it has tokens, so it is not repeated early.
    const bool urgent =
        target.waiting > 0 && target.lots.empty() && target.consecutive_denials == 0;
    if (now - target.in_flight->last_sent >=
        (urgent ? std::min(urgent_request_timeout, options_.request_timeout)
                : options_.request_timeout)) {
      target.in_flight->last_sent = now;
      send(account, target, target.in_flight->sequence, target.in_flight->wanted, now, out);
    }
    return;
  }
  std::uint32_t remaining = 0;
  for (const lot& it : target.lots) {
    remaining += it.tokens;
  }
  // No prefetching after demand has stopped at this node: the tokens would expire unused.
  const double horizon =
      now - target.last_taken < prefetch_threshold ? seconds_of(options_.request_horizon) : 0;
  const auto prefetch = static_cast<std::uint32_t>(
      std::min(target.use_rate * horizon, target.fleet_limit.burst * options_.prefetch_fraction));
  const bool interval_passed = now - target.last_sent >= options_.request_interval;
  const bool early = prefetch > remaining && interval_passed &&
                     remaining < std::max(1.0, target.use_rate * seconds_of(prefetch_threshold));
  // Requests for an account above its rate are limited to one per interval. An account within its
  // rate is rarely denied twice in succession.
  const bool may_request = target.consecutive_denials < 2 || interval_passed;
  const bool empty = remaining == 0 && (target.waiting > 0 || prefetch > 0);
  if ((empty && may_request) || early) {
    const std::uint32_t wanted = target.waiting + prefetch - std::min(prefetch, remaining);
    target.report_repeats = 0;
    target.in_flight = pending_request{++next_sequence_, now, now, wanted};
    send(account, target, next_sequence_, wanted, now, out);
  } else if (target.settled > target.reported_settled &&
             (interval_passed || (remaining == 0 && now - target.last_sent >= report_interval))) {
    // A report needs no acknowledgement, because the settled count is cumulative.
    send(account, target, ++next_sequence_, 0, now, out);
    target.report_repeats = remaining == 0 ? 1 : 0;
  } else if (target.report_repeats > 0 && interval_passed) {
    // Repeated, because a lost report would leave its tokens outstanding until they expire.
    --target.report_repeats;
    send(account, target, ++next_sequence_, 0, now, out);
  }
}

std::vector<wire::outgoing> node_buckets::tick(time_point now) {
  std::vector<wire::outgoing> out;
  if (!has_coordinator_) {
    return out;
  }
  for (auto& [name, target] : buckets_) {
    update(name, target, now, out);
  }
  return out;
}

void node_buckets::receive(time_point now, const wire::incoming& message) {
  const auto* grant = std::get_if<wire::token_grant>(&message.body);
  if (grant == nullptr || (has_coordinator_ && grant->held < coordinator_term_)) {
    return;
  }
  const auto found = buckets_.find(grant->account);
  bucket* target = found == buckets_.end() ? nullptr : &found->second;
  const bool answers_request =
      target != nullptr && target->in_flight && target->in_flight->sequence == grant->sequence;
  if (!has_coordinator_ || grant->held > coordinator_term_) {
    // The allocator of the new term counts this grant under the request's stream, so that stream
    // is kept.
    start_coordinator_term(message.from, grant->held, answers_request ? target : nullptr);
  }
  if (!answers_request) {
    return;
  }
  const auto ttl = std::min(options_.grant_ttl, milliseconds{grant->ttl_ms});
  const lot added{grant->tokens, target->in_flight->first_sent + ttl, target->stream};
  target->in_flight.reset();
  target->waiting = 0;
  target->consecutive_denials = grant->tokens == 0 ? target->consecutive_denials + 1 : 0;
  if (added.expires <= now) {
    settle(*target, added, added.tokens);
  } else if (added.tokens > 0) {
    target->lots.push_back(added);
  }
}

milliseconds node_buckets::retry_after(time_point now, const std::string& account) const {
  constexpr double longest_ms = 60'000;
  const auto found = buckets_.find(account);
  if (found == buckets_.end() || found->second.fleet_limit.rate <= 0) {
    return milliseconds{static_cast<std::int64_t>(longest_ms)};
  }
  if (held(now, account) > 0) {
    return milliseconds{0};
  }
  const bucket& target = found->second;
  const double wait_ms = 1'000.0 * (target.waiting + 1) / target.fleet_limit.rate;
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
