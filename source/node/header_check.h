/// @file
/// Checks the headers of a request while they arrive, before the HTTP library parses them.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "common/common.h"

namespace damaskledge::node {

/// Looks at the bytes of one message's headers. The HTTP library closes the connection without an
/// answer for a Content-Length that is no number, and answers over-long headers without a reason.
class header_check {
 public:
  /// @param max_bytes bound on all headers, the request line included.
  explicit header_check(std::size_t max_bytes) : max_bytes_(max_bytes) {}

  /// Takes further bytes; those after the headers' end are ignored.
  /// @return what is wrong with the headers, or nothing.
  std::optional<refusal> feed(std::string_view bytes);
  /// Starts with the next message.
  void reset();

 private:
  std::optional<refusal> check_line() const;

  std::size_t max_bytes_;
  std::size_t bytes_ = 0;
  std::string line_;
  bool has_lines_ = false;
  bool ended_ = false;
};

} // namespace damaskledge::node
