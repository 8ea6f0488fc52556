#include "sidecar/leave_records.h"

#include <utility>

namespace damaskledge::sidecar {

namespace {

/// The store answers within 1 s when it is slow.
constexpr milliseconds call_timeout{1'500};
/// Other nodes are asked to write the record after this time, which is enough for the store's usual
/// answer, and further ones at this interval.
constexpr milliseconds peer_interval{120};

} // namespace

leave_records::leave_records(event::loop& loop, const endpoint& store, std::string node,
                             peer_request ask_peers, event_log& log, instruments& counters)
    : timers_(loop), channel_(loop, store), node_(std::move(node)),
      ask_peers_(std::move(ask_peers)), log_(log), counters_(counters) {}

void leave_records::load(loaded_callback done) {
  on_loaded_ = std::move(done);
  read_needed_ = true;
  proceed();
}

void leave_records::store(const adapter::leave_record& record) {
  if (record_ != record) {
    record_ = record;
    proceed();
  }
}

void leave_records::restored() {
  if (record_) {
    recorded_by_peer_.reset();
    read_needed_ = true;
    proceed();
  }
}

void leave_records::recorded_by_peer(const adapter::leave_record& record) {
  if (record_ == record && !stored()) {
    log_.state(log_line("leave_recorded_by_peer").field("name", node_));
    recorded_by_peer_ = record;
    run_waiting();
  }
}

void leave_records::when_stored(milliseconds limit, std::function<void(bool)> done) {
  if (stored()) {
    done(true);
    return;
  }
  const std::uint64_t id = next_waiting_++;
  waiting_.emplace(id, std::move(done));
  timers_.after(limit, [this, id] {
    if (auto late = waiting_.extract(id)) {
      log_.state(log_line("leave_not_recorded_in_time").field("instance", record_->instance));
      late.mapped()(false);
    }
  });
  if (!std::exchange(asking_, true)) {
    timers_.after(peer_interval, [this] { ask_peers_while_waiting(); });
  }
}

void leave_records::ask_peers_while_waiting() {
  asking_ = !waiting_.empty();
  if (asking_) {
    ask_peers_(*record_);
    timers_.after(peer_interval, [this] { ask_peers_while_waiting(); });
  }
}

bool leave_records::stored() const {
  return !record_ || recorded_by_peer_ == record_ ||
         (object_ && adapter::parse_leave_record(object_->content) == record_);
}

void leave_records::proceed() {
  if (channel_.busy() || retry_pending_) {
    return;
  }
  if (read_needed_) {
    read();
  } else if (stored()) {
    run_waiting();
  } else {
    write();
  }
}

void leave_records::read() {
  channel_.call(adapter::read_object(adapter::leave_kind, node_), call_timeout,
                [this](const store_answer& answer) { on_read(answer); });
}

void leave_records::on_read(const store_answer& answer) {
  auto object = answer.status == 200 ? adapter::parse_object(answer.body) : std::nullopt;
  if (!object && answer.status != 404) {
    retry_later("read", answer.status);
    return;
  }
  counters_.store_call("leave_read");
  const bool delayed = failing_;
  call_succeeded();
  read_needed_ = false;
  object_ = std::move(object);
  if (!std::exchange(loaded_, true)) {
    const auto found = object_ ? adapter::parse_leave_record(object_->content) : std::nullopt;
    if (object_ && !found) {
      log_.state(log_line("leave_record_malformed").field("name", node_));
    }
    if (!record_) {
      record_ = found;
    }
    on_loaded_(found, delayed);
  }
  proceed();
}

void leave_records::write() {
  const std::string content = adapter::to_json(*record_);
  channel_.call(
      object_ ? adapter::replace_object(adapter::leave_kind, node_, content, object_->revision)
              : adapter::create_object(adapter::leave_kind, node_, content),
      call_timeout, [this](const store_answer& answer) { on_written(answer); });
}

void leave_records::on_written(const store_answer& answer) {
  const bool written = answer.status == 200 || answer.status == 201;
  auto object = written ? adapter::parse_object(answer.body) : std::nullopt;
  if (!object) {
    // The write may have taken effect, or the object has changed or is gone.
    read_needed_ = true;
    retry_later("write", answer.status);
    return;
  }
  counters_.store_call("leave_written");
  call_succeeded();
  object_ = std::move(object);
  log_.state(log_line("leave_recorded").field("name", node_));
  proceed();
}

void leave_records::call_succeeded() {
  backoff_.reset();
  failing_ = false;
}

void leave_records::retry_later(std::string_view call, int status) {
  counters_.store_call("failed");
  if (!std::exchange(failing_, true)) {
    log_.state(log_line("leave_record_delayed").field("call", call).field("status", status));
  }
  retry_pending_ = true;
  timers_.after(backoff_.next(), [this] {
    retry_pending_ = false;
    proceed();
  });
}

void leave_records::run_waiting() {
  for (auto& [id, done] : std::exchange(waiting_, {})) {
    done(true);
  }
}

} // namespace damaskledge::sidecar
