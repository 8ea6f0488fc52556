#include <array>
#include <cerrno>
#include <cstring>

#include <arpa/inet.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/epoll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include "event/event.h"

namespace damaskledge::event {

namespace {

constexpr std::size_t read_chunk = 16UL * 1024UL;
/// Reads of one stream in one round, so that a fast sender does not hold up the others.
constexpr int reads_per_round = 4;
/// Sent bytes are removed from the front of the queue in steps of this size.
constexpr std::size_t compact_bytes = 64UL * 1024UL;
/// Pause between keep-alive probes; the silence timeout covers an idle second and two probes.
constexpr int keepalive_idle_s = 1;

/// Pause between looks whether the peer has acknowledged bytes.
constexpr milliseconds acknowledgement_poll{1};

/// Pause in accepting connections when the process has no descriptors left.
constexpr milliseconds accept_pause{100};

void set_option(int fd, int level, int name, int value) {
  ::setsockopt(fd, level, name, &value, sizeof(value));
}

std::optional<sockaddr_in> to_socket_address(const endpoint& value) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(value.port);
  if (::inet_pton(AF_INET, value.address.c_str(), &address.sin_addr) != 1) {
    return std::nullopt;
  }
  return address;
}

} // namespace

stream::stream(loop& events, int fd, const stream_options& options)
    : loop_(events), options_(options), fd_(fd), connected_(true) {
  set_options();
  interest_ = EPOLLIN | EPOLLRDHUP;
  loop_.watch(fd_, interest_, *this);
}

stream::stream(loop& events, const endpoint& to, const stream_options& options)
    : loop_(events), options_(options) {
  const auto address = to_socket_address(to);
  fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  bool started = false;
  if (fd_ >= 0 && address) {
    set_options();
    started = ::connect(fd_, reinterpret_cast<const sockaddr*>(&*address), sizeof(*address)) == 0 ||
              errno == EINPROGRESS;
  }
  if (!started) {
    if (fd_ >= 0) {
      ::close(fd_);
      fd_ = -1;
    }
    failure_timer_ = loop_.after(duration::zero(), [this] {
      failure_timer_ = 0;
      if (callbacks_.on_closed) {
        callbacks_.on_closed(close_reason::connect_failed);
      }
    });
    return;
  }
  interest_ = EPOLLOUT;
  loop_.watch(fd_, interest_, *this);
}

stream::~stream() {
  close();
}

