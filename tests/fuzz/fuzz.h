/// @file
/// What the fuzz targets share. A target ends the process when a property does not hold, which
/// libFuzzer reports together with the input.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "common/common.h"

namespace damaskledge::fuzz {

/// Runs one input. Each target defines it; the libFuzzer entry point calls it.
void run(const std::uint8_t* data, std::size_t size);

/// Ends the process with the property's text when it does not hold.
void require(bool holds, std::string_view property);

/// @return the input as text.
std::string_view text_of(const std::uint8_t* data, std::size_t size);

/// Splits an input at its lines that consist of "----". Text inputs stay readable in the corpus.
/// @return `parts` texts; the last one keeps the rest, missing ones are empty.
std::vector<std::string_view> split(std::string_view input, std::size_t parts);

/// @return the result's value, or nothing when it carries an error.
/// @param on_error called with each `parse_error` that the result carries.
template <class Function, class Handler>
auto value_of(Function&& call, Handler&& on_error) {
  using value_type = std::decay_t<decltype(call().value())>;
  return leaf::try_handle_all(
      [&]() -> leaf::result<std::optional<value_type>> {
        BOOST_LEAF_AUTO(value, call());
        return std::optional<value_type>(std::move(value));
      },
      [&](const parse_error& error) {
        on_error(error);
        return std::optional<value_type>{};
      },
      [] { return std::optional<value_type>{}; });
}

template <class Function>
auto value_of(Function&& call) {
  return value_of(std::forward<Function>(call), [](const parse_error& /*error*/) {});
}

} // namespace damaskledge::fuzz
