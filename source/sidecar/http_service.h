/// @file
/// Server side of HTTP/1.1 connections on the event loop.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include "event/event.h"
#include "http/http.h"

namespace damaskledge::sidecar {

using connection_id = std::uint64_t;

struct http_service_options {
  http::message_limits limits;
  /// A request's head must arrive within this time.
  milliseconds header_timeout{3'000};
  /// A connection without a request is closed after this time.
  milliseconds idle_timeout{15'000};
};

/// Accepts connections and hands over one request at a time of each.
class http_service {
 public:
  struct events {
    /// A whole request has arrived. Answer it with `respond`.
    std::function<void(connection_id, http::request&)> on_request;
    /// The caller has left before its request was answered.
    std::function<void(connection_id)> on_caller_gone;
  };

  http_service(event::loop& loop, events callbacks);
  ~http_service();
  http_service(const http_service&) = delete;
  http_service& operator=(const http_service&) = delete;

  leaf::result<void> listen(const endpoint& at);
  /// Options of requests that arrive from now on.
  void set_options(const http_service_options& options) { options_ = options; }
  /// Every answer from now on ends its connection.
  void close_after_answers() { closing_ = true; }

  /// Answers the request of the connection; ignored when the caller has left.
  /// @param wire a whole response head without framing fields, and its body.
  void respond(connection_id id, std::string head, std::string_view body);
  /// Ends the connection without an answer.
  void abort(connection_id id);
  std::size_t connections() const { return connections_.size(); }
  std::uint16_t port() const { return listener_ ? listener_->port() : 0; }

 private:
  struct connection;

  void accept(int fd);
  void on_data(connection_id id);
  void on_closed(connection_id id);
  void drop(connection_id id);
  void await_request(connection& it);
  void reject(connection& it, int status);
  void arm_timer(connection& it, milliseconds limit, int status);

  event::loop& loop_;
  events callbacks_;
  http_service_options options_;
  std::unique_ptr<event::listener> listener_;
  std::unordered_map<connection_id, std::unique_ptr<connection>> connections_;
  connection_id next_id_ = 1;
  bool closing_ = false;
};

} // namespace damaskledge::sidecar
