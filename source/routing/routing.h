/// @file
/// Concurrency limits and load balancing of targets, priority queues of waiting calls, context
/// tokens of inner calls, and retry budgets.
#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "common/common.h"

namespace damaskledge::routing {

/// How limits and retries are decided: `chosen` adapts the limit to latency and refusals, `fixed`
/// uses `fixed_limit`, `none` sets no limit. The last two are baselines for measurements.
enum class policy : std::uint8_t { chosen, fixed, none };

struct settings {
  policy mode = policy::chosen;
  std::uint32_t cold_limit = 4;
  std::uint32_t fixed_limit = 32;
  double slot_headroom = 1.0;
  /// A target that refused a connection gets no requests for this time, which doubles with each
  /// further failure up to the maximum.
  milliseconds exclusion{250};
  milliseconds exclusion_max{8'000};
  /// The minimum latency rises by this fraction per second, so that a lasting slow-down of the
  /// target is learned. It rises only while the limit is not above the fair share of the slots.
  double minimum_latency_growth = 0.02;
  /// A node's limit may reach this multiple of its fair share of the slots while the target
  /// shows no queueing. At 4, a quarter of the calling nodes can use all slots of a target; with
  /// the fair share as the cap, three quarters of the slots would then be idle. Slow start stops
  /// at the fair share, so that all nodes together cannot overload a cold target.
  double borrow_factor = 4.0;
  /// Latency alone does not lower the limit below this fraction of the fair share: up to the fair
  /// share the callers cannot exceed the announced slots, so that high latency is not caused by
  /// queueing, and a slow target needs all of its slots. Refusals and timeouts still lower the
  /// limit further, because the announced number of slots can be wrong.
  double limit_floor = 0.75;
  /// Fraction per second by which a limit above the fair share falls while it is unused.
  double unused_limit_decay = 0.1;
};

/// A target as announced through membership.
struct target_record {
  /// Node name and port, for example "vm-3:9000".
  std::string id;
  std::string service;
  std::string data_centre;
  endpoint address;
  std::uint32_t slots = 0;
  std::uint32_t connections = 0;
  bool draining = false;
  /// Incarnation of the node process; a new one resets the learned limit and latencies.
  std::uint64_t incarnation = 0;

  bool operator==(const target_record&) const = default;
};

/// Outcome of an attempt, as used to update the limit.
enum class attempt_end : std::uint8_t {
  answered,
  /// The upstream refused the request without running it.
  shed,
  connect_failed,
  broken,
  timed_out,
  cancelled,
};

/// Targets known to one node, with their concurrency limits. Not thread-safe.
class target_table {
 public:
  /// @param seed distinct for each node and stable over its life (for example a hash of its
  /// name): it also selects the node's subset of targets.
  target_table(settings options, std::string data_centre, std::uint64_t seed);

  /// Replaces the announced targets; targets that are still announced keep their state.
  /// @param calling_nodes nodes that may call; connections and slots are divided among them.
  void set_targets(time_point now, const std::vector<target_record>& targets,
                   std::uint32_t calling_nodes);

  struct choice {
    std::string id;
    endpoint address;
    /// Connections that this node may keep to the target.
    std::uint32_t connections = 1;
  };
  /// Takes a slot at the better of two randomly chosen targets that have a free one. Local targets
  /// come first.
  /// @param excluded targets already tried for this request.
  /// @return nothing when every target is at its limit, draining, excluded or unknown.
  std::optional<choice> acquire(time_point now, const std::string& service,
                                const std::vector<std::string>& excluded);
  /// Returns the slot and updates the limit.
  /// @param latency time since the attempt was sent, also for attempts that were not answered;
  /// only the latency of answered attempts counts as service latency. A timeout below the smoothed
  /// latency does not lower the limit.
  void release(time_point now, const std::string& id, attempt_end end, duration latency);
  /// @return true when the service has at least one target that is not draining or excluded.
  bool has_target(time_point now, const std::string& service) const;
  /// @return true when the service has been announced at least once.
  bool knows_service(const std::string& service) const;
  /// Adjusts limits and minimum latencies to the time passed; to be called periodically.
  void tick(time_point now);

