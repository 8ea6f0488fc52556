/// @file
/// Single-threaded event loop over epoll: timers, non-blocking TCP streams and listeners.
///
/// Poco's PollSet copies a map of sockets on each poll; processor time is a limited resource of the
/// node, so the loop uses epoll itself.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "common/common.h"

namespace damaskledge::event {

/// Receives readiness of one file descriptor.
class io_handler {
 public:
  io_handler() = default;
  io_handler(const io_handler&) = delete;
  io_handler& operator=(const io_handler&) = delete;
  virtual ~io_handler() = default;
  virtual void on_io(std::uint32_t events) = 0;
  /// Handling an event has thrown. Ends what the descriptor serves, and nothing else.
  virtual void on_failure() {}
};

using timer_id = std::uint64_t;

/// Runs handlers and timers on the calling thread until stopped.
class loop {
 public:
  loop();
  ~loop();
  loop(const loop&) = delete;
  loop& operator=(const loop&) = delete;

  /// @return the time at which the current round of events began.
  time_point now() const { return now_; }
  /// Reads the clock anew.
  time_point refresh_now();
  /// @return the time now, to measure how long work of the current round takes. `now` stays as it
  /// is, so that timers armed in this round do not run in it.
  static time_point read_clock();

  /// Calls `task` once after `delay`.
  timer_id after(duration delay, std::function<void()> task);
  void cancel(timer_id id);
  /// Calls `task` after the handlers of this round, so that an object may be destroyed safely.
  void defer(std::function<void()> task);

  void watch(int fd, std::uint32_t events, io_handler& handler);
  void change(int fd, std::uint32_t events, io_handler& handler);
  void forget(int fd, io_handler& handler);

  /// Sets the receiver of exceptions that leave a handler, timer or deferred task. Each of them
  /// ends only the event that it interrupted. Without a reporter, exceptions leave `run`.
  void report_failures(std::function<void(std::string_view where, std::string_view what)> to) {
    reporter_ = std::move(to);
  }
  /// Passes a failure to the reporter.
  void report(std::string_view where, std::string_view what) const;
  /// @return number of the current round of events.
  std::uint64_t round() const { return round_; }
  /// Sets the receiver of rounds that took longer than `limit`. Nothing else was handled meanwhile.
  void report_slow_rounds(duration limit, std::function<void(duration taken)> to) {
    slow_round_limit_ = limit;
    slow_round_reporter_ = std::move(to);
  }

  /// Runs until `stop`.
  void run();
  /// Handles what is ready, waiting at most `limit`.
  void run_once(duration limit);
  void stop() { stopped_ = true; }
  bool stopped() const { return stopped_; }

 private:
  struct timer {
    time_point at;
    timer_id id = 0;
    bool operator>(const timer& other) const {
      return at != other.at ? at > other.at : id > other.id;
    }
  };

  void run_timers();
  void run_deferred();
  /// Runs one event's task.
  /// @return false if it has thrown and the exception was reported.
  template <class Task>
  bool contain(std::string_view where, const Task& task);

  int epoll_ = -1;
  bool stopped_ = false;
  time_point now_;
  timer_id next_timer_ = 1;
  std::priority_queue<timer, std::vector<timer>, std::greater<>> timers_;
  std::unordered_map<timer_id, std::function<void()>> tasks_;
  std::vector<std::function<void()>> deferred_;
  std::function<void(std::string_view, std::string_view)> reporter_;
  std::uint64_t round_ = 0;
  /// When the handlers of the latest round began to run.
  std::optional<time_point> round_began_;
  duration slow_round_limit_{};
  std::function<void(duration)> slow_round_reporter_;
  /// Handlers forgotten during the current round; their pending events are dropped.
  std::unordered_set<io_handler*> forgotten_;
};

/// Timers of one object; none of them runs after the object's destruction.
class timer_group {
 public:
  explicit timer_group(loop& events) : loop_(events) {}

  /// Calls `task` once after `delay`.
  void after(duration delay, std::function<void()> task) {
    loop_.after(delay, [owner = std::weak_ptr<bool>(alive_), task = std::move(task)] {
      if (!owner.expired()) {
        task();
      }
    });
  }

