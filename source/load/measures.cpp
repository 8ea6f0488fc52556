#include <algorithm>
#include <array>
#include <cmath>
#include <numeric>
#include <set>
#include <tuple>

#include "load/load.h"

namespace damaskledge::load {

namespace {

/// A call with its final result.
struct call_result {
  duration intended{0};
  bool good = false;
  /// From the intended time of the first attempt.
  duration latency{0};
};

/// @return the final result of each arrival.
std::vector<call_result> final_results(const std::vector<arrival>& arrivals,
                                       const std::vector<attempt_record>& attempts) {
  std::vector<call_result> result(arrivals.size());
  for (std::size_t it = 0; it < arrivals.size(); ++it) {
    result[it].intended = arrivals[it].at;
  }
  for (const attempt_record& it : attempts) {
    if (it.last) {
      result[it.arrival].good = it.result == result_kind::good;
      result[it.arrival].latency = it.ended - arrivals[it.arrival].at;
    }
  }
  return result;
}

/// What the judgement of an account's plan says about an attempt.
enum class verdict : std::uint8_t { proper, refused_in_rate, admitted_above_rate };

/// Judgement of all calls and attempts of a run by the plans of their accounts. It covers the
/// whole run, because the plans' buckets carry over from one phase to the next.
struct judgement {
  /// By arrival: the call is within its plan.
  std::vector<bool> in_rate;
  /// By attempt.
  std::vector<verdict> attempts;
};

double ratio(std::uint64_t part, std::uint64_t whole) {
  return whole == 0 ? 1 : static_cast<double>(part) / static_cast<double>(whole);
}

double in_seconds(duration value) {
  return std::chrono::duration<double>(value).count();
}

/// Share of good calls and their latency in a stretch of the run. Calls are in the order of
/// their intended times.
struct stretch {
  std::uint64_t offered = 0;
  std::uint64_t good = 0;
  latency_histogram latency;
};

stretch measure_stretch(const std::vector<call_result>& calls, duration from, duration until) {
  stretch result;
  auto it = std::lower_bound(calls.begin(), calls.end(), from,
                             [](const call_result& a, duration b) { return a.intended < b; });
  for (; it != calls.end() && it->intended < until; ++it) {
    ++result.offered;
    if (it->good) {
      ++result.good;
      result.latency.add(it->latency);
    }
  }
  return result;
}

/// @return the time after `from` at which the first window starts that is as good as the
/// base phases, or nothing when there is none that ends before `limit`.
std::optional<double> find_recovery(const std::vector<call_result>& calls, const stretch& base,
                                    duration from, duration limit) {
  for (duration start = from; start + recovery_window <= limit; start += recovery_step) {
    const stretch window = measure_stretch(calls, start, start + recovery_window);
    // The share of the offered calls and not their number is compared, because Poisson
    // arrivals alone make the number vary by more than one per cent.
    if (window.offered > 0 &&
        ratio(window.good, window.offered) >= recovered_goodput * ratio(base.good, base.offered) &&
        window.latency.quantile(0.9) <= recovered_latency * base.latency.quantile(0.9)) {
      return in_seconds(start - from);
    }
  }
  return std::nullopt;
}

std::vector<phase_report> measure_phases(const scenario& value,
                                         const std::vector<call_result>& calls) {
  // The first undisturbed phase is the reference of all others.
  const auto reference = std::find_if(value.phases.begin(), value.phases.end(),
                                      [](const phase& it) { return it.is_base(); });
  stretch base;
  if (reference != value.phases.end()) {
    base = measure_stretch(calls, reference->start, reference->start + reference->length);
  }
  std::vector<phase_report> result;
  for (std::size_t n = 0; n < value.phases.size(); ++n) {
    const phase& it = value.phases[n];
    const duration end = it.start + it.length;
    const stretch part = measure_stretch(calls, it.start, end);
    phase_report out;
    out.name = it.name;
    out.seconds = in_seconds(it.length);
    out.offered = part.offered;
    out.good = part.good;
    out.goodput = static_cast<double>(part.good) / out.seconds;
    out.latency = part.latency.summary();
    out.is_base = it.is_base();
    if (!it.is_base()) {
      // The demand is that of the base again until the next phase with factors.
      duration limit = value.length;
      for (std::size_t later = n + 1; later < value.phases.size(); ++later) {
        if (!value.phases[later].is_base()) {
          limit = value.phases[later].start;
          break;
        }
      }
      out.recovery_seconds = find_recovery(calls, base, end, limit);
    }
    result.push_back(std::move(out));
  }
  return result;
}

/// @return true when the attempt used a token of the plan, as far as the caller can tell.
bool was_admitted(const attempt_record& it) {
  // A connection that failed mostly never reached a node that runs.
  return it.result != result_kind::refused && it.result != result_kind::not_sent &&
         it.result != result_kind::connection_failed;
}

/// @return tokens by which the judgement of an account favours the nodes.
double slack_of(const scenario& value, const account_demand& demand) {
  return std::max(1.0, value.slack_fraction * demand.burst) +
         demand.rate * in_seconds(value.slack_time);
}

judgement judge(const scenario& value, const run_result& result) {
  judgement out;
  std::vector<token_judge> offered;
  for (const account_demand& it : value.accounts) {
    offered.emplace_back(it.rate, it.burst);
  }
  for (const arrival& it : result.arrivals) {
    out.in_rate.push_back(offered[it.account].take(it.at));
  }

  std::vector<std::size_t> order(result.attempts.size());
  std::iota(order.begin(), order.end(), std::size_t{0});
  std::sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
    return result.attempts[a].sent < result.attempts[b].sent;
  });
  // Two buckets, because the slack favours the nodes in both judgements: a refusal is wrong
  // only with tokens to spare, and an admission only when tokens lack by more than the slack.
  std::vector<token_judge> exact;
  std::vector<token_judge> generous;
  for (const account_demand& it : value.accounts) {
    exact.emplace_back(it.rate, it.burst);
    generous.emplace_back(it.rate, it.burst + slack_of(value, it));
  }
  out.attempts.resize(result.attempts.size(), verdict::proper);
  for (const std::size_t n : order) {
    const attempt_record& it = result.attempts[n];
    const std::uint32_t account = result.arrivals[it.arrival].account;
    if (was_admitted(it)) {
      exact[account].spend(it.sent);
      if (!generous[account].take(it.sent)) {
        out.attempts[n] = verdict::admitted_above_rate;
      }
    } else if (it.result == result_kind::refused &&
               exact[account].tokens(it.sent) >= 1 + slack_of(value, value.accounts[account])) {
      out.attempts[n] = verdict::refused_in_rate;
    }
  }
  return out;
}

