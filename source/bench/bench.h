/// @file
/// Measurements of the control part at several sizes, with a straight line fitted to each series.
/// docs/CAPACITY.md computes the figures of the design size from these lines.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "common/common.h"

namespace damaskledge::bench {

struct point {
  double x = 0;
  double y = 0;

  bool operator==(const point&) const = default;
};

/// y = slope * x + intercept.
struct line {
  double slope = 0;
  double intercept = 0;
  /// Largest relative residual: |y - line(x)| / |y| over the points. A point with y = 0 is compared
  /// with the largest |y| of the series.
  double largest_error = 0;
};

/// Least-squares line through the points. With fewer than two different x, the slope is 0 and the
/// intercept the mean.
line fit_line(const std::vector<point>& points);

/// One figure measured at several sizes.
struct series {
  std::string name;
  /// What x counts, for example "members".
  std::string x_unit;
  std::string y_unit;
  std::vector<point> points;
  line fitted;
};

struct options {
  /// Fewer and smaller sizes, for tests: under 20 s.
  bool quick = false;
  std::uint64_t seed = 1;
};

struct report {
  std::vector<series> all;
  bool quick = false;
  unix_milliseconds started_at = 0;
  /// Processors and memory of the machine.
  unsigned processors = 0;
  std::uint64_t memory_bytes = 0;
  /// Processor time and elapsed time of the whole run.
  double processor_seconds = 0;
  double elapsed_seconds = 0;
};

/// Runs every measurement on the calling thread. Times are processor time of this thread, so that
/// other processes on the machine change them little.
report run(const options& wanted);

/// @return a table with points, slope, intercept and fit error of each series.
std::string to_text(const report& value);
std::string to_json(const report& value);

} // namespace damaskledge::bench
