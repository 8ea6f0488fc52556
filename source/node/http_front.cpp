#include "node/http_front.h"

#include <algorithm>
#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <utility>

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <glog/logging.h>
#include <sys/socket.h>

#include "http/http.h"
#include "node/caller_socket.h"
#include "node/operator_pages.h"

namespace damaskledge::node {

namespace {

constexpr int connection_stack_bytes = 131'072;
constexpr int local_threads = 512;
constexpr int metrics_threads = 8;
/// Threads above `max_connections`, which tell the connections above it that there are too many.
constexpr int spare_threads = 16;
/// Bodies held at once; beyond it requests are refused, since a node may use 256 MB in all.
constexpr std::size_t max_body_bytes_held = 67'108'864;
/// An unread body up to this size is read and dropped, so that the connection can be kept.
constexpr std::size_t max_discarded_bytes = 65'536;

refusal malformed(std::string detail) {
  return {refusal_reason::malformed_request, outcome::not_run, milliseconds(0), std::move(detail)};
}

/// Counts body bytes held while it lives.
class body_reservation {
 public:
  explicit body_reservation(std::atomic<std::size_t>& total) : total_(total) {}
  ~body_reservation() { total_ -= held_; }
  body_reservation(const body_reservation&) = delete;
  body_reservation& operator=(const body_reservation&) = delete;

  bool grow(std::size_t n) {
    if (total_.fetch_add(n) + n > max_body_bytes_held) {
      total_ -= n;
      return false;
    }
    held_ += n;
    return true;
  }

