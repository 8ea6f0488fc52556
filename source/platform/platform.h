/// @file
/// Client of the platform's object API: versions, conditional updates and watches.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "common/common.h"

namespace damaskledge::platform {

/// Bits of a version below its era.
inline constexpr unsigned era_shift = 40;

/// @param era of the platform, from 1. It rises when the platform comes back from an older copy and
/// gives out versions again.
/// @param stored version of an object in the platform.
/// @return version that is higher than all versions of earlier eras, and `stored` in the first era.
constexpr std::uint64_t version_in_era(std::uint64_t era, std::uint64_t stored) {
  return (era - 1) << era_shift | stored;
}
constexpr std::uint64_t era_of(std::uint64_t version) {
  return (version >> era_shift) + 1;
}
constexpr std::uint64_t stored_version(std::uint64_t version) {
  return version & ((std::uint64_t{1} << era_shift) - 1);
}

/// An object as the platform returned it. Versions of an object only rise, since they contain the
/// era of the platform; after a restoration a higher version may have an older content.
struct object {
  std::string name;
  std::uint64_t version = 0;
  std::string content;

  bool operator==(const object&) const = default;
};

/// Reads an object.
struct read {
  std::string name;
};

/// Writes an object if its version is still `expected_version` (0: if it does not exist).
/// `content` is JSON with a member "write_id" that is unique for each write; after a
/// lost answer the client reads the object and recognises its own write by it.
struct write {
  std::string name;
  std::uint64_t expected_version = 0;
  std::string content;
};

/// Removes an object if its version is still `expected_version`.
struct erase {
  std::string name;
  std::uint64_t expected_version = 0;
};

/// Waits until the object's version is above `known_version` or the timeout passes.
struct watch {
  std::string name;
  std::uint64_t known_version = 0;
  milliseconds timeout{0};
};

using call = std::variant<read, write, erase, watch>;

/// The object has the requested state: read or watched content, or the written version.
struct found {
  object value;
};
/// The object does not exist.
struct absent {
  std::uint64_t era = 1;
};
/// The condition of an update failed. `current` is the object as read afterwards when
/// that read succeeded; its version is 0 otherwise.
struct conflict {
  object current;
};
/// Nothing newer came before the watch's timeout.
struct unchanged {};
/// The call did not take effect: refused, rate-limited, or no connection.
struct unavailable {
  std::string reason;
  milliseconds retry_after{0};
};
/// A write was sent and its fate could not be resolved by reading.
struct unresolved {
  std::string reason;
};

using answer = std::variant<found, absent, conflict, unchanged, unavailable, unresolved>;

/// A platform call that a state machine wants made. The answer comes back to the
/// state machine that asked, with the same tag.
struct requested_call {
  std::uint64_t tag = 0;
  call what;
};

/// Kind of a call, in the order of the alternatives of `call`.
enum class call_kind : std::uint8_t { read, write, erase, watch };
/// Result of a call, in the order of the alternatives of `answer`.
enum class call_result : std::uint8_t {
  found,
  absent,
  conflict,
  unchanged,
  unavailable,
  unresolved
};

/// @return the name for metrics, for example "read".
std::string_view to_string(call_kind kind);
/// @return the name for metrics, for example "unresolved".
std::string_view to_string(call_result result);

/// Number of calls with one kind and one result.
struct call_count {
  call_kind kind{};
  call_result result{};
  std::uint64_t count = 0;

  bool operator==(const call_count&) const = default;
};

/// Token bucket over platform calls. It holds at most one second's worth of calls.
/// Not synchronised.
class call_budget {
 public:
  /// @param calls_per_second at least 1; lower values count as 1.
  call_budget(double calls_per_second, time_point now);

  /// Takes one call from the budget.
  /// @return zero when the call may be made, else the time until the next one is available.
  duration take(time_point now);
  /// Takes one call even when none is available; later calls pay for it. For the reads that
  /// find out what became of a write, which must not wait.
  void charge(time_point now);
  /// @return calls that may be made at once; negative after `charge`.
  double available(time_point now);

 private:
  void refill(time_point now);

