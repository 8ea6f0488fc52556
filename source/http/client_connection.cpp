#include <algorithm>
#include <array>

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Timespan.h>
#include <sys/socket.h>

#include "http/http.h"

namespace damaskledge::http {

namespace {

constexpr std::size_t read_chunk = 16UL * 1024UL;
/// Bodies up to this size are sent in one piece with their head.
constexpr std::size_t joined_body = 16UL * 1024UL;

/// @return the time left.
/// @throws Poco::TimeoutException when there is none.
Poco::Timespan time_left(time_point deadline) {
  const auto left =
      std::chrono::duration_cast<std::chrono::microseconds>(deadline - clock_type::now()).count();
  if (left <= 0) {
    throw Poco::TimeoutException("the deadline has passed");
  }
  return {static_cast<Poco::Timespan::TimeDiff>(left)};
}

void send_bytes(Poco::Net::StreamSocket& socket, std::string_view bytes) {
  socket.sendBytes(bytes.data(), static_cast<int>(bytes.size()), MSG_NOSIGNAL);
}

} // namespace

std::string to_string(const receive_failure& value) {
  const std::string part = value.in_body ? "the body of the answer " : "the head of the answer ";
  switch (value.why) {
  case read_error::malformed:
    return part + "is malformed";
  case read_error::head_too_large:
  case read_error::body_too_large:
    return part + "is too large";
  case read_error::incomplete:
    return part + "is not whole: the connection ended";
  }
  return part + "is invalid";
}

client_connection::client_connection(const Poco::Net::StreamSocket& socket, message_limits limits)
    : socket_(socket), reader_(limits) {}

void client_connection::send(const outgoing_request& value, time_point deadline) {
  sent_ = false;
  reusable_ = false;
  reader_.start(value.method == "HEAD");
  request head;
  head.method = value.method;
  head.target = value.target;
  head.fields = value.fields;
  std::string wire = serialize_head(head);
  if (!value.body.empty() || value.method == "POST" || value.method == "PUT") {
    wire += "Content-Length: " + std::to_string(value.body.size()) + "\r\n";
  }
  wire += "\r\n";
  const bool joined = value.body.size() <= joined_body;
  if (joined) {
    wire += value.body;
  }
  socket_.setSendTimeout(time_left(deadline));
  // A send that fails may have handed bytes over.
  sent_ = true;
  try {
    send_bytes(socket_, wire);
    if (!joined) {
      send_bytes(socket_, value.body);
    }
  } catch (const Poco::IOException&) {
    broken_ = true;
  }
}

std::optional<receive_failure> client_connection::receive(time_point deadline) {
  auto state = reader_.feed(input_);
  while (state != read_state::complete && state != read_state::failed) {
    if (receive_some(deadline)) {
      state = reader_.feed(input_);
      continue;
    }
    if (!broken_) {
      state = reader_.end_of_stream();
    }
    if (broken_ || state == read_state::failed) {
      return failure(read_error::incomplete);
    }
    broken_ = true;
  }
  if (state == read_state::failed) {
    return failure(reader_.error());
  }
  reusable_ = message().keep_alive && !until_close() && input_.empty() && !broken_;
  return std::nullopt;
}

receive_failure client_connection::failure(read_error why) {
  constexpr int first_final_status = 200;
  broken_ = true;
  return {why, message().status >= first_final_status};
}

bool client_connection::receive_some(time_point deadline) {
  std::array<char, read_chunk> buf{};
  socket_.setReceiveTimeout(time_left(deadline));
  try {
    const int n = socket_.receiveBytes(buf.data(), static_cast<int>(buf.size()));
    input_.append(buf.data(), static_cast<std::size_t>(std::max(n, 0)));
    return n > 0;
  } catch (const Poco::IOException&) {
    broken_ = true;
    return false;
  }
}

bool client_connection::stale() const {
  return broken_ || !input_.empty() ||
         socket_.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ);
}

fetch_result fetch(const endpoint& server, outgoing_request value, milliseconds timeout,
                   message_limits limits) {
  const time_point deadline = clock_type::now() + timeout;
  try {
    Poco::Net::StreamSocket socket;
    socket.connect(Poco::Net::SocketAddress(server.address, server.port), time_left(deadline));
    client_connection connection(socket, limits);
    value.fields.set("Host", to_string(server));
    value.fields.set("Connection", "close");
    connection.send(value, deadline);
    if (const auto failure = connection.receive(deadline)) {
      return {std::nullopt, to_string(*failure)};
    }
    return {std::move(connection.message()), {}};
  } catch (const Poco::Exception& error) {
    return {std::nullopt, error.displayText()};
  }
}

} // namespace damaskledge::http
