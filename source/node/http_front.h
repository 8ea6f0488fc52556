/// @file
/// HTTP listeners of a node: callers, the VM's own upstreams, and metrics.
#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include <Poco/Net/HTTPServer.h>
#include <Poco/ThreadPool.h>

#include "config/config.h"
#include "node/control_plane.h"
#include "node/dispatcher.h"
#include "node/reporter.h"
#include "node/request_path.h"

namespace damaskledge::node {

/// State that the handlers of all listeners share.
struct front_state {
  const config::node_settings& settings;
  control_plane& control;
  dispatcher& routes;
  request_path& path;
  reporter& reports;
  std::atomic<bool> draining{false};
  std::atomic<std::uint32_t> in_flight{0};
  /// Bytes of request bodies held at this moment, over all connections.
  std::atomic<std::size_t> body_bytes{0};
  Poco::Net::HTTPServer* caller_listener = nullptr;
};

/// The three listeners. Requests are served from construction until `stop`.
class http_front {
 public:
  /// @throws Poco::Net::NetException when a port can't be bound.
  explicit http_front(front_state& state);
  ~http_front();
  http_front(const http_front&) = delete;
  http_front& operator=(const http_front&) = delete;

  /// @return open connections of callers and of the VM's own upstreams.
  int connections() const;
  /// Stops accepting; requests in flight are finished.
  void stop();

 private:
  struct listener {
    std::unique_ptr<Poco::ThreadPool> threads;
    std::unique_ptr<Poco::Net::HTTPServer> server;
  };
  listener listen(const std::string& address, std::uint16_t port, int max_threads,
                  Poco::Net::HTTPRequestHandlerFactory::Ptr factory) const;

  front_state& state_;
  listener callers_;
  listener local_;
  listener metrics_;
};

} // namespace damaskledge::node
