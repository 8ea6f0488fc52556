#include <algorithm>
#include <cctype>

#include <Poco/Exception.h>
#include <Poco/MemoryStream.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>

#include "http/http.h"

namespace damaskledge::http {

namespace {

/// Chunk extensions and trailers are discarded; their size is bounded.
constexpr std::size_t max_chunk_line = 1'024;
/// Size of all trailers of one message.
constexpr std::size_t max_trailers = 16UL * 1024UL;
/// Interim (1xx) answers before the final one; a server could send them without end. Their heads
/// together are no larger than one head may be.
constexpr int max_interim_answers = 16;

bool is_token_character(char value) {
  const auto code = static_cast<unsigned char>(value);
  return std::isalnum(code) != 0 ||
         std::string_view("!#$%&'*+-.^_`|~").find(value) != std::string_view::npos;
}

bool is_token(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), is_token_character);
}

/// @return the field of a line "name: value"; nothing for folding, a space before the colon or
/// control characters, since parsers differ in how they read such lines.
std::optional<header_field> parse_field(std::string_view line) {
  const auto colon = line.find(':');
  if (colon == std::string_view::npos || !is_token(line.substr(0, colon)) ||
      has_control_character(line)) {
    return std::nullopt;
  }
  return header_field{std::string(line.substr(0, colon)),
                      std::string(detail::trim(line.substr(colon + 1)))};
}

/// @return true for "HTTP/1.", a digit, a space, three digits and an optional reason. Poco's parser
/// takes other versions and any white space.
bool is_status_line(std::string_view line) {
  constexpr std::string_view digits_as_zeros = "HTTP/1.0 000";
  const std::size_t n = digits_as_zeros.size();
  if (line.size() < n || (line.size() > n && line[n] != ' ')) {
    return false;
  }
  return std::equal(
      digits_as_zeros.begin(), digits_as_zeros.end(), line.begin(),
      [](char wanted, char it) { return wanted == '0' ? it >= '0' && it <= '9' : it == wanted; });
}

/// Removes the first line, with its end, from `block`.
/// @return the line without its end; nothing if no line ends in `block`.
std::optional<std::string_view> take_line(std::string_view& block) {
  const auto end = block.find("\r\n");
  if (end == std::string_view::npos) {
    return std::nullopt;
  }
  const std::string_view line = block.substr(0, end);
  block.remove_prefix(end + 2);
  return line;
}

struct head_framing {
  detail::framing kind = detail::framing::none;
  std::size_t length = 0;
};

/// @return how many fields have that name.
std::ptrdiff_t count_fields(const header_fields& fields, std::string_view name) {
  return std::count_if(fields.all().begin(), fields.all().end(),
                       [&](const header_field& it) { return same_name(it.name, name); });
}

/// @return how the body is delimited; nothing when the fields are contradictory.
std::optional<head_framing> find_framing(const header_fields& fields) {
  head_framing result;
  bool has_length = false;
  for (const auto& it : fields.all()) {
    if (same_name(it.name, "Content-Length")) {
      const auto n = parse_number(it.value);
      if (!n || (has_length && *n != result.length)) {
        return std::nullopt;
      }
      has_length = true;
      result.kind = detail::framing::length;
      result.length = *n;
    }
  }
  if (const std::string* encoding = fields.find("Transfer-Encoding")) {
    const auto n = count_fields(fields, "Transfer-Encoding");
    if (has_length || n != 1 || !same_name(*encoding, "chunked")) {
      return std::nullopt;
    }
    result.kind = detail::framing::chunked;
  }
  return result;
}

/// A head that was parsed, and how its body is delimited.
template <class Message>
struct parsed_head {
  /// The start line, and of the fields only `Connection`.
  Message message;
  header_fields fields;
  head_framing framing;
};

/// @return nothing for a block that is malformed or could be read in more than one way.
template <class Message>
std::unique_ptr<parsed_head<Message>> parse_block(std::string_view block) {
  const auto start_line = take_line(block);
  if (!start_line || has_control_character(*start_line)) {
    return nullptr;
  }
  auto result = std::make_unique<parsed_head<Message>>();
  try {
    const std::string head = std::string(*start_line) + "\r\n\r\n";
    Poco::MemoryInputStream in(head.data(), static_cast<std::streamsize>(head.size()));
    result->message.read(in);
  } catch (const Poco::Exception&) {
    return nullptr;
  }
  // Poco's parser decodes encoded words (RFC 2047) in values, so that line ends can come out of
  // printable characters. The values passed on must be those that were checked. Its messages also
  // look for the name of each field among all earlier ones, so that a head costs the square of its
  // number of fields.
  while (true) {
    const auto line = take_line(block);
    if (!line) {
      return nullptr;
    }
    if (line->empty()) {
      break;
    }
    auto field = parse_field(*line);
    if (!field) {
      return nullptr;
    }
    result->fields.add(std::move(field->name), std::move(field->value));
  }
  if (const std::string* connection = result->fields.find(Poco::Net::HTTPMessage::CONNECTION)) {
    result->message.set(Poco::Net::HTTPMessage::CONNECTION, *connection);
  }
  const auto framing = find_framing(result->fields);
  if (!framing) {
    return nullptr;
  }
  result->framing = *framing;
  return result;
}

} // namespace

