/// @file
/// damaskledge-soak: randomised faults against the real programs.
#include <filesystem>
#include <iostream>

#include <gflags/gflags.h>

#include "soak/soak.h"

DEFINE_uint64(seed, 1, "seed of the first run");
DEFINE_uint32(runs, 1, "runs, with consecutive seeds");
DEFINE_uint32(duration, 30, "seconds of one run; at least 15");
DEFINE_uint32(vms, 6, "VMs, an even number from 4 to 60");
DEFINE_uint32(first_port, 21000, "first of the ports; runs at the same time need others");
DEFINE_string(folder, "/tmp/damaskledge-soak", "logs, settings and reports of each run");

int main(int argc, char** argv) {
  gflags::SetUsageMessage("runs nodes as processes under random faults and checks the promises");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  constexpr unsigned least_duration = 15;
  if (FLAGS_duration < least_duration || FLAGS_vms < 4 || FLAGS_vms > 60 || FLAGS_vms % 2 != 0) {
    std::cerr << "--duration must be at least 15 and --vms an even number from 4 to 60\n";
    return 2;
  }
  std::size_t failed = 0;
  for (std::uint64_t seed = FLAGS_seed; seed < FLAGS_seed + FLAGS_runs; ++seed) {
    damaskledge::soak::soak_options options;
    options.seed = seed;
    options.length = damaskledge::seconds(FLAGS_duration);
    options.vms = FLAGS_vms;
    options.first_port = static_cast<std::uint16_t>(FLAGS_first_port);
    options.folder = FLAGS_folder + "/" + std::to_string(seed);
    std::filesystem::remove_all(options.folder);
    std::filesystem::create_directories(options.folder);
    const auto report = damaskledge::soak::soak_run(options).run();
    const std::string text = to_text(report);
    damaskledge::failure::write_file(options.folder + "/report.txt", text);
    std::cout << (report.violations.empty() ? text.substr(text.rfind("seed ")) : text)
              << std::flush;
    failed += report.violations.empty() ? 0 : 1;
  }
  std::cout << FLAGS_runs - failed << " passed, " << failed << " failed\n";
  return failed == 0 ? 0 : 1;
}
