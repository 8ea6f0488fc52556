/// @file
/// Stored form of claim shards, internal to the claims library.
/// Objects are JSON with a member "write_id"; rows are one base64 string of fixed-size rows.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "common/common.h"

namespace damaskledge::claims {

enum class row_state : std::uint8_t {
  /// Held by a request that has not reported its outcome.
  claimed,
  finished,
  /// Tombstone: overrides a row of an older segment; the operation can be claimed again.
  released,
};

/// Record of one operation.
struct claim_row {
  id128 operation;
  std::uint64_t body_hash = 0;
  id128 request;
  /// Time of the claim, in seconds since the Unix epoch.
  std::uint32_t recorded_at = 0;
  /// Random number drawn for each decision to grant. A writer that withdraws a claim which it
  /// did not grant compares it, so as not to release a later grant by another writer.
  std::uint32_t grant = 0;
  std::uint16_t status = 0;
  row_state state = row_state::claimed;

  bool operator==(const claim_row&) const = default;
};

/// Bytes of a row before base64; a multiple of 3, so that rows need no padding.
inline constexpr std::size_t row_bytes = 16 + 8 + 16 + 4 + 4 + 2 + 1;
/// Characters of a row in a stored object.
inline constexpr std::size_t row_characters = row_bytes / 3 * 4;

struct segment_reference {
  id128 id;
  /// Latest `recorded_at` of its rows.
  std::uint32_t newest = 0;
  std::uint32_t rows = 0;

  bool operator==(const segment_reference&) const = default;
};

/// Characters of a segment reference in a stored head, rounded up.
inline constexpr std::size_t segment_reference_characters = 60;
/// Characters of a stored head without rows and segments, rounded up.
inline constexpr std::size_t head_overhead_characters = 100;

/// Content of `claims/<shard>/head`, and of a segment (without references).
struct shard_content {
  id128 write_id;
  /// Oldest first. For the same operation, a row of a later segment overrides one of an earlier
  /// segment, and a row of the head overrides them all.
  std::vector<segment_reference> segments;
  std::vector<claim_row> rows;
  /// Latest era of the platform in which writers have had time to add claims that it had lost.
  std::uint64_t era = 1;

  bool operator==(const shard_content&) const = default;
};

std::string encode(const shard_content& value);
/// @return nothing when the text is not a stored shard object.
std::optional<shard_content> decode(std::string_view text);

} // namespace damaskledge::claims
