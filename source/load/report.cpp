#include <algorithm>
#include <array>
#include <cstdio>
#include <sstream>

#include <nlohmann/json.hpp>

#include "load/load.h"

namespace damaskledge::load {

namespace {

using nlohmann::ordered_json;

std::string fixed(double value, int digits) {
  std::array<char, 64> buf{};
  std::snprintf(buf.data(), buf.size(), "%.*f", digits, value);
  return buf.data();
}

std::string percent(double value) {
  return fixed(100 * value, 2) + "%";
}

/// Rows of texts with aligned columns; the first column is aligned to the left.
class table {
 public:
  explicit table(std::vector<std::string> head) { rows_.push_back(std::move(head)); }

  void add(std::vector<std::string> row) { rows_.push_back(std::move(row)); }

  void print(std::ostream& out) const {
    std::vector<std::size_t> widths(rows_.front().size());
    for (const auto& row : rows_) {
      for (std::size_t it = 0; it < row.size(); ++it) {
        widths[it] = std::max(widths[it], row[it].size());
      }
    }
    for (const auto& row : rows_) {
      for (std::size_t it = 0; it < row.size(); ++it) {
        const std::string padding(widths[it] - row[it].size(), ' ');
        out << (it == 0 ? row[it] + padding : "  " + padding + row[it]);
      }
      out << '\n';
    }
    out << '\n';
  }

