/// @file
/// One VM of a soak: the real node as a process of its own, the target beside it, and proxies on
/// the node's ways to the other nodes and to the store.
#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>

#include "event/event.h"
#include "failure/process.h"
#include "sidecar/http_service.h"
#include "sidecar/store_client.h"
#include "soak/history.h"
#include "soak/proxy.h"

namespace damaskledge::soak {

/// Requests that a target runs at once; more are turned away.
constexpr std::size_t target_slots = 24;
/// Time between SIGTERM and SIGKILL; written to the nodes' settings.
constexpr seconds grace{4};
/// A leaving target serves this long after its announcement was acknowledged.
constexpr milliseconds drain_limit{2'000};

/// What all VMs of a soak share.
struct surroundings {
  event::loop& loop;
  history& seen;
  std::mt19937_64& random;
  std::string folder;
  /// The store's; the VMs' follow.
  std::uint16_t first_port;
  endpoint store;
};

class vm {
 public:
  vm(surroundings& all, std::size_t number, std::string service, std::string data_centre);

  const std::string& service() const { return service_; }
  std::size_t number() const { return number_; }
  endpoint caller_address() const { return at(0); }
  endpoint ready_address() const { return at(1); }
  proxy& peers() { return peers_; }
  proxy& store() { return store_; }

  // Faults of the node's process.
  void kill();
  /// @param then_killed SIGKILL follows after the grace, as the platform does it.
  void terminate();
  void pause(milliseconds length);
  void hang_up();
  /// Ends the node for good and checks that it obeys.
  bool stop_for_good();

  // Faults of the target.
  void crash_target(milliseconds down);
  void replace_target();
  /// The target names in its answers how many requests a second it takes.
  void limit_target(double requests_per_s, milliseconds length);

  /// Something unplanned happened to this VM or its links.
  void disturbed(milliseconds length = milliseconds(0));
  /// Nothing unplanned happened in the stable window; the node may have been stopped in order.
  bool calm() const;
  /// The same, and the node has run all the while.
  bool in_touch() const;
  bool running();

 private:
  endpoint at(int offset) const;
  void start_node(bool first);
  void watch_node();
  void start_target();
  void announce();
  /// The target may get nothing new from some time after this on.
  void leave_acknowledged();
  /// An announcement from before the leave arrives now.
  void announce_late();
  void on_request(sidecar::request_handle from, http::request& it);
  void run(sidecar::request_handle from, const std::string& id, bool calls);
  void call_below(sidecar::request_handle from, const std::string& id);
  void answer(sidecar::request_handle to, const std::string& id, int status);
  /// Counts a request that has reached the target against the limit that it names.
  void check_limit();

  surroundings& all_;
  std::size_t number_;
  std::string service_;
  std::string data_centre_;
  proxy peers_;
  proxy store_;
  std::unique_ptr<failure::child_process> node_;
  bool stopped_for_good_ = false;
  bool terminating_ = false;
  bool paused_ = false;
  std::unique_ptr<sidecar::http_service> target_;
  std::string instance_;
  std::int64_t born_ = 0;
  std::uint64_t starts_ = 0;
  std::uint64_t sequence_ = 0;
  bool leaving_ = false;
  /// The target leaves by a farewell and is silent afterwards, in place of announcing it.
  bool leaves_silently_ = false;
  /// Last announcement of this start that did not say that it leaves.
  http::request last_ready_;
  std::unique_ptr<sidecar::store_channel> late_announcer_;
  std::optional<time_point> leaving_acknowledged_;
  /// When an answer has said first that the target leaves.
  std::optional<time_point> leaving_answered_;
  std::optional<double> limit_;
  /// When the limit was in an answer first.
  std::optional<time_point> limit_named_;
  std::deque<time_point> arrivals_;
  /// Requests under way at the target, and the connections that carry them.
  std::set<sidecar::request_handle> running_;
  std::unique_ptr<sidecar::store_channel> announcer_;
  std::uint64_t calls_ = 0;
  time_point disturbed_until_{};
  time_point planned_until_{};
};

} // namespace damaskledge::soak
