#include "check/check.h"

#include <algorithm>
#include <array>
#include <utility>

#include "check/simulation.h"

namespace damaskledge::check {

namespace {

/// Events in one simulated second and per process, about; sets the time over which the faults
/// are spread.
constexpr std::uint64_t events_per_process_second = 190;
constexpr milliseconds first_fault{5'000};
constexpr double faulty_part = 0.75;

constexpr std::array all_kinds{
    fault_kind::cut_from_data_centres,
    fault_kind::cut_from_platform,
    fault_kind::platform_outage,
    fault_kind::platform_slow,
    fault_kind::platform_loses_answers,
    fault_kind::platform_stale_reads,
    fault_kind::pause,
    fault_kind::restart,
    fault_kind::replace_data_centre,
    fault_kind::bad_network,
    fault_kind::platform_restored,
};
/// Kinds that are drawn where none are named.
constexpr std::size_t usual_kinds = all_kinds.size() - 1;

std::string_view name_of(fault_kind kind) {
  constexpr std::array<std::string_view, all_kinds.size()> names{"cut-from-data-centres",
                                                                 "cut-from-platform",
                                                                 "platform-outage",
                                                                 "platform-slow",
                                                                 "platform-loses-answers",
                                                                 "platform-stale-reads",
                                                                 "pause",
                                                                 "restart",
                                                                 "replace-data-centre",
                                                                 "bad-network",
                                                                 "platform-restored"};
  return names.at(static_cast<std::size_t>(kind));
}

} // namespace

std::string to_string(const fault& value) {
  return std::to_string(value.at.count()) + " ms " + std::string(name_of(value.kind)) +
         " subject " + std::to_string(value.subject) + " for " +
         std::to_string(value.lasts.count()) + " ms";
}

std::vector<fault_kind> all_fault_kinds() {
  return {all_kinds.begin(), all_kinds.end()};
}

std::vector<fault> draw_schedule(const options& wanted) {
  // A generator of its own, so that a shortened schedule leaves the rest of the run unchanged.
  std::mt19937_64 random(wanted.seed ^ 0x9e3779b97f4a7c15ULL);
  const std::uint64_t processes = wanted.data_centres * wanted.nodes_per_data_centre;
  const double horizon = static_cast<double>(wanted.steps) * faulty_part /
                         static_cast<double>(events_per_process_second * processes) * 1'000;
  std::vector<fault> result;
  milliseconds at = first_fault;
  while (static_cast<double>(at.count()) < horizon) {
    fault next;
    next.kind = wanted.kinds.empty() ? all_kinds.at(random() % usual_kinds)
                                     : wanted.kinds[random() % wanted.kinds.size()];
    next.at = at;
    next.subject = random() % processes;
    // Mostly short, sometimes longer than every term.
    const std::uint64_t longest = random() % 4 == 0 ? 15'000 : 2'000;
    next.lasts = milliseconds(50 + random() % longest);
    result.push_back(next);
    at += milliseconds(random() % 3'000);
  }
  return result;
}

result run(const options& wanted, const std::vector<fault>& schedule) {
  return simulation(wanted, schedule).run();
}

std::vector<fault> shorten(const options& wanted, std::vector<fault> schedule,
                           const std::string& promise, int tries) {
  const auto still_fails = [&](const std::vector<fault>& candidate) {
    const result again = run(wanted, candidate);
    return again.failed && again.failed->promise == promise;
  };
  for (std::size_t size = schedule.size() / 2; size > 0; size /= 2) {
    for (std::size_t first = 0; first + size <= schedule.size() && tries > 0;) {
      std::vector<fault> candidate = schedule;
      candidate.erase(candidate.begin() + static_cast<std::ptrdiff_t>(first),
                      candidate.begin() + static_cast<std::ptrdiff_t>(first + size));
      --tries;
      if (still_fails(candidate)) {
        schedule = std::move(candidate);
      } else {
        first += size;
      }
    }
  }
  return schedule;
}

} // namespace damaskledge::check
