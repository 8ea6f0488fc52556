/// @file
/// Stand-in for the platform's object API (docs/design.md section 4.3), in memory only.
#pragma once

#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "platform/platform.h"
#include "stand_ins/http_server.h"

namespace damaskledge::stand_ins {

struct platform_settings {
  endpoint address{"127.0.0.1", 0};
  std::uint32_t connections = 1'024;
  double reads_per_second = 2'000;
  double writes_per_second = 400;
};

/// Faults that a test switches on; `POST /control` sets the members that it names.
struct platform_faults {
  /// Connections are closed without an answer, waiting watches too.
  bool outage = false;
  /// Added to every call before it takes effect.
  std::int64_t latency_ms = 0;
  /// The next writes and removals take effect, and their connection is closed without an answer.
  std::uint64_t lose_write_answers = 0;
  /// The next reads return the version before the current one.
  std::uint64_t stale_reads = 0;
  /// The next answers with content end in the middle.
  std::uint64_t truncate_answers = 0;
  /// The next answers carry an ETag that is not a version.
  std::uint64_t malformed_etags = 0;
  /// The next answers have `failure_status`.
  std::uint64_t failures = 0;
  int failure_status = 503;
  /// The next reads return a body of this many bytes.
  std::uint64_t oversized_answers = 0;
  std::uint64_t oversized_bytes = 3'000'000;
};

/// What the stand-in counted; `GET /control` serves it. Refused calls count too.
struct platform_counters {
  std::uint64_t reads = 0;
  std::uint64_t lists = 0;
  std::uint64_t watches = 0;
  std::uint64_t writes = 0;
  std::uint64_t erases = 0;
  std::uint64_t conflicts = 0;
  std::uint64_t rate_limited = 0;
  std::uint64_t closed_in_outage = 0;
  std::uint64_t lost_write_answers = 0;
  std::uint64_t waiting_watches = 0;
};

/// The object API and its control interface on one port.
class platform_server {
 public:
  explicit platform_server(const platform_settings& settings);
  platform_server(const platform_server&) = delete;
  platform_server& operator=(const platform_server&) = delete;
  ~platform_server();

  [[nodiscard]] std::uint16_t port() const { return server_->port(); }
  [[nodiscard]] endpoint address() const { return {settings_.address.address, port()}; }
  [[nodiscard]] std::uint64_t connections_accepted() const {
    return server_->accepted_connections();
  }
  void set_faults(const platform_faults& faults);
  [[nodiscard]] platform_faults faults() const;
  [[nodiscard]] platform_counters counters() const;
  /// Copies all objects, for `restore`.
  void save();
  /// Goes back to the copy: later writes are gone, and versions are given out again.
  void restore();
  /// @return version of an object; 0 when it does not exist.
  [[nodiscard]] std::uint64_t version(const std::string& name) const;

 private:
  struct stored_object {
    /// Rises by one with each write and each removal.
    std::uint64_t version = 0;
    bool exists = false;
    std::string content;
    bool previous_exists = false;
    std::string previous_content;
  };

  void handle(http_exchange& exchange);
  void control(http_exchange& exchange);
  void list(http_exchange& exchange);
  void read(http_exchange& exchange, const std::string& name);
  void watch(http_exchange& exchange, const std::string& name);
  void update(http_exchange& exchange, const std::string& name);
  /// Takes one call from a budget.
  /// @return false when the call was answered with 429.
  bool admit(http_exchange& exchange, platform::call_budget& budget);
  /// Answers with an object, as the faults say.
  void send_object(http_exchange& exchange, std::uint64_t version, const std::string& content);
  bool outage() const;

  const platform_settings settings_;
  /// Guards the members below; never held during output.
  mutable std::mutex mutex_;
  std::condition_variable changed_;
  bool stopping_ = false;
  std::map<std::string, stored_object> objects_;
  std::map<std::string, stored_object> saved_objects_;
  /// Rises with each restoration; every answer names it.
  std::uint64_t era_ = 1;
  platform::call_budget reads_;
  platform::call_budget writes_;
  platform_faults faults_;
  platform_counters counters_;
  std::unique_ptr<http_server> server_;
};

} // namespace damaskledge::stand_ins
