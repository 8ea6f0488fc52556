/// @file
/// Server side of HTTP/1.1 connections on the event loop.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include "event/event.h"
#include "http/http.h"

namespace damaskledge::sidecar {

/// Identifies one request that awaits its answer.
using request_handle = std::uint64_t;

struct http_service_options {
  http::message_limits limits;
  /// A request's head must arrive within this time.
  milliseconds header_timeout{3'000};
  /// A connection without a request is closed after this time.
  milliseconds idle_timeout{15'000};
};

/// Accepts connections and hands over their requests. A caller may send further requests before the
/// first is answered (pipelining); answers are sent in the order of the requests.
class http_service {
 public:
  struct events {
    /// A whole request has arrived. Answer it with `respond`.
    std::function<void(request_handle, http::request&)> on_request;
    /// The caller has left before its request was answered.
    std::function<void(request_handle)> on_caller_gone;
    /// @return true if the request may be handed over while earlier ones of its connection are
    /// unanswered. Without this callback, requests are handed over one after the other.
    std::function<bool(const http::request&)> may_overlap = {};
  };

  http_service(event::loop& loop, events callbacks);
  ~http_service();
  http_service(const http_service&) = delete;
  http_service& operator=(const http_service&) = delete;

  leaf::result<void> listen(const endpoint& at);
  /// Options of requests that arrive from now on.
  void set_options(const http_service_options& options) { options_ = options; }
  /// Accepts the connections that wait, and no further ones.
  void stop_listening();
  /// @return true while part of a request has arrived on a connection and the rest has not.
  bool receiving() const;
  /// Ends each connection with the answer to the last request that was handed over.
  void close_after_answers() { closing_ = true; }

  /// Answers a request; ignored when the caller has left.
  /// @param head a whole response head without framing fields.
  void respond(request_handle id, std::string head, std::string_view body);
  /// Ends the connection of a request without an answer.
  void abort(request_handle id);
  std::size_t connections() const { return connections_.size(); }
  std::uint16_t port() const { return listener_ ? listener_->port() : 0; }

 private:
  using connection_id = std::uint64_t;
  struct connection;
  struct exchange;

  void accept(int fd);
  /// Reads requests and hands over those that may be handed over now.
  void read_requests(connection_id id);
  /// @return false if reading must wait until an answer has been sent.
  bool may_read(const connection& it) const;
  void hand_over(connection& it);
  /// Sends the answers whose turn it is.
  void send_answers(connection& it);
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
  /// Connection of each request that awaits its answer.
  std::unordered_map<request_handle, connection_id> awaiting_answer_;
  connection_id next_connection_ = 1;
  request_handle next_request_ = 1;
  bool closing_ = false;
};

} // namespace damaskledge::sidecar
