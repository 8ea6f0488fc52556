#include <algorithm>
#include <cmath>

#include "shares/shares.h"

namespace damaskledge::shares {
namespace {

/// Tolerance in tokens for rounding errors in sums of doubles; far below a whole token.
constexpr double rounding_tolerance = 1e-6;
/// A holder without tokens and without a waiting request is removed after this time.
constexpr seconds idle_holder_timeout{10};
/// Minimum time between transfer requests for one account while donors grant tokens.
constexpr milliseconds transfer_interval{10};
/// Time after which an unanswered transfer request no longer delays the next one.
constexpr milliseconds transfer_retry_interval{15};
/// Longest pause between transfer requests while donors have no tokens. Bounds the number of
/// messages for an account that stays above its rate, yet is short enough to follow demand that
/// moves between data centres.
constexpr milliseconds max_transfer_backoff{160};
/// Largest fraction of the data centre's burst that is reserved for its own nodes.
constexpr double reserve_fraction = 0.25;
/// Sequence numbers further apart than this belong to different terms of a coordinator, because
/// each term starts at a different hash value.
constexpr std::uint64_t sequence_window = std::uint64_t{1} << 32U;

double seconds_of(duration value) {
  return std::chrono::duration<double>(value).count();
}

std::uint32_t whole_tokens(double tokens) {
  constexpr double largest = 1e9;
  return static_cast<std::uint32_t>(
      std::clamp(std::floor(tokens + rounding_tolerance), 0.0, largest));
}

constexpr double millitokens_per_token = 1'000;

double tokens_of(std::uint64_t millitokens) {
  return static_cast<double>(millitokens) / millitokens_per_token;
}

std::uint32_t whole_millitokens(double tokens) {
  constexpr double largest = 4e9;
  return static_cast<std::uint32_t>(
      std::clamp(std::floor(tokens * millitokens_per_token + rounding_tolerance), 0.0, largest));
}

} // namespace

allocator::allocator(settings options, std::string data_centre)
    : options_(options), data_centre_(std::move(data_centre)) {}

void allocator::start_term(time_point now, term new_term, bool previous_settled) {
  active_ = true;
  term_ = new_term;
  term_started_at_ = now;
  previous_settled_ = previous_settled;
  // A grant for a request of an earlier term must not match a request of this one, so each term
  // starts its sequence numbers at a hash of the data centre and the term.
  next_sequence_ = hash64(data_centre_ + "/" + std::to_string(new_term.epoch) + "/" +
                          std::to_string(new_term.rank)) >>
                   1U;
  for (auto& [name, state] : accounts_) {
    reset(state, now);
  }
}

void allocator::end_term() {
  active_ = false;
  for (auto& [name, state] : accounts_) {
    reset(state, term_started_at_);
  }
}

void allocator::reset(account_state& state, time_point now) const {
  const limit current = state.current;
  state = account_state{};
  state.current = current;
  state.highest = current;
  state.accrued_at = now;
  state.demand_updated_at = now;
}

void allocator::set_limits(time_point now, const std::map<std::string, limit>& limits) {
  for (auto& [name, state] : accounts_) {
    if (active_) {
      advance(state, now);
    }
    // A removed account is kept with a limit of zero until its tokens have expired. If it is added
    // again before that, the old tokens still count against its burst.
    const auto it = limits.find(name);
    state.current = it == limits.end() ? limit{} : it->second;
    state.highest.rate = std::max(state.highest.rate, state.current.rate);
    state.highest.burst = std::max(state.highest.burst, state.current.burst);
    state.available =
        std::clamp(state.available, 0.0, std::max(0.0, headroom(state, now) + state.available));
  }
  for (const auto& [name, value] : limits) {
    const auto [it, added] = accounts_.try_emplace(name);
    if (added) {
      it->second.current = value;
      reset(it->second, now);
    }
  }
  std::erase_if(accounts_, [&](const auto& it) {
    return !limits.contains(it.first) && (!active_ || exposure(it.first, now) <= 0);
  });
}

void allocator::set_donors(std::vector<donor> donors) {
  donors_ = std::move(donors);
}

double allocator::ceiling(const limit& value) const {
  // Grants are whole tokens, so a ceiling below one would make a small burst unusable.
  return std::max(value.burst * options_.ceiling_fraction, std::min(1.0, value.burst));
}

/// Time from which the tokens of previous terms no longer fill the whole burst.
time_point allocator::accrual_start() const {
  // The previous coordinator may have transferred tokens to another data centre just before its
  // term ended. If it had not settled, unexpired grants of two earlier terms may exist, which
  // together can reach the whole burst.
  const milliseconds longest_ttl = previous_settled_ ? options_.transfer_ttl : options_.grant_ttl;
  return term_started_at_ + longest_ttl + options_.clock_margin;
}

bool allocator::accrues(time_point now) const {
  return active_ && now >= accrual_start();
}

/// Upper bound of the tokens of previous terms that may still be spent.
double allocator::previous_term_tokens(const account_state& state, time_point now) const {
  if (!active_ || now >= term_started_at_ + options_.grant_ttl + options_.clock_margin) {
    return 0;
  }
  return now < accrual_start() ? state.highest.burst : ceiling(state.highest);
}

/// Tokens that may be added without exceeding the burst. Negative after a limit was lowered, until
/// enough tokens have been settled or have expired.
double allocator::headroom(const account_state& state, time_point now) const {
  return state.current.burst - state.available - static_cast<double>(state.outstanding) -
         tokens_of(state.transferred_millitokens) - previous_term_tokens(state, now);
}

/// Tokens that the data centre's own nodes are expected to request within `transfer_ttl`. They
/// are kept available so that requests do not wait for another data centre. Limited to a fraction
/// of the burst, because each transfer uses up that many tokens of the donor's burst until it is
/// confirmed or expires.
double allocator::local_reserve(const account_state& state) const {
  return std::min(state.demand_rate * seconds_of(options_.transfer_ttl),
                  state.current.burst * reserve_fraction);
}

/// Adds the tokens accrued since the last call. Must run before counts are lowered: time that
/// passed with a full bucket must not be credited to headroom that appears only now.
void allocator::accrue(account_state& state, time_point now) const {
  if (now <= state.accrued_at) {
    return;
  }
  const double gain = state.current.rate * seconds_of(now - state.accrued_at);
  state.available += std::min(gain, std::max(0.0, headroom(state, state.accrued_at)));
  state.accrued_at = now;
}

void allocator::release_expired(account_state& state, time_point now) {
  while (!state.transferred_lots.empty() && state.transferred_lots.front().release_at <= now) {
    state.transferred_millitokens -= state.transferred_lots.front().millitokens;
    state.transferred_lots.pop_front();
  }
  if (state.next_release > now) {
    return;
  }
  state.next_release = time_point::max();
  state.outstanding = 0;
  for (auto& [key, requester] : state.holders) {
    while (!requester.lots.empty() && requester.lots.front().release_at <= now) {
      requester.outstanding -= requester.lots.front().tokens;
      requester.expired_unreported += requester.lots.front().tokens;
      requester.lots.pop_front();
    }
    if (!requester.lots.empty()) {
      state.next_release = std::min(state.next_release, requester.lots.front().release_at);
    }
    state.outstanding += requester.outstanding;
  }
}

void allocator::advance(account_state& state, time_point now) const {
  accrue(state, now);
  release_expired(state, now);
}

void allocator::settle(account_state& state, holder& requester, std::uint64_t settled_total) {
  if (settled_total <= requester.settled) {
    return;
  }
  std::uint64_t left = settled_total - requester.settled;
  requester.settled = settled_total;
  // The node also reports tokens that have expired here; they must not be subtracted twice.
  const std::uint64_t known = std::min(left, requester.expired_unreported);
  requester.expired_unreported -= known;
  left -= known;
  while (left > 0 && !requester.lots.empty()) {
    lot& first = requester.lots.front();
    const auto part = static_cast<std::uint32_t>(std::min<std::uint64_t>(left, first.tokens));
    first.tokens -= part;
    requester.outstanding -= part;
    state.outstanding -= part;
    left -= part;
    if (first.tokens == 0) {
      requester.lots.pop_front();
    }
  }
}

/// A holder gets at most half of the available tokens, and may have at most half of the part of
/// the ceiling that other holders leave free, so that a busy node does not starve the rest of the
/// data centre. Both limits are at least one token.
std::uint32_t allocator::grantable(const account_state& state, const holder& requester,
                                   std::uint32_t wanted) const {
  const auto outstanding = static_cast<double>(state.outstanding);
  const auto own = static_cast<double>(requester.outstanding);
  const double outstanding_limit = ceiling(state.current);
  const std::uint32_t free =
      std::min(whole_tokens(state.available), whole_tokens(outstanding_limit - outstanding));
  const double share = std::max(1.0, std::ceil((outstanding_limit - outstanding + own) / 2)) - own;
  const double half = std::max(1.0, std::ceil(state.available / 2));
  return std::min({wanted, free, whole_tokens(share), whole_tokens(half)});
}

/// Checks the invariant before `tokens` are taken from the available ones, with sums recomputed
/// from the lots. Reports a violation and returns false if it does not hold.
bool allocator::may_spend(const std::string& account, const account_state& state, double tokens,
                          time_point now, std::string_view decision) const {
  std::uint64_t outstanding = 0;
  for (const auto& [key, requester] : state.holders) {
    for (const lot& it : requester.lots) {
      outstanding += it.tokens;
    }
  }
  std::uint64_t given = 0;
  for (const transferred_lot& it : state.transferred_lots) {
    given += it.millitokens;
  }
  const double total = state.available + static_cast<double>(outstanding) + tokens_of(given) +
                       previous_term_tokens(state, now);
  if (active_ && tokens <= state.available + rounding_tolerance &&
      total <= state.current.burst + rounding_tolerance) {
    return true;
  }
  report_violation("share-sum",
                   "account " + account + " " + std::string(decision) + " " +
                       std::to_string(tokens) + ": available " + std::to_string(state.available) +
                       ", outstanding " + std::to_string(outstanding) + ", given " +
                       std::to_string(tokens_of(given)) + ", total " + std::to_string(total) +
                       ", burst " + std::to_string(state.current.burst));
  return false;
}

void allocator::answer(const std::string& account, account_state& state, holder& requester,
                       std::uint32_t tokens, time_point now,
                       std::vector<wire::outgoing>& out) const {
  if (tokens > 0 && !may_spend(account, state, tokens, now, "grant")) {
    tokens = 0;
  }
  if (tokens > 0) {
    const time_point release_at = now + options_.grant_ttl + options_.clock_margin;
    state.available = std::max(0.0, state.available - tokens);
    state.outstanding += tokens;
    state.next_release = std::min(state.next_release, release_at);
    requester.outstanding += tokens;
    requester.lots.push_back({tokens, release_at});
  }
  requester.waiting = 0;
  requester.answered_tokens = tokens;
  out.push_back({requester.reply_to, wire::transport::datagram,
                 wire::token_grant{account, requester.sequence, term_, tokens,
                                   static_cast<std::uint32_t>(options_.grant_ttl.count())}});
}

void allocator::serve_waiting(const std::string& account, account_state& state, time_point now,
                              std::vector<wire::outgoing>& out) const {
  for (std::size_t left = state.queue.size(); left > 0; --left) {
    const holder_key key = std::move(state.queue.front());
    state.queue.pop_front();
    const auto it = state.holders.find(key);
    if (it == state.holders.end() || it->second.waiting == 0) {
      continue;
    }
    holder& requester = it->second;
    const auto share = static_cast<std::uint32_t>(whole_tokens(state.available) / left);
    const std::uint32_t tokens =
        grantable(state, requester, std::min(requester.waiting, std::max<std::uint32_t>(1, share)));
    if (tokens > 0 || now - requester.waiting_since >= options_.request_hold) {
      answer(account, state, requester, tokens, now, out);
    } else {
      state.queue.push_back(key);
    }
  }
}

void allocator::request_transfers(const std::string& account, account_state& state, time_point now,
                                  std::vector<wire::outgoing>& out) {
  std::erase_if(state.pending_transfers,
                [&](const auto& it) { return now - it.second.sent >= options_.transfer_ttl; });
  if (donors_.empty() || now < state.next_transfer) {
    return;
  }
  double unmet = 0;
  for (const holder_key& key : state.queue) {
    const auto it = state.holders.find(key);
    unmet += it == state.holders.end() ? 0 : it->second.waiting;
  }
  const double reserved = local_reserve(state);
  if (unmet == 0 && (state.available >= reserved || !state.pending_transfers.empty())) {
    return;
  }
  // Callers wait for less than `transfer_ttl`, so a lost transfer must not delay the next one.
  const bool asked_just_now =
      std::any_of(state.pending_transfers.begin(), state.pending_transfers.end(),
                  [&](const auto& it) { return now - it.second.sent < transfer_retry_interval; });
  if (asked_just_now) {
    return;
  }
  const double need = std::min(unmet + 2 * reserved - state.available, headroom(state, now));
  if (need <= 0) {
    return;
  }
  // Rounded up, so that the donors' parts add up to at least the need.
  const std::uint32_t wanted =
      whole_millitokens(need / static_cast<double>(donors_.size()) + 1 / millitokens_per_token);
  for (const donor& it : donors_) {
    const std::uint64_t sequence = ++next_sequence_;
    state.pending_transfers[sequence] = {it.data_centre, now, wanted};
    out.push_back({it.address, wire::transport::datagram,
                   wire::transfer_request{account, data_centre_, sequence, wanted}});
  }
  state.next_transfer = now + std::max(transfer_interval, state.transfer_backoff);
  // Reset when a donor grants enough tokens.
  state.transfer_backoff =
      std::min(max_transfer_backoff, std::max(transfer_interval, 2 * state.transfer_backoff));
}

std::vector<wire::outgoing> allocator::tick(time_point now) {
  std::vector<wire::outgoing> out;
  if (!active_) {
    return out;
  }
  for (auto& [name, state] : accounts_) {
    advance(state, now);
    state.demand_rate *=
        std::exp(-seconds_of(now - state.demand_updated_at) / seconds_of(options_.use_window));
    state.demand_updated_at = now;
    if (!state.queue.empty()) {
      serve_waiting(name, state, now, out);
    }
    request_transfers(name, state, now, out);
    std::erase_if(state.holders, [&](const auto& it) {
      return it.second.lots.empty() && it.second.waiting == 0 &&
             now - it.second.last_seen >= idle_holder_timeout;
    });
  }
  return out;
}

std::vector<wire::outgoing> allocator::receive(time_point now, const wire::incoming& message) {
  std::vector<wire::outgoing> out;
  if (!active_) {
    return out;
  }
  if (const auto* request = std::get_if<wire::token_request>(&message.body)) {
    handle(now, message, *request, out);
  } else if (const auto* wanted = std::get_if<wire::transfer_request>(&message.body)) {
    handle(now, message, *wanted, out);
  } else if (const auto* grant = std::get_if<wire::transfer_grant>(&message.body)) {
    handle(now, message, *grant, out);
  } else if (const auto* receipt = std::get_if<wire::transfer_receipt>(&message.body)) {
    handle(now, *receipt);
  }
  return out;
}

void allocator::handle(time_point now, const wire::incoming& message,
                       const wire::token_request& request, std::vector<wire::outgoing>& out) {
  const auto found = accounts_.find(request.account);
  // A node that has seen a higher term would ignore a grant of this one.
  if (found == accounts_.end() || request.held > term_) {
    return;
  }
  account_state& state = found->second;
  advance(state, now);
  const holder_key key{message.sender, request.process};
  const auto [it, added] = state.holders.try_emplace(key);
  holder& requester = it->second;
  const bool same_term = request.held == term_;
  if (added) {
    // This holder has no outstanding tokens, so the tokens it has settled so far need no handling.
    requester.settled = same_term ? request.settled_total : 0;
  } else if (request.sequence < requester.sequence) {
    return;
  }
  requester.last_seen = now;
  requester.reply_to = message.from;
  if (same_term) {
    settle(state, requester, request.settled_total);
  }
  const bool repeated = !added && request.sequence == requester.sequence;
  if (repeated && request.wanted > 0 && requester.waiting == 0) {
    out.push_back(
        {requester.reply_to, wire::transport::datagram,
         wire::token_grant{request.account, requester.sequence, term_, requester.answered_tokens,
                           static_cast<std::uint32_t>(options_.grant_ttl.count())}});
  } else if (!repeated) {
    requester.sequence = request.sequence;
    const bool queued = requester.waiting > 0;
    requester.waiting = request.wanted;
    requester.waiting_since = now;
    state.demand_rate += request.wanted / seconds_of(options_.use_window);
    if (request.wanted > 0 && !queued) {
      state.queue.push_back(key);
    }
  }
  serve_waiting(request.account, state, now, out);
  request_transfers(request.account, state, now, out);
}

void allocator::handle(time_point now, const wire::incoming& message,
                       const wire::transfer_request& request, std::vector<wire::outgoing>& out) {
  const auto found = accounts_.find(request.account);
  if (found == accounts_.end() || request.data_centre == data_centre_) {
    return;
  }
  account_state& state = found->second;
  advance(state, now);
  const auto [seen, added] =
      state.last_transfer_sequence.try_emplace(request.data_centre, request.sequence);
  if (!added) {
    // The requester accepts one answer only; the tokens of a second one would be lost.
    if (request.sequence <= seen->second && seen->second - request.sequence < sequence_window) {
      return;
    }
    seen->second = request.sequence;
  }
  std::uint32_t given = 0;
  if (state.queue.empty()) {
    // Half of the available tokens, but at least one, as far as the reserve permits. Less than one
    // token serves no request here, but may complete one elsewhere.
    const double half = std::max(1.0, state.available / 2);
    const double reserve = state.available < 1 ? 0 : local_reserve(state);
    given = std::min(request.wanted_millitokens,
                     whole_millitokens(std::min(state.available - reserve, half)));
  }
  if (given > 0 && !may_spend(request.account, state, tokens_of(given), now, "transfer")) {
    given = 0;
  }
  if (given > 0) {
    state.available = std::max(0.0, state.available - tokens_of(given));
    state.transferred_lots.push_back({request.data_centre, request.sequence, given,
                                      now + options_.transfer_ttl + options_.clock_margin});
    state.transferred_millitokens += given;
  }
  out.push_back({message.from, wire::transport::datagram,
                 wire::transfer_grant{request.account, data_centre_, request.sequence, given}});
}

void allocator::handle(time_point now, const wire::incoming& message,
                       const wire::transfer_grant& grant, std::vector<wire::outgoing>& out) {
  const auto found = accounts_.find(grant.account);
  if (found == accounts_.end()) {
    return;
  }
  account_state& state = found->second;
  advance(state, now);
  const auto it = state.pending_transfers.find(grant.sequence);
  if (it == state.pending_transfers.end() || it->second.data_centre != grant.data_centre) {
    return;
  }
  const pending_transfer asked = it->second;
  state.pending_transfers.erase(it);
  if (now - asked.sent >= options_.transfer_ttl || grant.millitokens == 0) {
    return;
  }
  // A grant below one token and below half of the wanted amount does not reset the backoff: a
  // donor accrues that little during every pause, even for an account above its rate.
  if (grant.millitokens >= millitokens_per_token ||
      2 * std::uint64_t{grant.millitokens} >= asked.wanted_millitokens) {
    state.transfer_backoff = milliseconds{0};
    state.next_transfer = std::min(state.next_transfer, asked.sent + transfer_interval);
  }
  const double tokens = tokens_of(std::min(grant.millitokens, asked.wanted_millitokens));
  state.available += std::min(tokens, std::max(0.0, headroom(state, now)));
  out.push_back({message.from, wire::transport::datagram,
                 wire::transfer_receipt{grant.account, data_centre_, grant.sequence}});
  serve_waiting(grant.account, state, now, out);
  request_transfers(grant.account, state, now, out);
}

void allocator::handle(time_point now, const wire::transfer_receipt& receipt) {
  const auto found = accounts_.find(receipt.account);
  if (found == accounts_.end()) {
    return;
  }
  account_state& state = found->second;
  advance(state, now);
  const auto it = std::find_if(state.transferred_lots.begin(), state.transferred_lots.end(),
                               [&](const transferred_lot& lot) {
                                 return lot.sequence == receipt.sequence &&
                                        lot.data_centre == receipt.data_centre;
                               });
  if (it != state.transferred_lots.end()) {
    state.transferred_millitokens -= it->millitokens;
    state.transferred_lots.erase(it);
  }
}

double allocator::exposure(const std::string& account, time_point now) const {
  const auto found = accounts_.find(account);
  if (found == accounts_.end() || !active_) {
    return 0;
  }
  const account_state& state = found->second;
  return state.available + static_cast<double>(state.outstanding) +
         tokens_of(state.transferred_millitokens) + previous_term_tokens(state, now);
}

} // namespace damaskledge::shares
