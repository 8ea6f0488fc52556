#include <ctime>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "http/http.h"
#include "http/raw_server.h"

using namespace damaskledge;

namespace {

http::read_state read_request(http::request_reader& reader, std::string text) {
  return reader.feed(text);
}

http::read_error error_of(const std::string& text) {
  http::request_reader reader{http::message_limits{512, 64}};
  std::string input = text;
  REQUIRE(reader.feed(input) == http::read_state::failed);
  return reader.error();
}

/// @return processor time of this thread.
milliseconds processor_time() {
  timespec value{};
  ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &value);
  return std::chrono::duration_cast<milliseconds>(seconds(value.tv_sec) +
                                                  std::chrono::nanoseconds(value.tv_nsec));
}

/// @return `piece`, repeated up to `size` bytes.
std::string repeated(const std::string& piece, std::size_t size) {
  std::string result;
  while (result.size() + piece.size() <= size) {
    result += piece;
  }
  return result;
}

/// Reads bytes that arrive `step` at a time, until the message is whole or refused.
template <class Reader>
void read_in_steps(Reader& reader, const std::string& bytes, std::size_t step) {
  std::string input;
  for (std::size_t at = 0; at < bytes.size(); at += step) {
    input.append(bytes, at, step);
    const auto state = reader.feed(input);
    if (state == http::read_state::complete || state == http::read_state::failed) {
      return;
    }
  }
}

} // namespace

TEST_CASE("A message of many small parts does not hold up the other connections") {
  // Heads cost the square of their fields, and chunks the square of what arrived with them, so
  // that a few answers held up every connection of a node for seconds.
  constexpr std::size_t mebibyte = 1'024UL * 1'024UL;
  constexpr std::size_t head_bytes = 64'000;
  // What a stream reads in one round.
  constexpr std::size_t round_bytes = 64UL * 1'024UL;
  const std::string fields = repeated("a:\r\n", head_bytes);
  const std::string answer = "HTTP/1.1 200 OK\r\n";
  const std::string request = "POST / HTTP/1.1\r\nHost: a\r\n";
  const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n";
  struct row {
    std::string name;
    std::string answer;
    std::string request;
    std::size_t step;
  };
  const std::vector<row> rows{
      {"fields of interim answers",
       repeated("HTTP/1.1 100 Continue\r\n" + fields + "\r\n", mebibyte), "", round_bytes},
      {"fields", answer + fields + "\r\n", request + fields + "\r\n", round_bytes},
      {"fields that arrive byte by byte", answer + fields, request + fields, 1},
      {"chunks", answer + chunked + repeated("1\r\nx\r\n", mebibyte),
       request + chunked + repeated("1\r\nx\r\n", mebibyte), round_bytes},
      {"chunks that arrive at once", answer + chunked + repeated("1\r\nx\r\n", mebibyte),
       request + chunked + repeated("1\r\nx\r\n", mebibyte), mebibyte},
      {"empty lines", "", repeated("\r\n", mebibyte), mebibyte},
      {"names in a Connection field",
       answer + "Connection: " + repeated("a,", head_bytes / 2) + "\r\n" +
           fields.substr(0, head_bytes / 2) + "\r\n",
       "", round_bytes},
  };
  for (const auto& it : rows) {
    CAPTURE(it.name);
    const auto began = processor_time();
    http::response_reader responses{http::message_limits{round_bytes, mebibyte}};
    responses.start(false);
    read_in_steps(responses, it.answer, it.step);
    http::remove_connection_fields(responses.message().fields);
    http::request_reader requests{http::message_limits{round_bytes, mebibyte}};
    read_in_steps(requests, it.request, it.step);
    // Callers must have their answers half a second after the timeout of their route.
    CHECK(processor_time() - began < milliseconds(500));
  }
}

