/// @file
/// Platform of a randomised run: objects with versions in memory, and faults.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "platform/platform.h"

namespace damaskledge::check {

/// Objects with versions that only rise. Times and delays are the simulation's.
class simulated_platform {
 public:
  bool outage = false;
  bool slow = false;
  bool loses_answers = false;
  bool stale_reads = false;

  /// Carries out a call at once. Watches that find nothing newer return nothing.
  /// @return the answer that the client gives, or nothing for a watch that must wait.
  std::optional<platform::answer> execute(const platform::call& what, std::mt19937_64& random);

  /// Objects by name, as they are now.
  struct row {
    platform::object current;
    std::optional<platform::object> previous;
  };
  using rows = std::map<std::string, row>;
  rows copy() const { return rows_; }
  /// Goes back to a copy: later writes are gone, and a new era begins.
  void restore(rows copy);

  /// Content and version, for the oracle.
  const platform::object* find(const std::string& name) const;

 private:
  platform::answer read(const std::string& name, std::mt19937_64& random) const;
  platform::answer write(const platform::write& what, std::mt19937_64& random);

  rows rows_;
  std::uint64_t era_ = 1;
};

} // namespace damaskledge::check
