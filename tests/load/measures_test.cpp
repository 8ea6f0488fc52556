#include <algorithm>
#include <cmath>
#include <random>
#include <vector>

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

#include "load/load.h"

namespace damaskledge::load {
namespace {

call_template call_of(double per_second) {
  call_template result;
  result.route = "status";
  result.path = "/plots/status";
  result.per_second = per_second;
  return result;
}

scenario scenario_of(double per_second, double rate, double burst) {
  scenario result;
  result.length = seconds{20};
  result.nodes = {{"127.0.0.1", 1}};
  account_demand account;
  account.name = "growers";
  account.rate = rate;
  account.burst = burst;
  account.calls = {call_of(per_second)};
  result.accounts = {account};
  return result;
}

/// Attempts that all got the same answer after `latency`.
run_result answered(const scenario& value, duration latency) {
  run_result result;
  result.arrivals = make_arrivals(value, value.seed);
  for (std::uint32_t it = 0; it < result.arrivals.size(); ++it) {
    attempt_record record;
    record.arrival = it;
    record.intended = record.sent = result.arrivals[it].at;
    record.ended = record.sent + latency;
    record.status = 200;
    record.result = result_kind::good;
    result.attempts.push_back(record);
  }
  return result;
}

void refuse(attempt_record& record, refusal_reason reason) {
  record.status = http_status(reason);
  record.result = result_kind::refused;
  record.reason = reason;
  record.state = outcome::not_run;
}

TEST_CASE("arrivals are a Poisson process of the demanded rate") {
  scenario value = scenario_of(500, 500, 500);
  value.length = seconds{60};
  const auto arrivals = make_arrivals(value, 3);
  // Five standard deviations of a Poisson count of 30,000.
  CHECK(std::abs(static_cast<double>(arrivals.size()) - 30'000) < 5 * std::sqrt(30'000.0));
  std::vector<double> counts(600);
  for (const arrival& it : arrivals) {
    CHECK_MESSAGE(it.at < value.length, "an arrival after the end");
    counts[static_cast<std::size_t>(it.at / milliseconds{100})] += 1;
  }
  const double mean = static_cast<double>(arrivals.size()) / 600;
  double variance = 0;
  for (const double it : counts) {
    variance += (it - mean) * (it - mean) / 599;
  }
  // The variance of Poisson counts is their mean; evenly spaced arrivals would have almost none.
  CHECK(variance / mean > 0.7);
  CHECK(variance / mean < 1.3);
  CHECK(std::is_sorted(arrivals.begin(), arrivals.end(),
                       [](const arrival& a, const arrival& b) { return a.at < b.at; }));
}

TEST_CASE("the same seed gives the same arrivals, also when another account is added") {
  scenario value = scenario_of(50, 500, 500);
  const auto before = make_arrivals(value, 9);
  CHECK(before == make_arrivals(value, 9));
  CHECK(before != make_arrivals(value, 10));
  value.accounts.push_back(value.accounts.front());
  value.accounts.back().name = "teachers";
  auto after = make_arrivals(value, 9);
  std::erase_if(after, [](const arrival& it) { return it.account == 1; });
  CHECK(before == after);
}

TEST_CASE("phases multiply the demand of all accounts or of one") {
  scenario value = scenario_of(200, 500, 500);
  value.accounts.push_back(value.accounts.front());
  value.accounts.back().name = "teachers";
  value.phases = {{"base", seconds{0}, seconds{5}, 1, {}},
                  {"surge", seconds{5}, seconds{5}, 3, {}},
                  {"one", seconds{10}, seconds{5}, 1, {{"teachers", 8}}},
                  {"silence", seconds{15}, seconds{5}, 0, {}}};
  std::vector<std::vector<double>> counts(4, std::vector<double>(2));
  for (const arrival& it : make_arrivals(value, 4)) {
    counts[*phase_at(value, it.at)][it.account] += 1;
  }
  CHECK(counts[0][0] == doctest::Approx(1'000).epsilon(0.15));
  CHECK(counts[1][0] == doctest::Approx(3'000).epsilon(0.1));
  CHECK(counts[1][1] == doctest::Approx(3'000).epsilon(0.1));
  CHECK(counts[2][0] == doctest::Approx(1'000).epsilon(0.15));
  CHECK(counts[2][1] == doctest::Approx(8'000).epsilon(0.1));
  CHECK(counts[3][0] + counts[3][1] == 0);
}

// The judge must neither allow more than the plan nor blame a node for a refusal that the
// plan demands: it takes a token exactly when no interval would exceed burst + rate * time.
TEST_CASE("the token judge is exact") {
  const bool passed = rc::check("token judge", [] {
    const int rate = *rc::gen::inRange(1, 50);
    const int burst = *rc::gen::inRange(1, 20);
    const auto gaps = *rc::gen::container<std::vector<int>>(120, rc::gen::inRange(0, 80));
    token_judge judge(rate, burst);
    std::vector<milliseconds> taken;
    milliseconds now{0};
    for (const int gap : gaps) {
      now += milliseconds{gap};
      // Integer arithmetic in thousandths of a token, to compare without rounding.
      bool fits = true;
      for (std::size_t it = 0; it < taken.size(); ++it) {
        const auto inside = static_cast<std::int64_t>(taken.size() - it) + 1;
        const std::int64_t allowed = 1'000LL * burst + rate * (now - taken[it]).count();
        fits = fits && inside * 1'000 <= allowed;
      }
      const double spare = judge.tokens(now);
      // Sums of floating-point gaps differ from the integers in the last digits only.
      if (std::abs(spare - 1) < 1e-6) {
        RC_DISCARD("too close to a whole token");
      }
      RC_ASSERT(judge.take(now) == fits);
      if (fits) {
        taken.push_back(now);
      }
    }
  });
  CHECK(passed);
}

TEST_CASE("quantiles are within the stated error of the exact ones") {
  CHECK(latency_histogram::relative_error() < 0.005);
  std::mt19937_64 random(5);
  std::lognormal_distribution<double> draw(1.5, 1.2);
  latency_histogram histogram;
  std::vector<double> values;
  for (int it = 0; it < 50'000; ++it) {
    const auto latency = std::chrono::duration_cast<duration>(
        std::chrono::duration<double, std::milli>(draw(random)));
    histogram.add(latency);
    values.push_back(std::chrono::duration<double, std::milli>(latency).count());
  }
  std::sort(values.begin(), values.end());
  for (const double q : {0.5, 0.9, 0.99, 0.999}) {
    const double exact = values[static_cast<std::size_t>(std::ceil(q * 50'000 - 1e-9)) - 1];
    CAPTURE(q);
    CHECK(std::abs(histogram.quantile(q) - exact) / exact <=
          latency_histogram::relative_error() * 1.000'001);
  }
  CHECK(histogram.summary().max == values.back());
  CHECK(histogram.count() == 50'000);
}

TEST_CASE("a histogram without values and with values outside its range") {
  latency_histogram histogram;
  CHECK(histogram.quantile(0.99) == 0);
  histogram.add(std::chrono::nanoseconds{1});
  histogram.add(seconds{200});
  CHECK(histogram.count() == 2);
  CHECK(histogram.quantile(0.5) == doctest::Approx(latency_histogram::lowest_ms).epsilon(0.01));
  CHECK(histogram.quantile(1) == doctest::Approx(latency_histogram::highest_ms).epsilon(0.01));
  CHECK(histogram.summary().max == 200'000);
}

TEST_CASE("a run without failures has full measures") {
  scenario value = scenario_of(100, 200, 200);
  value.phases = {{"base", seconds{0}, seconds{10}, 1, {}}};
  const run_result result = answered(value, milliseconds{10});
  const report out = measure(value, result, std::nullopt);
  CHECK(out.good == result.arrivals.size());
  CHECK(out.goodput == doctest::Approx(static_cast<double>(out.good) / 20));
  REQUIRE(out.worst_served.has_value());
  CHECK(out.accounts[*out.worst_served].served == 1);
  CHECK(out.refused_in_rate == 0);
  CHECK(out.results.at("good") == out.good);
  CHECK(out.latency_from_intended.p99 == doctest::Approx(10).epsilon(0.005));
  CHECK(!out.phases.at(0).recovery_seconds.has_value());
  CHECK(!out.duplicates.has_value());
  CHECK(!out.promise_broken());
}

TEST_CASE("recovery is the time from the end of the phase to the service of the base") {
  scenario value = scenario_of(400, 2'000, 2'000);
  value.phases = {{"base", seconds{0}, seconds{5}, 1, {}},
                  {"surge", seconds{5}, seconds{5}, 2, {}}};
  run_result result = answered(value, milliseconds{10});
  for (attempt_record& it : result.attempts) {
    const duration at = it.intended;
    // Refusals until 2 s after the phase and slow answers until 3 s after it.
    if (at >= seconds{5} && at < seconds{12}) {
      if (it.arrival % 2 == 0) {
        refuse(it, refusal_reason::overloaded);
      }
    } else if (at >= seconds{12} && at < seconds{13}) {
      it.ended = it.sent + milliseconds{30};
    }
  }
  const report out = measure(value, result, std::nullopt);
  REQUIRE(out.phases.size() == 2);
  REQUIRE(out.phases[1].recovery_seconds.has_value());
  CHECK(*out.phases[1].recovery_seconds >= 2.8);
  CHECK(*out.phases[1].recovery_seconds <= 3.1);
  CHECK(out.refusals.at("overloaded") > 0);
  CHECK(out.outcomes.at("not-run") == out.refusals.at("overloaded"));

  // Never back to the base.
  for (attempt_record& it : result.attempts) {
    if (it.intended >= seconds{5} && it.arrival % 20 == 0) {
      refuse(it, refusal_reason::overloaded);
    }
  }
  CHECK(!measure(value, result, std::nullopt).phases[1].recovery_seconds.has_value());
}

TEST_CASE("an account above its rate is fully served when it gets its rate") {
  scenario value = scenario_of(400, 50, 50);
  run_result result = answered(value, milliseconds{5});
  token_judge node(50, 50);
  for (attempt_record& it : result.attempts) {
    if (!node.take(it.sent)) {
      refuse(it, refusal_reason::rate_exceeded);
    }
  }
  const report out = measure(value, result, std::nullopt);
  const account_report& account = out.accounts.at(0);
  CHECK(account.served == 1);
  CHECK(account.in_rate < account.offered / 4);
  CHECK(account.refused_attempts == account.offered - account.good);
  CHECK(account.refused_in_rate == 0);
  CHECK(account.admitted_above_rate == 0);
}

// Guards against a judge that excuses every refusal of an account that is often refused.
TEST_CASE("refusals inside the rate and admissions above it are counted") {
  scenario value = scenario_of(100, 200, 100);
  run_result result = answered(value, milliseconds{5});
  std::uint64_t refused = 0;
  for (attempt_record& it : result.attempts) {
    if (it.arrival % 10 == 0) {
      refuse(it, it.arrival % 20 == 0 ? refusal_reason::rate_exceeded : refusal_reason::overloaded);
      ++refused;
    }
  }
  const report out = measure(value, result, std::nullopt);
  CHECK(out.refused_in_rate == refused);
  CHECK(out.rate_refused_in_rate ==
        static_cast<std::uint64_t>(std::ceil(static_cast<double>(result.attempts.size()) / 20)));
  CHECK(out.accounts.at(0).served ==
        doctest::Approx(1 - static_cast<double>(refused) /
                                static_cast<double>(result.attempts.size())));
  CHECK(out.accounts.at(0).slack_tokens == doctest::Approx(5 + 200 * 0.05));

  const scenario greedy = scenario_of(100, 50, 20);
  const run_result all = answered(greedy, milliseconds{5});
  const auto above = measure(greedy, all, std::nullopt).admitted_above_rate;
  // 20 s at 100/s against 50/s and small change.
  CHECK(above > 850);
  CHECK(above < 1'100);
}

// Guards against a measure in which an account that sends many times its rate has more requests
// refused inside its rate than it has requests inside its rate.
TEST_CASE("calls refused inside the rate are at most those that lack to the in-rate demand") {
  const scenario value = scenario_of(500, 100, 50);
  run_result result = answered(value, milliseconds{5});
  std::uint64_t good = 0;
  token_judge node(80, 10);
  for (attempt_record& it : result.attempts) {
    if (node.take(it.sent)) {
      ++good;
    } else {
      refuse(it, refusal_reason::overloaded);
    }
  }
  const account_report account = measure(value, result, std::nullopt).accounts.at(0);
  CHECK(account.refused_in_rate > account.in_rate);
  CHECK(account.calls_refused_in_rate == account.in_rate - good);
}

// Guards against a measure in which a generous surge hides an outage.
TEST_CASE("calls answered above the rate do not make up for calls lost at another time") {
  scenario value = scenario_of(100, 100, 50);
  value.phases = {{"outage", seconds{0}, seconds{10}, 1, {}},
                  {"surge", seconds{10}, seconds{10}, 3, {}}};
  run_result result = answered(value, milliseconds{5});
  for (attempt_record& it : result.attempts) {
    if (it.intended < seconds{10}) {
      it.result = result_kind::timed_out;
    }
  }
  const report out = measure(value, result, std::nullopt);
  CHECK(out.accounts.at(0).good > out.accounts.at(0).in_rate);
  CHECK(out.accounts.at(0).served > 0.4);
  CHECK(out.accounts.at(0).served < 0.6);
}

// Guards against phases whose judgement starts with full buckets, or that take in the calls of
// their neighbours.
TEST_CASE("phases report their accounts, routes and attempts by the start of the call") {
  scenario value = scenario_of(200, 100, 50);
  value.accounts[0].calls.push_back(call_of(100));
  value.accounts[0].calls[1].route = "history";
  value.accounts.push_back(value.accounts.front());
  value.accounts[1].name = "teachers";
  value.accounts[1].rate = value.accounts[1].burst = 1'000;
  value.phases = {{"base", seconds{0}, seconds{5}, 1, {}},
                  {"refusals", seconds{10}, seconds{5}, 1, {}}};
  value.phases[1].disturbed = true;
  run_result result = answered(value, milliseconds{5});
  const auto end = result.attempts.size();
  std::uint64_t refused = 0;
  for (std::size_t it = 0; it < end; ++it) {
    const arrival what = result.arrivals[result.attempts[it].arrival];
    if (what.account == 1 && what.call == 1 && what.at >= seconds{10} && what.at < seconds{15}) {
      refuse(result.attempts[it], refusal_reason::overloaded);
      result.attempts[it].last = false;
      // The second attempt falls into the time after the phase for the last calls.
      attempt_record again = result.attempts[it];
      again.attempt = 2;
      again.sent += milliseconds{200};
      again.ended += milliseconds{200};
      again.last = true;
      result.attempts.push_back(again);
      ++refused;
    }
  }
  const report out = measure(value, result, std::nullopt);
  REQUIRE(out.phases.size() == 2);
  const phase_report& base = out.phases[0];
  const phase_report& part = out.phases[1];
  CHECK(!part.is_base);
  REQUIRE(part.accounts.size() == 2);
  CHECK(part.accounts[0].name == "growers");
  CHECK(part.accounts[0].offered + part.accounts[1].offered == part.offered);
  CHECK(part.routes.at("status").offered + part.routes.at("history").offered == part.offered);
  CHECK(part.routes.at("status").good == part.routes.at("status").offered);
  CHECK(part.accounts[1].refused_attempts == 2 * refused);
  CHECK(part.accounts[1].refused_in_rate == 2 * refused);
  CHECK(part.accounts[1].calls_refused_in_rate == refused);
  CHECK(part.refusals.at("overloaded") == 2 * refused);
  CHECK(part.results.at("refused") == refused);
  CHECK(part.attempts == part.offered + refused);
  CHECK(part.accounts[1].served ==
        doctest::Approx(1 - static_cast<double>(refused) /
                                static_cast<double>(part.accounts[1].offered)));
  CHECK(base.attempts == base.offered);
  CHECK(base.refusals.empty());
  CHECK(base.accounts[1].refused_attempts == 0);
  // The burst is spent in the first phase; the second one has the rate only.
  CHECK(base.accounts[0].in_rate >= 540);
  CHECK(part.accounts[0].in_rate <= 510);
}

// Guards against a time series that counts answers where their calls started.
TEST_CASE("the time series counts calls by their start and answers by their end") {
  scenario value = scenario_of(0, 2, 2);
  value.length = milliseconds{900};
  run_result result;
  for (const int at : {0, 100, 399, 400}) {
    result.arrivals.push_back({milliseconds{at}, 0, 0});
  }
  for (std::uint32_t it = 0; it < 4; ++it) {
    attempt_record record;
    record.arrival = it;
    record.sent = result.arrivals[it].at;
    // The answer to the last call comes after the end of the run.
    record.ended = record.sent + (it == 3 ? seconds{1} : milliseconds{150});
    record.result = result_kind::good;
    result.attempts.push_back(record);
  }
  const report out = measure(value, result, std::nullopt);
  CHECK(out.timeline ==
        std::vector<timeline_entry>{{2, 2, 1}, {1, 0, 1}, {1, 0, 1}, {0, 0, 0}, {0, 0, 0}});
  const auto series = nlohmann::json::parse(to_json_text(out)).at("timeline");
  CHECK(series.at("step_ms") == 200);
  CHECK(series.at("offered") == nlohmann::json{2, 1, 1, 0, 0});
  CHECK(series.at("in_rate") == nlohmann::json{2, 0, 0, 0, 0});
  CHECK(series.at("good") == nlohmann::json{1, 1, 1, 0, 0});
}

TEST_CASE("the worst-served account is the one with the lowest share") {
  scenario value = scenario_of(100, 500, 500);
  value.accounts.push_back(value.accounts.front());
  value.accounts.back().name = "teachers";
  run_result result = answered(value, milliseconds{5});
  for (attempt_record& it : result.attempts) {
    if (result.arrivals[it.arrival].account == 1 && it.arrival % 3 == 0) {
      it.result = result_kind::timed_out;
    }
  }
  const report out = measure(value, result, std::nullopt);
  REQUIRE(out.worst_served.has_value());
  CHECK(out.accounts[*out.worst_served].name == "teachers");
  CHECK(out.accounts[*out.worst_served].served < 0.8);
  CHECK(out.results.at("timed-out") > 0);
}

TEST_CASE("only the last attempt decides, and its latency counts from the first intention") {
  scenario value = scenario_of(10, 500, 500);
  run_result result = answered(value, milliseconds{5});
  attempt_record second = result.attempts[0];
  refuse(result.attempts[0], refusal_reason::overloaded);
  result.attempts[0].last = false;
  second.attempt = 2;
  second.intended = second.sent = result.arrivals[0].at + seconds{2};
  second.ended = second.sent + milliseconds{5};
  result.attempts.push_back(second);
  const report out = measure(value, result, std::nullopt);
  CHECK(out.good == result.arrivals.size());
  CHECK(out.attempts == result.arrivals.size() + 1);
  CHECK(out.latency_from_intended.max == doctest::Approx(2'005));
  CHECK(out.latency_from_sent.max == doctest::Approx(5));
}

TEST_CASE("duplicates, leaks and wrong answers break promises") {
  scenario value = scenario_of(10, 500, 500);
  run_result result = answered(value, milliseconds{5});
  executions_result executions;
  executions.executions = {{"gate", "growers", "a"},  {"gate", "growers", "b"},
                           {"gate", "teachers", "a"}, {"dispatch", "growers", "a"},
                           {"plots", "growers", ""},  {"plots", "growers", ""}};
  report out = measure(value, result, executions);
  CHECK(out.duplicates == 0U);
  CHECK(!out.promise_broken());
  executions.executions.push_back({"gate", "growers", "a"});
  out = measure(value, result, executions);
  CHECK(out.duplicates == 1U);
  CHECK(out.promise_broken());
  executions.executions.clear();
  executions.leaked_keys = 1;
  CHECK(measure(value, result, executions).promise_broken());
  result.attempts[0].result = result_kind::wrong;
  CHECK(measure(value, result, std::nullopt).promise_broken());
}

TEST_CASE("late sends show in the latency from the intended time only") {
  scenario value = scenario_of(50, 500, 500);
  run_result result = answered(value, milliseconds{5});
  for (std::size_t it = 0; it < 10; ++it) {
    result.attempts[it].sent += milliseconds{200};
    result.attempts[it].ended += milliseconds{200};
  }
  const report out = measure(value, result, std::nullopt);
  CHECK(out.late_sends == 10);
  CHECK(out.send_delay.max == doctest::Approx(200));
  CHECK(out.latency_from_intended.max == doctest::Approx(205));
  CHECK(out.latency_from_sent.max == doctest::Approx(5));
}

TEST_CASE("both forms of the report hold the measures") {
  scenario value = scenario_of(50, 500, 500);
  value.phases = {{"base", seconds{0}, seconds{5}, 1, {}},
                  {"surge", seconds{5}, seconds{5}, 2, {}}};
  run_result result = answered(value, milliseconds{5});
  result.direct_arrivals = result.arrivals;
  result.direct_attempts = result.attempts;
  for (attempt_record& it : result.direct_attempts) {
    it.ended -= milliseconds{3};
  }
  const report out = measure(value, result, std::nullopt);
  const auto document = nlohmann::json::parse(to_json_text(out));
  CHECK(document.at("worst_served").at("account") == "growers");
  CHECK(document.at("phases").size() == 2);
  CHECK(document.at("phases")[1].at("recovery_seconds") == 0.0);
  const auto& surge = document.at("phases")[1];
  CHECK(surge.at("accounts")[0].at("offered") == surge.at("offered"));
  CHECK(surge.at("routes").at("status").at("good") == surge.at("good"));
  CHECK(surge.at("attempts") == surge.at("offered"));
  CHECK(surge.at("results").at("good") == surge.at("good"));
  CHECK(document.at("timeline").at("good").size() == 100);
  CHECK(document.at("duplicates").is_null());
  CHECK(document.at("direct").at("node").at("p50_ms").get<double>() ==
        doctest::Approx(5).epsilon(0.005));
  CHECK(document.at("direct").at("added").at("p50_ms").get<double>() ==
        doctest::Approx(3).epsilon(0.02));
  const std::string text = to_text(out);
  for (const char* it : {"worst-served account growers", "surge", "added by the node",
                         "relative error of the quantiles", "not checked"}) {
    CAPTURE(it);
    CHECK(text.find(it) != std::string::npos);
  }
}

} // namespace
} // namespace damaskledge::load
