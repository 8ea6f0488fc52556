/// @file
/// Messages between nodes, the links that carry them, and the directory of nodes.
///
/// Each node keeps one TCP connection to every other node. It carries the calls that this node
/// forwards, their answers, and this node's status. Frames are cereal's portable binary behind a
/// length.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

#include "admission/admission.h"
#include "common/common.h"
#include "event/event.h"
#include "traffic/traffic.h"

namespace damaskledge::fleet {

/// A request on its way to the node of the target that is to run it.
struct call_frame {
  std::uint64_t id = 0;
  /// CLOCK_BOOTTIME of the sender, in microseconds; shows delays on the link.
  std::int64_t sent_us = 0;
  /// Time left when sent.
  std::uint32_t remaining_ms = 0;
  /// Latency objective of the route.
  std::uint32_t objective_ms = 0;
  std::uint32_t priority = 0;
  bool idempotent = false;
  /// Made by a target while it ran a request.
  bool inner = false;
  std::string request_id;
  std::string service;
  std::string route;
  /// Identifies the request's contents; the same for each copy.
  std::uint64_t fingerprint_high = 0;
  std::uint64_t fingerprint_low = 0;
  /// Start line and fields for the target, without its identity, the time left and the body length.
  std::string head;
  std::string body;

  bool operator==(const call_frame&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(id, sent_us, remaining_ms, objective_ms, priority, idempotent, inner, request_id,
            service, route, fingerprint_high, fingerprint_low, head, body);
  }
};

/// What became of a call.
enum class call_result : std::uint8_t {
  /// The target answered; head and body are its answer.
  answered,
  /// The target did not run the request and never will.
  not_run,
  /// The request may have run and there is no whole answer.
  unknown,
};

struct answer_frame {
  std::uint64_t id = 0;
  std::uint8_t result = 0;
  /// Reason of a call that was not answered.
  std::string reason;
  /// The target was sent the request, whether it ran it or not.
  bool reached_target = false;
  std::uint32_t retry_after_ms = 0;
  std::uint32_t status = 0;
  std::string head;
  std::string body;
  /// State of the target at this time.
  std::uint32_t in_flight = 0;
  std::uint32_t queued = 0;

  bool operator==(const answer_frame&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(id, result, reason, reached_target, retry_after_ms, status, head, body, in_flight,
            queued);
  }
};

/// The caller has left; work on the call is to stop.
struct cancel_frame {
  std::uint64_t id = 0;

  bool operator==(const cancel_frame&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(id);
  }
};

/// State of the target beside a node.
struct target_status {
  std::string service;
  std::string instance;
  /// Takes new requests.
  bool ready = false;
  std::uint32_t slots = 0;
  std::uint32_t in_flight = 0;
  std::uint32_t queued = 0;

  bool operator==(const target_status&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(service, instance, ready, slots, in_flight, queued);
  }
};

/// What changes from moment to moment at a node; sent at a short interval.
struct load_frame {
  std::uint64_t configuration_version = 0;
  /// The node is shutting down.
  bool leaving = false;
  /// The target takes new requests.
  bool ready = false;
  std::uint32_t slots = 0;
  std::uint32_t in_flight = 0;
  std::uint32_t queued = 0;
  /// Accounts whose use has changed.
  std::vector<traffic::account_usage> accounts;
  /// Offered requests; empty when they have hardly changed.
  std::vector<traffic::class_demand> demand;

  bool operator==(const load_frame&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(configuration_version, leaving, ready, slots, in_flight, queued, accounts, demand);
  }
};

/// Whole state of one node; sent when a link opens, on changes of its target, and at a long
/// interval.
struct status_frame {
  std::string node;
  std::string data_centre;
  endpoint address;
  /// New for each start of the node.
  std::uint64_t incarnation = 0;
  std::uint64_t configuration_version = 0;
  /// The node is shutting down.
  bool leaving = false;
  target_status target;
  /// `accounts` holds the use of every account. Set when a link opens.
  bool whole_usage = false;
  std::vector<traffic::account_usage> accounts;
  std::vector<traffic::class_demand> demand;
  std::vector<traffic::call_ratio> calls;
  std::vector<traffic::route_cost> costs;

  bool operator==(const status_frame&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(node, data_centre, address.address, address.port, incarnation, configuration_version,
            leaving, target, whole_usage, accounts, demand, calls, costs);
  }
};

/// Load of one node, passed on by another.
struct node_load {
  std::string node;
  std::uint64_t incarnation = 0;
  load_frame load;

  bool operator==(const node_load&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(node, incarnation, load);
  }
};

/// Adds a newer load of a node to what a relay has not passed on yet. Uses of accounts that the
/// newer one leaves out are kept, unless it is of another start, whose counts begin anew.
void merge_load(node_load& pending, node_load next);

/// States of the nodes of one data centre, for another one. Links between data centres are billed
/// by the byte, so a few nodes pass on the states of all.
struct digest_frame {
  /// The receiver passes the digest on to the nodes of its data centre.
  bool pass_on = false;
  std::vector<node_load> loads;
  std::vector<status_frame> statuses;

  bool operator==(const digest_frame&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(pass_on, loads, statuses);
  }
};

/// Asks for the configuration in force at the receiver.
struct configuration_request {
  std::uint64_t known_version = 0;

  bool operator==(const configuration_request&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(known_version);
  }
};

/// A configuration as the operator wrote it.
struct configuration_frame {
  std::uint64_t version = 0;
  std::string text;

