#include "check/oracle.h"

#include <algorithm>

namespace damaskledge::check {

std::optional<std::string> oracle::admitted(double at_seconds, const std::string& account,
                                            const shares::limit& limit) {
  constexpr double rounding = 1e-3;
  const auto [it, added] = buckets_.try_emplace(account, bucket{limit.burst, at_seconds});
  bucket& row = it->second;
  const double gained = (at_seconds - row.at) * limit.rate * (1 + drift_);
  row.level = std::min(limit.burst, row.level + gained) - 1;
  row.at = at_seconds;
  if (row.level < -rounding) {
    return "account " + account + " got " + std::to_string(-row.level) +
           " requests more than its rate and burst";
  }
  return std::nullopt;
}

bool oracle::inside_rate(double at_seconds, const std::string& account,
                         const shares::limit& limit) {
  const auto [it, added] = demand_.try_emplace(account, bucket{limit.burst, at_seconds});
  bucket& row = it->second;
  // Clocks of processes may be slow by the drift, so that much less accrues.
  row.level = std::min(limit.burst, row.level + (at_seconds - row.at) * limit.rate * (1 - drift_));
  row.at = at_seconds;
  if (row.level < 1) {
    return false;
  }
  row.level -= 1;
  return true;
}

std::optional<std::string> oracle::ran(const id128& operation) {
  if (!runs_.insert(operation).second) {
    return "operation " + to_string(operation) + " ran twice";
  }
  return std::nullopt;
}

std::optional<std::string> oracle::told_already_run(const id128& operation) const {
  if (!runs_.contains(operation)) {
    return "operation " + to_string(operation) + " was called run, but never ran";
  }
  return std::nullopt;
}

std::optional<std::string> oracle::in_force(std::size_t process, const std::string& document,
                                            std::uint64_t version) {
  std::uint64_t& highest = versions_[{process, document}];
  if (version < highest) {
    return document + " went from version " + std::to_string(highest) + " to " +
           std::to_string(version) + " at process " + std::to_string(process);
  }
  highest = version;
  return std::nullopt;
}

} // namespace damaskledge::check
