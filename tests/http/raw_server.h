/// @file
/// A server that sends given bytes, for answers that no HTTP library would write.
#pragma once

#include <atomic>
#include <cstdint>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <Poco/Exception.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include "common/common.h"

namespace damaskledge::test {

/// What a `raw_server` does after it has sent its bytes.
enum class then : std::uint8_t { keep_open, end, reset };

/// Answers each request on each connection with the same bytes, one connection at a time.
class raw_server {
 public:
  raw_server(std::string bytes, then after, const endpoint& at = {"127.0.0.1", 0})
      : bytes_(std::move(bytes)), after_(after),
        socket_(Poco::Net::SocketAddress(at.address, at.port)), thread_([this] { run(); }) {}
  ~raw_server() {
    stopping_ = true;
    thread_.join();
  }
  raw_server(const raw_server&) = delete;
  raw_server& operator=(const raw_server&) = delete;

  endpoint address() const { return {"127.0.0.1", socket_.address().port()}; }
  int connections() const { return connections_; }
  /// Sends other bytes from now on.
  void answer_with(const std::string& bytes) {
    const std::lock_guard lock(mutex_);
    bytes_ = bytes;
  }

 private:
  void run() {
    while (!stopping_) {
      if (socket_.poll(Poco::Timespan(0, 10'000), Poco::Net::Socket::SELECT_READ)) {
        Poco::Net::StreamSocket connection = socket_.acceptConnection();
        ++connections_;
        try {
          serve(connection);
        } catch (const Poco::Exception&) { // NOLINT(bugprone-empty-catch)
          // The client has closed the connection.
        }
      }
    }
  }

  void serve(Poco::Net::StreamSocket& connection) {
    std::string input;
    char buf[4'096];
    while (!stopping_) {
      if (!connection.poll(Poco::Timespan(0, 10'000), Poco::Net::Socket::SELECT_READ)) {
        continue;
      }
      const int n = connection.receiveBytes(buf, sizeof(buf));
      if (n <= 0) {
        return;
      }
      input.append(buf, static_cast<std::size_t>(n));
      if (input.find("\r\n\r\n") == std::string::npos) {
        continue;
      }
      input.clear();
      {
        const std::lock_guard lock(mutex_);
        connection.sendBytes(bytes_.data(), static_cast<int>(bytes_.size()));
      }
      if (after_ == then::reset) {
        connection.setLinger(true, 0);
      }
      if (after_ != then::keep_open) {
        return;
      }
    }
  }

  std::mutex mutex_;
  std::string bytes_;
  then after_;
  Poco::Net::ServerSocket socket_;
  std::atomic<bool> stopping_{false};
  std::atomic<int> connections_{0};
  std::thread thread_;
};

/// Answers with a head that must not be taken for one.
inline std::vector<std::string> malformed_answers() {
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  const std::string end = "Content-Length: 4\r\n\r\nseen";
  return {
      "HTTP/1.1 000 Trouble\r\n" + end,
      "HTTP/1.1 000 Trouble\r\nContent-Length: 0\r\n\r\n",
      "HTTP/1.1 099 Trouble\r\n" + end,
      "HTTP/1.1 600 Trouble\r\n" + end,
      "HTTP/1.1 20 OK\r\n" + end,
      "HTTP/1.1 2000 OK\r\n" + end,
      "HTTP/1.1 2x0 OK\r\n" + end,
      "HTTP/1.x 200 OK\r\n" + end,
      "HTTP/1.1  200 OK\r\n" + end,
      " HTTP/1.1 200 OK\r\n" + end,
      "HTTP/2.0 200 OK\r\n" + end,
      ok + "X Other: 1\r\n" + end,
      ok + "X-Other : 1\r\n" + end,
      ok + "X-Other\t: 1\r\n" + end,
      ok + " X-Other: 1\r\n" + end,
      ok + "X\x01Other: 1\r\n" + end,
      ok + "X\x7FOther: 1\r\n" + end,
      ok + std::string("X\0Other: 1\r\n", 12) + end,
      ok + "X\rOther: 1\r\n" + end,
      ok + "X\nOther: 1\r\n" + end,
      ok + "Content-Length: 4\r\n\rX-Other: 1\r\n\r\nseen",
      ok + ": 1\r\n" + end,
      ok + "no colon\r\n" + end,
      ok + "X-Other: a\x01\r\n" + end,
      ok + "Content-Length: 3\r\n" + end,
      ok + "Content-Length: 1,0\r\n\r\nseen",
      ok + "Transfer-Encoding: chunked\r\n" + end,
  };
}

} // namespace damaskledge::test
