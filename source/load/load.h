/// @file
/// Load generator: scenarios, open-loop arrivals, the run itself, measures and reports.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "common/common.h"

namespace damaskledge::load {

/// How callers of an account behave after a refusal or a failure.
struct retry_policy {
  /// Fraction of the calls whose caller retries.
  double fraction = 0;
  /// Attempts in all, the first one included.
  std::uint32_t attempts = 1;
  /// Waits for the time that the refusal gives; otherwise for `pause` only.
  bool honour_retry_after = true;
  /// Mean of the random pause before an attempt, added to the time that the refusal gives.
  milliseconds pause{50};

  bool operator==(const retry_policy&) const = default;
};

/// Where a call carries the id of its operation.
enum class operation_place : std::uint8_t {
  /// The call may run more than once.
  none,
  /// Header Idempotency-Key.
  header,
  /// Member of the body; "{operation}" in the body stands for the id.
  body
};

/// One kind of call of an account.
struct call_template {
  std::string route;
  std::string method = "GET";
  /// Path at the node, with the service.
  std::string path;
  damaskledge::importance importance = damaskledge::importance::normal;
  milliseconds deadline{1'000};
  /// Mean number of calls per second outside all phases.
  double per_second = 0;
  /// "{operation}" and "{call}" are replaced by the ids of the operation and of the call.
  std::string body;
  operation_place operation = operation_place::none;

  bool operator==(const call_template&) const = default;
};

/// The demand of one client account, and what its plan allows.
struct account_demand {
  std::string name;
  /// Requests per second of the plan.
  double rate = 0;
  /// Burst of the plan.
  double burst = 0;
  std::vector<call_template> calls;
  retry_policy retries;

  bool operator==(const account_demand&) const = default;
};

/// A stretch of the run with its own demand. Phases do not overlap.
struct phase {
  std::string name;
  duration start{0};
  duration length{0};
  /// Multiplies the demand of all accounts.
  double factor = 1;
  /// Multiplies the demand of single accounts, by name.
  std::map<std::string, double> account_factors;
  /// Replaces the retries of all accounts for the calls that start in this phase.
  std::optional<retry_policy> retries{};
  /// Something outside the scenario disturbs the fleet, for example a slowed service.
  bool disturbed = false;

  /// @return true when the demand is that of the scenario and nothing disturbs the fleet, so
  /// that the phase can be the base of comparisons.
  [[nodiscard]] bool is_base() const {
    return factor == 1 && account_factors.empty() && !retries && !disturbed;
  }
  bool operator==(const phase&) const = default;
};

struct scenario {
  std::uint64_t seed = 1;
  duration length{0};
  /// Caller ports of the nodes.
  std::vector<endpoint> nodes;
  /// Bound on the connections to all nodes together.
  std::uint32_t connections = 64;
  /// One-way delay between callers and nodes that is simulated.
  milliseconds caller_delay{0};
  /// Checks that answers end in the call's and the request's ids, as the upstream stand-in's do.
  bool check_answers = true;
  /// Slack of the judgement of refusals: a fraction of the burst, but at least one token, ...
  double slack_fraction = 0.05;
  /// ... plus what the rate gives in this time. Nodes decide up to 40 ms after the arrival.
  milliseconds slack_time{50};
  std::vector<account_demand> accounts;
  std::vector<phase> phases;

  bool operator==(const scenario&) const = default;
};

/// @return how callers of that account behave after calls that start at that time.
const retry_policy& retries_at(const scenario& value, std::uint32_t account, duration at);

/// Parses and checks a scenario in JSON with comments.
/// @param file name used in errors.
/// @return the scenario, or a `parse_error` through LEAF.
leaf::result<scenario> parse_scenario(std::string_view text, std::string_view file);

/// Keys by account name. The keys appear in no message.
using key_map = std::map<std::string, std::string>;

/// Parses a JSON object of account names and keys, with comments.
/// @return the keys, or a `parse_error` through LEAF that does not contain any key.
leaf::result<key_map> parse_keys(std::string_view text, std::string_view file);

/// One intended call.
struct arrival {
  /// Intended time of sending, from the start of the run.
  duration at{0};
  std::uint32_t account = 0;
  /// Index into the account's calls.
  std::uint32_t call = 0;

  bool operator==(const arrival&) const = default;
};

/// Draws Poisson arrivals for the whole run. The arrivals do not depend on the answers, so
/// that a slow system does not lower its own load (open loop).
/// @return the arrivals in the order of their times; the same for the same seed.
std::vector<arrival> make_arrivals(const scenario& value, std::uint64_t seed);

/// @return index of the phase at that time, or nothing between phases.
std::optional<std::size_t> phase_at(const scenario& value, duration at);

/// Token bucket of a plan, exact in the times that it is given. Times must not go back.
class token_judge {
 public:
  /// @param rate tokens per second.
  /// @param burst capacity; the bucket starts full.
  token_judge(double rate, double burst);

  /// @return tokens at that time.
  double tokens(duration at);
  /// Takes a token if there is one.
  /// @return whether there was.
  bool take(duration at);
  /// Takes a token; a missing one is not owed, so that one request too many does not make
  /// later ones look wrong too.
  void spend(duration at);

