/// @file
/// Metrics, structured log lines, trace contexts and spans, and the log of refusals. Everything
/// here may be called from any thread.
#pragma once

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include "common/common.h"

namespace damaskledge::telemetry {

/// What happened to tokens of an account's rate.
enum class token_event : std::uint8_t { requested, granted, spent, expired, transferred };
/// Result of asking for a claim.
enum class claim_event : std::uint8_t {
  claimed,
  already_claimed,
  already_run,
  body_differs,
  released,
  unavailable,
};
/// Result of a call to the platform's object API.
enum class platform_event : std::uint8_t { succeeded, conflict, refused, failed, deferred };

/// Limit of one target as shown in the metrics.
struct limit_sample {
  std::string target;
  double limit = 0;
  std::uint32_t in_flight = 0;
};

/// Counters, gauges and histograms of one node.
class metrics {
 public:
  metrics();
  ~metrics();
  metrics(const metrics&) = delete;
  metrics& operator=(const metrics&) = delete;

  /// A request got a complete response.
  void served(std::string_view service);
  /// A request was refused. Counts as a request and as a refusal.
  /// @param service name from the configuration; empty when the request names none that is known.
  void refused(std::string_view service, refusal_reason reason, outcome state);
  void retried(std::string_view service);
  void tokens(token_event event, double n);
  void claim(claim_event event);
  void platform_call(platform_event event);
  /// A frame between nodes failed a check.
  void frame_dropped();
  void spans_dropped(std::uint64_t n);
  void shed_level(std::string_view service, std::uint32_t level);
  /// Replaces the limits of all targets; targets that are not given are no longer shown.
  void limits(const std::vector<limit_sample>& samples);
  void queue_delay(std::string_view service, duration waited);
  /// Time that the node added to a request that was served.
  void added_latency(duration added);

  /// Sets a gauge that is read from another part when metrics are asked for.
  /// @param name full metric name, a constant of the program.
  void set(const std::string& name, const std::string& help, double value);

  /// @return all metrics in the Prometheus text format, with the invariant violations of the
  /// process.
  std::string exposition() const;

 private:
  struct state;
  std::unique_ptr<state> state_;
};

/// Replaces the secret part of every key ("dlk_<id>_<secret>") in a text by "***".
std::string redact_keys(std::string_view text);

/// Builds one structured log line: event=... request=... account=... reason=... and further
/// fields. Values are escaped, so that a caller cannot forge a line or a field, and never contain
/// the secret of a key.
class log_event {
 public:
  explicit log_event(std::string_view name);

  log_event& request(std::string_view id) { return field("request", id); }
  log_event& account(std::string_view name) { return field("account", name); }
  log_event& reason(refusal_reason value) { return field("reason", to_string(value)); }
  /// @param name a constant of the program, never text from outside.
  /// @param value cut after 512 bytes.
  log_event& field(std::string_view name, std::string_view value);
  log_event& field(std::string_view name, std::int64_t value);

  const std::string& text() const { return text_; }
  void info() const;
  void warning() const;
  void error() const;

 private:
  std::string text_;
};

/// Position in a trace. Source: W3C Trace Context, https://www.w3.org/TR/trace-context/.
struct trace_context {
  id128 trace_id;
  std::uint64_t span_id = 0;
  std::uint8_t flags = 0;

  bool sampled() const { return (flags & 1U) != 0; }
  bool operator==(const trace_context&) const = default;
};

/// @return the context of a `traceparent` header, or nothing when any part is malformed.
std::optional<trace_context> parse_traceparent(std::string_view header);
/// @return the value of a `traceparent` header, version 00.
std::string to_traceparent(const trace_context& value);
/// @return a new sampled trace.
trace_context new_trace();
/// @return the same trace with a new span id.
trace_context child_of(const trace_context& parent);
/// @return nanoseconds since the Unix epoch.
std::uint64_t unix_nanoseconds();

/// Kinds of spans, with the numbers of OTLP.
enum class span_kind : std::uint8_t { internal = 1, server = 2, client = 3 };

using attribute_value = std::variant<std::string, std::int64_t, bool>;

/// A finished span.
struct span {
  std::string name;
  trace_context context;
  /// 0 for the first span of a trace.
  std::uint64_t parent_span_id = 0;
  span_kind kind = span_kind::internal;
  std::uint64_t start_unix_nano = 0;
  std::uint64_t end_unix_nano = 0;
  std::vector<std::pair<std::string, attribute_value>> attributes;
  bool failed = false;
};

/// @return an ExportTraceServiceRequest in the JSON encoding of OTLP. Keys in texts are redacted
/// and invalid UTF-8 is replaced.
/// @param resource attributes of the process, for example service.name.
/// Source: OpenTelemetry protocol 1.x, opentelemetry/proto/collector/trace/v1.
std::string to_otlp_json(const std::vector<span>& spans,
                         const std::vector<std::pair<std::string, std::string>>& resource);

struct exporter_settings {
  /// OTLP/HTTP collector; port 0 turns the export off.
  endpoint collector;
  std::vector<std::pair<std::string, std::string>> resource;
  std::size_t max_queue = 4'096;
  std::size_t max_batch = 512;
  milliseconds interval{1'000};
  milliseconds timeout{2'000};
  /// After a failed export the next one waits this long, doubling up to the maximum.
  milliseconds backoff{1'000};
  milliseconds backoff_max{30'000};
};

/// Queue of spans and the thread that exports them in batches. `record` takes a short lock and
/// never waits for the collector.
class span_exporter {
 public:
  explicit span_exporter(exporter_settings options);
  /// Exports what is queued, within the timeout, and stops the thread.
  ~span_exporter();
  span_exporter(const span_exporter&) = delete;
  span_exporter& operator=(const span_exporter&) = delete;

  /// Queues a span; a full queue drops it. Spans of traces that are not sampled are ignored.
  void record(span value);
  std::uint64_t exported() const { return exported_.load(); }
  /// @return spans dropped because the queue was full or the collector did not take them.
  std::uint64_t dropped() const { return dropped_.load(); }

 private:
  void run(const std::stop_token& stop);
  bool send(const std::vector<span>& batch) const;

  exporter_settings options_;
  std::mutex mutex_;
  std::condition_variable_any wake_;
  std::deque<span> queue_;
  std::atomic<std::uint64_t> exported_{0};
  std::atomic<std::uint64_t> dropped_{0};
  std::jthread thread_;
};

/// One refusal, for `explain`.
struct refusal_entry {
  std::string request;
  unix_milliseconds at = 0;
  std::string account;
  std::string route;
  refusal_reason reason{};
  outcome state = outcome::not_run;
  std::string detail;

  bool operator==(const refusal_entry&) const = default;
};

/// The last refusals of a node by request id.
class refusal_log {
 public:
  explicit refusal_log(std::size_t max_entries = 4'096);

  /// Adds an entry; the oldest gives way when the log is full. Keys in its texts are redacted and
  /// texts are cut after 512 bytes.
  void add(refusal_entry entry);
  /// @return the latest refusal of the request.
  std::optional<refusal_entry> find(std::string_view request) const;
  /// @return up to `n` refusals, the latest first.
  std::vector<refusal_entry> latest(std::size_t n) const;

 private:
  std::size_t max_entries_;
  mutable std::mutex mutex_;
  /// Sequence number of the first entry of `entries_`.
  std::uint64_t first_ = 0;
  std::deque<refusal_entry> entries_;
  std::unordered_map<std::string, std::uint64_t> by_request_;
};

} // namespace damaskledge::telemetry
