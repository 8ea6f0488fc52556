// Measures the control part at several sizes and prints each series with its fitted line.
#include <iostream>

#include <gflags/gflags.h>
#include <glog/logging.h>

#include "bench/bench.h"

DEFINE_bool(quick, false, "fewer and smaller sizes, under 20 s");
DEFINE_uint64(seed, 1, "seed of the random choices");
DEFINE_string(output, "text", "form of the report: text or json");

int main(int argc, char** argv) {
  gflags::SetUsageMessage("measures the control part; docs/CAPACITY.md explains the series");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  if (FLAGS_output != "text" && FLAGS_output != "json") {
    std::cerr << "--output: found \"" << FLAGS_output << "\"; give text or json\n";
    return 2;
  }
  // The cores log each election and each configuration; only faults are of interest here.
  FLAGS_minloglevel = google::GLOG_ERROR;
  FLAGS_logtostderr = true;
  google::InitGoogleLogging(argv[0]);
  damaskledge::bench::options wanted;
  wanted.quick = FLAGS_quick;
  wanted.seed = FLAGS_seed;
  const auto result = damaskledge::bench::run(wanted);
  std::cout << (FLAGS_output == "json" ? damaskledge::bench::to_json(result) + "\n"
                                       : damaskledge::bench::to_text(result));
  return damaskledge::violation_count() == 0 ? 0 : 3;
}
