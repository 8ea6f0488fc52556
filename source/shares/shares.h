/// @file
/// Distribution of an account's rate and burst as tokens: the allocator at the coordinator of a
/// data centre, and the token buckets of each node.
/// Invariant per account and allocator: available + outstanding + recently transferred
/// is at most burst * weight, and available accrues at rate * weight.
/// A token is settled when a node has used it or let it expire.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "wire/wire.h"

namespace damaskledge::shares {

struct settings {
  milliseconds grant_ttl{500};
  milliseconds transfer_ttl{100};
  /// Allows for clock drift, and for clock stops that total at most this within one `grant_ttl`.
  milliseconds clock_margin{100};
  /// Largest fraction of an account's burst that may be outstanding on nodes.
  double ceiling_fraction = 0.5;
  /// Minimum time between a node's requests for one account, unless the node has no tokens left.
  milliseconds request_interval{50};
  /// A node requests the tokens that it will use within this time at its current rate of use.
  milliseconds request_horizon{150};
  /// An unanswered request is sent again, with the same sequence number, after this time. It is
  /// abandoned after `grant_ttl`, when any answer to it would have expired.
  milliseconds request_timeout{25};
  /// The allocator holds a request that it cannot serve for this time, in case tokens accrue or
  /// arrive from a donor, before it answers with no tokens. Shorter than `request_timeout`, so
  /// that holding a request does not cause the node to repeat it.
  milliseconds request_hold{20};
  /// Time constant of the exponential averages of token use and demand.
  milliseconds use_window{300};
  /// A node prefetches at most this fraction of the account's burst, so that the tokens of a
  /// small burst are not left unused on nodes.
  double prefetch_fraction = 0.125;
};

/// Rate and burst of one account within one data centre (plan times weight).
struct limit {
  /// Tokens per second.
  double rate = 0;
  /// Tokens.
  double burst = 0;

  bool operator==(const limit&) const = default;
};

/// Coordinator of another data centre, which may transfer tokens to this one.
struct donor {
  std::string data_centre;
  endpoint address;
};

/// Token allocator of a coordinator. Not thread-safe.
class allocator {
 public:
  /// @param data_centre name of the coordinator's data centre.
  allocator(settings options, std::string data_centre);

  /// Starts a term with no tokens available. Tokens that the previous term granted may still be
  /// spent, so the ceiling counts as outstanding until `grant_ttl + clock_margin` after `now`.
  /// Without `previous_settled` the whole burst counts, and nothing is granted until then.
  void start_term(time_point now, term new_term, bool previous_settled);
  void end_term();
  /// Replaces the limits in force. Accounts missing from `limits` get no more tokens and are
  /// removed once none of their tokens can be spent.
  void set_limits(time_point now, const std::map<std::string, limit>& limits);
  void set_donors(std::vector<donor> donors);

  /// Accrues tokens, releases expired grants, answers waiting requests, and requests transfers
  /// from donors for accounts that run short.
  std::vector<wire::outgoing> tick(time_point now);
  /// Handles token requests, transfer requests, transfer grants and transfer receipts.
  std::vector<wire::outgoing> receive(time_point now, const wire::incoming& message);

  /// @return true in a term, from the time at which tokens of earlier terms no longer fill the
  /// whole burst.
  bool accrues(time_point now) const;
  /// Tokens that could still be spent under this allocator or its previous term: available,
  /// outstanding and recently transferred. For checks and metrics.
  double exposure(const std::string& account, time_point now) const;

 private:
  /// Tokens that count against the burst until `release_at`.
  struct lot {
    std::uint32_t tokens = 0;
    time_point release_at;
  };
  /// Identifies a stream of grants to one node process (see `node_buckets::bucket::stream`) by
  /// the sender's name and the identifier in its requests.
  struct holder_key {
    std::string sender;
    std::uint64_t process = 0;

