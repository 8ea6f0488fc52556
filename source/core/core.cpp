#include "core/core.h"

#include <algorithm>
#include <type_traits>
#include <utility>

#include <glog/logging.h>

namespace damaskledge::core {

namespace {

constexpr milliseconds boot_read_period{1'000};
constexpr milliseconds watch_timeout{5'000};
constexpr milliseconds retry_delay{100};
/// How long a starting node waits for a version newer than the one that it has read.
constexpr milliseconds confirm_timeout{50};

endpoint peer_endpoint(const wire::member_record& record) {
  return {record.address, record.peer_port};
}

wire::member_record own_record(const config::node_settings& settings, std::uint64_t seed,
                               unix_milliseconds wall) {
  wire::member_record result;
  result.name = settings.name;
  result.data_centre = settings.data_centre;
  result.address = settings.address;
  result.peer_port = settings.peer_port;
  result.caller_port = settings.caller_port;
  result.incarnation = static_cast<std::uint64_t>(wall);
  result.process = seed;
  return result;
}

membership::settings membership_settings(const config::node_settings& settings) {
  membership::settings result;
  result.probe_period = settings.probe_period;
  result.suspicion = settings.suspicion;
  return result;
}

coordination::settings coordination_settings(const config::node_settings& settings) {
  coordination::settings result;
  result.lease_term = settings.coordinator_term;
  result.renew_period = settings.coordinator_term / 3;
  result.clock_margin = settings.clock_margin;
  return result;
}

claims::settings claim_settings(const config::node_settings& settings) {
  claims::settings result;
  result.shards = settings.claim_shards;
  result.batch_interval = settings.claim_batch_interval;
  result.head_limit = settings.claim_head_limit;
  result.retention = settings.claim_retention;
  return result;
}

void append(std::vector<wire::outgoing>& to, std::vector<wire::outgoing>&& from) {
  std::move(from.begin(), from.end(), std::back_inserter(to));
}

void append(effects& to, call_owner owner, std::vector<platform::requested_call>&& calls) {
  for (auto& it : calls) {
    to.calls.push_back({owner, std::move(it)});
  }
}

void append(effects& to, claims::claim_writer::effects&& from) {
  append(to.messages, std::move(from.messages));
  append(to, call_owner::claims, std::move(from.calls));
}

bool is_present(wire::member_state state) {
  return state != wire::member_state::left && state != wire::member_state::dead;
}

} // namespace

void effects::add(effects&& other) {
  append(messages, std::move(other.messages));
  std::move(other.calls.begin(), other.calls.end(), std::back_inserter(calls));
  shed_levels.insert(shed_levels.end(), other.shed_levels.begin(), other.shed_levels.end());
  crash_fingerprints.insert(crash_fingerprints.end(), other.crash_fingerprints.begin(),
                            other.crash_fingerprints.end());
}

shares::settings share_settings(const config::node_settings& settings) {
  shares::settings result;
  result.grant_ttl = settings.grant_ttl;
  result.transfer_ttl = settings.transfer_ttl;
  result.clock_margin = settings.clock_margin;
  result.ceiling_fraction = settings.ceiling_fraction;
  return result;
}

control_core::control_core(const config::node_settings& settings, std::uint64_t seed,
                           unix_milliseconds wall)
    : settings_(settings), random_(seed),
      members_(membership_settings(settings), own_record(settings, seed, wall), settings.seeds,
               random_()),
      documents_({}, settings.data_centre,
                 {std::string(config::lists_document), std::string(config::keys_document)},
                 random_()),
      election_(coordination_settings(settings), settings.name,
                {settings.address, settings.peer_port}, settings.data_centre, random_()),
      allocator_(share_settings(settings), settings.data_centre),
      claim_writer_(claim_settings(settings), random_()) {
  status_.name = "status/" + settings.data_centre;
  directory_.name = "directory/" + settings.data_centre;
}

id128 control_core::next_id() {
  return {random_(), random_()};
}

effects control_core::tick(time_point now, unix_milliseconds wall, const local_facts& facts) {
  effects out;
  tick_membership(now, facts, out);
  tick_coordination(now, wall, out);
  tick_services(now, out);
  refresh_rules(now);
  tick_status(now, wall, out);
  return out;
}

void control_core::tick_membership(time_point now, const local_facts& facts, effects& out) {
  members_.set_documents(documents_.versions_in_force());
  membership::carried_facts carried;
  carried.highest = documents_.highest_heard();
  carried.coordinators = election_.known();
  for (auto& it : carried.coordinators) {
    it.lists_confirmed = it.data_centre == settings_.data_centre && allocating_
                             ? lowest_lists_version()
                             : lists_confirmed_[it.data_centre];
  }
  carried.shed_levels = facts.shed_levels;
  carried.crash_fingerprints = facts.crash_fingerprints;
  members_.set_carried_facts(std::move(carried));
  append(out.messages, members_.tick(now));
  if (members_.change_count() != seen_member_changes_) {
    seen_member_changes_ = members_.change_count();
    refresh_targets();
  }
  const auto own = election_.known(settings_.data_centre);
  const bool held_by_peer = own && own->holder != settings_.name;
  documents_.set_coordinator(held_by_peer ? std::optional(own->address) : std::nullopt);
  append(out.messages, documents_.tick(now));
}

void control_core::tick_coordination(time_point now, unix_milliseconds wall, effects& out) {
  coordination::view view;
  view.alive = members_.alive_names(settings_.data_centre);
  const time_point since = now - settings_.coordinator_term;
  view.heard_recently = members_.heard_since(settings_.data_centre, since);
  view.in_contact = members_.contacted_since(settings_.data_centre, since - settings_.clock_margin);
  if (election_.needs_majority()) {
    // Random probes reach too few members in one term to show a majority.
    append(out.messages,
           members_.solicit(now, settings_.data_centre, now - settings_.coordinator_term / 2));
  }
  view.may_stand = own_state_ == wire::member_state::up;
  append(out, call_owner::election, election_.tick(now, view));

  const auto part = election_.current_part(now);
  const bool allocates = part != coordination::part::follower;
  if (allocates && (!allocating_ || allocator_term_ != election_.own_term())) {
    allocator_term_ = election_.own_term();
    allocator_.start_term(now, allocator_term_, election_.previous_settled());
    LOG(INFO) << "event=coordinator-started data_centre=" << settings_.data_centre
              << " epoch=" << allocator_term_.epoch << " rank=" << allocator_term_.rank;
  } else if (!allocates && allocating_) {
    allocator_.end_term();
    LOG(INFO) << "event=coordinator-stopped data_centre=" << settings_.data_centre;
  }
  allocating_ = allocates;

  const bool claims = part == coordination::part::coordinator;
  if (claiming_ && !claims) {
    claim_writer_.reset();
  }
  claiming_ = claims;

  std::vector<shares::donor> donors;
  for (const auto& it : election_.known()) {
    if (it.data_centre != settings_.data_centre) {
      donors.push_back({it.data_centre, it.address});
    }
  }
  allocator_.set_donors(std::move(donors));
  append(out.messages, allocator_.tick(now));
  if (claiming_) {
    claim_writer_.set_era(now, election_.platform_era());
    append(out, claim_writer_.tick(now, wall));
  }
}

void control_core::tick_services(time_point now, effects& out) {
  const auto lapsed = std::erase_if(services_, [&](const auto& entry) {
    return now - entry.second.announced_at > settings_.announce_lapse;
  });
  if (lapsed > 0) {
    LOG(WARNING) << "event=announcement-lapsed node=" << settings_.name << " services=" << lapsed;
    publish_services(now, out);
  }
}

void control_core::refresh_targets() {
  std::vector<documents::peer> peers;
  targets_.clear();
  target_peers_.clear();
  calling_nodes_ = 0;
  for (const auto& it : members_.members()) {
    if (!is_present(it.state)) {
      continue;
    }
    calling_nodes_ += it.data_centre == settings_.data_centre ? 1U : 0U;
    if (it.name != settings_.name) {
      peers.push_back({it.name, it.data_centre, peer_endpoint(it)});
    }
    for (const auto& service : it.services) {
      routing::target_record target;
      target.id = it.name + ":" + std::to_string(service.port);
      target.service = service.service;
      target.data_centre = it.data_centre;
      target.address = {it.address, service.port};
      target.slots = service.slots;
      target.connections = service.connections;
      target.draining = service.draining || it.state == wire::member_state::draining;
      target.incarnation = it.process ^ service.instance;
      target_peers_[target.id] = peer_endpoint(it);
      targets_.push_back(std::move(target));
    }
  }
  calling_nodes_ = std::max(calling_nodes_, 1U);
  documents_.set_peers(std::move(peers));
  ++target_version_;
}

effects control_core::receive(time_point now, unix_milliseconds wall, const wire::incoming& from) {
  effects out;
  handle(now, wall, from, out);
  return out;
}

void control_core::handle(time_point now, unix_milliseconds wall, const wire::incoming& from,
                          effects& out) {
  const auto visit = [&](const auto& message) {
    using type = std::decay_t<decltype(message)>;
    // Check the current part for every message: a process that was paused until after its term
    // ended must neither grant tokens nor record claims.
    const auto part = election_.current_part(now);
    if constexpr (std::is_same_v<type, wire::claim_request> ||
                  std::is_same_v<type, wire::claim_finish>) {
      if (claiming_ && part == coordination::part::coordinator) {
        append(out, claim_writer_.receive(now, wall, from));
      } else if constexpr (std::is_same_v<type, wire::claim_request>) {
        wire::claim_reply reply;
        reply.sequence = message.sequence;
        reply.operation = message.operation;
        reply.decision = wire::claim_decision::not_writer;
        out.messages.push_back({from.from, wire::transport::stream, std::move(reply)});
      } else {
        out.messages.push_back({from.from, wire::transport::stream,
                                wire::claim_finish_reply{message.sequence, false}});
      }
    } else if constexpr (std::is_same_v<type, wire::token_request> ||
                         std::is_same_v<type, wire::transfer_request> ||
                         std::is_same_v<type, wire::transfer_grant> ||
                         std::is_same_v<type, wire::transfer_receipt>) {
      if (allocating_ && part != coordination::part::follower) {
        append(out.messages, allocator_.receive(now, from));
      }
    } else if constexpr (std::is_same_v<type, wire::document_rumour> ||
                         std::is_same_v<type, wire::document_pull> ||
                         std::is_same_v<type, wire::document_content> ||
                         std::is_same_v<type, wire::document_confirmation>) {
      append(out.messages, documents_.receive(now, from));
      refresh_rules(now);
    } else {
      append(out.messages, members_.receive(now, from));
      if constexpr (requires { message.facts; }) {
        receive_gossip(now, message.facts, from, out);
      }
    }
  };
  std::visit(visit, from.body);
}

void control_core::receive_gossip(time_point now, const wire::gossip& facts,
                                  const wire::incoming& from, effects& out) {
  for (const auto& it : facts.highest) {
    append(out.messages, documents_.heard(now, it, from.from));
  }
  for (const auto& it : facts.coordinators) {
    election_.heard(now, it, from.sender);
    std::uint64_t& confirmed = lists_confirmed_[it.data_centre];
    confirmed = std::max(confirmed, it.lists_confirmed);
  }
  out.shed_levels.insert(out.shed_levels.end(), facts.shed_levels.begin(), facts.shed_levels.end());
  out.crash_fingerprints.insert(out.crash_fingerprints.end(), facts.crash_fingerprints.begin(),
                                facts.crash_fingerprints.end());
}

effects control_core::on_answer(time_point now, unix_milliseconds wall, call_owner owner,
                                std::uint64_t tag, const platform::answer& result) {
  effects out;
  switch (owner) {
  case call_owner::election:
    append(out, owner, election_.on_answer(now, tag, result));
    break;
  case call_owner::claims:
    append(out, claim_writer_.on_answer(now, wall, tag, result));
    break;
  case call_owner::status:
    finish_write(status_, result);
    break;
  case call_owner::directory:
    finish_write(directory_, result);
    break;
  }
  return out;
}

std::optional<platform::call> control_core::document_call(time_point now,
                                                          const std::string& document) {
  document_fetch_state& fetch = document_fetches_[document];
  if (now < fetch.retry_at) {
    return std::nullopt;
  }
  const auto* current = documents_.find_in_force(document);
  const std::uint64_t known = current != nullptr ? current->version : 0;
  const bool is_coordinator = election_.current_part(now) == coordination::part::coordinator;
  const std::string object = "config/" + document;
  if (is_coordinator && known > 0) {
    return platform::watch{object, known, watch_timeout};
  }
  if (fetch.unconfirmed) {
    // A read may return a stale version; a watch shows whether there is a newer one.
    return platform::watch{object, fetch.unconfirmed->version, confirm_timeout};
  }
  // A node that has just started reads the document itself, in case no peer has it.
  if (is_coordinator || (known == 0 && now >= fetch.next_read)) {
    fetch.next_read = now + boot_read_period + milliseconds(random_() % 500);
    return platform::read{object};
  }
  return std::nullopt;
}

effects control_core::on_document_answer(time_point now, const std::string& document,
                                         const platform::answer& result) {
  effects out;
  document_fetch_state& fetch = document_fetches_[document];
  const auto* value = std::get_if<platform::found>(&result);
  const bool unchanged = std::holds_alternative<platform::unchanged>(result);
  if (value == nullptr && !unchanged) {
    fetch.retry_at = now + retry_delay;
  }
  const bool has_version = documents_.in_force(document).has_value();
  if (value != nullptr && !has_version &&
      (!fetch.unconfirmed || value->value.version > fetch.unconfirmed->version)) {
    fetch.unconfirmed = value->value;
    return out;
  }
  std::optional<platform::object> accepted;
  if (value != nullptr) {
    accepted = value->value;
  } else if (fetch.unconfirmed && unchanged) {
    accepted = std::exchange(fetch.unconfirmed, std::nullopt);
  }
  if (accepted) {
    append(out.messages,
           documents_.from_platform(now, {document, accepted->version, accepted->content}));
    refresh_rules(now);
  }
  if (unchanged) {
    append(out.messages, documents_.confirmed(now, document));
  }
  return out;
}

effects control_core::announce(time_point now, const wire::service_record& service) {
  effects out;
  local_service& entry = services_[service.service + ":" + std::to_string(service.port)];
  entry.announced_at = now;
  wire::service_record next = service;
  // An upstream stays draining when the same process announces it again.
  next.draining = entry.record.draining && entry.record.instance == service.instance;
  if (entry.record != next) {
    entry.record = next;
    publish_services(now, out);
  }
  return out;
}

effects control_core::drain(time_point now, const std::string& service, std::uint16_t port) {
  effects out;
  const auto found = services_.find(service + ":" + std::to_string(port));
  if (found != services_.end() && !found->second.record.draining) {
    found->second.record.draining = true;
    publish_services(now, out);
  }
  return out;
}

effects control_core::leave(time_point now, const std::string& service, std::uint16_t port) {
  effects out;
  if (services_.erase(service + ":" + std::to_string(port)) > 0) {
    publish_services(now, out);
  }
  return out;
}

effects control_core::set_state(time_point now, wire::member_state state) {
  effects out;
  own_state_ = state;
  if (state == wire::member_state::left) {
    services_.clear();
  }
  publish_services(now, out);
  return out;
}

void control_core::publish_services(time_point now, effects& out) {
  std::vector<wire::service_record> records;
  records.reserve(services_.size());
  for (const auto& [id, entry] : services_) {
    records.push_back(entry.record);
  }
  append(out.messages, members_.update_self(now, std::move(records), own_state_));
  refresh_targets();
}

std::optional<wire::coordinator_record> control_core::coordinator() const {
  return election_.known(settings_.data_centre);
}

std::vector<endpoint> control_core::claim_writers(const id128& operation) const {
  const auto& centres = settings_.data_centres;
  std::vector<endpoint> result;
  if (centres.empty()) {
    return result;
  }
  const std::uint32_t shard = claims::shard_of(operation, settings_.claim_shards);
  const std::uint32_t home = claims::home_of(shard, static_cast<std::uint32_t>(centres.size()));
  for (std::size_t it = 0; it < centres.size(); ++it) {
    if (const auto known = election_.known(centres[(home + it) % centres.size()])) {
      result.push_back(known->address);
    }
  }
  return result;
}

std::optional<endpoint> control_core::target_peer(const std::string& target_id) const {
  const auto found = target_peers_.find(target_id);
  return found == target_peers_.end() ? std::nullopt : std::optional(found->second);
}

} // namespace damaskledge::core
