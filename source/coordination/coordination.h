/// @file
/// Election of a data centre's coordinator through a leased object in the platform, and the
/// acting coordinator when the holder is dead while the platform is down.
#pragma once

#include <cstdint>
#include <map>
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
  /// The candidates are this many alive members with the lowest names. Other members read the
  /// lease object seldom, and stand only when no candidate has taken over.
  std::uint32_t candidates = 3;
  milliseconds idle_read_period{10'000};
  /// A term is settled when tokens of the term before it have expired: grant_ttl + clock margin.
  milliseconds settle_time{600};
};

/// What the coordination machine is told of the data centre each tick.
struct view {
  /// Names of alive members of the data centre, this node included.
  std::vector<std::string> alive;
  /// Members heard from (probe or acknowledgement) within the last lease term.
  std::vector<std::string> heard_recently;
  /// False while this node is draining; it then gives up its term and does not stand.
  bool may_stand = true;
  /// Members from which a probe or acknowledgement came within the last lease term and clock
  /// margin, also those that others report as dead.
  std::vector<std::string> in_contact;
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
  /// @param sender member that sent the record. A new coordinator that replaces a holder which is
  /// still alive waits a lease term before it acts, or until that holder shows that it knows.
  void heard(time_point now, const wire::coordinator_record& record,
             const std::string& sender = {});

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

  /// @return latest era of the platform that an answer to this machine has shown.
  std::uint64_t platform_era() const { return platform_era_; }

  /// True while this node's part may depend on hearing from the majority of its data centre;
  /// `member_table::solicit` then gets the answers that random probes bring too seldom.
  bool needs_majority() const;

 private:
  /// Content of the lease object.
  struct lease {
    std::string write_id;
    /// Empty when the holder has given up its term.
    std::string holder;
    endpoint address;
    std::uint64_t epoch = 0;
    std::uint64_t counter = 0;
    bool settled = false;
  };
  enum class purpose : std::uint8_t { read, renew, take, release };
  struct pending_call {
    std::uint64_t tag = 0;
    purpose what = purpose::read;
    time_point sent_at;
    lease content;
  };
  using call_list = std::vector<platform::requested_call>;

  static std::string to_content(const lease& value);
  static lease parse_content(const std::string& content);
  std::size_t position() const;
  bool may_run(const std::string& member) const;
  bool lease_valid(time_point now) const;
  bool object_is_own() const;
  bool majority() const;
  void observe(time_point now, const platform::object& value);
  void adopt(time_point now, const lease& content, time_point sent_at);
  void note_known(const wire::coordinator_record& record);
  void send_read(time_point now, call_list& out);
  void send_write(time_point now, purpose what, lease content, call_list& out);
  void drive_platform(time_point now, call_list& out);
  bool may_take(time_point now) const;
  void note_view(time_point now, const view& seen);
  void update_acting(time_point now);
  wire::coordinator_record own_record() const;

  settings options_;
  std::string node_;
  endpoint address_;
  std::string data_centre_;
  std::mt19937_64 random_;
  /// Distinguishes acting terms of different processes: low bits of the rank.
  std::uint32_t process_bits_ = 0;

  view seen_;
  /// Members known when the platform last answered, or all ever seen when it never has.
  std::vector<std::string> base_members_;
  std::optional<time_point> holder_gone_since_;

  std::optional<pending_call> pending_;
  std::uint64_t next_tag_ = 1;
  time_point next_call_{};
  std::optional<time_point> last_success_;
  bool reachable_ = false;
  /// First answer of the platform after an outage.
  time_point reachable_since_{};
  /// Set when gossip tells of a term that the object, as last read, does not show.
  bool read_wanted_ = false;

  lease object_;
  std::uint64_t object_version_ = 0;
  std::uint64_t platform_era_ = 1;
  /// True after a read found the object or found that there is none.
  bool object_known_ = false;
  time_point object_changed_at_{};
  /// Latest read that was not older than the version known before.
  time_point object_read_at_{};
  milliseconds take_delay_{0};
  /// Send times of this process's own writes that may have taken effect, by write id.
  std::map<std::string, time_point> own_writes_;

  /// Epoch that this process obtained from the platform; 0 when it has none.
  std::uint64_t owned_epoch_ = 0;
  time_point lease_until_ = time_point::min();
  /// End of the continuation past the lease by the majority rule.
  time_point continued_until_ = time_point::min();
  time_point act_from_{};
  /// Predecessor that may still act; see `heard`.
  std::string predecessor_;
  std::optional<term> acting_term_;
  time_point acting_until_ = time_point::min();
  time_point term_started_{};
  bool previous_settled_ = false;
  std::map<std::string, wire::coordinator_record> known_;
};

} // namespace damaskledge::coordination
