/// @file
/// Child processes of failure tests, and small HTTP exchanges with them.
#pragma once

#include <csignal>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <Poco/Net/HTTPClientSession.h>
#include <nlohmann/json.hpp>
#include <sys/types.h>

#include "common/common.h"

namespace damaskledge::failure {

/// A program started by a test. Its destructor ends it.
class child_process {
 public:
  /// @param log file that receives standard output.
  /// @param errors file that receives standard error; empty for `log`.
  child_process(const std::string& program, const std::vector<std::string>& arguments,
                const std::string& log, const std::string& errors = "");
  ~child_process();
  child_process(child_process&& other) noexcept;
  child_process& operator=(child_process&& other) noexcept;
  child_process(const child_process&) = delete;
  child_process& operator=(const child_process&) = delete;

  void signal(int number) const;
  /// Waits for the process to end.
  /// @return its exit code, 128 plus the number of the signal that ended it, or nothing when it
  /// still runs after `limit`.
  std::optional<int> wait(milliseconds limit);
  bool running();
  pid_t id() const { return id_; }

 private:
  pid_t id_ = -1;
  std::optional<int> status_;
};

/// @return folder with the built programs.
std::string program_folder();
/// @return a new folder for the files of one test.
std::string make_test_folder(const std::string& name);

struct http_answer {
  /// 0 when there was no whole answer.
  int status = 0;
  /// No connection was opened, so nothing was sent.
  bool connect_failed = false;
  std::map<std::string, std::string> headers;
  std::string body;

  std::string header(const std::string& name) const;
  nlohmann::json json() const { return nlohmann::json::parse(body, nullptr, false); }
};

struct http_request {
  std::string method = "GET";
  std::string target = {};
  std::map<std::string, std::string> headers = {};
  std::string body = {};
  milliseconds timeout{5'000};
};

/// Makes one request on a new connection.
http_answer exchange(const endpoint& to, const http_request& request);

/// A connection that is kept open between requests.
class kept_connection {
 public:
  explicit kept_connection(endpoint to);
  ~kept_connection();
  kept_connection(kept_connection&&) noexcept;
  kept_connection& operator=(kept_connection&&) = delete;
  kept_connection(const kept_connection&) = delete;
  kept_connection& operator=(const kept_connection&) = delete;

  http_answer exchange(const http_request& request);
  /// @return connections opened so far; 1 while the first one is still in use.
  std::uint32_t opened() const { return opened_; }

 private:
  endpoint to_;
  std::unique_ptr<Poco::Net::HTTPClientSession> session_;
  std::uint32_t opened_ = 0;
};

enum class after_sending : std::uint8_t { keep_open, close_output };

/// Sends bytes on a new TCP connection.
/// @return what comes back until the other side closes or `limit` has passed.
std::string send_raw(const endpoint& to, const std::string& bytes, milliseconds limit,
                     after_sending then = after_sending::keep_open);

/// Polls until `condition` holds.
/// @return false when it did not hold within `limit`.
bool wait_until(const std::function<bool()>& condition, milliseconds limit);

void write_file(const std::string& path, const std::string& content);
std::string read_text(const std::string& path);

} // namespace damaskledge::failure
