/// @file
/// Drops traffic to and from listed addresses, so that tests can cut data centres off.
#pragma once

#include <atomic>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "common/common.h"

namespace damaskledge::node {

/// Reads address prefixes, one on each line, from a file that tests rewrite. Thread-safe.
class cut_filter {
 public:
  /// @param path file with the prefixes; empty turns the filter off.
  explicit cut_filter(std::string path);

  /// Reads the file again; called by the ticker.
  void reload();
  /// @return true when traffic with `address` must be dropped.
  bool drops(const std::string& address) const;

 private:
  std::string path_;
  std::atomic<bool> active_{false};
  mutable std::mutex mutex_;
  std::vector<std::string> prefixes_;
};

} // namespace damaskledge::node
