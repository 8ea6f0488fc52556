#include <csignal>
#include <iostream>

#include <gflags/gflags.h>
#include <glog/logging.h>

#include "platform/adapter.h"
#include "sidecar/sidecar.h"

DEFINE_string(settings, "",
              "file with this node's settings (JSON with comments); without it the "
              "platform's environment names the file");
DEFINE_bool(check, false, "check the settings and exit");

namespace {

constexpr int exit_settings = 2;
constexpr int exit_environment = 3;

int fail(const std::string& message, int code) {
  std::cerr << "damaskledge-sidecar: " << message << '\n';
  return code;
}

damaskledge::leaf::result<int> serve(const std::string& path) {
  using namespace damaskledge;
  BOOST_LEAF_AUTO(text, sidecar::read_settings_file(path));
  BOOST_LEAF_AUTO(settings, sidecar::parse_settings(text, path));
  if (FLAGS_check) {
    std::cout << "the settings of node " << settings.name << " are valid\n";
    return 0;
  }
  BOOST_LEAF_CHECK(sidecar::run(settings, path));
  return 0;
}

} // namespace

int main(int argc, char** argv) {
  using namespace damaskledge;
  gflags::SetUsageMessage("serves the requests of one VM and the target beside it\n"
                          "usage: damaskledge-sidecar [--settings node.json] [--check]");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  FLAGS_logtostderr = true;
  google::InitGoogleLogging(argv[0]);
  const std::string path =
      FLAGS_settings.empty() ? adapter::settings_path().value_or("") : FLAGS_settings;
  if (path.empty()) {
    return fail("no settings; give --settings node.json", exit_settings);
  }
  std::signal(SIGPIPE, SIG_IGN);
  return leaf::try_handle_all(
      [&] { return serve(path); },
      [](const parse_error& error) { return fail(to_string(error), exit_settings); },
      [](const environment_error& error) { return fail(to_string(error), exit_environment); },
      [] { return fail("unknown error; see the log", exit_environment); });
}
