// Sends the calls of a scenario to nodes and reports goodput, recovery, fairness and refusals.
#include <cstdio>
#include <fstream>
#include <iostream>
#include <optional>
#include <sstream>

#include <gflags/gflags.h>

#include "load/load.h"

DEFINE_string(scenario, "", "scenario file, JSON with comments");
DEFINE_string(keys, "", "file with the accounts' keys, a JSON object of names and keys");
DEFINE_string(nodes, "", "caller ports as address:port,...; replaces the scenario's nodes");
DEFINE_double(duration_s, 0,
              "replaces the scenario's duration and drops its phases; 0 for neither");
DEFINE_uint64(seed, 0, "replaces the scenario's seed; 0 for the scenario's own");
DEFINE_string(direct, "", "address:port of an upstream that gets the same calls directly");
DEFINE_string(direct_service, "", "service whose calls go to --direct; empty for all");
DEFINE_string(executions, "",
              "address:port,... of upstream stand-ins whose execution logs are checked");
DEFINE_string(start_file, "",
              "file that gets the start of the run in milliseconds of Unix time; empty for none");
DEFINE_string(output, "text", "form of the report: text or json");

namespace {

using damaskledge::endpoint;
using damaskledge::environment_error;
using damaskledge::parse_error;
namespace leaf = boost::leaf;
namespace load = damaskledge::load;

/// Exit statuses.
enum status : int { measured = 0, unusable = 2, promise_broken = 3 };

leaf::result<std::string> read_file(const std::string& path, const std::string& flag) {
  std::ifstream file(path);
  std::ostringstream content;
  if (!file || !(content << file.rdbuf())) {
    return leaf::new_error(environment_error{"cannot read \"" + path + "\"",
                                             "give a file that can be read with --" + flag});
  }
  return content.str();
}

leaf::result<std::vector<endpoint>> parse_endpoints(const std::string& text,
                                                    const std::string& flag) {
  std::vector<endpoint> result;
  std::istringstream parts(text);
  for (std::string part; std::getline(parts, part, ',');) {
    const std::size_t colon = part.rfind(':');
    std::istringstream digits(colon == std::string::npos ? "" : part.substr(colon + 1));
    unsigned port = 0;
    if (colon == 0 || !(digits >> port) || !digits.eof() || port == 0 || port > 65'535) {
      return leaf::new_error(
          environment_error{"--" + flag + ": found \"" + part + "\"", "give address:port"});
    }
    result.push_back({part.substr(0, colon), static_cast<std::uint16_t>(port)});
  }
  return result;
}

leaf::result<int> run_from_flags() {
  if (FLAGS_output != "text" && FLAGS_output != "json") {
    return leaf::new_error(
        environment_error{"--output: found \"" + FLAGS_output + "\"", "use text or json"});
  }
  BOOST_LEAF_AUTO(text, read_file(FLAGS_scenario, "scenario"));
  BOOST_LEAF_AUTO(scenario, load::parse_scenario(text, FLAGS_scenario));
  BOOST_LEAF_AUTO(keys_text, read_file(FLAGS_keys, "keys"));
  load::run_options options;
  BOOST_LEAF_ASSIGN(options.keys, load::parse_keys(keys_text, FLAGS_keys));
  if (!FLAGS_nodes.empty()) {
    BOOST_LEAF_ASSIGN(scenario.nodes, parse_endpoints(FLAGS_nodes, "nodes"));
  }
  if (FLAGS_duration_s > 0) {
    scenario.length = std::chrono::duration_cast<damaskledge::duration>(
        std::chrono::duration<double>(FLAGS_duration_s));
    scenario.phases.clear();
  }
  if (FLAGS_seed != 0) {
    scenario.seed = FLAGS_seed;
  }
  if (!FLAGS_direct.empty()) {
    BOOST_LEAF_AUTO(direct, parse_endpoints(FLAGS_direct, "direct"));
    options.direct = direct.front();
    options.direct_service = FLAGS_direct_service;
  }
  BOOST_LEAF_AUTO(upstreams, parse_endpoints(FLAGS_executions, "executions"));
  if (!FLAGS_start_file.empty()) {
    options.starting = [](damaskledge::unix_milliseconds start) {
      // Renamed when it is whole, so that a script that waits for it reads no half number.
      const std::string part = FLAGS_start_file + ".part";
      std::ofstream(part) << start << '\n';
      std::rename(part.c_str(), FLAGS_start_file.c_str());
    };
  }
  BOOST_LEAF_AUTO(result, load::run(scenario, options));
  std::optional<load::executions_result> executions;
  if (!upstreams.empty()) {
    BOOST_LEAF_ASSIGN(executions, load::fetch_executions(upstreams));
  }
  const load::report report = load::measure(scenario, result, executions);
  std::cout << (FLAGS_output == "json" ? load::to_json_text(report) : load::to_text(report));
  return report.promise_broken() ? promise_broken : measured;
}

} // namespace

int main(int argc, char** argv) {
  gflags::SetUsageMessage("Open-loop load on damaskledge nodes.\n"
                          "Exit status: 0 measured; 2 unusable arguments or files; 3 an answer "
                          "was wrong, an operation ran twice or a key leaked.");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return leaf::try_handle_all([] { return run_from_flags(); },
                              [](const parse_error& error) {
                                std::cerr << to_string(error) << '\n';
                                return static_cast<int>(unusable);
                              },
                              [](const environment_error& error) {
                                std::cerr << to_string(error) << '\n';
                                return static_cast<int>(unusable);
                              },
                              [] {
                                std::cerr << "the run failed for an unknown reason\n";
                                return static_cast<int>(unusable);
                              });
}
