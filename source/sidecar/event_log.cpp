#include "sidecar/event_log.h"

#include <algorithm>
#include <cinttypes>
#include <cstdio>

#include <poll.h>
#include <unistd.h>

namespace damaskledge::sidecar {

namespace {

/// Limit for lines about requests. A line costs about 5 us, so logging uses less than 0.1% of a
/// core.
constexpr double lines_per_second = 100;
/// Largest burst of lines about requests.
constexpr double line_burst = 300;
/// Bytes queued at most while standard output is blocked.
constexpr std::size_t max_queue = 256UL * 1024UL;
constexpr std::size_t max_value = 256;

bool plain(std::string_view value) {
  return !value.empty() && std::all_of(value.begin(), value.end(), [](char it) {
    return it > ' ' && it < 0x7F && it != '"' && it != '\\' && it != '=';
  });
}

} // namespace

log_line& log_line::field(std::string_view name, std::string_view value) {
  value = value.substr(0, max_value);
  text_ += ' ';
  text_ += name;
  text_ += '=';
  if (plain(value)) {
    text_ += value;
    return *this;
  }
  text_ += '"';
  for (const char it : value) {
    // Text from a caller must not be able to forge a line or a field.
    text_ += (it < ' ' || it > '~' || it == '"' || it == '\\') ? '?' : it;
  }
  text_ += '"';
  return *this;
}

log_line& log_line::field(std::string_view name, std::int64_t value) {
  text_ += ' ';
  text_ += name;
  text_ += '=';
  text_ += std::to_string(value);
  return *this;
}

event_log::event_log(event::loop& events, std::string node)
    : loop_(events), node_(std::move(node)), allowance_(line_burst), updated_(events.now()) {}

void event_log::append(const log_line& line) {
  if (queue_.size() > max_queue) {
    ++dropped_;
    return;
  }
  char time[32];
  std::snprintf(time, sizeof(time), "%" PRId64, unix_now());
  queue_ += "time=";
  queue_ += time;
  queue_ += " node=";
  queue_ += node_;
  queue_ += " event=";
  queue_ += line.text();
  queue_ += '\n';
}

void event_log::request(const log_line& line) {
  const time_point now = loop_.now();
  const double elapsed = std::chrono::duration<double>(now - updated_).count();
  updated_ = now;
  allowance_ = std::min(line_burst, allowance_ + elapsed * lines_per_second);
  if (allowance_ < 1) {
    ++dropped_;
    return;
  }
  allowance_ -= 1;
  append(line);
}

void event_log::state(const log_line& line) {
  append(line);
}

void event_log::flush() {
  if (dropped_ > 0 && queue_.size() < max_queue) {
    const auto dropped = static_cast<std::int64_t>(dropped_);
    dropped_ = 0;
    append(log_line("log_lines_dropped").field("count", dropped));
  }
  while (!queue_.empty()) {
    pollfd output{STDOUT_FILENO, POLLOUT, 0};
    if (::poll(&output, 1, 0) <= 0 || (output.revents & POLLOUT) == 0) {
      return;
    }
    // A pipe that polls as writable accepts at least this many bytes without blocking.
    constexpr std::size_t step = 4'096;
    const ssize_t n = ::write(STDOUT_FILENO, queue_.data(), std::min(step, queue_.size()));
    if (n <= 0) {
      return;
    }
    queue_.erase(0, static_cast<std::size_t>(n));
  }
}

} // namespace damaskledge::sidecar
