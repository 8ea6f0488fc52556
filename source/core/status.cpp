#include <algorithm>
#include <map>
#include <set>
#include <utility>

#include <nlohmann/json.hpp>

#include "core/core.h"

namespace damaskledge::core {

namespace {

constexpr milliseconds min_write_interval{1'000};
constexpr milliseconds check_interval{200};

/// Tags that tell the read and the write of a published object apart.
constexpr std::uint64_t read_tag = 0;
constexpr std::uint64_t write_tag = 1;

std::string_view to_string(wire::member_state state) {
  switch (state) {
  case wire::member_state::up:
    return "up";
  case wire::member_state::draining:
    return "draining";
  case wire::member_state::suspect:
    return "suspect";
  case wire::member_state::left:
    return "left";
  case wire::member_state::dead:
    return "dead";
  }
  return "unknown";
}

std::uint64_t version_of(const std::vector<wire::document_version>& documents,
                         std::string_view name) {
  for (const auto& it : documents) {
    if (it.name == name) {
      return it.version;
    }
  }
  return 0;
}

nlohmann::json targets_of(const std::vector<wire::member_record>& members) {
  auto result = nlohmann::json::array();
  for (const auto& it : members) {
    for (const auto& service : it.services) {
      result.push_back({{"id", it.name + ":" + std::to_string(service.port)},
                        {"service", service.service},
                        {"state", service.draining ? "draining" : to_string(it.state)}});
    }
  }
  return result;
}

} // namespace

std::string control_core::status_content() const {
  const auto members = members_.alive(settings_.data_centre);
  const auto own = documents_.versions_in_force();
  auto documents = nlohmann::json::array();
  std::set<std::string> lagging;
  for (const auto& highest : documents_.highest_heard()) {
    const auto reported = documents_.reported_versions(highest.name);
    std::map<std::uint64_t, int> nodes_by_version;
    for (const auto& it : members) {
      const auto report = reported.find(it.name);
      const std::uint64_t version = it.name == settings_.name
                                        ? version_of(own, highest.name)
                                        : std::max(report == reported.end() ? 0 : report->second,
                                                   version_of(it.documents, highest.name));
      ++nodes_by_version[version];
      if (version < highest.version) {
        lagging.insert(it.name);
      }
    }
    for (const auto& [version, n] : nodes_by_version) {
      documents.push_back({{"name", highest.name}, {"version", version}, {"nodes", n}});
    }
  }
  return nlohmann::json{{"data_centre", settings_.data_centre},
                        {"coordinator", settings_.name},
                        {"nodes", members.size()},
                        {"documents", documents},
                        {"lagging", lagging},
                        {"targets", targets_of(members)}}
      .dump();
}

std::string control_core::directory_content() const {
  auto nodes = nlohmann::json::array();
  for (const auto& it : members_.alive(settings_.data_centre)) {
    nodes.push_back({{"name", it.name},
                     {"address", it.address},
                     {"peer_port", it.peer_port},
                     {"metrics_port", settings_.metrics_port}});
  }
  return nlohmann::json{{"nodes", nodes}}.dump();
}

void control_core::tick_status(time_point now, unix_milliseconds wall, effects& out) {
  if (!claiming_) {
    // Another coordinator may write the objects in the meantime, so their versions must be read
    // again before the next write.
    for (published_object* it : {&status_, &directory_}) {
      it->version_known = false;
      it->content.clear();
    }
    return;
  }
  if (now < next_status_check_) {
    return;
  }
  next_status_check_ = now + check_interval;
  write_if_changed(now, wall, call_owner::status, status_, status_content(), out);
  write_if_changed(now, wall, call_owner::directory, directory_, directory_content(), out);
}

void control_core::write_if_changed(time_point now, unix_milliseconds wall, call_owner owner,
                                    published_object& object, std::string content, effects& out) {
  if (object.in_flight || content == object.content ||
      (object.version_known && now - object.last_write < min_write_interval)) {
    return;
  }
  object.in_flight = true;
  if (!object.version_known) {
    out.calls.push_back({owner, {read_tag, platform::read{object.name}}});
    return;
  }
  object.last_write = now;
  auto stamped = nlohmann::json::parse(content);
  stamped["write_id"] = damaskledge::to_string(next_id());
  stamped["time_ms"] = wall;
  object.pending = std::move(content);
  out.calls.push_back(
      {owner, {write_tag, platform::write{object.name, object.version, stamped.dump()}}});
}

void control_core::finish_write(published_object& object, const platform::answer& result) {
  object.in_flight = false;
  const std::string written = std::exchange(object.pending, {});
  if (const auto* value = std::get_if<platform::found>(&result)) {
    object.version = value->value.version;
    object.version_known = true;
    object.content = written;
  } else if (std::holds_alternative<platform::absent>(result)) {
    object.version = 0;
    object.version_known = true;
  } else if (const auto* conflict = std::get_if<platform::conflict>(&result)) {
    object.version = conflict->current.version;
    object.version_known = conflict->current.version > 0;
  } else {
    object.version_known = false;
  }
}

std::string control_core::describe(time_point now) const {
  nlohmann::json result{
      {"node", settings_.name},
      {"data_centre", settings_.data_centre},
      {"coordinates", election_.current_part(now) != coordination::part::follower},
      {"tokens_accrue", allocator_.accrues(now)},
      {"platform_reachable", election_.platform_reachable()},
      {"documents", nlohmann::json::object()},
      {"coordinators", nlohmann::json::object()}};
  auto& members = result["members"] = nlohmann::json::array();
  for (const auto& it : members_.members()) {
    members.push_back({{"name", it.name},
                       {"data_centre", it.data_centre},
                       {"state", to_string(it.state)},
                       {"lists", version_of(it.documents, config::lists_document)},
                       {"keys", version_of(it.documents, config::keys_document)}});
  }
  for (const auto& it : documents_.versions_in_force()) {
    result["documents"][it.name] = it.version;
  }
  for (const auto& it : election_.known()) {
    result["coordinators"][it.data_centre] = {
        {"holder", it.holder}, {"epoch", it.held.epoch}, {"rank", it.held.rank}};
  }
  return result.dump();
}

} // namespace damaskledge::core
