/// @file
/// Messages between nodes, the links that carry them, and the directory of nodes.
///
/// Each node keeps one TCP connection to every other node. It carries the calls that this node
/// forwards, their answers, and this node's status. A frame is a length prefix followed by a
/// payload in cereal's portable binary format.
#pragma once

#include <array>
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
#include "placement/placement.h"
#include "traffic/traffic.h"

namespace damaskledge::fleet {

/// A request forwarded to the node whose target is to run it.
struct call_frame {
  std::uint64_t id = 0;
  /// CLOCK_BOOTTIME of the sender, in microseconds; the receiver derives the link delay from it.
  std::int64_t sent_us = 0;
  /// Time left until the deadline when the call was sent.
  std::uint32_t remaining_ms = 0;
  /// Latency objective of the route.
  std::uint32_t objective_ms = 0;
  std::uint32_t priority = 0;
  bool idempotent = false;
  /// The call was made by a target while it ran another request.
  bool inner = false;
  /// The request was sent before, or a repeated run made it.
  bool repeat = false;
  std::string request_id;
  std::string service;
  std::string route;
  /// Fingerprint of the request's contents; the same for each copy of the request.
  std::uint64_t fingerprint_high = 0;
  std::uint64_t fingerprint_low = 0;
  /// Start line and header fields for the target, without those for its identity, the time left
  /// and the body length.
  std::string head;
  std::string body;

  bool operator==(const call_frame&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(id, sent_us, remaining_ms, objective_ms, priority, idempotent, inner, repeat,
            request_id, service, route, fingerprint_high, fingerprint_low, head, body);
  }
};

/// Outcome of a call.
enum class call_result : std::uint8_t {
  /// The target answered; head and body are its answer.
  answered,
  /// The target did not run the request and never will.
  not_run,
  /// The request may have run, but no complete answer arrived.
  unknown,
};

/// Outcome of a call and, if the target answered, its answer.
struct answer_frame {
  std::uint64_t id = 0;
  /// A `call_result`.
  std::uint8_t result = 0;
  /// Why the call was not answered.
  std::string reason;
  /// The request was sent to the target, whether or not the target ran it.
  bool reached_target = false;
  std::uint32_t retry_after_ms = 0;
  std::uint32_t status = 0;
  std::string head;
  std::string body;
  /// Load of the target when the frame was sent.
  std::uint32_t in_flight = 0;
  std::uint32_t queued = 0;

  bool operator==(const answer_frame&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(id, result, reason, reached_target, retry_after_ms, status, head, body, in_flight,
            queued);
  }
};

/// Asks the receiver to stop work on a call whose caller has disconnected.
struct cancel_frame {
  std::uint64_t id = 0;

  bool operator==(const cancel_frame&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(id);
  }
};

/// State of the target that a node serves.
struct target_status {
  std::string service;
  std::string instance;
  /// The target accepts new requests.
  bool ready = false;
  std::uint32_t slots = 0;
  std::uint32_t in_flight = 0;
  std::uint32_t queued = 0;
  /// See `placement::relative_slowness`.
  float slowness = 1;

  bool operator==(const target_status&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(service, instance, ready, slots, in_flight, queued, slowness);
  }
};

/// The frequently changing part of a node's state; sent at a short interval.
struct load_frame {
  std::uint64_t configuration_version = 0;
  /// The node is shutting down.
  bool leaving = false;
  /// The target accepts new requests.
  bool ready = false;
  std::uint32_t slots = 0;
  std::uint32_t in_flight = 0;
  std::uint32_t queued = 0;
  /// See `placement::relative_slowness`.
  float slowness = 1;
  /// Accounts whose usage has changed.
  std::vector<traffic::account_usage> accounts;
  /// Offered requests; empty when they have changed little.
  std::vector<traffic::class_demand> demand;

