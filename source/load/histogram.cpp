#include <algorithm>
#include <cmath>

#include <boost/histogram.hpp>

#include "load/load.h"

namespace damaskledge::load {

namespace {

namespace bh = boost::histogram;
using axis_type = bh::axis::regular<double, bh::axis::transform::log>;

} // namespace

struct latency_histogram::storage {
  using histogram_type = decltype(bh::make_histogram_with(std::vector<std::uint64_t>(),
                                                          axis_type(bins, lowest_ms, highest_ms)));

  histogram_type histogram =
      bh::make_histogram_with(std::vector<std::uint64_t>(), axis_type(bins, lowest_ms, highest_ms));
  std::uint64_t count = 0;
  double max = 0;
};

latency_histogram::latency_histogram() : storage_(std::make_unique<storage>()) {}
latency_histogram::latency_histogram(latency_histogram&&) noexcept = default;
latency_histogram& latency_histogram::operator=(latency_histogram&&) noexcept = default;
latency_histogram::~latency_histogram() = default;

void latency_histogram::add(duration latency) {
  const double value = std::chrono::duration<double, std::milli>(latency).count();
  // The overflow bin of the axis has no centre, so values outside move to its ends.
  const double within = std::clamp(value, lowest_ms, highest_ms * 0.999'999);
  storage_->histogram(within);
  ++storage_->count;
  storage_->max = std::max(storage_->max, value);
}

std::uint64_t latency_histogram::count() const {
  return storage_->count;
}

double latency_histogram::quantile(double q) const {
  if (storage_->count == 0) {
    return 0;
  }
  const auto rank = std::max<std::uint64_t>(
      1, static_cast<std::uint64_t>(std::ceil(q * static_cast<double>(storage_->count) - 1e-9)));
  std::uint64_t seen = 0;
  for (unsigned it = 0; it < bins; ++it) {
    seen += storage_->histogram.at(static_cast<int>(it));
    if (seen >= rank) {
      const auto& bin = storage_->histogram.axis().bin(static_cast<int>(it));
      return std::sqrt(bin.lower() * bin.upper());
    }
  }
  return highest_ms;
}

quantiles latency_histogram::summary() const {
  return {storage_->count, quantile(0.5),   quantile(0.9),
          quantile(0.99),  quantile(0.999), storage_->max};
}

double latency_histogram::relative_error() {
  return std::pow(highest_ms / lowest_ms, 0.5 / bins) - 1;
}

} // namespace damaskledge::load
