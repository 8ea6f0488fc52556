/// @file
/// Shares of an account's rate and burst as tokens: the allocator of a data centre's
/// coordinator and the buckets of a node.
/// Invariant per account and allocator: available + outstanding + recently transferred
/// is at most burst * weight, and available accrues at rate * weight.
#pragma once

#include <cstdint>
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
  milliseconds clock_margin{100};
  double ceiling_fraction = 0.5;
  /// A node asks again at most this often for one account, unless it has run out.
  milliseconds request_interval{50};
  /// A node asks for what this time will use at its present rate of use.
  milliseconds request_horizon{150};
  milliseconds request_timeout{100};
};

/// Rate and burst of one account within one data centre (plan times weight).
struct limit {
  /// Tokens per second.
  double rate = 0;
  /// Tokens.
  double burst = 0;

  bool operator==(const limit&) const = default;
};

/// The coordinator of another data centre.
struct donor {
  std::string data_centre;
  endpoint address;
};

/// Token allocator of a coordinator. Not thread-safe.
class allocator {
 public:
  /// @param data_centre name of the coordinator's data centre.
  allocator(settings options, std::string data_centre);

  /// Starts a term with nothing available. The ceiling counts as outstanding until
  /// `grant_ttl + clock_margin` after `now`; when the previous term had not settled,
  /// nothing is granted until then.
  void start_term(time_point now, term held, bool previous_settled);
  void end_term();
  /// Limits in force; accounts that are missing are dropped.
  void set_limits(time_point now, const std::map<std::string, limit>& limits);
  void set_donors(std::vector<donor> donors);

  /// Accrues, lets outstanding grants end, and asks donors for accounts that run short.
  std::vector<wire::outgoing> tick(time_point now);
  /// Handles token requests, transfer requests and transfer grants.
  std::vector<wire::outgoing> receive(time_point now, const wire::incoming& from);

  /// Tokens that could still be spent under this allocator: available, outstanding and
  /// recently transferred. For checks and metrics.
  double exposure(const std::string& account, time_point now) const;

 private:
  settings options_;
  std::string data_centre_;
};

/// Result of taking a token at a node.
enum class take_result : std::uint8_t {
  taken,
  /// None now, but a request for tokens is in flight; waiting may help.
  pending,
  refused,
};

/// Token buckets of one node. Not thread-safe; a call takes well under a microsecond.
class node_buckets {
 public:
  /// @param process random identifier of this process.
  node_buckets(settings options, std::uint64_t process);

  /// Terms only rise; tokens of lower terms are dropped.
  void set_coordinator(time_point now, const endpoint& address, term held);
  /// Accounts in force with their fleet-wide limits; buckets of missing accounts are dropped.
  void set_accounts(const std::map<std::string, limit>& accounts);

  /// Takes one token of `account`. Expired tokens are never used: the time is read again by
  /// the caller just before, so a paused process finds them expired.
  take_result take(time_point now, const std::string& account);
  /// Requests for tokens that are due; called each tick and after a `pending` result.
  std::vector<wire::outgoing> tick(time_point now);
  /// Handles token grants.
  void receive(time_point now, const wire::incoming& from);
  /// Time after which a refused call may find a token.
  milliseconds retry_after(time_point now, const std::string& account) const;
  /// Unexpired tokens held, for checks and metrics.
  std::uint32_t held(time_point now, const std::string& account) const;

 private:
  settings options_;
  std::uint64_t process_;
};

} // namespace damaskledge::shares
