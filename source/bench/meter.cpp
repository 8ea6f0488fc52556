#include "bench/meter.h"

#include <algorithm>
#include <ctime>

#include <malloc.h>

namespace damaskledge::bench {

double processor_seconds() {
  timespec value{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &value);
  return static_cast<double>(value.tv_sec) + static_cast<double>(value.tv_nsec) * 1e-9;
}

double allocated_bytes() {
  const auto info = mallinfo2();
  return static_cast<double>(info.uordblks) + static_cast<double>(info.hblkhd);
}

void collector::add(const std::string& name, const std::string& x_unit, const std::string& y_unit,
                    double x, double y) {
  auto found =
      std::find_if(all_.begin(), all_.end(), [&](const series& it) { return it.name == name; });
  if (found == all_.end()) {
    all_.push_back({name, x_unit, y_unit, {}, {}});
    found = std::prev(all_.end());
  }
  found->points.push_back({x, y});
}

std::vector<series> collector::finish() {
  for (series& it : all_) {
    it.fitted = fit_line(it.points);
  }
  return std::move(all_);
}

} // namespace damaskledge::bench
