/// @file
/// Processor time, allocated memory and collection of series. Internal to the bench library.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "bench/bench.h"

namespace damaskledge::bench {

/// @return processor time of the calling thread, in seconds.
double processor_seconds();
/// @return bytes that the process has allocated and not freed, without the allocator's overhead
/// for free blocks.
double allocated_bytes();

/// Collects points into series in the order of their first point.
class collector {
 public:
  void add(const std::string& name, const std::string& x_unit, const std::string& y_unit, double x,
           double y);
  /// @return the series with their lines.
  std::vector<series> finish();

 private:
  std::vector<series> all_;
};

/// @return processor time of one call of `function` in microseconds.
template <class Function>
double microseconds_per_call(std::uint64_t calls, Function function) {
  const double before = processor_seconds();
  for (std::uint64_t it = 0; it < calls; ++it) {
    function(it);
  }
  return (processor_seconds() - before) * 1e6 / static_cast<double>(calls);
}

void measure_fleet(const options& wanted, collector& into);
void measure_changes(const options& wanted, collector& into);
void measure_core_memory(const options& wanted, collector& into);
void measure_rules(const options& wanted, collector& into);
void measure_tokens(const options& wanted, collector& into);
void measure_claims(const options& wanted, collector& into);
void measure_request_path(const options& wanted, collector& into);

} // namespace damaskledge::bench
