#include <algorithm>
#include <atomic>
#include <map>
#include <thread>

#include <nlohmann/json.hpp>

#include "control/commands.h"

namespace damaskledge::control {

namespace {

using nlohmann::json;
using nlohmann::ordered_json;

/// Nodes that are asked at the same time by `explain`.
constexpr std::size_t parallel_requests = 16;

std::string text_member(const json& value, const char* name) {
  const auto it = value.find(name);
  if (it == value.end() || it->is_null()) {
    return "-";
  }
  return it->is_string() ? it->get<std::string>() : it->dump();
}

/// @return the content of the object as JSON, or null when it is absent or malformed.
leaf::result<json> read_json(const environment& outside, const std::string& name) {
  BOOST_LEAF_AUTO(object, read_object(outside, name));
  if (!object) {
    return json();
  }
  json value = json::parse(object->content, nullptr, false);
  return value.is_object() ? value : json();
}

json array_member(const json& value, const char* name) {
  const auto it = value.find(name);
  return it != value.end() && it->is_array() ? *it : json::array();
}

void add_data_centre(const std::string& name, const json& status, report& result) {
  ordered_json data{{"name", name}, {"status", status}};
  result.data["data_centres"].push_back(std::move(data));
  if (status.is_null()) {
    result.lines.push_back("data centre " + name + ": no status");
    return;
  }
  result.lines.push_back("data centre " + name + ": " + text_member(status, "nodes") +
                         " nodes, coordinator " + text_member(status, "coordinator"));
  for (const json& it : array_member(status, "documents")) {
    result.lines.push_back("  " + text_member(it, "name") + " version " +
                           text_member(it, "version") + ": " + text_member(it, "nodes") + " nodes");
  }
  for (const json& it : array_member(status, "lagging")) {
    result.lines.push_back("  lagging: " + (it.is_string() ? it.get<std::string>() : it.dump()));
  }
  for (const json& it : array_member(status, "targets")) {
    result.lines.push_back("  target " + text_member(it, "id") + ": " + text_member(it, "service") +
                           ", " + text_member(it, "state"));
  }
}

struct node_entry {
  std::string name;
  endpoint address;
};

/// Asks every node; the replies are in the order of the nodes.
std::vector<node_reply> ask_all(const environment& outside, const std::vector<node_entry>& nodes,
                                const std::string& path) {
  std::vector<node_reply> replies(nodes.size());
  std::atomic<std::size_t> next{0};
  std::vector<std::jthread> workers;
  for (std::size_t it = 0; it < std::min(parallel_requests, nodes.size()); ++it) {
    workers.emplace_back([&] {
      for (std::size_t n = next++; n < nodes.size(); n = next++) {
        replies[n] = outside.get(nodes[n].address, path);
      }
    });
  }
  workers.clear();
  return replies;
}

bool is_request_id(std::string_view text) {
  return !text.empty() && text.size() <= 64 && std::all_of(text.begin(), text.end(), [](char it) {
    return (it >= '0' && it <= '9') || (it >= 'a' && it <= 'z') || (it >= 'A' && it <= 'Z') ||
           it == '-';
  });
}

void add_explanation(const std::string& node, const std::string& body, report& result) {
  const json value = json::parse(body, nullptr, false);
  result.lines.push_back("node " + node + ":");
  if (value.is_object()) {
    for (const auto& [name, member] : value.items()) {
      result.lines.push_back("  " + name + ": " +
                             (member.is_string() ? member.get<std::string>() : member.dump()));
    }
  } else {
    result.lines.push_back("  " + body);
  }
  result.data["explanations"].push_back(
      {{"node", node}, {"explanation", value.is_discarded() ? json(body) : value}});
}

} // namespace

leaf::result<report> status(const environment& outside) {
  BOOST_LEAF_AUTO(lists, read_lists(outside));
  BOOST_LEAF_AUTO(keys, read_keys(outside));
  std::map<std::string, std::pair<int, int>> keys_of;
  for (const auto& it : keys.value.records) {
    auto& [valid, withdrawn] = keys_of[it.account];
    ++(it.withdrawn ? withdrawn : valid);
  }
  report result;
  result.data["lists_version"] = lists.version;
  result.data["keys_version"] = keys.version;
  result.data["accounts"] = ordered_json::array();
  result.data["data_centres"] = ordered_json::array();
  result.lines.push_back("lists version " + std::to_string(lists.version) + ", keys version " +
                         std::to_string(keys.version));
  for (const auto& it : lists.value.accounts) {
    const auto [valid, withdrawn] = keys_of[it.name];
    result.lines.push_back("account " + it.name + ": plan " + it.plan + ", " +
                           std::to_string(valid) + " valid and " + std::to_string(withdrawn) +
                           " withdrawn keys");
    result.data["accounts"].push_back({{"name", it.name},
                                       {"plan", it.plan},
                                       {"valid_keys", valid},
                                       {"withdrawn_keys", withdrawn}});
  }
  for (const std::string& it : data_centre_names(lists.value)) {
    BOOST_LEAF_AUTO(value, read_json(outside, "status/" + it));
    add_data_centre(it, value, result);
  }
  return result;
}

leaf::result<report> explain(const std::string& request_id, const environment& outside) {
  if (!is_request_id(request_id)) {
    return leaf::new_error(failure(usage_error{
        "\"" + request_id + "\" is not a request id; use the value of Damaskledge-Request-Id"}));
  }
  BOOST_LEAF_AUTO(lists, read_lists(outside));
  report result;
  result.data["request"] = request_id;
  result.data["explanations"] = ordered_json::array();
  std::vector<node_entry> nodes;
  std::vector<std::string> unreachable;
  for (const std::string& name : data_centre_names(lists.value)) {
    BOOST_LEAF_AUTO(directory, read_json(outside, "directory/" + name));
    if (directory.is_null()) {
      unreachable.push_back("all nodes of data centre " + name + " (it has no directory)");
    }
    for (const json& it : array_member(directory, "nodes")) {
      const auto port = it.is_object() ? it.value("metrics_port", json()) : json();
      if (!port.is_number_unsigned() || port.get<std::uint64_t>() > 65'535) {
        unreachable.push_back("a node of data centre " + name + " (malformed directory entry)");
        continue;
      }
      nodes.push_back(
          {text_member(it, "name"), {text_member(it, "address"), port.get<std::uint16_t>()}});
    }
  }
  const auto replies = ask_all(outside, nodes, "/explain?request=" + request_id);
  for (std::size_t it = 0; it < nodes.size(); ++it) {
    if (replies[it].status == 200) {
      add_explanation(nodes[it].name, replies[it].body, result);
    } else if (replies[it].status != 404) {
      unreachable.push_back("node " + nodes[it].name + " (" +
                            (replies[it].status == 0
                                 ? replies[it].body
                                 : "HTTP status " + std::to_string(replies[it].status)) +
                            ")");
    }
  }
  result.data["not_asked"] = unreachable;
  for (const auto& it : unreachable) {
    outside.progress("not asked: " + it);
  }
  if (result.data["explanations"].empty()) {
    if (!unreachable.empty()) {
      return leaf::new_error(
          failure(unavailable{"no node that responded knows request " + request_id + ", and " +
                              std::to_string(unreachable.size()) +
                              " could not be asked; try again when they respond"}));
    }
    return leaf::new_error(failure(not_found{
        "no node knows request " + request_id +
        "; it was not refused, or too long ago for the nodes to remember, or its node restarted"}));
  }
  return result;
}

} // namespace damaskledge::control