  struct target_state {
    std::string id;
    std::string service;
    double limit = 0;
    std::uint32_t in_flight = 0;
    bool excluded = false;
    bool draining = false;
    duration smoothed_latency{0};
    duration minimum_latency{0};
  };
  std::vector<target_state> snapshot(time_point now) const;

 private:
  /// State of one target. Latencies are in seconds.
  struct target_row {
    target_record record;
    /// False for a target that left while requests were in flight.
    bool announced = false;
    bool local = false;
    /// False when the target is outside this node's subset.
    bool in_subset = true;
    std::uint32_t connections = 1;
    /// Announced slots times headroom, divided by the number of nodes that call the target.
    double fair_share = 0;
    /// Upper bound of the limit.
    double cap = 0;

    double limit = 0;
    /// Between 0 and 1, added before the limit is rounded down. It is a hash of node and target:
    /// with few slots per node, rounding down on every node would waste up to a quarter of them.
    double rounding = 0;
    std::uint32_t in_flight = 0;
    bool slow_start = true;
    bool must_be_cold = true;
    /// The last decreases came from timeouts and not from refusals.
    bool stalled = false;
    /// Attempts sent before this time do not change the limit: they may have reached an earlier
    /// process.
    time_point cold_since{};
    double smoothed = 0;
    double minimum = 0;
    time_point measured_at{};

    time_point round_start{};
    std::uint32_t round_samples = 0;
    double round_sum = 0;
    std::uint32_t round_peak = 0;
    time_point decreased_at{};
    time_point last_used_fully{};

    /// Consecutive failures; 0 for a target that is neither excluded nor on trial.
    std::uint32_t failures = 0;
    bool connect_failure = false;
    time_point failed_at{};
    time_point excluded_until{};
  };
  using row_index = std::size_t;

  void make_cold(time_point now, target_row& row) const;
  void set_shares(const std::string& service, std::uint32_t calling_nodes);
  static std::uint32_t rounded_limit(const target_row& row);
  bool has_free_slot(time_point now, const target_row& row) const;
  bool is_excluded(time_point now, const target_row& row) const;
  void exclude(time_point now, target_row& row, bool connect_failure) const;
  void end_round(time_point now, target_row& row) const;
  void decrease(time_point now, target_row& row, time_point sent) const;
  void decay_unused(time_point now, target_row& row, double elapsed) const;
  bool is_better(time_point now, const target_row& a, const target_row& b) const;
  void remove_departed();
  void index_services();

  settings options_;
  std::string data_centre_;
  std::uint64_t seed_;
  std::minstd_rand random_;
  time_point last_tick_{};
  std::vector<target_row> rows_;
  std::unordered_map<std::string, row_index> index_;
  std::unordered_map<std::string, std::vector<row_index>> by_service_;
  std::unordered_set<std::string> known_services_;
  std::vector<row_index> candidates_;
};

struct queue_settings {
  std::uint32_t max_length = 256;
  milliseconds max_wait{20};
  /// When the age of the oldest call stayed above this for a whole `interval`, the queue serves
  /// the newest call first.
  milliseconds target_delay{5};
  milliseconds interval{100};
};

/// Waiting calls of one node, per service, ordered by importance. Not thread-safe. The node
/// blocks the connection's thread until its `ticket` leaves the queue.
class waiting_queue {
 public:
  explicit waiting_queue(queue_settings options);

  using ticket = std::uint64_t;
  struct push_result {
    /// Empty when the new call is refused: its deadline has passed, or the queue is full and holds
    /// no less important call.
    std::optional<ticket> own;
    /// A less important call that was dropped to make room.
    std::optional<ticket> dropped;
  };
  push_result push(time_point now, const std::string& service, importance value,
                   time_point deadline);
  /// Next call to try, most important first; it leaves the queue.
  std::optional<ticket> pop(time_point now, const std::string& service);
  /// The call that `pop` would return; it stays in the queue.
  std::optional<ticket> front(time_point now, const std::string& service);
  /// Removes and returns the calls whose maximum wait or deadline has passed.
  std::vector<ticket> expire(time_point now);
  /// @return false when the ticket is no longer queued.
  bool remove(ticket which);
  std::uint32_t length(const std::string& service) const;
  /// @return true while the service's queue serves the newest first.
  bool overloaded(const std::string& service) const;

