#include "sidecar/peer_leave_writer.h"

#include <utility>

namespace damaskledge::sidecar {

namespace {

/// The other node waits for no longer.
constexpr milliseconds call_timeout{600};
/// Entries beyond this are left to other nodes.
constexpr std::size_t max_entries = 64;

} // namespace

peer_leave_writer::peer_leave_writer(event::loop& loop, const endpoint& store, event_log& log,
                                     instruments& counters)
    : channel_(loop, store), log_(log), counters_(counters) {}

void peer_leave_writer::write(const std::string& node, const adapter::leave_record& record,
                              std::function<void()> done) {
  if (entries_.size() >= max_entries) {
    log_.state(log_line("peer_leave_ignored").field("name", node).field("why", "too many"));
    return;
  }
  entries_.push_back({node, record, std::move(done)});
  if (entries_.size() == 1) {
    proceed();
  }
}

void peer_leave_writer::proceed() {
  if (!entries_.empty()) {
    channel_.call(adapter::read_object(adapter::leave_kind, entries_.front().node), call_timeout,
                  [this](const store_answer& answer) { on_read(answer); });
  }
}

void peer_leave_writer::on_read(const store_answer& answer) {
  const auto object = answer.status == 200 ? adapter::parse_object(answer.body) : std::nullopt;
  if (!object && answer.status != 404) {
    finish(false);
    return;
  }
  const auto& [node, record, done] = entries_.front();
  const auto found = object ? adapter::parse_leave_record(object->content) : std::nullopt;
  if (found == record) {
    finish(true);
    return;
  }
  if (found && found->left > record.left) {
    // The request was late; the node has recorded another leave since.
    finish(false);
    return;
  }
  const std::string content = adapter::to_json(record);
  channel_.call(object
                    ? adapter::replace_object(adapter::leave_kind, node, content, object->revision)
                    : adapter::create_object(adapter::leave_kind, node, content),
                call_timeout, [this](const store_answer& it) { on_written(it); });
}

void peer_leave_writer::on_written(const store_answer& answer) {
  finish(answer.status == 200 || answer.status == 201);
}

void peer_leave_writer::finish(bool recorded) {
  const entry ended = std::move(entries_.front());
  entries_.pop_front();
  counters_.store_call(recorded ? "peer_leave_written" : "failed");
  log_.state(log_line("peer_leave")
                 .field("name", ended.node)
                 .field("instance", ended.record.instance)
                 .field("recorded", recorded ? 1 : 0));
  if (recorded) {
    ended.done();
  }
  proceed();
}

} // namespace damaskledge::sidecar