 private:
  std::atomic<std::size_t>& total_;
  std::size_t held_ = 0;
};

/// Checks that a request can be forwarded as one request: a message whose length can be read in two
/// ways may hide another request (RFC 9112 section 6.3).
std::optional<refusal> check_forwardable(const Poco::Net::HTTPServerRequest& request,
                                         std::size_t max_header_bytes) {
  std::size_t bytes = request.getURI().size();
  int lengths = 0;
  for (const auto& [name, value] : request) {
    bytes += name.size() + value.size() + 4;
    lengths += Poco::icompare(name, "Content-Length") == 0 ? 1 : 0;
    // The HTTP library decodes encoded words (RFC 2047), which may hold line ends.
    if (http::has_control_character(name) || http::has_control_character(value)) {
      return malformed("send header fields without control characters, also in encoded words");
    }
  }
  if (bytes > max_header_bytes) {
    return refusal{refusal_reason::headers_too_large, outcome::not_run, milliseconds(0),
                   "send at most " + std::to_string(max_header_bytes) + " bytes of headers"};
  }
  const bool chunked = request.has("Transfer-Encoding");
  if (lengths > 1 || (lengths == 1 && chunked)) {
    return malformed("send exactly one of Content-Length and Transfer-Encoding");
  }
  if (chunked && !request.getChunkedTransferEncoding()) {
    return malformed("the only transfer coding accepted is chunked");
  }
  if (lengths == 1) {
    const std::string& text = request.get("Content-Length");
    const bool digits = !text.empty() && text.size() <= 18 &&
                        std::all_of(text.begin(), text.end(),
                                    [](unsigned char it) { return std::isdigit(it) != 0; });
    if (!digits) {
      return malformed("Content-Length must be a decimal number");
    }
  }
  return std::nullopt;
}

std::variant<std::string, refusal> read_whole_body(Poco::Net::HTTPServerRequest& request,
                                                   const config::node_settings& settings,
                                                   body_reservation& reservation,
                                                   time_point deadline) {
  const refusal too_large{refusal_reason::body_too_large, outcome::not_run, milliseconds(0),
                          "send a body of at most " + std::to_string(settings.max_body_bytes) +
                              " bytes"};
  const bool sized = request.hasContentLength();
  if (!sized && !request.getChunkedTransferEncoding()) {
    return std::string();
  }
  const auto expected = sized ? static_cast<std::size_t>(request.getContentLength64()) : 0;
  if (expected > settings.max_body_bytes) {
    return too_large;
  }
  const time_point give_up = std::min(deadline, clock_type::now() + settings.body_timeout);
  std::string body;
  std::array<char, 16'384> buf{};
  std::istream& in = request.stream();
  while (true) {
    const time_point now = clock_type::now();
    if (now >= give_up) {
      return refusal{refusal_reason::deadline_exceeded, outcome::not_run, milliseconds(0),
                     "the body did not arrive in time"};
    }
    socket_of(request).setReceiveTimeout(to_timespan(give_up - now));
    in.read(buf.data(), buf.size());
    const auto n = static_cast<std::size_t>(in.gcount());
    if (n == 0) {
      break;
    }
    if (body.size() + n > settings.max_body_bytes) {
      return too_large;
    }
    if (!reservation.grow(n)) {
      return refusal{refusal_reason::overloaded, outcome::not_run, milliseconds(200),
                     "this node holds too many request bodies; try again later"};
    }
    body.append(buf.data(), n);
  }
  if (sized && body.size() != expected) {
    return malformed("the body is shorter than its Content-Length");
  }
  if (!sized) {
    // POCO ends a chunked body at a closed connection as it does at the last chunk.
    char byte = 0;
    if (::recv(socket_of(request).impl()->sockfd(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0) {
      return malformed("the connection closed; a whole chunked body could not be confirmed");
    }
  }
  return body;
}

/// Reads and drops a small unread body.
/// @return true when the connection can be used for another request.
bool discard_body(Poco::Net::HTTPServerRequest& request) {
  if (!request.hasContentLength()) {
    return !request.getChunkedTransferEncoding();
  }
  const auto expected = request.getContentLength64();
  if (expected > static_cast<Poco::Int64>(max_discarded_bytes)) {
    return false;
  }
  socket_of(request).setReceiveTimeout(Poco::Timespan(1, 0));
  std::array<char, 4'096> buf{};
  Poco::Int64 total = 0;
  std::istream& in = request.stream();
  while (in.read(buf.data(), buf.size()) || in.gcount() > 0) {
    total += in.gcount();
  }
  return total == expected;
}

/// Requests of callers, and inner calls on the local port.
class call_handler : public Poco::Net::HTTPRequestHandler {
 public:
  call_handler(front_state& state, bool inner) : state_(state), inner_(inner) {}

  void handleRequest(Poco::Net::HTTPServerRequest& request,
                     Poco::Net::HTTPServerResponse& response) override {
    state_.in_flight.fetch_add(1);
    try {
      serve(request, response);
    } catch (const Poco::Exception& error) {
      // The caller went away while its answer was written.
      VLOG(1) << "event=answer-not-written cause=\"" << error.displayText() << '"';
      response.setKeepAlive(false);
    }
    state_.in_flight.fetch_sub(1);
  }

 private:
  void serve(Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response) {
    const auto refused = check(request);
    body_reservation reservation(state_.body_bytes);
    caller_answer answer;
    bool body_read = false;
    if (refused) {
      state_.reports.refused_early(refused->reason);
      answer = refusal_answer(*refused, to_string(random_id()));
    } else {
      caller_request call;
      call.method = request.getMethod();
      call.target = request.getURI();
      call.headers.assign(request.begin(), request.end());
      call.inner = inner_;
      call.socket = socket_of(request).impl()->sockfd();
      call.arrived = clock_type::now();
      call.read_body = [&](time_point deadline) {
        body_read = true;
        return read_whole_body(request, state_.settings, reservation, deadline);
      };
      answer = state_.path.handle(call);
    }
    const bool reusable = refused ? false : (body_read ? answer.keep_alive : discard_body(request));
    if (!reusable || state_.draining) {
      response.setKeepAlive(false);
    }
    socket_of(request).setSendTimeout(to_timespan(state_.settings.body_timeout));
    write_answer(response, answer, request.getMethod() == "HEAD");
  }

  std::optional<refusal> check(const Poco::Net::HTTPServerRequest& request) const {
    if (!inner_ && state_.caller_listener != nullptr &&
        state_.caller_listener->currentConnections() >
            static_cast<int>(state_.settings.max_connections)) {
      return refusal{refusal_reason::too_many_connections, outcome::not_run, milliseconds(500),
                     "this node has too many connections; use another node"};
    }
    return check_forwardable(request, state_.settings.max_header_bytes);
  }

  front_state& state_;
  bool inner_;
};

/// Makes a handler for each request with a function.
class handler_factory : public Poco::Net::HTTPRequestHandlerFactory {
 public:
  using make = std::function<Poco::Net::HTTPRequestHandler*(const Poco::Net::HTTPServerRequest&)>;
  explicit handler_factory(make function) : make_(std::move(function)) {}

  Poco::Net::HTTPRequestHandler*
  createRequestHandler(const Poco::Net::HTTPServerRequest& request) override {
    return make_timed_handler(make_(request));
  }

 private:
  make make_;
};

} // namespace

http_front::listener http_front::listen(const std::string& address, std::uint16_t port,
                                        int max_threads,
                                        Poco::Net::HTTPRequestHandlerFactory::Ptr factory) const {
  listener result;
  result.threads = std::make_unique<Poco::ThreadPool>(4, max_threads, 30, connection_stack_bytes);
  Poco::Net::HTTPServerParams::Ptr params = new Poco::Net::HTTPServerParams;
  params->setMaxThreads(max_threads);
  params->setMaxQueued(spare_threads);
  params->setKeepAlive(true);
  params->setKeepAliveTimeout(to_timespan(state_.settings.idle_timeout));
  params->setTimeout(to_timespan(state_.settings.header_timeout));
  const listening_socket socket(Poco::Net::SocketAddress(address, port), 1'024, state_.settings);
  result.server =
      std::make_unique<Poco::Net::HTTPServer>(std::move(factory), *result.threads, socket, params);
  result.server->start();
  return result;
}

http_front::http_front(front_state& state) : state_(state) {
  const auto& settings = state.settings;
  metrics_ =
      listen(settings.address, settings.metrics_port, metrics_threads,
             new handler_factory([&state](const auto&) { return make_operator_handler(state); }));
  local_ =
      listen(settings.address, settings.local_port, local_threads,
             new handler_factory([&state](const auto& request) -> Poco::Net::HTTPRequestHandler* {
               if (request.getURI().starts_with("/.damaskledge/")) {
                 return make_announcement_handler(state);
               }
               return new call_handler(state, true);
             }));
  callers_ =
      listen(settings.address, settings.caller_port,
             static_cast<int>(settings.max_connections) + spare_threads,
             new handler_factory([&state](const auto&) { return new call_handler(state, false); }));
  state.caller_listener = callers_.server.get();
}

http_front::~http_front() {
  stop();
}

int http_front::connections() const {
  return callers_.server->currentConnections() + local_.server->currentConnections();
}

void http_front::stop() {
  for (listener* it : {&callers_, &local_, &metrics_}) {
    if (it->server) {
      it->server->stopAll(false);
      // Idle connections end when their threads see the listener stopped.
      while (it->server->currentConnections() > 0) {
        it->server->stopAll(true);
        std::this_thread::sleep_for(milliseconds(10));
      }
      it->threads->joinAll();
    }
  }
  state_.caller_listener = nullptr;
}

} // namespace damaskledge::node
