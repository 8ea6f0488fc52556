/// @file
/// Checks of the platform's HTTP answers, internal to the platform library. They need no socket.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "http/http.h"
#include "platform/platform.h"

namespace damaskledge::platform {

/// @return the version of an ETag, or nothing when it is not a positive decimal number in
/// double quotes.
std::optional<std::uint64_t> parse_etag(std::string_view text);

/// @return the era of a Store-Era header, or nothing when it is not a positive decimal number.
std::optional<std::uint64_t> parse_era(std::string_view text);

/// @return the time of a Retry-After header in whole seconds, at most 60 s; zero when it is not a
/// number.
milliseconds parse_retry_after(std::string_view text);

/// @return the member "write_id" of an object's content; empty when there is none.
std::string write_id_of(std::string_view content);

/// @return true for a status that tells that the call did not take effect.
bool refused(int status);

/// What the head of a complete answer says.
struct answer_head {
  int status = 0;
  /// Version of a valid ETag with the era of the answer; 0 when there is none.
  std::uint64_t version = 0;
  /// Era of the platform; 1 when the answer names none.
  std::uint64_t era = 1;
  milliseconds retry_after{0};
  /// False when the status needs a version and the ETag has none.
  bool usable = false;
  std::string reason;
};

/// Checks status, ETag and Retry-After of a response.
answer_head check_head(const http::response& response);

/// @return the reason why a body is incomplete; empty when it is whole.
std::string check_body(const http::response& response);

} // namespace damaskledge::platform
