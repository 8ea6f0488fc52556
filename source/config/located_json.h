/// @file
/// JSON with comments in which every field keeps its line number, and readers that collect
/// errors. Internal to the config library.
#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

#include "common/common.h"
#include "config/config.h"

namespace damaskledge::config {

/// A parsed JSON text and the line of each field.
struct located_json {
  std::string file;
  nlohmann::json value;
  /// Line numbers from 1, keyed by field path, for example "routes[2].importance".
  std::unordered_map<std::string, int> lines;
  /// False when the text is not JSON; `value` is then incomplete.
  bool complete = false;

  /// @return the line of the field, or of the nearest enclosing field that exists.
  [[nodiscard]] int line_of(std::string path) const;
};

/// Parses JSON with `//` and `/* */` comments. Syntax errors and duplicate members are
/// appended to `errors`.
located_json parse_located(std::string_view text, std::string_view file,
                           std::vector<parse_error>& errors);

/// @return the value as named in error messages, for example `string "abc"`; long strings
/// are cut.
std::string describe(const nlohmann::json& value);

/// @return true for 1 to 64 letters, digits, '.', '_' and '-', starting with a letter or digit.
bool is_name(std::string_view text);

/// Whether a field may be left out.
enum class presence : std::uint8_t { required, optional };

/// Reads the members of one JSON object. Wrong types, missing members and members that
/// nobody asked for become errors.
class object_reader {
 public:
  object_reader(const located_json& source, const nlohmann::json& value, std::string path,
                std::vector<parse_error>& errors);

  /// Each of these leaves `out` unchanged when the member is absent or wrong.
  /// @return true when the member was present and right.
  bool read(std::string_view name, presence need, std::string& out);
  bool read(std::string_view name, presence need, bool& out);
  bool read(std::string_view name, presence need, double& out, double minimum, double maximum);
  bool read(std::string_view name, presence need, std::int64_t& out, std::int64_t minimum,
            std::int64_t maximum);
  bool read(std::string_view name, presence need, milliseconds& out, milliseconds minimum,
            milliseconds maximum);
  bool read(std::string_view name, presence need, std::vector<std::string>& out);
  /// Reads a string that must pass `is_name`.
  bool read_name(std::string_view name, presence need, std::string& out);
  /// Reads a string without ever quoting it in an error.
  bool read_secret(std::string_view name, presence need, std::string& out);

  /// @return the member when it is an array, otherwise nullptr.
  const nlohmann::json* array(std::string_view name, presence need);

  /// Reports the members that were never read.
  void finish();

  /// Adds an error about a member of this object.
  void report(std::string_view name, std::string found, std::string remedy);

  [[nodiscard]] std::string path_of(std::string_view name) const;
  [[nodiscard]] const located_json& source() const { return source_; }
  [[nodiscard]] std::vector<parse_error>& errors() const { return errors_; }

 private:
  const nlohmann::json* member(std::string_view name, presence need);

  const located_json& source_;
  const nlohmann::json& value_;
  std::string path_;
  std::vector<parse_error>& errors_;
  std::set<std::string, std::less<>> known_;
};

/// Adds an error about the field at `path`.
void report(std::vector<parse_error>& errors, const located_json& source, const std::string& path,
            std::string found, std::string remedy);

/// @return a LEAF error with the first of `errors` as `parse_error` and all as `parse_errors`.
/// @param errors at least one.
leaf::error_id fail_with(std::vector<parse_error> errors);

/// @return `path`[`index`].
std::string element_path(const std::string& path, std::size_t index);

} // namespace damaskledge::config
