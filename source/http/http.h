/// @file
/// Incremental reading of HTTP/1.1 messages with strict framing, and their serialization.
///
/// Poco's HTTPRequest and HTTPResponse parse the start line; the readers here delimit the head and
/// the body without blocking, and reject what two parsers could frame differently. The work for a
/// message grows with its size and not with its square, whatever it consists of and however it
/// arrives: one thread reads the messages of all connections.
/// Programs with a thread for each call read answers with the same readers (`client_connection`).
/// Source: RFC 9112.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <Poco/Net/StreamSocket.h>

#include "common/common.h"

namespace damaskledge::http {

struct header_field {
  std::string name;
  std::string value;

  bool operator==(const header_field&) const = default;
};

/// Header fields in the order of arrival; names compare without case.
class header_fields {
 public:
  void add(std::string name, std::string value);
  /// Removes every field of that name.
  void remove(std::string_view name);
  /// Removes every field that meets the condition.
  void remove_if(const std::function<bool(const header_field&)>& condition);
  /// Replaces every field of that name by one.
  void set(std::string_view name, std::string value);
  /// @return the first value, or nothing.
  const std::string* find(std::string_view name) const;
  const std::vector<header_field>& all() const { return fields_; }

  bool operator==(const header_fields&) const = default;

 private:
  std::vector<header_field> fields_;
};

struct request {
  std::string method;
  /// Path and query as sent.
  std::string target;
  header_fields fields;
  std::string body;
  /// The sender keeps the connection open for a further request.
  bool keep_alive = true;
  bool expects_continue = false;
};

struct response {
  int status = 0;
  std::string reason;
  header_fields fields;
  std::string body;
  bool keep_alive = true;
};

struct message_limits {
  std::size_t head_bytes = 16UL * 1024UL;
  std::size_t body_bytes = 16UL * 1024UL * 1024UL;
};

enum class read_error : std::uint8_t { malformed, head_too_large, body_too_large, incomplete };

/// How far a message has arrived.
enum class read_state : std::uint8_t { idle, head, body, complete, failed };

namespace detail {

/// @return the text without spaces and tabs at both ends.
std::string_view trim(std::string_view text);

enum class framing : std::uint8_t { none, length, chunked, until_close };

/// Finds the end of a head in a growing buffer. Searches no byte twice, since a head may arrive in
/// many pieces.
class head_finder {
 public:
  /// @param input the same buffer as in the last call, with further bytes at its end.
  /// @return the end of the head including its empty line, or npos.
  std::size_t find(std::string_view input);

 private:
  /// No end begins before this position.
  std::size_t searched_ = 0;
};

/// Decodes one message's body from a growing buffer.
class body_decoder {
 public:
  void start(framing kind, std::size_t length, std::size_t limit);
  /// Moves decoded bytes from `input` to `body`.
  /// @return complete, failed or body.
  read_state feed(std::string& input, std::string& body);
  framing kind() const { return kind_; }
  read_error error() const { return error_; }

 private:
  enum class chunk_step : std::uint8_t { size, data, data_end, trailer };
  read_state feed_chunked(std::string& input, std::string& body);
  /// Removes from `rest` what was decoded.
  read_state decode_chunks(std::string_view& rest, std::string& body);
  read_state fail(read_error error);

  framing kind_ = framing::none;
  std::size_t remaining_ = 0;
  std::size_t limit_ = 0;
  /// Bytes of trailer lines so far.
  std::size_t trailer_bytes_ = 0;
  chunk_step step_ = chunk_step::size;
  read_error error_ = read_error::malformed;
};

} // namespace detail

/// Reads requests from one connection, one after the other.
class request_reader {
 public:
  explicit request_reader(message_limits limits) : limits_(limits) {}

  void set_limits(message_limits limits) { limits_ = limits; }
  /// Consumes bytes of at most one request from `input`.
  read_state feed(std::string& input);
  read_state state() const { return state_; }
  read_error error() const { return error_; }
  /// Valid from state `body` on.
  request& message() { return message_; }
  /// Makes the reader ready for the next request.
  void reset();

 private:
  read_state fail(read_error error);
  bool parse_head(std::string_view block);

  message_limits limits_;
  read_state state_ = read_state::idle;
  read_error error_ = read_error::malformed;
  detail::head_finder head_;
  request message_;
  detail::body_decoder body_;
};

/// Reads the response to one request.
class response_reader {
 public:
  explicit response_reader(message_limits limits) : limits_(limits) {}

