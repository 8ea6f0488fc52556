/// @file
/// Header lists and the rules on which headers are forwarded.
#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace damaskledge::node {

using header_list = std::vector<std::pair<std::string, std::string>>;

/// @param name compared without case.
/// @return the first value of that name, or nullptr.
const std::string* find_header(const header_list& headers, std::string_view name);

/// @return true for headers that belong to one connection (RFC 9110 section 7.6.1), that carry a
/// key, or that the node sets itself.
bool stays_behind(std::string_view name);

} // namespace damaskledge::node
