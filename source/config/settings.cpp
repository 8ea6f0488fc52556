#include <algorithm>
#include <array>
#include <charconv>
#include <fstream>
#include <set>
#include <sstream>
#include <type_traits>

#include <Poco/Net/IPAddress.h>
#include <nlohmann/json.hpp>

#include "config/config.h"
#include "config/located_json.h"

namespace damaskledge::config {

namespace {

using nlohmann::json;

constexpr std::size_t min_secret_length = 32;

using member =
    std::variant<std::uint16_t node_settings::*, std::uint32_t node_settings::*,
                 double node_settings::*, milliseconds node_settings::*, seconds node_settings::*>;

/// A setting with a range. Durations have their range in milliseconds.
struct ranged_setting {
  std::string_view name;
  member field;
  double minimum;
  double maximum;
  std::string_view meaning;
};

constexpr double second = 1'000;
constexpr double minute = 60 * second;
constexpr double day = 24 * 60 * minute;

// The one declaration of every setting with a range; defaults are those of node_settings.
const std::array ranged_settings{
    ranged_setting{"caller_port", &node_settings::caller_port, 1, 65'535,
                   "TCP port for callers' requests"},
    ranged_setting{"local_port", &node_settings::local_port, 1, 65'535,
                   "TCP port for announcements and inner calls of the VM's own upstreams"},
    ranged_setting{"peer_port", &node_settings::peer_port, 1, 65'535,
                   "UDP and TCP port for other nodes"},
    ranged_setting{"metrics_port", &node_settings::metrics_port, 1, 65'535,
                   "TCP port for metrics and explanations of refusals"},
    ranged_setting{"max_connections", &node_settings::max_connections, 1, 65'536,
                   "connections of callers; also the number of threads that serve them"},
    ranged_setting{"max_body_bytes", &node_settings::max_body_bytes, 1, 67'108'864,
                   "largest request body"},
    ranged_setting{"max_header_bytes", &node_settings::max_header_bytes, 256, 1'048'576,
                   "largest total of request headers"},
    ranged_setting{"max_queue_per_service", &node_settings::max_queue_per_service, 1, 65'536,
                   "requests that wait for a target of one service"},
    ranged_setting{"idle_timeout", &node_settings::idle_timeout, 100, day,
                   "time after which an idle caller connection is closed"},
    ranged_setting{"header_timeout", &node_settings::header_timeout, 10, 10 * minute,
                   "time for a caller to send its request headers"},
    ranged_setting{"body_timeout", &node_settings::body_timeout, 10, 10 * minute,
                   "time for a caller to send its request body"},
    ranged_setting{"drain_timeout", &node_settings::drain_timeout, 0, day,
                   "time for requests in flight to finish at a graceful stop"},
    ranged_setting{"retry_budget", &node_settings::retry_budget, 0, 64,
                   "retries of one entry request over its whole call tree"},
    ranged_setting{"max_depth", &node_settings::max_depth, 1, 14, "longest chain of inner calls"},
    ranged_setting{"cold_limit", &node_settings::cold_limit, 1, 65'536,
                   "concurrency limit at the start for a new target"},
    ranged_setting{"slot_headroom", &node_settings::slot_headroom, 0.01, 16,
                   "largest concurrency limit as a multiple of the node's share of slots"},
    ranged_setting{"queue_wait", &node_settings::queue_wait, 0, minute,
                   "longest wait in a service's queue"},
    ranged_setting{"token_wait", &node_settings::token_wait, 0, 10 * second,
                   "longest wait for a token request in flight"},
    ranged_setting{"grant_ttl", &node_settings::grant_ttl, 10, minute,
                   "life of tokens that a coordinator granted"},
    ranged_setting{"transfer_ttl", &node_settings::transfer_ttl, 1, minute,
                   "life of a transfer of tokens between data centres"},
    ranged_setting{"clock_margin", &node_settings::clock_margin, 1, minute,
                   "bound for differences between the rates of clocks over one term"},
    ranged_setting{"ceiling_fraction", &node_settings::ceiling_fraction, 0.01, 1,
                   "largest outstanding fraction of a data centre's burst"},
    ranged_setting{"claim_shards", &node_settings::claim_shards, 1, 1'024,
                   "shards of claims; the same on every node"},
    ranged_setting{"claim_batch_interval", &node_settings::claim_batch_interval, 0, 10 * second,
                   "time for which claims are collected before a write"},
    ranged_setting{"claim_head_limit", &node_settings::claim_head_limit, 1'024, 1'000'000,
                   "bytes of a shard's head object before it is sealed"},
    ranged_setting{"claim_retention", &node_settings::claim_retention, 2 * minute, 365 * day,
                   "time for which claims are kept"},
    ranged_setting{"key_grace", &node_settings::key_grace, second, 30 * day,
                   "time for which keys are honoured without confirmation"},
    ranged_setting{"probe_period", &node_settings::probe_period, 10, minute,
                   "time between two membership probes of a node"},
    ranged_setting{"suspicion", &node_settings::suspicion, 20, 10 * minute,
                   "time after which a suspected member is declared dead"},
    ranged_setting{"coordinator_term", &node_settings::coordinator_term, 100, 10 * minute,
                   "term of a coordinator"},
    ranged_setting{"announce_lapse", &node_settings::announce_lapse, 100, 10 * minute,
                   "time after which an upstream that stopped announcing is removed"},
    ranged_setting{"platform_calls_per_second", &node_settings::platform_calls_per_second, 1,
                   10'000, "largest rate of a node's calls to the platform"},
    ranged_setting{"platform_timeout", &node_settings::platform_timeout, 10, minute,
                   "timeout of a call to the platform, besides a watch's own"},
    ranged_setting{"fixed_limit", &node_settings::fixed_limit, 1, 65'536,
                   "concurrency limit of the policy \"fixed\""},
};

constexpr std::array<std::string_view, 3> policies{"chosen", "fixed", "none"};
constexpr std::array<std::string_view, 2> objectives{"goodput", "fairness"};

milliseconds to_milliseconds(double count) {
  return milliseconds(static_cast<std::int64_t>(count));
}

void read_ranged(object_reader& reader, const ranged_setting& setting, node_settings& result) {
  std::visit(
      [&](auto field) {
        auto& out = result.*field;
        using value_type = std::remove_reference_t<decltype(out)>;
        if constexpr (std::is_same_v<value_type, double>) {
          reader.read(setting.name, presence::optional, out, setting.minimum, setting.maximum);
        } else if constexpr (std::is_integral_v<value_type>) {
          std::int64_t n = out;
          reader.read(setting.name, presence::optional, n,
                      static_cast<std::int64_t>(setting.minimum),
                      static_cast<std::int64_t>(setting.maximum));
          out = static_cast<value_type>(n);
        } else {
          milliseconds value = out;
          if (!reader.read(setting.name, presence::optional, value,
                           to_milliseconds(setting.minimum), to_milliseconds(setting.maximum))) {
            return;
          }
          out = std::chrono::duration_cast<value_type>(value);
          if (out != value) {
            reader.report(setting.name, "\"" + format_duration(value) + "\"",
                          "write a whole number of seconds");
          }
        }
      },
      setting.field);
}

std::string number_text(double value) {
  const auto whole = static_cast<std::int64_t>(value);
  return static_cast<double>(whole) == value ? std::to_string(whole) : json(value).dump();
}

setting_description describe_ranged(const ranged_setting& setting, const node_settings& defaults) {
  setting_description result;
  result.name = setting.name;
  result.meaning = setting.meaning;
  std::visit(
      [&](auto field) {
        const auto& value = defaults.*field;
        using value_type = std::remove_cvref_t<decltype(value)>;
        if constexpr (std::is_arithmetic_v<value_type>) {
          result.kind = std::is_integral_v<value_type> ? "integer" : "number";
          result.default_value = number_text(static_cast<double>(value));
          result.range = number_text(setting.minimum) + " to " + number_text(setting.maximum);
        } else {
          result.kind = "duration";
          result.default_value = format_duration(value);
          result.range = format_duration(to_milliseconds(setting.minimum)) + " to " +
                         format_duration(to_milliseconds(setting.maximum));
        }
      },
      setting.field);
  return result;
}

/// IPv4 only, because endpoints are written as "address:port" without brackets.
bool is_address(const std::string& text) {
  Poco::Net::IPAddress address;
  return Poco::Net::IPAddress::tryParse(text, address) &&
         address.family() == Poco::Net::AddressFamily::IPv4 && !address.isWildcard() &&
         // Rejects short forms such as "127.1".
         address.toString() == text;
}

constexpr const char* endpoint_remedy =
    "write \"<IPv4 address>:<port>\", for example \"10.0.0.1:8082\"";

void read_endpoints(object_reader& reader, std::string_view name, presence need,
                    std::vector<endpoint>& out) {
  std::vector<std::string> texts;
  if (!reader.read(name, need, texts)) {
    return;
  }
  if (need == presence::required && texts.empty()) {
    reader.report(name, "an empty array", "list at least one endpoint");
  }
  for (std::size_t it = 0; it < texts.size(); ++it) {
    const std::string path = element_path(reader.path_of(name), it);
    const auto value = parse_endpoint(texts[it]);
    if (!value) {
      report(reader.errors(), reader.source(), path, describe(texts[it]), endpoint_remedy);
    } else if (std::find(out.begin(), out.end(), *value) != out.end()) {
      report(reader.errors(), reader.source(), path, describe(texts[it]) + " a second time",
             "keep one of the two");
    } else {
      out.push_back(*value);
    }
  }
}

void read_data_centres(object_reader& reader, node_settings& result) {
  if (!reader.read("data_centres", presence::required, result.data_centres)) {
    return;
  }
  std::set<std::string> seen;
  for (std::size_t it = 0; it < result.data_centres.size(); ++it) {
    const std::string& name = result.data_centres[it];
    const std::string path = element_path("data_centres", it);
    if (!is_name(name)) {
      report(reader.errors(), reader.source(), path, describe(name),
             "write 1 to 64 letters, digits, '.', '_' or '-', starting with a letter or digit");
    } else if (!seen.insert(name).second) {
      report(reader.errors(), reader.source(), path, describe(name) + " a second time",
             "keep one of the two");
    }
  }
  if (!result.data_centre.empty() && !seen.contains(result.data_centre)) {
    reader.report("data_centre", describe(result.data_centre),
                  "use one of the names in \"data_centres\" or add this one there");
  }
}

void read_secrets(object_reader& reader, node_settings& result) {
  const auto check = [&](std::string_view name, const std::string& secret) {
    if (secret.size() < min_secret_length) {
      reader.report(name, "a string of " + std::to_string(secret.size()) + " characters",
                    "write at least 32 random characters");
    }
  };
  if (reader.read_secret("cluster_secret", presence::required, result.cluster_secret)) {
    check("cluster_secret", result.cluster_secret);
  }
  if (reader.read_secret("previous_cluster_secret", presence::optional,
                         result.previous_cluster_secret) &&
      !result.previous_cluster_secret.empty()) {
    check("previous_cluster_secret", result.previous_cluster_secret);
    if (result.previous_cluster_secret == result.cluster_secret) {
      reader.report("previous_cluster_secret", "the same secret as in \"cluster_secret\"",
                    "remove it or write the secret that was in use before");
    }
  }
}

void read_choice(object_reader& reader, std::string_view name, const auto& choices,
                 std::string& out) {
  std::string text;
  if (!reader.read(name, presence::optional, text)) {
    return;
  }
  if (std::find(choices.begin(), choices.end(), text) == choices.end()) {
    std::string names;
    for (const std::string_view it : choices) {
      names += (names.empty() ? "" : ", ") + std::string(it);
    }
    reader.report(name, describe(text), "write one of " + names);
    return;
  }
  out = std::move(text);
}

/// Checks what only several settings together show.
void check_together(object_reader& reader, const node_settings& value) {
  const std::array ports{
      std::pair{"caller_port", value.caller_port}, std::pair{"local_port", value.local_port},
      std::pair{"peer_port", value.peer_port}, std::pair{"metrics_port", value.metrics_port}};
  for (std::size_t it = 1; it < ports.size(); ++it) {
    for (std::size_t other = 0; other < it; ++other) {
      if (ports[it].second == ports[other].second) {
        reader.report(ports[it].first,
                      std::to_string(ports[it].second) + ", the same port as \"" +
                          ports[other].first + "\"",
                      "give each listener a port of its own");
      }
    }
  }
  if (value.suspicion < 2 * value.probe_period) {
    reader.report("suspicion", "\"" + format_duration(value.suspicion) + "\"",
                  "write at least twice \"probe_period\" (" + format_duration(value.probe_period) +
                      "), so that a suspected member can refute");
  }
  if (value.transfer_ttl > value.grant_ttl) {
    reader.report("transfer_ttl", "\"" + format_duration(value.transfer_ttl) + "\"",
                  "write at most \"grant_ttl\" (" + format_duration(value.grant_ttl) + ")");
  }
}

} // namespace

std::optional<endpoint> parse_endpoint(std::string_view text) {
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  endpoint result;
  result.address = text.substr(0, colon);
  const std::string_view port = text.substr(colon + 1);
  const auto [end, ec] = std::from_chars(port.data(), port.data() + port.size(), result.port);
  if (ec != std::errc() || end != port.data() + port.size() || result.port == 0 ||
      !is_address(result.address)) {
    return std::nullopt;
  }
  return result;
}

leaf::result<node_settings> parse_node_settings(std::string_view text, std::string_view file) {
  std::vector<parse_error> errors;
  node_settings result;
  const located_json source = parse_located(text, file, errors);
  if (!source.complete) {
    return fail_with(std::move(errors));
  }
  object_reader reader(source, source.value, "", errors);
  reader.read_name("name", presence::required, result.name);
  reader.read_name("data_centre", presence::required, result.data_centre);
  if (reader.read("address", presence::required, result.address) && !is_address(result.address)) {
    reader.report("address", describe(result.address),
                  "write the IPv4 address that callers and peers reach, not 0.0.0.0");
  }
  read_endpoints(reader, "platform", presence::required, result.platform);
  read_endpoints(reader, "seeds", presence::optional, result.seeds);
  read_data_centres(reader, result);
  read_secrets(reader, result);
  std::string collector;
  if (reader.read("collector", presence::optional, collector) && !collector.empty()) {
    if (const auto value = parse_endpoint(collector)) {
      result.collector = *value;
    } else {
      reader.report("collector", describe(collector), endpoint_remedy);
    }
  }
  for (const ranged_setting& it : ranged_settings) {
    read_ranged(reader, it, result);
  }
  read_choice(reader, "policy", policies, result.policy);
  read_choice(reader, "objective", objectives, result.objective);
  reader.read("test_cut_file", presence::optional, result.test_cut_file);
  reader.finish();
  check_together(reader, result);
  if (!errors.empty()) {
    return fail_with(std::move(errors));
  }
  return result;
}

std::vector<setting_description> node_setting_descriptions() {
  const std::string name_range = "1 to 64 letters, digits, '.', '_', '-'";
  const std::string endpoints = "IPv4 address:port";
  std::vector<setting_description> result{
      {"name", "string", "", name_range, "name of the node, unique in the fleet", true},
      {"data_centre", "string", "", "one of data_centres", "data centre of the node", true},
      {"address", "string", "", "IPv4 address", "address that callers and peers reach", true},
      {"platform", "list of strings", "", endpoints + ", at least one",
       "endpoints of the platform's object API, tried in turn", true},
      {"seeds", "list of strings", "[]", endpoints, "peer endpoints of a few other nodes", false},
      {"data_centres", "list of strings", "", name_range,
       "all data centres, in the same order on every node", true},
      {"cluster_secret", "string", "", "at least 32 characters", "secret shared by all nodes",
       true},
      {"previous_cluster_secret", "string", "\"\"", "empty or at least 32 characters",
       "accepted but not used for sending, during a rotation", false},
      {"collector", "string", "\"\"", "empty or " + endpoints,
       "OTLP/HTTP collector for spans; empty turns the export off", false},
      {"policy", "string", "chosen", "chosen, fixed, none",
       "overload control; fixed and none are baselines for measurements", false},
      {"objective", "string", "goodput", "goodput, fairness",
       "measure that gets more weight (design 1.2)", false},
      {"test_cut_file", "string", "\"\"", "path of a file",
       "endpoints whose traffic is dropped; only for failure tests", false},
  };
  const node_settings defaults;
  for (const ranged_setting& it : ranged_settings) {
    result.push_back(describe_ranged(it, defaults));
  }
  return result;
}

leaf::result<std::string> read_file(const std::string& path) {
  std::ifstream stream(path, std::ios::binary);
  std::ostringstream text;
  if (stream) {
    text << stream.rdbuf();
  }
  // An empty file sets failbit on `text` but is a valid read.
  if (!stream || stream.bad()) {
    return leaf::new_error(
        environment_error{"file " + path + " cannot be read", "check its name and permissions"});
  }
  return text.str();
}

} // namespace damaskledge::config
