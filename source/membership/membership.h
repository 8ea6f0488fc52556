/// @file
/// SWIM membership: which nodes are alive, what they announce, and gossip that rides on
/// probes. Source: Das, Gupta, Motivala, "SWIM" (2002); Dadgar et al., "Lifeguard" (2017).
#pragma once

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
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
  /// A change rides on this many messages times log2 of the number of members.
  std::uint32_t retransmit_factor = 3;
  /// Dead and left members are forgotten after this time.
  milliseconds forget_after{120'000};
  /// Full state is asked from a random peer this often, so that lost changes are repaired.
  milliseconds sync_period{30'000};
};

/// Facts of other libraries that ride on probes; filled by the node before each tick.
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

  /// Changes what this node tells of itself; the incarnation rises and the change is
  /// sent at once to a few members.
  std::vector<wire::outgoing>
  update_self(time_point now, std::vector<wire::service_record> services, wire::member_state state);
  /// Documents in force ride on the node's own record without a new incarnation of peers' views
  /// being needed for each probe.
  void set_documents(std::vector<wire::document_version> documents);
  void set_carried_facts(carried_facts facts);
  /// Addresses learned elsewhere, for example from the platform's directory object.
  void add_seeds(const std::vector<endpoint>& seeds);

  const wire::member_record& self() const;
  /// All known members, this node included, ordered by name.
  std::vector<wire::member_record> members() const;
  std::optional<wire::member_record> find(const std::string& name) const;
  /// Up, draining or suspect members of a data centre.
  std::vector<wire::member_record> alive(const std::string& data_centre) const;
  /// Rises whenever a member, its state or its services change.
  std::uint64_t change_count() const;

 private:
  struct member_row;
  struct pending_probe;
  settings options_;
  wire::member_record self_;
  std::vector<endpoint> seeds_;
  std::mt19937_64 random_;
};

} // namespace damaskledge::membership