  bool operator==(const configuration_frame&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(version, text);
  }
};

using frame =
    std::variant<call_frame, answer_frame, cancel_frame, status_frame, load_frame,
                 configuration_request, configuration_frame, admission::crash_report, digest_frame>;

/// Bytes before a frame's payload: its length, big-endian.
constexpr std::size_t frame_header_bytes = 4;
/// Frames above this size end the connection. A configuration is bounded by the store's 1 MB; a
/// request body by the caller limits.
constexpr std::size_t max_frame_bytes = 80UL * 1024UL * 1024UL;

/// @return the frame with its length before it.
std::string encode(const frame& value);
/// Result of looking for a frame in received bytes.
struct decoded {
  std::optional<frame> value;
  /// The bytes are no frame; the connection must be closed.
  bool malformed = false;
};
/// Removes one frame from `input`, when it is whole.
decoded decode(std::string& input);

/// What is known of another node.
struct node_entry {
  std::string name;
  std::string data_centre;
  endpoint address;
  /// Last status; its node name is empty before the first.
  status_frame status;
  time_point heard{};
  /// Calls of this node that are unanswered there.
  std::uint32_t outstanding = 0;
  /// Calls sent since the node last told its load.
  std::uint32_t sent_since_report = 0;
  bool connected = false;
};

struct network_options {
  std::string node;
  std::string data_centre;
  /// Where the others reach this node.
  endpoint address;
  /// Where it listens; port 0 for the same.
  endpoint listen_address;
  /// A peer whose state is older than this gets no calls: three intervals of its load messages.
  milliseconds silence_limit{1'000};
  /// The same for peers of other data centres, whose state may lose a relay for about a second.
  milliseconds far_silence_limit{3'000};
  /// Unacknowledged data for this long ends a link.
  milliseconds link_timeout{1'000};
  /// Pause before a link that failed is opened again.
  milliseconds reconnect_pause{300};
};

/// Receives what arrives from other nodes.
struct network_events {
  /// A call for the target of this node. Answer it with `network::answer`.
  std::function<void(std::uint64_t connection, call_frame call)> on_call;
  std::function<void(std::uint64_t connection, std::uint64_t call)> on_cancel;
  /// The connection is gone; nobody waits for its calls any more.
  std::function<void(std::uint64_t connection)> on_caller_gone;
  std::function<void(const status_frame&)> on_status;
  /// The entry has the new load already.
  /// @param near it came from the node itself, which is in this data centre.
  std::function<void(const node_entry&, const load_frame&, bool near)> on_load;
  std::function<void(const admission::crash_report&)> on_crash_report;
  /// @return the text of the configuration in force, if it is newer than the given version.
  std::function<std::optional<configuration_frame>(std::uint64_t known)> on_configuration_request;
  std::function<void(const configuration_frame&)> on_configuration;
  /// A link to a node was lost or regained.
  std::function<void(const node_entry&, bool connected)> on_link;
};

/// Links to all other nodes and the directory of their states.
class network {
 public:
  using completion = std::function<void(answer_frame)>;

  network(event::loop& events, network_options options, network_events callbacks);
  ~network();
  network(const network&) = delete;
  network& operator=(const network&) = delete;

  /// Starts to accept links from other nodes.
  leaf::result<void> listen();

  /// Adds a node or changes its address.
  void add_node(const std::string& name, const std::string& data_centre, const endpoint& address);
  void remove_node(const std::string& name);

  /// Sends a call. The completion comes exactly once, also when the link breaks (unknown), unless
  /// the call is cancelled.
  /// @return the call's id at the node, or nothing when there is no link; nothing was sent then.
  std::optional<std::uint64_t> call(const std::string& node, call_frame value, completion done);
  /// The caller has left; the completion will not come.
  void cancel(const std::string& node, std::uint64_t id);
  /// Answers a call that arrived; ignored when its connection is gone.
  void answer(std::uint64_t connection, const answer_frame& value);
  /// Sends a frame to every connected node of this data centre.
  void broadcast_near(const frame& value);
  /// Sends a digest to one node of each other data centre, which passes it on.
  /// @param rank 0 for the first relay of this data centre, 1 for the second; each uses another
  /// node of the other data centre, so that one lost node does not stop the states of all.
  void send_digest(digest_frame digest, std::size_t rank);
  /// @return this node's place among the relays of its data centre, or nothing when it is none.
  std::optional<std::size_t> relay_rank() const;
  /// Sends a frame to every node that is connected.
  void broadcast(const frame& value);
  /// Sends a frame to one node, if it is connected.
  void send(const std::string& node, const frame& value);

  const std::map<std::string, node_entry>& nodes() const { return nodes_; }
  /// @return true when calls to the node are likely to arrive.
  bool reachable(const node_entry& node) const;

 private:
  struct outbound_link;
  struct inbound_link;

  void connect(const std::string& name);
  void link_lost(const std::string& name, const std::string& why);
  void on_outbound_data(const std::string& name);
  void accept(int fd);
  void on_inbound_data(std::uint64_t id);
  void drop_inbound(std::uint64_t id);
  void handle(inbound_link& link, frame value);
  void handle_status(inbound_link& link, const status_frame& status);
  void handle_load(const std::string& name, const load_frame& load);
  void handle_digest(digest_frame digest);
  void store_status(const status_frame& status);
  /// @return false for a status or load of a start of the node that its own link contradicts.
  bool plausible(const std::string& node, std::uint64_t incarnation) const;

  event::loop& loop_;
  network_options options_;
  network_events callbacks_;
  std::unique_ptr<event::listener> listener_;
  std::map<std::string, node_entry> nodes_;
  std::map<std::string, std::unique_ptr<outbound_link>> outbound_;
  std::unordered_map<std::uint64_t, std::unique_ptr<inbound_link>> inbound_;
  /// Newest open link from each node. What it tells goes before what relays still pass on.
  std::map<std::string, std::uint64_t> newest_inbound_;
  std::uint64_t next_connection_ = 1;
  std::uint64_t next_call_ = 1;
};

} // namespace damaskledge::fleet
