/// @file
/// Stand-in for an upstream service (docs/design.md section 4.2).
#pragma once

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <fstream>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include <Poco/Net/HTTPClientSession.h>

#include "stand_ins/http_server.h"

namespace damaskledge::stand_ins {

/// A call that an upstream makes for each request that it runs.
struct inner_call {
  /// Service called, for the counters.
  std::string service;
  std::string method;
  /// Path at the local node, with the service.
  std::string path;

  bool operator==(const inner_call&) const = default;
};

/// Parses "service:METHOD:/path", several separated by commas.
/// @return the calls, or nothing when the text has another form.
std::optional<std::vector<inner_call>> parse_inner_calls(std::string_view text);

enum class service_time_distribution : std::uint8_t { constant, exponential, lognormal };
/// @return the distribution of that name, or nothing.
std::optional<service_time_distribution> parse_distribution(std::string_view name);

struct upstream_settings {
  std::string service = "upstream";
  endpoint address{"127.0.0.1", 0};
  /// Local port of the VM's node; port 0 means that there is none.
  endpoint node;
  std::uint32_t slots = 16;
  std::uint32_t connections = 256;
  /// Requests that may wait for a slot.
  std::uint32_t queue = 64;
  /// Mean service time.
  double service_time_ms = 10;
  service_time_distribution distribution = service_time_distribution::exponential;
  std::uint64_t seed = 1;
  /// Added to the first request of each connection.
  double connection_cost_ms = 1;
  /// For this long after the start, requests take up to `cold_start_factor` times as long.
  double cold_start_ms = 0;
  double cold_start_factor = 4;
  /// Time between telling the node about a drain and refusing work.
  milliseconds drain_grace{3'000};
  milliseconds announce_interval{2'000};
  /// Smallest size of an answer's body.
  std::size_t body_bytes = 256;
  std::vector<inner_call> inner;
  /// File of the execution log; empty for none.
  std::string log_file;
};

/// Behaviour that can be changed while the stand-in runs; `POST /control` sets the members
/// that it names.
struct upstream_behaviour {
  double slowdown = 1;
  std::size_t body_bytes = 256;
  /// What /health says, whatever the load is.
  std::string health = "ok";
  /// The next requests run and are answered with half of their body.
  std::uint64_t truncate_answers = 0;
  /// The next requests run and their connection is closed without an answer.
  std::uint64_t lose_answers = 0;
};

/// `GET /control` serves these.
struct upstream_counters {
  /// Requests that got a slot.
  std::uint64_t executed = 0;
  std::uint64_t completed = 0;
  std::uint64_t refused_queue_full = 0;
  std::uint64_t refused_draining = 0;
  std::uint64_t refused_deadline = 0;
  /// Requests whose caller closed the connection while they waited for a slot.
  std::uint64_t cancelled_waiting = 0;
  /// Requests whose work was stopped because the caller closed the connection.
  std::uint64_t cancelled_running = 0;
  /// Requests whose work was stopped at the deadline.
  std::uint64_t expired_running = 0;
  std::uint64_t inner_calls = 0;
  std::uint64_t inner_failures = 0;
  /// Requests with a header or path that contains a caller's key.
  std::uint64_t leaked_keys = 0;
  std::uint64_t announcements = 0;
  std::uint64_t failed_announcements = 0;
  std::uint64_t running = 0;
  std::uint64_t waiting = 0;
  std::uint64_t highest_running = 0;
};

/// The service, its announcements and its control interface on one port.
///
/// An answer's body ends in "|<value of the query parameter call>|<request id>", so that a
/// caller can check that it got the whole answer to its own request.
class upstream_server {
 public:
  /// Exit status of the process when a request crashes it.
  static constexpr int crash_status = 13;

  explicit upstream_server(upstream_settings settings);
  upstream_server(const upstream_server&) = delete;
  upstream_server& operator=(const upstream_server&) = delete;
  ~upstream_server();

  [[nodiscard]] std::uint16_t port() const { return server_->port(); }
  [[nodiscard]] endpoint address() const { return {settings_.address.address, port()}; }
  [[nodiscard]] upstream_counters counters() const;
  void set_behaviour(const upstream_behaviour& behaviour);
  [[nodiscard]] upstream_behaviour behaviour() const;
  /// @return the execution log's latest lines.
  [[nodiscard]] std::vector<nlohmann::json> executions() const;
  /// @return true when a drain was requested and its grace time has passed.
  [[nodiscard]] bool drained() const;

  /// Tells the node to send no more work, and refuses work after the grace time.
  void drain();
  /// Drains, waits for the work in progress, and tells the node that the service has left.
  void leave();

 private:
  struct waiter {
    std::condition_variable granted;
    bool has_slot = false;
  };

  enum class slot_result : std::uint8_t { granted, queue_full, deadline_passed, cancelled };
  enum class work_result : std::uint8_t { done, cancelled, deadline_passed };
  /// Answer of a failed inner call, or nothing when all succeeded.
  struct inner_failure {
    bool cancelled = false;
    std::string reason;
    std::string outcome;
    std::string detail;
  };

  void handle(http_exchange& exchange);
  void control(http_exchange& exchange, const std::string& path);
  void serve(http_exchange& exchange);
  /// @return false when the service refuses all work.
  bool accepts_work() const;
  slot_result take_slot(http_exchange& exchange, std::optional<time_point> deadline);
  void release_slot();
  work_result work(http_exchange& exchange, duration time, std::optional<time_point> deadline);
  duration draw_service_time();
  void record(const nlohmann::json& line);
  std::optional<inner_failure> call_inner(http_exchange& exchange, const std::string& body,
                                          std::optional<time_point> deadline);
  std::optional<inner_failure> call_one(http_exchange& exchange, const inner_call& call,
                                        const std::string& body,
                                        std::optional<time_point> deadline);
  /// Sends one message to the node.
  /// @return true when the node answered with 2xx.
  bool tell_node(const std::string& path);
  void announce_until_stopped();

  const upstream_settings settings_;
  const time_point started_at_;
  mutable std::mutex mutex_;
  std::condition_variable stopping_changed_;
  bool stopping_ = false;
  std::optional<time_point> draining_since_;
  std::deque<waiter*> waiters_;
  std::mt19937_64 random_;
  upstream_behaviour behaviour_;
  upstream_counters counters_;
  std::mutex log_mutex_;
  std::ofstream log_;
  std::deque<nlohmann::json> executions_;
  std::mutex sessions_mutex_;
  std::vector<std::unique_ptr<Poco::Net::HTTPClientSession>> sessions_;
  std::unique_ptr<http_server> server_;
  std::thread announcer_;
};

} // namespace damaskledge::stand_ins