  bool operator==(const load_frame&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(configuration_version, leaving, ready, slots, in_flight, queued, slowness, accounts,
            demand);
  }
};

/// Complete state of one node; sent when a link opens, when its target changes, and at a long
/// interval.
struct status_frame {
  std::string node;
  std::string data_centre;
  endpoint address;
  /// Differs for each start of the node.
  std::uint64_t incarnation = 0;
  std::uint64_t configuration_version = 0;
  /// The node is shutting down.
  bool leaving = false;
  target_status target;
  /// `accounts` holds the usage of every account. Set when a link opens.
  bool whole_usage = false;
  std::vector<traffic::account_usage> accounts;
  /// `demand`, `calls` and `costs` are set. They are large and change slowly, so most statuses omit
  /// them, and the receiver keeps what it has.
  bool has_picture = false;
  std::vector<traffic::class_demand> demand;
  std::vector<traffic::call_ratio> calls;
  std::vector<traffic::route_cost> costs;

  bool operator==(const status_frame&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(node, data_centre, address.address, address.port, incarnation, configuration_version,
            leaving, target, whole_usage, accounts, has_picture, demand, calls, costs);
  }
};

/// Load of one node, relayed by another.
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

/// Replaces a load that a relay has not sent yet by a newer one of the same node. Keeps the usage
/// of accounts that the newer one omits, unless its incarnation differs: counts restart from zero
/// with each start of a node.
void merge_load(node_load& pending, node_load next);

/// States of the nodes of one data centre, sent to another. Traffic between data centres is billed
/// by the byte, so a few nodes relay the states of all.
struct digest_frame {
  /// The receiver must forward the digest to the nodes of its data centre.
  bool pass_on = false;
  std::string data_centre;
  /// Nodes whose load has changed or must be repeated.
  std::vector<node_load> loads;
  std::vector<status_frame> statuses;
  /// Demand of all nodes of the data centre; empty when it has changed little.
  std::vector<traffic::class_demand> demand;
  /// Call graph as its nodes have measured it; empty in most digests.
  std::vector<traffic::call_ratio> calls;
  std::vector<traffic::route_cost> costs;

  bool operator==(const digest_frame&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(pass_on, data_centre, loads, statuses, demand, calls, costs);
  }
};

/// Decides on a relay what the next digest contains. Bytes between data centres are billed, so the
/// load of a node is repeated only when it has changed, or when other data centres would soon take
/// the node for silent.
class digest_builder {
 public:
  /// Adds a load that a node of this data centre has sent.
  void add(node_load load);
  /// Drops the loads added since the last digest; for a node that is not a relay.
  void discard() { pending_.clear(); }
  /// @param picture demand, calls and costs of all nodes of this data centre.
  /// @return the states that other data centres need now.
  digest_frame take(time_point now, const traffic::load_picture& picture);

 private:
  struct sent_load {
    std::uint64_t incarnation = 0;
    load_frame load;
    time_point at{};
  };

  bool is_due(time_point now, const node_load& pending) const;

  std::map<std::string, node_load> pending_;
  std::map<std::string, sent_load> sent_;
  std::vector<traffic::class_demand> sent_demand_;
  time_point demand_sent_{};
  time_point graph_sent_{};
};

/// Asks the receiver for its current configuration.
struct configuration_request {
  std::uint64_t known_version = 0;

  bool operator==(const configuration_request&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(known_version);
  }
};

/// Asks the receiver for its status, which it sends back over the same connection.
struct status_request {
  bool operator==(const status_request&) const = default;
  template <class Archive>
  void serialize(Archive& /*archive*/) {}
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

/// The target of the sender leaves. Asks the receiver to record that in the store, which does not
/// take it from the sender; the receiver sends the frame back once it is recorded.
struct leave_frame {
  std::string instance;
  unix_milliseconds started = 0;
  unix_milliseconds left = 0;