namespace detail {

std::size_t head_finder::find(std::string_view input) {
  constexpr std::string_view end = "\r\n\r\n";
  const auto at = input.find(end, searched_);
  if (at == std::string_view::npos) {
    searched_ = input.size() < end.size() ? 0 : input.size() - end.size() + 1;
    return at;
  }
  searched_ = 0;
  return at + end.size();
}

void body_decoder::start(framing kind, std::size_t length, std::size_t limit) {
  kind_ = kind;
  remaining_ = length;
  limit_ = limit;
  trailer_bytes_ = 0;
  step_ = chunk_step::size;
}

read_state body_decoder::fail(read_error error) {
  error_ = error;
  return read_state::failed;
}

read_state body_decoder::feed(std::string& input, std::string& body) {
  switch (kind_) {
  case framing::none:
    return read_state::complete;
  case framing::length: {
    if (remaining_ > limit_) {
      return fail(read_error::body_too_large);
    }
    const std::size_t n = std::min(remaining_ - body.size(), input.size());
    body.append(input, 0, n);
    input.erase(0, n);
    return body.size() == remaining_ ? read_state::complete : read_state::body;
  }
  case framing::until_close:
    body += input;
    input.clear();
    return body.size() > limit_ ? fail(read_error::body_too_large) : read_state::body;
  case framing::chunked:
    return feed_chunked(input, body);
  }
  return read_state::failed;
}

read_state body_decoder::feed_chunked(std::string& input, std::string& body) {
  std::string_view rest = input;
  const read_state state = decode_chunks(rest, body);
  // Removed once for all chunks, since each removal moves everything behind it.
  input.erase(0, input.size() - rest.size());
  return state;
}

read_state body_decoder::decode_chunks(std::string_view& rest, std::string& body) {
  while (true) {
    if (step_ == chunk_step::data) {
      const std::size_t n = std::min(remaining_, rest.size());
      body.append(rest.substr(0, n));
      rest.remove_prefix(n);
      remaining_ -= n;
      if (remaining_ != 0) {
        return read_state::body;
      }
      step_ = chunk_step::data_end;
    }
    const auto line = take_line(rest);
    if (!line) {
      return rest.size() > max_chunk_line ? fail(read_error::malformed) : read_state::body;
    }
    if (line->find('\n') != std::string_view::npos || line->size() > max_chunk_line) {
      return fail(read_error::malformed);
    }
    if (step_ == chunk_step::data_end) {
      if (!line->empty()) {
        return fail(read_error::malformed);
      }
      step_ = chunk_step::size;
    } else if (step_ == chunk_step::trailer) {
      if (line->empty()) {
        return read_state::complete;
      }
      trailer_bytes_ += line->size() + 2;
      if (trailer_bytes_ > max_trailers) {
        return fail(read_error::body_too_large);
      }
    } else {
      constexpr std::size_t max_size_digits = 8;
      const std::string digits(line->substr(0, line->find(';')));
      if (digits.empty() || digits.size() > max_size_digits ||
          !std::all_of(digits.begin(), digits.end(),
                       [](unsigned char it) { return std::isxdigit(it) != 0; })) {
        return fail(read_error::malformed);
      }
      remaining_ = std::stoul(digits, nullptr, 16);
      if (remaining_ + body.size() > limit_) {
        return fail(read_error::body_too_large);
      }
      step_ = remaining_ == 0 ? chunk_step::trailer : chunk_step::data;
    }
  }
}

} // namespace detail

read_state request_reader::fail(read_error error) {
  error_ = error;
  state_ = read_state::failed;
  return state_;
}

void request_reader::reset() {
  state_ = read_state::idle;
  head_ = {};
  message_ = {};
}

