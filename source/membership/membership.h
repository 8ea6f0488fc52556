/// @file
/// SWIM membership: which nodes are alive, what they announce, and gossip piggybacked on
/// probes. Source: Das, Gupta, Motivala, "SWIM" (2002); Dadgar et al., "Lifeguard" (2017).
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "wire/wire.h"

namespace damaskledge::membership {

struct settings {
  milliseconds probe_period{500};
  /// Time a direct or indirect probe may take.
  milliseconds probe_timeout{200};
  milliseconds suspicion{2'000};
  std::uint32_t indirect_probes = 3;
  /// Probability that a probe stays within the data centre.
  double local_fraction = 0.75;
  /// A change is piggybacked on this many messages times log2 of the number of members.
  std::uint32_t retransmit_factor = 3;
  /// Dead and left members are forgotten after this time.
  milliseconds forget_after{120'000};
  /// Full state is requested from a random peer this often, to repair lost changes.
  /// The period grows with the table, so that synchronisation sends at most `sync_bytes_per_s`.
  milliseconds sync_period{30'000};
  std::uint32_t sync_bytes_per_s = 512;
  /// While replies bring changes, as at a start of all nodes or after a partition, full state is
  /// requested again after this time and at this rate.
  milliseconds repair_period{2'000};
  std::uint32_t repair_bytes_per_s = 8'192;
  /// New changes are pushed to `push_fanout` members at once, in batches this far apart.
  milliseconds push_period{100};
  std::uint32_t push_fanout = 2;
  /// One dead or unknown address (seed) is probed this often, so that partitions heal.
  milliseconds reconnect_period{2'000};
  /// The incarnation of a forgotten member is kept this long, so that old gossip about it is
  /// recognised; it should exceed the longest partition between regions.
  milliseconds remember_forgotten{21'600'000};
};

/// Data of other libraries that is piggybacked on probes; filled by the node before each tick.
struct carried_facts {
  std::vector<wire::document_version> highest;
  std::vector<wire::coordinator_record> coordinators;
  std::vector<wire::shed_record> shed_levels;
  std::vector<id128> crash_fingerprints;
};

/// Member table and failure detector of one node. Not thread-safe.
class member_table {
 public:
  member_table(settings options, wire::member_record self, std::vector<endpoint> seeds,
               std::uint64_t seed);

  /// Runs the failure detector and dissemination for the time that has passed.
  std::vector<wire::outgoing> tick(time_point now);
  /// Handles probes, acknowledgements, indirect probes and state synchronisation.
  std::vector<wire::outgoing> receive(time_point now, const wire::incoming& from);

  /// Changes the services and state that this node announces. Increments its incarnation and
  /// sends the change at once to a few members.
  std::vector<wire::outgoing>
  update_self(time_point now, std::vector<wire::service_record> services, wire::member_state state);
  /// Sets the versions of the documents in force in the node's own record. Needs no new
  /// incarnation: within one, peers keep the highest version of each document.
  void set_documents(std::vector<wire::document_version> documents);
  void set_carried_facts(carried_facts facts);
  /// Addresses learned elsewhere, for example from the platform's directory object.
  void add_seeds(const std::vector<endpoint>& seeds);

  const wire::member_record& self() const;
  /// All known members, this node included, ordered by name.
  std::vector<wire::member_record> members() const;
  std::optional<wire::member_record> find(const std::string& name) const;
  /// State of a member without a copy of its record.
  std::optional<wire::member_state> state_of(const std::string& name) const;
  /// Up, draining or suspect members of a data centre.
  std::vector<wire::member_record> alive(const std::string& data_centre) const;
  /// Names of the same members, in order, without copies of their records.
  std::vector<std::string> alive_names(const std::string& data_centre) const;
  /// Rises whenever a member, its state or its services change.
  std::uint64_t change_count() const;

  /// Probes those alive members of a data centre that were not heard from since `since`, with no
  /// effect on failure detection. Random probes reach too few members of a large data centre in
  /// one lease term to show a majority; the holder of a lease calls this while the platform
  /// is unreachable. Each member is asked at most once in `probe_period`.
  std::vector<wire::outgoing> solicit(time_point now, const std::string& data_centre,
                                      time_point since);
  /// Members of a data centre from which a probe or acknowledgement came after `since`, and this
  /// node when it belongs to the data centre.
  std::vector<std::string> heard_since(const std::string& data_centre, time_point since) const;
  /// Members of a data centre from which a probe or acknowledgement came after `since` and that
  /// have not left; also those that others report as dead.
  std::vector<std::string> contacted_since(const std::string& data_centre, time_point since) const;
  /// True while another process is known to run under this node's name with a higher
  /// incarnation. This node then sends no probes and answers none.
  bool superseded() const;

 private:
  /// Bounds memory if a fault elsewhere adds members; the design size is 820 members.
  static constexpr std::size_t max_members = 16'384;

  struct member_row {
    wire::member_record record;
    std::size_t bytes = 0;
    /// Death of a suspect, or removal of a dead or left member.
    time_point deadline = time_point::max();
    time_point heard_at = time_point::min();
    time_point solicited_at = time_point::min();
    /// Number of messages that carried the latest change to members of the own data centre [0] and
    /// of others [1]; at the limit it is no longer sent there. A single count would be used up
    /// within the data centre before a small neighbouring one received the change.
    std::array<std::uint32_t, 2> transmissions{};
    bool queued = false;
    bool push_pending = false;
  };
  struct pending_probe {
    std::string subject;
    time_point deadline;
    bool indirect = false;
  };
  /// A probe sent on behalf of another node.
  struct relayed_probe {
    std::string subject;
    endpoint requester;
    std::uint64_t requester_sequence = 0;
    time_point deadline;
  };
  struct forgotten_member {
    std::uint64_t incarnation = 0;
    wire::member_state state = wire::member_state::dead;
    endpoint address;
    time_point until;
  };
  using outgoing_list = std::vector<wire::outgoing>;

  bool is_alive(const member_row& row) const;
  static endpoint address_of(const wire::member_record& record);
  endpoint own_address() const;
  void note_change(member_row& row);
  void dequeue_change(member_row& row);
  void set_state(time_point now, member_row& row, wire::member_state state);
  /// @return index into `member_row::transmissions` for messages from or to a member.
  std::size_t scope_of(const std::string& name) const;
  void merge(time_point now, const wire::member_record& record, const std::string& sender);
  void merge_self(time_point now, const wire::member_record& record);
  void merge_facts(time_point now, const wire::gossip& facts, const std::string& sender);
  void compensate_pause(time_point now);
  void expire(time_point now);
  void check_probes(time_point now, outgoing_list& out);
  void start_probe(time_point now, outgoing_list& out);
  void reconnect(time_point now, outgoing_list& out);
  void synchronise(time_point now, outgoing_list& out);
  void push_changes(time_point now, outgoing_list& out, bool at_once);
  void rebuild_peers();
  std::string next_in_round(std::vector<std::string>& round, const std::vector<std::string>& all);
  std::vector<std::string> random_peers(std::size_t count, const std::string& except);
  void add_changes(wire::gossip& facts, std::size_t room, const std::string& receiver,
                   bool push_only);
  wire::gossip gossip_for(const std::string& receiver, std::size_t base_bytes);
  void send_probe(std::uint64_t sequence, const std::string& receiver, const endpoint& to,
                  outgoing_list& out);
  std::size_t table_bytes() const;

  settings options_;
  wire::member_record self_;
  std::vector<endpoint> seeds_;
  std::mt19937_64 random_;
  /// Own row included, so that changes of this node spread as any other.
  std::map<std::string, member_row> rows_;
  std::map<std::string, forgotten_member> forgotten_;
  std::map<std::uint64_t, pending_probe> probes_;
  std::map<std::uint64_t, relayed_probe> relays_;
  /// Rows whose latest change is still being piggybacked on messages.
  std::vector<member_row*> queue_;
  carried_facts carried_;
  std::size_t carried_offset_ = 0;
  std::vector<std::string> local_peers_;
  std::vector<std::string> remote_peers_;
  std::vector<std::string> local_round_;
  std::vector<std::string> remote_round_;
  bool peers_changed_ = true;
  std::uint64_t next_sequence_ = 1;
  std::uint64_t changes_ = 0;
  /// Highest incarnation of another process with this node's name; 0 when there is none.
  std::uint64_t rival_incarnation_ = 0;
  std::uint32_t slowness_ = 0;
  std::optional<time_point> last_tick_;
  time_point next_probe_{};
  time_point next_sync_{};
  /// Members asked for their state that have not answered.
  std::vector<endpoint> sync_pending_;
  time_point next_push_{};
  time_point next_reconnect_{};
  time_point next_expiry_ = time_point::max();
};

} // namespace damaskledge::membership
