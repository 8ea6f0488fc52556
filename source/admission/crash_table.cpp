#include <algorithm>
#include <cmath>

#include "admission/admission.h"

namespace damaskledge::admission {

namespace {

/// Resets of one death are reported by many threads within this time.
constexpr milliseconds death_window{1'000};
/// Difference of ages at two deaths at which the likelihood is halved: in seconds, and as a part
/// of the larger age.
constexpr double age_tolerance = 0.002;
constexpr double relative_age_tolerance = 0.05;
/// Likelihood of a fingerprint whose ages differ widely: load in the upstream can delay a crash.
constexpr double least_age_likelihood = 0.01;
/// A fingerprint that was answered shortly before seldom crashes an upstream.
constexpr double answered_likelihood = 0.05;
/// Likelihood that two deaths had causes other than a request, for each fingerprint that was in
/// flight at both: the more there are, the more likely is one with similar ages by chance.
constexpr double other_cause = 0.03;
/// Factor for each further death. It is below `least_age_likelihood`, so that a request with
/// differing ages is still recognised at the third death.
constexpr double further_other_cause = 0.002;
/// Part of the total likelihood that a fingerprint must have to be refused. Above one half, at
/// most one fingerprint can be refused for the same deaths; the rest is margin for two
/// fingerprints with similar ages.
constexpr double decisive_part = 0.6;

double in_seconds(duration value) {
  return std::chrono::duration<double>(value).count();
}

} // namespace

crash_table::crash_table(crash_settings options) : options_(options) {}

void crash_table::started(time_point now, const id128& fingerprint, const std::string& target) {
  target_row& row = targets_[target];
  row.in_flight.push_back({fingerprint, now});
}

std::optional<time_point> crash_table::end_attempt(const id128& fingerprint,
                                                   const std::string& target) {
  const auto found = targets_.find(target);
  if (found == targets_.end()) {
    return std::nullopt;
  }
  auto& attempts = found->second.in_flight;
  const auto it = std::find_if(attempts.begin(), attempts.end(), [&](const attempt& candidate) {
    return candidate.fingerprint == fingerprint;
  });
  if (it == attempts.end()) {
    return std::nullopt;
  }
  const time_point started = it->started;
  *it = attempts.back();
  attempts.pop_back();
  return started;
}

void crash_table::answered(time_point now, const id128& fingerprint, const std::string& target) {
  (void)end_attempt(fingerprint, target);
  suspicions_.erase(fingerprint);
  convictions_.erase(fingerprint);
  if (answered_[0].size() >= options_.max_entries / 2) {
    answered_[1] = std::move(answered_[0]);
    answered_[0].clear();
  }
  answered_[0][fingerprint] = now;
  prune(now);
}

void crash_table::abandoned(const id128& fingerprint, const std::string& target) {
  (void)end_attempt(fingerprint, target);
}

void crash_table::broken(time_point now, const id128& fingerprint, const std::string& target,
                         bool target_died) {
  const auto started = end_attempt(fingerprint, target);
  if (!started) {
    return;
  }
  target_row& row = targets_[target];
  std::erase_if(row.recent,
                [&](const broken_attempt& it) { return now - it.ended > death_window; });
  row.recent.push_back({fingerprint, *started, now});
  // Attempts that started before a recorded death have their part in it already.
  if (target_died && (!row.died || *started > row.died_at)) {
    record_death(now, row, target);
  }
  prune(now);
}

void crash_table::record_death(time_point now, target_row& row, const std::string& target) {
  time_point died_at = now;
  for (const broken_attempt& it : row.recent) {
    if (!row.died || it.started > row.died_at) {
      died_at = std::min(died_at, it.ended);
    }
  }
  std::unordered_map<id128, duration, id128_hash> ages;
  const auto add = [&](const id128& fingerprint, time_point started) {
    if ((!row.died || started > row.died_at) && started <= died_at) {
      const duration age = died_at - started;
      const auto [found, added] = ages.try_emplace(fingerprint, age);
      found->second = std::min(found->second, age);
    }
  };
  for (const broken_attempt& it : row.recent) {
    add(it.fingerprint, it.started);
  }
  for (const attempt& it : row.in_flight) {
    add(it.fingerprint, it.started);
  }
  row.died = true;
  row.died_at = died_at;
  row.recent.clear();
  std::vector<id128> present;
  for (const auto& [fingerprint, age] : ages) {
    if (suspicions_.size() >= options_.max_entries && !suspicions_.contains(fingerprint)) {
      continue;
    }
    auto& deaths = suspicions_[fingerprint];
    // Repeated deaths of one target can have a cause in the target.
    std::erase_if(deaths, [&](const suspicion& it) {
      return it.target == target || now - it.at > options_.suspicion_lapse;
    });
    deaths.push_back({target, now, 1.0 / static_cast<double>(ages.size()), age});
    present.push_back(fingerprint);
  }
  judge(now, present);
}

double crash_table::likelihood(time_point now, const id128& fingerprint,
                               const std::vector<suspicion>& deaths) const {
  double result = 1;
  for (std::size_t it = 1; it < deaths.size(); ++it) {
    const double a = in_seconds(deaths[it - 1].age);
    const double b = in_seconds(deaths[it].age);
    const double tolerance = std::max(age_tolerance, relative_age_tolerance * std::max(a, b));
    const double ratio = std::pow((a - b) / tolerance, 4);
    result *= std::max(least_age_likelihood, 1 / (1 + ratio));
  }
  for (const auto& generation : answered_) {
    const auto found = generation.find(fingerprint);
    if (found != generation.end() && now - found->second <= options_.suspicion_lapse) {
      return result * answered_likelihood;
    }
  }
  return result;
}

void crash_table::judge(time_point now, const std::vector<id128>& present) {
  std::vector<std::pair<id128, double>> repeated;
  double sum = 0;
  std::size_t most_deaths = 0;
  for (const id128& it : present) {
    const auto& deaths = suspicions_.at(it);
    double weight = 0;
    for (const suspicion& death : deaths) {
      weight += death.weight;
    }
    if (weight >= options_.threshold) {
      convictions_[it] = {now + options_.conviction_lapse, true};
    }
    most_deaths = std::max(most_deaths, deaths.size());
  }
  if (most_deaths < 2) {
    return;
  }
  // Only those present at the most deaths explain all of them.
  for (const id128& it : present) {
    const auto& deaths = suspicions_.at(it);
    if (deaths.size() == most_deaths) {
      repeated.emplace_back(it, likelihood(now, it, deaths));
      sum += repeated.back().second;
    }
  }
  sum += other_cause * static_cast<double>(repeated.size()) *
         std::pow(further_other_cause, static_cast<double>(most_deaths - 2));
  for (const auto& [fingerprint, value] : repeated) {
    if (value / sum >= decisive_part) {
      convictions_[fingerprint] = {now + options_.conviction_lapse, true};
    }
  }
}

bool crash_table::convicted(time_point now, const id128& fingerprint) const {
  const auto found = convictions_.find(fingerprint);
  return found != convictions_.end() && now < found->second.until;
}

void crash_table::heard(time_point now, const id128& fingerprint) {
  if (convictions_.size() < options_.max_entries) {
    convictions_.try_emplace(fingerprint, conviction{now + options_.conviction_lapse, false});
  }
}

std::vector<id128> crash_table::convictions(time_point now) const {
  std::vector<id128> result;
  for (const auto& [fingerprint, entry] : convictions_) {
    if (entry.own && now < entry.until) {
      result.push_back(fingerprint);
    }
  }
  return result;
}

void crash_table::prune(time_point now) {
  if (now - last_prune_ < options_.suspicion_lapse / 4) {
    return;
  }
  last_prune_ = now;
  std::erase_if(suspicions_, [&](const auto& it) {
    return now - it.second.back().at > options_.suspicion_lapse;
  });
  std::erase_if(convictions_, [&](const auto& it) { return now >= it.second.until; });
  std::erase_if(targets_, [&](const auto& it) {
    return it.second.in_flight.empty() && now - it.second.died_at > options_.suspicion_lapse;
  });
}

} // namespace damaskledge::admission
