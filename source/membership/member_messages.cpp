// Messages of the member table: failure detection by probes, gossip and synchronisation.
#include <algorithm>
#include <cmath>
#include <utility>

#include "membership/membership.h"

namespace damaskledge::membership {

namespace {

using wire::member_state;

/// Limit on the data of other libraries in a datagram, so that member changes have room.
constexpr std::size_t carried_bytes = 480;
constexpr std::size_t sync_seeds = 2;
constexpr milliseconds join_period{1'000};
/// A reply larger than this is truncated; datagram gossip delivers the rest.
constexpr std::size_t max_sync_bytes = wire::max_frame_bytes / 2;

/// Copies values into a list as long as they fit, starting at a rotating offset.
template <class Value>
void add_rotating(std::vector<Value>& into, const std::vector<Value>& from, std::size_t offset,
                  std::size_t& room) {
  for (std::size_t it = 0; it < from.size(); ++it) {
    const auto& value = from[(it + offset) % from.size()];
    const auto bytes = wire::element_bytes(value);
    if (bytes > room) {
      return;
    }
    room -= bytes;
    into.push_back(value);
  }
}

} // namespace

void member_table::rebuild_peers() {
  if (!peers_changed_) {
    return;
  }
  peers_changed_ = false;
  local_peers_.clear();
  remote_peers_.clear();
  for (const auto& [name, row] : rows_) {
    if (name != self_.name && is_alive(row)) {
      (row.record.data_centre == self_.data_centre ? local_peers_ : remote_peers_).push_back(name);
    }
  }
}

std::string member_table::next_in_round(std::vector<std::string>& round,
                                        const std::vector<std::string>& all) {
  for (;;) {
    if (round.empty()) {
      if (all.empty()) {
        return {};
      }
      round = all;
      std::shuffle(round.begin(), round.end(), random_);
    }
    auto name = std::move(round.back());
    round.pop_back();
    const auto found = rows_.find(name);
    if (found != rows_.end() && is_alive(found->second)) {
      return name;
    }
  }
}

std::vector<std::string> member_table::random_peers(std::size_t count, const std::string& except) {
  rebuild_peers();
  std::vector<std::string> result;
  std::uniform_real_distribution<double> fraction(0, 1);
  const auto wanted = std::min(count, local_peers_.size() + remote_peers_.size());
  for (std::size_t attempt = 0; attempt < 4 * count && result.size() < wanted; ++attempt) {
    const bool local = !local_peers_.empty() &&
                       (remote_peers_.empty() || fraction(random_) < options_.local_fraction);
    const auto& pool = local ? local_peers_ : remote_peers_;
    const auto& name = pool[random_() % pool.size()];
    if (name != except && std::find(result.begin(), result.end(), name) == result.end()) {
      result.push_back(name);
    }
  }
  return result;
}

void member_table::add_changes(wire::gossip& facts, std::size_t room, const std::string& receiver,
                               bool push_only) {
  if (queue_.empty()) {
    return;
  }
  rebuild_peers();
  const auto limit =
      options_.retransmit_factor *
      static_cast<std::uint32_t>(std::ceil(std::log2(static_cast<double>(rows_.size()) + 1)));
  std::erase_if(queue_, [&](member_row* row) {
    // The own record is part of every probe and is not queued after its push.
    const auto& counts = row->transmissions;
    const bool spread = (counts[0] >= limit || local_peers_.empty()) &&
                        (counts[1] >= limit || remote_peers_.empty());
    const bool done = !row->push_pending && (spread || row->record.name == self_.name);
    row->queued = !done;
    return done;
  });
  const auto scope = scope_of(receiver);
  std::vector<member_row*> changed;
  for (auto* row : queue_) {
    if ((push_only ? row->push_pending : row->transmissions[scope] < limit) &&
        row->record.name != receiver && row->record.name != self_.name) {
      changed.push_back(row);
    }
  }
  std::shuffle(changed.begin(), changed.end(), random_);
  // The smallest record takes about 60 bytes, so no datagram holds more.
  constexpr std::size_t max_records_per_datagram = 20;
  const auto selected_end =
      changed.begin() +
      static_cast<std::ptrdiff_t>(std::min(max_records_per_datagram, changed.size()));
  std::partial_sort(changed.begin(), selected_end, changed.end(),
                    [scope](const auto* a, const auto* b) {
                      return a->transmissions[scope] < b->transmissions[scope];
                    });
  changed.erase(selected_end, changed.end());
  for (auto* row : changed) {
    if (row->bytes > room) {
      continue;
    }
    room -= row->bytes;
    facts.members.push_back(row->record);
    ++row->transmissions[scope];
  }
}

wire::gossip member_table::gossip_for(const std::string& receiver, std::size_t base_bytes) {
  wire::gossip facts;
  auto room = wire::max_datagram_bytes - std::min(wire::max_datagram_bytes, base_bytes);
  const auto add_row = [&](const member_row& row) {
    if (row.bytes <= room) {
      room -= row.bytes;
      facts.members.push_back(row.record);
    }
  };
  add_row(rows_.at(self_.name));
  // Tell a suspect, dead or left receiver its state first, so that it can refute it.
  const auto found = rows_.find(receiver);
  if (found != rows_.end() && found->second.record.state != member_state::up &&
      found->second.record.state != member_state::draining) {
    add_row(found->second);
  }
  const auto carried_room = std::min(room, carried_bytes);
  auto left = carried_room;
  const auto offset = carried_offset_++;
  add_rotating(facts.highest, carried_.highest, offset, left);
  add_rotating(facts.coordinators, carried_.coordinators, offset, left);
  add_rotating(facts.crash_fingerprints, carried_.crash_fingerprints, offset, left);
  add_rotating(facts.shed_levels, carried_.shed_levels, offset, left);
  room -= carried_room - left;
  add_changes(facts, room, receiver, false);
  return facts;
}

void member_table::send_probe(std::uint64_t sequence, const std::string& receiver,
                              const endpoint& to, outgoing_list& out) {
  wire::probe body{sequence, {}};
  body.facts = gossip_for(receiver, wire::frame_bytes(self_.name, own_address(), body));
  out.push_back({to, wire::transport::datagram, std::move(body)});
}

void member_table::check_probes(time_point now, outgoing_list& out) {
  for (auto it = probes_.begin(); it != probes_.end();) {
    auto& [sequence, pending] = *it;
    if (now < pending.deadline) {
      ++it;
      continue;
    }
    const auto found = rows_.find(pending.subject);
    if (found == rows_.end() || !is_alive(found->second)) {
      it = probes_.erase(it);
      continue;
    }
    if (!pending.indirect) {
      pending.indirect = true;
      pending.deadline = now + options_.probe_timeout;
      for (const auto& helper : random_peers(options_.indirect_probes, pending.subject)) {
        out.push_back(
            {address_of(rows_.at(helper).record), wire::transport::datagram,
             wire::indirect_probe{sequence, pending.subject, address_of(found->second.record)}});
      }
      ++it;
      continue;
    }
    if (found->second.record.state != member_state::suspect) {
      set_state(now, found->second, member_state::suspect);
      // Tell the suspect at once, so that it has the whole suspicion time to refute.
      wire::member_sync_reply notice;
      notice.facts.members = {found->second.record};
      out.push_back({address_of(found->second.record), wire::transport::datagram, notice});
    }
    it = probes_.erase(it);
  }
  std::erase_if(relays_, [now](const auto& entry) { return entry.second.deadline <= now; });
}

void member_table::start_probe(time_point now, outgoing_list& out) {
  if (now < next_probe_) {
    return;
  }
  next_probe_ = now + options_.probe_period;
  rebuild_peers();
  std::uniform_real_distribution<double> fraction(0, 1);
  const bool local = !local_peers_.empty() &&
                     (remote_peers_.empty() || fraction(random_) < options_.local_fraction);
  const auto name = local ? next_in_round(local_round_, local_peers_)
                          : next_in_round(remote_round_, remote_peers_);
  if (name.empty()) {
    return;
  }
  const auto sequence = next_sequence_++;
  probes_[sequence] = {name, now + options_.probe_timeout, false};
  send_probe(sequence, name, address_of(rows_.at(name).record), out);
}

void member_table::reconnect(time_point now, outgoing_list& out) {
  if (now < next_reconnect_) {
    return;
  }
  next_reconnect_ = now + options_.reconnect_period;
  std::vector<std::pair<std::string, endpoint>> targets;
  const auto is_known = [this](const endpoint& address) {
    return std::any_of(rows_.begin(), rows_.end(), [&](const auto& entry) {
      const auto& record = entry.second.record;
      return record.state != member_state::dead && record.peer_port == address.port &&
             record.address == address.address;
    });
  };
  for (const auto& [name, row] : rows_) {
    if (row.record.state == member_state::dead) {
      targets.emplace_back(name, address_of(row.record));
    }
  }
  for (const auto& [name, member] : forgotten_) {
    if (member.state == member_state::dead && !is_known(member.address)) {
      targets.emplace_back(name, member.address);
    }
  }
  for (const auto& seed : seeds_) {
    if (!is_known(seed)) {
      targets.emplace_back(std::string(), seed);
    }
  }
  if (!targets.empty()) {
    const auto& [name, address] = targets[random_() % targets.size()];
    send_probe(next_sequence_++, name, address, out);
  }
}

std::size_t member_table::table_bytes() const {
  std::size_t bytes = 0;
  for (const auto& [name, row] : rows_) {
    bytes += row.bytes;
  }
  return bytes;
}

void member_table::synchronise(time_point now, outgoing_list& out) {
  if (now < next_sync_) {
    return;
  }
  rebuild_peers();
  std::vector<endpoint> targets;
  if ((local_peers_.empty() && remote_peers_.empty()) || superseded()) {
    next_sync_ = now + join_period;
    auto seeds = seeds_;
    std::erase(seeds, own_address());
    std::shuffle(seeds.begin(), seeds.end(), random_);
    seeds.resize(std::min(seeds.size(), sync_seeds));
    targets = std::move(seeds);
  }
  if (targets.empty()) {
    const auto by_size =
        milliseconds(table_bytes() * 1'000 / std::max(1U, options_.sync_bytes_per_s));
    const auto period = std::max(options_.sync_period, by_size);
    std::uniform_real_distribution<double> jitter(0.75, 1.25);
    next_sync_ = now + std::chrono::duration_cast<duration>(period * jitter(random_));
    for (const auto& name : random_peers(1, std::string())) {
      targets.push_back(address_of(rows_.at(name).record));
    }
  }
  sync_pending_ = targets;
  for (const auto& target : targets) {
    out.push_back({target, wire::transport::stream, wire::member_sync_request{self_}});
  }
}

void member_table::push_changes(time_point now, outgoing_list& out, bool at_once) {
  if (queue_.empty() || (now < next_push_ && !at_once)) {
    return;
  }
  if (std::none_of(queue_.begin(), queue_.end(),
                   [](const auto* row) { return row->push_pending; })) {
    return;
  }
  next_push_ = now + options_.push_period;
  const auto peers = random_peers(options_.push_fanout, std::string());
  if (peers.empty()) {
    return;
  }
  wire::member_sync_reply body;
  auto room = wire::max_datagram_bytes - wire::frame_bytes(self_.name, own_address(), body);
  auto& own_row = rows_.at(self_.name);
  auto by = wire::transport::datagram;
  if (own_row.push_pending) {
    body.facts.members.push_back(own_row.record);
    if (own_row.bytes > room) {
      by = wire::transport::stream;
    }
    room -= std::min(room, own_row.bytes);
  }
  add_changes(body.facts, room, peers.front(), true);
  for (const auto& record : body.facts.members) {
    rows_.at(record.name).push_pending = false;
  }
  for (const auto& name : peers) {
    out.push_back({address_of(rows_.at(name).record), by, body});
  }
}

std::vector<wire::outgoing> member_table::tick(time_point now) {
  outgoing_list out;
  compensate_pause(now);
  if (superseded()) {
    synchronise(now, out);
    return out;
  }
  check_probes(now, out);
  expire(now);
  start_probe(now, out);
  reconnect(now, out);
  synchronise(now, out);
  push_changes(now, out, false);
  return out;
}

std::vector<wire::outgoing> member_table::receive(time_point now, const wire::incoming& from) {
  outgoing_list out;
  if (from.sender == self_.name && from.from == own_address()) {
    return out;
  }
  const auto note_heard = [&] {
    const auto row = rows_.find(from.sender);
    if (row != rows_.end()) {
      row->second.heard_at = now;
    }
  };
  if (const auto* probe = std::get_if<wire::probe>(&from.body)) {
    merge_facts(now, probe->facts, from.sender);
    if (superseded()) {
      return out;
    }
    note_heard();
    wire::probe_acknowledgement body{probe->sequence, self_.name, {}};
    body.facts = gossip_for(from.sender, wire::frame_bytes(self_.name, own_address(), body));
    out.push_back({from.from, wire::transport::datagram, std::move(body)});
  } else if (const auto* answer = std::get_if<wire::probe_acknowledgement>(&from.body)) {
    merge_facts(now, answer->facts, from.sender);
    if (answer->subject == from.sender) {
      note_heard();
    }
    const auto pending = probes_.find(answer->sequence);
    if (pending != probes_.end() && pending->second.subject == answer->subject) {
      probes_.erase(pending);
      slowness_ -= std::min(slowness_, 1U);
    }
    const auto relay = relays_.find(answer->sequence);
    if (relay != relays_.end() && relay->second.subject == answer->subject) {
      wire::probe_acknowledgement body{relay->second.requester_sequence, answer->subject, {}};
      const auto row = rows_.find(answer->subject);
      if (row != rows_.end() &&
          wire::frame_bytes(self_.name, own_address(), body) + row->second.bytes <=
              wire::max_datagram_bytes) {
        body.facts.members.push_back(row->second.record);
      }
      out.push_back({relay->second.requester, wire::transport::datagram, std::move(body)});
      relays_.erase(relay);
    }
  } else if (const auto* request = std::get_if<wire::indirect_probe>(&from.body)) {
    if (superseded() || relays_.size() >= max_members) {
      return out;
    }
    const auto sequence = next_sequence_++;
    relays_[sequence] = {request->subject, from.from, request->sequence,
                         now + 2 * options_.probe_timeout};
    send_probe(sequence, request->subject, request->subject_address, out);
  } else if (const auto* sync = std::get_if<wire::member_sync_request>(&from.body)) {
    merge(now, sync->self, from.sender);
    wire::member_sync_reply body;
    std::size_t bytes = 0;
    for (const auto& [name, row] : rows_) {
      bytes += row.bytes;
      if (bytes > max_sync_bytes) {
        break;
      }
      body.facts.members.push_back(row.record);
    }
    out.push_back({from.from, wire::transport::stream, std::move(body)});
  } else if (const auto* reply = std::get_if<wire::member_sync_reply>(&from.body)) {
    const bool joining = rows_.size() == 1;
    const auto before = changes_;
    merge_facts(now, reply->facts, from.sender);
    if (joining) {
      // Other members already know these rows; only this node's own record is new to them.
      for (auto& [name, row] : rows_) {
        if (name != self_.name) {
          dequeue_change(row);
        }
      }
    }
    if (std::erase(sync_pending_, from.from) > 0 && changes_ != before) {
      const auto by_size =
          milliseconds(table_bytes() * 1'000 / std::max(1U, options_.repair_bytes_per_s));
      next_sync_ = std::min(next_sync_, now + std::max(options_.repair_period, by_size));
    }
  }
  return out;
}

std::vector<wire::outgoing> member_table::solicit(time_point now, const std::string& data_centre,
                                                  time_point since) {
  outgoing_list out;
  if (superseded()) {
    return out;
  }
  for (auto& [name, row] : rows_) {
    if (name != self_.name && row.record.data_centre == data_centre && is_alive(row) &&
        row.heard_at <= since &&
        (row.solicited_at == time_point::min() ||
         now - row.solicited_at >= options_.probe_period)) {
      row.solicited_at = now;
      out.push_back(
          {address_of(row.record), wire::transport::datagram, wire::probe{next_sequence_++, {}}});
    }
  }
  return out;
}

} // namespace damaskledge::membership
