#include "stand_ins/http_server.h"

#include <algorithm>
#include <charconv>
#include <csignal>
#include <ctime>
#include <utility>

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/URI.h>
#include <glog/logging.h>
#include <poll.h>
#include <sys/socket.h>

namespace damaskledge::stand_ins {

namespace {

constexpr int stack_bytes = 131'072;
constexpr int accept_backlog = 1'024;
constexpr int max_waiting_connections = 1'024;

class request_handler : public Poco::Net::HTTPRequestHandler {
 public:
  explicit request_handler(const http_handler& handler) : handler_(handler) {}

  void handleRequest(Poco::Net::HTTPServerRequest& request,
                     Poco::Net::HTTPServerResponse& response) override {
    // A connection stays on one thread, so a new peer address means a new connection.
    thread_local Poco::Net::SocketAddress previous_peer;
    const bool first = previous_peer != request.clientAddress();
    previous_peer = request.clientAddress();
    http_exchange exchange(request, response, first);
    try {
      handler_(exchange);
    } catch (const Poco::Exception& error) {
      // The caller has gone; its connection cannot be used any more.
      VLOG(1) << "request ended: " << error.displayText();
      exchange.abort();
    } catch (const std::exception& error) {
      LOG(ERROR) << "request failed: " << error.what();
      exchange.abort();
    }
  }

 private:
  const http_handler& handler_;
};

class handler_factory : public Poco::Net::HTTPRequestHandlerFactory {
 public:
  explicit handler_factory(http_handler handler) : handler_(std::move(handler)) {}

  Poco::Net::HTTPRequestHandler*
  createRequestHandler(const Poco::Net::HTTPServerRequest& /*request*/) override {
    return new request_handler(handler_);
  }

 private:
  http_handler handler_;
};

/// Closes connections above a limit as they are accepted.
class connection_limit : public Poco::Net::TCPServerConnectionFilter {
 public:
  connection_limit(std::uint32_t limit, const Poco::Net::TCPServer& server,
                   std::atomic<std::uint32_t>& highest, std::atomic<std::uint64_t>& refused,
                   std::atomic<std::uint64_t>& accepted)
      : limit_(limit), server_(server), highest_(highest), refused_(refused), accepted_(accepted) {}

  bool accept(const Poco::Net::StreamSocket& /*socket*/) override {
    const auto open = static_cast<std::uint32_t>(server_.currentConnections());
    if (open >= limit_) {
      refused_.fetch_add(1);
      return false;
    }
    accepted_.fetch_add(1);
    // Only the accepting thread writes this.
    highest_.store(std::max(highest_.load(), open + 1));
    return true;
  }

