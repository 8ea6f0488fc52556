#include "sidecar/target_identity.h"

#include <algorithm>

namespace damaskledge::sidecar {

target_identity::change target_identity::announced(const moment& now,
                                                   const adapter::target_announcement& value) {
  const bool same_instance = value.instance == instance_;
  bool same_start = false;
  if (start_) {
    same_start = same_instance && value.started == start_->began;
    if (same_start ? value.sequence <= start_->sequence : value.started < start_->began) {
      return change::none;
    }
  } else {
    // The target is known by a health check or by its leaving. An announcement of a start from
    // before the leave may have been under way since then, so it does not bring the target back.
    same_start = same_instance && (!leaving() || began_before_leaving(now, value.started));
  }
  instance_ = value.instance;
  start_ = {value.started, value.sequence};
  if (!same_start) {
    leaving_since_.reset();
  }
  if (value.leaving && !leaving()) {
    leaving_since_ = now;
  }
  return same_start ? change::same_start : change::other_start;
}

bool target_identity::began_before_leaving(const moment& now, unix_milliseconds began) const {
  // A clock that was set between the two moments shifts the leave; the later reading counts, since
  // requests to a leaving target are worse than a target that is used one start later.
  const auto elapsed =
      std::chrono::duration_cast<milliseconds>(now.steady - leaving_since_->steady).count();
  return began <= std::max(leaving_since_->wall, now.wall - elapsed);
}

bool target_identity::identified(const std::string& instance) {
  if (!instance_.empty()) {
    return false;
  }
  instance_ = instance;
  return true;
}

bool target_identity::leaves(const moment& now, const std::string& instance) {
  if (!instance_.empty() && instance != instance_) {
    return false;
  }
  instance_ = instance;
  if (!leaving()) {
    leaving_since_ = now;
  }
  return true;
}

bool target_identity::recalled(const moment& now, const adapter::leave_record& record) {
  const bool same_start = start_ && record.started != 0 ? start_->began == record.started
                                                        : !start_ || start_->began <= record.left;
  if (leaving() || (!instance_.empty() && (record.instance != instance_ || !same_start))) {
    return false;
  }
  instance_ = record.instance;
  if (!start_ && record.started != 0) {
    start_ = {record.started, 0};
  }
  const milliseconds ago(std::max<unix_milliseconds>(now.wall - record.left, 0));
  leaving_since_ = {now.steady - ago, record.left};
  return true;
}

std::optional<adapter::leave_record> target_identity::leave() const {
  if (!leaving()) {
    return std::nullopt;
  }
  return adapter::leave_record{instance_, start_ ? start_->began : 0, leaving_since_->wall};
}

} // namespace damaskledge::sidecar