void stream::set_options() {
  const auto silence = static_cast<int>(options_.silence_timeout.count());
  set_option(fd_, IPPROTO_TCP, TCP_NODELAY, 1);
  set_option(fd_, IPPROTO_TCP, TCP_USER_TIMEOUT, silence);
  set_option(fd_, SOL_SOCKET, SO_KEEPALIVE, 1);
  set_option(fd_, IPPROTO_TCP, TCP_KEEPIDLE, keepalive_idle_s);
  set_option(fd_, IPPROTO_TCP, TCP_KEEPINTVL, keepalive_idle_s);
  set_option(fd_, IPPROTO_TCP, TCP_KEEPCNT, std::max(1, silence / 1'000));
}

void stream::send(std::string_view bytes) {
  if (fd_ < 0 || closing_) {
    return;
  }
  output_.append(bytes);
  if (connected_) {
    write_available();
  }
}

void stream::resume_reading() {
  if (fd_ >= 0 && connected_) {
    update_interest();
  }
}

void stream::close(bool abort) {
  if (linger_timer_ != 0) {
    loop_.cancel(linger_timer_);
    linger_timer_ = 0;
  }
  if (failure_timer_ != 0) {
    loop_.cancel(failure_timer_);
    failure_timer_ = 0;
  }
  if (end_timer_ != 0) {
    loop_.cancel(end_timer_);
    end_timer_ = 0;
  }
  if (fd_ < 0) {
    return;
  }
  if (abort) {
    const linger reset{1, 0};
    ::setsockopt(fd_, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
  }
  loop_.forget(fd_, *this);
  ::close(fd_);
  fd_ = -1;
}

void stream::close_after_send(duration linger) {
  if (fd_ < 0 || closing_) {
    return;
  }
  closing_ = true;
  linger_timer_ = loop_.after(linger, [this] {
    linger_timer_ = 0;
    fail(close_reason::local);
  });
  input_.clear();
  write_available();
}

void stream::on_io(std::uint32_t events) {
  if (!connected_) {
    finish_connect();
    return;
  }
  if (end_timer_ != 0) {
    write_available();
    if (reset_ || hung_up()) {
      fail(close_reason::reset);
    }
    return;
  }
  // Set before the remaining input is handled, which may have waited for long.
  peer_ended_ = peer_ended_ || (events & EPOLLRDHUP) != 0;
  if (peer_ended_ && reading_paused()) {
    // The end would not be seen before the unread input is consumed, which may take long.
    fail(close_reason::end_of_stream);
    return;
  }
  if ((events & (EPOLLIN | EPOLLHUP | EPOLLERR | EPOLLRDHUP)) != 0) {
    read_available();
  }
  if (fd_ >= 0 && (events & EPOLLOUT) != 0) {
    write_available();
  }
}

void stream::on_failure() {
  input_.clear();
  close(true);
  if (callbacks_.on_closed) {
    callbacks_.on_closed(close_reason::reset);
  }
}

void stream::finish_connect() {
  int error = 0;
  socklen_t length = sizeof(error);
  ::getsockopt(fd_, SOL_SOCKET, SO_ERROR, &error, &length);
  if (error != 0) {
    fail(close_reason::connect_failed);
    return;
  }
  connected_ = true;
  interest_ = EPOLLIN | EPOLLRDHUP;
  loop_.change(fd_, interest_, *this);
  if (callbacks_.on_connected) {
    callbacks_.on_connected();
  }
  if (fd_ >= 0) {
    write_available();
  }
}

void stream::read_available() {
  std::array<char, read_chunk> chunk{};
  bool any = false;
  for (int i = 0; i < reads_per_round && fd_ >= 0; ++i) {
    const ssize_t n = ::recv(fd_, chunk.data(), chunk.size(), 0);
    if (n > 0) {
      if (!closing_) {
        input_.append(chunk.data(), static_cast<std::size_t>(n));
        any = true;
      }
      if (static_cast<std::size_t>(n) < chunk.size()) {
        break;
      }
      continue;
    }
    if (n < 0 && (errno == EAGAIN || errno == EINTR)) {
      break;
    }
    const bool ended = n == 0 && !reset_;
    if (any && callbacks_.on_data) {
      // Bytes that arrived with the end of the stream are handled before it.
      peer_ended_ = true;
      callbacks_.on_data();
    }
    if (fd_ < 0) {
      return;
    }
    if (!ended) {
      fail(close_reason::reset);
    } else if (options_.reset_wait > milliseconds(0) && acknowledged() < sent_ + unsent()) {
      peer_ended_ = true;
      end_by_ = loop_.now() + options_.reset_wait;
      acknowledged_at_end_ = acknowledged();
      await_reset();
    } else {
      fail(close_reason::end_of_stream);
    }
    return;
  }
  if (any && callbacks_.on_data) {
    callbacks_.on_data();
  }
  if (fd_ >= 0) {
    update_interest();
  }
}

std::uint64_t stream::acknowledged() const {
  int in_socket = 0;
  ::ioctl(fd_, SIOCOUTQ, &in_socket);
  return sent_ - static_cast<std::uint64_t>(in_socket);
}

bool stream::hung_up() const {
  pollfd state{fd_, 0, 0};
  return ::poll(&state, 1, 0) > 0 && (state.revents & (POLLHUP | POLLERR)) != 0;
}

void stream::await_reset() {
  end_timer_ = loop_.after(acknowledgement_poll, [this] {
    end_timer_ = 0;
    if (hung_up()) {
      fail(close_reason::reset);
    } else if (loop_.now() >= end_by_ || acknowledged() > acknowledged_at_end_) {
      fail(close_reason::end_of_stream);
    } else {
      await_reset();
    }
  });
  update_interest();
}

void stream::write_available() {
  while (fd_ >= 0 && output_offset_ < output_.size()) {
    const ssize_t n =
        ::send(fd_, output_.data() + output_offset_, output_.size() - output_offset_, MSG_NOSIGNAL);
    if (n < 0) {
      if (errno == EAGAIN || errno == EINTR) {
        break;
      }
      // The read side reports the reset, after any bytes that arrived before it. The failed write
      // has taken the error off the socket, so that reading would show an orderly end.
      reset_ = true;
      output_.clear();
      output_offset_ = 0;
      break;
    }
    output_offset_ += static_cast<std::size_t>(n);
    sent_ += static_cast<std::uint64_t>(n);
  }
  if (output_offset_ == output_.size()) {
    output_.clear();
    output_offset_ = 0;
    if (output_.capacity() > compact_bytes) {
      output_.shrink_to_fit();
    }
    if (closing_ && !write_shut_ && fd_ >= 0) {
      write_shut_ = true;
      ::shutdown(fd_, SHUT_WR);
    }
  } else if (output_offset_ >= compact_bytes) {
    output_.erase(0, output_offset_);
    output_offset_ = 0;
  }
  if (fd_ >= 0) {
    update_interest();
  }
}

void stream::update_interest() {
  std::uint32_t wanted = 0;
  // The end that was read stays readable.
  if (end_timer_ == 0) {
    wanted = reading_paused() ? EPOLLRDHUP : EPOLLRDHUP | EPOLLIN;
  }
  if (output_offset_ < output_.size()) {
    wanted |= EPOLLOUT;
  }
  if (wanted != interest_) {
    interest_ = wanted;
    loop_.change(fd_, interest_, *this);
  }
}

void stream::fail(close_reason reason) {
  close();
  if (callbacks_.on_closed) {
    callbacks_.on_closed(reason);
  }
}

listener::listener(loop& events, int fd, std::uint16_t port, std::function<void(int)> accept)
    : loop_(events), timers_(events), fd_(fd), port_(port), accept_(std::move(accept)) {
  loop_.watch(fd_, EPOLLIN, *this);
}

listener::~listener() {
  loop_.forget(fd_, *this);
  ::close(fd_);
}

leaf::result<std::unique_ptr<listener>> listener::open(loop& events, const endpoint& at,
                                                       std::function<void(int)> accept) {
  constexpr int backlog = 1'024;
  const auto address = to_socket_address(at);
  if (!address) {
    return leaf::new_error(
        environment_error{"'" + at.address + "' is no IPv4 address", "correct it in the settings"});
  }
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  set_option(fd, SOL_SOCKET, SO_REUSEADDR, 1);
  sockaddr_in bound = *address;
  socklen_t length = sizeof(bound);
  if (fd < 0 || ::bind(fd, reinterpret_cast<const sockaddr*>(&bound), length) != 0 ||
      ::listen(fd, backlog) != 0 ||
      ::getsockname(fd, reinterpret_cast<sockaddr*>(&bound), &length) != 0) {
    const std::string why = std::strerror(errno);
    if (fd >= 0) {
      ::close(fd);
    }
    return leaf::new_error(environment_error{"listening at " + to_string(at) + " failed: " + why,
                                             "free the port or change it in the settings"});
  }
  return std::unique_ptr<listener>(
      new listener(events, fd, ntohs(bound.sin_port), std::move(accept)));
}

void listener::on_io(std::uint32_t /*events*/) {
  while (true) {
    const int fd = ::accept4(fd_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0) {
      if (errno == EMFILE || errno == ENFILE || errno == ENOBUFS || errno == ENOMEM) {
        // The connection stays in the backlog and would wake the loop again at once.
        loop_.report("accept", std::strerror(errno));
        loop_.change(fd_, 0, *this);
        timers_.after(accept_pause, [this] { loop_.change(fd_, EPOLLIN, *this); });
      }
      return;
    }
    accept_(fd);
  }
}

std::optional<endpoint> parse_endpoint(std::string_view text) {
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  endpoint result;
  result.address = text.substr(0, colon);
  int port = 0;
  for (const char it : text.substr(colon + 1)) {
    if (it < '0' || it > '9' || port > 65'535) {
      return std::nullopt;
    }
    port = port * 10 + (it - '0');
  }
  if (port <= 0 || port > 65'535 || !to_socket_address(result)) {
    return std::nullopt;
  }
  result.port = static_cast<std::uint16_t>(port);
  return result;
}

} // namespace damaskledge::event