 private:
  void refill(duration at);

  double rate_;
  double burst_;
  double tokens_;
  duration refilled_at_{0};
};

/// Quantiles of latencies in milliseconds.
struct quantiles {
  std::uint64_t count = 0;
  double p50 = 0;
  double p90 = 0;
  double p99 = 0;
  double p999 = 0;
  /// Exact.
  double max = 0;
};

/// Histogram of latencies with a logarithmic axis.
class latency_histogram {
 public:
  /// Range of the axis in milliseconds; values outside count at its ends.
  static constexpr double lowest_ms = 0.01;
  static constexpr double highest_ms = 100'000;
  static constexpr unsigned bins = 2'000;

  latency_histogram();
  latency_histogram(latency_histogram&&) noexcept;
  latency_histogram& operator=(latency_histogram&&) noexcept;
  ~latency_histogram();

  void add(duration latency);
  [[nodiscard]] std::uint64_t count() const;
  /// @param q between 0 and 1.
  /// @return the value with rank ceil(q * count) in milliseconds; 0 without values.
  [[nodiscard]] double quantile(double q) const;
  [[nodiscard]] quantiles summary() const;
  /// @return the largest relative difference between `quantile` and the value with that
  /// rank, for values within the range: half a bin on the logarithmic axis.
  static double relative_error();

 private:
  struct storage;
  std::unique_ptr<storage> storage_;
};

/// What became of one attempt.
enum class result_kind : std::uint8_t {
  /// A 2xx answer that is whole, the caller's own, and within the deadline.
  good,
  /// As `good`, but after the deadline.
  late,
  /// A 2xx answer that is truncated or belongs to another request.
  wrong,
  /// A refusal of the node, with a reason.
  refused,
  /// Any other answer, for example an error of the upstream.
  failed,
  /// No answer within the deadline and a margin; the connection was closed.
  timed_out,
  /// The connection could not be opened, or ended without an answer.
  connection_failed,
  /// All connections were busy until the deadline, so nothing was sent.
  not_sent
};

/// @return the name used in reports, for example "timed-out".
std::string_view to_string(result_kind kind);

/// One attempt as it happened. Times count from the start of the run.
struct attempt_record {
  /// Index into the arrivals.
  std::uint32_t arrival = 0;
  /// From 1.
  std::uint32_t attempt = 1;
  duration intended{0};
  duration sent{0};
  duration ended{0};
  int status = 0;
  result_kind result = result_kind::not_sent;
  std::optional<refusal_reason> reason;
  /// What the refusal says about the execution; "unknown" when there is no refusal.
  outcome state = outcome::unknown;
  /// Time that the refusal gives; zero without one.
  milliseconds retry_after{0};
  bool replayed = false;
  /// No further attempt follows.
  bool last = true;

  bool operator==(const attempt_record&) const = default;
};

/// One run of an operation, as an upstream's execution log has it.
struct execution {
  std::string service;
  std::string account;
  std::string operation;
};

/// What a run left behind.
struct run_result {
  std::vector<arrival> arrivals;
  std::vector<attempt_record> attempts;
  /// Arrivals and attempts that went to an upstream directly, for comparison.
  std::vector<arrival> direct_arrivals;
  std::vector<attempt_record> direct_attempts;
  std::uint64_t opened_connections = 0;
};

/// What `run` needs beyond the scenario.
struct run_options {
  key_map keys;
  /// Upstream that gets a second, independent stream of the same calls; port 0 for none.
  endpoint direct;
  /// Service whose calls go to `direct`; empty for all.
  std::string direct_service;
  /// Told the time from which the run counts, shortly before it; empty for none. Lets a script
  /// that disturbs the fleet follow the phases.
  std::function<void(unix_milliseconds)> starting;
};

/// Runs a scenario and blocks until all attempts have ended.
/// @return the attempts, or an `environment_error` through LEAF when an account has no key.
leaf::result<run_result> run(const scenario& value, const run_options& options);

/// Reads the execution logs that upstream stand-ins serve at /control/executions.
struct executions_result {
  std::vector<execution> executions;
  std::uint64_t leaked_keys = 0;
};
leaf::result<executions_result> fetch_executions(const std::vector<endpoint>& upstreams);

/// Measures of one account.
struct account_report {
  std::string name;
  std::uint64_t offered = 0;
  /// Calls within the plan's rate and burst.
  std::uint64_t in_rate = 0;
  std::uint64_t good = 0;
  /// Sum of min(good, in_rate) over stretches of `served_window`, divided by `in_rate`. Which
  /// of the calls of an account above its rate are answered is up to the nodes, so any call of
  /// the same stretch counts.
  double served = 1;
  std::uint64_t refused_attempts = 0;
  /// Refusals while the plan's bucket, charged with the admitted attempts, had tokens to
  /// spare; with slack.
  std::uint64_t refused_in_rate = 0;
  /// Those of them whose reason is the rate.
  std::uint64_t rate_refused_in_rate = 0;
  /// Calls inside the rate that were refused: those that ended with such a refusal, but in each
  /// stretch of `served_window` at most as many as lack to the in-rate demand. An account above
  /// its rate has more refusals than that while its bucket has tokens.
  std::uint64_t calls_refused_in_rate = 0;
  /// Attempts admitted while that bucket lacked tokens; with slack.
  std::uint64_t admitted_above_rate = 0;
  /// Slack of the last four figures in tokens.
  double slack_tokens = 0;
};

/// Calls of one route in a phase.
struct route_report {
  std::uint64_t offered = 0;
  /// Calls within the plan's rate and burst of their account.
  std::uint64_t in_rate = 0;
  std::uint64_t good = 0;
};

/// Measures of one phase.
struct phase_report {
  std::string name;
  double seconds = 0;
  std::uint64_t offered = 0;
  std::uint64_t good = 0;
  /// Whole requests per second.
  double goodput = 0;
  /// From the intended time of good answers.
  quantiles latency;
  /// Time from the phase's end until the service is as in the base phase. Nothing for base
  /// phases and when it did not happen before the next phase or the end of the run.
  std::optional<double> recovery_seconds;
  bool is_base = false;
  /// Attempts of the calls that start in the phase.
  std::uint64_t attempts = 0;
  /// Final results of the calls, by name.
  std::map<std::string, std::uint64_t> results;
  /// Refused attempts by reason.
  std::map<std::string, std::uint64_t> refusals;
  std::map<std::string, route_report> routes;
  /// In the order of the scenario; calls and attempts count by the start of the call.
  std::vector<account_report> accounts;
};

/// Demand and goodput of one interval of `timeline_step`.
struct timeline_entry {
  /// Calls with their intended time in the interval.
  std::uint64_t offered = 0;
  /// Those of them within the plan's rate and burst of their account.
  std::uint64_t in_rate = 0;
  /// Good answers that ended in the interval.
  std::uint64_t good = 0;

