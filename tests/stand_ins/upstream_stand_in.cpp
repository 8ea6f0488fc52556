// Stand-in for an upstream service; docs/design.md section 4.2 gives its interface.
#include <iostream>

#include <Poco/Exception.h>
#include <gflags/gflags.h>
#include <glog/logging.h>

#include "stand_ins/upstream_server.h"

DEFINE_string(service, "upstream", "service that is announced");
DEFINE_string(listen, "127.0.0.1:0", "address:port to serve on; port 0 takes a free one");
DEFINE_string(node, "", "address:port of the node's local port; empty for no announcements");
DEFINE_uint32(slots, 16, "requests run at once");
DEFINE_uint32(connections, 256, "connections served at once");
DEFINE_uint32(queue, 64, "requests that may wait for a slot");
DEFINE_double(service_time_ms, 10, "mean time that a request runs");
DEFINE_string(distribution, "exponential",
              "distribution of the service time: constant, exponential or lognormal");
DEFINE_uint64(seed, 1, "seed of the service times");
DEFINE_double(connection_cost_ms, 1, "added to the first request of a connection");
DEFINE_double(cold_start_ms, 0, "time after the start in which requests run slower");
DEFINE_double(cold_start_factor, 4, "slow-down at the start of a cold start");
DEFINE_uint32(drain_grace_ms, 3'000, "time between announcing a drain and refusing work");
DEFINE_uint32(announce_interval_ms, 2'000, "time between announcements");
DEFINE_uint32(body_bytes, 256, "size of an answer's body");
DEFINE_string(inner, "", "inner calls as service:METHOD:/path, several separated by commas");
DEFINE_string(log, "", "file of the execution log, one JSON line per executed request");

namespace {

namespace stand_ins = damaskledge::stand_ins;

/// @return the settings that the flags give, or nothing after a message to stderr.
std::optional<stand_ins::upstream_settings> settings_from_flags() {
  stand_ins::upstream_settings result;
  const auto address = stand_ins::parse_endpoint(FLAGS_listen);
  const auto node =
      FLAGS_node.empty() ? damaskledge::endpoint{} : stand_ins::parse_endpoint(FLAGS_node);
  const auto distribution = stand_ins::parse_distribution(FLAGS_distribution);
  auto inner = stand_ins::parse_inner_calls(FLAGS_inner);
  if (!address) {
    std::cerr << "--listen: found \"" << FLAGS_listen << "\"; give address:port\n";
  } else if (!node) {
    std::cerr << "--node: found \"" << FLAGS_node << "\"; give address:port\n";
  } else if (!distribution) {
    std::cerr << "--distribution: found \"" << FLAGS_distribution
              << "\"; use constant, exponential or lognormal\n";
  } else if (!inner) {
    std::cerr << "--inner: found \"" << FLAGS_inner << "\"; give service:METHOD:/path\n";
  } else if (!inner->empty() && FLAGS_node.empty()) {
    std::cerr << "--inner needs the node's local port; give --node\n";
  } else if (FLAGS_slots == 0 || FLAGS_connections == 0 || FLAGS_service_time_ms < 0) {
    std::cerr << "--slots and --connections must be at least 1 and --service-time-ms at least 0\n";
  } else {
    result.service = FLAGS_service;
    result.address = *address;
    result.node = *node;
    result.slots = FLAGS_slots;
    result.connections = FLAGS_connections;
    result.queue = FLAGS_queue;
    result.service_time_ms = FLAGS_service_time_ms;
    result.distribution = *distribution;
    result.seed = FLAGS_seed;
    result.connection_cost_ms = FLAGS_connection_cost_ms;
    result.cold_start_ms = FLAGS_cold_start_ms;
    result.cold_start_factor = FLAGS_cold_start_factor;
    result.drain_grace = damaskledge::milliseconds{FLAGS_drain_grace_ms};
    result.announce_interval = damaskledge::milliseconds{FLAGS_announce_interval_ms};
    result.body_bytes = FLAGS_body_bytes;
    result.inner = std::move(*inner);
    result.log_file = FLAGS_log;
    return result;
  }
  return std::nullopt;
}

} // namespace

int main(int argc, char** argv) {
  gflags::SetUsageMessage("Stand-in for an upstream service.");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  FLAGS_logtostderr = true;
  google::InitGoogleLogging(argv[0]);
  const auto settings = settings_from_flags();
  if (!settings) {
    return 2;
  }
  stand_ins::block_termination_signals();
  try {
    stand_ins::upstream_server server(*settings);
    LOG(INFO) << "service " << settings->service << " listens on " << to_string(server.address());
    stand_ins::wait_for_termination_signal();
    server.leave();
  } catch (const Poco::Exception& error) {
    std::cerr << "cannot serve on " << FLAGS_listen << ": " << error.displayText()
              << "; choose a free port and a log file that can be written\n";
    return 1;
  }
  return 0;
}
