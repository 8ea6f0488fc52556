/// @file
/// Stand-in for an OTLP/HTTP collector with JSON encoding.
#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "stand_ins/http_server.h"

namespace damaskledge::stand_ins {

/// The members of an OTLP span that tests look at.
struct collected_span {
  std::string trace_id;
  std::string span_id;
  /// Empty for the first span of a trace.
  std::string parent_span_id;
  std::string name;
  /// Unix nanoseconds as OTLP's JSON encoding writes them, in decimal digits.
  std::string start_time;
  std::string end_time;
  nlohmann::json attributes;
};

struct collector_counters {
  std::uint64_t requests = 0;
  std::uint64_t rejected_requests = 0;
  std::uint64_t spans = 0;
  /// Spans that are not kept any more.
  std::uint64_t dropped_spans = 0;
};

/// Accepts `POST /v1/traces`; serves `GET /control` (counts), `GET /control/traces` (ids)
/// and `GET /control/traces/<trace id>` (the spans as a tree).
class collector_server {
 public:
  /// @param kept_spans spans that are kept, the latest ones.
  collector_server(const endpoint& address, std::size_t kept_spans);
  collector_server(const collector_server&) = delete;
  collector_server& operator=(const collector_server&) = delete;
  ~collector_server() = default;

  [[nodiscard]] std::uint16_t port() const { return server_->port(); }
  [[nodiscard]] collector_counters counters() const;
  /// @return the spans of a trace, oldest first.
  [[nodiscard]] std::vector<collected_span> spans_of(const std::string& trace_id) const;
  /// @return the spans whose parent is not kept, each with its descendants under "children".
  [[nodiscard]] nlohmann::json tree_of(const std::string& trace_id) const;

 private:
  void handle(http_exchange& exchange);
  void accept(http_exchange& exchange);

  const std::size_t kept_spans_;
  mutable std::mutex mutex_;
  std::deque<collected_span> spans_;
  collector_counters counters_;
  std::unique_ptr<http_server> server_;
};

/// Reads the spans of an OTLP ExportTraceServiceRequest in JSON encoding.
/// @return the spans, or nothing when the document has another form.
std::optional<std::vector<collected_span>> parse_spans(const std::string& text);

} // namespace damaskledge::stand_ins
