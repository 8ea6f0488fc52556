/// @file
/// Routing of requests that arrive at this VM: authentication, account rates, entry admission,
/// selection of the node that runs the request, retries and the final answer.
#pragma once

#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>

#include "fleet/fleet.h"
#include "placement/placement.h"
#include "sidecar/event_log.h"
#include "sidecar/http_service.h"
#include "sidecar/instruments.h"
#include "sidecar/upstream_executor.h"
#include "traffic/traffic.h"

namespace damaskledge::sidecar {

struct router_options {
  /// Name of this node.
  std::string node;
  /// Service of the target on this VM.
  std::string service;
  /// Maximum number of nodes tried for one request.
  unsigned max_nodes = 3;
};

class router {
 public:
  router(event::loop& loop, router_options options, http_service& callers, fleet::network& nodes,
         upstream_executor& target, traffic::account_rates& rates, traffic::retry_budget& budget,
         traffic::entry_admission& admission, traffic::demand_meter& demand,
         const admission::crash_table& crashes, event_log& log, instruments& counters);
  ~router();
  router(const router&) = delete;
  router& operator=(const router&) = delete;

  void set_configuration(std::shared_ptr<const traffic::configuration> value) {
    configuration_ = std::move(value);
  }
  /// Refuses all further requests; requests in flight continue.
  void refuse_new_requests() { closed_ = true; }
  void on_request(request_handle caller, http::request& message);
  /// @return true if the request may run while earlier ones of its caller are unanswered: it may be
  /// repeated, so that its caller need not know whether it ran when an earlier answer is lost.
  bool may_overlap(const http::request& message) const;
  void on_caller_gone(request_handle caller);
  std::size_t in_flight() const { return exchanges_.size(); }

 private:
  struct exchange;

  bool authenticate(exchange& it, const http::request& message);
  bool read_deadline(exchange& it, const http::request& message);
  bool admit(exchange& it);
  bool is_caller_retry(const id128& fingerprint);
  bool prepare(exchange& it, http::request& message);
  void dispatch(exchange& it);
  /// @return the node whose target is to run the request, empty for the target of this VM, or
  /// nothing if no target can.
  std::optional<std::string> choose(const exchange& it);
  void on_answer(request_handle caller, fleet::answer_frame answer);
  bool retry(exchange& it, const fleet::answer_frame& answer);
  void on_timeout(request_handle caller);
  void refuse(exchange& it, int status, const std::string& reason, milliseconds retry_after);
  void finish(request_handle caller);

  event::loop& loop_;
  router_options options_;
  http_service& callers_;
  fleet::network& nodes_;
  upstream_executor& target_;
  traffic::account_rates& rates_;
  traffic::retry_budget& budget_;
  traffic::entry_admission& admission_;
  traffic::demand_meter& demand_;
  const admission::crash_table& crashes_;
  event_log& log_;
  instruments& counters_;
  std::shared_ptr<const traffic::configuration> configuration_;
  traffic::traffic_splitter splitter_;
  std::unordered_map<request_handle, std::unique_ptr<exchange>> exchanges_;
  bool closed_ = false;
  placement::target_chooser chooser_;
  /// Fingerprints of requests that entry admission refused, with the time until which a repetition
  /// counts as a retry by the caller.
  std::unordered_map<id128, time_point, id128_hash> refused_;
};

} // namespace damaskledge::sidecar
