/// @file
/// Targets and their concurrency limits, choice of target, queues by importance, context
/// tokens of inner calls and attempt budgets.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "common/common.h"

namespace damaskledge::routing {

/// How limits and retries are decided; the last two are baselines for measurements.
enum class policy : std::uint8_t { chosen, fixed, none };

struct settings {
  policy mode = policy::chosen;
  std::uint32_t cold_limit = 4;
  std::uint32_t fixed_limit = 32;
  double slot_headroom = 1.0;
  /// A target that refused a connection is left out for this time, doubling up to the maximum.
  milliseconds exclusion{250};
  milliseconds exclusion_max{8'000};
  /// The smallest latency seen is let rise by this fraction per second, so that a lasting
  /// change of the target's speed is learned.
  double minimum_decay = 0.02;
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
  /// Node process incarnation; a new one makes the target cold again.
  std::uint64_t incarnation = 0;

  bool operator==(const target_record&) const = default;
};

/// How an attempt ended, as far as the limit is concerned.
enum class attempt_end : std::uint8_t {
  answered,
  /// The upstream refused it without running.
  shed,
  connect_failed,
  broken,
  timed_out,
  cancelled,
};

/// Target table of one node. Not thread-safe.
class target_table {
 public:
  target_table(settings options, std::string data_centre, std::uint64_t seed);

  /// Replaces the announced targets; state of targets that stay is kept.
  /// @param calling_nodes nodes that may call; connections and slots are divided among them.
  void set_targets(time_point now, const std::vector<target_record>& targets,
                   std::uint32_t calling_nodes);

  struct choice {
    std::string id;
    endpoint address;
    /// Connections that this node may keep to the target.
    std::uint32_t connections = 1;
  };
  /// Takes a slot at the better of two random targets with room.
  /// @param excluded targets already tried for this request.
  /// @return nothing when every target is at its limit, draining, excluded or unknown.
  std::optional<choice> acquire(time_point now, const std::string& service,
                                const std::vector<std::string>& excluded);
  /// Gives the slot back and updates the limit.
  void release(time_point now, const std::string& id, attempt_end end, duration latency);
  /// @return true when the service has at least one target that is not draining or excluded.
  bool has_target(time_point now, const std::string& service) const;
  /// @return true when the service was ever announced or is now.
  bool knows_service(const std::string& service) const;
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
  settings options_;
  std::string data_centre_;
};

/// Waiting calls of one node, per service, ordered by importance. Not thread-safe; the node
/// parks the connection's thread on `ticket`.
struct queue_settings {
  std::uint32_t max_length = 256;
  milliseconds max_wait{20};
  /// Above this shortest wait over `interval`, the queue serves the newest first.
  milliseconds target_delay{5};
  milliseconds interval{100};
};

class waiting_queue {
 public:
  explicit waiting_queue(queue_settings options);

  using ticket = std::uint64_t;
  struct push_result {
    /// Nothing when the caller itself is dropped.
    std::optional<ticket> own;
    /// A less important call that was dropped to make room.
    std::optional<ticket> dropped;
  };
  push_result push(time_point now, const std::string& service, importance value,
                   time_point deadline);
  /// Next call to try, most important first; it leaves the queue.
  std::optional<ticket> pop(time_point now, const std::string& service);
  /// Calls whose wait or deadline has passed; they leave the queue.
  std::vector<ticket> expire(time_point now);
  /// @return false when the ticket is no longer queued.
  bool remove(ticket which);
  std::uint32_t length(const std::string& service) const;

 private:
  queue_settings options_;
};

/// What a context token says of the request that it belongs to.
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

/// @return the token: base64url of the fields and of an HMAC-SHA-256 under `secret`.
std::string encode_context(const context& value, std::string_view secret);
/// @return the context, or nothing when the signature does not match or a field is malformed.
std::optional<context> decode_context(std::string_view token,
                                      const std::vector<std::string>& secrets);

/// Contexts presented to this node, what remains of their attempt budgets, and those that
/// have ended. Not thread-safe.
class context_table {
 public:
  /// @return retries for an inner call and its subtree: half of what remains, rounded up;
  /// nothing when the context has ended.
  std::optional<std::uint32_t> begin_call(time_point now, const context& value);
  /// An inner call ended; `unspent` goes back only when no subtree can still spend it.
  void end_call(const id128& context_id, std::uint32_t unspent);
  void ended(time_point now, const id128& context_id, duration keep);
  bool has_ended(const id128& context_id) const;
  void tick(time_point now);
};

} // namespace damaskledge::routing
