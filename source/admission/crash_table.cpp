#include <algorithm>
#include <cmath>
#include <utility>

#include "admission/admission.h"

namespace damaskledge::admission {

namespace {

/// Connection resets and reports that arrive within this time belong to one death of a target;
/// many threads observe the same death.
constexpr milliseconds death_window{1'000};
/// Delay before an own conviction is sent to other nodes. By then their reports on the same death
/// have arrived, which may have revoked it.
constexpr milliseconds send_delay{300};
/// Limits on the pending report while `take_report` is not called.
constexpr std::size_t max_pending_deaths = 64;
constexpr std::size_t max_pending_cleared = 4'096;
/// Difference of ages at two deaths at which the likelihood is halved: in seconds, and as a
/// fraction of the larger age. The larger of the two tolerances applies.
constexpr double age_tolerance_seconds = 0.002;
constexpr double relative_age_tolerance = 0.05;
/// Lower bound of the likelihood per pair of deaths when the ages differ widely: load in the
/// upstream can delay a crash.
constexpr double min_age_likelihood = 0.01;
/// Factor for a fingerprint that was answered recently: it rarely crashes an upstream.
constexpr double recent_answer_factor = 0.05;
/// Likelihood that two deaths had causes other than a request, for each fingerprint that was in
/// flight at both: the more there are, the more likely it is that one has similar ages by chance.
constexpr double other_cause_likelihood = 0.03;
/// Factor on `other_cause_likelihood` for each death after the second. It is below
/// `min_age_likelihood`, so that a request with differing ages is still recognised at the third
/// death.
constexpr double further_death_factor = 0.002;
/// Share of the total likelihood that a fingerprint needs to be refused. A share above one half
/// means that at most one fingerprint is refused for the same deaths; the excess over one half is
/// margin for two fingerprints with similar ages.
constexpr double min_likelihood_share = 0.6;

double in_seconds(duration value) {
  return std::chrono::duration<double>(value).count();
}

} // namespace

crash_table::crash_table(crash_settings options) : options_(options) {}

void crash_table::started(time_point now, const id128& fingerprint, const std::string& target) {
  target_state& state = targets_[target];
  state.in_flight.push_back({fingerprint, now});
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
  if (suspicions_.contains(fingerprint) && pending_report_.cleared.size() < max_pending_cleared) {
    pending_report_.cleared.push_back(fingerprint);
  }
  clear(fingerprint);
  if (answered_[0].size() >= options_.max_entries / 2) {
    answered_[1] = std::move(answered_[0]);
    answered_[0].clear();
  }
  answered_[0][fingerprint] = now;
  prune(now);
}

void crash_table::clear(const id128& fingerprint) {
  suspicions_.erase(fingerprint);
  convictions_.erase(fingerprint);
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
  target_state& state = targets_[target];
  std::erase_if(state.recent_breaks,
                [&](const broken_attempt& it) { return now - it.ended > death_window; });
  state.recent_breaks.push_back({fingerprint, *started, now});
  // Attempts that started before a recorded death are already part of it.
  if (target_died && (!state.died || *started > state.died_at)) {
    record_death(now, state, target);
  }
  prune(now);
}

void crash_table::died(time_point now, const std::string& target) {
  const auto found = targets_.find(target);
  if (found == targets_.end()) {
    return;
  }
  target_state& state = found->second;
  std::erase_if(state.recent_breaks,
                [&](const broken_attempt& it) { return now - it.ended > death_window; });
  const bool has_unrecorded_break =
      std::any_of(state.recent_breaks.begin(), state.recent_breaks.end(),
                  [&](const auto& it) { return !state.died || it.started > state.died_at; });
  if (has_unrecorded_break) {
    record_death(now, state, target);
  }
  prune(now);
}

void crash_table::record_death(time_point now, target_state& state, const std::string& target) {
  time_point died_at = now;
  for (const broken_attempt& it : state.recent_breaks) {
    if (!state.died || it.started > state.died_at) {
      died_at = std::min(died_at, it.ended);
    }
  }
  std::unordered_map<id128, duration, id128_hash> ages;
  const auto add = [&](const id128& fingerprint, time_point started) {
    if ((!state.died || started > state.died_at) && started <= died_at) {
      const duration age = died_at - started;
      const auto [found, added] = ages.try_emplace(fingerprint, age);
      found->second = std::min(found->second, age);
    }
  };
  for (const broken_attempt& it : state.recent_breaks) {
    add(it.fingerprint, it.started);
  }
  for (const attempt& it : state.in_flight) {
    add(it.fingerprint, it.started);
  }
  state.died = true;
  state.died_at = died_at;
  state.recent_breaks.clear();
  death_report report{target, {}};
  for (const auto& [fingerprint, age] : ages) {
    report.members.push_back(
        {fingerprint, std::chrono::duration_cast<std::chrono::microseconds>(age)});
  }
  add_death(now, target, report.members);
  if (pending_report_.deaths.size() < max_pending_deaths) {
    pending_report_.deaths.push_back(std::move(report));
  }
}

void crash_table::add_death(time_point now, const std::string& target,
                            const std::vector<death_report::member>& members) {
  death_number number = 0;
  for (const auto& [candidate, known] : deaths_) {
    if (known.target == target && now - known.at <= death_window) {
      number = candidate;
    }
  }
  if (number == 0) {
    number = ++last_death_;
    deaths_.emplace(number, death{target, now, {}});
  }
  death& known = deaths_.at(number);
  for (const death_report::member& it : members) {
    if (known.ages.size() >= options_.max_entries ||
        (suspicions_.size() >= options_.max_entries && !suspicions_.contains(it.fingerprint))) {
      break;
    }
    const auto [found, added] = known.ages.try_emplace(it.fingerprint, it.age);
    if (!added) {
      found->second = std::min<duration>(found->second, it.age);
      continue;
    }
    auto& numbers = suspicions_[it.fingerprint];
    // Only the latest death of a target counts: repeated deaths can have a cause in the target.
    std::erase_if(numbers, [&](death_number earlier) {
      const auto other = deaths_.find(earlier);
      return other == deaths_.end() || other->second.target == target ||
             now - other->second.at > options_.suspicion_ttl;
    });
    numbers.push_back(number);
  }
  evaluate_death(now, number);
}

double crash_table::likelihood(time_point now, const id128& fingerprint,
                               const std::vector<death_number>& deaths) const {
  const auto age_at = [&](death_number number) {
    return in_seconds(deaths_.at(number).ages.at(fingerprint));
  };
  double result = 1;
  for (std::size_t it = 1; it < deaths.size(); ++it) {
    const double a = age_at(deaths[it - 1]);
    const double b = age_at(deaths[it]);
    const double tolerance =
        std::max(age_tolerance_seconds, relative_age_tolerance * std::max(a, b));
    const double ratio = std::pow((a - b) / tolerance, 4);
    result *= std::max(min_age_likelihood, 1 / (1 + ratio));
  }
  for (const auto& generation : answered_) {
    const auto found = generation.find(fingerprint);
    if (found != generation.end() && now - found->second <= options_.suspicion_ttl) {
      return result * recent_answer_factor;
    }
  }
  return result;
}

void crash_table::update_conviction(time_point now, death_number number, const id128& fingerprint,
                                    bool convict) {
  const auto found = convictions_.find(fingerprint);
  if (convict) {
    if (found == convictions_.end()) {
      convictions_.emplace(fingerprint,
                           conviction{now, now + options_.conviction_ttl, true, number});
    }
  } else if (found != convictions_.end() && found->second.own && found->second.death == number) {
    // A report from another node has added other suspects to the same death.
    convictions_.erase(found);
  }
}

void crash_table::evaluate_death(time_point now, death_number number) {
  const auto& ages = deaths_.at(number).ages;
  std::size_t most_deaths = 0;
  // Fingerprints that were cleared after the death was reported have no suspicions left.
  std::vector<std::pair<id128, const std::vector<death_number>*>> suspects;
  for (const auto& [fingerprint, age] : ages) {
    const auto found = suspicions_.find(fingerprint);
    if (found != suspicions_.end() && found->second.back() == number) {
      suspects.emplace_back(fingerprint, &found->second);
      most_deaths = std::max(most_deaths, found->second.size());
    }
  }
  // Only the fingerprints with the most deaths can explain all of them.
  std::vector<double> likelihoods;
  double sum = 0;
  std::size_t candidate_count = 0;
  for (const auto& [fingerprint, deaths] : suspects) {
    const bool is_candidate = most_deaths >= 2 && deaths->size() == most_deaths;
    likelihoods.push_back(is_candidate ? likelihood(now, fingerprint, *deaths) : 0);
    sum += likelihoods.back();
    candidate_count += is_candidate ? 1 : 0;
  }
  sum += other_cause_likelihood * static_cast<double>(candidate_count) *
         std::pow(further_death_factor, static_cast<double>(most_deaths) - 2);
  for (std::size_t it = 0; it < suspects.size(); ++it) {
    double weight = 0;
    for (const death_number earlier : *suspects[it].second) {
      weight += 1.0 / static_cast<double>(deaths_.at(earlier).ages.size());
    }
    const bool convict = weight >= options_.threshold ||
                         (candidate_count > 0 && likelihoods[it] / sum >= min_likelihood_share);
    update_conviction(now, number, suspects[it].first, convict);
  }
}

crash_report crash_table::take_report() {
  return std::exchange(pending_report_, {});
}

void crash_table::heard_report(time_point now, const crash_report& report) {
  for (const id128& it : report.cleared) {
    clear(it);
  }
  for (const death_report& it : report.deaths) {
    add_death(now, it.target, it.members);
  }
  prune(now);
}

bool crash_table::convicted(time_point now, const id128& fingerprint) const {
  const auto found = convictions_.find(fingerprint);
  return found != convictions_.end() && now < found->second.until;
}

void crash_table::heard(time_point now, const id128& fingerprint) {
  if (convictions_.size() < options_.max_entries) {
    convictions_.try_emplace(fingerprint, conviction{now, now + options_.conviction_ttl, false, 0});
  }
}

std::vector<id128> crash_table::convictions(time_point now) const {
  std::vector<id128> result;
  for (const auto& [fingerprint, entry] : convictions_) {
    if (entry.own && now < entry.until && now - entry.since >= send_delay) {
      result.push_back(fingerprint);
    }
  }
  return result;
}

void crash_table::prune(time_point now) {
  if (now - last_prune_ < options_.suspicion_ttl / 4) {
    return;
  }
  last_prune_ = now;
  std::erase_if(deaths_,
                [&](const auto& it) { return now - it.second.at > options_.suspicion_ttl; });
  for (auto it = suspicions_.begin(); it != suspicions_.end();) {
    std::erase_if(it->second, [&](death_number number) { return !deaths_.contains(number); });
    it = it->second.empty() ? suspicions_.erase(it) : std::next(it);
  }
  std::erase_if(convictions_, [&](const auto& it) { return now >= it.second.until; });
  std::erase_if(targets_, [&](const auto& it) {
    const target_state& state = it.second;
    const bool recently_broken =
        !state.recent_breaks.empty() && now - state.recent_breaks.back().ended <= death_window;
    return state.in_flight.empty() && !recently_broken &&
           now - state.died_at > options_.suspicion_ttl;
  });
}

} // namespace damaskledge::admission
