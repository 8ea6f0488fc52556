/// @file
/// Structured log lines on standard output, bounded in volume and never blocking.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "common/common.h"
#include "event/event.h"

namespace damaskledge::sidecar {

/// One line: time, node, event and fields as name=value.
class log_line {
 public:
  explicit log_line(std::string_view event) : text_(event) {}
  log_line& field(std::string_view name, std::string_view value);
  log_line& field(std::string_view name, std::int64_t value);
  const std::string& text() const { return text_; }

 private:
  std::string text_;
};

/// Queues lines and writes them when standard output is writable. Lines about requests are
/// rate-limited; the number of dropped lines is logged in a line of its own.
class event_log {
 public:
  event_log(event::loop& events, std::string node);

  /// A decision about a request.
  void request(const log_line& line);
  /// A change of the node's view of the fleet, or of its own life cycle. Not rate-limited.
  void state(const log_line& line);
  /// Writes as much as standard output accepts without blocking.
  void flush();

 private:
  void append(const log_line& line);

  event::loop& loop_;
  std::string node_;
  std::string queue_;
  double allowance_;
  time_point updated_;
  std::uint64_t dropped_ = 0;
};

} // namespace damaskledge::sidecar
