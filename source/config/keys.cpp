#include <algorithm>
#include <limits>
#include <map>

#include <nlohmann/json.hpp>

#include "config/config.h"
#include "config/located_json.h"

namespace damaskledge::config {

namespace {

constexpr std::size_t id_digits = 12;
constexpr std::size_t digest_digits = 64;

bool is_lower_hex(std::string_view text, std::size_t digits) {
  return text.size() == digits && std::all_of(text.begin(), text.end(), [](char it) {
           return (it >= '0' && it <= '9') || (it >= 'a' && it <= 'f');
         });
}

/// Reads a member of `digits` hexadecimal digits that no earlier record has.
void read_hex(object_reader& reader, std::string_view name, std::size_t digits,
              std::map<std::string, int>& seen, std::string& out) {
  if (!reader.read(name, presence::required, out)) {
    return;
  }
  if (!is_lower_hex(out, digits)) {
    reader.report(name, "a string of " + std::to_string(out.size()) + " characters",
                  "write " + std::to_string(digits) + " lower-case hexadecimal digits");
    return;
  }
  const int line = reader.source().line_of(reader.path_of(name));
  const auto [it, inserted] = seen.emplace(out, line);
  if (!inserted) {
    reader.report(name, "the value of line " + std::to_string(it->second) + " again",
                  "keep one of the two records");
  }
}

} // namespace

leaf::result<keys> parse_keys_document(std::string_view text) {
  std::vector<parse_error> errors;
  keys result;
  const located_json source = parse_located(text, "keys", errors);
  if (source.complete) {
    object_reader root(source, source.value, "", errors);
    std::map<std::string, int> ids;
    std::map<std::string, int> digests;
    if (const auto* records = root.array("records", presence::required)) {
      for (std::size_t it = 0; it < records->size(); ++it) {
        object_reader reader(source, (*records)[it], element_path("records", it), errors);
        key_record record;
        read_hex(reader, "id", id_digits, ids, record.id);
        reader.read_name("account", presence::required, record.account);
        read_hex(reader, "digest", digest_digits, digests, record.digest);
        reader.read("given_at", presence::required, record.given_at, 0,
                    std::numeric_limits<std::int64_t>::max());
        reader.read("withdrawn", presence::required, record.withdrawn);
        reader.finish();
        result.records.push_back(std::move(record));
      }
    }
    root.finish();
  }
  if (!errors.empty()) {
    return fail_with(std::move(errors));
  }
  return result;
}

std::string to_document(const keys& value) {
  nlohmann::ordered_json result;
  result["records"] = nlohmann::ordered_json::array();
  for (const auto& it : value.records) {
    result["records"].push_back({{"id", it.id},
                                 {"account", it.account},
                                 {"digest", it.digest},
                                 {"given_at", it.given_at},
                                 {"withdrawn", it.withdrawn}});
  }
  return result.dump();
}

} // namespace damaskledge::config
