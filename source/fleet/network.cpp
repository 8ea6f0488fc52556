#include <algorithm>
#include <limits>
#include <optional>
#include <utility>

#include "fleet/fleet.h"

namespace damaskledge::fleet {

namespace {

/// Number of nodes in a data centre that send its states to other data centres.
constexpr std::size_t relays_per_data_centre = 2;
constexpr milliseconds link_check_interval{250};
/// Without any answer to a call for this long, the peer is asked for its status.
constexpr milliseconds call_silence{1'000};

std::int64_t microseconds_of(time_point value) {
  return std::chrono::duration_cast<std::chrono::microseconds>(value.time_since_epoch()).count();
}

} // namespace

/// This node's connection to another one.
struct network::outbound_link {
  std::unique_ptr<event::stream> connection;
  /// Completions of unanswered calls, by call id.
  std::unordered_map<std::uint64_t, completion> pending_calls;
  event::timer_id reconnect = 0;
  time_point last_received{};
  time_point asked_at{};
  /// When the oldest status request without any reply was sent.
  std::optional<time_point> unanswered_since;
};

/// Another node's connection to this one.
struct network::inbound_link {
  std::uint64_t id = 0;
  /// Name of the node at the other end; empty before its first status.
  std::string node;
  /// Incarnation that the node reported in its status.
  std::uint64_t incarnation = 0;
  std::unique_ptr<event::stream> connection;
  /// Smallest difference between receive and send time of a call so far. The clocks of two nodes
  /// differ, so the excess over this minimum is taken as the delay on the link.
  std::int64_t min_offset_us = std::numeric_limits<std::int64_t>::max();
};

network::network(event::loop& events, network_options options, network_events callbacks)
    : loop_(events), timers_(events), options_(std::move(options)),
      callbacks_(std::move(callbacks)) {}

network::~network() {
  for (const auto& [name, link] : outbound_) {
    loop_.cancel(link->reconnect);
  }
}

leaf::result<void> network::listen() {
  const endpoint& at =
      options_.listen_address.port == 0 ? options_.address : options_.listen_address;
  BOOST_LEAF_ASSIGN(listener_, event::listener::open(loop_, at, [this](int fd) { accept(fd); }));
  check_links();
  return {};
}

void network::add_node(const std::string& name, const std::string& data_centre,
                       const endpoint& address) {
  if (name == options_.node || address == options_.address) {
    return;
  }
  auto [found, added] = nodes_.try_emplace(name);
  node_entry& node = found->second;
  if (!added && node.address == address) {
    return;
  }
  node.name = name;
  node.data_centre = data_centre;
  node.address = address;
  node.listed_address.reset();
  if (!added) {
    link_lost(name, "the address changed");
  }
  connect(name);
}

void network::add_listed_node(const std::string& name, const std::string& data_centre,
                              const endpoint& address) {
  const auto found = nodes_.find(name);
  const bool confirmed = found != nodes_.end() && found->second.connected &&
                         found->second.status.address == found->second.address;
  if (!confirmed) {
    add_node(name, data_centre, address);
  } else if (address != found->second.address) {
    found->second.listed_address = address;
  } else {
    found->second.listed_address.reset();
  }
}

void network::remove_node(const std::string& name) {
  if (nodes_.count(name) == 0) {
    return;
  }
  link_lost(name, "the node was removed");
  if (const auto link = outbound_.find(name); link != outbound_.end()) {
    loop_.cancel(link->second->reconnect);
    outbound_.erase(link);
  }
  index_service(nodes_.at(name), nodes_.at(name).status.target.service, "");
  nodes_.erase(name);
}

void network::index_service(const node_entry& node, const std::string& before,
                            const std::string& after) {
  if (before == after) {
    return;
  }
  if (const auto found = by_service_.find(before); found != by_service_.end()) {
    std::erase(found->second.within_data_centre, &node);
    std::erase(found->second.elsewhere, &node);
  }
  if (!after.empty()) {
    auto& indexed = by_service_[after];
    auto& nodes =
        node.data_centre == options_.data_centre ? indexed.within_data_centre : indexed.elsewhere;
    nodes.push_back(&node);
  }
}

const network::service_nodes* network::nodes_of(const std::string& service) const {
  const auto found = by_service_.find(service);
  return found == by_service_.end() ? nullptr : &found->second;
}

void network::transmit(event::stream& to, const std::string& data_centre, std::size_t frame_index,
                       const std::string& bytes) {
  auto& sent =
      data_centre == options_.data_centre ? sent_.within_data_centre : sent_.between_data_centres;
  sent[frame_index] += bytes.size();
  to.send(bytes);
}

void network::connect(const std::string& name) {
  node_entry& node = nodes_.at(name);
  if (node.listed_address) {
    node.address = *std::exchange(node.listed_address, std::nullopt);
  }
  auto& link = outbound_[name];
  if (!link) {
    link = std::make_unique<outbound_link>();
  }
  loop_.cancel(link->reconnect);
  link->reconnect = 0;
  event::stream_options options;
  options.silence_timeout = options_.link_timeout;
  options.read_limit = max_frame_bytes;
  link->connection = std::make_unique<event::stream>(loop_, node.address, options);
  link->connection->handle({
      .on_connected =
          [this, name] {
            nodes_.at(name).connected = true;
            outbound_.at(name)->last_received = loop_.now();
            outbound_.at(name)->unanswered_since.reset();
            callbacks_.on_link(nodes_.at(name), true);
          },
      .on_data = [this, name] { on_outbound_data(name); },
      .on_closed = [this, name](event::close_reason) { link_lost(name, "the connection ended"); },
  });
  // An attempt to connect to a VM that is off gets no reply, so it is abandoned after the same
  // timeout as an established link.
  link->reconnect = loop_.after(options_.link_timeout, [this, name] {
    if (!nodes_.at(name).connected) {
      link_lost(name, "no connection in time");
    }
  });
}

void network::link_lost(const std::string& name, const std::string& why) {
  node_entry& node = nodes_.at(name);
  outbound_link& link = *outbound_.at(name);
  if (link.connection) {
    // Resetting the connection discards unsent data, so that no call arrives after it was reported
    // as lost.
    link.connection->close(true);
    loop_.defer([old = std::shared_ptr<event::stream>(std::move(link.connection))] {});
  }
  loop_.cancel(link.reconnect);
  link.reconnect = loop_.after(options_.reconnect_pause, [this, name] { connect(name); });
  const bool was_connected = node.connected;
  node.connected = false;
  node.outstanding = 0;
  auto pending_calls = std::move(link.pending_calls);
  link.pending_calls.clear();
  if (was_connected) {
    callbacks_.on_link(node, false);
  }
  for (auto& [id, done] : pending_calls) {
    answer_frame lost;
    lost.id = id;
    lost.result = static_cast<std::uint8_t>(call_result::unknown);
    lost.reason = "link lost: " + why;
    lost.reached_target = true;
    done(std::move(lost));
  }
}

void network::on_outbound_data(const std::string& name) {
  outbound_link& link = *outbound_.at(name);
  event::stream* connection = link.connection.get();
  while (connection != nullptr && !connection->closed()) {
    auto next = decode(connection->input());
    if (next.malformed) {
      link_lost(name, "a malformed frame");
      return;
    }
    if (!next.value) {
      return;
    }
    link.last_received = loop_.now();
    link.unanswered_since.reset();
    if (auto* answer = std::get_if<answer_frame>(&*next.value)) {
      const auto found = link.pending_calls.find(answer->id);
      if (found != link.pending_calls.end()) {
        auto done = std::move(found->second);
        link.pending_calls.erase(found);
        node_entry& node = nodes_.at(name);
        node.outstanding -= std::min<std::uint32_t>(node.outstanding, 1);
        node.status.target.in_flight = answer->in_flight;
        node.status.target.queued = answer->queued;
        load_reported(node);
        done(std::move(*answer));
      }
    } else if (const auto* configuration = std::get_if<configuration_frame>(&*next.value)) {
      callbacks_.on_configuration(*configuration);
    } else if (const auto* leave = std::get_if<leave_frame>(&*next.value)) {
      callbacks_.on_leave_recorded(*leave);
    } else if (const auto* status = std::get_if<status_frame>(&*next.value)) {
      if (status->node == name && is_current_incarnation(name, status->incarnation)) {
        store_status(*status);
      }
    }
    connection = link.connection.get();
  }
}

void network::check_links() {
  timers_.after(link_check_interval, [this] { check_links(); });
  const time_point now = loop_.now();
  std::vector<std::string> silent;
  for (auto& [name, link] : outbound_) {
    const node_entry& node = nodes_.at(name);
    if (!node.connected) {
      continue;
    }
    if (link->unanswered_since && now - *link->unanswered_since > options_.reply_timeout) {
      silent.push_back(name);
      continue;
    }
    const bool near = node.data_centre == options_.data_centre;
    const duration limit = near ? options_.silence_limit : options_.far_silence_limit;
    const bool state_old = now - node.heard > limit / 2;
    const bool calls_unanswered = node.outstanding > 0 && now - link->last_received > call_silence;
    if ((state_old || calls_unanswered) && now - link->asked_at > limit / 4) {
      link->asked_at = now;
      link->unanswered_since = link->unanswered_since.value_or(now);
      send(name, status_request{});
    }
  }
  for (const std::string& name : silent) {
    link_lost(name, "no reply to status requests");
  }
}

std::optional<std::uint64_t> network::call(const std::string& node, call_frame value,
                                           completion done) {
  const auto entry = nodes_.find(node);
  if (entry == nodes_.end() || !entry->second.connected) {
    return std::nullopt;
  }
  outbound_link& link = *outbound_.at(node);
  value.id = next_call_++;
  value.sent_us = microseconds_of(loop_.now());
  link.pending_calls.emplace(value.id, std::move(done));
  ++entry->second.outstanding;
  ++entry->second.sent_since_report;
  const std::uint64_t id = value.id;
  const frame wire(std::move(value));
  transmit(*link.connection, entry->second.data_centre, wire.index(), encode(wire));
  return id;
}

void network::cancel(const std::string& node, std::uint64_t id) {
  const auto entry = nodes_.find(node);
  if (entry == nodes_.end()) {
    return;
  }
  outbound_link& link = *outbound_.at(node);
  if (link.pending_calls.erase(id) != 0) {
    entry->second.outstanding -= std::min<std::uint32_t>(entry->second.outstanding, 1);
    if (link.connection) {
      const frame wire(cancel_frame{id});
      transmit(*link.connection, entry->second.data_centre, wire.index(), encode(wire));
    }
  }
}

void network::answer(std::uint64_t connection, const frame& value) {
  if (const auto found = inbound_.find(connection); found != inbound_.end()) {
    reply(*found->second, value);
  }
}

void network::reply(inbound_link& link, const frame& value) {
  const auto peer = nodes_.find(link.node);
  transmit(*link.connection, peer == nodes_.end() ? "" : peer->second.data_centre, value.index(),
           encode(value));
}

void network::broadcast(const frame& value) {
  const std::string bytes = encode(value);
  for (auto& [name, link] : outbound_) {
    if (link->connection && link->connection->connected()) {
      transmit(*link->connection, nodes_.at(name).data_centre, value.index(), bytes);
    }
  }
}

void network::send(const std::string& node, const frame& value) {
  const auto found = outbound_.find(node);
  if (found != outbound_.end() && found->second->connection &&
      found->second->connection->connected()) {
    transmit(*found->second->connection, nodes_.at(node).data_centre, value.index(), encode(value));
  }
}

bool network::reachable(const node_entry& node) const {
  const bool near = node.data_centre == options_.data_centre;
  const duration limit = near ? options_.silence_limit : options_.far_silence_limit;
  return node.connected && !node.status.node.empty() && loop_.now() - node.heard < limit;
}

void network::accept(int fd) {
  auto link = std::make_unique<inbound_link>();
  const std::uint64_t id = next_connection_++;
  event::stream_options options;
  options.silence_timeout = options_.link_timeout;
  options.read_limit = max_frame_bytes;
  link->id = id;
  link->connection = std::make_unique<event::stream>(loop_, fd, options);
  link->connection->handle({
      .on_connected = {},
      .on_data = [this, id] { on_inbound_data(id); },
      .on_closed = [this, id](event::close_reason) { close_inbound(id); },
  });
  inbound_.emplace(id, std::move(link));
}

void network::close_inbound(std::uint64_t id) {
  const auto found = inbound_.find(id);
  if (found == inbound_.end()) {
    return;
  }
  const auto newest = newest_inbound_.find(found->second->node);
  if (newest != newest_inbound_.end() && newest->second == id) {
    newest_inbound_.erase(newest);
  }
  found->second->connection->close(true);
  loop_.defer([old = std::shared_ptr<inbound_link>(std::move(found->second))] {});
  inbound_.erase(found);
  callbacks_.on_caller_gone(id);
}

void network::on_inbound_data(std::uint64_t id) {
  // Calls begin after all frames that have arrived were read, since one of these may cancel them.
  std::vector<call_frame> calls;
  while (true) {
    const auto found = inbound_.find(id);
    if (found == inbound_.end()) {
      return;
    }
    inbound_link& link = *found->second;
    auto next = decode(link.connection->input());
    if (next.malformed) {
      close_inbound(id);
      return;
    }
    if (!next.value) {
      break;
    }
    if (auto* call = std::get_if<call_frame>(&*next.value)) {
      subtract_delay(link, *call);
      calls.push_back(std::move(*call));
    } else if (const auto* cancelled = std::get_if<cancel_frame>(&*next.value)) {
      const auto waiting =
          std::erase_if(calls, [&](const call_frame& it) { return it.id == cancelled->id; });
      if (waiting == 0) {
        callbacks_.on_cancel(id, cancelled->id);
      }
    } else {
      handle(link, std::move(*next.value));
    }
  }
  for (auto& it : calls) {
    callbacks_.on_call(id, std::move(it));
  }
}

void network::subtract_delay(inbound_link& link, call_frame& call) const {
  const std::int64_t offset = microseconds_of(loop_.now()) - call.sent_us;
  link.min_offset_us = std::min(link.min_offset_us, offset);
  const auto delay_ms = static_cast<std::uint32_t>((offset - link.min_offset_us) / 1'000);
  call.remaining_ms -= std::min(call.remaining_ms, delay_ms);
}

void network::handle(inbound_link& link, frame value) {
  if (const auto* status = std::get_if<status_frame>(&value)) {
    handle_status(link, *status);
  } else if (const auto* load = std::get_if<load_frame>(&value)) {
    if (is_current_incarnation(link.node, link.incarnation)) {
      handle_load(link.node, *load);
    }
  } else if (auto* digest = std::get_if<digest_frame>(&value)) {
    handle_digest(std::move(*digest));
  } else if (const auto* report = std::get_if<admission::crash_report>(&value)) {
    callbacks_.on_crash_report(*report);
  } else if (std::holds_alternative<status_request>(value)) {
    reply(link, callbacks_.on_status_request());
  } else if (const auto* asked = std::get_if<configuration_request>(&value)) {
    if (auto text = callbacks_.on_configuration_request(asked->known_version)) {
      reply(link, std::move(*text));
    }
  } else if (const auto* configuration = std::get_if<configuration_frame>(&value)) {
    callbacks_.on_configuration(*configuration);
  } else if (const auto* leave = std::get_if<leave_frame>(&value); leave && !link.node.empty()) {
    callbacks_.on_leave(link.id, link.node, *leave);
  }
}

void network::handle_status(inbound_link& link, const status_frame& status) {
  if (status.node.empty() || status.node == options_.node) {
    return;
  }
  link.node = status.node;
  link.incarnation = status.incarnation;
  auto& newest = newest_inbound_[status.node];
  newest = std::max(newest, link.id);
  if (is_current_incarnation(status.node, status.incarnation)) {
    store_status(status);
  }
}

bool network::is_current_incarnation(const std::string& node, std::uint64_t incarnation) const {
  const auto newest = newest_inbound_.find(node);
  if (newest == newest_inbound_.end()) {
    return true;
  }
  const auto link = inbound_.find(newest->second);
  return link == inbound_.end() || link->second->incarnation == incarnation;
}

void network::store_status(const status_frame& status) {
  // The status may be the first sign of a node that has not been read from the store yet.
  add_node(status.node, status.data_centre, status.address);
  const auto found = nodes_.find(status.node);
  if (found == nodes_.end()) {
    return;
  }
  node_entry& node = found->second;
  status_frame previous = std::exchange(node.status, status);
  index_service(node, previous.target.service, status.target.service);
  if (!status.has_picture && previous.incarnation == status.incarnation) {
    node.status.demand = std::move(previous.demand);
    node.status.calls = std::move(previous.calls);
    node.status.costs = std::move(previous.costs);
  }
  node.heard = loop_.now();
  load_reported(node);
  callbacks_.on_status(status);
}

void network::load_reported(node_entry& node) {
  const target_status& target = node.status.target;
  node.sent_since_report = 0;
  node.load.update(loop_.now(), static_cast<double>(target.in_flight + target.queued) /
                                    std::max(1U, target.slots));
}

void network::handle_load(const std::string& name, const load_frame& load) {
  const auto found = nodes_.find(name);
  if (found == nodes_.end()) {
    return;
  }
  node_entry& node = found->second;
  node.heard = loop_.now();
  node.status.configuration_version = load.configuration_version;
  node.status.leaving = load.leaving;
  node.status.target.ready = load.ready;
  node.status.target.slots = load.slots;
  node.status.target.in_flight = load.in_flight;
  node.status.target.queued = load.queued;
  node.status.target.slowness = load.slowness;
  load_reported(node);
  if (!load.demand.empty()) {
    node.status.demand = load.demand;
  }
  callbacks_.on_load(node, load, node.data_centre == options_.data_centre);
}

void network::handle_digest(digest_frame digest) {
  for (const auto& it : digest.statuses) {
    if (it.node != options_.node && !it.node.empty() &&
        is_current_incarnation(it.node, it.incarnation)) {
      store_status(it);
    }
  }
  for (const auto& it : digest.loads) {
    const auto found = nodes_.find(it.node);
    // A load of another incarnation is ignored until the status of that incarnation has arrived.
    if (found != nodes_.end() && found->second.status.incarnation == it.incarnation) {
      handle_load(it.node, it.load);
    }
  }
  if (!digest.demand.empty() || !digest.calls.empty() || !digest.costs.empty()) {
    callbacks_.on_summary(digest);
  }
  if (digest.pass_on) {
    digest.pass_on = false;
    broadcast_near(digest);
  }
}

std::optional<std::size_t> network::relay_rank() const {
  std::size_t rank = 0;
  for (const auto& [name, node] : nodes_) {
    if (name < options_.node && node.data_centre == options_.data_centre && reachable(node)) {
      ++rank;
    }
  }
  return rank < relays_per_data_centre ? std::optional(rank) : std::nullopt;
}

void network::broadcast_near(const frame& value) {
  const std::string bytes = encode(value);
  for (auto& [name, link] : outbound_) {
    const node_entry& node = nodes_.at(name);
    if (node.connected && node.data_centre == options_.data_centre) {
      transmit(*link->connection, node.data_centre, value.index(), bytes);
    }
  }
}

void network::send_digest(digest_frame digest, std::size_t choice) {
  digest.pass_on = true;
  digest.data_centre = options_.data_centre;
  const frame wire(std::move(digest));
  const std::string bytes = encode(wire);
  std::map<std::string, std::vector<std::string>> connected;
  for (const auto& [name, node] : nodes_) {
    if (node.connected && node.data_centre != options_.data_centre) {
      connected[node.data_centre].push_back(name);
    }
  }
  for (const auto& [data_centre, names] : connected) {
    transmit(*outbound_.at(names[choice % names.size()])->connection, data_centre, wire.index(),
             bytes);
  }
}

} // namespace damaskledge::fleet