  /// @param head_request the request had method HEAD, so the response has no body.
  void start(bool head_request);
  read_state feed(std::string& input);
  /// The connection has ended in order. Completes a body that is delimited by it.
  read_state end_of_stream();
  read_state state() const { return state_; }
  /// Valid in state `failed`.
  read_error error() const { return error_; }
  response& message() { return message_; }
  /// The body is delimited by the end of the connection.
  bool until_close() const { return body_.kind() == detail::framing::until_close; }

 private:
  read_state fail(read_error error);
  bool parse_head(std::string_view block);

  message_limits limits_;
  bool head_request_ = false;
  int interim_answers_ = 0;
  /// Size of the heads of the interim answers so far.
  std::size_t interim_bytes_ = 0;
  read_state state_ = read_state::idle;
  read_error error_ = read_error::malformed;
  detail::head_finder head_;
  response message_;
  detail::body_decoder body_;
};

/// A request to send; the body stays with its owner.
struct outgoing_request {
  std::string method;
  /// Path and query.
  std::string target;
  header_fields fields;
  std::string_view body;
};

/// Why an answer can't be used.
struct receive_failure {
  read_error why = read_error::incomplete;
  /// The head was valid, so the failure is in the body.
  bool in_body = false;

  bool operator==(const receive_failure&) const = default;
};

/// @return text for errors and logs.
std::string to_string(const receive_failure& value);

/// One connection to a server, for threads that wait for their answers.
///
/// Poco's HTTPClientSession is not used, since it accepts malformed heads as answers and takes the
/// end of a broken chunked body for its last chunk.
class client_connection {
 public:
  client_connection(const Poco::Net::StreamSocket& socket, message_limits limits);

  /// Sends a request, with Content-Length where the method may have a body. If the connection
  /// breaks meanwhile, an answer may have arrived before, so that is told by `receive`.
  /// @throws Poco::TimeoutException at the deadline.
  void send(const outgoing_request& value, time_point deadline);
  /// Receives the final answer to the request that was sent last.
  /// @return nothing when `message` is the whole answer. After a failure in the body its head is
  /// valid.
  /// @throws Poco::TimeoutException at the deadline.
  std::optional<receive_failure> receive(time_point deadline);
  response& message() { return reader_.message(); }
  /// The body of the answer was delimited by an orderly end of the connection.
  bool until_close() const { return reader_.until_close(); }
  /// The answer was whole, and the connection can take another request.
  bool reusable() const { return reusable_; }
  /// Bytes of the last request may have been sent.
  bool sent() const { return sent_; }
  /// The server has closed the idle connection or sent bytes that belong to no request.
  bool stale() const;
  Poco::Net::StreamSocket& socket() { return socket_; }

 private:
  /// @return false at the end of the connection, orderly or not.
  bool receive_some(time_point deadline);
  receive_failure failure(read_error why);

  Poco::Net::StreamSocket socket_;
  response_reader reader_;
  std::string input_;
  bool sent_ = false;
  /// The connection has ended or broken, or its bytes can't be told apart any more.
  bool broken_ = false;
  bool reusable_ = false;
};

/// A whole answer, or the reason why there is none.
struct fetch_result {
  std::optional<response> answer;
  std::string error;
};

/// Makes one request on a connection of its own.
/// @param limits bounds of the answer.
fetch_result fetch(const endpoint& server, outgoing_request value, milliseconds timeout,
                   message_limits limits);

/// Removes the fields that concern only one connection, and those named by `Connection`.
/// Source: RFC 9110 section 7.6.1.
void remove_connection_fields(header_fields& fields);

/// @return start line and fields, each with its line end, without the empty line.
std::string serialize_head(const request& message);
std::string serialize_head(const response& message);
/// @return a whole response with Content-Length.
std::string serialize(const response& message, bool head_request = false);
/// @return the standard reason phrase of a status.
std::string reason_phrase(int status);
/// @return true for text with control characters other than tabs, which no field value may hold.
bool has_control_character(std::string_view text);
/// Compares without case.
bool same_name(std::string_view a, std::string_view b);
/// @return the non-negative decimal number, or nothing.
std::optional<std::uint64_t> parse_number(std::string_view text);
/// @return the idle timeout of a `Keep-Alive` field, or nothing.
std::optional<seconds> keep_alive_timeout(const header_fields& fields);

} // namespace damaskledge::http
