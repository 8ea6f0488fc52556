#include <algorithm>
#include <cmath>

#include "bench/bench.h"

namespace damaskledge::bench {

line fit_line(const std::vector<point>& points) {
  line result;
  if (points.empty()) {
    return result;
  }
  const auto n = static_cast<double>(points.size());
  double mean_x = 0;
  double mean_y = 0;
  double largest_y = 0;
  for (const point& it : points) {
    mean_x += it.x / n;
    mean_y += it.y / n;
    largest_y = std::max(largest_y, std::abs(it.y));
  }
  double covariance = 0;
  double variance = 0;
  for (const point& it : points) {
    covariance += (it.x - mean_x) * (it.y - mean_y);
    variance += (it.x - mean_x) * (it.x - mean_x);
  }
  result.slope = variance > 0 ? covariance / variance : 0;
  result.intercept = mean_y - result.slope * mean_x;
  if (largest_y <= 0) {
    return result;
  }
  for (const point& it : points) {
    const double residual = std::abs(it.y - (result.slope * it.x + result.intercept));
    const double scale = it.y == 0 ? largest_y : std::abs(it.y);
    result.largest_error = std::max(result.largest_error, residual / scale);
  }
  return result;
}

} // namespace damaskledge::bench
