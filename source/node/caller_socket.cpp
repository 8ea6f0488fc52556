#include "node/caller_socket.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <memory>
#include <optional>
#include <sstream>

#include <Poco/Exception.h>
#include <Poco/Net/HTTPMessage.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/ServerSocketImpl.h>
#include <Poco/Net/StreamSocketImpl.h>
#include <sys/socket.h>

#include "node/header_check.h"

namespace damaskledge::node {

namespace {

/// Time for the rest of a refused request to arrive.
const Poco::Timespan refusal_linger(0, 200'000);
/// Bytes of a refused request that are read and dropped.
constexpr std::size_t max_discarded_bytes = 65'536;

/// Bounds the time from the first to the last byte of a request's headers and checks them as they
/// arrive. The HTTP library's own timeout starts anew with each byte, so a caller that sends one
/// byte now and then would hold a thread for ever.
class caller_socket : public Poco::Net::StreamSocketImpl {
 public:
  caller_socket(poco_socket_t descriptor, const config::node_settings& settings)
      : StreamSocketImpl(descriptor), header_timeout_(settings.header_timeout),
        check_(settings.max_header_bytes) {}

  int receiveBytes(void* buffer, int length, int flags) override { // NOLINT
    if (!in_request_) {
      const time_point now = clock_type::now();
      headers_began_ = headers_began_.value_or(now);
      const duration left = *headers_began_ + header_timeout_ - now;
      if (left <= duration{0}) {
        throw Poco::TimeoutException("the headers did not arrive in time");
      }
      setReceiveTimeout(to_timespan(left));
    }
    const int n = StreamSocketImpl::receiveBytes(buffer, length, flags);
    if (!in_request_ && n > 0) {
      const auto size = static_cast<std::size_t>(n);
      if (const auto refused = check_.feed({static_cast<const char*>(buffer), size})) {
        refuse(*refused);
      }
    }
    return n;
  }

  void headers_ended() {
    in_request_ = true;
    headers_began_.reset();
  }
  void request_ended() {
    in_request_ = false;
    check_.reset();
  }

 private:
  /// Answers in place of the HTTP library and ends the connection.
  [[noreturn]] void refuse(const refusal& why) {
    const caller_answer answer = refusal_answer(why, to_string(random_id()));
    Poco::Net::HTTPResponse head(Poco::Net::HTTPMessage::HTTP_1_1,
                                 static_cast<Poco::Net::HTTPResponse::HTTPStatus>(answer.status));
    for (const auto& [name, value] : answer.headers) {
      head.add(name, value);
    }
    head.setKeepAlive(false);
    head.setContentLength64(static_cast<Poco::Int64>(answer.body.size()));
    std::ostringstream text;
    head.write(text);
    text << answer.body;
    const std::string bytes = text.str();
    StreamSocketImpl::sendBytes(bytes.data(), static_cast<int>(bytes.size()), 0);
    shutdownSend();
    // Unread bytes would make the system reset the connection and lose the answer.
    setReceiveTimeout(refusal_linger);
    std::array<char, 4'096> buf{};
    std::size_t dropped = 0;
    int n = 1;
    while (n > 0 && dropped < max_discarded_bytes) {
      n = StreamSocketImpl::receiveBytes(buf.data(), static_cast<int>(buf.size()), 0);
      dropped += static_cast<std::size_t>(std::max(n, 0));
    }
    throw Poco::Net::ConnectionAbortedException(why.detail);
  }

  duration header_timeout_;
  header_check check_;
  bool in_request_ = false;
  std::optional<time_point> headers_began_;
};

class listening_socket_implementation : public Poco::Net::ServerSocketImpl {
 public:
  explicit listening_socket_implementation(const config::node_settings& settings)
      : settings_(settings) {}

  Poco::Net::SocketImpl* acceptConnection(Poco::Net::SocketAddress& caller) override {
    sockaddr_storage address{};
    socklen_t length = sizeof(address);
    poco_socket_t descriptor = -1;
    do {
      // NOLINTNEXTLINE(cppcoreguidelines-pro-type-reinterpret-cast)
      descriptor = ::accept(sockfd(), reinterpret_cast<sockaddr*>(&address), &length);
    } while (descriptor < 0 && errno == EINTR);
    if (descriptor < 0) {
      error();
    }
    // NOLINTNEXTLINE(cppcoreguidelines-pro-type-reinterpret-cast)
    caller = Poco::Net::SocketAddress(reinterpret_cast<sockaddr*>(&address), length);
    return new caller_socket(descriptor, settings_);
  }

 private:
  const config::node_settings& settings_;
};

/// Tells the connection's socket when the headers of a request end and when its handler ends.
class timed_handler : public Poco::Net::HTTPRequestHandler {
 public:
  explicit timed_handler(Poco::Net::HTTPRequestHandler* inner) : inner_(inner) {}

  void handleRequest(Poco::Net::HTTPServerRequest& request,
                     Poco::Net::HTTPServerResponse& response) override {
    auto& socket = dynamic_cast<caller_socket&>(*socket_of(request).impl());
    socket.headers_ended();
    inner_->handleRequest(request, response);
    socket.request_ended();
  }

 private:
  std::unique_ptr<Poco::Net::HTTPRequestHandler> inner_;
};

} // namespace

Poco::Timespan to_timespan(duration value) {
  return {std::max<Poco::Timespan::TimeDiff>(
      std::chrono::duration_cast<std::chrono::microseconds>(value).count(), 1'000)};
}

Poco::Net::StreamSocket& socket_of(Poco::Net::HTTPServerRequest& request) {
  return dynamic_cast<Poco::Net::HTTPServerRequestImpl&>(request).socket();
}

void write_answer(Poco::Net::HTTPServerResponse& response, const caller_answer& answer,
                  bool head_only) {
  response.setStatus(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(answer.status));
  response.setReason(Poco::Net::HTTPResponse::getReasonForStatus(response.getStatus()));
  for (const auto& [name, value] : answer.headers) {
    response.add(name, value);
  }
  const bool has_body = answer.status != 204 && answer.status != 304;
  if (has_body) {
    response.setContentLength64(static_cast<Poco::Int64>(answer.body.size()));
  }
  std::ostream& out = response.send();
  if (has_body && !head_only) {
    out.write(answer.body.data(), static_cast<std::streamsize>(answer.body.size()));
  }
  out.flush();
}

listening_socket::listening_socket(const Poco::Net::SocketAddress& address, int backlog,
                                   const config::node_settings& settings)
    : ServerSocket(new listening_socket_implementation(settings), true) {
  bind(address, true);
  listen(backlog);
}

Poco::Net::HTTPRequestHandler* make_timed_handler(Poco::Net::HTTPRequestHandler* inner) {
  return new timed_handler(inner);
}

} // namespace damaskledge::node
