#include <algorithm>
#include <atomic>
#include <charconv>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <queue>
#include <random>
#include <thread>
#include <tuple>
#include <utility>

#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <nlohmann/json.hpp>

#include "http/http.h"
#include "load/load.h"

namespace damaskledge::load {

namespace {

using Poco::Net::HTTPResponse;

/// How long the tool waits for an answer beyond the deadline that it asked for.
constexpr milliseconds answer_margin{500};
/// Time after which a caller that went to another node tries its own again.
constexpr seconds home_retry_interval{1};
constexpr http::message_limits answer_limits{65'536, 16'777'216};
constexpr milliseconds executions_timeout{60'000};
constexpr http::message_limits executions_limits{65'536, 1UL << 30U};
/// Longest pause that a refusal can ask for.
constexpr seconds max_retry_after{30};

/// An attempt that is to be made.
struct task {
  std::uint32_t arrival = 0;
  std::uint32_t attempt = 1;
  duration intended{0};
};

struct later {
  bool operator()(const task& a, const task& b) const { return a.intended > b.intended; }
};

Poco::Timespan to_timespan(duration value) {
  return {std::max<std::int64_t>(
      1'000, std::chrono::duration_cast<std::chrono::microseconds>(value).count())};
}

std::string replace_all(std::string text, std::string_view name, std::string_view value) {
  for (std::size_t at = text.find(name); at != std::string::npos;
       at = text.find(name, at + value.size())) {
    text.replace(at, name.size(), value);
  }
  return text;
}

std::optional<refusal_reason> parse_reason(const std::string& name) {
  for (int it = 0; it <= static_cast<int>(refusal_reason::deadline_exceeded); ++it) {
    if (to_string(static_cast<refusal_reason>(it)) == name) {
      return static_cast<refusal_reason>(it);
    }
  }
  return std::nullopt;
}

std::string field(const http::response& response, std::string_view name) {
  const std::string* value = response.fields.find(name);
  return value == nullptr ? "" : *value;
}

milliseconds parse_retry_after(const http::response& response) {
  const std::string text = field(response, "Retry-After");
  unsigned value = 0;
  const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (ec != std::errc{} || end != text.data() + text.size()) {
    return milliseconds{0};
  }
  return std::min<seconds>(seconds{value}, max_retry_after);
}

/// @return a UUIDv7 (RFC 9562) of the current time, whose other bits come from the seed and
/// the arrival, so that all attempts of a call have the same one.
std::string operation_id(unix_milliseconds created, std::uint64_t seed, std::uint32_t arrival) {
  const std::string place = std::to_string(seed) + "/" + std::to_string(arrival);
  const id128 hash = hash_parts({place, std::to_string(created)});
  id128 id;
  id.high = static_cast<std::uint64_t>(created) << 16U | 0x7000U | (hash.high & 0x0FFFU);
  id.low = 0x8000'0000'0000'0000U | (hash.low & 0x3FFF'FFFF'FFFF'FFFFU);
  std::string text = to_string(id);
  for (const std::size_t at : {8U, 13U, 18U, 23U}) {
    text.insert(at, "-");
  }
  return text;
}

/// A stream of arrivals with its own scheduler and workers: one goes through the nodes, and
/// one may go to an upstream directly.
class stream {
 public:
  stream(const scenario& value, std::vector<arrival> arrivals, std::vector<endpoint> targets,
         bool direct, const key_map& keys, std::uint64_t seed)
      : scenario_(value), arrivals_(std::move(arrivals)), targets_(std::move(targets)),
        direct_(direct), keys_(keys), seed_(seed), created_(unix_now()), queues_(targets_.size()) {
    // Each target gets at least one connection, however small the bound is.
    const std::size_t workers = std::max<std::size_t>(value.connections, targets_.size());
    records_.resize(workers);
    for (std::size_t it = 0; it < workers; ++it) {
      workers_.emplace_back([this, it] { work(it % targets_.size(), records_[it]); });
    }
  }
  stream(const stream&) = delete;
  stream& operator=(const stream&) = delete;
  ~stream() {
    close();
    for (std::thread& it : workers_) {
      it.join();
    }
  }

  /// Sends all arrivals and their retries; returns when all attempts have ended.
  void run(time_point start) {
    {
      const std::lock_guard lock(mutex_);
      start_ = start;
    }
    std::unique_lock lock(mutex_);
    std::size_t next = 0;
    while (next < arrivals_.size() || !retries_.empty() || unfinished_ > 0) {
      const bool retry = !retries_.empty() &&
                         (next >= arrivals_.size() || retries_.top().intended < arrivals_[next].at);
      if (!retry && next >= arrivals_.size()) {
        scheduler_wanted_.wait(lock);
        continue;
      }
      const task it =
          retry ? retries_.top() : task{static_cast<std::uint32_t>(next), 1, arrivals_[next].at};
      if (clock_type::now() < start_ + it.intended) {
        // A retry that comes in meanwhile may be due earlier.
        scheduler_wanted_.wait_until(lock, start_ + it.intended);
        continue;
      }
      if (retry) {
        retries_.pop();
      } else {
        ++next;
      }
      ++unfinished_;
      // A caller's attempts go to different nodes.
      queue& home = queues_[(it.arrival + it.attempt) % queues_.size()];
      home.tasks.push_back(it);
      home.wanted.notify_one();
    }
  }

  [[nodiscard]] std::vector<attempt_record> take_records() {
    close();
    for (std::thread& it : workers_) {
      it.join();
    }
    workers_.clear();
    std::vector<attempt_record> result;
    for (auto& it : records_) {
      result.insert(result.end(), it.begin(), it.end());
    }
    std::sort(result.begin(), result.end(), [](const attempt_record& a, const attempt_record& b) {
      return std::tie(a.intended, a.arrival, a.attempt) <
             std::tie(b.intended, b.arrival, b.attempt);
    });
    return result;
  }

  [[nodiscard]] std::vector<arrival> take_arrivals() { return std::move(arrivals_); }
  [[nodiscard]] std::uint64_t opened_connections() const { return opened_connections_.load(); }

 private:
  struct queue {
    std::deque<task> tasks;
    std::condition_variable wanted;
  };

  /// A worker's connection.
  struct connection {
    std::unique_ptr<http::client_connection> link;
    std::size_t target = 0;
    time_point left_home{};
  };

  void close() {
    const std::lock_guard lock(mutex_);
    closed_ = true;
    for (queue& it : queues_) {
      it.wanted.notify_all();
    }
  }

  const call_template& call_of(const task& it) const {
    const arrival& what = arrivals_[it.arrival];
    return scenario_.accounts[what.account].calls[what.call];
  }

  void work(std::size_t home, std::vector<attempt_record>& records) {
    connection own;
    own.target = home;
    std::unique_lock lock(mutex_);
    while (true) {
      queue& tasks = queues_[home];
      tasks.wanted.wait(lock, [&] { return closed_ || !tasks.tasks.empty(); });
      if (tasks.tasks.empty()) {
        return;
      }
      const task it = tasks.tasks.front();
      tasks.tasks.pop_front();
      const time_point start = start_;
      lock.unlock();
      attempt_record record = attempt(it, home, own, start);
      const auto again = next_attempt(it, record);
      record.last = !again.has_value();
      records.push_back(record);
      lock.lock();
      if (again) {
        retries_.push(*again);
      }
      --unfinished_;
      scheduler_wanted_.notify_one();
    }
  }

  /// @return the attempt that the caller makes next, or nothing.
  std::optional<task> next_attempt(const task& it, const attempt_record& record) {
    const arrival& what = arrivals_[it.arrival];
    const retry_policy& policy = retries_at(scenario_, what.account, what.at);
    const bool retryable =
        record.result == result_kind::timed_out ||
        record.result == result_kind::connection_failed ||
        ((record.result == result_kind::refused || record.result == result_kind::failed) &&
         (record.status == HTTPResponse::HTTP_TOO_MANY_REQUESTS || record.status >= 500));
    if (direct_ || !retryable || it.attempt >= policy.attempts) {
      return std::nullopt;
    }
    // Drawn from the arrival, so that all attempts of a call have the same caller.
    const std::uint64_t draw =
        hash64("caller/" + std::to_string(seed_) + "/" + std::to_string(it.arrival));
    if (static_cast<double>(draw >> 11U) * 0x1.0p-53 >= policy.fraction) {
      return std::nullopt;
    }
    duration pause{0};
    if (policy.pause > milliseconds{0}) {
      std::mt19937_64 random(draw + it.attempt);
      const double mean = std::chrono::duration<double>(policy.pause).count();
      pause = std::chrono::duration_cast<duration>(
          std::chrono::duration<double>(std::exponential_distribution<double>(1 / mean)(random)));
    }
    if (policy.honour_retry_after) {
      pause += record.retry_after;
    }
    return task{it.arrival, it.attempt + 1, record.ended + pause};
  }

  /// Makes one attempt and waits for its answer.
  attempt_record attempt(const task& it, std::size_t home, connection& own, time_point start) {
    const call_template& call = call_of(it);
    attempt_record result;
    result.arrival = it.arrival;
    result.attempt = it.attempt;
    result.intended = it.intended;
    const auto elapsed = [start] { return clock_type::now() - start; };
    if (elapsed() - it.intended > call.deadline) {
      result.sent = result.ended = elapsed();
      result.result = result_kind::not_sent;
      return result;
    }
    std::this_thread::sleep_for(scenario_.caller_delay);
    result.sent = elapsed() - scenario_.caller_delay;
    exchange(it, home, own, result);
    std::this_thread::sleep_for(scenario_.caller_delay);
    result.ended = elapsed();
    if (result.result == result_kind::good && result.ended - result.intended > call.deadline) {
      result.result = result_kind::late;
    }
    return result;
  }

  /// Opens the worker's connection, to its own target if that can be reached.
  /// @return false when no target can be reached.
  bool connect(std::size_t home, connection& own, duration timeout) {
    if (own.link && own.target != home &&
        clock_type::now() - own.left_home >= home_retry_interval) {
      own.link.reset();
    }
    if (own.link && own.link->stale()) {
      own.link.reset();
    }
    for (std::size_t n = 0; !own.link && n < targets_.size(); ++n) {
      const std::size_t target = (home + n) % targets_.size();
      try {
        Poco::Net::StreamSocket socket;
        socket.connect(Poco::Net::SocketAddress(targets_[target].address, targets_[target].port),
                       to_timespan(timeout));
        socket.setNoDelay(true);
        own.link = std::make_unique<http::client_connection>(socket, answer_limits);
        own.target = target;
        own.left_home = clock_type::now();
        opened_connections_.fetch_add(1);
      } catch (const Poco::Exception&) { // NOLINT(bugprone-empty-catch)
        // A caller whose node cannot be reached goes to the next one.
      }
    }
    return own.link != nullptr;
  }

  void exchange(const task& it, std::size_t home, connection& own, attempt_record& result) {
    const arrival& what = arrivals_[it.arrival];
    const account_demand& account = scenario_.accounts[what.account];
    const call_template& call = account.calls[what.call];
    const time_point give_up = clock_type::now() + call.deadline + answer_margin;
    if (!connect(home, own, call.deadline)) {
      result.result = result_kind::connection_failed;
      return;
    }
    const std::string call_id =
        (direct_ ? "d" : "n") + std::to_string(seed_) + "-" + std::to_string(it.arrival);
    const std::string operation = operation_id(created_, seed_, it.arrival);
    std::string request_id = direct_ ? "direct-" + call_id : std::string{};
    std::string path = replace_all(call.path, "{operation}", operation);
    path += (path.find('?') == std::string::npos ? "?call=" : "&call=") + call_id;
    const std::string body =
        replace_all(replace_all(call.body, "{operation}", operation), "{call}", call_id);
    http::outgoing_request request{call.method, path, {}, body};
    request.fields.add("Host", to_string(targets_[own.target]));
    if (direct_) {
      request.fields.add("Damaskledge-Account", account.name);
      request.fields.add("Damaskledge-Request-Id", request_id);
      request.fields.add("Damaskledge-Deadline-Ms", std::to_string(call.deadline.count()));
    } else {
      request.fields.add("Authorization", "Bearer " + keys_.at(account.name));
      request.fields.add("Damaskledge-Timeout-Ms", std::to_string(call.deadline.count()));
    }
    if (call.operation == operation_place::header) {
      request.fields.add("Idempotency-Key", operation);
    }
    if (!body.empty() || call.method != "GET") {
      request.fields.add("Content-Type", "application/json");
    }
    bool keep = false;
    try {
      own.link->send(request, give_up);
      const auto failure = own.link->receive(give_up);
      if (failure && !failure->in_body) {
        result.result = result_kind::connection_failed;
      } else {
        const http::response& response = own.link->message();
        result.status = response.status;
        if (!direct_) {
          request_id = field(response, "Damaskledge-Request-Id");
        }
        const bool whole = !failure && !own.link->until_close();
        classify(response, whole, call_id, request_id, result);
        keep = own.link->reusable();
      }
    } catch (const Poco::TimeoutException&) {
      result.result = result_kind::timed_out;
    } catch (const Poco::Exception&) {
      result.result = result_kind::connection_failed;
    }
    if (!keep) {
      own.link.reset();
    }
  }

  void classify(const http::response& response, bool whole, const std::string& call_id,
                const std::string& request_id, attempt_record& result) const {
    const std::string& content = response.body;
    result.replayed = field(response, "Damaskledge-Replayed") == "true";
    if (result.status >= 200 && result.status < 300) {
      // A replayed answer carries the request id of the run that it came from.
      const bool own = result.replayed ? content.find("|" + call_id + "|") != std::string::npos
                                       : content.ends_with("|" + call_id + "|" + request_id);
      result.result =
          whole && (own || !scenario_.check_answers) ? result_kind::good : result_kind::wrong;
      return;
    }
    result.retry_after = parse_retry_after(response);
    const std::string reason = field(response, "Damaskledge-Reason");
    if (field(response, "Damaskledge-Outcome") == to_string(outcome::not_run)) {
      result.state = outcome::not_run;
    }
    result.reason = parse_reason(reason);
    result.result = result.reason ? result_kind::refused : result_kind::failed;
  }

  const scenario& scenario_;
  std::vector<arrival> arrivals_;
  const std::vector<endpoint> targets_;
  const bool direct_;
  const key_map& keys_;
  const std::uint64_t seed_;
  const unix_milliseconds created_;
  std::atomic<std::uint64_t> opened_connections_{0};
  /// Guards the members below except the records, of which each worker has its own.
  std::mutex mutex_;
  std::condition_variable scheduler_wanted_;
  std::vector<queue> queues_;
  std::priority_queue<task, std::vector<task>, later> retries_;
  std::size_t unfinished_ = 0;
  bool closed_ = false;
  time_point start_{};
  std::vector<std::vector<attempt_record>> records_;
  std::vector<std::thread> workers_;
};

std::vector<arrival> arrivals_of_service(const scenario& value, std::vector<arrival> arrivals,
                                         const std::string& service) {
  if (!service.empty()) {
    std::erase_if(arrivals, [&](const arrival& it) {
      return !value.accounts[it.account].calls[it.call].path.starts_with("/" + service + "/");
    });
  }
  return arrivals;
}

} // namespace

leaf::result<run_result> run(const scenario& value, const run_options& options) {
  if (value.nodes.empty()) {
    return leaf::new_error(environment_error{"the scenario names no nodes",
                                             "list them under \"nodes\" or with --nodes"});
  }
  for (const account_demand& it : value.accounts) {
    if (!options.keys.contains(it.name)) {
      return leaf::new_error(environment_error{"there is no key for account " + it.name,
                                               "add it to the file given with --keys"});
    }
  }
  run_result result;
  // Everything is ready before the first send, so that the start is not late.
  constexpr milliseconds lead{100};
  stream through_nodes(value, make_arrivals(value, value.seed), value.nodes, false, options.keys,
                       value.seed);
  std::unique_ptr<stream> direct;
  if (options.direct.port != 0) {
    // Independent arrivals of the same rates: both streams meet the same states of the
    // upstream, and neither always comes second.
    const std::uint64_t seed = hash64("direct/" + std::to_string(value.seed));
    direct = std::make_unique<stream>(
        value, arrivals_of_service(value, make_arrivals(value, seed), options.direct_service),
        std::vector<endpoint>{options.direct}, true, options.keys, seed);
  }
  const time_point start = clock_type::now() + lead;
  if (options.starting) {
    options.starting(unix_now() + lead.count());
  }
  std::thread direct_thread;
  if (direct) {
    direct_thread = std::thread([&] { direct->run(start); });
  }
  through_nodes.run(start);
  if (direct_thread.joinable()) {
    direct_thread.join();
  }
  result.attempts = through_nodes.take_records();
  result.arrivals = through_nodes.take_arrivals();
  result.opened_connections = through_nodes.opened_connections();
  if (direct) {
    result.direct_attempts = direct->take_records();
    result.direct_arrivals = direct->take_arrivals();
  }
  return result;
}

leaf::result<executions_result> fetch_executions(const std::vector<endpoint>& upstreams) {
  executions_result result;
  for (const endpoint& it : upstreams) {
    const auto [answer, error] = http::fetch(it, {"GET", "/control/executions", {}, {}},
                                             executions_timeout, executions_limits);
    if (!answer) {
      return leaf::new_error(
          environment_error{"no execution log from " + to_string(it) + ": " + error,
                            "give the addresses of upstream stand-ins that run"});
    }
    try {
      const auto document = nlohmann::json::parse(answer->body);
      result.leaked_keys += document.at("leaked_keys").get<std::uint64_t>();
      for (const auto& line : document.at("executions")) {
        std::string operation = line.value("operation", "");
        if (operation.empty() && line.contains("dispatch_number")) {
          operation = line.at("dispatch_number").dump();
        }
        result.executions.push_back(
            {line.at("service"), line.value("account", ""), std::move(operation)});
      }
    } catch (const nlohmann::json::exception& problem) {
      return leaf::new_error(
          environment_error{"no execution log from " + to_string(it) + ": " + problem.what(),
                            "give the addresses of upstream stand-ins"});
    }
  }
  return result;
}

} // namespace damaskledge::load
