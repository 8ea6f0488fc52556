#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <set>
#include <utility>

#include <nlohmann/json.hpp>

#include "load/load.h"
#include "telemetry/telemetry.h"

namespace damaskledge::load {

namespace {

using nlohmann::json;

constexpr double highest_calls_per_second = 1'000'000;
constexpr double highest_seconds = 86'400;
constexpr std::uint32_t highest_connections = 10'000;

/// Thrown inside the parser only; `parse_scenario` turns it into a LEAF error.
struct field_error {
  std::string field;
  std::string found;
  std::string remedy;
};

/// A JSON object that knows its path, for error messages.
class fields {
 public:
  fields(const json& value, std::string path, const std::set<std::string>& known)
      : value_(value), path_(std::move(path)) {
    if (!value.is_object()) {
      throw field_error{path_, value.type_name(), "give an object"};
    }
    for (const auto& [name, member] : value.items()) {
      if (!known.contains(name)) {
        throw field_error{name_of(name), "an unknown member", "check its spelling or remove it"};
      }
    }
  }

  [[nodiscard]] std::string name_of(const std::string& name) const {
    return path_.empty() ? name : path_ + "." + name;
  }

  [[nodiscard]] const json* find(const std::string& name) const {
    const auto it = value_.find(name);
    return it == value_.end() ? nullptr : &*it;
  }

  [[nodiscard]] std::string text(const std::string& name,
                                 const std::optional<std::string>& fallback) const {
    const json* it = find(name);
    if (it == nullptr && fallback) {
      return *fallback;
    }
    if (it == nullptr || !it->is_string() || it->get_ref<const std::string&>().empty()) {
      throw field_error{name_of(name), it == nullptr ? "nothing" : it->dump(), "give a text"};
    }
    return it->get<std::string>();
  }

  [[nodiscard]] double number(const std::string& name, double lowest, double highest,
                              std::optional<double> fallback) const {
    const json* it = find(name);
    if (it == nullptr && fallback) {
      return *fallback;
    }
    if (it == nullptr || !it->is_number() || !(it->get<double>() >= lowest) ||
        !(it->get<double>() <= highest)) {
      throw field_error{name_of(name), it == nullptr ? "nothing" : it->dump(),
                        "give a number between " + json(lowest).dump() + " and " +
                            json(highest).dump()};
    }
    return it->get<double>();
  }

  [[nodiscard]] std::uint64_t whole(const std::string& name, std::uint64_t lowest,
                                    std::uint64_t highest, std::uint64_t fallback) const {
    const json* it = find(name);
    if (it == nullptr) {
      return fallback;
    }
    if (!it->is_number_unsigned() || it->get<std::uint64_t>() < lowest ||
        it->get<std::uint64_t>() > highest) {
      throw field_error{name_of(name), it->dump(),
                        "give a whole number between " + std::to_string(lowest) + " and " +
                            std::to_string(highest)};
    }
    return it->get<std::uint64_t>();
  }

  [[nodiscard]] bool flag(const std::string& name, bool fallback) const {
    const json* it = find(name);
    if (it == nullptr) {
      return fallback;
    }
    if (!it->is_boolean()) {
      throw field_error{name_of(name), it->dump(), "give true or false"};
    }
    return it->get<bool>();
  }

  [[nodiscard]] const json& list(const std::string& name, bool needed) const {
    static const json empty = json::array();
    const json* it = find(name);
    if (it == nullptr && !needed) {
      return empty;
    }
    if (it == nullptr || !it->is_array() || (needed && it->empty())) {
      throw field_error{name_of(name), it == nullptr ? "nothing" : it->dump(),
                        needed ? "give a list that is not empty" : "give a list"};
    }
    return *it;
  }

