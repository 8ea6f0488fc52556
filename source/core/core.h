/// @file
/// Control part of a node without input or output: membership, documents, election, token
/// allocation, claims, limits and status of one node, composed. The node runs it on its threads;
/// damaskledge-check runs many of them over a simulated network, platform and clock.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "admission/admission.h"
#include "claims/claims.h"
#include "common/common.h"
#include "config/config.h"
#include "coordination/coordination.h"
#include "documents/documents.h"
#include "membership/membership.h"
#include "platform/platform.h"
#include "routing/routing.h"
#include "shares/shares.h"
#include "wire/wire.h"

namespace damaskledge::core {

/// Rules in force. Immutable.
struct rules_in_force {
  std::shared_ptr<const admission::rule_book> book;
  std::uint64_t lists_version = 0;
  std::uint64_t keys_version = 0;
};

/// Part of the core that asked for a platform call.
enum class call_owner : std::uint8_t { election, claims, status, directory };

struct owned_call {
  call_owner owner{};
  platform::requested_call call;
};

/// What the core wants done.
struct effects {
  std::vector<wire::outgoing> messages;
  std::vector<owned_call> calls;
  /// Facts for the request path, heard from other nodes.
  std::vector<wire::shed_record> shed_levels;
  std::vector<id128> crash_fingerprints;

  /// Appends another one.
  void add(effects&& other);
};

/// Facts of the request path that are told to other nodes.
struct local_facts {
  std::vector<wire::shed_record> shed_levels;
  std::vector<id128> crash_fingerprints;
};

/// @return settings of the token libraries from a node's settings.
shares::settings share_settings(const config::node_settings& settings);

/// Control state of one node. Not thread-safe.
class control_core {
 public:
  /// @param seed source of all random choices.
  /// @param wall wall-clock time of the start; makes the incarnation of a restarted node higher.
  control_core(const config::node_settings& settings, std::uint64_t seed, unix_milliseconds wall);

  effects tick(time_point now, unix_milliseconds wall, const local_facts& facts);
  /// Handles every message except token grants, claim replies and ended contexts, which belong
  /// to the request path.
  effects receive(time_point now, unix_milliseconds wall, const wire::incoming& from);
  effects on_answer(time_point now, unix_milliseconds wall, call_owner owner, std::uint64_t tag,
                    const platform::answer& result);

  /// @return the platform call that follows a document, or nothing while none is due. The caller
  /// makes one at a time for each document.
  std::optional<platform::call> document_call(time_point now, const std::string& document);
  effects on_document_answer(time_point now, const std::string& document,
                             const platform::answer& result);

  /// Upstreams of this VM.
  effects announce(time_point now, const wire::service_record& service);
  effects drain(time_point now, const std::string& service, std::uint16_t port);
  effects leave(time_point now, const std::string& service, std::uint16_t port);
  /// Changes what this node tells of itself.
  effects set_state(time_point now, wire::member_state state);

  /// @return the rules in force, or nothing while a document is missing.
  std::shared_ptr<const rules_in_force> rules() const { return rules_; }
  /// Latest time at which the keys in force are known to have been current.
  time_point keys_confirmed_at() const { return keys_confirmed_at_; }
  /// Fleet-wide rate and burst of each account; rises in version with `rules`.
  const std::map<std::string, shares::limit>& account_limits() const { return account_limits_; }
  /// Coordinator of this data centre, as far as known.
  std::optional<wire::coordinator_record> coordinator() const;
  coordination::part current_part(time_point now) const { return election_.current_part(now); }
  term own_term() const { return election_.own_term(); }
  /// Endpoints to ask for a claim, in order.
  std::vector<endpoint> claim_writers(const id128& operation) const;

  /// Rises whenever `targets` changes.
  std::uint64_t target_version() const { return target_version_; }
  const std::vector<routing::target_record>& targets() const { return targets_; }
  std::uint32_t calling_nodes() const { return calling_nodes_; }
  /// Peer endpoint of the node of a target's VM.
  std::optional<endpoint> target_peer(const std::string& target_id) const;

  std::vector<wire::member_record> members() const { return members_.members(); }
  std::vector<wire::document_version> versions_in_force() const {
    return documents_.versions_in_force();
  }
  /// Tokens that could still be spent under this node's allocator.
  double exposure(const std::string& account, time_point now) const {
    return allocator_.exposure(account, now);
  }
  /// JSON for operators: members, documents, coordinators.
  std::string describe(time_point now) const;

 private:
  struct local_service {
    wire::service_record record;
    time_point heard_at;
  };
  /// Bound on the weight of this data centre until every other one has confirmed a version.
  struct weight_hold {
    std::uint64_t until_version = 0;
    double weight = 0;
  };
  /// A platform object that the coordinator keeps up to date.
  struct written_object {
    std::string name;
    std::uint64_t version = 0;
    std::string content;
    std::string pending;
    bool in_flight = false;
    /// True once the object's version has been read in this term.
    bool version_known = false;
    time_point last_write{};
  };
  struct document_follower {
    time_point next_read{};
    /// Time before the next call after a failure.
    time_point paused_until{};
    /// First content that a starting node has read; not in force before it is known to be current.
    std::optional<platform::object> unconfirmed;
  };

  void tick_membership(time_point now, const local_facts& facts, effects& out);
  void tick_coordination(time_point now, unix_milliseconds wall, effects& out);
  void tick_services(time_point now, effects& out);
  void tick_status(time_point now, unix_milliseconds wall, effects& out);
  void handle(time_point now, unix_milliseconds wall, const wire::incoming& from, effects& out);
  void receive_gossip(time_point now, const wire::gossip& facts, const wire::incoming& from,
                      effects& out);
  void refresh_targets();
  void refresh_rules(time_point now);
  void refresh_limits(time_point now);
  void publish_services(time_point now, effects& out);
  double weight_in_force(const config::lists& lists, std::uint64_t version);
  bool confirmed_everywhere(const config::lists& lists, std::uint64_t version) const;
  /// @return the lowest version of the lists at the alive nodes of this data centre.
  std::uint64_t lowest_lists_version() const;
  void write_if_changed(time_point now, unix_milliseconds wall, call_owner owner,
                        written_object& object, std::string content, effects& out);
  static void finish_write(written_object& object, const platform::answer& result);
  std::string status_content() const;
  std::string directory_content() const;
  id128 next_id();

  const config::node_settings settings_;
  std::mt19937_64 random_;
  membership::member_table members_;
  documents::document_table documents_;
  coordination::election election_;
  shares::allocator allocator_;
  claims::claim_writer claim_writer_;
  bool allocating_ = false;
  bool claiming_ = false;
  term allocator_term_{};
  std::map<std::string, local_service> services_;
  wire::member_state own_state_ = wire::member_state::up;
  std::uint64_t seen_members_ = 0;
  std::uint64_t seen_documents_ = 0;
  std::vector<weight_hold> holds_;
  /// Version of the lists that all nodes of a data centre have, as its coordinator told.
  std::map<std::string, std::uint64_t> lists_confirmed_;
  std::optional<double> last_weight_;
  std::shared_ptr<const rules_in_force> rules_;
  time_point keys_confirmed_at_{};
  std::map<std::string, shares::limit> account_limits_;
  std::uint64_t target_version_ = 0;
  std::uint32_t calling_nodes_ = 1;
  std::vector<routing::target_record> targets_;
  std::map<std::string, endpoint> target_peers_;
  std::map<std::string, document_follower> followers_;
  time_point next_status_check_{};
  written_object status_;
  written_object directory_;
};

} // namespace damaskledge::core
