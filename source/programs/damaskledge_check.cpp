#include <iostream>

#include <gflags/gflags.h>
#include <glog/logging.h>

#include "check/check.h"

DEFINE_uint64(seed, 1, "first seed");
DEFINE_uint64(runs, 1, "number of seeds, counting up from --seed");
DEFINE_uint64(steps, 200'000, "simulated events of each run");
DEFINE_uint32(data_centres, 3, "data centres");
DEFINE_uint32(nodes, 3, "nodes of each data centre");
DEFINE_bool(restorations, false, "the platform also comes back from older copies");
DEFINE_int32(shorten_tries, 40, "runs that may be spent on shortening a failing schedule");
DEFINE_bool(show_log, false, "write the decision code's log to standard error");

namespace {

using namespace damaskledge;

void print_failure(const check::options& wanted, const check::result& outcome) {
  std::cout << "FAILED seed " << wanted.seed << " step " << outcome.failed->step << " at "
            << outcome.failed->at.count() << " ms: " << outcome.failed->promise << ": "
            << outcome.failed->detail << '\n';
  const auto shortened =
      check::shorten(wanted, outcome.schedule, outcome.failed->promise, FLAGS_shorten_tries);
  std::cout << "shortened schedule, " << shortened.size() << " of " << outcome.schedule.size()
            << " faults:\n";
  for (const check::fault& it : shortened) {
    std::cout << "  " << to_string(it) << '\n';
  }
  std::cout << "again: damaskledge-check --seed=" << wanted.seed << " --steps=" << wanted.steps
            << " --data_centres=" << wanted.data_centres
            << " --nodes=" << wanted.nodes_per_data_centre
            << (wanted.kinds.empty() ? "" : " --restorations") << '\n';
}

} // namespace

int main(int argc, char** argv) {
  gflags::SetUsageMessage("runs the decision code of several nodes against random faults and "
                          "checks the promises");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  FLAGS_logtostderr = true;
  FLAGS_minloglevel = FLAGS_show_log ? google::INFO : google::ERROR;
  google::InitGoogleLogging(argv[0]);
  int failures = 0;
  for (std::uint64_t it = 0; it < FLAGS_runs; ++it) {
    check::options wanted;
    wanted.seed = FLAGS_seed + it;
    wanted.steps = FLAGS_steps;
    wanted.data_centres = FLAGS_data_centres;
    wanted.nodes_per_data_centre = FLAGS_nodes;
    if (FLAGS_restorations) {
      wanted.kinds = check::all_fault_kinds();
    }
    const check::result outcome = check::run(wanted, check::draw_schedule(wanted));
    std::cout << "seed " << wanted.seed << ": " << outcome.steps << " steps, "
              << outcome.simulated.count() / 1'000 << " s simulated, " << outcome.schedule.size()
              << " faults, tokens " << outcome.tokens_taken << " taken " << outcome.tokens_refused
              << " refused, after the faults " << outcome.judged_refusals << " of "
              << outcome.judged_requests << " inside the rate refused, operations "
              << outcome.operations_run << " run " << outcome.operations_refused << " refused, "
              << outcome.configurations_applied << " configurations, "
              << outcome.coordinator_changes << " coordinator changes"
              << (outcome.failed ? "" : ": held") << '\n';
    if (outcome.failed) {
      ++failures;
      print_failure(wanted, outcome);
    }
  }
  std::cout << FLAGS_runs - static_cast<std::uint64_t>(failures) << " runs held, " << failures
            << " failed\n";
  return failures == 0 ? 0 : 1;
}
