#include <algorithm>
#include <limits>
#include <sstream>

#include <Poco/Base64Decoder.h>
#include <Poco/Base64Encoder.h>

#include "routing/routing.h"

namespace damaskledge::routing {

namespace {

constexpr char format_version = 1;
constexpr std::size_t mac_length = 16;
/// Text lengths, retries and depth are written as one byte each.
constexpr std::size_t max_byte_value = 255;
/// Domain separation: the cluster secret also signs the frames between nodes, and a signature of
/// one kind must not be accepted as the other.
constexpr std::string_view mac_label = "damaskledge-context-1";
constexpr std::string_view alphabet =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";

void put_number(std::string& out, std::uint64_t value, unsigned bytes) {
  for (unsigned it = bytes; it-- > 0;) {
    out += static_cast<char>(value >> (8U * it) & 0xFFU);
  }
}

void put_text(std::string& out, std::string_view text) {
  put_number(out, text.size(), 1);
  out += text;
}

/// Reads fields in order; after the first missing field, `complete` returns false.
class field_reader {
 public:
  explicit field_reader(std::string_view data) : data_(data) {}

  std::uint64_t number(unsigned bytes) {
    if (data_.size() < bytes) {
      failed_ = true;
      return 0;
    }
    std::uint64_t value = 0;
    for (unsigned it = 0; it < bytes; ++it) {
      value = value << 8U | static_cast<unsigned char>(data_[it]);
    }
    data_.remove_prefix(bytes);
    return value;
  }

  std::string text() {
    const std::uint64_t length = number(1);
    if (failed_ || data_.size() < length) {
      failed_ = true;
      return {};
    }
    std::string value(data_.substr(0, length));
    data_.remove_prefix(length);
    return value;
  }

  bool complete() const { return !failed_ && data_.empty(); }

 private:
  std::string_view data_;
  bool failed_ = false;
};

std::string sign(std::string_view fields, std::string_view secret) {
  std::string input(mac_label);
  input += fields;
  const digest256 mac = hmac_sha256(secret, input);
  return {mac.begin(), mac.begin() + mac_length};
}

std::string encode_base64url(const std::string& bytes) {
  std::ostringstream out;
  Poco::Base64Encoder encoder(out, Poco::BASE64_URL_ENCODING | Poco::BASE64_NO_PADDING);
  encoder.rdbuf()->setLineLength(0);
  encoder.write(bytes.data(), static_cast<std::streamsize>(bytes.size()));
  encoder.close();
  return out.str();
}

std::optional<std::string> decode_base64url(std::string_view text) {
  if (text.empty() || text.size() > max_token_length || text.size() % 4 == 1 ||
      text.find_first_not_of(alphabet) != std::string_view::npos) {
    return std::nullopt;
  }
  try {
    std::istringstream in{std::string(text)};
    Poco::Base64Decoder decoder(in, Poco::BASE64_URL_ENCODING | Poco::BASE64_NO_PADDING);
    std::string bytes((text.size() * 3 / 4), '\0');
    decoder.read(bytes.data(), static_cast<std::streamsize>(bytes.size()));
    bytes.resize(static_cast<std::size_t>(decoder.gcount()));
    return bytes;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

} // namespace

std::string encode_context(const context& value, std::string_view secret) {
  if (std::max({value.account.size(), value.key_id.size(), value.vm_address.size(),
                value.issuer.address.size()}) > max_byte_value ||
      value.retries > max_byte_value || value.depth > max_byte_value) {
    return {};
  }
  std::string fields;
  fields.reserve(160);
  fields += format_version;
  for (const std::uint64_t it : {value.id.high, value.id.low, value.request.high, value.request.low,
                                 static_cast<std::uint64_t>(value.deadline)}) {
    put_number(fields, it, 8);
  }
  put_number(fields, static_cast<std::uint64_t>(value.importance), 1);
  put_number(fields, value.retries, 1);
  put_number(fields, value.depth, 1);
  put_number(fields, value.issuer.port, 2);
  for (const std::string_view it : std::initializer_list<std::string_view>{
           value.account, value.key_id, value.vm_address, value.issuer.address}) {
    put_text(fields, it);
  }
  return encode_base64url(fields + sign(fields, secret));
}

std::optional<context> decode_context(std::string_view token,
                                      const std::vector<std::string>& secrets) {
  const auto bytes = decode_base64url(token);
  if (!bytes || bytes->size() <= mac_length) {
    return std::nullopt;
  }
  const std::string_view all(*bytes);
  const std::string_view fields = all.substr(0, all.size() - mac_length);
  const std::string_view mac = all.substr(all.size() - mac_length);
  bool matches = false;
  for (const std::string& it : secrets) {
    // An empty secret means that no rotation is in progress.
    if (!it.empty() && equal_constant_time(sign(fields, it), mac)) {
      matches = true;
    }
  }
  if (!matches) {
    return std::nullopt;
  }
  field_reader reader(fields);
  if (reader.number(1) != format_version) {
    return std::nullopt;
  }
  context value;
  value.id.high = reader.number(8);
  value.id.low = reader.number(8);
  value.request.high = reader.number(8);
  value.request.low = reader.number(8);
  value.deadline = static_cast<unix_milliseconds>(reader.number(8));
  const std::uint64_t importance_value = reader.number(1);
  value.importance = static_cast<importance>(importance_value);
  value.retries = static_cast<std::uint32_t>(reader.number(1));
  value.depth = static_cast<std::uint32_t>(reader.number(1));
  value.issuer.port = static_cast<std::uint16_t>(reader.number(2));
  value.account = reader.text();
  value.key_id = reader.text();
  value.vm_address = reader.text();
  value.issuer.address = reader.text();
  if (!reader.complete() || importance_value > static_cast<std::uint64_t>(importance::low)) {
    return std::nullopt;
  }
  return value;
}

} // namespace damaskledge::routing