TEST_CASE("Interim answers together are no larger than one head may be") {
  http::response_reader reader{http::message_limits{512, 64}};
  reader.start(false);
  std::string input =
      repeated("HTTP/1.1 103 Early Hints\r\nA: " + std::string(200, 'x') + "\r\n\r\n", 1'024) +
      "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
  CHECK(reader.feed(input) == http::read_state::failed);
}

TEST_CASE("A request that arrives byte by byte is read whole") {
  const std::string text = "POST /a/b?c=d HTTP/1.1\r\nHost: x.example:80\r\nContent-Length: 3\r\n"
                           "X-Other: 1\r\n\r\nabcGET";
  http::request_reader reader{http::message_limits{}};
  std::string input;
  std::size_t consumed = 0;
  for (const char it : text) {
    input += it;
    ++consumed;
    if (reader.feed(input) == http::read_state::complete) {
      break;
    }
  }
  CHECK(consumed == text.size() - 3);
  CHECK(reader.message().method == "POST");
  CHECK(reader.message().target == "/a/b?c=d");
  CHECK(reader.message().body == "abc");
  CHECK(*reader.message().fields.find("x-other") == "1");
  CHECK(input.empty());
}

TEST_CASE("Bytes behind a request stay for the next one") {
  http::request_reader reader{http::message_limits{}};
  std::string input = "GET / HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\n";
  REQUIRE(reader.feed(input) == http::read_state::complete);
  CHECK(reader.message().target == "/");
  reader.reset();
  REQUIRE(reader.feed(input) == http::read_state::complete);
  CHECK(reader.message().target == "/2");
}

TEST_CASE("A chunked body is joined and its end is found") {
  http::request_reader reader{http::message_limits{}};
  std::string input = "PUT / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
                      "3;x=y\r\nabc\r\n2\r\nde\r\n0\r\nT: v\r\n\r\nrest";
  REQUIRE(reader.feed(input) == http::read_state::complete);
  CHECK(reader.message().body == "abcde");
  CHECK(input == "rest");
}

TEST_CASE("Requests that two parsers could frame differently are refused") {
  const std::string start = "POST / HTTP/1.1\r\nHost: a\r\n";
  const std::string bad[] = {
      start + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\nabc",
      start + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
      start + "Content-Length: +3\r\n\r\nabc",
      start + "Content-Length : 3\r\n\r\nabc",
      start + "Transfer-Encoding: gzip, chunked\r\n\r\n",
      start + "Transfer-Encoding: chunked\r\n\r\nzz\r\n",
      start + "X: a\r\n folded\r\n\r\n",
      start + "X: a\nY: b\r\n\r\n",
      "POST / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n",
      "POST / HTTP/1.1\r\nX: y\r\n\r\n",
      "POST http://a/ HTTP/1.1\r\nHost: a\r\n\r\n",
      "POST / HTTP/2.0\r\nHost: a\r\n\r\n",
      std::string("GET / HTTP/1.1\r\nHost: a\r\nX: ") + '\0' + "\r\n\r\n",
  };
  for (const auto& it : bad) {
    CAPTURE(it);
    CHECK(error_of(it) == http::read_error::malformed);
  }
}

// Guards against a parser that decodes values (RFC 2047), which could add line ends to them.
TEST_CASE("Field values are passed on as they arrived and cannot hide a request") {
  const std::string values[] = {
      "=?UTF-8?B?eA0KWC1UZW5hbnQ6IGINCg0KR0VUIC8gSFRUUC8xLjENCg0K?=", // x, a field, a request
      "=?UTF-8?Q?x=0D=0AX-Tenant:_b?=",
      "=?UTF-8?Q?x=0Ay?=",
      "=?UTF-8?Q?plain?=",
      "before =?x?= after",
      "=?x?=",
      std::string(9'000, 'v'),
      "\xC3\xA9",
      "",
  };
  for (const auto& value : values) {
    CAPTURE(value);
    const std::string fields = "Host: a\r\nX-Title: " + value + "\r\n";
    std::string input = "GET / HTTP/1.1\r\n" + fields + "\r\n";
    http::request_reader request{http::message_limits{}};
    REQUIRE(request.feed(input) == http::read_state::complete);
    CHECK(*request.message().fields.find("X-Title") == value);
    CHECK(http::serialize_head(request.message()) == "GET / HTTP/1.1\r\n" + fields);

    http::response_reader response{http::message_limits{}};
    response.start(true);
    input = "HTTP/1.1 200 OK\r\n" + fields + "\r\n";
    REQUIRE(response.feed(input) == http::read_state::complete);
    CHECK(http::serialize_head(response.message()) == "HTTP/1.1 200 OK\r\n" + fields);
  }
}

// Guards against framing that is read from another form of the fields than the one passed on.
TEST_CASE("Fields that only a decoder reads as framing are refused or have no effect") {
  CHECK(error_of("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: =?UTF-8?Q?3?=\r\n\r\nabc") ==
        http::read_error::malformed);
  CHECK(error_of("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: =?UTF-8?Q?chunked?=\r\n\r\n") ==
        http::read_error::malformed);
}

TEST_CASE("Heads and bodies above their limits are refused by kind") {
  CHECK(error_of("GET / HTTP/1.1\r\nHost: a\r\nX: " + std::string(600, 'x')) ==
        http::read_error::head_too_large);
  CHECK(error_of("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 65\r\n\r\n") ==
        http::read_error::body_too_large);
  CHECK(error_of("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n41\r\n") ==
        http::read_error::body_too_large);
}

TEST_CASE("An answer that is delimited by its connection is whole only after an orderly end") {
  http::response_reader reader{http::message_limits{}};
  reader.start(false);
  std::string input = "HTTP/1.1 200 OK\r\n\r\npart";
  CHECK(reader.feed(input) == http::read_state::body);
  CHECK(reader.until_close());
  CHECK(reader.end_of_stream() == http::read_state::complete);
  CHECK(reader.message().body == "part");
}

TEST_CASE("An answer that ends before its length is not whole") {
  http::response_reader reader{http::message_limits{}};
  reader.start(false);
  std::string input = "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\npart";
  CHECK(reader.feed(input) == http::read_state::body);
  CHECK(reader.end_of_stream() == http::read_state::failed);
}

TEST_CASE("Answers that two parsers could read differently are refused") {
  for (std::string it : test::malformed_answers()) {
    CAPTURE(it);
    http::response_reader reader{http::message_limits{}};
    reader.start(false);
    CHECK(reader.feed(it) == http::read_state::failed);
  }
}

TEST_CASE("Interim answers are skipped and answers without a body end with their head") {
  http::response_reader reader{http::message_limits{}};
  reader.start(false);
  std::string input = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n";
  REQUIRE(reader.feed(input) == http::read_state::complete);
  CHECK(reader.message().status == 204);
  reader.start(true);
  input = "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n";
  CHECK(reader.feed(input) == http::read_state::complete);
}

TEST_CASE("Fields of one connection are not passed on, nor those that it names") {
  http::header_fields fields;
  fields.add("Connection", "close, X-Hop");
  fields.add("X-Hop", "1");
  fields.add("Keep-Alive", "timeout=5");
  fields.add("Transfer-Encoding", "chunked");
  fields.add("X-End", "2");
  http::remove_connection_fields(fields);
  REQUIRE(fields.all().size() == 1);
  CHECK(fields.all().front().name == "X-End");
}

TEST_CASE("The idle timeout of a kept connection is read") {
  http::header_fields fields;
  CHECK_FALSE(http::keep_alive_timeout(fields));
  fields.add("Keep-Alive", "timeout=7, max=100");
  CHECK(http::keep_alive_timeout(fields) == seconds(7));
  fields.set("Keep-Alive", "timeout=x");
  CHECK_FALSE(http::keep_alive_timeout(fields));
}

TEST_CASE("A request that is not whole stays unanswered") {
  http::request_reader reader{http::message_limits{}};
  CHECK(read_request(reader, "GET / HT") == http::read_state::head);
}
