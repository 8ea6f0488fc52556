/// @file
/// The operator's traffic configuration, and the decisions that need no input or output: route
/// selection, account rates over the fleet, retry budgets, the learned call graph and admission at
/// the entry. Functions that depend on the time take it as an argument; none reads a clock.
#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "common/common.h"

namespace damaskledge::traffic {

/// One part of a route's traffic.
struct destination {
  std::string service;
  /// Share relative to the other destinations of the route.
  double weight = 1;

  bool operator==(const destination&) const = default;
};

struct route {
  std::string name;
  std::string host;
  /// Begins and ends with a slash.
  std::string path_prefix;
  /// Requests may run more than once.
  bool idempotent = false;
  /// Requests need no account key.
  bool open_to_all = false;
  /// Rank of its requests; 0 is shed last.
  unsigned priority = 0;
  /// Time within which a response is worth most.
  milliseconds objective{1'000};
  /// Longest time that a caller is kept waiting.
  milliseconds timeout{1'000};
  /// Targets at which one request may run.
  unsigned max_attempts = 1;
  std::vector<destination> destinations;

  bool operator==(const route&) const = default;
};

/// A client account and what its plan allows.
struct account {
  std::string name;
  std::vector<std::string> keys;
  /// Takes precedence over the route's priority.
  std::optional<unsigned> priority;
  /// Requests a second over the whole fleet; 0 is no limit.
  double rate = 0;
  /// Requests above the rate that may come at once.
  double burst = 0;

  bool operator==(const account&) const = default;
};

struct service {
  std::string name;
  std::string health_path;
  std::size_t max_connections = 0;

  bool operator==(const service&) const = default;
};

/// Bounds on what one caller may send.
struct caller_limits {
  std::size_t header_bytes = 16UL * 1024UL;
  std::size_t body_bytes = 16UL * 1024UL * 1024UL;
  milliseconds header_timeout{3'000};
  milliseconds idle_timeout{15'000};

  bool operator==(const caller_limits&) const = default;
};

/// One version of the operator's configuration. Immutable; made by `configuration_builder`.
class configuration {
 public:
  std::uint64_t version() const { return version_; }
  const caller_limits& limits() const { return limits_; }
  const std::vector<account>& accounts() const { return accounts_; }
  const std::vector<service>& services() const { return services_; }
  /// @return the route with the longest prefix of `path` among those of `host`, or null.
  /// @param host without a port.
  const route* find_route(std::string_view host, std::string_view path) const;
  /// @return the account that holds the key, or null.
  const account* find_account(std::string_view key) const;
  const account* find_account_by_name(std::string_view name) const;
  const service* find_service(std::string_view name) const;
  bool has_accounts() const { return !accounts_.empty(); }

 private:
  friend class configuration_builder;
  struct text_hash {
    using is_transparent = void;
    std::size_t operator()(std::string_view text) const { return hash64(text); }
  };

  std::uint64_t version_ = 0;
  caller_limits limits_;
  std::vector<service> services_;
  std::vector<account> accounts_;
  std::unordered_map<std::string, std::size_t, text_hash, std::equal_to<>> account_by_key_;
  /// Routes of each host, longest prefix first.
  std::unordered_map<std::string, std::vector<route>, text_hash, std::equal_to<>> routes_;
};

class configuration_builder {
 public:
  explicit configuration_builder(std::uint64_t version);
  configuration_builder& limits(const caller_limits& value);
  configuration_builder& add(route value);
  configuration_builder& add(account value);
  configuration_builder& add(service value);
  std::shared_ptr<const configuration> build();

 private:
  std::shared_ptr<configuration> result_;
};

/// Distributes a route's requests over its destinations in proportion to their weights.
class traffic_splitter {
 public:
  /// @return the service that takes the next request of the route.
  const std::string& next(const route& value);

 private:
  /// Credit of each destination by route; the destination with the most credit is next (smooth
  /// weighted round robin).
  std::unordered_map<std::string, std::map<std::string, double>> credits_;
};

/// Use of an account at one node, as reported to the other nodes.
struct account_usage {
  std::string account;
  /// Requests admitted since the node's start.
  std::uint64_t admitted = 0;
  /// Requests a second that arrived, admitted or not.
  double demand = 0;

  bool operator==(const account_usage&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(account, admitted, demand);
  }
};

/// Accounts that a usage report covers.
enum class usage_scope : std::uint8_t {
  /// Every account that the node has received requests or reports for. Sent when a link opens.
  whole,
  /// The accounts whose use has changed.
  changes,
};

/// Limits accounts to their rates over the whole fleet without a coordinator. Each node models one
/// token bucket for each account from its own and the reported admissions. While the bucket is full
/// enough, a node may spend a part of it between two of its reports; below that it spends only its
/// share of the refill, which follows its part of the demand. Shares of nodes that send no reports
/// stay reserved until the nodes are removed, so that both sides of a partition together keep the
/// rate.
class account_rates {
 public:
  /// Longest time between two reports of a node.
  static constexpr milliseconds report_interval{250};

  /// @param start_full buckets start full: the whole fleet starts for the first time. Otherwise
  /// they start empty, since the burst may have been spent before a restart.
  /// @param seed differs from node to node. It spreads the times of the nodes' first admissions; if
  /// all shares started empty, an account with less than one request a second for each node would
  /// get nothing in the first second.
  account_rates(bool start_full, std::uint64_t seed) : start_full_(start_full), seed_(seed) {}

  /// @param requests that an account may have admitted at once beyond its burst: the operator's
  /// tolerance for counting over a fleet. Without it, requests of a small account that happen to
  /// coincide would be refused although the account keeps its rate.
  void set_tolerance(double requests) { tolerance_ = requests; }
  /// Applies the limits of a configuration. A node that has not received a request of an account
  /// yet follows its bucket from here on, so that it knows what the others have left of it.
  void set_accounts(time_point now, const std::vector<account>& accounts);
  /// Counts a request of the account and decides whether to admit it.
  /// @return nothing when admitted, otherwise the time after which a request may be admitted.
  std::optional<milliseconds> ask(time_point now, const account& of);
  /// Reverts the admission of a request that was refused before it ran.
  void give_back(const std::string& account);
  /// Applies a report of another node, whose counts restart with each incarnation. An account that
  /// is new in a report of changes was not used before, if a whole report of the same incarnation
  /// came earlier.
  void heard(time_point now, const std::string& node, std::uint64_t incarnation,
             const std::vector<account_usage>& usage, usage_scope scope);
  /// Removes a node that has left the fleet for good and releases its share.
  void forget_node(const std::string& node);
  /// @param nodes nodes of the fleet, this one included. An even share stays reserved for each one
  /// that has not reported since this node's start.
  void set_fleet_size(std::size_t nodes) { fleet_size_ = std::max<std::size_t>(1, nodes); }
  /// @return accounts whose admissions or demand changed since the last call, to be reported to the
  /// other nodes. Call it at intervals of `report_interval` at most; a report must reach every node
  /// within two of them.
  std::vector<account_usage> changed(time_point now);
  /// @return the use of every account, for the first report on a new link.
  std::vector<account_usage> whole() const;
  /// @return true when an account has used up what it may spend before the next report, so that the
  /// report should be sent early.
  bool report_due() const { return report_due_; }

 private:
  struct remote_usage {
    std::uint64_t incarnation = 0;
    std::uint64_t admitted = 0;
    double rate = 0;
    double demand = 0;
    time_point last_report{};
  };
  struct bucket {
    /// Limits of the account; a rate of 0 is not known yet.
    double rate = 0;
    double burst = 0;
    double level = 0;
    /// `level` includes the initial burst. Before the first request it only counts down by what the
    /// other nodes have admitted.
    bool initialised = false;
    double share_level = 0;
    time_point updated{};
    std::uint64_t admitted = 0;
    std::uint64_t reported_admitted = 0;
    double demand = 0;
    double requests_since_update = 0;
    time_point demand_updated{};
    double reported_demand = 0;
    /// Demand reported one report interval earlier.
    double previous_reported_demand = 0;
    /// Demand reported two report intervals ago, which the other nodes have received.
    double delivered_demand = 0;
    time_point demand_shifted{};
    /// Requests that may still be taken from the bucket before the next report.
    double unreported_allowance = 0;
    bool allowance_set = false;
    std::map<std::string, remote_usage> remote;
    /// Sums over `remote`.
    double remote_rate = 0;
    double remote_demand = 0;
  };

  /// @return a level in [0, 1) that differs from node to node.
  double initial_share_level(const std::string& account) const;
  /// @return the account's bucket; a new one has been filling since this node's start.
  bucket& find_or_create_bucket(time_point now, const std::string& account);
  bucket& advance(time_point now, const account& of);
  void advance(time_point now, const std::string& account, bucket& value) const;
  void advance_demand(time_point now, bucket& value) const;
  /// @return part of the refill that this node may spend. Its demand counts once the other nodes
  /// have received it; otherwise each node of a restarted fleet would take the whole rate until the
  /// first reports arrive.
  double share(const bucket& value) const;
  /// @return fraction of the fleet, this node included, that has reported.
  double reporting_fraction() const;

  bool start_full_;
  std::uint64_t seed_;
  double tolerance_ = 0;
  /// Time of the first call.
  std::optional<time_point> started_;
  /// 0 before it is known.
  std::size_t fleet_size_ = 0;
  std::set<std::string> reporting_nodes_;
  /// Incarnation of the last whole report of each node.
  std::map<std::string, std::uint64_t> whole_report_incarnations_;
  bool report_due_ = false;
  std::unordered_map<std::string, bucket> buckets_;
};

/// Limits the retries that a node sends to each service to a fraction of its requests to it. Each
/// node keeps its own budget, so that no message is needed and the limit holds in partitions.
class retry_budget {
 public:
  struct options {
    /// Retries allowed for each request.
    double ratio = 0.1;
    /// Retries allowed in one window in addition to the ratio.
    double reserve = 2;
    seconds window{10};
  };
  explicit retry_budget(options values) : options_(values) {}
  void set_options(options values) { options_ = values; }

  /// Counts a request; its retries are not counted as further requests.
  void requested(time_point now, const std::string& service);
  /// Counts a request that is itself a repeat, since a repeated run made it. It uses up the budget
  /// for retries but is never refused.
  void repeated(time_point now, const std::string& service);
  /// Takes one retry from the budget.
  /// @return false when the budget is used up; the retry must not be sent.
  bool take(time_point now, const std::string& service);

 private:
  struct history {
    std::deque<time_point> requests;
    std::deque<time_point> retries;
  };
  void prune(time_point now, history& value) const;

  options options_;
  std::unordered_map<std::string, history> services_;
};

/// Calls that one run of a route makes of another route, on average.
struct call_ratio {
  std::string parent;
  std::string child;
  double calls = 0;
  /// Runs of the parent behind the mean; the weight of this report.
  double runs = 0;

  bool operator==(const call_ratio&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(parent, child, calls, runs);
  }
};

/// Mean time for which a run of a route holds a slot of its service.
struct route_cost {
  std::string route;
  std::string service;
  double slot_seconds = 0;
  /// Runs behind the mean; the weight of this report.
  double runs = 0;

  bool operator==(const route_cost&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(route, service, slot_seconds, runs);
  }
};

/// Estimates at one target how many calls runs of each route make. The calls don't identify the run
/// that made them, so their number in each short interval is regressed on the time for which runs
/// of each route were in progress (non-negative least squares with exponential forgetting). Routes
/// without a significant contribution are left out, so that a route that happens to run at the same
/// time is not taken for a cause.
///
/// The work does not grow with the number of routes: only the busiest ones are parents of their
/// own, the others are regressed as one. Routes that no longer run are forgotten.
class call_observer {
 public:
  /// A run begins or ends at the target, however it ends.
  void run_started(time_point now, const std::string& route);
  void run_ended(time_point now, const std::string& route);
  /// A run was answered after holding a slot for this long.
  void run_answered(const std::string& route, const std::string& service, duration held);
  void call_made(const std::string& route) { children_[route].interval_calls += 1; }
  /// Ends an interval; call it every 50 ms.
  void end_interval(time_point now);
  std::vector<call_ratio> ratios() const;
  std::vector<route_cost> costs() const;
  /// @return number of routes that are remembered.
  std::size_t routes() const { return routes_.size(); }

 private:
  static constexpr std::size_t max_parents = 12;
  /// Column of the routes that are regressed as one.
  static constexpr std::size_t pooled = max_parents;
  /// One number for each parent, and one for the pooled routes.
  using columns = std::array<double, max_parents + 1>;

  struct route_activity {
    double runs = 0;
    time_point updated{};
    /// Run-seconds in this interval.
    double exposure = 0;
    /// Decayed sum of run-seconds.
    double recent_exposure = 0;
    std::size_t column = pooled;
    /// Service at which the runs were answered, their time and their number.
    std::string service;
    double answered_seconds = 0;
    double answered_runs = 0;
  };
  struct child_activity {
    double interval_calls = 0;
    /// Decayed sums of squared calls, and of products of run-seconds and calls.
    double squares = 0;
    columns products{};
  };

  /// Calls a second of a run, by parent, and the squared error that remains.
  struct fit {
    columns rates{};
    double error = 0;
  };

  route_activity& advance(time_point now, const std::string& route);
  void forget_idle_routes();
  /// Tells the busiest routes apart.
  void assign_columns();
  void clear_column(std::size_t column);
  fit fit_rates(const child_activity& child, const std::vector<std::size_t>& parents) const;
  /// Fits the child's calls and leaves out parents without a significant contribution.
  fit fit_significant_parents(const child_activity& child) const;

  std::map<std::string, route_activity> routes_;
  /// Route of each column; empty when the column is free.
  std::array<std::string, max_parents> parents_;
  /// Decayed sums of products of run-seconds.
  std::array<columns, max_parents + 1> exposure_products_{};
  std::map<std::string, child_activity> children_;
  double intervals_ = 0;
};

/// Estimates which calls of a target were made by repeated runs. A retry at the top of a call graph
/// repeats all calls below it, so that each service below must count them against its budget. The
/// calls don't identify the run that made them, so as many calls are taken for repeats as repeated
/// runs are expected to make.
class repeat_tracker {
 public:
  /// Expected calls that are not made within this time are dropped; the run may have failed early.
  static constexpr seconds lifetime{3};

  /// @param ratios calls of the runs at this target.
  void set_ratios(std::vector<call_ratio> ratios) { ratios_ = std::move(ratios); }
  /// A run that is a repeat has started at the target.
  void repeat_started(time_point now, const std::string& route);
  /// The target has made a call.
  /// @return true if the call counts as a repeat.
  bool call_made(time_point now, const std::string& route);

 private:
  struct expected_calls {
    double calls = 0;
    time_point last_run{};
  };

  std::vector<call_ratio> ratios_;
  std::unordered_map<std::string, expected_calls> expected_;
};

/// Keeps the requests to one target within the limit that its answers name. The limit holds for the
/// whole fleet, and the node beside the target passes on every request to it, so this node alone
/// spaces them out. It answers an overload that the target knows of and others can't see: its slots
/// stay as announced.
class target_rate_limit {
 public:
  /// Applies what an answer says.
  /// @param sent when the answered request was sent. An answer without a limit lifts the limit only
  /// if its request was sent after the limit was named; answers can overtake each other.
  /// @param requests_per_s the limit that the answer names, or nothing.
  /// @return true if the limit has changed.
  bool answered(time_point now, time_point sent, std::optional<double> requests_per_s);
  /// Forgets the limit; for another start of the target.
  void reset() { limit_.reset(); }
  /// @return the limit in requests a second, or nothing.
  std::optional<double> limit() const { return limit_; }
  /// @return true if a request may be sent now.
  bool may_send(time_point now);
  /// Counts a request that is sent.
  void sent(time_point now);
  /// @return time until the last of this many waiting requests may be sent, as far as it depends on
  /// the limit.
  duration expected_wait(std::size_t requests) const;
  /// @param slots requests that the target may run at once.
  /// @param held_s mean time for which a request holds a slot, in seconds.
  /// @return the slots that the limit allows to be in use, at least 1.
  std::size_t usable_slots(std::size_t slots, double held_s) const;

 private:
  /// @return requests a second, at least enough to learn of the limit's end.
  double rate() const;
  double burst() const;
  void advance(time_point now);

  std::optional<double> limit_;
  time_point named_at_{};
  /// Requests that may be sent at `updated_`; not kept without a limit.
  double tokens_ = 0;
  time_point updated_{};
};

/// Class of requests that admission at the entry treats alike.
struct request_class {
  std::string route;
  /// Effective priority: the account's or the route's.
  unsigned priority = 0;
  /// Priority of the route alone; decides among classes of one effective priority.
  unsigned route_priority = 0;

  auto operator<=>(const request_class&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(route, priority, route_priority);
  }
};

struct class_demand {
  request_class kind;
  /// Service at which its requests run.
  std::string service;
  /// Requests a second.
  double rate = 0;

  bool operator==(const class_demand&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(kind, service, rate);
  }
};

/// Input of admission at the entry, collected from all nodes.
struct load_picture {
  std::vector<class_demand> demand;
  std::vector<call_ratio> calls;
  std::vector<route_cost> costs;
  /// Slots that each service can keep busy.
  std::map<std::string, double> capacity;
};

/// Combines the reports of several nodes into one of each class, pair of routes and route, which
/// yields the same plan.
load_picture summarise(const load_picture& picture);
/// @return true if a class has been added or removed, or its rate has changed enough to matter to
/// admission planning.
bool demand_changed(const std::vector<class_demand>& before, const std::vector<class_demand>& now);

/// Fraction of each class to admit.
using admission_plan = std::map<request_class, double>;

struct admission_options {
  /// Part of a service's slots that demand may fill; the rest absorbs fluctuation.
  double utilisation = 0.95;
  /// No class is cut below this fraction while others are served whole, so that none is starved.
  double floor = 0.35;
};

/// @return slot-seconds that one request of the route uses at each service, including all the calls
/// that follow from it.
std::map<std::string, double> slot_cost_of(const load_picture& picture, const std::string& route,
                                           const std::string& service);
/// Reduces the least urgent classes first until no service is offered more than it can run.
admission_plan plan_admission(const load_picture& picture, const admission_options& options);

/// Admits the planned fraction of each class evenly.
class entry_admission {
 public:
  void set_plan(admission_plan plan) { plan_ = std::move(plan); }
  /// @param returning the request was refused before and was retried as instructed. It is admitted
  /// ahead of new ones, since refusing it again wastes its wait; the fraction still holds.
  /// @return false when the request must be refused.
  bool admit(const request_class& kind, bool returning);
  double fraction(const request_class& kind) const;
  const admission_plan& plan() const { return plan_; }

 private:
  admission_plan plan_;
  std::map<request_class, double> credit_;
};

/// Offered requests a second of each class at this node.
class demand_meter {
 public:
  void count(const request_class& kind, const std::string& service) { ++counts_[{kind, service}]; }
  /// Ends an interval.
  /// @return the smoothed rates.
  const std::vector<class_demand>& end_interval(duration interval);

 private:
  std::map<std::pair<request_class, std::string>, double> counts_;
  std::map<std::pair<request_class, std::string>, double> rates_;
  std::vector<class_demand> demand_;
};

} // namespace damaskledge::traffic
