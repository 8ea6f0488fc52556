/// @file
/// Escapes of URIs (RFC 3986), used inside the library only.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace damaskledge::admission {

/// @param plus_is_space true in queries of HTML forms.
/// @return the text with its escapes replaced, or nothing when an escape is malformed.
std::optional<std::string> percent_decode(std::string_view text, bool plus_is_space);

} // namespace damaskledge::admission