    bool operator==(const holder_key&) const = default;
  };
  struct holder_key_hash {
    std::size_t operator()(const holder_key& value) const noexcept {
      return std::hash<std::string>{}(value.sender) ^ value.process;
    }
  };
  struct holder {
    std::uint64_t sequence = 0;
    /// Tokens granted for `sequence`, sent again when the request is repeated.
    std::uint32_t answered_tokens = 0;
    std::uint64_t settled = 0;
    /// Tokens that expired here before the node reported them as settled.
    std::uint64_t expired_unreported = 0;
    std::uint64_t outstanding = 0;
    std::deque<lot> lots;
    time_point last_seen;
    endpoint reply_to;
    /// Tokens wanted by a request that is waiting for tokens; 0 when none waits.
    std::uint32_t waiting = 0;
    time_point waiting_since;
  };
  /// Tokens transferred to another data centre, in thousandths. They count against the burst here
  /// until the receiver confirms that it counts them, or until `release_at`, when it no longer
  /// accepts them.
  struct transferred_lot {
    std::string data_centre;
    std::uint64_t sequence = 0;
    std::uint32_t millitokens = 0;
    time_point release_at;
  };
  struct pending_transfer {
    std::string data_centre;
    time_point sent;
    std::uint32_t wanted_millitokens = 0;
  };
  struct account_state {
    limit current;
    /// Highest rate and burst in this term; the previous term may have granted under them.
    limit highest;
    double available = 0;
    time_point accrued_at;
    std::uint64_t outstanding = 0;
    /// Earliest `release_at` that any lot of a holder may have.
    time_point next_release = time_point::max();
    std::unordered_map<holder_key, holder, holder_key_hash> holders;
    /// Holders with a waiting request, in order of arrival.
    std::deque<holder_key> queue;
    std::deque<transferred_lot> transferred_lots;
    std::uint64_t transferred_millitokens = 0;
    /// Average of tokens wanted per second.
    double demand_rate = 0;
    time_point demand_updated_at;
    /// Unanswered transfer requests by sequence number. A donor may have several, because a
    /// request is retried before a lost one times out.
    std::map<std::uint64_t, pending_transfer> pending_transfers;
    time_point next_transfer;
    milliseconds transfer_backoff{0};
    /// Sequence number of the latest transfer request from each data centre.
    std::map<std::string, std::uint64_t> last_transfer_sequence;
  };

  settings options_;
  std::string data_centre_;
  bool active_ = false;
  term term_;
  time_point term_started_at_;
  bool previous_settled_ = false;
  std::uint64_t next_sequence_ = 0;
  std::vector<donor> donors_;
  std::map<std::string, account_state> accounts_;

  time_point accrual_start() const;
  double ceiling(const limit& value) const;
  double previous_term_tokens(const account_state& state, time_point now) const;
  double headroom(const account_state& state, time_point now) const;
  double local_reserve(const account_state& state) const;
  void accrue(account_state& state, time_point now) const;
  static void release_expired(account_state& state, time_point now);
  void advance(account_state& state, time_point now) const;
  static void settle(account_state& state, holder& requester, std::uint64_t settled_total);
  std::uint32_t grantable(const account_state& state, const holder& requester,
                          std::uint32_t wanted) const;
  bool may_spend(const std::string& account, const account_state& state, double tokens,
                 time_point now, std::string_view decision) const;
  void answer(const std::string& account, account_state& state, holder& requester,
              std::uint32_t tokens, time_point now, std::vector<wire::outgoing>& out) const;
  void serve_waiting(const std::string& account, account_state& state, time_point now,
                     std::vector<wire::outgoing>& out) const;
  void request_transfers(const std::string& account, account_state& state, time_point now,
                         std::vector<wire::outgoing>& out);
  void reset(account_state& state, time_point now) const;

