/// @file
/// Claims on non-idempotent operations. A claim is valid only when a conditional update of
/// its shard's head object has succeeded; safety does not rest on leases or clocks.
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
  /// Bytes of a head object above which it is sealed into a segment.
  std::uint32_t head_limit = 65'536;
  seconds retention{86'400};
  /// A request waiting longer than this is answered `unavailable`, unless its write is in flight;
  /// a write in flight whose claim then succeeds is released again.
  milliseconds request_timeout{2'000};
  /// Largest answer kept in memory for repeats, in bytes.
  std::uint32_t kept_answer_limit = 4'096;
  /// Answers kept in memory over all shards.
  std::uint32_t kept_answers = 10'000;
  /// Rows held in memory over all shards, about 100 B each. At this number new operations are
  /// answered `unavailable`; `retention` times the rate of claims has to stay below it.
  std::uint32_t max_rows = 1'000'000;
  /// Requests waiting at once over all shards; further ones are answered `unavailable`.
  std::uint32_t max_waiting = 10'000;
  /// A shard that got no request for this time is forgotten and read again when needed.
  seconds shard_idle{600};
};

/// @return shard of an operation.
std::uint32_t shard_of(const id128& operation, std::uint32_t shards);
/// @return index of the data centre that usually writes a shard.
std::uint32_t home_of(std::uint32_t shard, std::uint32_t data_centres);

/// Claim writer of a coordinator. Not thread-safe.
/// Two writers of one shard are safe: the loser of the conditional update re-reads and merges.
class claim_writer {
 public:
  /// @param seed random, different for each process: write ids are drawn from it.
  claim_writer(settings options, std::uint64_t seed);
  ~claim_writer();
  claim_writer(claim_writer&& other) noexcept;
  claim_writer& operator=(claim_writer&& other) noexcept;

  /// Forgets everything; used when the node stops being coordinator.
  void reset();
  /// While `value` is false, new claim requests are answered `not_writer` and new finishes as
  /// not stored. Initially true.
  void set_writer(bool value);
  /// Handles claim requests and finishes. Replies come out of this call, or later out of
  /// `tick` and `on_answer`.
  struct effects {
    std::vector<wire::outgoing> messages;
    std::vector<platform::requested_call> calls;
  };
  effects receive(time_point now, unix_milliseconds wall, const wire::incoming& from);
  effects tick(time_point now, unix_milliseconds wall);
  effects on_answer(time_point now, unix_milliseconds wall, std::uint64_t tag,
                    const platform::answer& result);

 private:
  struct tables;
  std::unique_ptr<tables> tables_;
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
