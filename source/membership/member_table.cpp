#include <algorithm>
#include <utility>

#include "membership/membership.h"

namespace damaskledge::membership {

namespace {

using wire::member_state;

/// Bounds memory if a fault elsewhere adds members.
constexpr std::size_t max_forgotten = 16'384;
/// Above any wall-clock time in milliseconds; a higher value could not be refuted before it wraps.
constexpr std::uint64_t max_incarnation = std::uint64_t{1} << 62U;
/// A node that was paused doubles or triples its suspicion time until probes succeed again
/// (Lifeguard's local health multiplier, reduced to pauses).
constexpr std::uint32_t max_slowness = 2;
/// Leaves room for the frame header, the sender and an own record of usual size.
constexpr std::size_t max_gossiped_record_bytes = 800;

/// At equal incarnations the state of higher precedence replaces the other.
int precedence(member_state state) {
  switch (state) {
  case member_state::up:
  case member_state::draining:
    return 0;
  case member_state::suspect:
    return 1;
  case member_state::dead:
    return 2;
  case member_state::left:
    return 3;
  }
  return 0;
}

bool alive_state(member_state state) {
  return precedence(state) <= 1;
}

/// Keeps the highest version of each document; within one incarnation versions only rise.
void merge_documents(std::vector<wire::document_version>& into,
                     const std::vector<wire::document_version>& from) {
  for (const auto& it : from) {
    const auto known = std::find_if(into.begin(), into.end(),
                                    [&](const auto& entry) { return entry.name == it.name; });
    if (known == into.end()) {
      into.push_back(it);
    } else {
      known->version = std::max(known->version, it.version);
    }
  }
}

} // namespace

member_table::member_table(settings options, wire::member_record self, std::vector<endpoint> seeds,
                           std::uint64_t seed)
    : options_(options), self_(std::move(self)), seeds_(std::move(seeds)), random_(seed) {
  auto& row = rows_[self_.name];
  row.record = self_;
  note_change(row);
}

bool member_table::is_alive(const member_row& row) const {
  return alive_state(row.record.state);
}

endpoint member_table::address_of(const wire::member_record& record) {
  return {record.address, record.peer_port};
}

endpoint member_table::own_address() const {
  return address_of(self_);
}

void member_table::note_change(member_row& row) {
  row.bytes = wire::element_bytes(row.record);
  row.transmissions = {};
  // A record too large for a datagram is propagated by synchronisation only.
  if (row.bytes <= max_gossiped_record_bytes || row.record.name == self_.name) {
    row.push_pending = true;
    if (!std::exchange(row.queued, true)) {
      queue_.push_back(&row);
    }
  }
  peers_changed_ = true;
  ++changes_;
}

void member_table::dequeue_change(member_row& row) {
  row.push_pending = false;
  if (std::exchange(row.queued, false)) {
    std::erase(queue_, &row);
  }
}

void member_table::set_state(time_point now, member_row& row, member_state state) {
  row.record.state = state;
  row.deadline = time_point::max();
  if (row.record.name != self_.name) {
    if (state == member_state::suspect) {
      row.deadline = now + options_.suspicion * (1 + slowness_);
    } else if (!alive_state(state)) {
      row.deadline = now + options_.forget_after;
    }
  }
  next_expiry_ = std::min(next_expiry_, row.deadline);
  note_change(row);
}

void member_table::merge_self(time_point now, const wire::member_record& record) {
  if (record.incarnation < self_.incarnation || record == self_) {
    return;
  }
  const bool same_process = address_of(record) == own_address();
  if (!same_process && alive_state(record.state) && record.incarnation > self_.incarnation) {
    rival_incarnation_ = std::max(rival_incarnation_, record.incarnation);
    next_sync_ = now;
    return;
  }
  if (!same_process && record.incarnation < rival_incarnation_) {
    return;
  }
  rival_incarnation_ = 0;
  const bool own_state_differs = record.state != self_.state;
  if (record.incarnation > self_.incarnation || own_state_differs) {
    self_.incarnation = record.incarnation + 1;
    auto& row = rows_[self_.name];
    row.record = self_;
    set_state(now, row, self_.state);
  }
}

std::size_t member_table::scope_of(const std::string& name) const {
  const auto row = rows_.find(name);
  return row != rows_.end() && row->second.record.data_centre == self_.data_centre ? 0 : 1;
}

void member_table::merge(time_point now, const wire::member_record& record,
                         const std::string& sender) {
  const bool direct = record.name == sender;
  if (record.name.empty() || record.peer_port == 0 || record.incarnation > max_incarnation) {
    return;
  }
  if (record.name == self_.name) {
    merge_self(now, record);
    return;
  }
  const auto found = rows_.find(record.name);
  if (found == rows_.end()) {
    const auto known = forgotten_.find(record.name);
    if (rows_.size() >= max_members) {
      return;
    }
    auto state = record.state;
    if (known != forgotten_.end()) {
      if (record.incarnation <= known->second.incarnation) {
        if (!direct || !alive_state(record.state)) {
          return;
        }
        // The member itself sent this with an incarnation that was forgotten as dead or left. The
        // next gossip to it includes this row, so that it can refute the state.
        state = known->second.state;
      }
      forgotten_.erase(known);
    }
    auto& row = rows_[record.name];
    row.record = record;
    set_state(now, row, state);
    if (!alive_state(state)) {
      // Kept only to recognise old gossip; the death has already been propagated.
      dequeue_change(row);
    }
    return;
  }
  auto& row = found->second;
  const bool newer = record.incarnation > row.record.incarnation ||
                     (record.incarnation == row.record.incarnation &&
                      precedence(record.state) > precedence(row.record.state));
  if (newer) {
    auto documents = record.incarnation == row.record.incarnation
                         ? row.record.documents
                         : std::vector<wire::document_version>();
    merge_documents(documents, record.documents);
    row.record = record;
    row.record.documents = std::move(documents);
    set_state(now, row, record.state);
  } else if (record.incarnation == row.record.incarnation) {
    merge_documents(row.record.documents, record.documents);
    if (direct) {
      row.bytes = wire::element_bytes(row.record);
    } else if (record.state == row.record.state) {
      // The sender knows this change already, so fewer repetitions are needed.
      ++row.transmissions[scope_of(sender)];
    }
  }
}

void member_table::merge_facts(time_point now, const wire::gossip& facts,
                               const std::string& sender) {
  for (const auto& it : facts.members) {
    merge(now, it, sender);
  }
}

void member_table::compensate_pause(time_point now) {
  const auto previous = std::exchange(last_tick_, now);
  if (!previous) {
    next_reconnect_ = now + options_.reconnect_period;
    // A random offset keeps nodes that start together from probing at the same time.
    next_probe_ =
        now + milliseconds(random_() % static_cast<std::uint64_t>(options_.probe_period.count()));
    return;
  }
  const auto gap = now - *previous;
  if (gap <= options_.probe_timeout) {
    return;
  }
  // Answers and refutations could not be read during the gap, so it does not count as waiting.
  slowness_ = max_slowness;
  probes_.clear();
  for (auto& [name, row] : rows_) {
    if (row.record.state == member_state::suspect) {
      row.deadline = gap >= options_.suspicion ? now + options_.suspicion * (1 + slowness_)
                                               : row.deadline + gap;
    }
  }
  for (auto* next : {&next_probe_, &next_sync_, &next_reconnect_}) {
    *next = std::max(*next, now);
  }
}

void member_table::expire(time_point now) {
  if (now < next_expiry_) {
    return;
  }
  next_expiry_ = time_point::max();
  for (auto it = rows_.begin(); it != rows_.end();) {
    auto& row = it->second;
    if (row.deadline <= now) {
      if (row.record.state == member_state::suspect) {
        set_state(now, row, member_state::dead);
      } else {
        if (forgotten_.size() < max_forgotten) {
          forgotten_[it->first] = {row.record.incarnation, row.record.state, address_of(row.record),
                                   now + options_.remember_forgotten};
        }
        dequeue_change(row);
        ++changes_;
        it = rows_.erase(it);
        continue;
      }
    }
    next_expiry_ = std::min(next_expiry_, row.deadline);
    ++it;
  }
  std::erase_if(forgotten_, [now](const auto& entry) { return entry.second.until <= now; });
}

std::vector<wire::outgoing> member_table::update_self(time_point now,
                                                      std::vector<wire::service_record> services,
                                                      member_state state) {
  outgoing_list out;
  if (services == self_.services && state == self_.state) {
    return out;
  }
  self_.services = std::move(services);
  self_.state = state;
  ++self_.incarnation;
  auto& row = rows_[self_.name];
  row.record = self_;
  set_state(now, row, state);
  if (!superseded()) {
    push_changes(now, out, true);
  }
  return out;
}

void member_table::set_documents(std::vector<wire::document_version> documents) {
  if (documents == self_.documents) {
    return;
  }
  self_.documents = std::move(documents);
  auto& row = rows_[self_.name];
  row.record.documents = self_.documents;
  row.bytes = wire::element_bytes(row.record);
}

void member_table::set_carried_facts(carried_facts facts) {
  carried_ = std::move(facts);
}

void member_table::add_seeds(const std::vector<endpoint>& seeds) {
  for (const auto& it : seeds) {
    if (it != own_address() && std::find(seeds_.begin(), seeds_.end(), it) == seeds_.end()) {
      seeds_.push_back(it);
    }
  }
}

const wire::member_record& member_table::self() const {
  return self_;
}

std::vector<wire::member_record> member_table::members() const {
  std::vector<wire::member_record> result;
  result.reserve(rows_.size());
  for (const auto& [name, row] : rows_) {
    result.push_back(row.record);
  }
  return result;
}

std::optional<wire::member_record> member_table::find(const std::string& name) const {
  const auto row = rows_.find(name);
  return row == rows_.end() ? std::nullopt : std::optional(row->second.record);
}

std::vector<wire::member_record> member_table::alive(const std::string& data_centre) const {
  std::vector<wire::member_record> result;
  for (const auto& [name, row] : rows_) {
    if (row.record.data_centre == data_centre && is_alive(row)) {
      result.push_back(row.record);
    }
  }
  return result;
}

std::vector<std::string> member_table::alive_names(const std::string& data_centre) const {
  std::vector<std::string> result;
  for (const auto& [name, row] : rows_) {
    if (row.record.data_centre == data_centre && is_alive(row)) {
      result.push_back(name);
    }
  }
  return result;
}

std::optional<member_state> member_table::state_of(const std::string& name) const {
  const auto row = rows_.find(name);
  return row == rows_.end() ? std::nullopt : std::optional(row->second.record.state);
}

std::uint64_t member_table::change_count() const {
  return changes_;
}

std::vector<std::string> member_table::heard_since(const std::string& data_centre,
                                                   time_point since) const {
  std::vector<std::string> result;
  for (const auto& [name, row] : rows_) {
    if (row.record.data_centre == data_centre &&
        (name == self_.name || (row.heard_at > since && is_alive(row)))) {
      result.push_back(name);
    }
  }
  return result;
}

std::vector<std::string> member_table::contacted_since(const std::string& data_centre,
                                                       time_point since) const {
  std::vector<std::string> result;
  for (const auto& [name, row] : rows_) {
    if (row.record.data_centre == data_centre && row.heard_at > since &&
        row.record.state != member_state::left) {
      result.push_back(name);
    }
  }
  return result;
}

bool member_table::superseded() const {
  return rival_incarnation_ > self_.incarnation;
}

} // namespace damaskledge::membership
