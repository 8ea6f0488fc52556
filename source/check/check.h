/// @file
/// Long randomised runs of the decision code: many control cores in one process over a simulated
/// network, platform and clocks, with faults from a schedule and a simple oracle beside them.
#pragma once

#include <cstdint>
#include <iosfwd>
#include <optional>
#include <string>
#include <vector>

#include "common/common.h"

namespace damaskledge::check {

/// What goes wrong.
enum class fault_kind : std::uint8_t {
  /// A data centre loses the others.
  cut_from_data_centres,
  /// A data centre loses the platform.
  cut_from_platform,
  platform_outage,
  platform_slow,
  /// Answers of writes are lost after the write.
  platform_loses_answers,
  /// Reads return the version before the current one.
  platform_stale_reads,
  /// A process does not run; its clocks go on.
  pause,
  /// A process ends and starts again with nothing in memory.
  restart,
  /// All processes of a data centre are replaced.
  replace_data_centre,
  /// Datagrams are lost, repeated and delayed more often.
  bad_network,
  /// The platform loses what was written while the fault lasts. Drawn only where it is asked for.
  platform_restored,
};

struct fault {
  fault_kind kind{};
  milliseconds at{0};
  milliseconds lasts{0};
  /// Data centre or process, by index.
  std::size_t subject = 0;

  bool operator==(const fault&) const = default;
};

/// @return one line for people.
std::string to_string(const fault& value);

struct options {
  std::uint64_t seed = 1;
  /// Simulated events.
  std::uint64_t steps = 200'000;
  std::size_t data_centres = 3;
  std::size_t nodes_per_data_centre = 3;
  /// Kinds that the schedule draws from; empty for all but restorations.
  std::vector<fault_kind> kinds;
};

struct failure {
  std::uint64_t step = 0;
  milliseconds at{0};
  std::string promise;
  std::string detail;
};

struct result {
  std::optional<failure> failed;
  /// The schedule that was run.
  std::vector<fault> schedule;
  std::uint64_t steps = 0;
  milliseconds simulated{0};
  std::uint64_t tokens_taken = 0;
  std::uint64_t tokens_refused = 0;
  /// Requests inside an account's rate after the faults, and how many of them were refused.
  std::uint64_t judged_requests = 0;
  std::uint64_t judged_refusals = 0;
  std::uint64_t operations_run = 0;
  std::uint64_t operations_refused = 0;
  std::uint64_t configurations_applied = 0;
  std::uint64_t coordinator_changes = 0;
};

/// @return all kinds, with restorations of the platform.
std::vector<fault_kind> all_fault_kinds();
/// @return the faults that a seed draws.
std::vector<fault> draw_schedule(const options& wanted);
/// Runs one seed. The same options and schedule give the same result.
result run(const options& wanted, const std::vector<fault>& schedule);
/// Removes faults from a failing schedule while the same promise still fails.
/// @param tries runs that may be spent.
std::vector<fault> shorten(const options& wanted, std::vector<fault> schedule,
                           const std::string& promise, int tries);

} // namespace damaskledge::check