/// Measures the calls of all accounts with their intended time from `from` and before `until`.
std::vector<account_report> measure_accounts(const scenario& value, const run_result& result,
                                             const std::vector<call_result>& calls,
                                             const judgement& judged, duration from,
                                             duration until) {
  struct window_counts {
    std::uint64_t in_rate = 0;
    std::uint64_t good = 0;
    std::uint64_t refused = 0;
  };
  std::vector<account_report> out(value.accounts.size());
  std::vector<std::map<duration::rep, window_counts>> windows(value.accounts.size());
  const auto covers = [&](const arrival& it) { return it.at >= from && it.at < until; };
  for (std::size_t it = 0; it < result.arrivals.size(); ++it) {
    const arrival& what = result.arrivals[it];
    if (covers(what)) {
      ++out[what.account].offered;
      window_counts& window = windows[what.account][(what.at - from) / served_window];
      window.in_rate += judged.in_rate[it] ? 1 : 0;
      window.good += calls[it].good ? 1 : 0;
    }
  }
  for (std::size_t n = 0; n < result.attempts.size(); ++n) {
    const attempt_record& it = result.attempts[n];
    const arrival& what = result.arrivals[it.arrival];
    if (!covers(what)) {
      continue;
    }
    account_report& account = out[what.account];
    account.refused_attempts += it.result == result_kind::refused ? 1 : 0;
    account.admitted_above_rate += judged.attempts[n] == verdict::admitted_above_rate ? 1 : 0;
    if (judged.attempts[n] == verdict::refused_in_rate) {
      ++account.refused_in_rate;
      account.rate_refused_in_rate += it.reason == refusal_reason::rate_exceeded ? 1 : 0;
      windows[what.account][(what.at - from) / served_window].refused += it.last ? 1 : 0;
    }
  }
  for (std::size_t n = 0; n < out.size(); ++n) {
    out[n].name = value.accounts[n].name;
    out[n].slack_tokens = slack_of(value, value.accounts[n]);
    std::uint64_t served = 0;
    for (const auto& [number, it] : windows[n]) {
      out[n].in_rate += it.in_rate;
      out[n].good += it.good;
      const std::uint64_t served_here = std::min(it.good, it.in_rate);
      served += served_here;
      out[n].calls_refused_in_rate += std::min(it.refused, it.in_rate - served_here);
    }
    out[n].served = ratio(served, out[n].in_rate);
  }
  return out;
}

