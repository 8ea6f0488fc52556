/// @file
/// Election of a data centre's coordinator through a leased object in the platform, and the
/// acting coordinator when the holder is dead while the platform is down.
#pragma once

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "platform/platform.h"
#include "wire/wire.h"

namespace damaskledge::coordination {

struct settings {
  milliseconds lease_term{3'000};
  milliseconds renew_period{1'000};
  milliseconds clock_margin{100};
  /// The candidates are this many alive members with the lowest names.
  std::uint32_t candidates = 3;
};

/// What the coordination machine is told of the data centre each tick.
struct view {
  /// Names of alive members of the data centre, this node included.
  std::vector<std::string> alive;
  /// Members heard from (probe or acknowledgement) within the last lease term.
  std::vector<std::string> heard_recently;
  /// False while this node is draining; it then gives up its term and does not stand.
  bool may_stand = true;
};

/// Part that this node has in its data centre.
enum class part : std::uint8_t {
  follower,
  /// Holds the lease, or continues past it while the platform is down, by majority.
  coordinator,
  /// Replaces a dead holder while the platform is down; allocates tokens, writes no claims.
  acting,
};

/// Lease state machine of one node. Not thread-safe.
class election {
 public:
  election(settings options, std::string node, endpoint address, std::string data_centre,
           std::uint64_t seed);

  /// @return platform calls to make on `coordinator/<dc>`.
  std::vector<platform::requested_call> tick(time_point now, const view& seen);
  std::vector<platform::requested_call> on_answer(time_point now, std::uint64_t tag,
                                                  const platform::answer& result);
  /// A coordinator record from gossip. A higher term for this data centre ends this node's own.
  void heard(time_point now, const wire::coordinator_record& record);

  /// Rechecked at the moment of use: false at once after a pause past the term.
  part current_part(time_point now) const;
  /// Term under which this node acts; meaningful when it is not a follower.
  term own_term() const;
  /// Start of this node's own term, for the allocator's settling time.
  time_point term_started() const;
  /// True when the previous holder's term had settled before this node took over.
  bool previous_settled() const;
  /// Best known coordinator of each data centre.
  std::vector<wire::coordinator_record> known() const;
  std::optional<wire::coordinator_record> known(const std::string& data_centre) const;
  /// True when the last platform call of this machine was answered.
  bool platform_reachable() const;

 private:
  settings options_;
  std::string node_;
};

} // namespace damaskledge::coordination
