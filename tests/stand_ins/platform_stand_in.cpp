// Stand-in for the platform: the object API in memory, with faults set at /control.
#include <iostream>

#include <Poco/Exception.h>
#include <gflags/gflags.h>
#include <glog/logging.h>

#include "stand_ins/platform_server.h"

DEFINE_string(listen, "127.0.0.1:8500", "address:port of the object API and of /control");
DEFINE_double(reads_per_second, 2'000, "reads, lists and watches accepted per second");
DEFINE_double(writes_per_second, 400, "writes and removals accepted per second");
DEFINE_uint32(connections, 1'024, "connections served at once");

int main(int argc, char** argv) {
  namespace stand_ins = damaskledge::stand_ins;
  gflags::SetUsageMessage("Stand-in for the platform's object API, in memory only.");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  FLAGS_logtostderr = true;
  google::InitGoogleLogging(argv[0]);
  const auto address = stand_ins::parse_endpoint(FLAGS_listen);
  if (!address) {
    std::cerr << "--listen: found \"" << FLAGS_listen << "\"; give address:port\n";
    return 2;
  }
  stand_ins::block_termination_signals();
  try {
    const stand_ins::platform_server server(
        {*address, FLAGS_connections, FLAGS_reads_per_second, FLAGS_writes_per_second});
    LOG(INFO) << "the platform stand-in listens on " << to_string(server.address());
    stand_ins::wait_for_termination_signal();
  } catch (const Poco::Exception& error) {
    std::cerr << "cannot serve on " << FLAGS_listen << ": " << error.displayText()
              << "; choose a free port\n";
    return 1;
  }
  return 0;
}