  void handle(time_point now, const wire::incoming& message, const wire::token_request& request,
              std::vector<wire::outgoing>& out);
  void handle(time_point now, const wire::incoming& message, const wire::transfer_request& request,
              std::vector<wire::outgoing>& out);
  void handle(time_point now, const wire::incoming& message, const wire::transfer_grant& grant,
              std::vector<wire::outgoing>& out);
  void handle(time_point now, const wire::transfer_receipt& receipt);
};

/// Result of taking a token at a node.
enum class take_result : std::uint8_t {
  taken,
  /// No token is held. The caller may wait: a later tick requests tokens if no request is in
  /// flight yet.
  pending,
  refused,
};

/// Token buckets of one node. Not thread-safe; a call takes well under a microsecond.
class node_buckets {
 public:
  /// @param process random identifier of this process.
  node_buckets(settings options, std::uint64_t process);

  /// Ignores terms lower than the current one. A higher term drops all tokens held.
  void set_coordinator(time_point now, const endpoint& address, term new_term);
  /// Accounts in force with their fleet-wide limits; buckets of missing accounts are dropped.
  void set_accounts(const std::map<std::string, limit>& accounts);

  /// Takes one token of `account`. Expired tokens are never used: the caller must read `now`
  /// immediately before the call, so that a process resumed after a pause finds them expired.
  /// Each `pending` result counts as one token wanted until the next grant of the account
  /// arrives. A waiting caller calls again when a grant has arrived or its wait is over.
  /// @param last the caller's wait is over: no further token is counted as wanted, and the result
  /// is `taken` or `refused`.
  take_result take(time_point now, const std::string& account, bool last = false);
  /// Requests for tokens that are due; called each tick and after a `pending` result.
  std::vector<wire::outgoing> tick(time_point now);
  /// Handles token grants.
  void receive(time_point now, const wire::incoming& message);
  /// Estimated time until a refused caller may find a token; at most one minute.
  milliseconds retry_after(time_point now, const std::string& account) const;
  /// Unexpired tokens held, for checks and metrics.
  std::uint32_t held(time_point now, const std::string& account) const;

 private:
  struct lot {
    std::uint32_t tokens = 0;
    time_point expires;
    std::uint64_t stream = 0;
  };
  struct pending_request {
    std::uint64_t sequence = 0;
    time_point first_sent;
    time_point last_sent;
    std::uint32_t wanted = 0;
  };
  struct bucket {
    limit fleet_limit;
    /// In order of expiry, because grants are accepted in the order of their requests.
    std::deque<lot> lots;
    /// Identifies a stream of grants with its own settled count. All grants of a stream except
    /// the latest are known to have arrived, so the counts of allocator and node agree. A lost
    /// grant starts a new stream; tokens of the old stream are released when they expire.
    std::uint64_t stream = 0;
    std::uint64_t settled = 0;
    std::uint64_t reported_settled = 0;
    std::uint32_t report_repeats = 0;
    std::uint32_t waiting = 0;
    /// Consecutive answers without tokens.
    std::uint32_t consecutive_denials = 0;
    std::optional<pending_request> in_flight;
    time_point last_sent;
    /// Tokens taken per second, averaged.
    double use_rate = 0;
    std::uint32_t taken_since_update = 0;
    time_point last_taken;
    time_point use_updated_at;
  };

  settings options_;
  std::uint64_t process_;
  std::uint64_t stream_count_ = 0;
  std::uint64_t next_sequence_;
  endpoint coordinator_;
  term coordinator_term_;
  bool has_coordinator_ = false;
  std::unordered_map<std::string, bucket> buckets_;

  static void expire(bucket& target, time_point now);
  static void settle(bucket& target, const lot& source, std::uint32_t tokens);
  void start_stream(bucket& target);
  void start_coordinator_term(const endpoint& address, term new_term, const bucket* keep_stream);
  void send(const std::string& account, bucket& target, std::uint64_t sequence,
            std::uint32_t wanted, time_point now, std::vector<wire::outgoing>& out) const;
  void update(const std::string& account, bucket& target, time_point now,
              std::vector<wire::outgoing>& out);
};

} // namespace damaskledge::shares
