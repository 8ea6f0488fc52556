#include "sidecar/http_service.h"

#include <algorithm>

namespace damaskledge::sidecar {

namespace {

/// Input kept beyond the request that is being answered.
constexpr std::size_t max_pipelined = 64UL * 1024UL;
/// How long a closed connection is drained, so that its last answer is not lost to a reset.
constexpr milliseconds linger{1'000};
/// A body must make progress within this time; its request's deadline is shorter as a rule.
constexpr milliseconds body_timeout{10'000};

} // namespace

struct http_service::connection {
  connection_id id = 0;
  std::unique_ptr<event::stream> stream;
  http::request_reader reader{http::message_limits{}};
  /// A request was handed over and is not answered.
  bool answering = false;
  bool head_request = false;
  bool keep_alive = true;
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

void http_service::accept(int fd) {
  const connection_id id = next_id_++;
  auto it = std::make_unique<connection>();
  it->id = id;
  event::stream_options options;
  options.silence_timeout = std::max<milliseconds>(options_.idle_timeout, milliseconds(5'000));
  options.read_limit = max_pipelined + options_.limits.head_bytes;
  it->stream = std::make_unique<event::stream>(loop_, fd, options);
  it->stream->handle({
      .on_connected = {},
      .on_data = [this, id] { on_data(id); },
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
  it.reader.reset();
  it.reader.set_limits(options_.limits);
  it.timer_for_head = false;
  it.timer_for_body = false;
  arm_timer(it, options_.idle_timeout, 0);
}

void http_service::on_data(connection_id id) {
  while (true) {
    const auto found = connections_.find(id);
    if (found == connections_.end()) {
      return;
    }
    connection& it = *found->second;
    if (it.answering || it.stream->closing()) {
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
      if (it.reader.message().expects_continue) {
        it.stream->send("HTTP/1.1 100 Continue\r\n\r\n");
      }
    }
    it.stream->resume_reading();
    if (state != http::read_state::complete) {
      return;
    }
    loop_.cancel(it.timer);
    it.answering = true;
    it.keep_alive = it.reader.message().keep_alive;
    it.head_request = it.reader.message().method == "HEAD";
    callbacks_.on_request(id, it.reader.message());
  }
}

void http_service::respond(connection_id id, std::string head, std::string_view body) {
  const auto found = connections_.find(id);
  if (found == connections_.end()) {
    return;
  }
  connection& it = *found->second;
  if (!it.answering) {
    return;
  }
  it.answering = false;
  const bool keep = it.keep_alive && !closing_ && !it.stream->peer_ended();
  head += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  if (!keep) {
    head += "Connection: close\r\n";
  }
  head += "\r\n";
  if (!it.head_request) {
    head += body;
  }
  it.stream->send(head);
  if (!keep) {
    it.stream->close_after_send(linger);
    return;
  }
  await_request(it);
  if (!it.stream->input().empty()) {
    // The next request is handled in a round of its own, since the caller may be inside on_data.
    loop_.defer([this, id] { on_data(id); });
  }
}

void http_service::reject(connection& it, int status) {
  http::response refused;
  refused.status = status;
  refused.reason = http::reason_phrase(status);
  it.answering = true;
  it.keep_alive = false;
  respond(it.id, http::serialize_head(refused), "");
}

void http_service::abort(connection_id id) {
  drop(id);
}

void http_service::on_closed(connection_id id) {
  const auto found = connections_.find(id);
  if (found == connections_.end()) {
    return;
  }
  const bool gone_early = found->second->answering;
  drop(id);
  if (gone_early) {
    callbacks_.on_caller_gone(id);
  }
}

void http_service::drop(connection_id id) {
  const auto found = connections_.find(id);
  if (found == connections_.end()) {
    return;
  }
  loop_.cancel(found->second->timer);
  found->second->stream->close();
  loop_.defer([old = std::shared_ptr<connection>(std::move(found->second))] {});
  connections_.erase(found);
}

} // namespace damaskledge::sidecar
