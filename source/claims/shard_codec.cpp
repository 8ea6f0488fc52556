#include "claims/shard_codec.h"

#include <boost/archive/iterators/base64_from_binary.hpp>
#include <boost/archive/iterators/binary_from_base64.hpp>
#include <boost/archive/iterators/transform_width.hpp>
#include <nlohmann/json.hpp>

namespace damaskledge::claims {
namespace {

namespace iterators = boost::archive::iterators;

template <class Integer>
void append_little_endian(std::string& out, Integer value) {
  for (std::size_t it = 0; it < sizeof(Integer); ++it) {
    out += static_cast<char>(value >> (8 * it) & 0xFFU);
  }
}

template <class Integer>
Integer read_little_endian(std::string_view& in) {
  std::uint64_t value = 0;
  for (std::size_t it = 0; it < sizeof(Integer); ++it) {
    value |= std::uint64_t{static_cast<unsigned char>(in[it])} << (8 * it);
  }
  in.remove_prefix(sizeof(Integer));
  return static_cast<Integer>(value);
}

// Rows are a multiple of three bytes, so that neither direction needs base64 padding.
std::string to_base64(const std::string& bytes) {
  using iterator = iterators::base64_from_binary<iterators::transform_width<const char*, 6, 8>>;
  return {iterator(bytes.data()), iterator(bytes.data() + bytes.size())};
}

std::optional<std::string> from_base64(const std::string& text) {
  using iterator = iterators::transform_width<iterators::binary_from_base64<const char*>, 8, 6>;
  if (text.size() % 4 != 0) {
    return std::nullopt;
  }
  try {
    return std::string(iterator(text.data()), iterator(text.data() + text.size()));
  } catch (const iterators::dataflow_exception&) {
    return std::nullopt;
  }
}

std::string encode_rows(const std::vector<claim_row>& rows) {
  std::string bytes;
  bytes.reserve(rows.size() * row_bytes);
  for (const claim_row& it : rows) {
    append_little_endian(bytes, it.operation.high);
    append_little_endian(bytes, it.operation.low);
    append_little_endian(bytes, it.body_hash);
    append_little_endian(bytes, it.request.high);
    append_little_endian(bytes, it.request.low);
    append_little_endian(bytes, it.recorded_at);
    append_little_endian(bytes, it.grant);
    append_little_endian(bytes, it.status);
    append_little_endian(bytes, static_cast<std::uint8_t>(it.state));
  }
  return to_base64(bytes);
}

std::optional<std::vector<claim_row>> decode_rows(const std::string& text) {
  const std::optional<std::string> bytes = from_base64(text);
  if (!bytes || bytes->size() % row_bytes != 0) {
    return std::nullopt;
  }
  std::vector<claim_row> rows;
  rows.reserve(bytes->size() / row_bytes);
  std::string_view in = *bytes;
  while (!in.empty()) {
    claim_row it;
    it.operation.high = read_little_endian<std::uint64_t>(in);
    it.operation.low = read_little_endian<std::uint64_t>(in);
    it.body_hash = read_little_endian<std::uint64_t>(in);
    it.request.high = read_little_endian<std::uint64_t>(in);
    it.request.low = read_little_endian<std::uint64_t>(in);
    it.recorded_at = read_little_endian<std::uint32_t>(in);
    it.grant = read_little_endian<std::uint32_t>(in);
    it.status = read_little_endian<std::uint16_t>(in);
    const auto state = read_little_endian<std::uint8_t>(in);
    if (state > static_cast<std::uint8_t>(row_state::released)) {
      return std::nullopt;
    }
    it.state = static_cast<row_state>(state);
    rows.push_back(it);
  }
  return rows;
}

} // namespace

std::string encode(const shard_content& value) {
  nlohmann::json segments = nlohmann::json::array();
  for (const segment_reference& it : value.segments) {
    segments.push_back({to_string(it.id), it.newest, it.rows});
  }
  nlohmann::json out = {{"write_id", to_string(value.write_id)},
                        {"segments", std::move(segments)},
                        {"rows", encode_rows(value.rows)}};
  if (value.era > 1) {
    out["era"] = value.era;
  }
  return out.dump();
}

std::optional<shard_content> decode(std::string_view text) {
  const nlohmann::json in = nlohmann::json::parse(text, nullptr, false);
  if (!in.is_object() || !in.contains("write_id") || !in["write_id"].is_string() ||
      !in.contains("segments") || !in["segments"].is_array() || !in.contains("rows") ||
      !in["rows"].is_string()) {
    return std::nullopt;
  }
  const std::optional<id128> write_id = parse_id128(in["write_id"].get<std::string>());
  std::optional<std::vector<claim_row>> rows = decode_rows(in["rows"].get<std::string>());
  if (!write_id || !rows) {
    return std::nullopt;
  }
  shard_content out{*write_id, {}, std::move(*rows)};
  if (const auto era = in.find("era"); era != in.end()) {
    if (!era->is_number_unsigned() || era->get<std::uint64_t>() == 0) {
      return std::nullopt;
    }
    out.era = era->get<std::uint64_t>();
  }
  for (const nlohmann::json& it : in["segments"]) {
    if (!it.is_array() || it.size() != 3 || !it[0].is_string() || !it[1].is_number_unsigned() ||
        !it[2].is_number_unsigned()) {
      return std::nullopt;
    }
    const std::optional<id128> id = parse_id128(it[0].get<std::string>());
    if (!id) {
      return std::nullopt;
    }
    out.segments.push_back({*id, it[1].get<std::uint32_t>(), it[2].get<std::uint32_t>()});
  }
  return out;
}

} // namespace damaskledge::claims
