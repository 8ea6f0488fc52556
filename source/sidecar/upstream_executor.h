/// @file
/// The way to the target beside this node: its identity and state, a bound on concurrent requests,
/// a queue by priority, kept connections, and what is known of each request's fate.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <tuple>
#include <unordered_map>
#include <vector>

#include "admission/admission.h"
#include "common/common.h"
#include "event/event.h"
#include "fleet/fleet.h"
#include "http/http.h"
#include "placement/placement.h"
#include "platform/adapter.h"
#include "sidecar/event_log.h"
#include "sidecar/target_identity.h"
#include "traffic/traffic.h"

namespace damaskledge::sidecar {

/// What the node believes of its target.
enum class target_state : std::uint8_t {
  /// Nothing was heard since the node's start.
  unknown,
  ready,
  /// It told that it leaves.
  leaving,
  /// Connections fail or go unanswered, or another target has the address.
  unreachable,
};

std::string_view to_string(target_state state);

/// Limits and time-outs of the executor.
struct executor_options {
  endpoint target;
  std::string service;
  /// Part of the announced slots in use at most. Targets slow down when they are nearly full.
  double slot_use = 0.95;
  /// Slots assumed before the target has announced itself.
  std::uint32_t default_slots = 8;
  /// Requests under way at once before the first answer: a node that was restarted does not know
  /// whether the target has named a limit to the other nodes.
  std::size_t requests_before_answer = 4;
  /// The first answer is waited for no longer than this, for targets whose runs take long.
  milliseconds first_answer_wait{1'000};
  /// A target on the same VM accepts within this time unless it is dead.
  milliseconds connect_timeout{250};
  /// No answer at all for this long, with requests under way, starts a check of the target.
  milliseconds silence_before_check{400};
  /// Idle connections are closed this long before the target would do it.
  milliseconds keep_alive_margin{1'000};
  /// Idle time of a kept connection when the target names none.
  milliseconds default_keep_alive{3'000};
  /// Longest wait in the queue as a part of the objective, for requests of callers. The run itself
  /// takes a third of the objective of the fastest routes, so that half of it leaves a reserve.
  double caller_wait = 0.5;
  /// The same for calls of targets: refusing one wastes the work of its whole request.
  double inner_wait = 0.35;
  /// Bytes of unfinished answers that are kept at once, over all connections. A target may send a
  /// body without end on each of them.
  std::size_t answer_bytes = 48UL * 1024UL * 1024UL;
  /// A request whose caller has left is given up this long after its deadline. Until then its
  /// target may still be at work on it.
  milliseconds abandoned_grace{500};
  /// A leaving target gets no queued request later than this after its announcement.
  milliseconds drain_limit{2'000};
};

/// One request for the target.
struct upstream_call {
  std::string request_id;
  std::string route;
  std::string head;
  std::string body;
  time_point deadline{};
  milliseconds objective{0};
  unsigned priority = 0;
  bool idempotent = false;
  bool inner = false;
  /// The request was sent before, or a repeated run made it.
  bool repeat = false;
  id128 fingerprint;
};

class upstream_executor {
 public:
  using completion = std::function<void(fleet::answer_frame)>;
  using call_id = std::uint64_t;

  /// @param state_changed called when the target's state or what is known of crashes has changed.
  upstream_executor(event::loop& loop, executor_options options, event_log& log,
                    admission::crash_table& crashes, std::function<void()> state_changed);
  ~upstream_executor();
  upstream_executor(const upstream_executor&) = delete;
  upstream_executor& operator=(const upstream_executor&) = delete;

  /// The target announced itself. Announcements of an older start, late ones, and those of another
  /// service are ignored.
  void announced(const adapter::target_announcement& value);
  /// The target says that it leaves for good.
  /// @return false if another target is known.
  bool farewell(const std::string& instance);
  /// An earlier process of this node has recorded that the target leaves.
  void recalled(const adapter::leave_record& record);
  /// A health check answered for this identity before the first announcement.
  void identified(const std::string& instance);
  /// @return true once an announcement, a health check or a leave has named the target.
  bool known() const { return !identity_.instance().empty(); }

  /// @return the leave of the target that is known, or nothing.
  std::optional<adapter::leave_record> leave() const { return identity_.leave(); }

  /// Runs the call or queues it. The completion comes exactly once unless the call is cancelled,
  /// possibly before this returns.
  call_id submit(upstream_call call, completion done);
  /// The caller has left. A queued call is dropped; a running idempotent one is broken off; a
  /// running call that may run only once goes on.
  void cancel(call_id id);
  /// Checks time-outs; called at a short interval.
  void tick();

  fleet::target_status status() const;
  target_state state() const { return state_; }
  std::size_t in_flight() const { return running_.size(); }
  std::size_t queued() const { return queue_.size(); }
  /// Sets how the target compares with the others of its service.
  void set_slowness(double value) { slowness_ = value; }
  /// @return bytes of unfinished answers that are kept now.
  std::size_t answer_bytes() const { return answer_bytes_; }
  traffic::call_observer& observer() { return observer_; }
  traffic::repeat_tracker& repeats() { return repeats_; }

 private:
  struct running_call;
  struct connection;
  struct queued_call {
    call_id id = 0;
    upstream_call call;
    completion done;
    time_point queued{};
    time_point give_up{};
  };
  /// Calls of targets first, since work was spent on them; then by priority and arrival.
  using queue_key = std::tuple<bool, unsigned, std::uint64_t>;

  /// @return requests that the target may run at once.
  std::size_t concurrency_limit() const;
  /// @return true if the target may get a further request now.
  bool may_start();
  duration expected_wait(const queue_key& before) const;
  void start(queued_call call);
  void start_queued();
  void refuse(queued_call& call, const std::string& reason, bool reached, duration retry_after);
  void send(connection& to, queued_call call);
  void on_data(std::uint64_t connection_id);
  void on_closed(std::uint64_t connection_id, event::close_reason reason);
  /// @return false if the answer that is arriving cannot be the one to the current request.
  static bool may_belong(connection& from);
  /// Gives up the largest unfinished answers until the rest fits into the limit.
  void limit_answer_bytes();
  /// Takes note of how much of the current answer is kept.
  void count_answer_bytes(connection& from, std::size_t n);
  /// Applies what the target says of itself in an answer.
  void apply_notice(const connection& from, const adapter::target_notice& notice);
  void log_limit();
  void complete(connection& from);
  void finish(connection& from, fleet::answer_frame result);
  void drop_connection(std::uint64_t id, bool abort);
  void target_lost(const std::string& why);
  void set_state(target_state state, const std::string& why);
  void check_target();
  /// @return true if the target runs requests that wait in the queue.
  bool runs_queued() const;
  moment now() const { return {loop_.now(), unix_now()}; }
  fleet::answer_frame make_answer(fleet::call_result result, std::string reason,
                                  bool reached) const;

  event::loop& loop_;
  executor_options options_;
  event_log& log_;
  admission::crash_table& crashes_;
  std::function<void()> state_changed_;

  target_state state_ = target_state::unknown;
  target_identity identity_;
  std::uint32_t slots_ = 0;
  time_point warm_at_{};
  /// The target has answered since this node's start.
  bool answered_ = false;
  /// When this node has sent its first request to the target.
  std::optional<time_point> first_sent_;
  traffic::target_rate_limit rate_limit_;
  /// Limit that was logged last.
  std::optional<double> logged_limit_;

  std::uint64_t next_id_ = 1;
  std::map<queue_key, queued_call> queue_;
  std::unordered_map<call_id, queue_key> queue_index_;
  std::unordered_map<std::uint64_t, std::unique_ptr<connection>> connections_;
  /// Idle connections, the most recently used last.
  std::vector<std::uint64_t> idle_;
  /// Connection of each call under way.
  std::unordered_map<call_id, std::uint64_t> running_;
  /// Sum of `connection::kept_bytes`.
  std::size_t answer_bytes_ = 0;
  time_point last_sign_of_life_{};
  std::unique_ptr<event::stream> check_;
  time_point check_started_{};
  /// Mean time for which a request holds a slot.
  double mean_held_s_ = 0.05;
  double slowness_ = 1;
  placement::failure_meter failures_;
  traffic::call_observer observer_;
  traffic::repeat_tracker repeats_;
};

} // namespace damaskledge::sidecar
