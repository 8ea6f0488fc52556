/// @file
/// HTTP server and helpers shared by the stand-ins.
#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/ThreadPool.h>
#include <nlohmann/json.hpp>

#include "common/common.h"

namespace damaskledge::stand_ins {

/// One request and the means to answer it.
class http_exchange {
 public:
  http_exchange(Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response,
                bool first_on_connection);

  [[nodiscard]] const std::string& method() const { return request_.getMethod(); }
  /// @return the path without the query, not decoded.
  [[nodiscard]] std::string path() const;
  /// @return the decoded value of a query parameter; empty when it is missing.
  [[nodiscard]] std::string parameter(const std::string& name) const;
  /// @return a header's value; empty when it is missing.
  [[nodiscard]] std::string header(const std::string& name) const;
  [[nodiscard]] const Poco::Net::HTTPServerRequest& request() const { return request_; }
  /// @return the body, read when first asked for; nothing when it is larger than `limit`,
  /// and then the connection ends with this answer.
  std::optional<std::string> body(std::size_t limit);

  /// Adds a header to the answer.
  void set(const std::string& name, const std::string& value) { response_.set(name, value); }
  void answer(int status, std::string_view content, const std::string& type = "application/json");
  void answer(int status, const std::string& content) { answer(status, std::string_view(content)); }
  void answer(int status, const nlohmann::json& content) {
    answer(status, content.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
  }
  void answer(int status, const char* content) { answer(status, std::string_view(content)); }
  /// Answers with a status and no body.
  void answer(int status);
  /// Sends a header that promises `content.size()` bytes, half of them, and ends the connection.
  void answer_truncated(std::string_view content);
  /// Sends the header at once and then one byte after each interval.
  void answer_slowly(std::string_view content, milliseconds interval);
  /// Ends the connection with a reset and without an answer.
  void abort();

  /// @return true when the caller has closed the connection.
  bool closed_by_caller();
  /// Waits until the time has passed or the caller has closed the connection.
  /// @return false when the caller has closed the connection.
  bool wait_while_connected(duration time);
  [[nodiscard]] int descriptor();
  /// @return true for the first request of a connection.
  [[nodiscard]] bool first_on_connection() const { return first_on_connection_; }

 private:
  Poco::Net::StreamSocket& socket();

  Poco::Net::HTTPServerRequest& request_;
  Poco::Net::HTTPServerResponse& response_;
  bool first_on_connection_;
};

using http_handler = std::function<void(http_exchange&)>;

/// POCO HTTP server with a thread per connection, kept-alive connections and small stacks.
class http_server {
 public:
  /// Connections above the limit that are still accepted, for control requests.
  static constexpr std::uint32_t control_reserve = 8;

  /// Starts to serve.
  /// @param address port 0 takes a free port.
  /// @param connections connections served at once; more are closed when accepted.
  /// @throws Poco::Exception when the address cannot be bound.
  http_server(const endpoint& address, std::uint32_t connections, http_handler handler);
  http_server(const http_server&) = delete;
  http_server& operator=(const http_server&) = delete;
  ~http_server();

  [[nodiscard]] std::uint16_t port() const;
  [[nodiscard]] std::uint32_t connections() const;
  /// @return connections accepted since the start.
  [[nodiscard]] std::uint64_t accepted_connections() const { return accepted_connections_.load(); }
  [[nodiscard]] std::uint32_t highest_connections() const { return highest_connections_.load(); }
  [[nodiscard]] std::uint64_t refused_connections() const { return refused_connections_.load(); }
  /// Stops accepting; connections that are open go on.
  void stop_accepting();
  /// Closes all connections and waits for their threads.
  void stop();

 private:
  Poco::ThreadPool threads_;
  std::atomic<std::uint32_t> highest_connections_{0};
  std::atomic<std::uint64_t> refused_connections_{0};
  std::atomic<std::uint64_t> accepted_connections_{0};
  std::unique_ptr<Poco::Net::HTTPServer> server_;
  std::atomic<bool> stopped_{false};
};

/// Parses "address:port".
/// @return the endpoint, or nothing.
std::optional<endpoint> parse_endpoint(std::string_view text);

/// Blocks until SIGTERM or SIGINT arrives. `block_termination_signals` must have been
/// called before the first thread started.
void block_termination_signals();
void wait_for_termination_signal();

} // namespace damaskledge::stand_ins
