// Answers of the platform's object API: head and body as they come from a connection.
#include <string>

#include "fuzz/fuzz.h"
#include "platform/http_answer.h"

using namespace damaskledge;

namespace {

void check_response(std::string_view input) {
  std::string text(input);
  http::response_reader reader{http::message_limits{}};
  reader.start(false);
  // The client counts an answer that is malformed or incomplete as lost.
  if (reader.feed(text) != http::read_state::complete &&
      reader.end_of_stream() != http::read_state::complete) {
    return;
  }
  const http::response& response = reader.message();
  const platform::answer_head head = platform::check_head(response);
  fuzz::require(!head.usable || (head.status != 200 && head.status != 201) || head.version > 0,
                "a usable answer with an object has its version");
  fuzz::require(head.usable || !head.reason.empty(), "an unusable answer tells the reason");
  fuzz::require(head.retry_after <= seconds{60}, "a pause is at most 60 s");
  const std::string& body = response.body;
  const bool whole = platform::check_body(response).empty();
  if (whole && response.fields.find("Content-Length") == nullptr && body.starts_with('{')) {
    http::response part = response;
    part.body.resize(body.find_last_of('}'));
    fuzz::require(!platform::check_body(part).empty(), "a truncated object is recognised");
  }
  (void)platform::write_id_of(body);
}

} // namespace

void damaskledge::fuzz::run(const std::uint8_t* data, std::size_t size) {
  const std::string_view input = fuzz::text_of(data, size);
  if (const auto version = platform::parse_etag(input)) {
    // A replica may write leading zeros; the number is the same.
    fuzz::require(platform::parse_etag("\"" + std::to_string(*version) + "\"") == version,
                  "parse(print(x)) == x");
  }
  const milliseconds pause = platform::parse_retry_after(input);
  fuzz::require(pause >= milliseconds{0} && pause <= seconds{60}, "a pause is at most 60 s");
  (void)platform::write_id_of(input);

  check_response(input);
}
