/// @file
/// Metrics, log lines, spans and the refusal log of a node's requests.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "common/common.h"
#include "config/config.h"

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
  /// W3C trace identifiers in hexadecimal; empty parent at the root.
  std::string trace_id;
  std::string span_id;
  std::string parent_span_id;
  bool sampled = true;
  unix_milliseconds started_unix = 0;
};

/// Thread-safe.
class reporter {
 public:
  explicit reporter(const config::node_settings& settings);
  ~reporter();
  reporter(const reporter&) = delete;
  reporter& operator=(const reporter&) = delete;

  /// Reads a traceparent header, or starts a trace when it is missing or malformed.
  void start_trace(request_report& report, std::string_view traceparent) const;
  /// @return the traceparent header for calls made by this hop.
  std::string traceparent_of(const request_report& report) const;
  void finished(const request_report& report);
  /// Counts events that have no request, by name.
  void count(std::string_view event);
  /// Gauges read when metrics are asked for.
  void set_gauge(std::string_view name, std::string_view label, double value);

  /// @return Prometheus text.
  std::string exposition();
  /// @return JSON with the refusal of a request, or nothing when it is not known.
  std::optional<std::string> explain(const std::string& request) const;
  void stop();

 private:
  class implementation;
  std::unique_ptr<implementation> implementation_;
};

} // namespace damaskledge::node
