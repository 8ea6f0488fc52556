/// @file
/// Gives a call a slot at a target, or parks it in the queue of its service until there is one.
#pragma once

#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "admission/admission.h"
#include "common/common.h"
#include "routing/routing.h"

namespace damaskledge::node {

/// A call that wants a slot.
struct slot_request {
  std::string service;
  damaskledge::importance importance = damaskledge::importance::normal;
  std::string account;
  time_point deadline;
  /// Targets already tried for this request.
  std::vector<std::string> excluded;
  /// True at the entry of a chain.
  bool entry = true;
};

/// Why no slot was given.
enum class slot_refusal : std::uint8_t { no_target, unknown_service, overloaded, deadline };

using slot_result = std::variant<routing::target_table::choice, slot_refusal>;

/// Target table, waiting queue and shed levels under one lock. Thread-safe.
class dispatcher {
 public:
  dispatcher(routing::settings targets, routing::queue_settings queue,
             admission::shed_settings shed, const std::string& node, const std::string& data_centre,
             std::uint64_t seed);

  /// Waits for a slot at most as long as the queue allows.
  slot_result acquire(const slot_request& wanted);
  /// Gives the slot back and hands it to the next waiting call.
  void release(const std::string& service, const std::string& target, routing::attempt_end end,
               duration latency);
  /// @return true when a call of this class is refused before work is spent, because one of the
  /// services that its chain reaches is overloaded.
  bool sheds(const std::vector<std::string>& services, importance value, const std::string& account,
             bool entry);

  /// Counts an admitted request, for objective "fairness".
  void admitted(const std::string& service, importance value, const std::string& account);

  void set_targets(const std::vector<routing::target_record>& targets, std::uint32_t calling_nodes);
  void tick(time_point now);
  void heard_shed_level(time_point now, const std::string& service, const std::string& origin,
                        std::uint32_t level, std::uint64_t sequence);
  std::vector<admission::shed_table::level_record> own_shed_levels();
  std::vector<routing::target_table::target_state> targets();
  std::uint32_t queue_length(const std::string& service);

 private:
  struct waiter {
    /// Targets that this call has tried.
    const std::vector<std::string>* excluded = nullptr;
    std::condition_variable wake;
    bool decided = false;
    std::optional<routing::target_table::choice> slot;
  };

  void serve_queue(time_point now, const std::string& service);
  /// Ends the waits that are over and hands free slots to the calls that still wait.
  void refresh_queues(time_point now);
  void drop(routing::waiting_queue::ticket which);
  slot_result wait_in_queue(std::unique_lock<std::mutex>& lock, time_point start,
                            const slot_request& wanted);

  bool controls_;
  std::mutex mutex_;
  routing::target_table targets_;
  routing::waiting_queue queue_;
  admission::shed_table shed_;
  std::map<routing::waiting_queue::ticket, waiter*> waiters_;
  /// Services whose queues have been used.
  std::set<std::string> queued_services_;
};

} // namespace damaskledge::node
