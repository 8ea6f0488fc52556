/// @file
/// A fleet of real programs on 127.0.0.0/8 for failure tests: platform stand-in, nodes and
/// upstream stand-ins in several data centres.
#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "failure/process.h"

namespace damaskledge::failure {

/// Upstreams of one service; one VM each, dealt out over the data centres in turn.
struct service_plan {
  std::string name = {};
  std::uint32_t targets = 3;
  std::uint32_t slots = 20;
  double service_time_ms = 5;
  /// Inner calls, in the form of the stand-in's --inner.
  std::string inner = {};
};

struct fleet_plan {
  /// Second byte of all addresses, so that tests can run beside each other.
  std::uint8_t subnet = 10;
  std::vector<std::string> data_centres{"dc1", "dc2", "dc3"};
  std::vector<service_plan> services;
  nlohmann::json accounts;
  nlohmann::json plans;
  /// Settings that replace the defaults on every node.
  nlohmann::json settings = nlohmann::json::object();
};

/// A VM: one node and one upstream.
struct machine {
  std::string name;
  std::string data_centre;
  std::string address;
  service_plan service;
  std::unique_ptr<child_process> node;
  std::unique_ptr<child_process> upstream;
  std::uint64_t starts = 0;
};

/// Three data centres, and two services "dispatch" and "gate" with one target in each of them.
/// Accounts "crews" and "growers" have large rates, "reader" has 30/s with a burst of 30.
/// @param dispatch_inner inner calls of "dispatch", in the form of the stand-in's --inner.
fleet_plan small_plan(std::uint8_t subnet, const std::string& dispatch_inner = "");

/// What a caller was told about one request.
struct call_record {
  std::string account;
  std::string target;
  std::string body;
  int status = 0;
  std::string reason;
  std::string outcome;
  std::string request_id;
  time_point sent;
  time_point ended;
};

/// Result of a run of damaskledgectl.
struct control_result {
  int exit_code = -1;
  std::string output;
  std::string errors;
  nlohmann::json json() const { return nlohmann::json::parse(output, nullptr, false); }
};

class fleet {
 public:
  fleet(const std::string& test, fleet_plan plan);
  ~fleet();
  fleet(const fleet&) = delete;
  fleet& operator=(const fleet&) = delete;

  /// Starts everything, applies the lists, gives each account a key, and waits until each node
  /// has both documents in force and knows every target.
  /// @return false when that took longer than 30 s.
  bool start();

  std::vector<machine>& machines() { return machines_; }
  /// Machines of a data centre or of a service.
  std::vector<machine*> of_data_centre(const std::string& name);
  std::vector<machine*> of_service(const std::string& name);
  void start_node(machine& it);
  void start_upstream(machine& it);
  endpoint caller_endpoint(const machine& it) const { return {it.address, 8'080}; }
  endpoint operator_endpoint(const machine& it) const { return {it.address, 8'083}; }
  endpoint upstream_endpoint(const machine& it) const { return {it.address, 9'000}; }
  endpoint platform_endpoint() const;

  /// Waits until every running node knows all running nodes and has the newest documents, and
  /// every coordinator accrues tokens. Prints what is missing when the limit has passed.
  bool settled(milliseconds limit);
  /// Runs damaskledgectl with the platform's address.
  control_result control(const std::vector<std::string>& arguments);
  /// @return key of an account, as given by `start` or `give_key`.
  const std::string& key(const std::string& account) const { return keys_.at(account).text; }
  const std::string& key_id(const std::string& account) const { return keys_.at(account).id; }
  void give_key(const std::string& account);

  /// Sends one request of an account to a node.
  http_answer call(const machine& node, const std::string& account, const std::string& method,
                   const std::string& target, const std::string& body = "",
                   std::map<std::string, std::string> headers = {});
  /// Records an answer that a test got by other means than `call`.
  void record(call_record entry);
  std::vector<call_record> records() const;
  /// Requests that were told "not-run" although an upstream has logged an execution of them.
  /// Empty as long as promise P8 holds.
  std::vector<std::string> false_refusals();
  /// Largest number of executions with the same value of a field of the log.
  std::size_t most_executions(const std::string& service, const std::string& field);
  /// Executions whose field has this value.
  std::size_t count_executions(const std::string& service, const std::string& field,
                               const std::string& value);
  /// Changes the behaviour of all upstreams of a service.
  void upstream_behaviour(const std::string& service, const nlohmann::json& behaviour);
  /// @return the node that coordinates a data centre as `seen_by` knows it, or nullptr.
  machine* coordinator(const std::string& data_centre, const machine& seen_by);
  /// Sets faults of the platform stand-in.
  void platform_faults(const nlohmann::json& faults) const;
  nlohmann::json platform_counters() const;
  /// Stops all traffic between a data centre and everything outside it.
  void cut(const std::string& data_centre, bool from_platform);
  /// Stops only the traffic between a data centre and the platform.
  void cut_platform(const std::string& data_centre);
  void heal();
  /// Executions logged by all upstreams of a service, in no order.
  std::vector<nlohmann::json> executions(const std::string& service);
  /// Headers with a caller's key that upstreams have seen.
  std::uint64_t leaked_keys();
  /// Sum over nodes of a metric's samples whose line starts with `prefix`.
  double metric(const std::string& prefix);
  /// @return true when some node's log names a broken promise (`report_violation`).
  bool violated() const;
  const std::string& folder() const { return folder_; }

 private:
  struct given_key {
    std::string id;
    std::string text;
  };
  std::string cut_file(const std::string& data_centre) const;
  std::string data_centre_prefix(const std::string& data_centre) const;
  /// @return what a node says of itself while it lacks something; empty when it has settled.
  std::string missing_at(const machine& it) const;

  std::string folder_;
  fleet_plan plan_;
  std::vector<machine> machines_;
  std::unique_ptr<child_process> platform_;
  std::map<std::string, given_key> keys_;
  std::atomic<std::uint64_t> control_runs_ = 0;
  mutable std::mutex records_mutex_;
  std::vector<call_record> records_;
};

} // namespace damaskledge::failure