  bool operator==(const timeline_entry&) const = default;
};

/// Latency through the node and directly, in the same run.
struct direct_report {
  quantiles node;
  quantiles direct;
};

struct report {
  double seconds = 0;
  std::uint64_t offered = 0;
  std::uint64_t good = 0;
  /// Whole requests per second.
  double goodput = 0;
  std::vector<phase_report> phases;
  /// From the start of the run; answers after its end are left out.
  std::vector<timeline_entry> timeline;
  std::vector<account_report> accounts;
  /// Index of the account with the lowest `served`; nothing without in-rate demand.
  std::optional<std::size_t> worst_served;
  std::uint64_t refused_in_rate = 0;
  std::uint64_t rate_refused_in_rate = 0;
  std::uint64_t admitted_above_rate = 0;
  /// Final results of the calls, by name.
  std::map<std::string, std::uint64_t> results;
  /// Refused attempts by reason.
  std::map<std::string, std::uint64_t> refusals;
  /// Refused attempts by what the refusal says about the execution.
  std::map<std::string, std::uint64_t> outcomes;
  /// Share of good answers by importance.
  std::map<std::string, double> good_share_by_importance;
  std::uint64_t attempts = 0;
  std::uint64_t replayed = 0;
  /// Executions of operations beyond the first; nothing when no execution log was read.
  std::optional<std::uint64_t> duplicates;
  std::optional<std::uint64_t> leaked_keys;
  /// Good answers from the intended time of the first attempt.
  quantiles latency_from_intended;
  /// The same from the time of sending the attempt, which hides waiting in the tool.
  quantiles latency_from_sent;
  double quantile_relative_error = 0;
  /// Attempts sent more than `late_send_threshold` after their intended time.
  std::uint64_t late_sends = 0;
  quantiles send_delay;
  std::uint64_t opened_connections = 0;
  std::optional<direct_report> direct;

  /// @return true when an answer was wrong, an operation ran twice or a key leaked.
  [[nodiscard]] bool promise_broken() const;
};

/// A send is late from here on; below it are the wake-up times of the tool's own threads.
inline constexpr milliseconds late_send_threshold{5};
/// Stretch in which any answered call makes up for one inside the rate. Calls answered above
/// the rate at one time are no excuse for calls lost at another.
inline constexpr seconds served_window{5};
/// Interval of the time series of goodput.
inline constexpr milliseconds timeline_step{200};
/// Window and step in which recovery is looked for.
inline constexpr milliseconds recovery_window{1'000};
inline constexpr milliseconds recovery_step{100};
/// Recovered: share of good calls of at least this fraction of the base phase's, ...
inline constexpr double recovered_goodput = 0.99;
/// ... and a 90th percentile of latency of at most this multiple of the base phase's.
inline constexpr double recovered_latency = 1.2;

/// Computes all measures of a run.
/// @param executions logs of the upstreams, when they were read.
report measure(const scenario& value, const run_result& result,
               const std::optional<executions_result>& executions);

/// @return text tables for people.
std::string to_text(const report& value);
/// @return the report as a JSON document.
std::string to_json_text(const report& value);

} // namespace damaskledge::load
