#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <ctime>
#include <exception>

#include <sys/epoll.h>
#include <unistd.h>

#include "event/event.h"

namespace damaskledge::event {

namespace {

constexpr std::size_t max_events_per_round = 128;
/// The loop wakes at least this often, so that a stop request is seen.
constexpr milliseconds max_wait{1'000};

} // namespace

loop::loop() : epoll_(::epoll_create1(EPOLL_CLOEXEC)), now_(read_clock()) {}

loop::~loop() {
  if (epoll_ >= 0) {
    ::close(epoll_);
  }
}

time_point loop::read_clock() {
  // CLOCK_BOOTTIME goes on while a VM is suspended, so deadlines and knowledge are found old on
  // waking; the steady clock of the standard library does not count that time.
  timespec value{};
  ::clock_gettime(CLOCK_BOOTTIME, &value);
  return time_point(std::chrono::seconds(value.tv_sec) + std::chrono::nanoseconds(value.tv_nsec));
}

time_point loop::refresh_now() {
  now_ = read_clock();
  return now_;
}

timer_id loop::after(duration delay, std::function<void()> task) {
  const timer_id id = next_timer_++;
  timers_.push({now_ + delay, id});
  tasks_.emplace(id, std::move(task));
  return id;
}

void loop::cancel(timer_id id) {
  tasks_.erase(id);
}

void loop::defer(std::function<void()> task) {
  deferred_.push_back(std::move(task));
}

void loop::watch(int fd, std::uint32_t events, io_handler& handler) {
  epoll_event it{};
  it.events = events;
  it.data.ptr = &handler;
  if (::epoll_ctl(epoll_, EPOLL_CTL_ADD, fd, &it) != 0) {
    report_violation("epoll-add", std::strerror(errno));
  }
}

void loop::change(int fd, std::uint32_t events, io_handler& handler) {
  epoll_event it{};
  it.events = events;
  it.data.ptr = &handler;
  if (::epoll_ctl(epoll_, EPOLL_CTL_MOD, fd, &it) != 0) {
    report_violation("epoll-change", std::strerror(errno));
  }
}

void loop::forget(int fd, io_handler& handler) {
  epoll_event it{};
  ::epoll_ctl(epoll_, EPOLL_CTL_DEL, fd, &it);
  forgotten_.insert(&handler);
}

void loop::report(std::string_view where, std::string_view what) const {
  if (reporter_) {
    reporter_(where, what);
  }
}

template <class Task>
bool loop::contain(std::string_view where, const Task& task) {
  if (!reporter_) {
    task();
    return true;
  }
  try {
    task();
    return true;
  } catch (const std::exception& error) {
    report(where, error.what());
  } catch (...) {
    report(where, "an exception of unknown type");
  }
  return false;
}

void loop::run() {
  while (!stopped_) {
    run_once(max_wait);
  }
}

void loop::run_once(duration limit) {
  duration wait = deferred_.empty() ? limit : duration::zero();
  refresh_now();
  if (slow_round_reporter_ && round_began_ && now_ - *round_began_ > slow_round_limit_) {
    slow_round_reporter_(now_ - *round_began_);
  }
  while (!timers_.empty() && tasks_.count(timers_.top().id) == 0) {
    timers_.pop();
  }
  if (!timers_.empty()) {
    wait = std::min(wait, std::max(duration::zero(), timers_.top().at - now_));
  }
  // Rounded up, since a wait that ends just before its timer would spin.
  const auto wait_ms = std::chrono::ceil<milliseconds>(wait).count();
  std::array<epoll_event, max_events_per_round> ready{};
  const int n = ::epoll_wait(epoll_, ready.data(), max_events_per_round, static_cast<int>(wait_ms));
  round_began_ = refresh_now();
  ++round_;
  forgotten_.clear();
  for (int i = 0; i < n; ++i) {
    auto* handler = static_cast<io_handler*>(ready[static_cast<std::size_t>(i)].data.ptr);
    if (forgotten_.count(handler) != 0) {
      continue;
    }
    const std::uint32_t events = ready[static_cast<std::size_t>(i)].events;
    if (!contain("io", [&] { handler->on_io(events); }) && forgotten_.count(handler) == 0) {
      contain("io failure", [&] { handler->on_failure(); });
    }
  }
  run_timers();
  run_deferred();
}

void loop::run_timers() {
  while (!timers_.empty() && timers_.top().at <= now_) {
    const timer_id id = timers_.top().id;
    timers_.pop();
    auto found = tasks_.find(id);
    if (found == tasks_.end()) {
      continue;
    }
    auto task = std::move(found->second);
    tasks_.erase(found);
    contain("timer", task);
  }
}

void loop::run_deferred() {
  while (!deferred_.empty()) {
    std::vector<std::function<void()>> tasks;
    tasks.swap(deferred_);
    for (auto& it : tasks) {
      contain("deferred task", it);
    }
  }
}

} // namespace damaskledge::event
