#include "stand_ins/upstream_server.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <utility>

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/StreamCopier.h>
#include <glog/logging.h>
#include <poll.h>
#include <unistd.h>

namespace damaskledge::stand_ins {

namespace {

using Poco::Net::HTTPClientSession;

constexpr std::size_t max_body_bytes = 4'194'304;
constexpr std::size_t max_executions = 200'000;
constexpr std::size_t max_idle_sessions = 64;
/// Interval at which a waiting request looks whether its caller is still there.
constexpr milliseconds caller_check_interval{20};
/// Bound on an inner call of a request without a deadline.
constexpr milliseconds inner_timeout{10'000};
/// Bound on an announcement, so that a node that does not answer delays no other message.
constexpr milliseconds announce_timeout{1'000};
/// The node may start after its upstream.
constexpr milliseconds announce_retry_interval{250};
/// Shape of the log-normal distribution, chosen so that the 99th percentile is about six
/// times the median.
constexpr double lognormal_sigma = 0.75;

Poco::Timespan to_timespan(duration value) {
  return {std::max<std::int64_t>(
      1'000, std::chrono::duration_cast<std::chrono::microseconds>(value).count())};
}

bool contains_key(const http_exchange& exchange) {
  constexpr std::string_view key_prefix = "dlk_";
  if (exchange.request().getURI().find(key_prefix) != std::string::npos) {
    return true;
  }
  return std::any_of(exchange.request().begin(), exchange.request().end(), [&](const auto& it) {
    return it.first.find(key_prefix) != std::string::npos ||
           it.second.find(key_prefix) != std::string::npos;
  });
}

std::optional<std::int64_t> parse_number(const std::string& text) {
  std::int64_t value = 0;
  const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (text.empty() || ec != std::errc{} || end != text.data() + text.size()) {
    return std::nullopt;
  }
  return value;
}

std::string answer_body(std::size_t size, const std::string& call, const std::string& request_id) {
  const std::string tail = "|" + call + "|" + request_id;
  std::string result(std::max(size, tail.size()) - tail.size(), '.');
  return result + tail;
}

} // namespace

std::optional<std::vector<inner_call>> parse_inner_calls(std::string_view text) {
  std::vector<inner_call> result;
  while (!text.empty()) {
    const std::string_view one = text.substr(0, text.find(','));
    text.remove_prefix(std::min(text.size(), one.size() + 1));
    const std::size_t first = one.find(':');
    const std::size_t second = first == std::string_view::npos ? first : one.find(':', first + 1);
    if (second == std::string_view::npos || first == 0 || second == first + 1 ||
        second + 1 >= one.size() || one[second + 1] != '/') {
      return std::nullopt;
    }
    result.push_back({std::string(one.substr(0, first)),
                      std::string(one.substr(first + 1, second - first - 1)),
                      std::string(one.substr(second + 1))});
  }
  return result;
}

std::optional<service_time_distribution> parse_distribution(std::string_view name) {
  if (name == "constant") {
    return service_time_distribution::constant;
  }
  if (name == "exponential") {
    return service_time_distribution::exponential;
  }
  if (name == "lognormal") {
    return service_time_distribution::lognormal;
  }
  return std::nullopt;
}

upstream_server::upstream_server(upstream_settings settings)
    : settings_(std::move(settings)), started_at_(clock_type::now()), random_(settings_.seed) {
  behaviour_.body_bytes = settings_.body_bytes;
  if (!settings_.log_file.empty()) {
    log_.open(settings_.log_file, std::ios::app);
    if (!log_) {
      throw Poco::CreateFileException(settings_.log_file);
    }
  }
  server_ = std::make_unique<http_server>(settings_.address, settings_.connections,
                                          [this](http_exchange& it) { handle(it); });
  if (settings_.node.port != 0) {
    announcer_ = std::thread([this] { announce_until_stopped(); });
  }
}

upstream_server::~upstream_server() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  stopping_changed_.notify_all();
  if (announcer_.joinable()) {
    announcer_.join();
  }
  server_->stop();
}

upstream_counters upstream_server::counters() const {
  const std::lock_guard lock(mutex_);
  upstream_counters result = counters_;
  result.waiting = waiters_.size();
  return result;
}

void upstream_server::set_behaviour(const upstream_behaviour& behaviour) {
  const std::lock_guard lock(mutex_);
  behaviour_ = behaviour;
}

upstream_behaviour upstream_server::behaviour() const {
  const std::lock_guard lock(mutex_);
  return behaviour_;
}

std::vector<nlohmann::json> upstream_server::executions() const {
  const std::lock_guard lock(mutex_);
  return {executions_.begin(), executions_.end()};
}

bool upstream_server::accepts_work() const {
  const std::lock_guard lock(mutex_);
  return !draining_since_ || clock_type::now() < *draining_since_ + settings_.drain_grace;
}

bool upstream_server::drained() const {
  return !accepts_work();
}

void upstream_server::handle(http_exchange& exchange) {
  const std::string path = exchange.path();
  if (path == "/control" || path.starts_with("/control/")) {
    control(exchange, path);
  } else if (path == "/health") {
    // Deliberately no measure of the load: the node must not rely on it.
    const upstream_behaviour active = behaviour();
    exchange.answer(active.health == "ok" ? 200 : 503,
                    nlohmann::json{{"status", active.health}, {"load", 0.05}});
  } else {
    serve(exchange);
  }
}

void upstream_server::serve(http_exchange& exchange) {
  const time_point arrived = clock_type::now();
  if (contains_key(exchange)) {
    const std::lock_guard lock(mutex_);
    ++counters_.leaked_keys;
  }
  std::optional<time_point> deadline;
  if (const auto left = parse_number(exchange.header("Damaskledge-Deadline-Ms"))) {
    deadline = arrived + milliseconds{std::clamp<std::int64_t>(*left, 0, 3'600'000)};
  }
  const auto body = exchange.body(max_body_bytes);
  if (!body) {
    exchange.set("Damaskledge-Outcome", "not-run");
    exchange.answer(413, R"({"error":"the body is larger than four megabytes"})");
    return;
  }
  const auto refuse = [&](std::uint64_t upstream_counters::*counter, const char* detail) {
    {
      const std::lock_guard lock(mutex_);
      ++(counters_.*counter);
    }
    exchange.set("Damaskledge-Outcome", "not-run");
    exchange.answer(503, nlohmann::json{{"error", detail}});
  };
  if (!accepts_work()) {
    refuse(&upstream_counters::refused_draining, "the service is draining");
    return;
  }
  switch (take_slot(exchange, deadline)) {
  case slot_result::granted:
    break;
  case slot_result::queue_full:
    refuse(&upstream_counters::refused_queue_full, "all slots and the queue are full");
    return;
  case slot_result::deadline_passed:
    refuse(&upstream_counters::refused_deadline, "the deadline passed before a slot was free");
    return;
  case slot_result::cancelled: {
    {
      const std::lock_guard lock(mutex_);
      ++counters_.cancelled_waiting;
    }
    exchange.abort();
    return;
  }
  }

  const auto document = nlohmann::json::parse(*body, nullptr, false);
  const std::string request_id = exchange.header("Damaskledge-Request-Id");
  nlohmann::json line{{"time_ms", unix_now()},
                      {"service", settings_.service},
                      {"request_id", request_id},
                      {"attempt", exchange.header("Damaskledge-Attempt")},
                      {"account", exchange.header("Damaskledge-Account")},
                      {"operation", exchange.header("Idempotency-Key")},
                      {"method", exchange.method()},
                      {"path", exchange.path()},
                      {"call", exchange.parameter("call")}};
  bool crash = exchange.header("X-Crash") == "1";
  if (document.is_object()) {
    if (const auto it = document.find("dispatch_number"); it != document.end()) {
      line["dispatch_number"] = *it;
    }
    const auto it = document.find("crash");
    crash = crash || (it != document.end() && it->is_boolean() && it->get<bool>());
  }
  record(line);
  if (crash) {
    LOG(WARNING) << "request " << request_id << " asks for a crash";
    google::FlushLogFiles(google::INFO);
    ::_exit(crash_status);
  }

  bool truncate = false;
  bool lose = false;
  duration time = draw_service_time();
  if (exchange.first_on_connection()) {
    time += std::chrono::duration_cast<duration>(
        std::chrono::duration<double, std::milli>(settings_.connection_cost_ms));
  }
  const work_result result = work(exchange, time, deadline);
  std::optional<inner_failure> failure;
  if (result == work_result::done) {
    failure = call_inner(exchange, *body, deadline);
  }
  std::size_t size = 0;
  {
    const std::lock_guard lock(mutex_);
    if (result == work_result::cancelled || (failure && failure->cancelled)) {
      ++counters_.cancelled_running;
    } else if (result == work_result::deadline_passed) {
      ++counters_.expired_running;
    } else if (!failure) {
      ++counters_.completed;
      truncate = behaviour_.truncate_answers > 0;
      behaviour_.truncate_answers -= truncate ? 1 : 0;
      lose = !truncate && behaviour_.lose_answers > 0;
      behaviour_.lose_answers -= lose ? 1 : 0;
    }
    size = behaviour_.body_bytes;
  }
  release_slot();
  if (result == work_result::cancelled || (failure && failure->cancelled) || lose) {
    exchange.abort();
  } else if (result == work_result::deadline_passed) {
    exchange.answer(504, R"({"error":"the deadline passed while the request ran"})");
  } else if (failure) {
    if (!failure->reason.empty()) {
      exchange.set("Damaskledge-Reason", failure->reason);
    }
    if (!failure->outcome.empty()) {
      exchange.set("Damaskledge-Outcome", failure->outcome);
    }
    exchange.answer(502, nlohmann::json{{"error", failure->detail}});
  } else {
    const std::string content = answer_body(size, exchange.parameter("call"), request_id);
    if (truncate) {
      exchange.answer_truncated(content);
    } else {
      exchange.answer(200, content, "text/plain");
    }
  }
}

upstream_server::slot_result upstream_server::take_slot(http_exchange& exchange,
                                                        std::optional<time_point> deadline) {
  waiter own;
  std::unique_lock lock(mutex_);
  if (deadline && clock_type::now() >= *deadline) {
    return slot_result::deadline_passed;
  }
  if (counters_.running < settings_.slots && waiters_.empty()) {
    ++counters_.running;
    ++counters_.executed;
    counters_.highest_running = std::max(counters_.highest_running, counters_.running);
    return slot_result::granted;
  }
  if (waiters_.size() >= settings_.queue) {
    return slot_result::queue_full;
  }
  waiters_.push_back(&own);
  slot_result result = slot_result::granted;
  while (!own.has_slot) {
    const time_point now = clock_type::now();
    if (deadline && now >= *deadline) {
      result = slot_result::deadline_passed;
      break;
    }
    time_point wake = now + caller_check_interval;
    if (deadline) {
      wake = std::min(wake, *deadline);
    }
    own.granted.wait_until(lock, wake);
    if (!own.has_slot && exchange.closed_by_caller()) {
      result = slot_result::cancelled;
      break;
    }
  }
  if (!own.has_slot) {
    std::erase(waiters_, &own);
    return result;
  }
  // The slot was handed over, so `running` counts this request already.
  ++counters_.executed;
  return slot_result::granted;
}

void upstream_server::release_slot() {
  const std::lock_guard lock(mutex_);
  if (waiters_.empty()) {
    --counters_.running;
    return;
  }
  waiter* next = waiters_.front();
  waiters_.pop_front();
  next->has_slot = true;
  next->granted.notify_one();
}

duration upstream_server::draw_service_time() {
  const std::lock_guard lock(mutex_);
  double mean = settings_.service_time_ms * behaviour_.slowdown;
  const double age =
      std::chrono::duration<double, std::milli>(clock_type::now() - started_at_).count();
  if (age < settings_.cold_start_ms) {
    // Falls in a straight line from the factor to 1, as caches and JIT compilers warm up.
    mean *= 1 + (settings_.cold_start_factor - 1) * (1 - age / settings_.cold_start_ms);
  }
  double drawn = mean;
  if (mean > 0 && settings_.distribution == service_time_distribution::exponential) {
    drawn = std::exponential_distribution<double>(1 / mean)(random_);
  } else if (mean > 0 && settings_.distribution == service_time_distribution::lognormal) {
    // The mean of a log-normal distribution is exp(mu + sigma^2 / 2).
    const double mu = std::log(mean) - lognormal_sigma * lognormal_sigma / 2;
    drawn = std::lognormal_distribution<double>(mu, lognormal_sigma)(random_);
  }
  return std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>(drawn));
}

upstream_server::work_result upstream_server::work(http_exchange& exchange, duration time,
                                                   std::optional<time_point> deadline) {
  const time_point now = clock_type::now();
  const bool too_long = deadline && now + time > *deadline;
  if (!exchange.wait_while_connected(too_long ? std::max(duration{0}, *deadline - now) : time)) {
    return work_result::cancelled;
  }
  return too_long ? work_result::deadline_passed : work_result::done;
}

void upstream_server::record(const nlohmann::json& line) {
  {
    const std::lock_guard lock(mutex_);
    executions_.push_back(line);
    if (executions_.size() > max_executions) {
      executions_.pop_front();
    }
  }
  const std::lock_guard lock(log_mutex_);
  if (log_.is_open()) {
    // Flushed line by line, because the process may be about to crash.
    log_ << line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) << std::endl;
  }
}

std::optional<upstream_server::inner_failure>
upstream_server::call_inner(http_exchange& exchange, const std::string& body,
                            std::optional<time_point> deadline) {
  for (const inner_call& it : settings_.inner) {
    {
      const std::lock_guard lock(mutex_);
      ++counters_.inner_calls;
    }
    if (auto failure = call_one(exchange, it, body, deadline)) {
      const std::lock_guard lock(mutex_);
      ++counters_.inner_failures;
      return failure;
    }
  }
  return std::nullopt;
}

std::optional<upstream_server::inner_failure>
upstream_server::call_one(http_exchange& exchange, const inner_call& call, const std::string& body,
                          std::optional<time_point> deadline) {
  std::unique_ptr<HTTPClientSession> session;
  {
    const std::lock_guard lock(sessions_mutex_);
    if (!sessions_.empty()) {
      session = std::move(sessions_.back());
      sessions_.pop_back();
    }
  }
  const time_point end = deadline.value_or(clock_type::now() + inner_timeout);
  try {
    // An idle connection that is readable has been closed by the node.
    if (session && session->socket().poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ)) {
      session.reset();
    }
    if (!session) {
      session = std::make_unique<HTTPClientSession>(settings_.node.address, settings_.node.port);
      session->setKeepAlive(true);
      session->setTimeout(to_timespan(announce_timeout), to_timespan(inner_timeout),
                          to_timespan(inner_timeout));
    }
    Poco::Net::HTTPRequest request(call.method, call.path, Poco::Net::HTTPRequest::HTTP_1_1);
    request.setKeepAlive(true);
    constexpr std::array<const char*, 3> copied{"Damaskledge-Context", "traceparent",
                                                "Idempotency-Key"};
    for (const char* it : copied) {
      if (exchange.request().has(it)) {
        request.set(it, exchange.request().get(it));
      }
    }
    if (!exchange.request().getContentType().empty() && !body.empty()) {
      request.setContentType(exchange.request().getContentType());
    }
    const bool with_body = call.method != "GET" && call.method != "HEAD";
    if (with_body) {
      request.setContentLength64(static_cast<Poco::Int64>(body.size()));
    }
    std::ostream& out = session->sendRequest(request);
    if (with_body) {
      out.write(body.data(), static_cast<std::streamsize>(body.size()));
    }
    out.flush();

    bool caller_sent_early = false;
    while (true) {
      const duration left = end - clock_type::now();
      if (left <= duration{0}) {
        return inner_failure{false, "deadline-exceeded", "",
                             "the inner call to " + call.service + " did not end in time"};
      }
      std::array<pollfd, 2> wanted{
          pollfd{static_cast<int>(session->socket().impl()->sockfd()), POLLIN, 0},
          pollfd{exchange.descriptor(), static_cast<short>(caller_sent_early ? 0 : POLLIN), 0}};
      const auto wait = std::chrono::ceil<milliseconds>(left).count();
      if (::poll(wanted.data(), wanted.size(), static_cast<int>(wait)) <= 0) {
        continue;
      }
      if (wanted[1].revents != 0) {
        if (exchange.closed_by_caller()) {
          // Closing the inner connection cancels the rest of the chain.
          return inner_failure{true, "", "", "the caller has closed the connection"};
        }
        caller_sent_early = true;
      }
      if (wanted[0].revents != 0) {
        break;
      }
    }
    Poco::Net::HTTPResponse response;
    std::istream& in = session->receiveResponse(response);
    std::string content;
    Poco::StreamCopier::copyToString(in, content);
    const int status = response.getStatus();
    const bool whole = !response.hasContentLength() ||
                       static_cast<std::size_t>(response.getContentLength64()) == content.size();
    if (whole && response.getKeepAlive()) {
      const std::lock_guard lock(sessions_mutex_);
      if (sessions_.size() < max_idle_sessions) {
        sessions_.push_back(std::move(session));
      }
    }
    if (!whole) {
      return inner_failure{false, "answer-truncated", "unknown",
                           "the answer of " + call.service + " is truncated"};
    }
    if (status < 200 || status >= 300) {
      return inner_failure{false, response.get("Damaskledge-Reason", ""),
                           response.get("Damaskledge-Outcome", ""),
                           "the inner call to " + call.service + " was answered with status " +
                               std::to_string(status)};
    }
    return std::nullopt;
  } catch (const Poco::Exception& error) {
    return inner_failure{false, "", "",
                         "the inner call to " + call.service + " failed: " + error.displayText()};
  }
}

bool upstream_server::tell_node(const std::string& path) {
  if (settings_.node.port == 0) {
    return false;
  }
  nlohmann::json message{{"service", settings_.service}, {"port", port()}};
  if (path == "/.damaskledge/announce") {
    message["slots"] = settings_.slots;
    message["connections"] = settings_.connections;
    message["health_path"] = "/health";
  }
  const std::string content = message.dump();
  try {
    HTTPClientSession session(settings_.node.address, settings_.node.port);
    session.setTimeout(to_timespan(announce_timeout), to_timespan(announce_timeout),
                       to_timespan(announce_timeout));
    Poco::Net::HTTPRequest request("POST", path, Poco::Net::HTTPRequest::HTTP_1_1);
    request.setContentType("application/json");
    request.setContentLength64(static_cast<Poco::Int64>(content.size()));
    session.sendRequest(request) << content << std::flush;
    Poco::Net::HTTPResponse response;
    std::string ignored;
    Poco::StreamCopier::copyToString(session.receiveResponse(response), ignored);
    return response.getStatus() >= 200 && response.getStatus() < 300;
  } catch (const Poco::Exception& error) {
    VLOG(1) << path << ": " << error.displayText();
    return false;
  }
}

void upstream_server::announce_until_stopped() {
  std::unique_lock lock(mutex_);
  while (!stopping_) {
    bool told = true;
    if (!draining_since_) {
      lock.unlock();
      told = tell_node("/.damaskledge/announce");
      lock.lock();
      ++(told ? counters_.announcements : counters_.failed_announcements);
    }
    stopping_changed_.wait_for(lock, told ? settings_.announce_interval : announce_retry_interval,
                               [this] { return stopping_; });
  }
}

void upstream_server::drain() {
  {
    const std::lock_guard lock(mutex_);
    if (draining_since_) {
      return;
    }
    draining_since_ = clock_type::now();
  }
  if (settings_.node.port != 0 && !tell_node("/.damaskledge/drain")) {
    LOG(WARNING) << "the node at " << to_string(settings_.node) << " did not accept the drain";
  }
}

void upstream_server::leave() {
  drain();
  constexpr milliseconds check_interval{10};
  while (!drained()) {
    std::this_thread::sleep_for(check_interval);
  }
  while (true) {
    const upstream_counters now = counters();
    if (now.running == 0 && now.waiting == 0) {
      break;
    }
    std::this_thread::sleep_for(check_interval);
  }
  if (settings_.node.port != 0 && !tell_node("/.damaskledge/leave")) {
    LOG(WARNING) << "the node at " << to_string(settings_.node) << " did not accept the leave";
  }
}

void upstream_server::control(http_exchange& exchange, const std::string& path) {
  const auto text = exchange.body(max_body_bytes);
  if (path == "/control/drain" && exchange.method() == "POST") {
    drain();
    exchange.answer(200, R"({"draining":true})");
    return;
  }
  if (path == "/control/executions" && exchange.method() == "GET") {
    exchange.answer(200, nlohmann::json{{"service", settings_.service},
                                        {"leaked_keys", counters().leaked_keys},
                                        {"executions", executions()}});
    return;
  }
  if (path != "/control") {
    exchange.answer(404, R"({"error":"no such control path"})");
    return;
  }
  if (exchange.method() == "POST") {
    const auto wanted = nlohmann::json::parse(text.value_or(""), nullptr, false);
    if (!wanted.is_object()) {
      exchange.answer(400, R"({"error":"the body must be a JSON object"})");
      return;
    }
    upstream_behaviour next = behaviour();
    try {
      next.slowdown = wanted.value("slowdown", next.slowdown);
      next.body_bytes = wanted.value("body_bytes", next.body_bytes);
      next.health = wanted.value("health", next.health);
      next.truncate_answers = wanted.value("truncate_answers", next.truncate_answers);
      next.lose_answers = wanted.value("lose_answers", next.lose_answers);
    } catch (const nlohmann::json::exception& error) {
      exchange.answer(400, nlohmann::json{{"error", error.what()}});
      return;
    }
    if (!(next.slowdown >= 0) || next.slowdown > 10'000) {
      exchange.answer(400, R"({"error":"slowdown must be between 0 and 10000"})");
      return;
    }
    set_behaviour(next);
  }
  const upstream_counters seen = counters();
  exchange.answer(200, nlohmann::json{{"service", settings_.service},
                                      {"port", port()},
                                      {"executed", seen.executed},
                                      {"completed", seen.completed},
                                      {"refused_queue_full", seen.refused_queue_full},
                                      {"refused_draining", seen.refused_draining},
                                      {"refused_deadline", seen.refused_deadline},
                                      {"cancelled_waiting", seen.cancelled_waiting},
                                      {"cancelled_running", seen.cancelled_running},
                                      {"expired_running", seen.expired_running},
                                      {"inner_calls", seen.inner_calls},
                                      {"inner_failures", seen.inner_failures},
                                      {"leaked_keys", seen.leaked_keys},
                                      {"announcements", seen.announcements},
                                      {"failed_announcements", seen.failed_announcements},
                                      {"running", seen.running},
                                      {"waiting", seen.waiting},
                                      {"highest_running", seen.highest_running},
                                      {"connections", server_->connections()},
                                      {"highest_connections", server_->highest_connections()},
                                      {"refused_connections", server_->refused_connections()},
                                      {"draining", drained()}});
}

} // namespace damaskledge::stand_ins
