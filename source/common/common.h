/// @file
/// Identifiers, times, outcomes, refusals, errors and hashes shared by all libraries.
#pragma once

#include <array>
#include <chrono>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include <boost/leaf.hpp>

namespace damaskledge {

namespace leaf = boost::leaf;

/// Monotonic clock of a process. State machines never read it: every function takes the time.
using clock_type = std::chrono::steady_clock;
using time_point = clock_type::time_point;
using duration = clock_type::duration;
using milliseconds = std::chrono::milliseconds;
using seconds = std::chrono::seconds;

/// Wall-clock milliseconds since the Unix epoch, used only where a time crosses processes.
using unix_milliseconds = std::int64_t;

/// @return the wall-clock time in milliseconds since the Unix epoch.
unix_milliseconds unix_now();

/// Importance of a request. Lower values are shed later.
enum class importance : std::uint8_t { critical, high, normal, low };

/// What is known about the execution of a refused request.
enum class outcome : std::uint8_t { not_run, unknown };

/// Machine-readable reasons of a refusal; `to_string` gives the name used on the wire.
enum class refusal_reason : std::uint8_t {
  malformed_request,
  key_in_body,
  operation_id_missing,
  key_missing,
  key_unknown,
  key_withdrawn,
  context_invalid,
  context_ended,
  route_not_in_plan,
  account_unknown,
  route_unknown,
  already_claimed,
  already_run,
  operation_body_differs,
  operation_too_old,
  body_too_large,
  headers_too_large,
  rate_exceeded,
  overloaded,
  no_target,
  claims_unavailable,
  keys_stale,
  no_configuration,
  draining,
  suspected_crash,
  too_many_connections,
  upstream_failed,
  answer_truncated,
  deadline_exceeded,
};

/// A refusal as told to the caller.
struct refusal {
  refusal_reason reason{};
  outcome state = outcome::not_run;
  milliseconds retry_after{0};
  /// Text for people, without keys; names the remedy.
  std::string detail;

  bool operator==(const refusal&) const = default;
};

/// @return the wire name, for example "rate-exceeded".
std::string_view to_string(refusal_reason reason);
/// @return "not-run" or "unknown".
std::string_view to_string(outcome state);
/// @return "critical", "high", "normal" or "low".
std::string_view to_string(importance value);
/// @return the importance of that name, or nothing.
std::optional<importance> parse_importance(std::string_view name);
/// @return the HTTP status of a reason, as listed in docs/design.md section 4.1.
int http_status(refusal_reason reason);

/// IP address and port of a process.
struct endpoint {
  std::string address;
  std::uint16_t port = 0;

  auto operator<=>(const endpoint&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(address, port);
  }
};

/// @return "address:port".
std::string to_string(const endpoint& value);

/// Right to coordinate a data centre. Higher terms fence lower ones.
/// The epoch comes from the platform; the rank rises when an acting coordinator
/// replaces a dead one while the platform is down.
struct term {
  std::uint64_t epoch = 0;
  std::uint32_t rank = 0;

  auto operator<=>(const term&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(epoch, rank);
  }
};

/// 128-bit value: a hash or a random identifier.
struct id128 {
  std::uint64_t high = 0;
  std::uint64_t low = 0;

  auto operator<=>(const id128&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(high, low);
  }
};

/// Hash functor for unordered containers keyed by `id128`.
struct id128_hash {
  std::size_t operator()(const id128& value) const noexcept { return value.low ^ value.high; }
};

/// @return 32 lower-case hexadecimal digits.
std::string to_string(const id128& value);
/// @return the value of 32 hexadecimal digits, or nothing.
std::optional<id128> parse_id128(std::string_view text);

/// @return xxHash XXH3 128-bit hash of the parts; the length of each part is
/// hashed too, so that different splits of the same bytes differ.
id128 hash_parts(std::initializer_list<std::string_view> parts);
/// @return xxHash XXH3 64-bit hash.
std::uint64_t hash64(std::string_view data);

/// @return a random identifier from the operating system's generator.
id128 random_id();

using digest256 = std::array<std::uint8_t, 32>;
/// @return SHA-256 of `data`.
digest256 sha256(std::string_view data);
/// @return HMAC-SHA-256 of `data` under `key`.
digest256 hmac_sha256(std::string_view key, std::string_view data);
/// Compares in time that does not depend on the contents.
bool equal_constant_time(std::string_view a, std::string_view b);
/// @return lower-case hexadecimal digits of the bytes.
std::string to_hex(std::string_view bytes);
/// @return the bytes of hexadecimal digits, or nothing.
std::optional<std::string> from_hex(std::string_view digits);

/// A text file or document that does not pass its checks.
struct parse_error {
  std::string file;
  /// Line number from 1; 0 when it is not known.
  int line = 0;
  /// Path of the field, for example "routes[2].importance".
  std::string field;
  std::string found;
  std::string remedy;

  bool operator==(const parse_error&) const = default;
};

/// Something that the program needs from its environment is not available.
struct environment_error {
  std::string what;
  std::string remedy;

  bool operator==(const environment_error&) const = default;
};

/// @return one line for people: file:line: field: found ...; remedy.
std::string to_string(const parse_error& error);
std::string to_string(const environment_error& error);

/// Records the violation of an invariant: counter, error log line, and process
/// exit when the environment variable DAMASKLEDGE_ABORT_ON_VIOLATION is set, as tests do.
/// @param name short identifier of the invariant, for example "share-sum".
void report_violation(std::string_view name, std::string_view detail);
/// @return the number of violations reported by this process.
std::uint64_t violation_count();

} // namespace damaskledge