read_state request_reader::feed(std::string& input) {
  if (state_ == read_state::idle || state_ == read_state::head) {
    // Empty lines before the request line are allowed (RFC 9112 section 2.2).
    std::size_t empty_lines = 0;
    while (input.compare(empty_lines, 2, "\r\n") == 0) {
      empty_lines += 2;
    }
    input.erase(0, empty_lines);
    if (input.empty()) {
      return state_;
    }
    state_ = read_state::head;
    const auto end = head_.find(input);
    if (std::min(end, input.size()) > limits_.head_bytes) {
      return fail(read_error::head_too_large);
    }
    if (end == std::string::npos) {
      return state_;
    }
    const std::string block = input.substr(0, end);
    input.erase(0, end);
    if (!parse_head(block)) {
      state_ = read_state::failed;
      return state_;
    }
    state_ = read_state::body;
  }
  if (state_ == read_state::body) {
    state_ = body_.feed(input, message_.body);
    error_ = body_.error();
  }
  return state_;
}

bool request_reader::parse_head(std::string_view block) {
  error_ = read_error::malformed;
  const auto head = parse_block<Poco::Net::HTTPRequest>(block);
  if (!head) {
    return false;
  }
  const auto& parsed = head->message;
  const auto& framing = head->framing;
  const std::string& version = parsed.getVersion();
  const std::string& target = parsed.getURI();
  if (!is_token(parsed.getMethod()) || target.empty() ||
      (version != "HTTP/1.1" && version != "HTTP/1.0")) {
    return false;
  }
  if (count_fields(head->fields, "Host") != 1 || (target.front() != '/' && target != "*")) {
    return false;
  }
  if (framing.kind == detail::framing::chunked && version == "HTTP/1.0") {
    return false;
  }
  message_.method = parsed.getMethod();
  message_.target = target;
  message_.keep_alive = parsed.getKeepAlive();
  message_.expects_continue = head->fields.find("Expect") != nullptr;
  message_.fields = std::move(head->fields);
  body_.start(framing.kind, framing.length, limits_.body_bytes);
  return true;
}

read_state response_reader::fail(read_error error) {
  error_ = error;
  state_ = read_state::failed;
  return state_;
}

void response_reader::start(bool head_request) {
  head_request_ = head_request;
  interim_answers_ = 0;
  interim_bytes_ = 0;
  state_ = read_state::idle;
  head_ = {};
  message_ = {};
  body_.start(detail::framing::none, 0, 0);
}

read_state response_reader::feed(std::string& input) {
  while (state_ == read_state::idle || state_ == read_state::head) {
    if (input.empty()) {
      return state_;
    }
    state_ = read_state::head;
    const auto end = head_.find(input);
    if (std::min(end, input.size()) > limits_.head_bytes) {
      return fail(read_error::head_too_large);
    }
    if (end == std::string::npos) {
      return state_;
    }
    const std::string block = input.substr(0, end);
    input.erase(0, end);
    message_ = {};
    if (!parse_head(block)) {
      return fail(read_error::malformed);
    }
    const bool interim = message_.status >= 100 && message_.status < 200;
    if (interim) {
      interim_bytes_ += block.size();
      if (++interim_answers_ > max_interim_answers || interim_bytes_ > limits_.head_bytes) {
        return fail(read_error::malformed);
      }
    }
    state_ = interim ? read_state::idle : read_state::body;
  }
  if (state_ == read_state::body) {
    state_ = body_.feed(input, message_.body);
    error_ = body_.error();
  }
  return state_;
}

read_state response_reader::end_of_stream() {
  if (state_ == read_state::body && until_close()) {
    state_ = read_state::complete;
  } else if (state_ != read_state::complete) {
    return fail(read_error::incomplete);
  }
  return state_;
}

bool response_reader::parse_head(std::string_view block) {
  if (!is_status_line(block.substr(0, block.find("\r\n")))) {
    return false;
  }
  const auto head = parse_block<Poco::Net::HTTPResponse>(block);
  if (!head) {
    return false;
  }
  const auto& parsed = head->message;
  const auto& framing = head->framing;
  const int status = parsed.getStatus();
  if (status < 100 || status > 599) {
    return false;
  }
  message_.status = status;
  message_.reason = parsed.getReason();
  message_.keep_alive = parsed.getKeepAlive();
  message_.fields = std::move(head->fields);
  auto kind = framing.kind;
  if (head_request_ || status < 200 || status == 204 || status == 304) {
    kind = detail::framing::none;
  } else if (kind == detail::framing::none) {
    kind = detail::framing::until_close;
  }
  body_.start(kind, framing.length, limits_.body_bytes);
  return true;
}

} // namespace damaskledge::http
