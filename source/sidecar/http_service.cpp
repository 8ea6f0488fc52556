#include "sidecar/http_service.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace damaskledge::sidecar {

namespace {

/// Unread input kept while earlier requests of the connection are being answered.
constexpr std::size_t max_unread = 64UL * 1024UL;
/// Requests of one connection that are handed over and unanswered.
constexpr std::size_t max_overlapping = 8;
/// Bytes of answers that wait for the answer to an earlier request of their connection. Beyond
/// this, no further request of the connection is read.
constexpr std::size_t max_held_answers = 1024UL * 1024UL;
/// How long a closed connection is drained, so that its last answer is not lost to a reset.
constexpr milliseconds linger{1'000};
/// A body must make progress within this time; its request's deadline is shorter as a rule.
constexpr milliseconds body_timeout{10'000};

} // namespace

/// A request that was handed over, and its answer.
struct http_service::exchange {
  request_handle id = 0;
  bool head_request = false;
  bool may_overlap = false;
  /// The connection stays open after the answer.
  bool keep_alive = true;
  bool answered = false;
  std::string head;
  std::string body;
};

struct http_service::connection {
  connection_id id = 0;
  std::unique_ptr<event::stream> stream;
  http::request_reader reader{http::message_limits{}};
  /// Requests in the order of their arrival, the first one being the next to be answered.
  std::deque<exchange> exchanges;
  std::size_t held_answer_bytes = 0;
  /// No request is read after the last one handed over, since its answer ends the connection.
  bool last_read = false;
  event::timer_id timer = 0;
  bool timer_for_head = false;
  bool timer_for_body = false;
};

http_service::http_service(event::loop& loop, events callbacks)
    : loop_(loop), callbacks_(std::move(callbacks)) {}

http_service::~http_service() {
  for (const auto& [id, it] : connections_) {
    loop_.cancel(it->timer);
  }
}

leaf::result<void> http_service::listen(const endpoint& at) {
  BOOST_LEAF_ASSIGN(listener_, event::listener::open(loop_, at, [this](int fd) { accept(fd); }));
  return {};
}

void http_service::stop_listening() {
  if (listener_) {
    listener_->on_io(0);
    loop_.defer([old = std::shared_ptr<event::listener>(std::move(listener_))] {});
  }
}

bool http_service::receiving() const {
  return std::any_of(connections_.begin(), connections_.end(), [](const auto& it) {
    const connection& value = *it.second;
    return !value.stream->closing() &&
           (value.reader.state() != http::read_state::idle || !value.stream->input().empty());
  });
}

void http_service::accept(int fd) {
  const connection_id id = next_connection_++;
  auto it = std::make_unique<connection>();
  it->id = id;
  event::stream_options options;
  options.silence_timeout = std::max<milliseconds>(options_.idle_timeout, milliseconds(5'000));
  options.read_limit = max_unread + options_.limits.head_bytes;
  it->stream = std::make_unique<event::stream>(loop_, fd, options);
  it->stream->handle({
      .on_connected = {},
      .on_data = [this, id] { read_requests(id); },
      .on_closed = [this, id](event::close_reason) { on_closed(id); },
  });
  auto& stored = *it;
  connections_.emplace(id, std::move(it));
  await_request(stored);
}

void http_service::arm_timer(connection& it, milliseconds limit, int status) {
  loop_.cancel(it.timer);
  it.timer = loop_.after(limit, [this, id = it.id, status] {
    const auto found = connections_.find(id);
    if (found == connections_.end()) {
      return;
    }
    if (status != 0) {
      reject(*found->second, status);
    } else {
      drop(id);
    }
  });
}

void http_service::await_request(connection& it) {
  loop_.cancel(it.timer);
  it.reader.reset();
  it.reader.set_limits(options_.limits);
  it.timer_for_head = false;
  it.timer_for_body = false;
  if (it.exchanges.empty()) {
    arm_timer(it, options_.idle_timeout, 0);
  }
}

bool http_service::may_read(const connection& it) const {
  if (it.last_read || it.stream->closing()) {
    return false;
  }
  if (it.exchanges.empty()) {
    return true;
  }
  return !closing_ && callbacks_.may_overlap && it.exchanges.back().may_overlap &&
         it.exchanges.size() < max_overlapping && it.held_answer_bytes < max_held_answers;
}

void http_service::read_requests(connection_id id) {
  while (true) {
    const auto found = connections_.find(id);
    if (found == connections_.end()) {
      return;
    }
    connection& it = *found->second;
    if (!may_read(it)) {
      return;
    }
    if (it.stream->peer_ended()) {
      // Nobody waits for the answers to the requests that are left.
      return;
    }
    const auto state = it.reader.feed(it.stream->input());
    if (state == http::read_state::failed) {
      const auto error = it.reader.error();
      reject(it, error == http::read_error::head_too_large   ? 431
                 : error == http::read_error::body_too_large ? 413
                                                             : 400);
      return;
    }
    if (state == http::read_state::head && !it.timer_for_head) {
      it.timer_for_head = true;
      arm_timer(it, options_.header_timeout, 408);
    }
    if (state == http::read_state::body && !it.timer_for_body) {
      it.timer_for_body = true;
      arm_timer(it, body_timeout, 408);
      if (it.reader.message().expects_continue && it.exchanges.empty()) {
        it.stream->send("HTTP/1.1 100 Continue\r\n\r\n");
      }
    }
    it.stream->resume_reading();
    if (state != http::read_state::complete) {
      return;
    }
    loop_.cancel(it.timer);
    if (!it.exchanges.empty() && !callbacks_.may_overlap(it.reader.message())) {
      // Handed over once all earlier requests are answered.
      return;
    }
    hand_over(it);
  }
}

void http_service::hand_over(connection& it) {
  http::request message = std::move(it.reader.message());
  exchange& added = it.exchanges.emplace_back();
  added.id = next_request_++;
  added.head_request = message.method == "HEAD";
  added.keep_alive = message.keep_alive;
  added.may_overlap = callbacks_.may_overlap && callbacks_.may_overlap(message);
  it.last_read = !message.keep_alive;
  awaiting_answer_.emplace(added.id, it.id);
  await_request(it);
  callbacks_.on_request(added.id, message);
}

void http_service::respond(request_handle id, std::string head, std::string_view body) {
  const auto owner = awaiting_answer_.find(id);
  if (owner == awaiting_answer_.end()) {
    return;
  }
  connection& it = *connections_.at(owner->second);
  awaiting_answer_.erase(owner);
  const auto found = std::find_if(it.exchanges.begin(), it.exchanges.end(),
                                  [id](const exchange& other) { return other.id == id; });
  found->answered = true;
  found->head = std::move(head);
  found->body = body;
  it.held_answer_bytes += found->head.size() + found->body.size();
  send_answers(it);
}

void http_service::send_answers(connection& it) {
  while (!it.exchanges.empty() && it.exchanges.front().answered) {
    exchange answer = std::move(it.exchanges.front());
    it.exchanges.pop_front();
    it.held_answer_bytes -= answer.head.size() + answer.body.size();
    // Requests that were handed over are answered before the connection ends.
    const bool last = it.exchanges.empty();
    const bool keep = !last || (answer.keep_alive && !closing_ && !it.stream->peer_ended());
    answer.head += "Content-Length: " + std::to_string(answer.body.size()) + "\r\n";
    if (!keep) {
      answer.head += "Connection: close\r\n";
    }
    answer.head += "\r\n";
    if (!answer.head_request) {
      answer.head += answer.body;
    }
    it.stream->send(answer.head);
    if (!keep) {
      it.last_read = true;
      it.stream->close_after_send(linger);
      return;
    }
  }
  if (it.last_read) {
    return;
  }
  if (it.exchanges.empty() && it.reader.state() == http::read_state::idle) {
    await_request(it);
  }
  if (it.reader.state() != http::read_state::idle || !it.stream->input().empty()) {
    // Handled in a round of its own, since the caller may be inside read_requests.
    loop_.defer([this, id = it.id] { read_requests(id); });
  }
}

void http_service::reject(connection& it, int status) {
  http::response refused;
  refused.status = status;
  refused.reason = http::reason_phrase(status);
  loop_.cancel(it.timer);
  exchange& added = it.exchanges.emplace_back();
  added.answered = true;
  added.keep_alive = false;
  added.head = http::serialize_head(refused);
  it.held_answer_bytes += added.head.size();
  it.last_read = true;
  send_answers(it);
}

void http_service::abort(request_handle id) {
  if (const auto owner = awaiting_answer_.find(id); owner != awaiting_answer_.end()) {
    drop(owner->second);
  }
}

void http_service::on_closed(connection_id id) {
  const auto found = connections_.find(id);
  if (found == connections_.end()) {
    return;
  }
  std::vector<request_handle> unanswered;
  for (const auto& it : found->second->exchanges) {
    if (!it.answered) {
      unanswered.push_back(it.id);
    }
  }
  drop(id);
  for (const request_handle it : unanswered) {
    callbacks_.on_caller_gone(it);
  }
}

void http_service::drop(connection_id id) {
  const auto found = connections_.find(id);
  if (found == connections_.end()) {
    return;
  }
  loop_.cancel(found->second->timer);
  for (const auto& it : found->second->exchanges) {
    awaiting_answer_.erase(it.id);
  }
  found->second->stream->close();
  loop_.defer([old = std::shared_ptr<connection>(std::move(found->second))] {});
  connections_.erase(found);
}

} // namespace damaskledge::sidecar
