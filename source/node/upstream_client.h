/// @file
/// Kept-alive HTTP connections to targets, and one attempt of a request over them.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include "common/common.h"
#include "node/cut_filter.h"
#include "node/headers.h"

namespace damaskledge::node {

/// What is sent to the upstream.
struct upstream_request {
  std::string method;
  std::string target;
  header_list headers;
  std::string_view body;
  /// Identity of this attempt; an upstream that echoes another one answered another request.
  std::string attempt;
};

struct upstream_answer {
  int status = 0;
  std::string reason;
  header_list headers;
  std::string body;
};

/// How an attempt ended.
enum class attempt_result : std::uint8_t {
  answered,
  /// No connection; nothing was sent.
  connect_failed,
  /// The connection broke before any byte was sent.
  broken_before_send,
  /// The connection broke after the first byte: the outcome is unknown.
  broken,
  /// The body was shorter than announced or its end could not be verified.
  truncated,
  /// The answer belongs to another request.
  mismatched,
  timed_out,
  /// The deadline passed before anything was sent.
  timed_out_before_send,
  /// The caller went away.
  cancelled,
};

struct attempt_outcome {
  attempt_result result = attempt_result::broken;
  upstream_answer answer;
  /// From the first byte sent to the last byte received.
  duration latency{0};
};

/// Pool of connections to targets. Thread-safe.
class upstream_client {
 public:
  explicit upstream_client(const cut_filter& cuts);
  ~upstream_client();
  upstream_client(const upstream_client&) = delete;
  upstream_client& operator=(const upstream_client&) = delete;

  /// Runs one attempt.
  /// @param caller_socket descriptor of the caller's connection, watched for a disconnect; -1
  /// when there is none.
  /// @param max_connections connections that may be kept open to this target.
  attempt_outcome run(const endpoint& target, const upstream_request& request, time_point deadline,
                      int caller_socket, std::uint32_t max_connections,
                      std::size_t max_answer_bytes);
  /// @return true when nothing listens at the target: its process has ended. A paused process
  /// or a partition gives a timeout instead and counts as false.
  bool refuses_connections(const endpoint& target) const;
  /// Closes idle connections that are old or whose target is gone.
  void tick(time_point now);

 private:
  struct connection;
  struct target_row {
    std::vector<std::unique_ptr<connection>> idle;
  };

  std::unique_ptr<connection> take(time_point now, const endpoint& target);
  std::unique_ptr<connection> connect(const endpoint& target, time_point deadline,
                                      std::size_t max_answer_bytes) const;
  void give_back(time_point now, const endpoint& target, std::unique_ptr<connection> used,
                 std::uint32_t max_connections);
  attempt_outcome exchange(connection& used, const upstream_request& request, time_point deadline,
                           int caller_socket) const;

  const cut_filter& cuts_;
  std::mutex mutex_;
  std::map<endpoint, target_row> targets_;
};

} // namespace damaskledge::node
