#include <algorithm>

#include <nlohmann/json.hpp>

#include "control/commands.h"

namespace damaskledge::control {

namespace {

using nlohmann::json;

/// A status object is written at most once a second, so that a shorter pause between reads
/// would mostly read the same version again.
constexpr milliseconds poll_pause{250};

std::uint64_t unsigned_member(const json& value, const char* name) {
  const auto it = value.find(name);
  return it != value.end() && it->is_number_unsigned() ? it->get<std::uint64_t>() : 0;
}

confirmation read_confirmation(const environment& outside, std::string_view document,
                               std::uint64_t version, const std::string& data_centre) {
  confirmation result;
  result.data_centre = data_centre;
  const platform::answer answer = outside.platform(platform::read{"status/" + data_centre});
  const auto* object = std::get_if<platform::found>(&answer);
  if (object == nullptr) {
    result.problem = std::holds_alternative<platform::absent>(answer)
                         ? "it has written no status"
                         : "the platform did not return its status";
    return result;
  }
  const json value = json::parse(object->value.content, nullptr, false);
  if (!value.is_object() || !value.contains("documents") || !value["documents"].is_array()) {
    result.problem = "its status object is malformed";
    return result;
  }
  result.nodes = unsigned_member(value, "nodes");
  for (const json& it : value["documents"]) {
    if (it.is_object() && it.value("name", json()) == json(std::string(document)) &&
        unsigned_member(it, "version") >= version) {
      result.with_version += unsigned_member(it, "nodes");
    }
  }
  result.confirmed = result.nodes > 0 && result.with_version >= result.nodes;
  if (const auto it = value.find("lagging"); !result.confirmed && it != value.end()) {
    for (const json& name : *it) {
      if (name.is_string()) {
        result.lagging.push_back(name.get<std::string>());
      }
    }
  }
  return result;
}

std::string describe(const confirmation& value) {
  if (!value.problem.empty()) {
    return value.data_centre + ": " + value.problem;
  }
  std::string text = value.data_centre + ": " + std::to_string(value.with_version) + " of " +
                     std::to_string(value.nodes) + " nodes";
  for (std::size_t it = 0; it < value.lagging.size(); ++it) {
    text += (it == 0 ? ", lagging: " : ", ") + value.lagging[it];
  }
  return text;
}

} // namespace

std::vector<confirmation> wait_in_force(const environment& outside, std::string_view document,
                                        std::uint64_t version,
                                        const std::vector<std::string>& data_centres,
                                        milliseconds timeout) {
  const time_point deadline = outside.now() + timeout;
  std::vector<confirmation> result(data_centres.size());
  while (true) {
    bool complete = true;
    for (std::size_t it = 0; it < data_centres.size(); ++it) {
      if (result[it].confirmed) {
        continue;
      }
      confirmation current = read_confirmation(outside, document, version, data_centres[it]);
      if (current != result[it]) {
        outside.progress(std::string(document) + " version " + std::to_string(version) + ", " +
                         describe(current));
      }
      result[it] = std::move(current);
      complete = complete && result[it].confirmed;
    }
    const duration left = deadline - outside.now();
    if (complete || left <= duration::zero()) {
      return result;
    }
    outside.sleep(std::min(poll_pause, std::chrono::ceil<milliseconds>(left)));
  }
}

leaf::result<void> add_wait(const environment& outside, const flags& given,
                            std::string_view document, std::uint64_t version,
                            const std::vector<std::string>& data_centres, report& result) {
  if (!given.wait) {
    return {};
  }
  const auto timeout = config::parse_duration(given.wait_timeout);
  if (!timeout) {
    return leaf::new_error(failure(usage_error{"--wait_timeout is \"" + given.wait_timeout +
                                               "\"; write a duration such as \"30s\""}));
  }
  const auto confirmations = wait_in_force(outside, document, version, data_centres, *timeout);
  const bool complete =
      !confirmations.empty() && std::all_of(confirmations.begin(), confirmations.end(),
                                            [](const confirmation& it) { return it.confirmed; });
  result.data["in_force"] = complete;
  result.data["data_centres"] = json::array();
  for (const confirmation& it : confirmations) {
    result.data["data_centres"].push_back({{"name", it.data_centre},
                                           {"confirmed", it.confirmed},
                                           {"nodes", it.nodes},
                                           {"nodes_with_version", it.with_version},
                                           {"lagging", it.lagging},
                                           {"problem", it.problem}});
  }
  const std::string what = std::string(document) + " version " + std::to_string(version);
  if (complete) {
    result.lines.push_back(what + " is in force in every data centre");
    return {};
  }
  result.code = exit_code::not_confirmed;
  result.lines.push_back(what + " is not confirmed after " + given.wait_timeout + " by:");
  if (confirmations.empty()) {
    result.lines.emplace_back("  any data centre: the lists name none");
  }
  for (const confirmation& it : confirmations) {
    if (!it.confirmed) {
      result.lines.push_back("  " + describe(it));
    }
  }
  return {};
}

} // namespace damaskledge::control
