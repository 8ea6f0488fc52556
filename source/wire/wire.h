/// @file
/// Messages between nodes, their codec with bounds, and the authenticated frame.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "common/common.h"

namespace damaskledge::wire {

/// Largest UDP payload in bytes; stays below the usual path MTU.
inline constexpr std::size_t max_datagram_bytes = 1'200;
/// Largest TCP frame in bytes: a platform object of a megabyte with its envelope.
inline constexpr std::size_t max_frame_bytes = 2'097'152;

enum class member_state : std::uint8_t { up, draining, suspect, left, dead };

/// One upstream announced by the node of its VM.
struct service_record {
  std::string service;
  std::uint16_t port = 0;
  /// Requests that the upstream runs at once, as announced.
  std::uint32_t slots = 0;
  /// Connections that the upstream accepts, as announced.
  std::uint32_t connections = 0;
  bool draining = false;
  /// Changes when the upstream's process is replaced, so that its limit starts cold again.
  std::uint64_t instance = 0;

  bool operator==(const service_record&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(service, port, slots, connections, draining, instance);
  }
};

/// Version of a document.
struct document_version {
  std::string name;
  std::uint64_t version = 0;

  bool operator==(const document_version&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(name, version);
  }
};

/// What a node tells of itself. Higher incarnations replace lower ones.
struct member_record {
  std::string name;
  std::string data_centre;
  std::string address;
  std::uint16_t peer_port = 0;
  std::uint16_t caller_port = 0;
  std::uint64_t incarnation = 0;
  member_state state = member_state::up;
  std::vector<service_record> services;
  /// Documents in force at this node.
  std::vector<document_version> documents;
  /// Random identifier of the node's process; unlike the incarnation it does not change while
  /// the process lives.
  std::uint64_t process = 0;

  bool operator==(const member_record&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(name, data_centre, address, peer_port, caller_port, incarnation, state, services,
            documents, process);
  }
};

/// Coordinator of a data centre as known to the sender.
struct coordinator_record {
  std::string data_centre;
  std::string holder;
  endpoint address;
  term held;
  /// Lowest version of the lists in force at an alive node of the data centre, as far as known.
  std::uint64_t lists_confirmed = 0;

  bool operator==(const coordinator_record&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(data_centre, holder, address, held, lists_confirmed);
  }
};

/// Shed level of a service as one node sees it; see admission.
struct shed_record {
  std::string service;
  std::string origin;
  std::uint32_t level = 0;
  std::uint64_t sequence = 0;

  bool operator==(const shed_record&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(service, origin, level, sequence);
  }
};

/// Facts that ride on every probe and acknowledgement.
struct gossip {
  std::vector<member_record> members;
  /// Highest version of each document that the sender has heard of.
  std::vector<document_version> highest;
  std::vector<coordinator_record> coordinators;
  std::vector<shed_record> shed_levels;
  /// Fingerprints of requests that are known to crash upstreams.
  std::vector<id128> crash_fingerprints;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(members, highest, coordinators, shed_levels, crash_fingerprints);
  }
};

/// SWIM direct probe.
struct probe {
  std::uint64_t sequence = 0;
  gossip facts;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(sequence, facts);
  }
};

/// Answer to a probe. `subject` is the node that was probed.
struct probe_acknowledgement {
  std::uint64_t sequence = 0;
  std::string subject;
  gossip facts;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(sequence, subject, facts);
  }
};

/// Asks the receiver to probe `subject` on behalf of the sender.
struct indirect_probe {
  std::uint64_t sequence = 0;
  std::string subject;
  endpoint subject_address;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(sequence, subject, subject_address);
  }
};

/// Sent at join: the sender's record; the receiver answers with all records.
struct member_sync_request {
  member_record self;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(self);
  }
};

struct member_sync_reply {
  gossip facts;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(facts);
  }
};

/// Tells that a version of a document exists.
struct document_rumour {
  document_version what;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(what);
  }
};

/// Asks for a document newer than `have` (0 when the sender has none).
struct document_pull {
  std::string name;
  std::uint64_t have = 0;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(name, have);
  }
};

/// A document, whole or as a JSON merge patch (RFC 7386) against `base`.
struct document_content {
  std::string name;
  std::uint64_t version = 0;
  /// 0 when `content` is the whole document, else the version that the patch applies to.
  std::uint64_t base = 0;
  std::string content;
  /// Hash of the whole document of that version.
  id128 hash;
  /// Age of the sender's confirmation by the platform that its version is current.
  std::uint64_t confirmed_age_ms = 0;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(name, version, base, content, hash, confirmed_age_ms);
  }
};

/// Tells the age of the platform's last confirmation; spreads freshness of keys.
struct document_confirmation {
  document_version what;
  std::uint64_t confirmed_age_ms = 0;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(what, confirmed_age_ms);
  }
};

/// A node asks its coordinator for tokens of an account.
struct token_request {
  std::string account;
  std::uint64_t sequence = 0;
  /// Random identifier of the node's process, so that a restart is recognised.
  std::uint64_t process = 0;
  term held;
  /// Tokens that this process spent or let expire since it started, under `held`.
  std::uint64_t settled_total = 0;
  std::uint32_t wanted = 0;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(account, sequence, process, held, settled_total, wanted);
  }
};

struct token_grant {
  std::string account;
  std::uint64_t sequence = 0;
  term held;
  std::uint32_t tokens = 0;
  /// Validity in milliseconds from the moment when the node sent the request.
  std::uint32_t ttl_ms = 0;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(account, sequence, held, tokens, ttl_ms);
  }
};

