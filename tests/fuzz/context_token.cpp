// Context tokens. The first byte chooses between a raw token, fields that get a valid signature,
// and a context made of the input that is encoded and decoded.
#include <sstream>

#include <Poco/Base64Encoder.h>
#include <fuzzer/FuzzedDataProvider.h>

#include "fuzz/fuzz.h"
#include "routing/routing.h"

using namespace damaskledge;

namespace {

const std::string secret = "the cluster secret of the fuzz targets";

/// @return the token of the fields, signed as `encode_context` does.
std::string signed_token(std::string_view fields) {
  const digest256 mac = hmac_sha256(secret, "damaskledge-context-1" + std::string(fields));
  std::ostringstream out;
  Poco::Base64Encoder encoder(out, Poco::BASE64_URL_ENCODING | Poco::BASE64_NO_PADDING);
  encoder.rdbuf()->setLineLength(0);
  encoder << fields;
  encoder.write(reinterpret_cast<const char*>(mac.data()), 16);
  encoder.close();
  return out.str();
}

routing::context made_of(FuzzedDataProvider& in) {
  routing::context value;
  value.id = {in.ConsumeIntegral<std::uint64_t>(), in.ConsumeIntegral<std::uint64_t>()};
  value.request = {in.ConsumeIntegral<std::uint64_t>(), in.ConsumeIntegral<std::uint64_t>()};
  value.deadline = in.ConsumeIntegral<unix_milliseconds>();
  value.importance = static_cast<importance>(in.ConsumeIntegralInRange(0, 3));
  value.retries = in.ConsumeIntegralInRange(0U, 300U);
  value.depth = in.ConsumeIntegralInRange(0U, 300U);
  value.issuer.port = in.ConsumeIntegral<std::uint16_t>();
  for (std::string* it :
       {&value.account, &value.key_id, &value.vm_address, &value.issuer.address}) {
    *it = in.ConsumeRandomLengthString(300);
  }
  return value;
}

} // namespace

void damaskledge::fuzz::run(const std::uint8_t* data, std::size_t size) {
  if (size == 0) {
    return;
  }
  const std::string_view rest = fuzz::text_of(data + 1, size - 1);
  if (data[0] == 'c') {
    FuzzedDataProvider in(data + 1, size - 1);
    const routing::context value = made_of(in);
    const std::string token = routing::encode_context(value, secret);
    if (!token.empty() && token.size() <= routing::max_token_length) {
      fuzz::require(routing::decode_context(token, {"", secret}) == value,
                    "decode(encode(x)) == x");
      fuzz::require(!routing::decode_context(token, {"", "another secret"}),
                    "a token under another secret is refused");
    }
    return;
  }
  const bool raw = data[0] == 'r';
  const std::string token = raw ? std::string(rest) : signed_token(rest);
  const auto value = routing::decode_context(token, {secret, ""});
  if (value) {
    const std::string again = routing::encode_context(*value, secret);
    fuzz::require(routing::decode_context(again, {secret}) == value, "decode(encode(x)) == x");
    fuzz::require(raw || again == token, "signed fields have one encoding only");
  }
}
