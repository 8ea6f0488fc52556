#include <csignal>
#include <filesystem>
#include <functional>

#include <sys/signalfd.h>
#include <unistd.h>

#include "sidecar/agent.h"
#include "sidecar/sidecar.h"

namespace damaskledge::sidecar {

namespace {

/// Files that change without a signal are noticed within this time.
constexpr milliseconds file_check_interval{1'000};

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

/// The settings file, which may change with or without a signal.
class settings_file {
 public:
  settings_file(event::loop& loop, agent& node, std::string path)
      : loop_(loop), node_(node), path_(std::move(path)), changed_(change_time()) {
    check_later();
  }

  /// Reads the file and puts it in force if it is valid.
  void read() {
    leaf::try_handle_all(
        [&]() -> leaf::result<void> {
          BOOST_LEAF_AUTO(text, read_settings_file(path_));
          BOOST_LEAF_AUTO(values, parse_settings(text, path_));
          node_.reload(values);
          return {};
        },
        [&](const parse_error& error) { reject(to_string(error)); },
        [&](const environment_error& error) { reject(to_string(error)); },
        [&] { reject("unknown error"); });
  }

 private:
  void check_later() {
    loop_.after(file_check_interval, [this] {
      const auto changed = change_time();
      if (changed != changed_) {
        changed_ = changed;
        read();
      }
      check_later();
    });
  }
  std::filesystem::file_time_type change_time() const {
    std::error_code ec;
    const auto result = std::filesystem::last_write_time(path_, ec);
    return ec ? std::filesystem::file_time_type{} : result;
  }
  void reject(const std::string& why) {
    node_.log().state(log_line("settings_rejected").field("why", why));
  }

  event::loop& loop_;
  agent& node_;
  std::string path_;
  std::filesystem::file_time_type changed_;
};

} // namespace

leaf::result<void> run(const settings& initial, const std::string& path) {
  event::loop loop;
  agent node(loop, initial);
  settings_file file(loop, node, path);
  signal_source signals(loop, [&](int signal) {
    if (signal == SIGHUP) {
      file.read();
    } else {
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