/// A coordinator asks the coordinator of another data centre for spare tokens. Transfers are
/// counted in thousandths of a token, because a small burst leaves most of its tokens as parts
/// of one in each data centre.
struct transfer_request {
  std::string account;
  std::string data_centre;
  std::uint64_t sequence = 0;
  std::uint32_t wanted_millitokens = 0;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(account, data_centre, sequence, wanted_millitokens);
  }
};

struct transfer_grant {
  std::string account;
  std::string data_centre;
  std::uint64_t sequence = 0;
  std::uint32_t millitokens = 0;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(account, data_centre, sequence, millitokens);
  }
};

/// The requester has added the tokens of a transfer to its own. They then no longer count
/// against the burst of the data centre that gave them.
struct transfer_receipt {
  std::string account;
  std::string data_centre;
  std::uint64_t sequence = 0;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(account, data_centre, sequence);
  }
};

/// A node asks a claim writer for the right to run an operation once.
struct claim_request {
  std::uint64_t sequence = 0;
  id128 operation;
  std::uint64_t body_hash = 0;
  /// Request that would run the operation.
  id128 request;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(sequence, operation, body_hash, request);
  }
};

enum class claim_decision : std::uint8_t {
  granted,
  already_claimed,
  already_run,
  body_differs,
  unavailable,
  not_writer,
};

struct claim_reply {
  std::uint64_t sequence = 0;
  id128 operation;
  claim_decision decision = claim_decision::unavailable;
  /// Request that holds the claim.
  id128 holder;
  /// Status and answer of the earlier run, when known.
  std::uint16_t status = 0;
  std::string content_type;
  std::string answer;
  bool answer_kept = false;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(sequence, operation, decision, holder, status, content_type, answer, answer_kept);
  }
};

/// The holder of a claim tells how it ended.
struct claim_finish {
  std::uint64_t sequence = 0;
  id128 operation;
  id128 request;
  /// True when the operation is known not to have run; the claim is then removed.
  bool released = false;
  std::uint16_t status = 0;
  std::string content_type;
  std::string answer;
  bool answer_kept = false;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(sequence, operation, request, released, status, content_type, answer, answer_kept);
  }
};

/// Tells that a finish has been stored.
struct claim_finish_reply {
  std::uint64_t sequence = 0;
  bool stored = false;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(sequence, stored);
  }
};

/// Context tokens whose requests have ended.
struct contexts_ended {
  std::vector<id128> contexts;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(contexts);
  }
};

/// Request in flight at a target that died.
struct crash_member {
  id128 fingerprint;
  /// Microseconds from the start of the attempt to the death.
  std::uint64_t age_us = 0;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(fingerprint, age_us);
  }
};

struct crash_death {
  std::string target;
  std::vector<crash_member> members;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(target, members);
  }
};

/// Tells all nodes of targets that died and what was in flight there, and of suspects that were
/// answered since.
struct crash_notice {
  std::vector<crash_death> deaths;
  std::vector<id128> cleared;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(deaths, cleared);
  }
};

using message = std::variant<probe, probe_acknowledgement, indirect_probe, member_sync_request,
                             member_sync_reply, document_rumour, document_pull, document_content,
                             document_confirmation, token_request, token_grant, transfer_request,
                             transfer_grant, claim_request, claim_reply, claim_finish,
                             claim_finish_reply, contexts_ended, crash_notice, transfer_receipt>;

/// How a message travels: datagrams may be lost, streams arrive in order or fail.
enum class transport : std::uint8_t { datagram, stream };

/// A message that a state machine wants sent.
struct outgoing {
  endpoint to;
  transport by = transport::datagram;
  message body;
};

/// A received message with its authenticated sender. Replies go to `from`.
struct incoming {
  std::string sender;
  endpoint from;
  message body;
};

/// Why a frame was dropped.
enum class frame_error : std::uint8_t {
  too_short,
  wrong_magic,
  wrong_version,
  wrong_length,
  wrong_authenticator,
  malformed_payload,
  over_limit,
};

/// @return text for logs, naming the remedy where there is one.
std::string_view to_string(frame_error error);

/// Bytes of the fixed frame header: magic, version, length, authenticator.
inline constexpr std::size_t frame_header_bytes = 4 + 2 + 4 + 16;

/// Encodes a message into a frame.
/// @param secret cluster secret; the frame carries a truncated HMAC-SHA-256 under it.
/// @param sender name of the sending node.
/// @param reply_to endpoint to which answers go.
/// @return the frame, or an empty string when it would exceed `max_frame_bytes`.
std::string encode(std::string_view secret, const std::string& sender, const endpoint& reply_to,
                   const message& body);

/// @return the bytes of the frame that `encode` makes, without making it.
std::size_t frame_bytes(const std::string& sender, const endpoint& reply_to, const message& body);
/// @return the bytes that the value adds to a frame as an element of a list.
std::size_t element_bytes(const member_record& value);
std::size_t element_bytes(const document_version& value);
std::size_t element_bytes(const coordinator_record& value);
std::size_t element_bytes(const shed_record& value);
std::size_t element_bytes(const id128& value);

/// Decodes a frame after its sizes and authenticator have been checked.
/// @param secrets current and, during a rotation, previous cluster secret.
/// @return the message, or a `frame_error` through LEAF.
leaf::result<incoming> decode(const std::vector<std::string>& secrets, std::string_view frame);

/// @param header the first `frame_header_bytes` bytes of a stream frame.
/// @return the payload's length in bytes, checked against `max_frame_bytes`.
leaf::result<std::size_t> payload_length(std::string_view header);

} // namespace damaskledge::wire