/// Adds what one phase has beyond its calls' results: routes, attempts and accounts.
void measure_details(const scenario& value, const run_result& result,
                     const std::vector<call_result>& calls, const judgement& judged,
                     const phase& part, phase_report& out) {
  const duration end = part.start + part.length;
  const auto covers = [&](const arrival& it) { return it.at >= part.start && it.at < end; };
  for (std::size_t it = 0; it < result.arrivals.size(); ++it) {
    const arrival& what = result.arrivals[it];
    if (covers(what)) {
      route_report& route = out.routes[value.accounts[what.account].calls[what.call].route];
      ++route.offered;
      route.in_rate += judged.in_rate[it] ? 1 : 0;
      route.good += calls[it].good ? 1 : 0;
    }
  }
  for (const attempt_record& it : result.attempts) {
    if (!covers(result.arrivals[it.arrival])) {
      continue;
    }
    ++out.attempts;
    if (it.last) {
      ++out.results[std::string(to_string(it.result))];
    }
    if (it.result == result_kind::refused && it.reason) {
      ++out.refusals[std::string(to_string(*it.reason))];
    }
  }
  out.accounts = measure_accounts(value, result, calls, judged, part.start, end);
}

std::vector<timeline_entry> measure_timeline(const scenario& value, const run_result& result,
                                             const judgement& judged) {
  const auto steps =
      static_cast<std::size_t>((value.length + timeline_step - duration{1}) / timeline_step);
  std::vector<timeline_entry> out(steps);
  for (std::size_t it = 0; it < result.arrivals.size(); ++it) {
    const auto step = static_cast<std::size_t>(result.arrivals[it].at / timeline_step);
    if (step < out.size()) {
      ++out[step].offered;
      out[step].in_rate += judged.in_rate[it] ? 1 : 0;
    }
  }
  for (const attempt_record& it : result.attempts) {
    const auto step = static_cast<std::size_t>(it.ended / timeline_step);
    if (it.result == result_kind::good && step < out.size()) {
      ++out[step].good;
    }
  }
  return out;
}

/// @return executions beyond the first of each operation of a service and account.
std::uint64_t count_duplicates(const std::vector<execution>& executions) {
  std::set<std::tuple<std::string, std::string, std::string>> seen;
  std::uint64_t result = 0;
  for (const execution& it : executions) {
    if (!it.operation.empty() && !seen.emplace(it.service, it.account, it.operation).second) {
      ++result;
    }
  }
  return result;
}

/// @return latencies of the first attempts that were good, from the time of sending, so
/// that waiting in the tool counts for neither side of a comparison.
quantiles first_attempt_latency(const scenario& value, const std::vector<arrival>& arrivals,
                                const std::vector<attempt_record>& attempts,
                                const std::set<std::pair<std::uint32_t, std::uint32_t>>& kinds) {
  latency_histogram result;
  for (const attempt_record& it : attempts) {
    const arrival& what = arrivals[it.arrival];
    if (it.attempt == 1 && it.result == result_kind::good &&
        kinds.contains({what.account, what.call})) {
      result.add(it.ended - it.sent - 2 * value.caller_delay);
    }
  }
  return result.summary();
}

