/// @file
/// Typed settings of the programs, the operators' two lists, and the keys document:
/// parsing with comments, checks, defaults and differences.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "common/common.h"

namespace damaskledge::config {

/// All errors of the parsed texts, in the order of the checks. Functions that fail with a
/// `parse_error` carry the first one as `parse_error` and all of them as this.
struct parse_errors {
  std::vector<parse_error> all;

  bool operator==(const parse_errors&) const = default;
};

/// What a plan may use of a route and how the route behaves.
struct route {
  std::string name;
  std::string service;
  /// HTTP method, upper case.
  std::string method;
  /// Path prefix below the service, starting with '/'; the longest match wins.
  std::string path;
  damaskledge::importance importance = damaskledge::importance::normal;
  /// True when the request may be run more than once without harm.
  bool idempotent = true;
  /// True when the route needs no key.
  bool open = false;
  milliseconds deadline{1'000};
  /// Services that the route's chain of inner calls reaches.
  std::vector<std::string> calls;
  /// JSON pointer (RFC 6901) into the request body that names the operation; empty when
  /// the Idempotency-Key header names it.
  std::string operation_field;

  bool operator==(const route&) const = default;
};

/// Builds a `route`. It checks nothing; parsing does.
class route_builder {
 public:
  route_builder(std::string name, std::string service, std::string method, std::string path);
  route_builder& with_importance(damaskledge::importance value);
  /// @param operation_field JSON pointer into the body; empty for the Idempotency-Key header.
  route_builder& non_idempotent(std::string operation_field = {});
  route_builder& open();
  route_builder& with_deadline(milliseconds value);
  /// Adds a service that the route's chain of inner calls reaches.
  route_builder& calling(std::string service);
  [[nodiscard]] const route& build() const { return value_; }

 private:
  route value_;
};

/// What an account of this plan gets over the whole fleet.
struct plan {
  std::string name;
  /// Requests per second.
  double rate = 0;
  /// Requests above the rate that may come at once.
  double burst = 0;
  /// Names of the routes that the plan may use.
  std::vector<std::string> routes;

  bool operator==(const plan&) const = default;
};

/// A client account and its plan.
struct account {
  std::string name;
  std::string plan;

  bool operator==(const account&) const = default;
};

/// Fraction of every account's rate and burst that a data centre accrues.
struct data_centre_weight {
  std::string name;
  double weight = 0;

  bool operator==(const data_centre_weight&) const = default;
};

/// The operators' two lists as one document: accounts.json (accounts) and
/// plans.json (plans, routes, data centres).
struct lists {
  std::vector<account> accounts;
  std::vector<plan> plans;
  std::vector<route> routes;
  std::vector<data_centre_weight> data_centres;

  bool operator==(const lists&) const = default;
};

/// A key as stored: never the secret, only its digest.
struct key_record {
  /// Public identifier, 12 hexadecimal digits.
  std::string id;
  std::string account;
  /// Lower-case hexadecimal SHA-256 of the secret.
  std::string digest;
  unix_milliseconds given_at = 0;
  bool withdrawn = false;

  bool operator==(const key_record&) const = default;
};

struct keys {
  std::vector<key_record> records;

