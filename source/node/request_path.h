/// @file
/// Decides on one request and forwards it: identity, admission, claim, attempts, answer.
#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "admission/admission.h"
#include "common/common.h"
#include "config/config.h"
#include "node/control_plane.h"
#include "node/dispatcher.h"
#include "node/reporter.h"
#include "node/upstream_client.h"
#include "routing/routing.h"

namespace damaskledge::node {

/// A request as read from a caller or from an upstream of this VM.
struct caller_request {
  std::string method;
  /// Path and query as sent.
  std::string target;
  header_list headers;
  /// True when it came to the local port: an inner call with a context instead of a key.
  bool inner = false;
  /// Descriptor of the connection, watched for a disconnect.
  int socket = -1;
  time_point arrived{};
  /// Reads the whole body, or says why it can't be read.
  std::function<std::variant<std::string, refusal>(time_point deadline)> read_body;

  /// @return the value of the header, compared without case, or an empty string.
  std::string_view header(std::string_view name) const;
};

/// What is written back.
struct caller_answer {
  int status = 0;
  header_list headers;
  std::string body;
  /// False when the caller's body was not read, so that the connection can't be reused.
  bool keep_alive = true;
};

/// @return the answer that tells a refusal; see docs/callers.md.
caller_answer refusal_answer(const refusal& why, const std::string& request_id);

/// The decisions of a node on its requests. Thread-safe.
class request_path {
 public:
  request_path(const config::node_settings& settings, control_plane& control, dispatcher& routes,
               crash_guard& crashes, upstream_client& client, reporter& reports);

  caller_answer handle(caller_request& request);
  /// Drops state of contexts that are past their deadline.
  void tick(time_point now);

  static constexpr std::size_t max_answer_bytes = 16'777'216;

 private:
  /// What is known of a request while it is handled.
  struct call {
    explicit call(caller_request& value) : request(value) {}
    caller_request& request;
    request_report report;
    std::shared_ptr<const core::rules_in_force> rules;
    std::string service;
    /// Path and query below the service, without the key.
    std::string path;
    const config::route* route = nullptr;
    std::string key;
    admission::rule_book::identity identity;
    std::optional<routing::context> parent;
    damaskledge::importance importance = damaskledge::importance::normal;
    time_point deadline{};
    std::uint32_t retries = 0;
    std::uint32_t depth = 0;
    std::string body;
    bool body_read = false;
    id128 fingerprint;
    std::optional<id128> operation;
    /// Identity under which the operation is claimed.
    id128 claimant;
    bool claimed = false;
    /// True once an attempt was sent that is not known not to have run.
    bool anything_sent = false;
  };
  using step_result = std::optional<refusal>;

  step_result find_route_step(call& it);
  step_result identify(call& it);
  step_result identify_by_key(call& it) const;
  step_result identify_by_context(call& it);
  void set_deadline(call& it) const;
  step_result read_body_step(call& it);
  step_result admit(call& it);
  step_result name_operation(call& it) const;
  /// @return an answer when the claim decides it, or nothing when the request may run.
  std::optional<std::variant<caller_answer, refusal>> claim(call& it);
  std::variant<caller_answer, refusal> run_attempts(call& it);
  attempt_outcome run_attempt(call& it, const routing::target_table::choice& target);
  upstream_request make_request(const call& it, const routing::context& context,
                                const std::string& attempt) const;
  void note_crash(const call& it, const routing::target_table::choice& target,
                  const attempt_outcome& outcome);
  bool may_retry(const call& it, const attempt_outcome& outcome, bool not_run) const;
  void settle_claim(const call& it, const std::variant<caller_answer, refusal>& result);
  caller_answer answer_of(const call& it, upstream_answer answer) const;
  caller_answer refuse(const call& it, const refusal& why) const;

  const config::node_settings& settings_;
  control_plane& control_;
  dispatcher& routes_;
  crash_guard& crashes_;
  upstream_client& client_;
  reporter& reports_;
  std::mutex contexts_mutex_;
  routing::context_table contexts_;
};

} // namespace damaskledge::node
