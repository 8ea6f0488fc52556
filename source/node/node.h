/// @file
/// The node: the small process beside each upstream that admits, routes and forwards calls.
#pragma once

#include <memory>

#include "common/common.h"
#include "config/config.h"

namespace damaskledge::node {

/// One node of the fleet. Construct, `run`, and ask for a stop from a signal handler's thread.
class server {
 public:
  explicit server(config::node_settings settings);
  ~server();
  server(const server&) = delete;
  server& operator=(const server&) = delete;

  /// Serves until `request_stop` was called and the drain has ended.
  /// @return nothing, or an `environment_error` through LEAF when a port can't be bound.
  leaf::result<void> run();

  /// Starts a graceful stop: no new targets are offered, requests in flight are finished.
  void request_stop();

 private:
  class implementation;
  std::unique_ptr<implementation> implementation_;
};

} // namespace damaskledge::node
