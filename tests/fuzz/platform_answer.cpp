// Answers of the platform's object API: head and body as they come from a connection.
#include <sstream>

#include <Poco/Exception.h>

#include "fuzz/fuzz.h"
#include "platform/http_answer.h"

using namespace damaskledge;

namespace {

void check_response(std::string_view input) {
  std::istringstream in{std::string(input)};
  Poco::Net::HTTPResponse response;
  response.read(in);
  const platform::answer_head head = platform::check_head(response);
  fuzz::require(!head.usable || (head.status != 200 && head.status != 201) || head.version > 0,
                "a usable answer with an object has its version");
  fuzz::require(head.usable || !head.reason.empty(), "an unusable answer tells the reason");
  fuzz::require(head.retry_after <= seconds{60}, "a pause is at most 60 s");
  const std::string body(std::istreambuf_iterator<char>(in), {});
  const bool whole = platform::check_body(response, body).empty();
  if (whole && !response.hasContentLength() && body.starts_with('{')) {
    fuzz::require(!platform::check_body(response, body.substr(0, body.find_last_of('}'))).empty(),
                  "a truncated object is recognised");
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

  try {
    check_response(input);
  } catch (const Poco::Exception&) { // NOLINT(bugprone-empty-catch)
    // The client counts an answer that POCO cannot read as lost.
  }
}
