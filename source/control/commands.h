/// @file
/// Parts of the commands. Internal to the control library.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

#include "control/control.h"

namespace damaskledge::control {

/// What a command has to say, in both output formats.
struct report {
  std::vector<std::string> lines;
  nlohmann::ordered_json data = nlohmann::ordered_json::object();
  exit_code code = exit_code::success;
};

/// A document as the platform has it; version 0 when it does not exist.
template <class T>
struct stored {
  T value;
  std::uint64_t version = 0;
};

leaf::result<stored<config::lists>> read_lists(const environment& outside);
leaf::result<stored<config::keys>> read_keys(const environment& outside);

/// Reads any object.
/// @return the object, nothing when it does not exist, or a `failure` through LEAF.
leaf::result<std::optional<platform::object>> read_object(const environment& outside,
                                                          const std::string& name);

/// Result of a conditional write whose fate is known.
struct write_result {
  bool written = false;
  /// The version written, or the current one when the write lost.
  std::uint64_t version = 0;
};

/// Writes a document if its version is still `expected_version`. A lost response is resolved
/// by reading back the write id; the write is repeated only while the version is unchanged.
leaf::result<write_result> write_document(const environment& outside, std::string_view name,
                                          std::uint64_t expected_version,
                                          const std::string& document);

/// State of a version in one data centre.
struct confirmation {
  std::string data_centre;
  bool confirmed = false;
  std::uint64_t nodes = 0;
  /// Nodes that have the version or a higher one.
  std::uint64_t with_version = 0;
  std::vector<std::string> lagging;
  /// Why there are no figures; empty when there are.
  std::string problem;

  bool operator==(const confirmation&) const = default;
};

/// Waits until every data centre has confirmed the version or the timeout passes.
std::vector<confirmation> wait_in_force(const environment& outside, std::string_view document,
                                        std::uint64_t version,
                                        const std::vector<std::string>& data_centres,
                                        milliseconds timeout);

/// Waits when `--wait` was given, and adds the result and the exit code to the report.
leaf::result<void> add_wait(const environment& outside, const flags& given,
                            std::string_view document, std::uint64_t version,
                            const std::vector<std::string>& data_centres, report& result);

/// @return the names of the data centres of the lists.
std::vector<std::string> data_centre_names(const config::lists& value);

leaf::result<report> validate(const flags& given);
leaf::result<report> show(const environment& outside);
leaf::result<report> diff(const flags& given, const environment& outside);
leaf::result<report> apply(const flags& given, const environment& outside);
leaf::result<report> keys_give(const flags& given, const environment& outside);
leaf::result<report> keys_list(const flags& given, const environment& outside);
leaf::result<report> keys_withdraw(const std::string& id, const flags& given,
                                   const environment& outside);
leaf::result<report> keys_remove(const std::string& id, const flags& given,
                                 const environment& outside);
leaf::result<report> status(const environment& outside);
leaf::result<report> explain(const std::string& request_id, const environment& outside);

/// @return the lists of the files of `--accounts` and `--plans`, or a `failure` through LEAF.
leaf::result<config::lists> read_list_files(const flags& given);

/// Turns errors of the config library into a `failure`.
template <class Parse>
auto checked(Parse parse) -> decltype(parse()) {
  return leaf::try_handle_some(
      parse,
      [](const config::parse_errors& errors) -> decltype(parse()) {
        return leaf::new_error(failure(invalid_input{errors.all}));
      },
      [](const environment_error& error) -> decltype(parse()) {
        return leaf::new_error(failure(error));
      });
}

} // namespace damaskledge::control