  double rate_;
  double tokens_;
  time_point refilled_at_;
};

/// Delays between attempts with full jitter: uniform between zero and a bound that doubles
/// with each failure in a row. Source: "Exponential Backoff And Jitter", AWS Architecture
/// Blog, 2015. Not synchronised.
class backoff {
 public:
  static constexpr milliseconds first_bound{50};
  /// Below the coordinator's term of 3 s: after an outage a holder must renew before a candidate
  /// whose wait happened to be shorter takes its place.
  static constexpr milliseconds highest_bound{1'000};

  explicit backoff(std::uint64_t seed);

  /// Records a failure.
  /// @param at_least delay that the server asked for; the jitter is added to it.
  /// @return the time before which no attempt should be made.
  time_point failed(time_point now, milliseconds at_least = milliseconds{0});
  void succeeded();
  /// @return the time before which no attempt should be made.
  [[nodiscard]] time_point retry_at() const { return retry_at_; }

 private:
  std::uint64_t random_state_;
  unsigned failures_ = 0;
  time_point retry_at_{};
};

/// Returns true for an endpoint that must not be reached. For failure tests; it is asked
/// before a call is sent and again before its answer is used, on the calling thread.
using endpoint_predicate = std::function<bool(const endpoint&)>;

/// Blocking client of the object API (docs/design.md section 4.3) over kept-alive HTTP
/// connections. `execute` may be called from several threads at once.
///
/// * An endpoint that fails is not used again before its backoff has passed. A read goes on
///   to the next endpoint, and so does any call whose connection could not be opened.
/// * 429 and 5xx are `unavailable`. The platform refuses before it writes, so a 5xx answer
///   counts as "did not take effect".
/// * 412 is `conflict` with the object as read afterwards, or `found` when the object
///   carries the write's own "write_id".
/// * When the answer to a write is lost, the client reads the object: `found` when it
///   carries the write's "write_id", `conflict` when it has another newer version. The lost
///   write may have taken effect before that newer version. When the object still has the
///   old version the client sends the conditional write once more, which is harmless if the
///   first copy arrives late. `unresolved` when reading fails too.
/// * An erased object is `absent`.
/// * Once an answer has shown a later era, a conditional update on a version of an earlier one is a
///   conflict, and a watch from such a version returns the object as it is. After a failed call, a
///   watch reads the object first, since the platform may have been restored meanwhile.
/// * A watch with `known_version` 0 also waits for an object that does not exist yet.
/// * Answers that are truncated, larger than `max_answer_bytes`, or whose ETag is not a
///   positive decimal number in double quotes count as lost.
class http_client {
 public:
  static constexpr std::size_t max_answer_bytes = 2'097'152;
  /// Added to a watch's own timeout, for the transfer of the answer.
  static constexpr milliseconds watch_margin{1'000};

  class builder;

  http_client(const http_client&) = delete;
  http_client& operator=(const http_client&) = delete;
  ~http_client();

  /// Makes one call and waits for its answer, for at most a few times the timeout.
  answer execute(const call& what);

  /// Ends calls in flight and lets later calls answer `unavailable`. A watch would
  /// otherwise delay the end of the process by its timeout.
  void stop();

  /// @return the number of calls of each kind and result since the start, without zeros.
  [[nodiscard]] std::vector<call_count> counts() const;

 private:
  class implementation;
  explicit http_client(std::unique_ptr<implementation> value);
  std::unique_ptr<implementation> implementation_;
};

/// Collects the settings of an `http_client`.
class http_client::builder {
 public:
  /// Addresses of the object API, tried in turn.
  builder& endpoints(std::vector<endpoint> value);
  /// Bound on one exchange with an endpoint, without a watch's own timeout.
  builder& timeout(milliseconds value);
  builder& calls_per_second(double value);
  /// Seed of the jitter.
  builder& seed(std::uint64_t value);
  builder& refuse(endpoint_predicate value);
  [[nodiscard]] std::unique_ptr<http_client> build() const;

 private:
  std::vector<endpoint> endpoints_;
  milliseconds timeout_{1'000};
  double calls_per_second_ = 100;
  std::uint64_t seed_ = 1;
  endpoint_predicate refuse_;
};

} // namespace damaskledge::platform
