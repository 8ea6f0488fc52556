/// @file
/// Decides when to fetch a configuration from another node instead of waiting for the store, and
/// from which node. Takes the time as an argument and sends nothing itself.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "common/common.h"

namespace damaskledge::sidecar {

/// The store delivers a new version to all nodes at about the same time, so a node asks another one
/// only when the store has not delivered in time, and asks one at a time: a configuration is large,
/// and asking every node that announces it would cost the square of the fleet's size.
class configuration_fetch {
 public:
  /// Time that the store has to deliver a version which another node already has.
  static constexpr milliseconds store_patience{300};
  /// Time that a node has to answer before the next one is asked.
  static constexpr milliseconds answer_patience{400};

  /// @param seed differs from node to node, so that the requests spread over those that can answer.
  explicit configuration_fetch(std::uint64_t seed) : seed_(seed) {}

  /// Another node has announced the version that it uses.
  /// @param near the node is in this data centre; such nodes are asked first.
  /// @param known version that this node uses, 0 for none.
  void announced(time_point now, const std::string& node, bool near, std::uint64_t version,
                 std::uint64_t known);
  /// @return the node to ask now.
  std::optional<std::string> next(time_point now, std::uint64_t known);

 private:
  struct holder {
    std::uint64_t version = 0;
    bool near = false;
  };

  std::uint64_t seed_;
  /// Nodes that have announced a newer version and were not asked since.
  std::map<std::string, holder> holders_;
  /// Newest version announced.
  std::uint64_t newest_ = 0;
  /// When a newer version than the known one was first announced.
  std::optional<time_point> behind_since_;
  std::optional<time_point> asked_at_;
};

} // namespace damaskledge::sidecar
