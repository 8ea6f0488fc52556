/// @file
/// Logic of the operators' program damaskledgectl: commands, exit codes, conditional
/// updates of the documents, and waiting until a version is in force.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "common/common.h"
#include "config/config.h"
#include "platform/platform.h"

namespace damaskledge::control {

/// Exit codes of damaskledgectl. docs/operators.md lists them; values never change meaning.
enum class exit_code : std::uint8_t {
  success = 0,
  /// Wrong command, argument or flag. gflags exits with the same code for unknown flags.
  usage = 1,
  /// `diff` found differences.
  different = 2,
  /// A file or stored document does not pass its checks.
  invalid = 3,
  /// Another write came first.
  lost_race = 4,
  /// The platform or a node could not be reached, and nothing was changed.
  unavailable = 5,
  /// It is not known whether the write took effect.
  unresolved = 6,
  /// The write took effect, but `--wait-timeout` passed before every node confirmed it.
  not_confirmed = 7,
  /// The account, key or request does not exist.
  not_found = 8,
  /// The command took effect, but its output could not be written to stdout.
  output_failed = 9,
};

struct usage_error {
  std::string what;
};
/// Carries the errors of files or of a stored document.
struct invalid_input {
  std::vector<parse_error> errors;
};
struct lost_race {
  std::string document;
  std::uint64_t expected_version = 0;
  std::uint64_t current_version = 0;
  /// What the winner changed, one line for each change.
  std::vector<std::string> changes;
};
struct unavailable {
  std::string what;
};
struct unresolved {
  std::string what;
};
struct not_found {
  std::string what;
};

/// Why a command failed. Carried by LEAF.
using failure = std::variant<usage_error, invalid_input, lost_race, unavailable, unresolved,
                             not_found, environment_error>;

/// @return the exit code for the failure.
exit_code code_of(const failure& value);
/// @return text for people that names the remedy; may have several lines.
std::string to_string(const failure& value);

/// Flags as given on the command line.
struct flags {
  std::string accounts;
  std::string plans;
  std::string node;
  std::string account;
  /// -1: the version read at the start.
  std::int64_t expect_version = -1;
  bool wait = false;
  std::string wait_timeout = "30s";
  /// "text" or "json".
  std::string output = "text";
};

/// Reply of a node's local endpoint.
struct node_reply {
  /// HTTP status; 0 when there was no reply, and `body` then has the reason.
  int status = 0;
  std::string body;
};

/// What commands need from outside the process. Tests replace each part.
struct environment {
  std::function<platform::answer(const platform::call&)> platform;
  /// GET of a path from a node's metrics port. May be called from several threads at once.
  std::function<node_reply(const endpoint& node, const std::string& path)> get;
  std::function<time_point()> now;
  std::function<void(milliseconds)> sleep;
  /// Shows one line of progress; damaskledgectl writes it to stderr.
  std::function<void(const std::string& line)> progress;
};

/// @param platform_endpoints comma-separated "address:port"; may be empty for commands that
/// need no platform.
/// @param call_timeout bound on one exchange, as a duration with its unit.
/// @return an environment with an HTTP client of the platform, or a `failure` through LEAF.
leaf::result<environment> make_environment(std::string_view platform_endpoints,
                                           std::string_view call_timeout);

/// What a command prints and the code it exits with.
struct command_output {
  exit_code code = exit_code::success;
  /// For stdout; ends with a newline unless empty.
  std::string out;
  /// For stderr; ends with a newline unless empty.
  std::string err;
};

/// Runs one command.
/// @param words the command and its arguments without flags, for example {"keys", "list"}.
command_output run(const std::vector<std::string>& words, const flags& given,
                   const environment& outside);

/// @param words a command, or empty for the list of commands.
/// @return the help text, or an empty string when there is no such command.
std::string help(const std::vector<std::string>& words);

/// @return a new key "dlk_<id>_<secret>" and its record. The secret is 32 bytes of the
/// operating system's generator in base64url (43 characters); the record has its SHA-256.
std::pair<std::string, config::key_record> make_key(const std::string& account,
                                                    unix_milliseconds now);

} // namespace damaskledge::control
