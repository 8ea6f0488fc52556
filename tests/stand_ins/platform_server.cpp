#include "stand_ins/platform_server.h"

#include <algorithm>
#include <charconv>
#include <optional>
#include <thread>
#include <utility>

#include <Poco/URI.h>

namespace damaskledge::stand_ins {

namespace {

constexpr std::size_t max_content_bytes = 1'048'576;
constexpr std::int64_t max_watch_ms = 60'000;
/// Interval at which a waiting watch looks whether its caller is still there.
constexpr milliseconds caller_check_interval{100};
constexpr std::string_view objects_path = "/v1/objects";

std::optional<std::uint64_t> parse_number(std::string_view text) {
  std::uint64_t value = 0;
  const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (ec != std::errc{} || end != text.data() + text.size()) {
    return std::nullopt;
  }
  return value;
}

std::optional<std::uint64_t> parse_quoted(std::string_view text) {
  if (text.size() < 3 || text.front() != '"' || text.back() != '"') {
    return std::nullopt;
  }
  return parse_number(text.substr(1, text.size() - 2));
}

/// Counts a fault down.
/// @return true when it applies to this answer.
bool use_up(std::uint64_t& remaining) {
  if (remaining == 0) {
    return false;
  }
  --remaining;
  return true;
}

} // namespace

platform_server::platform_server(const platform_settings& settings)
    : settings_(settings), reads_(settings.reads_per_second, clock_type::now()),
      writes_(settings.writes_per_second, clock_type::now()),
      server_(std::make_unique<http_server>(settings.address, settings.connections,
                                            [this](http_exchange& it) { handle(it); })) {}

platform_server::~platform_server() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  changed_.notify_all();
  server_->stop();
}

void platform_server::set_faults(const platform_faults& faults) {
  {
    const std::lock_guard lock(mutex_);
    faults_ = faults;
  }
  changed_.notify_all();
}

platform_faults platform_server::faults() const {
  const std::lock_guard lock(mutex_);
  return faults_;
}

platform_counters platform_server::counters() const {
  const std::lock_guard lock(mutex_);
  return counters_;
}

void platform_server::save() {
  const std::lock_guard lock(mutex_);
  saved_objects_ = objects_;
}

void platform_server::restore() {
  const std::lock_guard lock(mutex_);
  objects_ = saved_objects_;
  ++era_;
}

std::uint64_t platform_server::version(const std::string& name) const {
  const std::lock_guard lock(mutex_);
  const auto it = objects_.find(name);
  return it != objects_.end() && it->second.exists ? it->second.version : 0;
}

bool platform_server::outage() const {
  const std::lock_guard lock(mutex_);
  return faults_.outage || stopping_;
}

void platform_server::handle(http_exchange& exchange) {
  const std::string path = exchange.path();
  if (path == "/control") {
    control(exchange);
    return;
  }
  std::int64_t latency_ms = 0;
  bool fail = false;
  int failure_status = 0;
  {
    const std::lock_guard lock(mutex_);
    if (faults_.outage) {
      ++counters_.closed_in_outage;
    }
    exchange.set("Store-Era", std::to_string(era_));
    latency_ms = faults_.latency_ms;
    fail = !faults_.outage && use_up(faults_.failures);
    failure_status = faults_.failure_status;
  }
  if (outage()) {
    exchange.abort();
    return;
  }
  if (latency_ms > 0) {
    std::this_thread::sleep_for(milliseconds{latency_ms});
  }
  if (fail) {
    exchange.body(max_content_bytes);
    exchange.answer(failure_status, R"({"error":"failure requested by a test"})");
    return;
  }
  if (path == objects_path) {
    list(exchange);
    return;
  }
  std::string name;
  if (path.starts_with(std::string(objects_path) + "/")) {
    Poco::URI::decode(path.substr(objects_path.size() + 1), name);
  }
  if (name.empty()) {
    exchange.answer(404, R"({"error":"the path is not /v1/objects/<name>"})");
  } else if (exchange.method() == "GET" && !exchange.parameter("watch").empty()) {
    watch(exchange, name);
  } else if (exchange.method() == "GET") {
    read(exchange, name);
  } else if (exchange.method() == "PUT" || exchange.method() == "DELETE") {
    update(exchange, name);
  } else {
    exchange.answer(405, R"({"error":"the methods are GET, PUT and DELETE"})");
  }
}

