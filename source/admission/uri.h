/// @file
/// Percent-decoding of URIs (RFC 3986); internal to the admission library.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace damaskledge::admission {

/// @param plus_is_space true to decode '+' as a space, as in queries of HTML forms.
/// @return the decoded text, or nothing when an escape is malformed.
std::optional<std::string> percent_decode(std::string_view text, bool plus_is_space);

} // namespace damaskledge::admission