 private:
  std::vector<std::vector<std::string>> rows_;
};

std::vector<std::string> quantile_row(const std::string& name, const quantiles& value) {
  return {name,
          std::to_string(value.count),
          fixed(value.p50, 3),
          fixed(value.p90, 3),
          fixed(value.p99, 3),
          fixed(value.p999, 3),
          fixed(value.max, 3)};
}

ordered_json to_json(const quantiles& value) {
  return {{"count", value.count}, {"p50_ms", value.p50},   {"p90_ms", value.p90},
          {"p99_ms", value.p99},  {"p999_ms", value.p999}, {"max_ms", value.max}};
}

ordered_json to_json(const account_report& value) {
  return {{"name", value.name},
          {"offered", value.offered},
          {"in_rate", value.in_rate},
          {"good", value.good},
          {"served", value.served},
          {"refused_attempts", value.refused_attempts},
          {"refused_in_rate", value.refused_in_rate},
          {"rate_refused_in_rate", value.rate_refused_in_rate},
          {"calls_refused_in_rate", value.calls_refused_in_rate},
          {"admitted_above_rate", value.admitted_above_rate},
          {"slack_tokens", value.slack_tokens}};
}

ordered_json to_json(const std::vector<timeline_entry>& value) {
  ordered_json out{{"step_ms", timeline_step.count()},
                   {"offered", ordered_json::array()},
                   {"in_rate", ordered_json::array()},
                   {"good", ordered_json::array()}};
  for (const timeline_entry& it : value) {
    out["offered"].push_back(it.offered);
    out["in_rate"].push_back(it.in_rate);
    out["good"].push_back(it.good);
  }
  return out;
}

ordered_json difference(const quantiles& a, const quantiles& b) {
  return {{"p50_ms", a.p50 - b.p50},
          {"p90_ms", a.p90 - b.p90},
          {"p99_ms", a.p99 - b.p99},
          {"p999_ms", a.p999 - b.p999}};
}

std::string recovery_text(const phase_report& value) {
  if (value.is_base) {
    return "-";
  }
  return value.recovery_seconds ? fixed(*value.recovery_seconds, 1) + " s" : "not seen";
}

void print_counts(std::ostream& out, const std::string& name,
                  const std::map<std::string, std::uint64_t>& counts) {
  if (counts.empty()) {
    return;
  }
  table it({name, "count"});
  for (const auto& [key, count] : counts) {
    it.add({key, std::to_string(count)});
  }
  it.print(out);
}

} // namespace

std::string to_text(const report& value) {
  std::ostringstream out;
  out << "goodput " << fixed(value.goodput, 1) << " whole requests/s (" << value.good << " of "
      << value.offered << " calls in " << fixed(value.seconds, 1) << " s, " << value.attempts
      << " attempts)\n";
  if (value.worst_served) {
    const account_report& worst = value.accounts[*value.worst_served];
    out << "worst-served account " << worst.name << ": " << percent(worst.served)
        << " of its in-rate demand answered\n";
  }
  out << "refused although inside the rate: " << value.refused_in_rate << ", of these "
      << value.rate_refused_in_rate << " because of the rate\n"
      << "admitted above the rate: " << value.admitted_above_rate << "\n\n";

  if (!value.phases.empty()) {
    table phases({"phase", "seconds", "offered", "good", "goodput/s", "p50 ms", "p90 ms", "p99 ms",
                  "recovery"});
    for (const phase_report& it : value.phases) {
      phases.add({it.name, fixed(it.seconds, 1), std::to_string(it.offered),
                  std::to_string(it.good), fixed(it.goodput, 1), fixed(it.latency.p50, 2),
                  fixed(it.latency.p90, 2), fixed(it.latency.p99, 2), recovery_text(it)});
    }
    phases.print(out);
  }

  table accounts({"account", "offered", "in rate", "good", "served", "refused", "refused in rate",
                  "admitted above rate", "slack tokens"});
  for (const account_report& it : value.accounts) {
    accounts.add({it.name, std::to_string(it.offered), std::to_string(it.in_rate),
                  std::to_string(it.good), percent(it.served), std::to_string(it.refused_attempts),
                  std::to_string(it.refused_in_rate), std::to_string(it.admitted_above_rate),
                  fixed(it.slack_tokens, 1)});
  }
  accounts.print(out);

  print_counts(out, "result", value.results);
  print_counts(out, "refusal", value.refusals);
  print_counts(out, "outcome of refusals", value.outcomes);
  if (!value.good_share_by_importance.empty()) {
    table shares({"importance", "good"});
    for (const auto& [name, share] : value.good_share_by_importance) {
      shares.add({name, percent(share)});
    }
    shares.print(out);
  }

  table latency({"latency ms", "count", "p50", "p90", "p99", "p99.9", "max"});
  latency.add(quantile_row("from the intended time", value.latency_from_intended));
  latency.add(quantile_row("from the time of sending", value.latency_from_sent));
  latency.add(quantile_row("send delay of the tool", value.send_delay));
  if (value.direct) {
    const quantiles& node = value.direct->node;
    const quantiles& direct = value.direct->direct;
    latency.add(quantile_row("through the node", node));
    latency.add(quantile_row("directly", direct));
    latency.add({"added by the node", "", fixed(node.p50 - direct.p50, 3),
                 fixed(node.p90 - direct.p90, 3), fixed(node.p99 - direct.p99, 3),
                 fixed(node.p999 - direct.p999, 3), ""});
  }
  latency.print(out);
  out << "relative error of the quantiles: at most "
      << fixed(100 * value.quantile_relative_error, 2) << "%\nlate sends (over "
      << late_send_threshold.count() << " ms): " << value.late_sends
      << "\nconnections opened: " << value.opened_connections
      << "\nreplayed answers: " << value.replayed << "\noperations run more than once: "
      << (value.duplicates ? std::to_string(*value.duplicates) : "not checked")
      << "\nrequests with a leaked key: "
      << (value.leaked_keys ? std::to_string(*value.leaked_keys) : "not checked") << '\n';
  return out.str();
}

std::string to_json_text(const report& value) {
  ordered_json out{{"seconds", value.seconds},
                   {"offered", value.offered},
                   {"good", value.good},
                   {"goodput_per_second", value.goodput},
                   {"attempts", value.attempts}};
  out["worst_served"] = value.worst_served
                            ? ordered_json{{"account", value.accounts[*value.worst_served].name},
                                           {"served", value.accounts[*value.worst_served].served}}
                            : ordered_json();
  out["refused_in_rate"] = value.refused_in_rate;
  out["rate_refused_in_rate"] = value.rate_refused_in_rate;
  out["admitted_above_rate"] = value.admitted_above_rate;
  out["phases"] = ordered_json::array();
  for (const phase_report& it : value.phases) {
    ordered_json phase{{"name", it.name},
                       {"seconds", it.seconds},
                       {"offered", it.offered},
                       {"good", it.good},
                       {"goodput_per_second", it.goodput},
                       {"latency", to_json(it.latency)},
                       {"base", it.is_base}};
    phase["recovery_seconds"] =
        it.recovery_seconds ? ordered_json(*it.recovery_seconds) : ordered_json();
    phase["attempts"] = it.attempts;
    phase["results"] = it.results;
    phase["refusals"] = it.refusals;
    phase["routes"] = ordered_json::object();
    for (const auto& [name, route] : it.routes) {
      phase["routes"][name] = {
          {"offered", route.offered}, {"in_rate", route.in_rate}, {"good", route.good}};
    }
    phase["accounts"] = ordered_json::array();
    for (const account_report& account : it.accounts) {
      phase["accounts"].push_back(to_json(account));
    }
    out["phases"].push_back(std::move(phase));
  }
  out["timeline"] = to_json(value.timeline);
  out["accounts"] = ordered_json::array();
  for (const account_report& it : value.accounts) {
    out["accounts"].push_back(to_json(it));
  }
  out["results"] = value.results;
  out["refusals"] = value.refusals;
  out["outcomes"] = value.outcomes;
  out["good_share_by_importance"] = value.good_share_by_importance;
  out["replayed"] = value.replayed;
  out["duplicates"] = value.duplicates ? ordered_json(*value.duplicates) : ordered_json();
  out["leaked_keys"] = value.leaked_keys ? ordered_json(*value.leaked_keys) : ordered_json();
  out["latency_from_intended"] = to_json(value.latency_from_intended);
  out["latency_from_sent"] = to_json(value.latency_from_sent);
  out["send_delay"] = to_json(value.send_delay);
  out["late_sends"] = value.late_sends;
  out["late_send_threshold_ms"] = late_send_threshold.count();
  out["quantile_relative_error"] = value.quantile_relative_error;
  out["opened_connections"] = value.opened_connections;
  if (value.direct) {
    out["direct"] = {{"node", to_json(value.direct->node)},
                     {"direct", to_json(value.direct->direct)},
                     {"added", difference(value.direct->node, value.direct->direct)}};
  }
  return out.dump(2) + "\n";
}

} // namespace damaskledge::load
