#include <utility>

#include "fleet/fleet.h"

namespace damaskledge::fleet {

namespace {

/// An unchanged load is repeated at this interval. Receivers take a node in another data centre for
/// silent after three times as long.
constexpr milliseconds load_refresh{1'000};
/// Longest time between two reports of the demand, and of the call graph.
constexpr milliseconds demand_refresh{2'000};
constexpr milliseconds graph_refresh{4'000};

} // namespace

void digest_builder::add(node_load load) {
  node_load& pending = pending_[load.node];
  merge_load(pending, std::move(load));
}

bool digest_builder::is_due(time_point now, const node_load& pending) const {
  const auto found = sent_.find(pending.node);
  if (found == sent_.end() || found->second.incarnation != pending.incarnation ||
      now - found->second.at >= load_refresh || !pending.load.accounts.empty()) {
    return true;
  }
  const load_frame& before = found->second.load;
  const load_frame& next = pending.load;
  return before.configuration_version != next.configuration_version ||
         before.leaving != next.leaving || before.ready != next.ready ||
         before.slots != next.slots || before.in_flight != next.in_flight ||
         before.queued != next.queued || before.slowness != next.slowness;
}

digest_frame digest_builder::take(time_point now, const traffic::load_picture& picture) {
  digest_frame result;
  for (auto& [name, it] : std::exchange(pending_, {})) {
    if (!is_due(now, it)) {
      continue;
    }
    it.load.demand.clear();
    sent_load& sent = sent_[name];
    sent = {it.incarnation, it.load, now};
    sent.load.accounts.clear();
    result.loads.push_back(std::move(it));
  }
  const bool graph_due = now - graph_sent_ >= graph_refresh;
  const bool demand_due = now - demand_sent_ >= demand_refresh;
  const auto summary = traffic::summarise(picture);
  if (demand_due || traffic::demand_changed(sent_demand_, summary.demand)) {
    result.demand = summary.demand;
    sent_demand_ = summary.demand;
    demand_sent_ = now;
  }
  if (graph_due) {
    result.calls = summary.calls;
    result.costs = summary.costs;
    graph_sent_ = now;
  }
  return result;
}

} // namespace damaskledge::fleet
