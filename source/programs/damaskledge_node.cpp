#include <csignal>
#include <cstdlib>
#include <iostream>
#include <thread>

#include <gflags/gflags.h>
#include <glog/logging.h>

#include "config/config.h"
#include "node/node.h"

DEFINE_string(settings, "", "file with this node's settings (JSON with comments)");
DEFINE_bool(check, false, "check the settings and exit");

namespace {

constexpr int exit_settings = 2;
constexpr int exit_environment = 3;

int fail(const std::string& message, int code) {
  std::cerr << "damaskledge-node: " << message << '\n';
  return code;
}

/// Waits for SIGTERM or SIGINT on a thread of its own, so that no code runs in a handler.
void stop_on_signal(const sigset_t& signals, damaskledge::node::server& server) {
  int received = 0;
  sigwait(&signals, &received);
  server.request_stop();
}

damaskledge::leaf::result<int> serve() {
  using namespace damaskledge;
  BOOST_LEAF_AUTO(text, config::read_file(FLAGS_settings));
  BOOST_LEAF_AUTO(settings, config::parse_node_settings(text, FLAGS_settings));
  if (FLAGS_check) {
    std::cout << "the settings of node " << settings.name << " are valid\n";
    return 0;
  }
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  // Set before any other thread starts, since threads inherit the mask.
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  node::server server(std::move(settings));
  std::thread(stop_on_signal, std::cref(signals), std::ref(server)).detach();
  BOOST_LEAF_CHECK(server.run());
  return 0;
}

} // namespace

int main(int argc, char** argv) {
  using namespace damaskledge;
  gflags::SetUsageMessage("admits, routes and forwards the calls of one VM\n"
                          "usage: damaskledge-node --settings node.json");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  FLAGS_logtostderr = true;
  google::InitGoogleLogging(argv[0]);
  if (FLAGS_settings.empty()) {
    return fail("no settings; give --settings node.json", exit_settings);
  }
  std::signal(SIGPIPE, SIG_IGN);
  const int code = leaf::try_handle_all(
      serve, [](const parse_error& error) { return fail(to_string(error), exit_settings); },
      [](const environment_error& error) { return fail(to_string(error), exit_environment); },
      [] { return fail("unknown error; see the log", exit_environment); });
  // The signal thread may still refer to the server's frame; the process ends without
  // running destructors of static objects.
  std::_Exit(code);
}
