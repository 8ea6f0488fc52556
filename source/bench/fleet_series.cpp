#include <algorithm>
#include <string>
#include <vector>

#include "bench/fleet.h"
#include "bench/meter.h"
#include "bench/population.h"

namespace damaskledge::bench {

namespace {

/// Time for the elections and for the first documents.
constexpr seconds settling{8};
/// Nodes of the fleets in which documents grow.
constexpr std::size_t document_members = 24;
/// Longest time that a change may take before the measurement gives up.
constexpr seconds change_limit{5};

/// The smallest size has five nodes in each data centre: a coordinator, two candidates and two
/// ordinary nodes.
std::vector<std::size_t> fleet_sizes(const options& wanted) {
  return wanted.quick ? std::vector<std::size_t>{30, 50, 80}
                      : std::vector<std::size_t>{30, 50, 137, 300, 820};
}

/// @return microseconds of one tick, over all ticks.
double tick_of(const node_costs& it) {
  return 1e6 * (it.warm_tick_seconds + it.cold_tick_seconds) / static_cast<double>(it.ticks);
}

/// Costs of one role, averaged over its observed nodes.
void add_role(const std::string& role, const std::vector<node_costs>& rows, double x,
              double seconds_run, collector& into) {
  if (rows.empty()) {
    return;
  }
  const auto nodes = static_cast<double>(rows.size());
  const auto average = [&](auto value) {
    double sum = 0;
    for (const node_costs& it : rows) {
      sum += static_cast<double>(value(it));
    }
    return sum / nodes;
  };
  const auto add = [&](const std::string& name, const std::string& unit, double y) {
    into.add(role + "." + name, "members", unit, x, y);
  };
  add("tick", "us", 1e6 * average([](const auto& it) {
                      return it.warm_tick_seconds;
                    }) / average([](const auto& it) { return it.warm_ticks; }));
  add("cold_tick", "us", 1e6 * average([](const auto& it) {
                           return it.cold_tick_seconds;
                         }) / average([](const auto& it) { return it.cold_ticks; }));
  add("handling", "us/s",
      1e6 * average([](const auto& it) { return it.handling_seconds; }) / seconds_run);
  const auto rate = [&](const std::string& name, const std::string& unit, auto value) {
    add(name, unit, average(value) / seconds_run);
  };
  rate("messages_sent", "1/s", [](const auto& it) { return it.sent.messages; });
  rate("messages_received", "1/s", [](const auto& it) { return it.received.messages; });
  rate("bytes_sent", "B/s", [](const auto& it) { return it.sent.bytes; });
  rate("bytes_received", "B/s", [](const auto& it) { return it.received.bytes; });
  rate("platform_reads", "1/s", [](const auto& it) { return it.reads; });
  rate("platform_writes", "1/s", [](const auto& it) { return it.writes; });
  rate("platform_watch_calls", "1/s", [](const auto& it) { return it.watches; });
  add("platform_watches_waiting", "watches", average([](const auto& it) {
                                               return it.waiting;
                                             }) / average([](const auto& it) { return it.ticks; }));
}

void add_roles(const fleet& nodes, double x, double seconds_run, collector& into) {
  std::vector<node_costs> ordinary;
  std::vector<node_costs> candidates;
  std::vector<node_costs> coordinators;
  // The three lowest names read the lease object each second, the others seldom.
  constexpr std::size_t candidate_count = 3;
  for (std::size_t it = 0; it < nodes.observed_count(); ++it) {
    auto& rows = nodes.coordinates(it)  ? coordinators
                 : it < candidate_count ? candidates
                                        : ordinary;
    rows.push_back(nodes.costs(it));
  }
  add_role("node", ordinary, x, seconds_run, into);
  add_role("candidate", candidates, x, seconds_run, into);
  add_role("coordinator", coordinators, x, seconds_run, into);
}

/// One accepted change of a document: messages and bytes over the fleet until each node has it.
struct change_costs {
  double seconds_taken = 0;
  fleet::by_kind kinds{};
  std::size_t object_bytes = 0;
};

change_costs change_document(fleet& nodes, std::size_t members, const std::string& document,
                             std::uint64_t version, std::string content) {
  change_costs result;
  result.object_bytes = content.size();
  nodes.count_kinds(true);
  const duration start = nodes.now();
  nodes.write_object("config/" + document, std::move(content));
  while (nodes.nodes_with(document, version) < members && nodes.now() - start < change_limit) {
    nodes.run_for(milliseconds(5));
  }
  result.seconds_taken = std::chrono::duration<double>(nodes.now() - start).count();
  result.kinds = nodes.kinds();
  nodes.count_kinds(false);
  return result;
}

template <class Message>
constexpr std::size_t kind_of() {
  return wire::message(Message{}).index();
}

void add_change(const std::string& name, const std::string& x_unit, double x, std::size_t members,
                const change_costs& costs, collector& into) {
  const auto nodes = static_cast<double>(members);
  const auto add = [&](const std::string& what, std::size_t kind) {
    into.add(name + "." + what + "_messages", x_unit, "messages/node", x,
             static_cast<double>(costs.kinds.at(kind).messages) / nodes);
    into.add(name + "." + what + "_bytes", x_unit, "B/node", x,
             static_cast<double>(costs.kinds.at(kind).bytes) / nodes);
  };
  add("rumour", kind_of<wire::document_rumour>());
  add("pull", kind_of<wire::document_pull>());
  add("content", kind_of<wire::document_content>());
  add("confirmation", kind_of<wire::document_confirmation>());
  into.add(name + ".time", x_unit, "s", x, costs.seconds_taken);
  into.add(name + ".object", x_unit, "B", x, static_cast<double>(costs.object_bytes));
}

/// Lists with one more account than those of the fleet.
std::string changed_lists(std::size_t accounts) {
  return object_of(make_lists(accounts + 1), 1);
}

std::string changed_keys(std::size_t keys, std::size_t accounts) {
  config::keys value = make_keys(keys, accounts);
  value.records.front().withdrawn = true;
  return object_of(value, 1);
}

} // namespace

void measure_fleet(const options& wanted, collector& into) {
  const seconds measured_time{wanted.quick ? 4 : 10};
  for (const std::size_t members : fleet_sizes(wanted)) {
    fleet_options sizes;
    sizes.members = members;
    sizes.seed = wanted.seed;
    fleet nodes(sizes);
    nodes.run_for(settling);
    nodes.reset_costs();
    nodes.run_for(measured_time);
    const auto x = static_cast<double>(members);
    add_roles(nodes, x, static_cast<double>(measured_time.count()), into);
    into.add("check.members_alive", "members", "members", x, static_cast<double>(nodes.alive(0)));
    add_change("change_lists_by_members", "members", x, members,
               change_document(nodes, members, "lists", 2, changed_lists(sizes.accounts)), into);
    add_change("change_keys_by_members", "members", x, members,
               change_document(nodes, members, "keys", 2, changed_keys(sizes.keys, sizes.accounts)),
               into);
  }
}

void measure_changes(const options& wanted, collector& into) {
  const std::vector<std::size_t> keys = wanted.quick
                                            ? std::vector<std::size_t>{100, 300, 1'000}
                                            : std::vector<std::size_t>{100, 1'000, 3'000, 5'000};
  constexpr std::size_t members = document_members;
  for (const std::size_t n : keys) {
    fleet_options sizes;
    sizes.members = members;
    sizes.keys = n;
    sizes.seed = wanted.seed;
    fleet nodes(sizes);
    nodes.run_for(settling);
    nodes.reset_costs();
    constexpr seconds length{2};
    nodes.run_for(length);
    into.add("node.tick_by_keys", "keys", "us", static_cast<double>(n), tick_of(nodes.costs(3)));
    add_change("change_keys_by_keys", "keys", static_cast<double>(n), members,
               change_document(nodes, members, "keys", 2, changed_keys(n, sizes.accounts)), into);
  }
  const std::vector<std::size_t> accounts = wanted.quick
                                                ? std::vector<std::size_t>{8, 100, 500}
                                                : std::vector<std::size_t>{8, 100, 1'000, 5'000};
  for (const std::size_t n : accounts) {
    fleet_options sizes;
    sizes.members = members;
    sizes.accounts = n;
    sizes.seed = wanted.seed;
    fleet nodes(sizes);
    nodes.run_for(settling);
    nodes.reset_costs();
    constexpr seconds length{2};
    nodes.run_for(length);
    for (std::size_t it = 0; it < nodes.observed_count(); ++it) {
      if (nodes.coordinates(it)) {
        into.add("coordinator.tick_by_accounts", "accounts", "us", static_cast<double>(n),
                 tick_of(nodes.costs(it)));
      }
    }
    into.add("node.tick_by_accounts", "accounts", "us", static_cast<double>(n),
             tick_of(nodes.costs(3)));
    add_change("change_lists_by_accounts", "accounts", static_cast<double>(n), members,
               change_document(nodes, members, "lists", 2, changed_lists(n)), into);
  }
}

void measure_core_memory(const options& wanted, collector& into) {
  for (const std::size_t members : fleet_sizes(wanted)) {
    const auto x = static_cast<double>(members);
    wire::incoming table{"table", {"10.255.0.1", peer_port}, wire::member_sync_reply{}};
    auto& records = std::get<wire::member_sync_reply>(table.body).facts.members;
    for (std::size_t it = 1; it < members; ++it) {
      records.push_back(record_of(it));
    }
    into.add("join.synchronisation", "members", "B", x,
             static_cast<double>(wire::frame_bytes(table.sender, table.from, table.body)));
    const time_point now(seconds(100'000));
    const double before = allocated_bytes();
    core::control_core core(node_settings(0), wanted.seed, wall_start);
    const double start = processor_seconds();
    core.receive(now, wall_start, table);
    core.tick(now, wall_start, {});
    into.add("join.processing", "members", "us", x, 1e6 * (processor_seconds() - start));
    into.add("memory.members", "members", "B", x, allocated_bytes() - before);
  }
}

} // namespace damaskledge::bench