direct_report measure_direct(const scenario& value, const run_result& result) {
  // Only the kinds of calls that went both ways are compared.
  std::set<std::pair<std::uint32_t, std::uint32_t>> kinds;
  for (const arrival& it : result.direct_arrivals) {
    kinds.emplace(it.account, it.call);
  }
  return {first_attempt_latency(value, result.arrivals, result.attempts, kinds),
          first_attempt_latency(value, result.direct_arrivals, result.direct_attempts, kinds)};
}

} // namespace

std::string_view to_string(result_kind kind) {
  constexpr std::array<std::string_view, 8> names{
      "good", "late", "wrong", "refused", "failed", "timed-out", "connection-failed", "not-sent"};
  return names.at(static_cast<std::size_t>(kind));
}

bool report::promise_broken() const {
  const auto wrong = results.find(std::string(to_string(result_kind::wrong)));
  return (wrong != results.end() && wrong->second > 0) || duplicates.value_or(0) > 0 ||
         leaked_keys.value_or(0) > 0;
}

report measure(const scenario& value, const run_result& result,
               const std::optional<executions_result>& executions) {
  const std::vector<call_result> calls = final_results(result.arrivals, result.attempts);
  report out;
  out.seconds = in_seconds(value.length);
  out.offered = calls.size();
  out.attempts = result.attempts.size();
  out.quantile_relative_error = latency_histogram::relative_error();
  out.opened_connections = result.opened_connections;
  const judgement judged = judge(value, result);
  out.phases = measure_phases(value, calls);
  for (std::size_t it = 0; it < value.phases.size(); ++it) {
    measure_details(value, result, calls, judged, value.phases[it], out.phases[it]);
  }
  out.timeline = measure_timeline(value, result, judged);
  out.accounts = measure_accounts(value, result, calls, judged, duration{0}, duration::max());
  for (std::uint32_t it = 0; it < value.accounts.size(); ++it) {
    const account_report& account = out.accounts[it];
    out.refused_in_rate += account.refused_in_rate;
    out.rate_refused_in_rate += account.rate_refused_in_rate;
    out.admitted_above_rate += account.admitted_above_rate;
    if (account.in_rate > 0 &&
        (!out.worst_served || account.served < out.accounts[*out.worst_served].served)) {
      out.worst_served = it;
    }
  }
  std::map<std::string, std::pair<std::uint64_t, std::uint64_t>> importance_shares;
  for (std::size_t it = 0; it < calls.size(); ++it) {
    const arrival& what = result.arrivals[it];
    auto& [good, all] = importance_shares[std::string(
        to_string(value.accounts[what.account].calls[what.call].importance))];
    ++all;
    good += calls[it].good ? 1 : 0;
    out.good += calls[it].good ? 1 : 0;
  }
  for (const auto& [name, share] : importance_shares) {
    out.good_share_by_importance[name] = ratio(share.first, share.second);
  }
  out.goodput = static_cast<double>(out.good) / out.seconds;

  latency_histogram from_intended;
  latency_histogram from_sent;
  latency_histogram send_delay;
  for (const attempt_record& it : result.attempts) {
    if (it.last) {
      ++out.results[std::string(to_string(it.result))];
    }
    if (it.result == result_kind::refused && it.reason) {
      ++out.refusals[std::string(to_string(*it.reason))];
      ++out.outcomes[std::string(to_string(it.state))];
    }
    if (it.result == result_kind::good) {
      from_intended.add(it.ended - result.arrivals[it.arrival].at);
      from_sent.add(it.ended - it.sent);
    }
    out.replayed += it.replayed ? 1 : 0;
    send_delay.add(it.sent - it.intended);
    out.late_sends += it.sent - it.intended > late_send_threshold ? 1 : 0;
  }
  out.latency_from_intended = from_intended.summary();
  out.latency_from_sent = from_sent.summary();
  out.send_delay = send_delay.summary();
  if (executions) {
    out.duplicates = count_duplicates(executions->executions);
    out.leaked_keys = executions->leaked_keys;
  }
  if (!result.direct_arrivals.empty()) {
    out.direct = measure_direct(value, result);
  }
  return out;
}

} // namespace damaskledge::load
