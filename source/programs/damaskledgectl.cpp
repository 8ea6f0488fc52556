#include <iostream>
#include <string>
#include <vector>

#include <gflags/gflags.h>

#include "control/control.h"

DEFINE_string(platform, "", "object API of the platform, address:port, separated by commas");
DEFINE_string(timeout, "2s", "bound on one exchange with the platform or a node");
DEFINE_string(accounts, "", "accounts.json");
DEFINE_string(plans, "", "plans.json");
DEFINE_string(node, "", "settings of a node");
DEFINE_string(account, "", "client account");
DEFINE_int64(expect_version, -1, "version that apply replaces; -1: the version read at the start");
DEFINE_bool(wait, false, "wait until the version is in force everywhere");
DEFINE_string(wait_timeout, "30s", "longest wait");
DEFINE_string(output, "text", "text or json");
DECLARE_bool(help);

namespace {

damaskledge::control::flags given_flags() {
  damaskledge::control::flags result;
  result.accounts = FLAGS_accounts;
  result.plans = FLAGS_plans;
  result.node = FLAGS_node;
  result.account = FLAGS_account;
  result.expect_version = FLAGS_expect_version;
  result.wait = FLAGS_wait;
  result.wait_timeout = FLAGS_wait_timeout;
  result.output = FLAGS_output;
  return result;
}

} // namespace

int main(int argc, char** argv) {
  namespace control = damaskledge::control;
  namespace leaf = boost::leaf;
  gflags::SetUsageMessage(control::help({}));
  gflags::ParseCommandLineNonHelpFlags(&argc, &argv, true);
  std::vector<std::string> words(argv + 1, argv + argc);
  if (FLAGS_help) {
    FLAGS_help = false;
    words.insert(words.begin(), "help");
  }
  gflags::HandleCommandLineHelpFlags();
  const control::command_output result = leaf::try_handle_all(
      [&]() -> leaf::result<control::command_output> {
        BOOST_LEAF_AUTO(outside, control::make_environment(FLAGS_platform, FLAGS_timeout));
        outside.progress = [](const std::string& line) { std::cerr << line << std::endl; };
        return control::run(words, given_flags(), outside);
      },
      [](const control::failure& value) {
        return control::command_output{control::code_of(value), "",
                                       control::to_string(value) + "\n"};
      },
      [] {
        return control::command_output{control::exit_code::unavailable, "",
                                       "the command failed without a reason; report this\n"};
      });
  std::cerr << result.err;
  std::cout << result.out << std::flush;
  if (!std::cout) {
    std::cerr << "stdout could not be written; the command itself ended with code "
              << static_cast<int>(result.code) << std::endl;
    return static_cast<int>(control::exit_code::output_failed);
  }
  return static_cast<int>(result.code);
}