 private:
  struct waiting_call {
    time_point since;
    time_point expires;
  };
  struct service_queue {
    /// One map per importance class; tickets increase, so the first is the oldest.
    std::array<std::map<ticket, waiting_call>, 4> classes;
    std::uint32_t length = 0;
    time_point interval_start{};
    /// Smallest age of the oldest call that was observed in the current interval.
    duration minimum_age = duration::max();
    bool overloaded = false;
  };
  struct location {
    std::string service;
    std::size_t importance_class = 0;
  };

  void observe(time_point now, service_queue& queue) const;
  void erase(service_queue& queue, std::size_t importance_class, ticket which);

  queue_settings options_;
  ticket last_ticket_ = 0;
  std::unordered_map<std::string, service_queue> services_;
  std::unordered_map<ticket, location> locations_;
};

/// Contents of a context token: the request that an inner call belongs to.
struct context {
  id128 id;
  id128 request;
  std::string account;
  std::string key_id;
  damaskledge::importance importance = damaskledge::importance::normal;
  unix_milliseconds deadline = 0;
  std::uint32_t retries = 0;
  std::uint32_t depth = 0;
  /// Address of the VM whose upstream runs the request; other VMs' nodes refuse the token.
  std::string vm_address;
  /// Endpoint of the node that issued the token.
  endpoint issuer;

  bool operator==(const context&) const = default;
};

/// Longest token that is accepted or issued.
inline constexpr std::size_t max_token_length = 1'536;

/// @return the token: base64url of the fields and of an HMAC-SHA-256 under `secret`, truncated to
/// 128 bits. Empty when a text field is longer than 255 bytes or retries or depth exceed 255.
std::string encode_context(const context& value, std::string_view secret);
/// @return the context, or nothing when the signature does not match or a field is malformed.
std::optional<context> decode_context(std::string_view token,
                                      const std::vector<std::string>& secrets);

struct context_settings {
  /// Maximum number of contexts with a budget, and likewise of ended contexts.
  std::size_t max_entries = 65'536;
};

/// Retry budgets of the contexts presented to this node, and the contexts that have ended.
/// Not thread-safe.
class context_table {
 public:
  explicit context_table(context_settings options = {});

  /// @param lifetime time until the context's deadline; its budget is kept that long. The default
  /// is above any route's deadline in use.
  /// @return retries for an inner call and its subtree: half of what remains, rounded up, or 0
  /// for a context that the full table cannot take; nothing when the context has ended.
  std::optional<std::uint32_t> begin_call(time_point now, const context& value,
                                          duration lifetime = seconds{120});
  /// Records the end of an inner call.
  /// @param unspent retries returned to the budget; only those that no call of the subtree can
  /// still spend.
  void end_call(const id128& context_id, std::uint32_t unspent);
  /// Marks the context as ended for the time `keep`; `begin_call` refuses it meanwhile.
  void ended(time_point now, const id128& context_id, duration keep);
  bool has_ended(const id128& context_id) const;
  void tick(time_point now);
  /// @return contexts with a budget and ended contexts held.
  std::size_t size() const;

 private:
  struct budget {
    std::uint32_t initial = 0;
    std::uint32_t remaining = 0;
    /// Granted to inner calls and not returned.
    std::uint32_t granted = 0;
    time_point expires{};
  };

  context_settings options_;
  std::unordered_map<id128, budget, id128_hash> budgets_;
  std::unordered_map<id128, time_point, id128_hash> ended_;
  /// Ended contexts in order of arrival; the oldest is evicted when the table is full.
  std::deque<id128> ended_order_;
  time_point last_sweep_{};
};

} // namespace damaskledge::routing
