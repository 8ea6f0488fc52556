/// @file
/// Control logic of one node, free of I/O: combines membership, documents, election, token
/// allocation, claims, limits and status. A node runs it on its threads; damaskledge-check runs
/// many instances over a simulated network, platform and clock.
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

/// Immutable admission rules with the versions of the documents that they were built from.
struct rules_in_force {
  std::shared_ptr<const admission::rule_book> book;
  std::uint64_t lists_version = 0;
  std::uint64_t keys_version = 0;
};

/// Part of the core that asked for a platform call.
enum class call_owner : std::uint8_t { election, claims, status, directory };

/// Platform call together with the part of the core that receives its answer.
struct owned_call {
  call_owner owner{};
  platform::requested_call call;
};

/// Result of a call to the core: messages to send, platform calls to make, and facts for the
/// request path.
struct effects {
  std::vector<wire::outgoing> messages;
  std::vector<owned_call> calls;
  /// Facts for the request path, received from other nodes.
  std::vector<wire::shed_record> shed_levels;
  std::vector<id128> crash_fingerprints;

  /// Appends the contents of `other`.
  void add(effects&& other);
};

/// Facts of the request path that are sent to other nodes.
struct local_facts {
  std::vector<wire::shed_record> shed_levels;
  std::vector<id128> crash_fingerprints;
};

/// @return the settings for token allocation, taken from a node's settings.
shares::settings share_settings(const config::node_settings& settings);

/// Control state of one node. Not thread-safe.
class control_core {
 public:
  /// @param seed seeds the random number generator and identifies this process to other nodes.
  /// @param wall wall-clock time of the start. It is the initial incarnation, so that a restarted
  /// node has a higher one than before.
  control_core(const config::node_settings& settings, std::uint64_t seed, unix_milliseconds wall);

  /// Does all work that is due at `now`.
  effects tick(time_point now, unix_milliseconds wall, const local_facts& facts);
  /// Handles every message except token grants, claim replies and ended contexts, which belong
  /// to the request path.
  effects receive(time_point now, unix_milliseconds wall, const wire::incoming& from);
  /// Handles the answer to a call from `effects::calls`, with the call's owner and tag.
  effects on_answer(time_point now, unix_milliseconds wall, call_owner owner, std::uint64_t tag,
                    const platform::answer& result);

  /// @return the platform call that fetches the next version of a document, or nothing while none
  /// is due. The caller must make at most one call at a time for each document.
  std::optional<platform::call> document_call(time_point now, const std::string& document);
  /// Handles the answer to a call from `document_call`.
  effects on_document_answer(time_point now, const std::string& document,
                             const platform::answer& result);

  /// Registers an upstream of this VM or renews its registration, which lapses otherwise.
  effects announce(time_point now, const wire::service_record& service);
  /// Marks an upstream of this VM as draining. Does nothing if it is not registered.
  effects drain(time_point now, const std::string& service, std::uint16_t port);
  /// Removes an upstream of this VM. Does nothing if it is not registered.
  effects leave(time_point now, const std::string& service, std::uint16_t port);
  /// Changes the membership state that this node announces.
  effects set_state(time_point now, wire::member_state state);

  /// @return the rules in force, or nothing while a document is missing.
  std::shared_ptr<const rules_in_force> rules() const { return rules_; }
  /// Latest time at which the keys in force are known to have been current.
  time_point keys_confirmed_at() const { return keys_confirmed_at_; }
  /// Fleet-wide rate and burst of each account; updated together with `rules`.
  const std::map<std::string, shares::limit>& account_limits() const { return account_limits_; }
  /// Coordinator of this data centre, as far as known.
  std::optional<wire::coordinator_record> coordinator() const;
  coordination::part current_part(time_point now) const { return election_.current_part(now); }
  term own_term() const { return election_.own_term(); }
  /// Known coordinators to ask for a claim, in the order to try them: that of the operation's home
  /// data centre first.
  std::vector<endpoint> claim_writers(const id128& operation) const;

  /// Incremented whenever `targets` is rebuilt.
  std::uint64_t target_version() const { return target_version_; }
  const std::vector<routing::target_record>& targets() const { return targets_; }
  /// Number of nodes of this data centre that have neither left nor died; at least 1.
  std::uint32_t calling_nodes() const { return calling_nodes_; }
  /// Peer endpoint of the node on a target's VM, or nothing if the target is unknown.
  std::optional<endpoint> target_peer(const std::string& target_id) const;

  std::vector<wire::member_record> members() const { return members_.members(); }
  std::vector<wire::document_version> versions_in_force() const {
    return documents_.versions_in_force();
  }
  /// Tokens of an account that could still be spent under this node's allocator: available,
  /// outstanding and recently transferred.
  double exposure(const std::string& account, time_point now) const {
    return allocator_.exposure(account, now);
  }
  /// State of this node as JSON for operators, with the members, document versions and
  /// coordinators that it knows.
  std::string describe(time_point now) const;

 private:
  struct local_service {
    wire::service_record record;
    time_point announced_at;
  };
  /// Upper bound on the weight of this data centre, in force until every other data centre has
  /// confirmed a version of the lists.
  struct weight_cap {
    std::uint64_t until_version = 0;
    double weight = 0;
  };
  /// A platform object that the coordinator keeps up to date.
  struct published_object {
    std::string name;
    std::uint64_t version = 0;
    /// Content last written, without write id and time; empty while not known.
    std::string content;
    /// Content of the write in flight.
    std::string pending;
    bool in_flight = false;
    /// True once the object's version has been read in this term.
    bool version_known = false;
    time_point last_write{};
  };
  /// State of the platform calls for one document.
  struct document_fetch_state {
    /// Earliest next read by a node that has no version yet; a coordinator does not wait for it.
    time_point next_read{};
    /// No call is made before this time; set after a failed call.
    time_point retry_at{};
    /// Content that a starting node has read; it comes into force once it is known to be current.
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
                        published_object& object, std::string content, effects& out);
  static void finish_write(published_object& object, const platform::answer& result);
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
  std::uint64_t seen_member_changes_ = 0;
  std::uint64_t seen_document_changes_ = 0;
  std::vector<weight_cap> weight_caps_;
  /// Version of the lists that all nodes of a data centre have, as reported by its coordinator.
  std::map<std::string, std::uint64_t> lists_confirmed_;
  std::optional<double> last_weight_;
  std::shared_ptr<const rules_in_force> rules_;
  time_point keys_confirmed_at_{};
  std::map<std::string, shares::limit> account_limits_;
  std::uint64_t target_version_ = 0;
  std::uint32_t calling_nodes_ = 1;
  std::vector<routing::target_record> targets_;
  std::map<std::string, endpoint> target_peers_;
  std::map<std::string, document_fetch_state> document_fetches_;
  time_point next_status_check_{};
  published_object status_;
  published_object directory_;
};

} // namespace damaskledge::core