 private:
  loop& loop_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

/// Why a stream ended.
enum class close_reason : std::uint8_t { end_of_stream, reset, connect_failed, local };

struct stream_options {
  /// Unacknowledged data or keep-alive probes for this long end the connection.
  milliseconds silence_timeout{2'000};
  /// Reading pauses while this many bytes are unread.
  std::size_t read_limit = 256UL * 1024UL;
  /// A peer that closes its socket while bytes are on the way to it ends the stream in order at
  /// first, and resets it when these bytes arrive. While bytes are not acknowledged, an end is
  /// reported when the peer acknowledges some of them, which a closed socket does not, or after
  /// this time without a reset. Zero reports each end at once.
  milliseconds reset_wait{0};
};

/// Callbacks of a stream. The owner may destroy the stream only through `loop::defer`.
struct stream_events {
  std::function<void()> on_connected;
  /// New bytes are in `input()`.
  std::function<void()> on_data;
  std::function<void(close_reason)> on_closed;
};

/// One non-blocking TCP connection.
class stream : public io_handler {
 public:
  /// Takes over an accepted socket.
  stream(loop& events, int fd, const stream_options& options);
  /// Starts to connect; the result comes by `on_connected` or `on_closed`.
  stream(loop& events, const endpoint& to, const stream_options& options);
  ~stream() override;

  void handle(stream_events callbacks) { callbacks_ = std::move(callbacks); }

  std::string& input() { return input_; }
  /// Reads on after input was consumed outside `on_data`.
  void resume_reading();
  /// Queues bytes and sends what the socket takes now.
  void send(std::string_view bytes);
  /// @return bytes queued and not yet taken by the socket.
  std::size_t unsent() const { return output_.size() - output_offset_; }
  /// @return bytes that the socket has taken since the start.
  std::uint64_t sent() const { return sent_; }
  bool connected() const { return connected_; }
  bool closed() const { return fd_ < 0; }
  /// The peer has closed its direction. Its last bytes may still be in `input()` or unread.
  bool peer_ended() const { return peer_ended_; }
  /// Closes without a callback. What is queued is lost.
  /// @param abort sends a reset, so that bytes still under way are discarded.
  void close(bool abort = false);
  /// Closes after the queued bytes were sent. Further input is read and dropped until the peer
  /// closes, since closing with unread bytes would reset the connection and lose the answer.
  void close_after_send(duration linger);
  bool closing() const { return closing_; }

  void on_io(std::uint32_t events) override;
  void on_failure() override;

 private:
  void set_options();
  void finish_connect();
  void read_available();
  void write_available();
  /// @return bytes that the peer has acknowledged since the start.
  std::uint64_t acknowledged() const;
  /// @return true after a reset. An orderly end of the peer is none while this direction is open.
  bool hung_up() const;
  /// Reports the end of the stream later, unless the stream is reset before.
  void await_reset();
  void update_interest();
  bool reading_paused() const { return !closing_ && input_.size() >= options_.read_limit; }
  void fail(close_reason reason);

  loop& loop_;
  stream_options options_;
  stream_events callbacks_;
  int fd_ = -1;
  bool connected_ = false;
  bool peer_ended_ = false;
  bool closing_ = false;
  bool write_shut_ = false;
  /// The connection was reset, as a write or its state has shown.
  bool reset_ = false;
  std::uint32_t interest_ = 0;
  std::string input_;
  std::string output_;
  std::size_t output_offset_ = 0;
  std::uint64_t sent_ = 0;
  timer_id linger_timer_ = 0;
  timer_id failure_timer_ = 0;
  /// Runs while the peer has ended its direction and may still reset the stream.
  timer_id end_timer_ = 0;
  time_point end_by_{};
  std::uint64_t acknowledged_at_end_ = 0;
};

/// Accepts connections at one address.
class listener : public io_handler {
 public:
  /// @param accept receives each accepted socket.
  static leaf::result<std::unique_ptr<listener>> open(loop& events, const endpoint& at,
                                                      std::function<void(int)> accept);
  ~listener() override;
  void on_io(std::uint32_t events) override;
  /// @return the bound port.
  std::uint16_t port() const { return port_; }

 private:
  listener(loop& events, int fd, std::uint16_t port, std::function<void(int)> accept);

  loop& loop_;
  timer_group timers_;
  int fd_;
  std::uint16_t port_;
  std::function<void(int)> accept_;
};

/// @return the endpoint of "address:port", or nothing.
std::optional<endpoint> parse_endpoint(std::string_view text);

} // namespace damaskledge::event