 private:
  const json& value_;
  std::string path_;
};

duration to_duration(double value) {
  return std::chrono::duration_cast<duration>(std::chrono::duration<double>(value));
}

endpoint parse_node(const std::string& text, const std::string& field) {
  const std::size_t colon = text.rfind(':');
  endpoint result;
  if (colon != std::string::npos && colon > 0) {
    result.address = text.substr(0, colon);
    const char* last = text.data() + text.size();
    const auto [end, ec] = std::from_chars(text.data() + colon + 1, last, result.port);
    if (ec == std::errc{} && end == last && result.port > 0) {
      return result;
    }
  }
  throw field_error{field, text, "give address:port"};
}

call_template parse_call(const json& value, const std::string& path) {
  const fields it(
      value, path,
      {"route", "method", "path", "importance", "deadline_ms", "per_second", "body", "operation"});
  call_template result;
  result.route = it.text("route", std::nullopt);
  result.method = it.text("method", "GET");
  constexpr std::array<std::string_view, 5> methods{"GET", "POST", "PUT", "DELETE", "PATCH"};
  if (std::find(methods.begin(), methods.end(), result.method) == methods.end()) {
    throw field_error{it.name_of("method"), result.method, "use GET, POST, PUT, DELETE or PATCH"};
  }
  result.path = it.text("path", std::nullopt);
  if (result.path.front() != '/' || result.path.find_first_of(" #\r\n") != std::string::npos) {
    throw field_error{it.name_of("path"), result.path,
                      "start it with '/' and leave out blanks and fragments"};
  }
  const std::string importance_name = it.text("importance", "normal");
  const auto importance = parse_importance(importance_name);
  if (!importance) {
    throw field_error{it.name_of("importance"), importance_name,
                      "use critical, high, normal or low"};
  }
  result.importance = *importance;
  result.deadline = milliseconds{it.whole("deadline_ms", 1, 600'000, 1'000)};
  result.per_second = it.number("per_second", 0, highest_calls_per_second, std::nullopt);
  if (const json* body = it.find("body")) {
    result.body = body->is_string() ? body->get<std::string>() : body->dump();
  }
  const std::string operation = it.text("operation", "none");
  if (operation == "header") {
    result.operation = operation_place::header;
  } else if (operation == "body") {
    result.operation = operation_place::body;
    if (result.body.find("{operation}") == std::string::npos) {
      throw field_error{it.name_of("body"), "no \"{operation}\"",
                        "put \"{operation}\" where the operation's id belongs"};
    }
  } else if (operation != "none") {
    throw field_error{it.name_of("operation"), operation, "use none, header or body"};
  }
  return result;
}

retry_policy parse_retries(const json& value, const std::string& path) {
  const fields it(value, path, {"fraction", "attempts", "honour_retry_after", "pause_ms"});
  retry_policy result;
  result.fraction = it.number("fraction", 0, 1, std::nullopt);
  result.attempts = static_cast<std::uint32_t>(it.whole("attempts", 1, 100, 3));
  result.honour_retry_after = it.flag("honour_retry_after", true);
  result.pause = milliseconds{it.whole("pause_ms", 0, 60'000, 50)};
  return result;
}

account_demand parse_account(const json& value, const std::string& path) {
  const fields it(value, path, {"name", "rate", "burst", "calls", "retries"});
  account_demand result;
  result.name = it.text("name", std::nullopt);
  result.rate = it.number("rate", 0, highest_calls_per_second, std::nullopt);
  result.burst = it.number("burst", 0, highest_calls_per_second, std::nullopt);
  const json& calls = it.list("calls", true);
  for (std::size_t n = 0; n < calls.size(); ++n) {
    result.calls.push_back(
        parse_call(calls[n], it.name_of("calls") + "[" + std::to_string(n) + "]"));
  }
  if (const json* retries = it.find("retries")) {
    result.retries = parse_retries(*retries, it.name_of("retries"));
  }
  return result;
}

phase parse_phase(const json& value, const std::string& path) {
  const fields it(
      value, path,
      {"name", "start_s", "duration_s", "factor", "account_factors", "retries", "disturbed"});
  phase result;
  result.name = it.text("name", std::nullopt);
  result.start = to_duration(it.number("start_s", 0, highest_seconds, std::nullopt));
  result.length = to_duration(it.number("duration_s", 0.001, highest_seconds, std::nullopt));
  result.factor = it.number("factor", 0, 1'000, 1);
  if (const json* factors = it.find("account_factors")) {
    if (!factors->is_object()) {
      throw field_error{it.name_of("account_factors"), factors->type_name(), "give an object"};
    }
    for (const auto& [name, factor] : factors->items()) {
      if (!factor.is_number() || !(factor.get<double>() >= 0) || factor.get<double>() > 1'000) {
        throw field_error{it.name_of("account_factors") + "." + name, factor.dump(),
                          "give a number between 0 and 1000"};
      }
      result.account_factors[name] = factor.get<double>();
    }
  }
  if (const json* retries = it.find("retries")) {
    result.retries = parse_retries(*retries, it.name_of("retries"));
  }
  result.disturbed = it.flag("disturbed", false);
  return result;
}

void check_phases(const scenario& value) {
  for (std::size_t n = 0; n < value.phases.size(); ++n) {
    const phase& it = value.phases[n];
    const std::string field = "phases[" + std::to_string(n) + "]";
    if (it.start + it.length > value.length) {
      throw field_error{field, "an end after the run's", "shorten it or raise duration_s"};
    }
    if (n > 0 && it.start < value.phases[n - 1].start + value.phases[n - 1].length) {
      throw field_error{field + ".start_s", "a start before the end of the phase before",
                        "list the phases in order and without overlap"};
    }
    for (const auto& [name, factor] : it.account_factors) {
      const bool known = std::any_of(
          value.accounts.begin(), value.accounts.end(),
          [&wanted = name](const account_demand& account) { return account.name == wanted; });
      if (!known) {
        throw field_error{field + ".account_factors." + name, "an account that is not listed",
                          "use the name of an account of this file"};
      }
    }
  }
  const bool disturbed = std::any_of(value.phases.begin(), value.phases.end(),
                                     [](const phase& it) { return !it.is_base(); });
  const bool base = std::any_of(value.phases.begin(), value.phases.end(),
                                [](const phase& it) { return it.is_base(); });
  if (disturbed && !base) {
    throw field_error{"phases", "no undisturbed phase without factors and retries",
                      "add a base phase, with which recovery is compared"};
  }
}

scenario from_json(const json& document) {
  const fields it(document, "",
                  {"seed", "duration_s", "nodes", "connections", "caller_delay_ms", "check_answers",
                   "slack_fraction", "slack_time_ms", "accounts", "phases"});
  scenario result;
  result.seed = it.whole("seed", 0, UINT64_MAX, 1);
  result.length = to_duration(it.number("duration_s", 0.1, highest_seconds, std::nullopt));
  const json& nodes = it.list("nodes", false);
  for (std::size_t n = 0; n < nodes.size(); ++n) {
    const std::string field = "nodes[" + std::to_string(n) + "]";
    if (!nodes[n].is_string()) {
      throw field_error{field, nodes[n].dump(), "give \"address:port\""};
    }
    result.nodes.push_back(parse_node(nodes[n].get<std::string>(), field));
  }
  result.connections =
      static_cast<std::uint32_t>(it.whole("connections", 1, highest_connections, 64));
  result.caller_delay = milliseconds{it.whole("caller_delay_ms", 0, 10'000, 0)};
  result.check_answers = it.flag("check_answers", true);
  result.slack_fraction = it.number("slack_fraction", 0, 1, 0.05);
  result.slack_time = milliseconds{it.whole("slack_time_ms", 0, 10'000, 50)};
  std::set<std::string> names;
  const json& accounts = it.list("accounts", true);
  for (std::size_t n = 0; n < accounts.size(); ++n) {
    const std::string path = "accounts[" + std::to_string(n) + "]";
    result.accounts.push_back(parse_account(accounts[n], path));
    if (!names.insert(result.accounts.back().name).second) {
      throw field_error{path + ".name", result.accounts.back().name, "give each account once"};
    }
  }
  const json& phases = it.list("phases", false);
  for (std::size_t n = 0; n < phases.size(); ++n) {
    result.phases.push_back(parse_phase(phases[n], "phases[" + std::to_string(n) + "]"));
  }
  check_phases(result);
  return result;
}

/// @return line number of a byte position, from 1.
int line_of(std::string_view text, std::size_t position) {
  return 1 +
         static_cast<int>(std::count(
             text.begin(),
             text.begin() + static_cast<std::ptrdiff_t>(std::min(position, text.size())), '\n'));
}

leaf::result<json> parse_document(std::string_view text, std::string_view file) {
  try {
    return json::parse(text, nullptr, true, true);
  } catch (const json::parse_error& error) {
    // The library's message quotes the text, which may be a key.
    return leaf::new_error(parse_error{std::string(file), line_of(text, error.byte), "",
                                       "text that is not JSON",
                                       "correct the syntax near this line"});
  }
}

} // namespace

leaf::result<scenario> parse_scenario(std::string_view text, std::string_view file) {
  BOOST_LEAF_AUTO(document, parse_document(text, file));
  try {
    return from_json(document);
  } catch (const field_error& error) {
    return leaf::new_error(
        parse_error{std::string(file), 0, error.field, error.found, error.remedy});
  }
}

leaf::result<key_map> parse_keys(std::string_view text, std::string_view file) {
  BOOST_LEAF_AUTO(document, parse_document(text, file));
  key_map result;
  if (!document.is_object()) {
    return leaf::new_error(parse_error{std::string(file), 0, "", document.type_name(),
                                       "give an object of account names and keys"});
  }
  for (const auto& [name, key] : document.items()) {
    // Where name and key are swapped, the name is a key.
    if (!key.is_string() || !key.template get_ref<const std::string&>().starts_with("dlk_")) {
      return leaf::new_error(parse_error{std::string(file), 0, telemetry::redact_keys(name),
                                         "something that is not a key",
                                         "give the key that damaskledgectl printed"});
    }
    result[name] = key.template get<std::string>();
  }
  return result;
}

const retry_policy& retries_at(const scenario& value, std::uint32_t account, duration at) {
  const auto number = phase_at(value, at);
  if (number && value.phases[*number].retries) {
    return *value.phases[*number].retries;
  }
  return value.accounts[account].retries;
}

std::optional<std::size_t> phase_at(const scenario& value, duration at) {
  for (std::size_t n = 0; n < value.phases.size(); ++n) {
    if (at >= value.phases[n].start && at < value.phases[n].start + value.phases[n].length) {
      return n;
    }
  }
  return std::nullopt;
}

} // namespace damaskledge::load
