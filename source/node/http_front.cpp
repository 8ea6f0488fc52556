#include "node/http_front.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <functional>
#include <memory>
#include <optional>
#include <sstream>
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
#include <Poco/Net/ServerSocketImpl.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocketImpl.h>
#include <Poco/URI.h>
#include <glog/logging.h>
#include <nlohmann/json.hpp>
#include <sys/socket.h>

#include "node/header_check.h"

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
/// Time for the rest of a refused request to arrive.
const Poco::Timespan refusal_linger(0, 200'000);
constexpr std::size_t max_announcement_bytes = 4'096;

Poco::Timespan to_timespan(duration value) {
  return {std::max<Poco::Timespan::TimeDiff>(
      std::chrono::duration_cast<std::chrono::microseconds>(value).count(), 1'000)};
}

Poco::Net::StreamSocket& socket_of(Poco::Net::HTTPServerRequest& request) {
  return dynamic_cast<Poco::Net::HTTPServerRequestImpl&>(request).socket();
}

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

class listening_socket : public Poco::Net::ServerSocket {
 public:
  listening_socket(const Poco::Net::SocketAddress& address, int backlog,
                   const config::node_settings& settings)
      : ServerSocket(new listening_socket_implementation(settings), true) {
    bind(address, true);
    listen(backlog);
  }
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

/// Checks the framing of a request: a message whose length can be read in two ways may hide
/// another request (RFC 9112 section 6.3).
std::optional<refusal> check_framing(const Poco::Net::HTTPServerRequest& request,
                                     std::size_t max_header_bytes) {
  std::size_t bytes = request.getURI().size();
  int lengths = 0;
  for (const auto& [name, value] : request) {
    bytes += name.size() + value.size() + 4;
    lengths += Poco::icompare(name, "Content-Length") == 0 ? 1 : 0;
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
    return check_framing(request, state_.settings.max_header_bytes);
  }

  front_state& state_;
  bool inner_;
};

/// Announcements of the VM's own upstreams.
class announcement_handler : public Poco::Net::HTTPRequestHandler {
 public:
  explicit announcement_handler(front_state& state) : state_(state) {}

  void handleRequest(Poco::Net::HTTPServerRequest& request,
                     Poco::Net::HTTPServerResponse& response) override {
    const std::string error = apply(request);
    caller_answer answer;
    answer.status = error.empty() ? 204 : 400;
    if (!error.empty()) {
      answer.headers = {{"Content-Type", "application/problem+json"}};
      answer.body = nlohmann::json{{"reason", "malformed-request"}, {"detail", error}}.dump();
    }
    write_answer(response, answer, false);
  }

 private:
  /// @return an empty text, or what is wrong with the request.
  std::string apply(Poco::Net::HTTPServerRequest& request) {
    if (request.getMethod() != "POST" || !request.hasContentLength() ||
        request.getContentLength64() > static_cast<Poco::Int64>(max_announcement_bytes)) {
      return "send a POST with a Content-Length of at most 4096 bytes";
    }
    std::string text(static_cast<std::size_t>(request.getContentLength64()), '\0');
    request.stream().read(text.data(), static_cast<std::streamsize>(text.size()));
    const auto body = nlohmann::json::parse(text, nullptr, false);
    const auto is_number = [&](const char* name, std::int64_t low, std::int64_t high) {
      return body.contains(name) && body[name].is_number_integer() &&
             body[name].get<std::int64_t>() >= low && body[name].get<std::int64_t>() <= high;
    };
    if (!body.is_object() || !body.contains("service") || !body["service"].is_string() ||
        body["service"].get<std::string>().empty() ||
        body["service"].get<std::string>().size() > 64 || !is_number("port", 1, 65'535)) {
      return "give \"service\" (1 to 64 characters) and \"port\" (1 to 65535)";
    }
    const auto service = body["service"].get<std::string>();
    const auto port = body["port"].get<std::uint16_t>();
    const std::string action = request.getURI();
    if (action == "/.damaskledge/drain") {
      state_.control.drain(service, port);
      return {};
    }
    if (action == "/.damaskledge/leave") {
      state_.control.leave(service, port);
      return {};
    }
    if (action != "/.damaskledge/announce") {
      return "the actions are announce, drain and leave";
    }
    if (!is_number("slots", 1, 100'000) || !is_number("connections", 1, 100'000)) {
      return "give \"slots\" and \"connections\" (1 to 100000)";
    }
    wire::service_record record;
    record.service = service;
    record.port = port;
    record.slots = body["slots"].get<std::uint32_t>();
    record.connections = body["connections"].get<std::uint32_t>();
    const auto instance = body.find("instance");
    record.instance = instance == body.end() ? 0 : hash64(instance->dump());
    state_.control.announce(record);
    return {};
  }

  front_state& state_;
};

/// Metrics, status and explanations for operators.
class operator_handler : public Poco::Net::HTTPRequestHandler {
 public:
  explicit operator_handler(front_state& state) : state_(state) {}

  void handleRequest(Poco::Net::HTTPServerRequest& request,
                     Poco::Net::HTTPServerResponse& response) override {
    const Poco::URI uri(request.getURI());
    caller_answer answer;
    answer.status = 200;
    std::string type = "application/json";
    if (uri.getPath() == "/metrics") {
      type = "text/plain; version=0.0.4";
      answer.body = exposition();
    } else if (uri.getPath() == "/status") {
      answer.body = state_.control.describe();
    } else if (uri.getPath() == "/targets") {
      answer.body = targets();
    } else if (uri.getPath() == "/explain") {
      explain(uri, answer);
    } else {
      answer.status = 404;
      answer.body = R"({"detail": "the pages are /metrics, /status, /targets and /explain"})";
    }
    answer.headers = {{"Content-Type", type}};
    write_answer(response, answer, false);
  }

 private:
  /// @return the request metrics and those of the parts that count for themselves.
  std::string exposition() {
    std::vector<telemetry::limit_sample> limits;
    for (const auto& it : state_.routes.targets()) {
      limits.push_back({it.id, it.limit, it.in_flight});
    }
    auto& metrics = state_.reports.metrics();
    metrics.limits(limits);
    for (const auto& it : state_.routes.own_shed_levels()) {
      metrics.shed_level(it.service, it.level);
    }
    const auto& traffic = state_.control.traffic();
    metrics.set("damaskledge_in_flight", "Requests in flight", state_.in_flight);
    metrics.set("damaskledge_connections", "Open connections of callers",
                state_.caller_listener->currentConnections());
    metrics.set("damaskledge_peer_sent_bytes", "Bytes sent to other nodes",
                static_cast<double>(traffic.bytes_sent));
    metrics.set("damaskledge_peer_received_bytes", "Bytes received from other nodes",
                static_cast<double>(traffic.bytes_received));
    metrics.set("damaskledge_peer_dropped_frames", "Frames that were dropped",
                static_cast<double>(traffic.dropped));
    metrics.set("damaskledge_ticker_seconds", "Processor time of the control ticker",
                std::chrono::duration<double>(state_.control.ticker_time()).count());
    double calls = 0;
    for (const auto& it : state_.control.platform_calls()) {
      calls += static_cast<double>(it.count);
    }
    metrics.set("damaskledge_platform_calls", "Calls to the platform since the start", calls);
    return metrics.exposition();
  }

  std::string targets() {
    auto result = nlohmann::json::array();
    for (const auto& it : state_.routes.targets()) {
      const auto ms = [](duration value) {
        return std::chrono::duration<double, std::milli>(value).count();
      };
      result.push_back({{"id", it.id},
                        {"service", it.service},
                        {"limit", it.limit},
                        {"in_flight", it.in_flight},
                        {"excluded", it.excluded},
                        {"draining", it.draining},
                        {"latency_ms", ms(it.smoothed_latency)},
                        {"minimum_latency_ms", ms(it.minimum_latency)}});
    }
    return result.dump();
  }

  void explain(const Poco::URI& uri, caller_answer& answer) {
    for (const auto& [name, value] : uri.getQueryParameters()) {
      if (name == "request") {
        if (const auto found = state_.reports.explain(value)) {
          answer.body = *found;
          return;
        }
      }
    }
    answer.status = 404;
    answer.body = R"({"detail": "this node has no refusal of that request"})";
  }

  front_state& state_;
};

/// Makes a handler for each request with a function.
class handler_factory : public Poco::Net::HTTPRequestHandlerFactory {
 public:
  using make = std::function<Poco::Net::HTTPRequestHandler*(const Poco::Net::HTTPServerRequest&)>;
  explicit handler_factory(make function) : make_(std::move(function)) {}

  Poco::Net::HTTPRequestHandler*
  createRequestHandler(const Poco::Net::HTTPServerRequest& request) override {
    return new timed_handler(make_(request));
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
             new handler_factory([&state](const auto&) { return new operator_handler(state); }));
  local_ =
      listen(settings.address, settings.local_port, local_threads,
             new handler_factory([&state](const auto& request) -> Poco::Net::HTTPRequestHandler* {
               if (request.getURI().starts_with("/.damaskledge/")) {
                 return new announcement_handler(state);
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