bool platform_server::admit(http_exchange& exchange, platform::call_budget& budget) {
  duration wait{0};
  {
    const std::lock_guard lock(mutex_);
    wait = budget.take(clock_type::now());
    if (wait > duration{0}) {
      ++counters_.rate_limited;
    }
  }
  if (wait == duration{0}) {
    return true;
  }
  exchange.body(max_content_bytes);
  exchange.set("Retry-After", "1");
  exchange.answer(429, R"({"error":"the calls per second are used up"})");
  return false;
}

void platform_server::send_object(http_exchange& exchange, std::uint64_t version,
                                  const std::string& content) {
  bool truncate = false;
  bool malformed = false;
  bool oversized = false;
  std::uint64_t oversized_bytes = 0;
  {
    const std::lock_guard lock(mutex_);
    truncate = use_up(faults_.truncate_answers);
    malformed = use_up(faults_.malformed_etags);
    oversized = use_up(faults_.oversized_answers);
    oversized_bytes = faults_.oversized_bytes;
  }
  exchange.set("ETag", malformed ? "W/\"" + std::to_string(version) + "x\""
                                 : "\"" + std::to_string(version) + "\"");
  if (oversized) {
    exchange.answer(200, std::string(oversized_bytes, ' '));
  } else if (truncate) {
    exchange.answer_truncated(content);
  } else {
    exchange.answer(200, content);
  }
}

void platform_server::list(http_exchange& exchange) {
  {
    const std::lock_guard lock(mutex_);
    ++counters_.lists;
  }
  if (!admit(exchange, reads_)) {
    return;
  }
  const std::string prefix = exchange.parameter("prefix");
  nlohmann::json objects = nlohmann::json::array();
  {
    const std::lock_guard lock(mutex_);
    for (auto it = objects_.lower_bound(prefix);
         it != objects_.end() && it->first.starts_with(prefix); ++it) {
      if (it->second.exists) {
        objects.push_back({{"name", it->first}, {"version", it->second.version}});
      }
    }
  }
  exchange.answer(200, nlohmann::json{{"objects", objects}});
}

void platform_server::read(http_exchange& exchange, const std::string& name) {
  {
    const std::lock_guard lock(mutex_);
    ++counters_.reads;
  }
  if (!admit(exchange, reads_)) {
    return;
  }
  bool exists = false;
  std::uint64_t version = 0;
  std::string content;
  {
    const std::lock_guard lock(mutex_);
    const auto it = objects_.find(name);
    const bool stale = use_up(faults_.stale_reads);
    if (it != objects_.end() && stale) {
      exists = it->second.previous_exists;
      version = it->second.version - 1;
      content = it->second.previous_content;
    } else if (it != objects_.end()) {
      exists = it->second.exists;
      version = it->second.version;
      content = it->second.content;
    }
  }
  if (!exists) {
    exchange.answer(404, R"({"error":"the object does not exist"})");
    return;
  }
  send_object(exchange, version, content);
}

void platform_server::watch(http_exchange& exchange, const std::string& name) {
  {
    const std::lock_guard lock(mutex_);
    ++counters_.watches;
  }
  if (!admit(exchange, reads_)) {
    return;
  }
  const auto known = parse_number(exchange.parameter("watch"));
  const auto timeout_ms = parse_number(exchange.parameter("timeout_ms"));
  if (!known || !timeout_ms) {
    exchange.answer(400, R"({"error":"watch and timeout_ms must be numbers"})");
    return;
  }
  const time_point end =
      clock_type::now() +
      milliseconds{std::min(static_cast<std::int64_t>(*timeout_ms), max_watch_ms)};
  std::uint64_t version = 0;
  std::string content;
  bool absent = false;
  bool gone = false;
  {
    std::unique_lock lock(mutex_);
    ++counters_.waiting_watches;
    while (true) {
      if (faults_.outage || stopping_) {
        gone = true;
        break;
      }
      const auto it = objects_.find(name);
      if (it != objects_.end() && it->second.exists && it->second.version > *known) {
        version = it->second.version;
        content = it->second.content;
        break;
      }
      // An object that the caller has seen and that is gone does not come back by waiting.
      if (*known > 0 && (it == objects_.end() || !it->second.exists)) {
        absent = true;
        break;
      }
      const time_point now = clock_type::now();
      if (now >= end) {
        break;
      }
      changed_.wait_until(lock, std::min(end, now + caller_check_interval));
      if (exchange.closed_by_caller()) {
        gone = true;
        break;
      }
    }
    --counters_.waiting_watches;
  }
  if (gone) {
    exchange.abort();
  } else if (absent) {
    exchange.answer(404, R"({"error":"the object does not exist"})");
  } else if (version == 0) {
    exchange.answer(304);
  } else {
    send_object(exchange, version, content);
  }
}