  bool operator==(const keys&) const = default;
};

/// Parses and checks the two lists together.
/// @param accounts_text content of accounts.json, with comments.
/// @param plans_text content of plans.json, with comments.
/// @return the lists, or every `parse_error` found, the first carried by LEAF.
leaf::result<lists> parse_lists(std::string_view accounts_text, std::string_view accounts_file,
                                std::string_view plans_text, std::string_view plans_file);

/// Parses the stored form of the lists (one JSON document without comments) and checks it.
leaf::result<lists> parse_lists_document(std::string_view text);
/// @return the stored form, with members in a fixed order.
std::string to_document(const lists& value);

leaf::result<keys> parse_keys_document(std::string_view text);
std::string to_document(const keys& value);

/// @return one line for each change from `before` to `after`, for operators.
std::vector<std::string> differences(const lists& before, const lists& after);

/// @return one line for each change of a key from `before` to `after`; digests are not shown.
std::vector<std::string> differences(const keys& before, const keys& after);

/// Names of the two documents.
inline constexpr std::string_view lists_document = "lists";
inline constexpr std::string_view keys_document = "keys";

/// @param name `lists_document` or `keys_document`.
/// @param document stored form of the lists or keys, as `to_document` gives it.
/// @param write_id identifier that is unique for each write.
/// @return content of the platform object: {"write_id": ..., "<name>": <document>}.
std::string to_object_content(std::string_view name, std::string_view document,
                              std::string_view write_id);
/// @param name `lists_document` or `keys_document`.
/// @return the stored form of the document inside the content of its platform object, or a
/// `parse_error` through LEAF. The document itself is not checked.
leaf::result<std::string> document_in_object(std::string_view name, std::string_view content);

/// Settings of a node, with defaults. docs/operators.md lists them.
struct node_settings {
  std::string name;
  std::string data_centre;
  /// IP address that callers and peers reach.
  std::string address;
  std::uint16_t caller_port = 8'080;
  /// Announcements and inner calls of the VM's own upstreams.
  std::uint16_t local_port = 8'081;
  std::uint16_t peer_port = 8'082;
  std::uint16_t metrics_port = 8'083;
  /// Object API of the platform; several addresses are tried in turn.
  std::vector<endpoint> platform;
  /// Peer endpoints of a few other nodes.
  std::vector<endpoint> seeds;
  /// Data centres of the fleet in a fixed order, the same on every node.
  std::vector<std::string> data_centres;
  /// Shared by all nodes; at least 32 characters.
  std::string cluster_secret;
  /// Accepted but not used for sending, during a rotation; may be empty.
  std::string previous_cluster_secret;
  /// OTLP/HTTP collector; port 0 turns span export off.
  endpoint collector;

  std::uint32_t max_connections = 1'024;
  std::uint32_t max_body_bytes = 1'048'576;
  std::uint32_t max_header_bytes = 16'384;
  std::uint32_t max_queue_per_service = 256;
  milliseconds idle_timeout{60'000};
  milliseconds header_timeout{5'000};
  milliseconds body_timeout{10'000};
  milliseconds drain_timeout{30'000};

  std::uint32_t retry_budget = 4;
  std::uint32_t max_depth = 14;
  std::uint32_t cold_limit = 4;
  double slot_headroom = 1.0;
  milliseconds queue_wait{20};
  milliseconds token_wait{40};
  milliseconds grant_ttl{500};
  milliseconds transfer_ttl{100};
  milliseconds clock_margin{100};
  double ceiling_fraction = 0.5;
  std::uint32_t claim_shards = 16;
  milliseconds claim_batch_interval{10};
  std::uint32_t claim_head_limit = 65'536;
  seconds claim_retention{86'400};
  seconds key_grace{14'400};
  milliseconds probe_period{500};
  milliseconds suspicion{2'000};
  milliseconds coordinator_term{3'000};
  milliseconds announce_lapse{6'000};
  std::uint32_t platform_calls_per_second = 100;
  milliseconds platform_timeout{1'000};
  /// "chosen", "fixed" (fixed limit, fixed retries) or "none" (no control); the last two
  /// are baselines for measurements.
  std::string policy = "chosen";
  std::uint32_t fixed_limit = 32;
  /// "goodput" weighs goodput and recovery, "fairness" the worst-served account and
  /// wrongful refusals.
  std::string objective = "goodput";
  /// Peers and platform endpoints whose traffic is dropped; only for failure tests.
  std::string test_cut_file;

  bool operator==(const node_settings&) const = default;
};

/// Parses and checks a node's settings. Durations are strings with a unit: "500ms", "4h".
/// @return the settings, or every `parse_error` found, the first carried by LEAF.
leaf::result<node_settings> parse_node_settings(std::string_view text, std::string_view file);

/// One row of the settings' documentation.
struct setting_description {
  std::string name;
  /// "string", "list of strings", "integer", "number" or "duration".
  std::string kind;
  std::string default_value;
  std::string range;
  std::string meaning;
  bool required = false;
};

/// @return every setting of `node_settings`, from the same table that parsing checks against.
std::vector<setting_description> node_setting_descriptions();

/// @return the duration of "<integer><unit>" with the units ms, s, m, h and d, or nothing.
std::optional<milliseconds> parse_duration(std::string_view text);
/// @return the shortest exact text in ms, s, m or h.
std::string format_duration(milliseconds value);

/// @return the endpoint of "<IPv4 address>:<port>" with a port above 0, or nothing.
std::optional<endpoint> parse_endpoint(std::string_view text);

/// Reads a whole file.
/// @return its content, or an `environment_error` through LEAF.
leaf::result<std::string> read_file(const std::string& path);

} // namespace damaskledge::config
