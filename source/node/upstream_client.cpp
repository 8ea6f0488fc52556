#include "node/upstream_client.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <thread>

#include <Poco/Exception.h>
#include <Poco/Net/MessageHeader.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
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

/// @return true if a caller that decodes encoded words (RFC 2047) would find a line end or another
/// control character in a field.
bool has_unsafe_field(const http::header_fields& fields) {
  return std::any_of(fields.all().begin(), fields.all().end(), [](const auto& it) {
    return http::has_control_character(Poco::Net::MessageHeader::decodeWord(it.value));
  });
}

header_list copy_headers(const http::header_fields& fields) {
  header_list result;
  for (const auto& [name, value] : fields.all()) {
    result.emplace_back(name, value);
  }
  return result;
}

/// Bound on the head of an answer.
constexpr std::size_t max_answer_head_bytes = 64UL * 1024UL;

} // namespace

struct upstream_client::connection {
  connection(const Poco::Net::StreamSocket& socket, std::size_t max_answer_bytes)
      : link(socket, {max_answer_head_bytes, max_answer_bytes}) {}

  http::client_connection link;
  time_point idle_since{};
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
    if (now - candidate->idle_since < max_idle && !candidate->link.stale()) {
      return candidate;
    }
  }
}

std::unique_ptr<upstream_client::connection>
upstream_client::connect(const endpoint& target, time_point deadline,
                         std::size_t max_answer_bytes) const {
  if (cuts_.drops(target.address)) {
    return nullptr;
  }
  try {
    Poco::Net::StreamSocket socket;
    const duration left = std::min<duration>(deadline - clock_type::now(), max_connect_time);
    socket.connect(Poco::Net::SocketAddress(target.address, target.port), to_timespan(left));
    socket.setNoDelay(true);
    return std::make_unique<connection>(socket, max_answer_bytes);
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
    used = connect(target, deadline, max_answer_bytes);
  }
  if (!used) {
    return {attempt_result::connect_failed, {}, clock_type::now() - start};
  }
  attempt_outcome result = exchange(*used, request, deadline, caller_socket);
  const time_point end = clock_type::now();
  result.latency = end - start;
  // A connection whose request did not end with a whole answer is never used again: a late
  // answer on it would go to another caller.
  if (result.result == attempt_result::answered && used->link.reusable()) {
    give_back(end, target, std::move(used), max_connections);
  }
  return result;
}

attempt_outcome upstream_client::exchange(connection& used, const upstream_request& request,
                                          time_point deadline, int caller_socket) const {
  attempt_outcome result;
  http::client_connection& link = used.link;
  // The last look at the clock before the first byte: a process that was paused since the
  // decision must not send a request whose deadline has passed.
  if (clock_type::now() >= deadline) {
    result.result = attempt_result::timed_out_before_send;
    return result;
  }
  try {
    http::outgoing_request wire{request.method, request.target, {}, request.body};
    for (const auto& [name, value] : request.headers) {
      wire.fields.set(name, value);
    }
    link.send(wire, deadline);
    switch (wait_readable(link.socket().impl()->sockfd(), caller_socket, deadline)) {
    case wait_result::caller_gone:
      result.result = attempt_result::cancelled;
      return result;
    case wait_result::deadline:
      result.result = attempt_result::timed_out;
      return result;
    case wait_result::readable:
      break;
    }
    if (const auto failure = link.receive(deadline)) {
      VLOG(1) << "event=attempt-broken cause=\"" << http::to_string(*failure) << '"';
      result.result = failure->in_body ? attempt_result::truncated : attempt_result::broken;
      return result;
    }
    if (link.until_close()) {
      // The end of a process looks like the end of the body.
      result.result = attempt_result::truncated;
      return result;
    }
    http::response& answer = link.message();
    if (has_unsafe_field(answer.fields)) {
      VLOG(1) << "event=attempt-broken cause=\"control characters in a header field\"";
      result.result = attempt_result::broken;
      return result;
    }
    if (const std::string* attempt = answer.fields.find("Damaskledge-Attempt");
        attempt != nullptr && *attempt != request.attempt) {
      result.result = attempt_result::mismatched;
      return result;
    }
    result.result = attempt_result::answered;
    result.answer.status = answer.status;
    result.answer.reason = answer.reason;
    result.answer.headers = copy_headers(answer.fields);
    result.answer.body = std::move(answer.body);
  } catch (const Poco::TimeoutException&) {
    result.result = link.sent() ? attempt_result::timed_out : attempt_result::timed_out_before_send;
  } catch (const Poco::Exception& error) {
    VLOG(1) << "event=attempt-broken cause=\"" << error.displayText() << '"';
    result.result = link.sent() ? attempt_result::broken : attempt_result::broken_before_send;
  }
  return result;
}

} // namespace damaskledge::node
