// Requests and answers as they come from a connection, whole and byte by byte.
#include "fuzz/fuzz.h"
#include "http/http.h"

using namespace damaskledge;

namespace {

const http::message_limits limits{1'024, 4'096};

/// Reads one message, with `step` bytes arriving at a time.
template <class Reader>
std::string read(Reader& reader, std::string_view input, std::size_t step) {
  std::string buf;
  for (std::size_t at = 0; at < input.size(); at += step) {
    buf += input.substr(at, step);
    const auto state = reader.feed(buf);
    if (state == http::read_state::complete || state == http::read_state::failed) {
      break;
    }
  }
  return buf;
}

void check_request(std::string_view input) {
  http::request_reader whole(limits);
  http::request_reader pieces(limits);
  read(whole, input, input.size() + 1);
  read(pieces, input, 1);
  fuzz::require((whole.state() == http::read_state::complete) ==
                    (pieces.state() == http::read_state::complete),
                "the verdict does not depend on how the bytes arrive");
  if (whole.state() != http::read_state::complete) {
    return;
  }
  auto& message = whole.message();
  fuzz::require(message.body == pieces.message().body, "nor does the body");
  http::remove_connection_fields(message.fields);
  std::string forwarded = http::serialize_head(message) +
                          "Content-Length: " + std::to_string(message.body.size()) + "\r\n\r\n" +
                          message.body;
  http::request_reader next(http::message_limits{});
  fuzz::require(next.feed(forwarded) == http::read_state::complete && forwarded.empty(),
                "what is passed on is exactly one request");
  fuzz::require(next.message().target == message.target && next.message().body == message.body,
                "and the same one");
  fuzz::require(next.message().fields.all().size() == message.fields.all().size() + 1,
                "with the same fields");
}

void check_response(std::string_view input) {
  http::response_reader whole(limits);
  http::response_reader pieces(limits);
  whole.start(false);
  pieces.start(false);
  read(whole, input, input.size() + 1);
  read(pieces, input, 1);
  fuzz::require((whole.state() == http::read_state::complete) ==
                    (pieces.state() == http::read_state::complete),
                "the verdict on an answer does not depend on how the bytes arrive");
}

} // namespace

void damaskledge::fuzz::run(const std::uint8_t* data, std::size_t size) {
  const std::string_view input = fuzz::text_of(data, size);
  check_request(input);
  check_response(input);
}
