#include "node/upstream_client.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <thread>

#include <Poco/Exception.h>
#include <Poco/Net/HTTPMessage.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocketImpl.h>
#include <Poco/Timespan.h>
#include <glog/logging.h>
#include <poll.h>
#include <sys/socket.h>

#include "http/http.h"

namespace damaskledge::node {

namespace {

/// Upstreams close idle connections after some time of their own; a connection that is reused
/// just then breaks with an unknown outcome, so idle ones are closed here first.
constexpr milliseconds max_idle{4'000};
constexpr milliseconds max_connect_time{500};
constexpr milliseconds cancel_check{50};

/// Socket that records what went over it, which POCO's sessions do not tell.
class recording_socket : public Poco::Net::StreamSocketImpl {
 public:
  explicit recording_socket(Poco::Net::SocketAddress::Family family) : StreamSocketImpl(family) {}

  int sendBytes(const void* buffer, int length, int flags) override { // NOLINT
    // A send that fails may have handed bytes over, so it counts as begun.
    sent_ = true;
    return StreamSocketImpl::sendBytes(buffer, length, flags);
  }
  int receiveBytes(void* buffer, int length, int flags) override { // NOLINT
    const int n = StreamSocketImpl::receiveBytes(buffer, length, flags);
    ended_ = ended_ || n == 0;
    return n;
  }

  void start_request() {
    sent_ = false;
    ended_ = false;
  }
  bool sent() const { return sent_; }
  /// True when the peer's end of the connection was reached while reading.
  bool ended() const { return ended_; }

 private:
  bool sent_ = false;
  bool ended_ = false;
};

Poco::Timespan to_timespan(duration value) {
  const auto us = std::chrono::duration_cast<std::chrono::microseconds>(value).count();
  return Poco::Timespan(std::max<Poco::Timespan::TimeDiff>(us, 1));
}

enum class wait_result : std::uint8_t { readable, caller_gone, deadline };

bool caller_disconnected(int caller_socket) {
  char byte = 0;
  const ssize_t n = ::recv(caller_socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
}

/// Waits for the answer's first byte while watching the caller.
wait_result wait_readable(int upstream_socket, int caller_socket, time_point deadline) {
  bool watch_caller = caller_socket >= 0;
  while (true) {
    const auto left =
        std::chrono::duration_cast<milliseconds>(deadline - clock_type::now()).count();
    if (left < 0) {
      return wait_result::deadline;
    }
    std::array<pollfd, 2> set{pollfd{upstream_socket, POLLIN, 0}, pollfd{caller_socket, POLLIN, 0}};
    const int n = ::poll(set.data(), watch_caller ? 2 : 1, static_cast<int>(left) + 1);
    if (n > 0 && set[0].revents != 0) {
      return wait_result::readable;
    }
    if (n > 0 && watch_caller && set[1].revents != 0) {
      if (caller_disconnected(caller_socket)) {
        return wait_result::caller_gone;
      }
      // The caller has pipelined its next request; its disconnect can't be seen until then.
      watch_caller = false;
    }
  }
}

/// @return true if a field would end early when it is passed on. The HTTP library decodes encoded
/// words (RFC 2047), which may hold line ends.
bool has_unsafe_field(const Poco::Net::HTTPResponse& response) {
  return std::any_of(response.begin(), response.end(),
                     [](const auto& it) { return http::has_control_character(it.second); });
}

header_list copy_headers(const Poco::Net::HTTPResponse& response) {
  header_list result;
  for (const auto& [name, value] : response) {
    result.emplace_back(name, value);
  }
  return result;
}

} // namespace

namespace {

/// Session that tells whether bytes were received beyond the last answer.
class pooled_session : public Poco::Net::HTTPClientSession {
 public:
  using HTTPClientSession::buffered;
  using HTTPClientSession::HTTPClientSession;
};

} // namespace

struct upstream_client::connection {
  explicit connection(recording_socket* socket)
      : record(socket), session(Poco::Net::StreamSocket(socket)) {
    session.setKeepAlive(true);
    session.setKeepAliveTimeout(Poco::Timespan(3'600, 0));
  }

  recording_socket* record;
  pooled_session session;
  time_point idle_since{};

  /// @return true when the target closed the connection or sent bytes that nobody asked for.
  bool stale() {
    return session.buffered() > 0 ||
           session.socket().poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ);
  }
};

upstream_client::upstream_client(const cut_filter& cuts) : cuts_(cuts) {}

upstream_client::~upstream_client() = default;

std::unique_ptr<upstream_client::connection> upstream_client::take(time_point now,
                                                                   const endpoint& target) {
  while (true) {
    std::unique_ptr<connection> candidate;
    {
      const std::lock_guard lock(mutex_);
      auto& idle = targets_[target].idle;
      if (idle.empty()) {
        return nullptr;
      }
      candidate = std::move(idle.back());
      idle.pop_back();
    }
    if (now - candidate->idle_since < max_idle && !candidate->stale()) {
      return candidate;
    }
  }
}

std::unique_ptr<upstream_client::connection> upstream_client::connect(const endpoint& target,
                                                                      time_point deadline) const {
  if (cuts_.drops(target.address)) {
    return nullptr;
  }
  try {
    const Poco::Net::SocketAddress address(target.address, target.port);
    auto* record = new recording_socket(address.family());
    auto result = std::make_unique<connection>(record);
    const duration left = std::min<duration>(deadline - clock_type::now(), max_connect_time);
    record->connect(address, to_timespan(left));
    record->setNoDelay(true);
    return result;
  } catch (const Poco::Exception& error) {
    VLOG(1) << "event=connect-failed target=" << to_string(target) << " cause=\""
            << error.displayText() << '"';
    return nullptr;
  }
}

bool upstream_client::refuses_connections(const endpoint& target) const {
  constexpr int tries = 3;
  constexpr milliseconds pause{5};
  constexpr milliseconds probe_time{50};
  // A process that is ending closes its connections some time before its listening socket.
  for (int it = 0; it < tries; ++it) {
    try {
      Poco::Net::StreamSocket socket;
      socket.connect(Poco::Net::SocketAddress(target.address, target.port),
                     to_timespan(probe_time));
    } catch (const Poco::Net::ConnectionRefusedException&) {
      return true;
    } catch (const Poco::Exception&) {
      return false;
    }
    std::this_thread::sleep_for(pause);
  }
  return false;
}

void upstream_client::give_back(time_point now, const endpoint& target,
                                std::unique_ptr<connection> used, std::uint32_t max_connections) {
  used->idle_since = now;
  const std::lock_guard lock(mutex_);
  auto& idle = targets_[target].idle;
  if (idle.size() < max_connections) {
    idle.push_back(std::move(used));
  }
}

void upstream_client::tick(time_point now) {
  std::vector<std::unique_ptr<connection>> closing;
  const std::lock_guard lock(mutex_);
  for (auto it = targets_.begin(); it != targets_.end();) {
    auto& idle = it->second.idle;
    const auto old = std::stable_partition(idle.begin(), idle.end(), [&](const auto& entry) {
      return now - entry->idle_since < max_idle;
    });
    std::move(old, idle.end(), std::back_inserter(closing));
    idle.erase(old, idle.end());
    it = idle.empty() ? targets_.erase(it) : std::next(it);
  }
}

attempt_outcome upstream_client::run(const endpoint& target, const upstream_request& request,
                                     time_point deadline, int caller_socket,
                                     std::uint32_t max_connections, std::size_t max_answer_bytes) {
  const time_point start = clock_type::now();
  if (start >= deadline) {
    return {attempt_result::timed_out_before_send, {}, {}};
  }
  auto used = cuts_.drops(target.address) ? nullptr : take(start, target);
  if (!used) {
    used = connect(target, deadline);
  }
  if (!used) {
    return {attempt_result::connect_failed, {}, clock_type::now() - start};
  }
  attempt_outcome result = exchange(*used, request, deadline, caller_socket, max_answer_bytes);
  const time_point end = clock_type::now();
  result.latency = end - start;
  // A connection whose request did not end with a whole answer is never used again: a late
  // answer on it would go to another caller.
  if (result.result == attempt_result::answered && used->session.getKeepAlive() &&
      used->session.buffered() == 0) {
    give_back(end, target, std::move(used), max_connections);
  }
  return result;
}

attempt_outcome upstream_client::exchange(connection& used, const upstream_request& request,
                                          time_point deadline, int caller_socket,
                                          std::size_t max_answer_bytes) const {
  attempt_outcome result;
  used.record->start_request();
  try {
    Poco::Net::HTTPRequest head(request.method, request.target, Poco::Net::HTTPMessage::HTTP_1_1);
    for (const auto& [name, value] : request.headers) {
      head.set(name, value);
    }
    head.setKeepAlive(true);
    if (!request.body.empty() || request.method == "POST" || request.method == "PUT") {
      head.setContentLength64(static_cast<Poco::Int64>(request.body.size()));
    }
    // The last look at the clock before the first byte: a process that was paused since the
    // decision must not send a request whose deadline has passed.
    const time_point now = clock_type::now();
    if (now >= deadline) {
      result.result = attempt_result::timed_out_before_send;
      return result;
    }
    used.record->setSendTimeout(to_timespan(deadline - now));
    std::ostream& out = used.session.sendRequest(head);
    out.write(request.body.data(), static_cast<std::streamsize>(request.body.size()));
    out.flush();

    switch (wait_readable(used.record->sockfd(), caller_socket, deadline)) {
    case wait_result::caller_gone:
      result.result = attempt_result::cancelled;
      return result;
    case wait_result::deadline:
      result.result = attempt_result::timed_out;
      return result;
    case wait_result::readable:
      break;
    }
    used.record->setReceiveTimeout(to_timespan(deadline - clock_type::now()));
    Poco::Net::HTTPResponse response;
    std::istream& in = used.session.receiveResponse(response);
    std::array<char, 8'192> buf{};
    while (in.read(buf.data(), buf.size()) || in.gcount() > 0) {
      result.answer.body.append(buf.data(), static_cast<std::size_t>(in.gcount()));
      if (result.answer.body.size() > max_answer_bytes) {
        result.result = attempt_result::truncated;
        return result;
      }
      if (clock_type::now() >= deadline) {
        result.result = attempt_result::timed_out;
        return result;
      }
    }
    result.answer.status = response.getStatus();
    result.answer.reason = response.getReason();
    result.answer.headers = copy_headers(response);

    const bool has_body =
        request.method != "HEAD" && result.answer.status != 204 && result.answer.status != 304;
    const bool whole =
        !has_body ||
        (response.hasContentLength()
             ? response.getContentLength64() == static_cast<Poco::Int64>(result.answer.body.size())
             // POCO's chunked stream treats a closed connection like the last chunk; a whole
             // chunked body never reads up to the end of the connection.
             : response.getChunkedTransferEncoding() && !used.record->ended());
    if (!whole) {
      result.result = attempt_result::truncated;
      return result;
    }
    if (has_unsafe_field(response)) {
      VLOG(1) << "event=attempt-broken cause=\"control characters in a header field\"";
      result.result = attempt_result::broken;
      return result;
    }
    if (response.has("Damaskledge-Attempt") &&
        response.get("Damaskledge-Attempt") != request.attempt) {
      result.result = attempt_result::mismatched;
      return result;
    }
    used.session.setKeepAlive(response.getKeepAlive());
    result.result = attempt_result::answered;
  } catch (const Poco::TimeoutException&) {
    result.result =
        used.record->sent() ? attempt_result::timed_out : attempt_result::timed_out_before_send;
  } catch (const Poco::Exception& error) {
    VLOG(1) << "event=attempt-broken cause=\"" << error.displayText() << '"';
    result.result =
        used.record->sent() ? attempt_result::broken : attempt_result::broken_before_send;
  }
  return result;
}

} // namespace damaskledge::node
