#include <csignal>
#include <cstring>

#include <sys/signalfd.h>
#include <unistd.h>

#include "sidecar/agent.h"
#include "sidecar/sidecar.h"

namespace damaskledge::sidecar {

namespace {

/// Receives signals as events of the loop, so that no code runs in a handler.
class signal_source : public event::io_handler {
 public:
  signal_source(event::loop& loop, std::function<void(int)> handle)
      : loop_(loop), handle_(std::move(handle)) {
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGHUP);
    sigprocmask(SIG_BLOCK, &signals, nullptr);
    fd_ = ::signalfd(-1, &signals, SFD_NONBLOCK | SFD_CLOEXEC);
    if (fd_ >= 0) {
      loop_.watch(fd_, 1U, *this);
    }
  }
  ~signal_source() override {
    if (fd_ >= 0) {
      loop_.forget(fd_, *this);
      ::close(fd_);
    }
  }
  bool valid() const { return fd_ >= 0; }
  void on_io(std::uint32_t /*events*/) override {
    signalfd_siginfo info{};
    while (::read(fd_, &info, sizeof(info)) == static_cast<ssize_t>(sizeof(info))) {
      handle_(static_cast<int>(info.ssi_signo));
    }
  }

 private:
  event::loop& loop_;
  std::function<void(int)> handle_;
  int fd_ = -1;
};

} // namespace

leaf::result<void> run(const settings& initial, const std::string& /*path*/) {
  event::loop loop;
  agent node(loop, initial);
  signal_source signals(loop, [&](int signal) {
    if (signal != SIGHUP) {
      node.shut_down();
    }
  });
  if (!signals.valid()) {
    return leaf::new_error(
        environment_error{"signals can't be received", "run on Linux with signalfd"});
  }
  BOOST_LEAF_CHECK(node.start());
  loop.run();
  return {};
}

} // namespace damaskledge::sidecar
