/// @file
/// Versions and contents of the configuration documents in force at a node, and their
/// spread by rumour and pull. Versions only rise.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "platform/platform.h"
#include "wire/wire.h"

namespace damaskledge::documents {

/// A document in force. JSON content is kept in nlohmann-json's compact form with sorted keys, so
/// that a patched content has the same bytes and hash as the whole one.
struct document {
  std::string name;
  std::uint64_t version = 0;
  std::string content;
  id128 hash;
  /// Latest time at which the platform is known to have held this version as current,
  /// by this process's clock.
  time_point confirmed_at{};

  bool operator==(const document&) const = default;
};

struct settings {
  /// Peers that are told of a new version.
  std::uint32_t rumour_fanout = 4;
  /// Earlier versions kept to answer pulls with a patch.
  std::uint32_t patch_history = 16;
  milliseconds pull_timeout{500};
  /// Freshness of each document is told to a peer this often.
  milliseconds confirm_period{1'000};
  /// Peers that a starting node asks before it puts its first version in force.
  std::uint32_t start_peers = 3;
};

/// Largest document in bytes, as the platform allows.
inline constexpr std::size_t max_document_bytes = 1'048'576;

/// A peer to which rumours may go.
struct peer {
  std::string name;
  std::string data_centre;
  endpoint address;
};

/// Document table of one node. Not thread-safe.
class document_table {
 public:
  document_table(settings options, std::string data_centre, std::vector<std::string> names,
                 std::uint64_t seed);

  void set_peers(std::vector<peer> peers);
  /// Each version in force is reported to this address, so that the coordinator can write the
  /// status of the data centre; nothing while there is none or this node is the coordinator.
  void set_coordinator(std::optional<endpoint> address);
  std::vector<wire::outgoing> tick(time_point now);
  /// Handles rumours, pulls, contents and confirmations.
  std::vector<wire::outgoing> receive(time_point now, const wire::incoming& from);
  /// A content read from the platform; lower versions than the one in force are ignored.
  std::vector<wire::outgoing> from_platform(time_point now, const platform::object& value);
  /// The platform answered that the version in force is current.
  std::vector<wire::outgoing> confirmed(time_point now, const std::string& name);
  /// A version that a peer has heard of (rides on probes). Starts a pull from `from` when higher.
  std::vector<wire::outgoing> heard(time_point now, const wire::document_version& what,
                                    const endpoint& from);

  /// @return the document in force, or nothing before the first one, or while a higher
  /// version is known to exist and this process has never had one.
  std::optional<document> in_force(const std::string& name) const;
  /// The same without a copy of the content, which may have a megabyte.
  /// @return nullptr instead of nothing; valid until the next call that changes the table.
  const document* find_in_force(const std::string& name) const;
  std::vector<wire::document_version> versions_in_force() const;
  std::vector<wire::document_version> highest_heard() const;
  /// Versions that nodes last reported or confirmed to this one, by node name.
  std::map<std::string, std::uint64_t> reported_versions(const std::string& name) const;
  /// Rises whenever a document in force changes.
  std::uint64_t change_count() const;

 private:
  using outgoing_list = std::vector<wire::outgoing>;
  struct entry {
    std::optional<document> current;
    /// Best content of a process that has had none in force; it waits for a version that is
    /// not below `highest`.
    std::optional<document> staged;
    std::uint64_t highest = 0;
    /// Peers that told of `highest`.
    std::vector<endpoint> sources;
    /// Earlier contents by version, to make patches.
    std::map<std::uint64_t, std::string> history;
    /// Patches to the version in force by base version; empty when the whole is smaller.
    std::map<std::uint64_t, std::string> patches;
    /// Peers asked at the start that have not answered.
    std::vector<endpoint> start_pending;
    std::optional<time_point> start_deadline;
    bool started = false;
    time_point next_start{};
    std::optional<endpoint> pulling_from;
    time_point pull_deadline{};
    time_point next_confirmation{};
    time_point next_report{};
    std::map<std::string, std::uint64_t> reported;
  };

  entry* find(const std::string& name);
  void note_version(entry& row, std::uint64_t version, const endpoint* source);
  void start(time_point now, const std::string& name, entry& row, outgoing_list& out);
  void pull(time_point now, const std::string& name, entry& row, outgoing_list& out);
  void pull_from(time_point now, const std::string& name, entry& row, const endpoint& source,
                 std::uint64_t have, outgoing_list& out);
  void pull_if_behind(time_point now, const std::string& name, entry& row, outgoing_list& out);
  void offer(time_point now, entry& row, document value, outgoing_list& out);
  void settle(time_point now, entry& row, outgoing_list& out);
  static bool is_old_copy(const entry& row, const document& value);
  void put_in_force(time_point now, entry& row, document value, outgoing_list& out);
  void spread(const entry& row, outgoing_list& out);
  void report(time_point now, const std::string& name, entry& row, outgoing_list& out);
  void on_content(time_point now, const wire::incoming& from, const wire::document_content& body,
                  outgoing_list& out);
  void on_pull(time_point now, const wire::incoming& from, const wire::document_pull& body,
               outgoing_list& out);
  void on_confirmation(time_point now, const wire::incoming& from,
                       const wire::document_confirmation& body, outgoing_list& out);
  const std::string& patch_from(entry& row, std::uint64_t base);
  /// False while messages may have waited in this process during a pause, so that the ages in them
  /// are too low.
  bool ages_trusted(time_point now) const;

  settings options_;
  std::string data_centre_;
  std::map<std::string, entry> entries_;
  std::vector<peer> peers_;
  std::optional<endpoint> coordinator_;
  std::mt19937_64 random_;
  std::optional<time_point> last_tick_;
  time_point ages_distrusted_until_{};
  std::uint64_t changes_ = 0;
};

} // namespace damaskledge::documents
