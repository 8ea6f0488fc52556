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

/// A document in force.
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
  /// Freshness of each document is told to peers this often.
  milliseconds confirm_period{1'000};
};

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
  std::vector<wire::document_version> versions_in_force() const;
  std::vector<wire::document_version> highest_heard() const;
  /// Rises whenever a document in force changes.
  std::uint64_t change_count() const;

 private:
  settings options_;
  std::string data_centre_;
};

} // namespace damaskledge::documents
