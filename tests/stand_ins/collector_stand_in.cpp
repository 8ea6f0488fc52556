// Stand-in for an OTLP/HTTP collector with JSON encoding.
#include <iostream>

#include <Poco/Exception.h>
#include <gflags/gflags.h>
#include <glog/logging.h>

#include "stand_ins/collector_server.h"

DEFINE_string(listen, "127.0.0.1:4318", "address:port of the collector and of /control");
DEFINE_uint32(kept_spans, 100'000, "spans that are kept, the latest ones");

int main(int argc, char** argv) {
  namespace stand_ins = damaskledge::stand_ins;
  gflags::SetUsageMessage("Stand-in for an OTLP/HTTP collector.");
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
    const stand_ins::collector_server server(*address, FLAGS_kept_spans);
    LOG(INFO) << "the collector stand-in listens on "
              << to_string(damaskledge::endpoint{address->address, server.port()});
    stand_ins::wait_for_termination_signal();
  } catch (const Poco::Exception& error) {
    std::cerr << "cannot serve on " << FLAGS_listen << ": " << error.displayText()
              << "; choose a free port\n";
    return 1;
  }
  return 0;
}