void platform_server::update(http_exchange& exchange, const std::string& name) {
  const bool removal = exchange.method() == "DELETE";
  {
    const std::lock_guard lock(mutex_);
    ++(removal ? counters_.erases : counters_.writes);
  }
  if (!admit(exchange, writes_)) {
    return;
  }
  auto content = exchange.body(max_content_bytes);
  if (!content) {
    exchange.answer(413, R"({"error":"the content is larger than a megabyte"})");
    return;
  }
  const std::string expected_text = exchange.header("If-Match");
  const auto expected = parse_quoted(expected_text);
  const bool creation = !removal && exchange.header("If-None-Match") == "*";
  if (!expected_text.empty() && !expected) {
    exchange.answer(400, R"({"error":"If-Match must be a version in double quotes"})");
    return;
  }
  if (!expected && !creation) {
    exchange.answer(428, R"({"error":"If-Match or If-None-Match: * is needed"})");
    return;
  }
  bool conflict = false;
  bool missing = false;
  bool lose = false;
  bool malformed = false;
  std::uint64_t version = 0;
  {
    const std::lock_guard lock(mutex_);
    stored_object& it = objects_[name];
    missing = removal && !it.exists;
    conflict = !missing && (creation ? it.exists : !it.exists || it.version != *expected);
    if (conflict) {
      ++counters_.conflicts;
    } else if (!missing) {
      it.previous_exists = it.exists;
      it.previous_content =
          std::exchange(it.content, removal ? std::string{} : std::move(*content));
      it.exists = !removal;
      version = ++it.version;
      lose = use_up(faults_.lose_write_answers);
      counters_.lost_write_answers += lose ? 1 : 0;
      malformed = !removal && !lose && use_up(faults_.malformed_etags);
    }
  }
  if (missing) {
    exchange.answer(404, R"({"error":"the object does not exist"})");
    return;
  }
  if (conflict) {
    exchange.answer(412, R"({"error":"the object has another version"})");
    return;
  }
  changed_.notify_all();
  if (lose) {
    exchange.abort();
    return;
  }
  exchange.set("ETag", malformed ? "\"next\"" : "\"" + std::to_string(version) + "\"");
  exchange.answer(!removal && creation ? 201 : 200, "{}");
}

void platform_server::control(http_exchange& exchange) {
  if (exchange.method() == "POST") {
    const auto text = exchange.body(max_content_bytes);
    const auto wanted = nlohmann::json::parse(text.value_or(""), nullptr, false);
    if (!wanted.is_object()) {
      exchange.answer(400, R"({"error":"the body must be a JSON object"})");
      return;
    }
    platform_faults next = faults();
    try {
      next.outage = wanted.value("outage", next.outage);
      next.latency_ms = wanted.value("latency_ms", next.latency_ms);
      next.lose_write_answers = wanted.value("lose_write_answers", next.lose_write_answers);
      next.stale_reads = wanted.value("stale_reads", next.stale_reads);
      next.truncate_answers = wanted.value("truncate_answers", next.truncate_answers);
      next.malformed_etags = wanted.value("malformed_etags", next.malformed_etags);
      next.failures = wanted.value("failures", next.failures);
      next.failure_status = wanted.value("failure_status", next.failure_status);
      next.oversized_answers = wanted.value("oversized_answers", next.oversized_answers);
      next.oversized_bytes = wanted.value("oversized_bytes", next.oversized_bytes);
    } catch (const nlohmann::json::exception& error) {
      exchange.answer(400, nlohmann::json{{"error", error.what()}});
      return;
    }
    if (wanted.contains("save")) {
      save();
    }
    if (wanted.contains("restore")) {
      restore();
    }
    set_faults(next);
  }
  const platform_counters seen = counters();
  const platform_faults active = faults();
  exchange.answer(200, nlohmann::json{{"reads", seen.reads},
                                      {"lists", seen.lists},
                                      {"watches", seen.watches},
                                      {"writes", seen.writes},
                                      {"erases", seen.erases},
                                      {"conflicts", seen.conflicts},
                                      {"rate_limited", seen.rate_limited},
                                      {"closed_in_outage", seen.closed_in_outage},
                                      {"lost_write_answers", seen.lost_write_answers},
                                      {"waiting_watches", seen.waiting_watches},
                                      {"outage", active.outage}});
}

} // namespace damaskledge::stand_ins