  bool operator==(const leave_frame&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(instance, started, left);
  }
};

using frame = std::variant<call_frame, answer_frame, cancel_frame, status_frame, load_frame,
                           configuration_request, configuration_frame, admission::crash_report,
                           digest_frame, status_request, leave_frame>;

/// Name of a frame's type for logs and metrics.
std::string_view type_name(std::size_t frame_index);

/// Size of the payload length, big-endian, that precedes each payload.
constexpr std::size_t frame_header_bytes = 4;
/// A frame with a larger payload closes the connection. The store limits a configuration to 1 MB;
/// the caller limits bound a request body.
constexpr std::size_t max_frame_bytes = 80UL * 1024UL * 1024UL;

/// @return the serialised frame, preceded by its length.
std::string encode(const frame& value);
/// Result of `decode`; without a value and not malformed when the frame is incomplete.
struct decoded {
  std::optional<frame> value;
  /// The bytes are not a valid frame; the caller must close the connection.
  bool malformed = false;
};
/// Decodes the first frame of `input` and removes it, once it has arrived completely.
decoded decode(std::string& input);

/// Directory entry of another node.
struct node_entry {
  std::string name;
  std::string data_centre;
  endpoint address;
  /// Last status, updated by later loads; its node name is empty until the first status arrives.
  status_frame status;
  /// When the last status or load of the node arrived.
  time_point heard{};
  /// Calls sent to the node that are still unanswered.
  std::uint32_t outstanding = 0;
  /// Calls sent since the node last reported its load.
  std::uint32_t sent_since_report = 0;
  /// Requests at the target as a fraction of its slots.
  placement::smoothed_load load;
  bool connected = false;
  /// Another address that the directory names; tried once the link has ended.
  std::optional<endpoint> listed_address;
};

/// Bytes sent to other nodes since the start, by frame type (index in `frame`).
struct sent_bytes {
  std::array<std::uint64_t, std::variant_size_v<frame>> within_data_centre{};
  std::array<std::uint64_t, std::variant_size_v<frame>> between_data_centres{};
};

struct network_options {
  std::string node;
  std::string data_centre;
  /// Address at which other nodes reach this node.
  endpoint address;
  /// Address to listen on; with port 0, `address` is used.
  endpoint listen_address;
  /// A peer whose state is older than this gets no calls: three intervals of its load messages.
  milliseconds silence_limit{1'000};
  /// The same for peers in other data centres, whose state may stop arriving for about a second
  /// when a relay is lost.
  milliseconds far_silence_limit{3'000};
  /// A link whose data stays unacknowledged for this long is closed; also bounds a connection
  /// attempt.
  milliseconds link_timeout{1'000};
  /// A link is closed when the peer has not replied to status requests for this long although its
  /// TCP stack acknowledges them.
  milliseconds reply_timeout{3'000};
  /// Delay before a failed link is reopened.
  milliseconds reconnect_pause{300};
};

/// Callbacks for frames from other nodes and for changes of links.
struct network_events {
  /// A call for the target of this node. Answer it with `network::answer`.
  std::function<void(std::uint64_t connection, call_frame call)> on_call;
  std::function<void(std::uint64_t connection, std::uint64_t call)> on_cancel;
  /// The connection was closed; its calls need no answer any more.
  std::function<void(std::uint64_t connection)> on_caller_gone;
  std::function<void(const status_frame&)> on_status;
  /// Called after the entry has been updated with the new load.
  /// @param near the node is in this data centre, so its load came from the node itself.
  std::function<void(const node_entry&, const load_frame&, bool near)> on_load;
  /// Another data centre has reported its demand or call graph; empty parts are unchanged.
  std::function<void(const digest_frame&)> on_summary;
  std::function<void(const admission::crash_report&)> on_crash_report;
  /// @return the status of this node.
  std::function<status_frame()> on_status_request;
  /// @return the current configuration, if it is newer than the given version.
  std::function<std::optional<configuration_frame>(std::uint64_t known)> on_configuration_request;
  std::function<void(const configuration_frame&)> on_configuration;
  /// The target of another node leaves. Send the frame back with `network::answer` once that is
  /// recorded.
  std::function<void(std::uint64_t connection, const std::string& node, const leave_frame&)>
      on_leave;
  /// Another node has recorded a leave for this one.
  std::function<void(const leave_frame&)> on_leave_recorded;
  /// The link to a node was lost or established.
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

  /// Starts accepting links from other nodes.
  leaf::result<void> listen();

  /// Adds a node or changes its address.
  void add_node(const std::string& name, const std::string& data_centre, const endpoint& address);
  /// The same with an entry of the directory, which may be outdated. What a node has said of itself
  /// takes precedence while it is connected.
  void add_listed_node(const std::string& name, const std::string& data_centre,
                       const endpoint& address);
  void remove_node(const std::string& name);

  /// Sends a call. Runs the completion exactly once, with `call_result::unknown` if the link
  /// breaks, unless the call is cancelled.
  /// @return the id of the call, or nothing if there is no link; nothing was sent then.
  std::optional<std::uint64_t> call(const std::string& node, call_frame value, completion done);
  /// Cancels a call whose caller has disconnected; its completion will not run.
  void cancel(const std::string& node, std::uint64_t id);
  /// Answers a received call or leave; does nothing if its connection was closed.
  void answer(std::uint64_t connection, const frame& value);
  /// Sends a frame to every connected node of this data centre.
  void broadcast_near(const frame& value);
  /// Sends a digest to one node of each other data centre, which forwards it to the others there.
  /// @param choice selects the receiver. The relays of a data centre use
  /// different ones, so that the loss of one node does not stop the states of all.
  void send_digest(digest_frame digest, std::size_t choice);
  /// @return this node's rank among the relays of its data centre, or nothing if it isn't a relay.
  std::optional<std::size_t> relay_rank() const;
  /// Sends a frame to every node that is connected.
  void broadcast(const frame& value);
  /// Sends a frame to one node, if it is connected.
  void send(const std::string& node, const frame& value);

  const std::map<std::string, node_entry>& nodes() const { return nodes_; }
  /// Nodes whose targets belong to one service, whether or not they are reachable.
  struct service_nodes {
    std::vector<const node_entry*> within_data_centre;
    std::vector<const node_entry*> elsewhere;
  };
  /// @return the nodes of the service, or null if there is none.
  const service_nodes* nodes_of(const std::string& service) const;
  const sent_bytes& sent() const { return sent_; }
  /// @return true if the node is connected and its state is recent enough to send it calls.
  bool reachable(const node_entry& node) const;

 private:
  struct outbound_link;
  struct inbound_link;

  /// Sends one encoded frame and counts its bytes.
  void transmit(event::stream& to, const std::string& data_centre, std::size_t frame_index,
                const std::string& bytes);
  /// Sends a frame over the link that a peer opened.
  void reply(inbound_link& link, const frame& value);
  void connect(const std::string& name);
  void link_lost(const std::string& name, const std::string& why);
  void on_outbound_data(const std::string& name);
  void accept(int fd);
  void on_inbound_data(std::uint64_t id);
  void close_inbound(std::uint64_t id);
  /// Takes the time that a call spent on the link off its time left.
  void subtract_delay(inbound_link& link, call_frame& call) const;
  /// Handles any frame but calls and their cancellations.
  void handle(inbound_link& link, frame value);
  /// Asks nodes for their status whose state is old or whose calls go unanswered, and closes links
  /// that deliver nothing. A link can be silent in one direction while TCP finds it in order.
  void check_links();
  void handle_status(inbound_link& link, const status_frame& status);
  void handle_load(const std::string& name, const load_frame& load);
  void handle_digest(digest_frame digest);
  void store_status(const status_frame& status);
  /// Takes note of a load that the node has just reported.
  void load_reported(node_entry& node);
  /// Moves a node in the index by service.
  void index_service(const node_entry& node, const std::string& before, const std::string& after);
  /// @return false if the node's newest direct link reported a different incarnation. Rejects
  /// states of an earlier start of the node that older links or relays still deliver.
  bool is_current_incarnation(const std::string& node, std::uint64_t incarnation) const;

  event::loop& loop_;
  event::timer_group timers_;
  network_options options_;
  network_events callbacks_;
  std::unique_ptr<event::listener> listener_;
  std::map<std::string, node_entry> nodes_;
  /// Index of `nodes_`, so that the choice of a target does not visit the whole fleet.
  std::unordered_map<std::string, service_nodes> by_service_;
  std::map<std::string, std::unique_ptr<outbound_link>> outbound_;
  std::unordered_map<std::uint64_t, std::unique_ptr<inbound_link>> inbound_;
  /// Newest open link from each node. Its incarnation takes precedence over those that relays
  /// still send.
  std::map<std::string, std::uint64_t> newest_inbound_;
  sent_bytes sent_;
  std::uint64_t next_connection_ = 1;
  std::uint64_t next_call_ = 1;
};

} // namespace damaskledge::fleet
