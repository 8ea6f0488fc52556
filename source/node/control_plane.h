/// @file
/// Runs the control core of a node: its ticker, messages and platform calls, and the request
/// path's access to tokens and claims.
#pragma once

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "admission/admission.h"
#include "claims/claims.h"
#include "common/common.h"
#include "config/config.h"
#include "core/core.h"
#include "node/cut_filter.h"
#include "node/dispatcher.h"
#include "node/transport.h"
#include "platform/platform.h"
#include "shares/shares.h"
#include "wire/wire.h"

namespace damaskledge::node {

/// Crash table under its own lock. Thread-safe.
struct crash_guard {
  explicit crash_guard(admission::crash_settings options) : table(options) {}
  std::mutex mutex;
  admission::crash_table table;
};

/// Thread-safe. The ticker, the transport and the platform threads are started by `start`.
class control_plane {
 public:
  control_plane(const config::node_settings& settings, cut_filter& cuts, dispatcher& routes,
                crash_guard& crashes);
  ~control_plane();
  control_plane(const control_plane&) = delete;
  control_plane& operator=(const control_plane&) = delete;

  void start();
  void stop();
  /// Tells the fleet that this node leaves; its upstreams get no new work.
  void start_draining();
  void announce_left();

  /// Upstreams of this VM; see docs/upstreams.md.
  void announce(const wire::service_record& service);
  void drain(const std::string& service, std::uint16_t port);
  void leave(const std::string& service, std::uint16_t port);

  /// @return the rules in force, or nothing while a document is missing.
  std::shared_ptr<const core::rules_in_force> rules() const;
  /// @return false when the keys document was not confirmed within `key_grace`.
  bool keys_fresh(time_point now) const;

  /// Takes a token, waiting for a grant in flight at most until `give_up`.
  shares::take_result take_token(const std::string& account, time_point give_up);
  milliseconds token_retry_after(const std::string& account);

  /// Claims an operation for a request. Waits for the claim's writer.
  claims::claim_result claim(const id128& operation, std::uint64_t body_hash, const id128& request,
                             time_point deadline);
  /// Tells how a claimed operation ended.
  /// @param wait true to return only when the writer has stored it or its time is over.
  void finish_claim(const wire::claim_finish& finish, bool wait, time_point deadline);

  /// Tells the node of the target's VM that a context has ended.
  void context_ended(const std::string& target_id, const id128& context);
  void on_contexts_ended(std::function<void(const std::vector<id128>&)> handler);

  /// Tells all nodes which requests were in flight at targets that died.
  void send_crash_report();

  /// JSON for operators.
  std::string describe() const;
  const transport_counters& traffic() const { return transport_->counters(); }
  /// Processor time used by the ticker thread.
  std::chrono::nanoseconds ticker_time() const {
    return std::chrono::nanoseconds(ticker_time_.load());
  }
  std::vector<platform::call_count> platform_calls() const { return platform_->counts(); }

 private:
  struct pending_claim {
    std::condition_variable wake;
    std::optional<wire::claim_reply> reply;
    std::optional<bool> stored;
  };

  void run_ticker();
  void run_document(const std::string& document);
  void run_calls();
  void receive(const wire::incoming& from);
  /// Carries out what the core wants. Called without locks.
  void carry_out(core::effects&& wanted);
  /// Copies what the request path reads. Called under `core_mutex_`.
  void publish();
  core::local_facts local_facts(time_point now);
  void send_ended_contexts(time_point now);

  /// Runs `function` on the core and carries out its effects.
  template <class Function>
  void with_core(Function function) {
    core::effects wanted;
    {
      const std::lock_guard lock(core_mutex_);
      wanted = function(core_);
      publish();
    }
    carry_out(std::move(wanted));
  }

  const config::node_settings settings_;
  cut_filter& cuts_;
  dispatcher& routes_;
  crash_guard& crashes_;

  mutable std::mutex core_mutex_;
  core::control_core core_;
  std::uint64_t published_targets_ = 0;
  std::map<endpoint, std::vector<id128>> ended_contexts_;
  time_point ended_sent_at_{};

  mutable std::mutex buckets_mutex_;
  std::condition_variable granted_;
  shares::node_buckets buckets_;
  /// Grants received for each account, so that waiting calls see a new one.
  std::map<std::string, std::uint64_t> grants_;

  std::mutex claims_mutex_;
  std::uint64_t claim_sequence_ = 0;
  std::map<std::uint64_t, std::shared_ptr<pending_claim>> pending_claims_;

  mutable std::mutex rules_mutex_;
  std::shared_ptr<const core::rules_in_force> rules_;
  std::atomic<clock_type::rep> keys_confirmed_{0};

  std::mutex calls_mutex_;
  std::condition_variable call_added_;
  std::deque<core::owned_call> calls_;

  std::function<void(const std::vector<id128>&)> contexts_ended_;
  std::unique_ptr<platform::http_client> platform_;
  std::unique_ptr<transport> transport_;
  std::atomic<bool> stopping_{false};
  std::atomic<std::int64_t> ticker_time_{0};
  std::vector<std::thread> threads_;
};

} // namespace damaskledge::node
