/// @file
/// What is allowed in a randomised run. It sees only outcomes, never the state of the code.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "common/common.h"
#include "shares/shares.h"

namespace damaskledge::check {

/// Each function returns what is wrong, or nothing.
class oracle {
 public:
  /// @param drift largest relative error of a process's clock.
  explicit oracle(double drift) : drift_(drift) {}

  /// A request of an account was admitted somewhere in the fleet.
  std::optional<std::string> admitted(double at_seconds, const std::string& account,
                                      const shares::limit& limit);
  /// A request of an account arrives.
  /// @return true when it is inside the account's rate and burst, counting only such requests.
  bool inside_rate(double at_seconds, const std::string& account, const shares::limit& limit);
  /// An operation was run by an upstream.
  std::optional<std::string> ran(const id128& operation);
  /// A submission was told that the operation had run before.
  std::optional<std::string> told_already_run(const id128& operation) const;
  /// A document is in force at a process.
  std::optional<std::string> in_force(std::size_t process, const std::string& document,
                                      std::uint64_t version);

 private:
  struct bucket {
    double level = 0;
    double at = 0;
  };

  double drift_;
  std::map<std::string, bucket> buckets_;
  /// What each account may still demand.
  std::map<std::string, bucket> demand_;
  std::set<id128> runs_;
  std::map<std::pair<std::size_t, std::string>, std::uint64_t> versions_;
};

} // namespace damaskledge::check
