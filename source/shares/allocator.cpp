#include <algorithm>
#include <cmath>

#include "shares/shares.h"

namespace damaskledge::shares {
namespace {

/// Tolerance in tokens for rounding errors in sums of doubles; far below a whole token.
constexpr double rounding = 1e-6;
/// A holder without tokens and without a waiting request is removed after this time.
constexpr seconds holder_idle{10};
/// Minimum time between transfer requests for one account while donors grant tokens.
constexpr milliseconds transfer_interval{10};
/// Time after which an unanswered transfer request no longer delays the next one.
constexpr milliseconds transfer_retry{15};
/// Longest pause between transfer requests while donors have no tokens. Bounds the number of
/// messages for an account that stays above its rate, yet is short enough to follow demand that
/// moves between data centres.
constexpr milliseconds transfer_backoff_limit{160};
/// Largest fraction of the data centre's burst that is reserved for its own nodes.
constexpr double reserve_fraction = 0.25;
/// Sequence numbers further apart than this belong to different terms of a coordinator, because
/// each term starts at a different hash value.
constexpr std::uint64_t sequence_window = std::uint64_t{1} << 32U;

double seconds_of(duration value) {
  return std::chrono::duration<double>(value).count();
}

std::uint32_t whole(double tokens) {
  constexpr double largest = 1e9;
  return static_cast<std::uint32_t>(std::clamp(std::floor(tokens + rounding), 0.0, largest));
}

constexpr double millitokens_per_token = 1'000;

double tokens_of(std::uint64_t millitokens) {
  return static_cast<double>(millitokens) / millitokens_per_token;
}

std::uint32_t whole_millitokens(double tokens) {
  constexpr double largest = 4e9;
  return static_cast<std::uint32_t>(
      std::clamp(std::floor(tokens * millitokens_per_token + rounding), 0.0, largest));
}

} // namespace

allocator::allocator(settings options, std::string data_centre)
    : options_(options), data_centre_(std::move(data_centre)) {}

void allocator::start_term(time_point now, term held, bool previous_settled) {
  active_ = true;
  held_ = held;
  started_ = now;
  previous_settled_ = previous_settled;
  // A grant for a request of an earlier term must not match a request of this one, so each term
  // starts its sequence numbers at a hash of the data centre and the term.
  next_sequence_ =
      hash64(data_centre_ + "/" + std::to_string(held.epoch) + "/" + std::to_string(held.rank)) >>
      1U;
  for (auto& [name, row] : accounts_) {
    reset(row, now);
  }
}

void allocator::end_term() {
  active_ = false;
  for (auto& [name, row] : accounts_) {
    reset(row, started_);
  }
}

void allocator::reset(account_row& row, time_point now) const {
  const limit current = row.current;
  row = account_row{};
  row.current = current;
  row.highest = current;
  row.accrued_at = now;
  row.use_at = now;
}

void allocator::set_limits(time_point now, const std::map<std::string, limit>& limits) {
  for (auto& [name, row] : accounts_) {
    if (active_) {
      advance(row, now);
    }
    // A removed account is kept with a limit of zero until its tokens have expired. If it is added
    // again before that, the old tokens still count against its burst.
    const auto it = limits.find(name);
    row.current = it == limits.end() ? limit{} : it->second;
    row.highest.rate = std::max(row.highest.rate, row.current.rate);
    row.highest.burst = std::max(row.highest.burst, row.current.burst);
    row.available = std::clamp(row.available, 0.0, std::max(0.0, room(row, now) + row.available));
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

/// Upper bound of the tokens of previous terms that may still be spent.
double allocator::predecessor(const account_row& row, time_point now) const {
  if (!active_ || now >= started_ + options_.grant_ttl + options_.clock_margin) {
    return 0;
  }
  // The previous coordinator may have transferred tokens to another data centre just before its
  // term ended. If it had not settled, unexpired grants of two earlier terms may exist, which
  // together can reach the whole burst.
  if (!previous_settled_ || now < started_ + options_.transfer_ttl + options_.clock_margin) {
    return row.highest.burst;
  }
  return ceiling(row.highest);
}

/// Tokens that may be added without exceeding the burst. Negative after a limit was lowered, until
/// enough tokens have been settled or have expired.
double allocator::room(const account_row& row, time_point now) const {
  return row.current.burst - row.available - static_cast<double>(row.outstanding) -
         tokens_of(row.given_millitokens) - predecessor(row, now);
}

/// Tokens that the data centre's own nodes are expected to request within `transfer_ttl`. They
/// are kept available so that requests do not wait for another data centre. Limited to a fraction
/// of the burst, because each transfer uses up that many tokens of the donor's burst until it is
/// confirmed or expires.
double allocator::reserve(const account_row& row) const {
  return std::min(row.use * seconds_of(options_.transfer_ttl),
                  row.current.burst * reserve_fraction);
}

/// Adds the tokens accrued since the last call. Must run before counts are lowered: time that
/// passed with a full bucket must not be credited to headroom that appears only now.
void allocator::accrue(account_row& row, time_point now) const {
  if (now <= row.accrued_at) {
    return;
  }
  const double gain = row.current.rate * seconds_of(now - row.accrued_at);
  row.available += std::min(gain, std::max(0.0, room(row, row.accrued_at)));
  row.accrued_at = now;
}

void allocator::release(account_row& row, time_point now) {
  while (!row.given.empty() && row.given.front().ends <= now) {
    row.given_millitokens -= row.given.front().millitokens;
    row.given.pop_front();
  }
  if (row.next_end > now) {
    return;
  }
  row.next_end = time_point::max();
  row.outstanding = 0;
  for (auto& [key, who] : row.holders) {
    while (!who.lots.empty() && who.lots.front().ends <= now) {
      who.outstanding -= who.lots.front().tokens;
      who.written_off += who.lots.front().tokens;
      who.lots.pop_front();
    }
    if (!who.lots.empty()) {
      row.next_end = std::min(row.next_end, who.lots.front().ends);
    }
    row.outstanding += who.outstanding;
  }
}

void allocator::advance(account_row& row, time_point now) const {
  accrue(row, now);
  release(row, now);
}

void allocator::settle(account_row& row, holder& who, std::uint64_t settled_total) {
  if (settled_total <= who.settled) {
    return;
  }
  std::uint64_t left = settled_total - who.settled;
  who.settled = settled_total;
  // The node also reports tokens that have expired here; they must not be subtracted twice.
  const std::uint64_t known = std::min(left, who.written_off);
  who.written_off -= known;
  left -= known;
  while (left > 0 && !who.lots.empty()) {
    lot& first = who.lots.front();
    const auto part = static_cast<std::uint32_t>(std::min<std::uint64_t>(left, first.tokens));
    first.tokens -= part;
    who.outstanding -= part;
    row.outstanding -= part;
    left -= part;
    if (first.tokens == 0) {
      who.lots.pop_front();
    }
  }
}

/// A holder gets at most half of the available tokens, and may have at most half of the part of
/// the ceiling that other holders leave free, so that a busy node does not starve the rest of the
/// data centre. Both limits are at least one token.
std::uint32_t allocator::grantable(const account_row& row, const holder& who,
                                   std::uint32_t wanted) const {
  const auto outstanding = static_cast<double>(row.outstanding);
  const auto own = static_cast<double>(who.outstanding);
  const double top = ceiling(row.current);
  const std::uint32_t free = std::min(whole(row.available), whole(top - outstanding));
  const double share = std::max(1.0, std::ceil((top - outstanding + own) / 2)) - own;
  const double half = std::max(1.0, std::ceil(row.available / 2));
  return std::min({wanted, free, whole(share), whole(half)});
}

/// Checks the invariant before `tokens` are taken from the available ones, with sums recomputed
/// from the lots. Reports a violation and returns false if it does not hold.
bool allocator::may_spend(const std::string& account, const account_row& row, double tokens,
                          time_point now, std::string_view decision) const {
  std::uint64_t outstanding = 0;
  for (const auto& [key, who] : row.holders) {
    for (const lot& it : who.lots) {
      outstanding += it.tokens;
    }
  }
  std::uint64_t given = 0;
  for (const given_lot& it : row.given) {
    given += it.millitokens;
  }
  const double total =
      row.available + static_cast<double>(outstanding) + tokens_of(given) + predecessor(row, now);
  if (active_ && tokens <= row.available + rounding && total <= row.current.burst + rounding) {
    return true;
  }
  report_violation("share-sum",
                   "account " + account + " " + std::string(decision) + " " +
                       std::to_string(tokens) + ": available " + std::to_string(row.available) +
                       ", outstanding " + std::to_string(outstanding) + ", given " +
                       std::to_string(tokens_of(given)) + ", total " + std::to_string(total) +
                       ", burst " + std::to_string(row.current.burst));
  return false;
}

void allocator::answer(const std::string& account, account_row& row, holder& who,
                       std::uint32_t tokens, time_point now,
                       std::vector<wire::outgoing>& out) const {
  if (tokens > 0 && !may_spend(account, row, tokens, now, "grant")) {
    tokens = 0;
  }
  if (tokens > 0) {
    const time_point ends = now + options_.grant_ttl + options_.clock_margin;
    row.available = std::max(0.0, row.available - tokens);
    row.outstanding += tokens;
    row.next_end = std::min(row.next_end, ends);
    who.outstanding += tokens;
    who.lots.push_back({tokens, ends});
  }
  who.waiting = 0;
  who.answered = tokens;
  out.push_back({who.reply_to, wire::transport::datagram,
                 wire::token_grant{account, who.sequence, held_, tokens,
                                   static_cast<std::uint32_t>(options_.grant_ttl.count())}});
}

void allocator::serve(const std::string& account, account_row& row, time_point now,
                      std::vector<wire::outgoing>& out) const {
  for (std::size_t left = row.queue.size(); left > 0; --left) {
    const holder_key key = std::move(row.queue.front());
    row.queue.pop_front();
    const auto it = row.holders.find(key);
    if (it == row.holders.end() || it->second.waiting == 0) {
      continue;
    }
    holder& who = it->second;
    const auto share = static_cast<std::uint32_t>(whole(row.available) / left);
    const std::uint32_t tokens =
        grantable(row, who, std::min(who.waiting, std::max<std::uint32_t>(1, share)));
    if (tokens > 0 || now - who.waiting_since >= options_.request_hold) {
      answer(account, row, who, tokens, now, out);
    } else {
      row.queue.push_back(key);
    }
  }
}

void allocator::ask_donors(const std::string& account, account_row& row, time_point now,
                           std::vector<wire::outgoing>& out) {
  std::erase_if(row.transfers,
                [&](const auto& it) { return now - it.second.sent >= options_.transfer_ttl; });
  if (donors_.empty() || now < row.next_transfer) {
    return;
  }
  double unmet = 0;
  for (const holder_key& key : row.queue) {
    const auto it = row.holders.find(key);
    unmet += it == row.holders.end() ? 0 : it->second.waiting;
  }
  const double kept = reserve(row);
  if (unmet == 0 && (row.available >= kept || !row.transfers.empty())) {
    return;
  }
  // Callers wait for less than `transfer_ttl`, so a lost transfer must not delay the next one.
  const bool asked_just_now =
      std::any_of(row.transfers.begin(), row.transfers.end(),
                  [&](const auto& it) { return now - it.second.sent < transfer_retry; });
  if (asked_just_now) {
    return;
  }
  const double need = std::min(unmet + 2 * kept - row.available, room(row, now));
  if (need <= 0) {
    return;
  }
  // Rounded up, so that the donors' parts add up to at least the need.
  const std::uint32_t wanted =
      whole_millitokens(need / static_cast<double>(donors_.size()) + 1 / millitokens_per_token);
  for (const donor& it : donors_) {
    const std::uint64_t sequence = ++next_sequence_;
    row.transfers[sequence] = {it.data_centre, now, wanted};
    out.push_back({it.address, wire::transport::datagram,
                   wire::transfer_request{account, data_centre_, sequence, wanted}});
  }
  row.next_transfer = now + std::max(transfer_interval, row.transfer_backoff);
  // Reset when a donor grants enough tokens.
  row.transfer_backoff =
      std::min(transfer_backoff_limit, std::max(transfer_interval, 2 * row.transfer_backoff));
}

std::vector<wire::outgoing> allocator::tick(time_point now) {
  std::vector<wire::outgoing> out;
  if (!active_) {
    return out;
  }
  for (auto& [name, row] : accounts_) {
    advance(row, now);
    row.use *= std::exp(-seconds_of(now - row.use_at) / seconds_of(options_.use_window));
    row.use_at = now;
    if (!row.queue.empty()) {
      serve(name, row, now, out);
    }
    ask_donors(name, row, now, out);
    std::erase_if(row.holders, [&](const auto& it) {
      return it.second.lots.empty() && it.second.waiting == 0 &&
             now - it.second.seen >= holder_idle;
    });
  }
  return out;
}

std::vector<wire::outgoing> allocator::receive(time_point now, const wire::incoming& from) {
  std::vector<wire::outgoing> out;
  if (!active_) {
    return out;
  }
  if (const auto* request = std::get_if<wire::token_request>(&from.body)) {
    handle(now, from, *request, out);
  } else if (const auto* wanted = std::get_if<wire::transfer_request>(&from.body)) {
    handle(now, from, *wanted, out);
  } else if (const auto* grant = std::get_if<wire::transfer_grant>(&from.body)) {
    handle(now, from, *grant, out);
  } else if (const auto* receipt = std::get_if<wire::transfer_receipt>(&from.body)) {
    handle(now, *receipt);
  }
  return out;
}

void allocator::handle(time_point now, const wire::incoming& from,
                       const wire::token_request& request, std::vector<wire::outgoing>& out) {
  const auto found = accounts_.find(request.account);
  // A node that has seen a higher term would ignore a grant of this one.
  if (found == accounts_.end() || request.held > held_) {
    return;
  }
  account_row& row = found->second;
  advance(row, now);
  const holder_key key{from.sender, request.process};
  const auto [it, added] = row.holders.try_emplace(key);
  holder& who = it->second;
  const bool counts = request.held == held_;
  if (added) {
    // This holder has no outstanding tokens, so the tokens it has settled so far need no handling.
    who.settled = counts ? request.settled_total : 0;
  } else if (request.sequence < who.sequence) {
    return;
  }
  who.seen = now;
  who.reply_to = from.from;
  if (counts) {
    settle(row, who, request.settled_total);
  }
  const bool repeated = !added && request.sequence == who.sequence;
  if (repeated && request.wanted > 0 && who.waiting == 0) {
    out.push_back({who.reply_to, wire::transport::datagram,
                   wire::token_grant{request.account, who.sequence, held_, who.answered,
                                     static_cast<std::uint32_t>(options_.grant_ttl.count())}});
  } else if (!repeated) {
    who.sequence = request.sequence;
    const bool queued = who.waiting > 0;
    who.waiting = request.wanted;
    who.waiting_since = now;
    row.use += request.wanted / seconds_of(options_.use_window);
    if (request.wanted > 0 && !queued) {
      row.queue.push_back(key);
    }
  }
  serve(request.account, row, now, out);
  ask_donors(request.account, row, now, out);
}

void allocator::handle(time_point now, const wire::incoming& from,
                       const wire::transfer_request& request, std::vector<wire::outgoing>& out) {
  const auto found = accounts_.find(request.account);
  if (found == accounts_.end() || request.data_centre == data_centre_) {
    return;
  }
  account_row& row = found->second;
  advance(row, now);
  const auto [seen, added] = row.transfer_seen.try_emplace(request.data_centre, request.sequence);
  if (!added) {
    // The requester accepts one answer only; the tokens of a second one would be lost.
    if (request.sequence <= seen->second && seen->second - request.sequence < sequence_window) {
      return;
    }
    seen->second = request.sequence;
  }
  std::uint32_t given = 0;
  if (row.queue.empty()) {
    // Half of the available tokens, but at least one, as far as the reserve permits.
    const double half = std::max(1.0, row.available / 2);
    given = std::min(request.wanted_millitokens,
                     whole_millitokens(std::min(row.available - reserve(row), half)));
  }
  if (given > 0 && !may_spend(request.account, row, tokens_of(given), now, "transfer")) {
    given = 0;
  }
  if (given > 0) {
    row.available = std::max(0.0, row.available - tokens_of(given));
    row.given.push_back({request.data_centre, request.sequence, given,
                         now + options_.transfer_ttl + options_.clock_margin});
    row.given_millitokens += given;
  }
  out.push_back({from.from, wire::transport::datagram,
                 wire::transfer_grant{request.account, data_centre_, request.sequence, given}});
}

void allocator::handle(time_point now, const wire::incoming& from,
                       const wire::transfer_grant& grant, std::vector<wire::outgoing>& out) {
  const auto found = accounts_.find(grant.account);
  if (found == accounts_.end()) {
    return;
  }
  account_row& row = found->second;
  advance(row, now);
  const auto it = row.transfers.find(grant.sequence);
  if (it == row.transfers.end() || it->second.data_centre != grant.data_centre) {
    return;
  }
  const transfer asked = it->second;
  row.transfers.erase(it);
  if (now - asked.sent >= options_.transfer_ttl || grant.millitokens == 0) {
    return;
  }
  // A grant below one token and below half of the wanted amount does not reset the backoff: a
  // donor accrues that little during every pause, even for an account above its rate.
  if (grant.millitokens >= millitokens_per_token ||
      2 * std::uint64_t{grant.millitokens} >= asked.wanted_millitokens) {
    row.transfer_backoff = milliseconds{0};
    row.next_transfer = std::min(row.next_transfer, asked.sent + transfer_interval);
  }
  const double tokens = tokens_of(std::min(grant.millitokens, asked.wanted_millitokens));
  row.available += std::min(tokens, std::max(0.0, room(row, now)));
  out.push_back({from.from, wire::transport::datagram,
                 wire::transfer_receipt{grant.account, data_centre_, grant.sequence}});
  serve(grant.account, row, now, out);
  ask_donors(grant.account, row, now, out);
}

void allocator::handle(time_point now, const wire::transfer_receipt& receipt) {
  const auto found = accounts_.find(receipt.account);
  if (found == accounts_.end()) {
    return;
  }
  account_row& row = found->second;
  advance(row, now);
  const auto it = std::find_if(row.given.begin(), row.given.end(), [&](const given_lot& lot) {
    return lot.sequence == receipt.sequence && lot.data_centre == receipt.data_centre;
  });
  if (it != row.given.end()) {
    row.given_millitokens -= it->millitokens;
    row.given.erase(it);
  }
}

double allocator::exposure(const std::string& account, time_point now) const {
  const auto found = accounts_.find(account);
  if (found == accounts_.end() || !active_) {
    return 0;
  }
  const account_row& row = found->second;
  return row.available + static_cast<double>(row.outstanding) + tokens_of(row.given_millitokens) +
         predecessor(row, now);
}

} // namespace damaskledge::shares
