#include <fstream>
#include <set>
#include <sstream>

#include <nlohmann/json.hpp>

#include "event/event.h"
#include "sidecar/sidecar.h"

namespace damaskledge::sidecar {

namespace {

using json = nlohmann::json;

/// Reads members and remembers which were asked for, so that misspelt ones are found.
class settings_reader {
 public:
  settings_reader(const json& object, std::string file) : object_(object), file_(std::move(file)) {}

  void read(const char* name, std::string& out) {
    if (const json* it = find(name, json::value_t::string, "a text")) {
      out = it->get<std::string>();
    }
  }
  void read(const char* name, bool& out) {
    if (const json* it = find(name, json::value_t::boolean, "true or false")) {
      out = it->get<bool>();
    }
  }
  void read(const char* name, endpoint& out) {
    std::string text;
    read(name, text);
    if (text.empty()) {
      return;
    }
    const auto parsed = event::parse_endpoint(text);
    if (!parsed) {
      fail(name, "'" + text + "'", "write IPv4 address and port, for example 10.0.0.1:8080");
    } else {
      out = *parsed;
    }
  }
  void read(const char* name, double& out, double low, double high) {
    known_.insert(name);
    const auto it = object_.find(name);
    if (it == object_.end()) {
      return;
    }
    if (!it->is_number() || it->get<double>() < low || it->get<double>() > high) {
      fail(name, it->dump(),
           "write a number from " + std::to_string(low) + " to " + std::to_string(high));
      return;
    }
    out = it->get<double>();
  }
  template <class Rep, class Period>
  void read(const char* name, std::chrono::duration<Rep, Period>& out, double high) {
    auto value = static_cast<double>(out.count());
    read(name, value, 0, high);
    out = std::chrono::duration<Rep, Period>(static_cast<Rep>(value));
  }
  void require(const char* name, bool present) {
    if (!present) {
      fail(name, "nothing", "add the field");
    }
  }
  leaf::result<void> finish() {
    for (const auto& [name, value] : object_.items()) {
      if (known_.count(name) == 0) {
        fail(name, "an unknown field", "remove it or correct its name");
      }
    }
    if (problem_) {
      return leaf::new_error(*problem_);
    }
    return {};
  }

 private:
  const json* find(const char* name, json::value_t type, const char* expected) {
    known_.insert(name);
    const auto it = object_.find(name);
    if (it == object_.end()) {
      return nullptr;
    }
    if (it->type() != type) {
      fail(name, it->dump(), std::string("write ") + expected);
      return nullptr;
    }
    return &*it;
  }
  void fail(const std::string& field, std::string found, std::string remedy) {
    if (!problem_) {
      problem_ = parse_error{file_, 0, field, std::move(found), std::move(remedy)};
    }
  }

  const json& object_;
  std::string file_;
  std::set<std::string> known_;
  std::optional<parse_error> problem_;
};

} // namespace

leaf::result<std::string> read_settings_file(const std::string& path) {
  std::ifstream in(path);
  std::ostringstream text;
  text << in.rdbuf();
  if (!in) {
    return leaf::new_error(environment_error{"the settings file " + path + " can't be read",
                                             "give the path of a readable file"});
  }
  return text.str();
}

leaf::result<settings> parse_settings(const std::string& text, const std::string& file) {
  const json object = json::parse(text, nullptr, false, true);
  if (!object.is_object()) {
    return leaf::new_error(
        parse_error{file, 0, "", "text that is not a JSON object", "write JSON with comments"});
  }
  constexpr double max_ms = 600'000;
  constexpr double max_s = 3'600;
  settings result;
  settings_reader reader(object, file);
  reader.read("name", result.name);
  reader.read("data_centre", result.data_centre);
  reader.read("service", result.service);
  reader.read("caller_address", result.caller_address);
  reader.read("ready_address", result.ready_address);
  reader.read("announce_address", result.announce_address);
  reader.read("peer_address", result.peer_address);
  reader.read("peer_listen_address", result.peer_listen_address);
  reader.read("metrics_address", result.metrics_address);
  reader.read("upstream_address", result.upstream_address);
  reader.read("store_address", result.store_address);
  reader.read("first_start", result.first_start);
  reader.read("drain_limit_ms", result.drain_limit, max_ms);
  reader.read("grace_s", result.grace, max_s);
  reader.read("retry_ratio", result.retry_ratio, 0, 1);
  reader.read("retry_reserve", result.retry_reserve, 0, 1'000'000);
  reader.read("account_tolerance", result.account_tolerance, 0, 1'000'000);
  reader.read("retry_window_s", result.retry_window, max_s);
  reader.require("name", !result.name.empty());
  reader.require("service", !result.service.empty());
  reader.require("caller_address", result.caller_address.port != 0);
  reader.require("ready_address", result.ready_address.port != 0);
  reader.require("announce_address", result.announce_address.port != 0);
  reader.require("peer_address", result.peer_address.port != 0);
  reader.require("upstream_address", result.upstream_address.port != 0);
  reader.require("store_address", result.store_address.port != 0);
  BOOST_LEAF_CHECK(reader.finish());
  return result;
}

} // namespace damaskledge::sidecar
