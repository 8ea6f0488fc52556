/// @file
/// Metrics, log lines, spans and the refusal log of a node's requests.
#pragma once

#include <atomic>
#include <cstdint>
#include <optional>
#include <string>

#include "common/common.h"
#include "config/config.h"
#include "telemetry/telemetry.h"

namespace damaskledge::node {

/// What is reported of one request. Never holds a key.
struct request_report {
  id128 request;
  std::string account;
  std::string service;
  std::string route;
  bool inner = false;
  int status = 0;
  std::optional<refusal> refused;
  std::uint32_t attempts = 0;
  std::uint32_t retries = 0;
  time_point started{};
  time_point ended{};
  /// Time spent waiting for upstreams, so that the rest is the node's own.
  duration upstream_time{0};
  duration queue_time{0};
  telemetry::trace_context trace;
  /// 0 when this hop starts the trace.
  std::uint64_t parent_span_id = 0;
  std::uint64_t started_unix_nano = 0;
};

/// Thread-safe.
class reporter {
 public:
  explicit reporter(const config::node_settings& settings);

  /// Reads a traceparent header, or starts a trace when it is missing or malformed.
  void start_trace(request_report& report, std::string_view traceparent) const;
  /// @return the traceparent header for calls made by this hop.
  std::string traceparent_of(const request_report& report) const;
  void finished(const request_report& report);
  /// A connection was refused before its request was decided on.
  void refused_early(refusal_reason reason);
  telemetry::metrics& metrics() { return metrics_; }

  /// @return JSON with the refusal of a request, or nothing when it is not known.
  std::optional<std::string> explain(const std::string& request) const;

 private:
  telemetry::metrics metrics_;
  telemetry::refusal_log refusals_;
  telemetry::span_exporter exporter_;
};

} // namespace damaskledge::node
