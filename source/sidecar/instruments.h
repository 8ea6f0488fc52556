/// @file
/// Counters and latency histograms of a node, in the Prometheus text format.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <string_view>

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include "common/common.h"

namespace damaskledge::sidecar {

class instruments {
 public:
  instruments();

  /// A target's answer was delivered.
  void answered(const std::string& route, int status, duration taken);
  /// The node answered by itself.
  void failed(const std::string& route, int status, const std::string& reason);
  void repeated(const std::string& route);
  void caller_left() { callers_left_.Increment(); }
  void store_call(const std::string& result);
  /// An exception has interrupted an event.
  void unexpected_error(std::string_view where);
  /// The event loop was occupied by one round of events for this long.
  void loop_stalled(duration taken);
  /// @param total bytes since the start.
  void bytes_sent(std::string_view frame, const std::string& scope, std::uint64_t total);
  void set(const std::string& name, double value);
  std::string exposition() const;

 private:
  std::shared_ptr<prometheus::Registry> registry_;
  prometheus::Family<prometheus::Counter>& answers_;
  prometheus::Family<prometheus::Counter>& failures_;
  prometheus::Family<prometheus::Counter>& repeats_;
  prometheus::Family<prometheus::Counter>& store_calls_;
  prometheus::Family<prometheus::Counter>& errors_;
  prometheus::Family<prometheus::Histogram>& latency_;
  prometheus::Family<prometheus::Gauge>& gauges_;
  prometheus::Family<prometheus::Gauge>& bytes_sent_;
  prometheus::Counter& callers_left_;
  prometheus::Histogram& stalls_;
  /// Children by their labels; the library's own look-up copies the label map on each call.
  std::map<std::string, prometheus::Counter*> counters_;
  std::map<std::string, prometheus::Histogram*> histograms_;
};

} // namespace damaskledge::sidecar
