#include "failure/fleet.h"

#include <algorithm>
#include <set>
#include <sstream>
#include <utility>

#include <doctest/doctest.h>

namespace damaskledge::failure {

namespace {

constexpr std::uint16_t caller_port = 8'080;
constexpr std::uint16_t local_port = 8'081;
constexpr std::uint16_t peer_port = 8'082;
constexpr std::uint16_t metrics_port = 8'083;
constexpr std::uint16_t upstream_port = 9'000;
constexpr std::uint16_t platform_port = 8'500;
constexpr milliseconds start_limit{30'000};

std::string with_port(const std::string& address, std::uint16_t port) {
  return address + ":" + std::to_string(port);
}

} // namespace

fleet_plan small_plan(std::uint8_t subnet, const std::string& dispatch_inner) {
  fleet_plan result;
  result.subnet = subnet;
  result.services = {{.name = "dispatch", .inner = dispatch_inner}, {.name = "gate"}};
  result.accounts = {{"accounts",
                      {{{"name", "crews"}, {"plan", "large"}},
                       {{"name", "growers"}, {"plan", "large"}},
                       {{"name", "reader"}, {"plan", "small"}}}}};
  const nlohmann::json routes{"confirm", "deposit", "state", "open-gate", "gate-state"};
  result.plans = {{"plans",
                   {{{"name", "large"}, {"rate", 3'000}, {"burst", 3'000}, {"routes", routes}},
                    {{"name", "small"}, {"rate", 30}, {"burst", 30}, {"routes", routes}}}},
                  {"routes",
                   {{{"name", "confirm"},
                     {"service", "dispatch"},
                     {"method", "POST"},
                     {"path", "/confirm"},
                     {"idempotent", false},
                     {"operation_field", "/dispatch_number"},
                     {"deadline", "4s"}},
                    {{"name", "deposit"},
                     {"service", "dispatch"},
                     {"method", "POST"},
                     {"path", "/deposits"},
                     {"idempotent", false},
                     {"deadline", "10s"}},
                    {{"name", "state"},
                     {"service", "dispatch"},
                     {"method", "GET"},
                     {"path", "/state"},
                     {"deadline", "4s"}},
                    {{"name", "open-gate"},
                     {"service", "gate"},
                     {"method", "POST"},
                     {"path", "/open"},
                     {"idempotent", false},
                     {"operation_field", "/dispatch_number"},
                     {"deadline", "4s"}},
                    {{"name", "gate-state"},
                     {"service", "gate"},
                     {"method", "GET"},
                     {"path", "/state"},
                     {"deadline", "4s"}}}},
                  {"data_centres", nlohmann::json::array()}};
  for (const std::string& it : result.data_centres) {
    result.plans["data_centres"].push_back({{"name", it}, {"weight", 0.3333}});
  }
  return result;
}

fleet::fleet(const std::string& test, fleet_plan plan)
    : folder_(make_test_folder(test)), plan_(std::move(plan)) {
  std::size_t dealt = 0;
  std::map<std::string, int> hosts;
  for (const service_plan& service : plan_.services) {
    for (std::uint32_t it = 0; it < service.targets; ++it, ++dealt) {
      machine next;
      next.data_centre = plan_.data_centres[dealt % plan_.data_centres.size()];
      const int host = ++hosts[next.data_centre];
      next.name = next.data_centre + "-vm" + std::to_string(host);
      next.address = data_centre_prefix(next.data_centre) + std::to_string(host);
      next.service = service;
      machines_.push_back(std::move(next));
    }
  }
  heal();
}

fleet::~fleet() {
  for (machine& it : machines_) {
    it.upstream.reset();
    it.node.reset();
  }
}

std::string fleet::data_centre_prefix(const std::string& data_centre) const {
  const auto found = std::find(plan_.data_centres.begin(), plan_.data_centres.end(), data_centre);
  return "127." + std::to_string(plan_.subnet) + "." +
         std::to_string(found - plan_.data_centres.begin() + 1) + ".";
}

std::string fleet::cut_file(const std::string& data_centre) const {
  return folder_ + "/cut-" + data_centre;
}

endpoint fleet::platform_endpoint() const {
  return {"127." + std::to_string(plan_.subnet) + ".250.1", platform_port};
}

void fleet::start_node(machine& it) {
  nlohmann::json settings = plan_.settings;
  settings["name"] = it.name;
  settings["data_centre"] = it.data_centre;
  settings["address"] = it.address;
  settings["caller_port"] = caller_port;
  settings["local_port"] = local_port;
  settings["peer_port"] = peer_port;
  settings["metrics_port"] = metrics_port;
  settings["platform"] = {to_string(platform_endpoint())};
  settings["data_centres"] = plan_.data_centres;
  settings["cluster_secret"] = "a secret for tests of thirty-two characters";
  settings["test_cut_file"] = cut_file(it.data_centre);
  settings["seeds"] = nlohmann::json::array();
  for (const std::string& dc : plan_.data_centres) {
    settings["seeds"].push_back(with_port(data_centre_prefix(dc) + "1", peer_port));
  }
  const std::string file = folder_ + "/" + it.name + ".json";
  write_file(file, settings.dump(2));
  it.node = std::make_unique<child_process>(program_folder() + "/damaskledge-node",
                                            std::vector<std::string>{"--settings=" + file},
                                            folder_ + "/" + it.name + ".log");
}

void fleet::start_upstream(machine& it) {
  ++it.starts;
  std::vector<std::string> arguments{
      "--service=" + it.service.name,
      "--listen=" + with_port(it.address, upstream_port),
      "--node=" + with_port(it.address, local_port),
      "--slots=" + std::to_string(it.service.slots),
      "--service_time_ms=" + std::to_string(it.service.service_time_ms),
      "--distribution=constant",
      "--announce_interval_ms=500",
      "--log=" + folder_ + "/" + it.name + "-executions-" + std::to_string(it.starts)};
  if (!it.service.inner.empty()) {
    arguments.push_back("--inner=" + it.service.inner);
  }
  it.upstream = std::make_unique<child_process>(program_folder() + "/upstream_stand_in", arguments,
                                                folder_ + "/" + it.name + "-upstream.log");
}

bool fleet::start() {
  platform_ = std::make_unique<child_process>(
      program_folder() + "/platform_stand_in",
      std::vector<std::string>{"--listen=" + to_string(platform_endpoint())},
      folder_ + "/platform.log");
  const auto answers = [&] {
    return exchange(platform_endpoint(), {.target = "/control"}).status == 200;
  };
  if (!wait_until(answers, start_limit)) {
    return false;
  }
  write_file(folder_ + "/accounts.json", plan_.accounts.dump(2));
  write_file(folder_ + "/plans.json", plan_.plans.dump(2));
  const auto applied = control(
      {"apply", "--accounts=" + folder_ + "/accounts.json", "--plans=" + folder_ + "/plans.json"});
  if (applied.exit_code != 0) {
    return false;
  }
  for (const auto& it : plan_.accounts["accounts"]) {
    give_key(it["name"].get<std::string>());
  }
  for (machine& it : machines_) {
    start_node(it);
    start_upstream(it);
  }
  return settled(start_limit);
}

std::string fleet::missing_at(const machine& it) const {
  const auto version_of = [&](const std::string& name) {
    const auto answer = exchange(platform_endpoint(), {.target = "/v1/objects/config/" + name});
    const std::string tag = answer.header("ETag");
    return tag.size() < 3 ? 0 : std::stoi(tag.substr(1, tag.size() - 2));
  };
  const auto status = exchange(operator_endpoint(it), {.target = "/status"}).json();
  const auto targets = exchange(operator_endpoint(it), {.target = "/targets"}).json();
  if (!status.is_object() || !targets.is_array()) {
    return it.name + " does not answer; ";
  }
  const auto running = std::count_if(machines_.begin(), machines_.end(), [](const machine& other) {
    return other.node && other.node->running();
  });
  const auto serving = std::count_if(machines_.begin(), machines_.end(), [](const machine& other) {
    return other.upstream && other.upstream->running();
  });
  const auto up = std::count_if(status["members"].begin(), status["members"].end(),
                                [](const auto& member) { return member["state"] == "up"; });
  // Until its tokens accrue, a new coordinator's data centre refuses calls within the rate.
  const bool settled = status["tokens_accrue"] == status["coordinates"] && up == running &&
                       static_cast<std::ptrdiff_t>(targets.size()) == serving &&
                       status["documents"].value("lists", 0) == version_of("lists") &&
                       status["documents"].value("keys", 0) == version_of("keys") &&
                       status["coordinators"].size() == plan_.data_centres.size();
  return settled ? "" : it.name + " has " + status.dump() + " and " + targets.dump() + "; ";
}

bool fleet::settled(milliseconds limit) {
  std::string missing;
  const auto all_settled = [&] {
    missing.clear();
    for (const machine& it : machines_) {
      missing += it.node && it.node->running() ? missing_at(it) : "";
    }
    return missing.empty();
  };
  const bool result = wait_until(all_settled, limit);
  if (!result) {
    MESSAGE("not settled: ", missing);
  }
  return result;
}

std::vector<machine*> fleet::of_data_centre(const std::string& name) {
  std::vector<machine*> result;
  for (machine& it : machines_) {
    if (it.data_centre == name) {
      result.push_back(&it);
    }
  }
  return result;
}

std::vector<machine*> fleet::of_service(const std::string& name) {
  std::vector<machine*> result;
  for (machine& it : machines_) {
    if (it.service.name == name) {
      result.push_back(&it);
    }
  }
  return result;
}

control_result fleet::control(const std::vector<std::string>& arguments) {
  const std::string log = folder_ + "/control-" + std::to_string(++control_runs_);
  std::vector<std::string> words = arguments;
  words.push_back("--platform=" + to_string(platform_endpoint()));
  child_process run(program_folder() + "/damaskledgectl", words, log + ".txt", log + ".errors");
  control_result result;
  result.exit_code = run.wait(milliseconds(60'000)).value_or(-1);
  result.output = read_text(log + ".txt");
  result.errors = read_text(log + ".errors");
  return result;
}

void fleet::give_key(const std::string& account) {
  const auto given = control({"keys", "give", "--account=" + account, "--output=json"});
  const auto answer = given.json();
  keys_[account] = {answer.value("id", ""), answer.value("key", "")};
}

http_answer fleet::call(const machine& node, const std::string& account, const std::string& method,
                        const std::string& target, const std::string& body,
                        std::map<std::string, std::string> headers) {
  http_request request;
  request.method = method;
  request.target = target;
  request.headers = std::move(headers);
  if (!account.empty()) {
    request.headers["Authorization"] = "Bearer " + key(account);
  }
  request.body = body;
  // Above every route's deadline.
  request.timeout = milliseconds(15'000);
  call_record entry;
  entry.account = account;
  entry.target = target;
  entry.body = body;
  entry.sent = clock_type::now();
  const http_answer answer = exchange(caller_endpoint(node), request);
  entry.ended = clock_type::now();
  entry.status = answer.status;
  entry.reason = answer.header("Damaskledge-Reason");
  entry.outcome = answer.header("Damaskledge-Outcome");
  entry.request_id = answer.header("Damaskledge-Request-Id");
  record(std::move(entry));
  return answer;
}

void fleet::record(call_record entry) {
  const std::lock_guard lock(records_mutex_);
  records_.push_back(std::move(entry));
}

std::vector<call_record> fleet::records() const {
  const std::lock_guard lock(records_mutex_);
  return records_;
}

std::vector<std::string> fleet::false_refusals() {
  std::set<std::string> executed;
  for (const service_plan& service : plan_.services) {
    for (const auto& line : executions(service.name)) {
      executed.insert(line.value("request_id", ""));
    }
  }
  std::vector<std::string> result;
  for (const call_record& it : records()) {
    if (it.outcome == "not-run" && executed.contains(it.request_id)) {
      result.push_back(it.request_id + " " + it.reason);
    }
  }
  return result;
}

std::size_t fleet::most_executions(const std::string& service, const std::string& field) {
  std::map<std::string, std::size_t> counts;
  std::size_t result = 0;
  for (const auto& line : executions(service)) {
    if (const auto value = line.value(field, ""); !value.empty()) {
      result = std::max(result, ++counts[value]);
    }
  }
  return result;
}

std::size_t fleet::count_executions(const std::string& service, const std::string& field,
                                    const std::string& value) {
  const auto lines = executions(service);
  return static_cast<std::size_t>(std::count_if(
      lines.begin(), lines.end(), [&](const auto& it) { return it.value(field, "") == value; }));
}

void fleet::upstream_behaviour(const std::string& service, const nlohmann::json& behaviour) {
  for (const machine* it : of_service(service)) {
    if (it->upstream && it->upstream->running()) {
      exchange(upstream_endpoint(*it),
               {.method = "POST", .target = "/control", .body = behaviour.dump()});
    }
  }
}

machine* fleet::coordinator(const std::string& data_centre, const machine& seen_by) {
  const auto status = exchange(operator_endpoint(seen_by), {.target = "/status"}).json();
  if (!status.is_object() || !status["coordinators"].contains(data_centre)) {
    return nullptr;
  }
  const std::string holder = status["coordinators"][data_centre].value("holder", "");
  const auto found = std::find_if(machines_.begin(), machines_.end(),
                                  [&](const machine& it) { return it.name == holder; });
  return found == machines_.end() ? nullptr : &*found;
}

bool fleet::violated() const {
  return std::any_of(machines_.begin(), machines_.end(), [&](const machine& it) {
    return read_text(folder_ + "/" + it.name + ".log").find("invariant=") != std::string::npos;
  });
}

void fleet::platform_faults(const nlohmann::json& faults) const {
  exchange(platform_endpoint(), {.method = "POST", .target = "/control", .body = faults.dump()});
}

nlohmann::json fleet::platform_counters() const {
  return exchange(platform_endpoint(), {.target = "/control"}).json();
}

void fleet::cut(const std::string& data_centre, bool from_platform) {
  for (const std::string& it : plan_.data_centres) {
    std::string lines;
    for (const std::string& other : plan_.data_centres) {
      const bool crosses = (it == data_centre) != (other == data_centre);
      lines += crosses ? data_centre_prefix(other) + "\n" : "";
    }
    if (it == data_centre && from_platform) {
      lines += to_string(platform_endpoint()) + "\n";
    }
    write_file(cut_file(it), lines);
  }
}

void fleet::cut_platform(const std::string& data_centre) {
  write_file(cut_file(data_centre), to_string(platform_endpoint()) + "\n");
}

void fleet::heal() {
  for (const std::string& it : plan_.data_centres) {
    write_file(cut_file(it), "");
  }
}

std::vector<nlohmann::json> fleet::executions(const std::string& service) {
  std::vector<nlohmann::json> result;
  for (const machine* it : of_service(service)) {
    for (std::uint64_t start = 1; start <= it->starts; ++start) {
      std::istringstream lines(
          read_text(folder_ + "/" + it->name + "-executions-" + std::to_string(start)));
      for (std::string line; std::getline(lines, line);) {
        result.push_back(nlohmann::json::parse(line, nullptr, false));
      }
    }
  }
  return result;
}

std::uint64_t fleet::leaked_keys() {
  std::uint64_t result = 0;
  for (machine& it : machines_) {
    if (it.upstream && it.upstream->running()) {
      const auto counters = exchange(upstream_endpoint(it), {.target = "/control"}).json();
      result += counters.is_object() ? counters.value("leaked_keys", std::uint64_t{0}) : 0;
    }
  }
  return result;
}

double fleet::metric(const std::string& prefix) {
  double result = 0;
  for (machine& it : machines_) {
    if (!it.node || !it.node->running()) {
      continue;
    }
    std::istringstream lines(exchange(operator_endpoint(it), {.target = "/metrics"}).body);
    for (std::string line; std::getline(lines, line);) {
      const auto space = line.rfind(' ');
      if (line.starts_with(prefix) && space != std::string::npos) {
        result += std::strtod(line.c_str() + space, nullptr);
      }
    }
  }
  return result;
}

} // namespace damaskledge::failure
