/// @file
/// World of one randomised run: processes with their clocks, network, platform, callers,
/// operators and faults.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "check/check.h"
#include "check/oracle.h"
#include "check/simulated_platform.h"
#include "config/config.h"
#include "core/core.h"
#include "platform/platform.h"
#include "shares/shares.h"
#include "wire/wire.h"

namespace damaskledge::check {

/// Time since the start of the run, as a perfect clock has it.
using true_time = std::chrono::nanoseconds;

/// Runs events in the order of their time until a promise fails or the steps are used up.
class simulation {
 public:
  simulation(options wanted, std::vector<fault> schedule);
  result run();

 private:
  /// A request whose token is pending.
  struct waiting_request {
    std::string account;
    bool inside = false;
  };
  /// An event of a paused process, which runs this long after the end of the pause.
  struct deferred_event {
    duration delay{0};
    std::function<void()> action;
  };
  /// One VM; `generation` rises with each restart of its process.
  struct process {
    config::node_settings settings;
    std::size_t data_centre = 0;
    std::uint64_t generation = 0;
    std::unique_ptr<core::control_core> core;
    std::unique_ptr<shares::node_buckets> buckets;
    double drift = 0;
    duration offset{0};
    true_time paused_until{0};
    /// By number.
    std::map<std::uint64_t, deferred_event> deferred;
    /// Documents with a call in flight.
    std::set<std::string> following;
    std::shared_ptr<const core::rules_in_force> rules;
    /// Requests that wait for a grant, by number.
    std::map<std::uint64_t, waiting_request> waiting;
  };
  /// A caller's submission of a non-idempotent operation at one process.
  struct submission {
    std::size_t at = 0;
    std::uint64_t generation = 0;
    id128 operation;
    id128 claimant;
    std::vector<endpoint> writers;
    std::size_t next_writer = 0;
    std::vector<endpoint> unanswered;
    time_point deadline;
    bool decided = false;
  };
  struct waiting_watch {
    std::size_t at = 0;
    std::uint64_t generation = 0;
    std::string document;
    platform::watch what;
    true_time ends{0};
  };
  struct event {
    true_time at{0};
    std::uint64_t order = 0;
    std::function<void()> action;

    bool operator>(const event& other) const {
      return at != other.at ? at > other.at : order > other.order;
    }
  };

  // Clocks and events.
  void after(duration delay, std::function<void()> action);
  /// Runs an action at a process, when it is not paused, unless it was restarted meanwhile.
  void at_process(std::size_t which, duration delay, std::function<void()> action);
  void run_when_awake(std::size_t which, std::uint64_t generation,
                      const std::function<void()>& action);
  /// Runs a deferred event, unless it has run.
  void run_deferred(std::size_t which, std::uint64_t number);
  time_point local_now(const process& it) const;
  unix_milliseconds wall_now() const;
  double seconds_now() const { return std::chrono::duration<double>(now_).count(); }
  bool chance(unsigned percent) { return random_() % 100 < percent; }
  duration between(duration low, duration high);

  // Processes.
  void make_processes();
  void start_process(std::size_t which);
  void tick(std::size_t which);
  void carry_out(std::size_t which, core::effects&& wanted);
  void follow_documents(std::size_t which);
  void observe(std::size_t which);

  // Network.
  void send(std::size_t from, const wire::outgoing& what);
  void deliver(std::size_t to, const wire::incoming& what);
  bool connected(std::size_t a, std::size_t b) const;
  duration network_delay(std::size_t a, std::size_t b, wire::transport by);
  std::optional<std::size_t> process_at(const endpoint& address) const;

  // Platform.
  void call_platform(std::size_t which, const platform::call& what,
                     std::function<void(platform::answer)> done, const std::string& document);
  void wake_watches(const std::string& object);
  bool platform_reachable(std::size_t which) const;
  duration platform_delay();

  // Callers and operators.
  void next_request(std::size_t account);
  void request(std::size_t which, const std::string& account, bool inside);
  /// Takes a token for a request.
  /// @param last true when the request waits no longer.
  /// @return false when the request still waits.
  bool take_token(std::size_t which, const waiting_request& it, bool last);
  void next_submission();
  void ask_writer(std::uint64_t id);
  void on_claim_reply(std::uint64_t id, const wire::claim_reply& reply);
  void run_operation(std::uint64_t id);
  void finish(const submission& it, bool released);
  void refuse_submission(submission& it);
  void next_change();
  void apply_change();
  config::lists lists_of(std::uint64_t change) const;

  // Faults.
  void start_fault(const fault& it);
  void end_fault(const fault& it);
  void heal();
  void check_end();
  void fail(const std::string& promise, const std::string& detail);

  static std::string data_centre_name(std::size_t index);

  /// Time after the faults before requests and configurations are judged.
  static constexpr seconds recovery_time{8};

  options wanted_;
  std::vector<fault> schedule_;
  std::mt19937_64 random_;
  true_time now_{0};
  std::uint64_t order_ = 0;
  std::priority_queue<event, std::vector<event>, std::greater<>> events_;
  std::vector<process> processes_;
  simulated_platform platform_;
  std::vector<waiting_watch> watches_;
  oracle oracle_;
  result result_;

  std::set<std::size_t> cut_from_data_centres_;
  std::set<std::size_t> cut_from_platform_;
  bool bad_network_ = false;
  bool healed_ = false;
  true_time healed_at_{0};
  std::uint64_t last_request_ = 0;
  std::uint64_t last_deferred_ = 0;

  std::vector<config::account> accounts_;
  std::map<std::string, shares::limit> limits_;
  std::map<std::uint64_t, submission> submissions_;
  std::uint64_t last_submission_ = 0;
  std::deque<id128> recent_operations_;
  std::uint64_t changes_ = 0;
  std::map<std::size_t, std::string> coordinators_;
};

} // namespace damaskledge::check