 private:
  const std::uint32_t limit_;
  const Poco::Net::TCPServer& server_;
  std::atomic<std::uint32_t>& highest_;
  std::atomic<std::uint64_t>& refused_;
  std::atomic<std::uint64_t>& accepted_;
};

} // namespace

http_exchange::http_exchange(Poco::Net::HTTPServerRequest& request,
                             Poco::Net::HTTPServerResponse& response, bool first_on_connection)
    : request_(request), response_(response), first_on_connection_(first_on_connection) {}

std::string http_exchange::path() const {
  const std::string& uri = request_.getURI();
  return uri.substr(0, uri.find('?'));
}

std::string http_exchange::parameter(const std::string& name) const {
  for (const auto& [key, value] : Poco::URI(request_.getURI()).getQueryParameters()) {
    if (key == name) {
      return value;
    }
  }
  return {};
}

std::string http_exchange::header(const std::string& name) const {
  return request_.get(name, "");
}

std::optional<std::string> http_exchange::body(std::size_t limit) {
  std::string result;
  constexpr std::size_t step = 16'384;
  std::istream& in = request_.stream();
  while (in.good() && result.size() <= limit) {
    const std::size_t before = result.size();
    result.resize(before + step);
    in.read(result.data() + before, step);
    result.resize(before + static_cast<std::size_t>(in.gcount()));
  }
  if (result.size() <= limit) {
    return result;
  }
  // Closing a connection with unread data resets it, and the caller would lose the answer.
  constexpr std::size_t max_ignored = 8'388'608;
  std::string ignored(step, '\0');
  for (std::size_t n = 0; in.good() && n < max_ignored; n += step) {
    in.read(ignored.data(), step);
  }
  response_.setKeepAlive(false);
  return std::nullopt;
}

void http_exchange::answer(int status, std::string_view content, const std::string& type) {
  response_.setStatusAndReason(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
  response_.setContentType(type);
  response_.sendBuffer(content.data(), content.size());
}

void http_exchange::answer(int status) {
  response_.setStatusAndReason(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
  if (status == Poco::Net::HTTPResponse::HTTP_NOT_MODIFIED ||
      status == Poco::Net::HTTPResponse::HTTP_NO_CONTENT) {
    response_.send();
    return;
  }
  response_.sendBuffer("", 0);
}

void http_exchange::answer_truncated(std::string_view content) {
  response_.setContentLength64(static_cast<Poco::Int64>(content.size()));
  response_.setKeepAlive(false);
  std::ostream& out = response_.send();
  out.write(content.data(), static_cast<std::streamsize>(content.size() / 2));
  out.flush();
  socket().shutdown();
}

void http_exchange::answer_slowly(std::string_view content, milliseconds interval) {
  response_.setContentLength64(static_cast<Poco::Int64>(content.size()));
  std::ostream& out = response_.send();
  out.flush();
  for (const char it : content) {
    if (!wait_while_connected(interval)) {
      abort();
      return;
    }
    out.put(it);
    out.flush();
  }
}

void http_exchange::abort() {
  response_.setKeepAlive(false);
  try {
    // A linger time of zero makes the close a reset, as when the process dies.
    socket().setLinger(true, 0);
    socket().close();
  } catch (const Poco::Exception& error) {
    VLOG(1) << "the connection is closed already: " << error.displayText();
  }
}

Poco::Net::StreamSocket& http_exchange::socket() {
  return dynamic_cast<Poco::Net::HTTPServerRequestImpl&>(request_).socket();
}

int http_exchange::descriptor() {
  return static_cast<int>(socket().impl()->sockfd());
}

bool http_exchange::closed_by_caller() {
  char first = 0;
  const ssize_t n = ::recv(descriptor(), &first, 1, MSG_PEEK | MSG_DONTWAIT);
  return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
}

bool http_exchange::wait_while_connected(duration time) {
  const time_point end = clock_type::now() + time;
  while (true) {
    const duration left = end - clock_type::now();
    if (left <= duration{0}) {
      return true;
    }
    pollfd wanted{descriptor(), POLLIN, 0};
    const auto whole = std::chrono::duration_cast<seconds>(left);
    const timespec limit{
        whole.count(), std::chrono::duration_cast<std::chrono::nanoseconds>(left - whole).count()};
    const int n = ::ppoll(&wanted, 1, &limit, nullptr);
    if (n > 0 && closed_by_caller()) {
      return false;
    }
    if (n > 0) {
      // The caller has sent its next request early, which hides a close from poll.
      const timespec pause{0, std::min<std::int64_t>(1'000'000, left.count())};
      ::nanosleep(&pause, nullptr);
    }
  }
}

http_server::http_server(const endpoint& address, std::uint32_t connections, http_handler handler)
    : threads_("connections", 2, static_cast<int>(connections + control_reserve), 10, stack_bytes) {
  Poco::Net::ServerSocket socket;
  socket.bind(Poco::Net::SocketAddress(address.address, address.port), true);
  socket.listen(accept_backlog);
  Poco::AutoPtr<Poco::Net::HTTPServerParams> parameters(new Poco::Net::HTTPServerParams);
  parameters->setKeepAlive(true);
  parameters->setMaxKeepAliveRequests(0);
  parameters->setKeepAliveTimeout(Poco::Timespan(60, 0));
  parameters->setTimeout(Poco::Timespan(60, 0));
  parameters->setMaxThreads(static_cast<int>(connections + control_reserve));
  parameters->setMaxQueued(max_waiting_connections);
  server_ = std::make_unique<Poco::Net::HTTPServer>(new handler_factory(std::move(handler)),
                                                    threads_, socket, parameters);
  server_->setConnectionFilter(new connection_limit(connections + control_reserve, *server_,
                                                    highest_connections_, refused_connections_,
                                                    accepted_connections_));
  server_->start();
}

http_server::~http_server() {
  stop();
}

std::uint16_t http_server::port() const {
  return server_->port();
}

std::uint32_t http_server::connections() const {
  return static_cast<std::uint32_t>(server_->currentConnections());
}

void http_server::stop_accepting() {
  server_->stop();
}

void http_server::stop() {
  if (stopped_.exchange(true)) {
    return;
  }
  server_->stopAll(true);
  threads_.joinAll();
  server_.reset();
}

std::optional<endpoint> parse_endpoint(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos || colon == 0) {
    return std::nullopt;
  }
  endpoint result{std::string(text.substr(0, colon)), 0};
  const char* last = text.data() + text.size();
  const auto [end, ec] = std::from_chars(text.data() + colon + 1, last, result.port);
  if (ec != std::errc{} || end != last) {
    return std::nullopt;
  }
  return result;
}

void block_termination_signals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

void wait_for_termination_signal() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  int received = 0;
  sigwait(&signals, &received);
}

} // namespace damaskledge::stand_ins
