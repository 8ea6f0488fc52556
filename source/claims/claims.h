/// @file
/// Claims on non-idempotent operations. A claim is valid only after a conditional update of
/// its shard's head object has succeeded; safety does not depend on leases or clocks.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "platform/platform.h"
#include "wire/wire.h"

namespace damaskledge::claims {

struct settings {
  std::uint32_t shards = 16;
  milliseconds batch_interval{10};
  /// Size of a head object, in bytes, above which its rows are moved to an immutable segment.
  std::uint32_t head_limit = 65'536;
  seconds retention{86'400};
  /// A request waiting longer than this is answered `unavailable`, unless its write is in flight.
  /// If such a write then grants the claim, the request is answered `unavailable` and the claim
  /// is released again.
  milliseconds request_timeout{2'000};
  /// Largest answer, in bytes, that is kept in memory for repeated requests.
  std::uint32_t kept_answer_limit = 4'096;
  /// Maximum number of answers kept in memory over all shards.
  std::uint32_t kept_answers = 10'000;
  /// Maximum number of rows held in memory over all shards, about 100 B each. At this number new
  /// operations are answered `unavailable`; `retention` times the claim rate must stay below it.
  std::uint32_t max_rows = 1'000'000;
  /// Maximum number of waiting requests over all shards; further ones are answered `unavailable`.
  std::uint32_t max_waiting = 10'000;
  /// A shard without requests for this time is dropped from memory and read again when needed.
  seconds shard_idle{600};
};

/// @return shard of an operation.
std::uint32_t shard_of(const id128& operation, std::uint32_t shards);
/// @return index of the data centre that usually writes a shard.
std::uint32_t home_of(std::uint32_t shard, std::uint32_t data_centres);

/// Claim writer of a coordinator. Not thread-safe.
/// Two writers of one shard are safe: the one whose conditional update fails reads the shard
/// again and decides its requests on the new content.
class claim_writer {
 public:
  /// @param seed random seed for write ids; must differ between processes.
  claim_writer(settings options, std::uint64_t seed);
  ~claim_writer();
  claim_writer(claim_writer&& other) noexcept;
  claim_writer& operator=(claim_writer&& other) noexcept;

  /// Discards all shards, outstanding calls and kept answers; used when the node stops being
  /// coordinator.
  void reset();
  /// While `value` is false, new claim requests are answered `not_writer` and new finishes as
  /// not stored. Initially true.
  void set_writer(bool value);
  /// Tells the era of the platform. Shards that were read in an earlier one are read again, and
  /// what the platform has lost of them is written again.
  /// Until other writers have had time for the same, new operations are answered `unavailable`.
  void set_era(time_point now, std::uint64_t value);
  /// Messages to send and platform calls to make.
  struct effects {
    std::vector<wire::outgoing> messages;
    std::vector<platform::requested_call> calls;
  };
  /// Handles claim requests and finishes. Replies are returned by this call, or later by
  /// `tick` or `on_answer`.
  effects receive(time_point now, unix_milliseconds wall, const wire::incoming& from);
  effects tick(time_point now, unix_milliseconds wall);
  effects on_answer(time_point now, unix_milliseconds wall, std::uint64_t tag,
                    const platform::answer& result);

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

/// Outcome of a claim for the request that asked for it.
struct claim_result {
  wire::claim_decision decision = wire::claim_decision::unavailable;
  std::uint16_t status = 0;
  std::string content_type;
  std::string answer;
  bool answer_kept = false;
};

} // namespace damaskledge::claims
