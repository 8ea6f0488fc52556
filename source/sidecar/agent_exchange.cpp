/// @file
/// Exchange of state with other nodes: reports, relaying between data centres, and admission
/// planning from the reports received.
#include <cmath>
#include <utility>

#include "sidecar/agent.h"

namespace damaskledge::sidecar {

namespace {

/// Interval of load messages between nodes; bounds the age of account shares and reported load.
constexpr milliseconds load_interval = traffic::account_rates::report_interval;
/// A status with demand, calls and costs accompanies every n-th load message within a data centre.
constexpr std::uint64_t status_every = 8;
/// Statuses are repeated in every n-th digest, in case one was lost with a link.
constexpr std::uint64_t digest_status_every = 64;
/// The call graph is recomputed every n load intervals, since that takes about 1 ms.
constexpr std::uint64_t call_ratios_every = 4;
/// The standby relay of a data centre sends only every n-th digest, with all usage since its last
/// one, so that nothing is lost for long with the first relay. Bytes between data centres are
/// billed.
constexpr std::uint64_t standby_every = 8;
/// Demand of a data centre is left out of admission planning when its last report is older.
constexpr milliseconds summary_lifetime{10'000};
/// Interval at which the bytes sent to other nodes are logged.
constexpr milliseconds traffic_log_interval{10'000};
/// Minimum change of a class's admitted fraction that is logged.
constexpr double logged_fraction_change = 0.1;

} // namespace

void agent::on_status(const fleet::status_frame& status) {
  rates_.heard(loop_.now(), status.node, status.incarnation, status.accounts,
               status.whole_usage ? traffic::usage_scope::whole : traffic::usage_scope::changes);
  configuration_fetch_.announced(loop_.now(), status.node,
                                 status.data_centre == settings_.data_centre,
                                 status.configuration_version, configuration_version());
}

void agent::on_load(const fleet::node_entry& node, const fleet::load_frame& load, bool near) {
  rates_.heard(loop_.now(), node.name, node.status.incarnation, load.accounts,
               traffic::usage_scope::changes);
  if (near) {
    digest_.add({node.name, node.status.incarnation, load});
  }
  configuration_fetch_.announced(loop_.now(), node.name, near, load.configuration_version,
                                 configuration_version());
}

void agent::on_summary(const fleet::digest_frame& digest) {
  remote_summary& summary = remote_summaries_[digest.data_centre];
  summary.received = loop_.now();
  if (!digest.demand.empty()) {
    summary.demand = digest.demand;
  }
  if (!digest.calls.empty()) {
    summary.calls = digest.calls;
  }
  if (!digest.costs.empty()) {
    summary.costs = digest.costs;
  }
}

void agent::fetch_configuration() {
  const std::uint64_t known = configuration_version();
  if (const auto node = configuration_fetch_.next(loop_.now(), known)) {
    log_.state(log_line("configuration_requested")
                   .field("peer", *node)
                   .field("known", static_cast<std::int64_t>(known)));
    nodes_->send(*node, fleet::configuration_request{known});
  }
}

fleet::status_frame agent::make_status(bool with_picture) {
  fleet::status_frame status;
  status.node = settings_.name;
  status.data_centre = settings_.data_centre;
  status.address = settings_.peer_address;
  status.incarnation = incarnation_;
  status.configuration_version = configuration_version();
  status.leaving = leaving_;
  status.target = target_->status();
  status.has_picture = with_picture;
  if (with_picture) {
    status.demand = own_demand_;
    status.calls = own_calls_;
    status.costs = target_->observer().costs();
  }
  return status;
}

void agent::send_status() {
  nodes_->broadcast(make_status(false));
}

fleet::load_frame agent::make_load() {
  fleet::load_frame load;
  load.configuration_version = configuration_version();
  load.leaving = leaving_;
  const auto target = target_->status();
  load.ready = target.ready;
  load.slots = target.slots;
  load.in_flight = target.in_flight;
  load.queued = target.queued;
  load.slowness = target.slowness;
  load.accounts = rates_.changed(loop_.now());
  if (traffic::demand_changed(sent_demand_, own_demand_)) {
    load.demand = own_demand_;
    sent_demand_ = own_demand_;
  }
  return load;
}

void agent::announce_load() {
  const auto load = make_load();
  nodes_->broadcast_near(load);
  // A relay's own usage reaches other data centres with its digest only.
  digest_.add({settings_.name, incarnation_, load});
}

traffic::load_picture agent::local_picture() const {
  traffic::load_picture picture;
  picture.demand = own_demand_;
  picture.calls = own_calls_;
  picture.costs = target_->observer().costs();
  for (const auto& [name, node] : nodes_->nodes()) {
    if (node.data_centre == settings_.data_centre && nodes_->reachable(node)) {
      const auto& status = node.status;
      picture.demand.insert(picture.demand.end(), status.demand.begin(), status.demand.end());
      picture.calls.insert(picture.calls.end(), status.calls.begin(), status.calls.end());
      picture.costs.insert(picture.costs.end(), status.costs.begin(), status.costs.end());
    }
  }
  return picture;
}

void agent::relay_states(const fleet::load_frame& own) {
  digest_.add({settings_.name, incarnation_, own});
  const auto rank = nodes_->relay_rank();
  if (!rank) {
    digest_.discard();
    return;
  }
  if (*rank > 0 && intervals_ % standby_every != 0) {
    return;
  }
  auto digest = digest_.take(loop_.now(), local_picture());
  if (intervals_ % digest_status_every == 0) {
    digest.statuses.push_back(make_status(false));
    for (const auto& [name, node] : nodes_->nodes()) {
      if (node.data_centre == settings_.data_centre && nodes_->reachable(node)) {
        auto& status = digest.statuses.emplace_back(node.status);
        status.whole_usage = false;
        status.accounts.clear();
        status.has_picture = false;
        status.demand.clear();
        status.calls.clear();
        status.costs.clear();
      }
    }
  }
  nodes_->send_digest(std::move(digest), *rank);
}

void agent::log_sent_bytes() {
  const auto& sent = nodes_->sent();
  for (std::size_t i = 0; i < sent.within_data_centre.size(); ++i) {
    if (sent.within_data_centre[i] + sent.between_data_centres[i] != 0) {
      log_.state(
          log_line("bytes_sent")
              .field("frame", fleet::type_name(i))
              .field("within_data_centre", static_cast<std::int64_t>(sent.within_data_centre[i]))
              .field("between_data_centres",
                     static_cast<std::int64_t>(sent.between_data_centres[i])));
    }
  }
  timers_.after(traffic_log_interval, [this] { log_sent_bytes(); });
}

void agent::send_crash_report() {
  const auto report = crashes_.take_report();
  if (!report.empty()) {
    nodes_->broadcast(report);
    log_.state(
        log_line("target_died").field("suspects", static_cast<std::int64_t>(report.deaths.size())));
  }
}

void agent::plan_admission() {
  traffic::load_picture picture = local_picture();
  for (const auto& [data_centre, it] : remote_summaries_) {
    if (loop_.now() - it.received < summary_lifetime) {
      picture.demand.insert(picture.demand.end(), it.demand.begin(), it.demand.end());
      picture.calls.insert(picture.calls.end(), it.calls.begin(), it.calls.end());
      picture.costs.insert(picture.costs.end(), it.costs.begin(), it.costs.end());
    }
  }
  const auto add_target = [&](const fleet::target_status& target) {
    if (target.ready) {
      picture.capacity[target.service] += target.slots;
    }
  };
  add_target(target_->status());
  for (const auto& [name, node] : nodes_->nodes()) {
    if (nodes_->reachable(node)) {
      add_target(node.status.target);
    }
  }
  // Planned from one entry for each class, since the reports of all nodes name each class again.
  const traffic::load_picture summary = traffic::summarise(picture);
  target_->set_slowness(placement::relative_slowness(target_->observer().costs(), summary.costs));
  auto plan = traffic::plan_admission(summary, traffic::admission_options{});
  log_admission(plan);
  admission_.set_plan(std::move(plan));
}

void agent::log_admission(const traffic::admission_plan& plan) {
  for (const auto& [kind, fraction] : plan) {
    const double logged = logged_fractions_.try_emplace(kind, 1.0).first->second;
    const bool back = fraction >= 1 && logged < 1;
    if (back || std::abs(fraction - logged) >= logged_fraction_change) {
      logged_fractions_[kind] = fraction;
      log_.state(log_line("admission_changed")
                     .field("route", kind.route)
                     .field("priority", kind.priority)
                     .field("percent", static_cast<std::int64_t>(fraction * 100)));
    }
  }
}

void agent::report_usage() {
  // Sent without waiting for the relays' next digest, but along the same paths, since a copy for
  // each node of other data centres would be billed.
  usage_sent_at_ = loop_.now();
  auto load = make_load();
  nodes_->broadcast_near(load);
  load.demand.clear();
  fleet::digest_frame digest;
  digest.loads.push_back({settings_.name, incarnation_, std::move(load)});
  nodes_->send_digest(std::move(digest), hash64(settings_.name));
}

void agent::end_load_interval() {
  timers_.after(load_interval, [this] { end_load_interval(); });
  own_demand_ = demand_.end_interval(load_interval);
  const bool with_status = ++intervals_ % status_every == 0;
  if (intervals_ % call_ratios_every == 0) {
    measure("estimate_calls", [this] { own_calls_ = target_->observer().ratios(); });
    target_->repeats().set_ratios(own_calls_);
  }
  usage_sent_at_ = loop_.now();
  const auto load = make_load();
  nodes_->broadcast_near(load);
  if (with_status) {
    nodes_->broadcast_near(make_status(true));
  }
  relay_states(load);
  send_crash_report();
  measure("plan_admission", [this] { plan_admission(); });
  forget_lost_nodes();
  // A node that has become a relay must not go on waiting in a watch that may show changes late.
  configuration_mirror_->renew_watch();
}

} // namespace damaskledge::sidecar
