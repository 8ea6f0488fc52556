#include <new>
#include <stdexcept>
#include <thread>
#include <vector>

#include <doctest/doctest.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include "event/event.h"
#include "event/run_until.h"

using namespace damaskledge;
using test::run_until;

TEST_CASE("Timers fire in the order of their times and not after they were cancelled") {
  event::loop loop;
  std::string order;
  loop.after(milliseconds(20), [&] { order += 'b'; });
  loop.after(milliseconds(5), [&] { order += 'a'; });
  const auto cancelled = loop.after(milliseconds(10), [&] { order += 'x'; });
  loop.cancel(cancelled);
  REQUIRE(run_until(loop, [&] { return order.size() == 2; }));
  CHECK(order == "ab");
}

TEST_CASE("A large message arrives whole when the reader is slow") {
  event::loop loop;
  std::unique_ptr<event::stream> accepted;
  auto listening = event::listener::open(loop, {"127.0.0.1", 17'421}, [&](int fd) {
    accepted = std::make_unique<event::stream>(loop, fd, event::stream_options{});
  });
  // The reader consumes outside the stream's callbacks, after reading has paused.
  REQUIRE(listening);
  event::stream sender(loop, {"127.0.0.1", 17'421}, event::stream_options{});
  const std::string message(3'000'000, 'm');
  sender.send(message);
  std::size_t received = 0;
  REQUIRE(run_until(loop, [&] {
    if (accepted) {
      received += accepted->input().size();
      accepted->input().clear();
      accepted->resume_reading();
    }
    return received == message.size();
  }));
}

TEST_CASE("A refused connection is told, and an address that is none as well") {
  event::loop loop;
  for (const endpoint& to : {endpoint{"127.0.0.1", 17'422}, endpoint{"nowhere", 1}}) {
    event::stream stream(loop, to, event::stream_options{});
    std::optional<event::close_reason> reason;
    stream.handle({{}, {}, [&](event::close_reason it) { reason = it; }});
    REQUIRE(run_until(loop, [&] { return reason.has_value(); }));
    CHECK(*reason == event::close_reason::connect_failed);
  }
}

TEST_CASE("Bytes that arrive with the end of a stream are handled before it") {
  event::loop loop;
  std::unique_ptr<event::stream> accepted;
  std::string order;
  auto listening = event::listener::open(loop, {"127.0.0.1", 17'423}, [&](int fd) {
    accepted = std::make_unique<event::stream>(loop, fd, event::stream_options{});
    accepted->handle({{},
                      [&] { order += "data:" + accepted->input() + ' '; },
                      [&](event::close_reason) { order += "end"; }});
  });
  REQUIRE(listening);
  auto sender =
      std::make_unique<event::stream>(loop, endpoint{"127.0.0.1", 17'423}, event::stream_options{});
  sender->send("abc");
  REQUIRE(run_until(loop, [&] { return sender->sent() == 3; }));
  sender->close();
  REQUIRE(run_until(loop, [&] { return order.find("end") != std::string::npos; }));
  CHECK(order == "data:abc end");
}

namespace {

/// A stream with an upload that the sockets do not take whole, and how it ended.
struct uploading_stream {
  /// @param accepted serves the peer's socket.
  uploading_stream(std::uint16_t port, std::function<void(int fd)> accepted) {
    listening = event::listener::open(loop, {"127.0.0.1", port}, std::move(accepted)).value();
    event::stream_options options;
    options.reset_wait = milliseconds(500);
    sender = std::make_unique<event::stream>(loop, endpoint{"127.0.0.1", port}, options);
    sender->handle({{}, {}, [this](event::close_reason it) { reason = it; }});
    sender->send(std::string(12UL * 1024UL * 1024UL, 'u'));
  }
  event::close_reason end() {
    REQUIRE(run_until(loop, [&] { return reason.has_value(); }));
    CHECK(sender->input() == "abc");
    return *reason;
  }

  event::loop loop;
  std::unique_ptr<event::listener> listening;
  std::unique_ptr<event::stream> sender;
  /// For cases whose peer goes on reading.
  std::unique_ptr<event::stream> peer;
  std::optional<event::close_reason> reason;
};

/// Sends "abc" and ends this direction, without reading.
void answer_and_end(int fd) {
  ::send(fd, "abc", 3, MSG_NOSIGNAL);
  ::shutdown(fd, SHUT_WR);
}

} // namespace

TEST_CASE("A stream that is reset while bytes are unsent does not report an orderly end") {
  uploading_stream it(17'426, [&](int fd) {
    ::send(fd, "abc", 3, MSG_NOSIGNAL);
    it.loop.after(milliseconds(20), [fd] { ::close(fd); });
  });
  CHECK(it.end() == event::close_reason::reset);
}

// Guards against a closed socket that ends the stream in order before unread bytes reach it.
TEST_CASE("A stream that ends and is then reset by unread bytes does not report an orderly end") {
  uploading_stream it(17'427, [&](int fd) {
    answer_and_end(fd);
    it.loop.after(milliseconds(20), [fd] { ::close(fd); });
  });
  CHECK(it.end() == event::close_reason::reset);
}

TEST_CASE("A peer that ends its direction and reads on has ended in order") {
  uploading_stream it(17'428, [&](int fd) {
    it.peer = std::make_unique<event::stream>(it.loop, fd, event::stream_options{});
    it.peer->send("abc");
    it.peer->close_after_send(seconds(5));
  });
  CHECK(it.end() == event::close_reason::end_of_stream);
}

TEST_CASE("The end of a peer that does not read on is not held back for long") {
  int peer = -1;
  uploading_stream it(17'429, [&](int fd) {
    peer = fd;
    answer_and_end(fd);
  });
  const auto began = it.loop.refresh_now();
  CHECK(it.end() == event::close_reason::end_of_stream);
  CHECK(it.loop.now() - began < milliseconds(1'500));
  ::close(peer);
}

TEST_CASE("Addresses are parsed strictly") {
  CHECK(event::parse_endpoint("10.0.0.1:80") == endpoint{"10.0.0.1", 80});
  for (const char* it :
       {"10.0.0.1", "10.0.0.1:0", "10.0.0.1:65536", "host:80", "10.0.0.1:8x", ":1"}) {
    CAPTURE(it);
    CHECK_FALSE(event::parse_endpoint(it));
  }
}

TEST_CASE("An exception ends the event that it interrupts and nothing else") {
  // One unexpected error in a handler, timer or deferred task ended the whole process.
  event::loop loop;
  std::vector<std::string> reported;
  loop.report_failures([&](std::string_view where, std::string_view what) {
    reported.push_back(std::string(where) + ": " + std::string(what));
  });
  std::vector<std::unique_ptr<event::stream>> accepted;
  int closed = 0;
  std::string good;
  auto listening = event::listener::open(loop, {"127.0.0.1", 17'424}, [&](int fd) {
    accepted.push_back(std::make_unique<event::stream>(loop, fd, event::stream_options{}));
    auto* it = accepted.back().get();
    it->handle({{},
                [&, it] {
                  if (it->input() == "bad") {
                    throw std::bad_alloc();
                  }
                  good += it->input();
                },
                [&](event::close_reason) { ++closed; }});
  });
  REQUIRE(listening);
  event::stream bad(loop, {"127.0.0.1", 17'424}, event::stream_options{});
  bool reset = false;
  bad.handle({{}, {}, [&](event::close_reason) { reset = true; }});
  bad.send("bad");
  REQUIRE(run_until(loop, [&] { return reset; }));
  CHECK(closed == 1);
  loop.after(milliseconds(1), [] { throw std::out_of_range("timer"); });
  loop.defer([] { throw 7; });
  event::stream sender(loop, {"127.0.0.1", 17'424}, event::stream_options{});
  sender.send("good");
  REQUIRE(run_until(loop, [&] { return good == "good" && reported.size() == 3; }));
  CHECK(reported[0].starts_with("io: "));
}

TEST_CASE("A process without descriptors pauses accepting instead of spinning, and goes on later") {
  event::loop loop;
  int reports = 0;
  loop.report_failures([&](std::string_view where, std::string_view) {
    CHECK(where == "accept");
    ++reports;
  });
  int accepted = 0;
  auto listening = event::listener::open(loop, {"127.0.0.1", 17'425}, [&](int fd) {
    ++accepted;
    ::close(fd);
  });
  REQUIRE(listening);
  event::stream caller(loop, {"127.0.0.1", 17'425}, event::stream_options{});
  rlimit limit{};
  ::getrlimit(RLIMIT_NOFILE, &limit);
  const rlimit before = limit;
  limit.rlim_cur = 3;
  ::setrlimit(RLIMIT_NOFILE, &limit);
  const auto end = loop.refresh_now() + milliseconds(350);
  int rounds = 0;
  while (loop.now() < end) {
    loop.run_once(milliseconds(20));
    ++rounds;
  }
  ::setrlimit(RLIMIT_NOFILE, &before);
  CHECK(reports >= 1);
  CHECK(reports <= 4);
  CHECK(rounds < 100);
  CHECK(accepted == 0);
  CHECK(run_until(loop, [&] { return accepted == 1; }));
}

TEST_CASE("Timers of a destroyed object do not run") {
  event::loop loop;
  bool fired = false;
  auto timers = std::make_unique<event::timer_group>(loop);
  timers->after(milliseconds(1), [&] { fired = true; });
  timers.reset();
  bool later = false;
  loop.after(milliseconds(5), [&] { later = true; });
  REQUIRE(run_until(loop, [&] { return later; }));
  CHECK_FALSE(fired);
}

TEST_CASE("A round of events that occupies the loop is reported, a wait for events is not") {
  event::loop loop;
  std::vector<duration> stalls;
  loop.report_slow_rounds(milliseconds(30), [&](duration taken) { stalls.push_back(taken); });
  bool waited = false;
  loop.after(milliseconds(50), [&] { waited = true; });
  REQUIRE(run_until(loop, [&] { return waited; }));
  CHECK(stalls.empty());
  loop.after(milliseconds(0), [] { std::this_thread::sleep_for(milliseconds(60)); });
  loop.run_once(milliseconds(20));
  loop.run_once(milliseconds(0));
  REQUIRE(stalls.size() == 1);
  CHECK(stalls[0] >= milliseconds(60));
}
