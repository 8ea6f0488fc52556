/// @file
/// Which target is beside the node, which start of it, and whether it leaves. Orders announcements,
/// health checks, farewells and marks in answers, which may arrive late.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "common/common.h"
#include "platform/adapter.h"

namespace damaskledge::sidecar {

/// One moment on both clocks. The wall clock may have been set since an earlier moment.
struct moment {
  time_point steady{};
  unix_milliseconds wall = 0;
};

class target_identity {
 public:
  /// What an announcement has changed.
  enum class change : std::uint8_t {
    /// Nothing: it is older than what is known.
    none,
    /// A later announcement of the start that is known, or the first one of a target that was known
    /// without its start.
    same_start,
    /// Another start, or another target.
    other_start,
  };

  /// Applies an announcement of a target with this node's service and address.
  change announced(const moment& now, const adapter::target_announcement& value);
  /// Applies a health check. It names the target and not its start, and counts only while no target
  /// is known.
  /// @return true if the target was not known before.
  bool identified(const std::string& instance);
  /// Applies a statement of the target that it leaves; the statement does not name the start.
  /// @return false if another target is known.
  bool leaves(const moment& now, const std::string& instance);
  /// Applies a leave that an earlier process of this node has recorded.
  /// @return false if it concerns another start than the one that is known.
  bool recalled(const moment& now, const adapter::leave_record& record);

  /// @return empty while no target is known.
  const std::string& instance() const { return instance_; }
  bool leaving() const { return leaving_since_.has_value(); }
  /// @return the leave of the target that is known, or nothing.
  std::optional<adapter::leave_record> leave() const;
  /// When the target has said first that it leaves.
  const std::optional<moment>& leaving_since() const { return leaving_since_; }

 private:
  struct start {
    unix_milliseconds began = 0;
    /// Sequence of the latest announcement.
    std::uint64_t sequence = 0;
  };

  bool began_before_leaving(const moment& now, unix_milliseconds began) const;

  std::string instance_;
  /// Nothing until the target has announced itself.
  std::optional<start> start_;
  std::optional<moment> leaving_since_;
};

} // namespace damaskledge::sidecar
