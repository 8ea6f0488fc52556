/// @file
/// Top-level object of a node: owns its components, serves its interfaces and runs periodic work.
#pragma once

#include <memory>
#include <string>

#include "fleet/fleet.h"
#include "sidecar/configuration_fetch.h"
#include "sidecar/event_log.h"
#include "sidecar/http_service.h"
#include "sidecar/instruments.h"
#include "sidecar/leave_records.h"
#include "sidecar/peer_leave_writer.h"
#include "sidecar/router.h"
#include "sidecar/sidecar.h"
#include "sidecar/store_client.h"
#include "sidecar/upstream_executor.h"
#include "traffic/traffic.h"

namespace damaskledge::sidecar {

class agent {
 public:
  agent(event::loop& loop, const settings& values);
  ~agent();
  agent(const agent&) = delete;
  agent& operator=(const agent&) = delete;

  leaf::result<void> start();
  /// Starts a graceful shutdown; stops the event loop once it is complete.
  void shut_down();
  /// Applies a changed grace period and retry settings. Other settings, such as addresses and
  /// names, take effect only after a restart.
  void reload(const settings& values);
  event_log& log() { return log_; }
  /// @return version of the configuration in force, 0 for none.
  std::uint64_t configuration_version() const {
    return configuration_ ? configuration_->version() : 0;
  }

 private:
  struct remote_summary {
    std::vector<traffic::class_demand> demand;
    std::vector<traffic::call_ratio> calls;
    std::vector<traffic::route_cost> costs;
    time_point received{};
  };

  void on_peer_call(std::uint64_t connection, fleet::call_frame call);
  void on_peer_cancel(std::uint64_t connection, std::uint64_t call);
  void on_peer_gone(std::uint64_t connection);
  void on_status(const fleet::status_frame& status);
  void on_load(const fleet::node_entry& node, const fleet::load_frame& load, bool near);
  void relay_states(const fleet::load_frame& own);
  void on_summary(const fleet::digest_frame& digest);
  void fetch_configuration();
  void on_announcement(request_handle from, http::request& message);
  /// Applies an announcement, or keeps it until it is known whether the target has left.
  void accept_announcement(const adapter::target_announcement& value);
  void acknowledge_announcement(request_handle from);
  /// Has the leave of the target recorded, if it leaves.
  void record_leave();
  /// Asks some of the other nodes, different ones each time, to record the leave of the target.
  void ask_peers_to_record(const adapter::leave_record& record);
  void on_leave_loaded(const std::optional<adapter::leave_record>& record, bool delayed);
  void on_ready(request_handle from);
  void on_metrics(request_handle from);
  void apply_configuration(const std::string& text, const std::string& source);
  void on_node_object(const adapter::stored_object& object);
  watch_terms configuration_terms() const;
  void register_node();
  void identify_target();
  /// Asks the target itself while the store cannot tell whether it has left.
  void identify_without_store();
  /// @return true if an announcement alone does not show that the target may be used.
  bool may_have_left() const { return !leaves_.loaded() || leave_may_be_missing_; }
  void send_status();
  /// Takes the usage to report; the load must reach the near nodes and the next digest.
  fleet::load_frame make_load();
  /// Sends the load to the nodes of this data centre ahead of the interval.
  void announce_load();
  void send_crash_report();
  void log_sent_bytes();
  /// @param with_picture includes demand, calls and costs.
  fleet::status_frame make_status(bool with_picture);
  /// @return demand, calls and costs of the nodes of this data centre.
  traffic::load_picture local_picture() const;
  void plan_admission();
  void forget_lost_nodes();
  void set_retry_budget();
  void log_admission(const traffic::admission_plan& plan);
  /// Runs a part of the node's own work and notes which part of this round took longest, for the
  /// log line of a stalled event loop.
  void measure(std::string_view part, const std::function<void()>& work);
  void log_stall(duration taken);
  void run_checks();
  /// Reports the use of accounts to all nodes ahead of the regular load message.
  void report_usage();
  void end_load_interval();
  void check_shutdown();
  void reply(http_service& service, request_handle to, int status, const std::string& body,
             const std::string& type);

  event::loop& loop_;
  event::timer_group timers_;
  settings settings_;
  std::uint64_t incarnation_;
  event_log log_;
  instruments counters_;
  traffic::account_rates rates_;
  traffic::retry_budget budget_;
  traffic::entry_admission admission_;
  /// Last logged admitted fraction of each class.
  traffic::admission_plan logged_fractions_;
  traffic::demand_meter demand_;
  admission::crash_table crashes_;
  std::vector<traffic::class_demand> own_demand_;
  std::vector<traffic::call_ratio> own_calls_;
  /// Demand that was last sent to other nodes.
  std::vector<traffic::class_demand> sent_demand_;
  std::unique_ptr<fleet::network> nodes_;
  std::unique_ptr<upstream_executor> target_;
  std::unique_ptr<http_service> callers_;
  std::unique_ptr<http_service> readiness_;
  std::unique_ptr<http_service> announcements_;
  std::unique_ptr<http_service> metrics_;
  std::unique_ptr<router> router_;
  std::unique_ptr<object_mirror> configuration_mirror_;
  std::unique_ptr<object_mirror> node_mirror_;
  store_channel writer_;
  store_channel health_;
  leave_records leaves_;
  peer_leave_writer peer_leaves_;
  /// Counts how often other nodes were asked to record a leave.
  std::size_t record_requests_ = 0;
  /// The store has no leave of the target, but may lack one.
  bool leave_may_be_missing_ = false;
  /// The latest announcement of a target that may have left.
  std::optional<adapter::target_announcement> held_announcement_;
  std::shared_ptr<const traffic::configuration> configuration_;
  /// Source text of the configuration in force, sent to nodes that cannot reach the store.
  std::string configuration_text_;
  /// This node's object in the store, with its revision.
  std::optional<adapter::stored_object> own_object_;
  /// In-flight calls from other nodes, by connection and call id on that connection.
  std::map<std::pair<std::uint64_t, std::uint64_t>, upstream_executor::call_id> peer_calls_;
  time_point usage_sent_at_{};
  std::uint64_t ticks_ = 0;
  std::uint64_t intervals_ = 0;
  /// States of this data centre's nodes for the next digest.
  fleet::digest_builder digest_;
  /// Demand and call graph of each other data centre.
  std::map<std::string, remote_summary> remote_summaries_;
  configuration_fetch configuration_fetch_;
  std::size_t nodes_present_ = 1;
  time_point started_;
  /// Longest part of the node's own work in one round of events.
  struct measured_part {
    std::string_view name;
    duration taken{};
    std::uint64_t round = 0;
  };
  measured_part longest_part_;
  bool leaving_ = false;
  time_point leaving_since_{};
  /// When connections were accepted for the last time.
  std::optional<time_point> listening_ended_;
  bool slow_stop_logged_ = false;
};

} // namespace damaskledge::sidecar
