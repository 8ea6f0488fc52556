#include <algorithm>
#include <deque>
#include <optional>
#include <random>
#include <unordered_map>
#include <unordered_set>
#include <utility>

#include "claims/claims.h"
#include "claims/shard_codec.h"

namespace damaskledge::claims {
namespace {

constexpr milliseconds first_backoff{20};
constexpr milliseconds longest_backoff{1'000};
/// Segments of one shard that are read at once.
constexpr std::size_t segment_reads = 8;
/// Attempts to remove a segment that is no longer referred to; one that stays costs only space.
constexpr int erase_attempts = 5;

/// Decision about a waiting item. `change` is the row to store, if any.
struct outcome {
  wire::claim_decision decision = wire::claim_decision::unavailable;
  id128 holder;
  std::uint16_t status = 0;
  /// For finishes.
  bool stored = false;
  std::optional<claim_row> change;
  /// The decision holds only if the shard is written, even without a change: the write fails
  /// when another writer has changed the shard.
  bool needs_write = false;
  bool creates = false;
};

struct item {
  enum class kind : std::uint8_t {
    claim,
    finish,
    /// Takes back a claim whose requester was told `unavailable`.
    withdraw,
  };
  kind what = kind::claim;
  id128 operation;
  std::uint64_t body_hash = 0;
  id128 request;
  wire::claim_finish finish;
  std::uint64_t sequence = 0;
  endpoint reply_to;
  time_point received;
  std::uint32_t grant = 0;
  /// A new row of this item was in a write that may have taken effect.
  bool may_be_stored = false;
};

struct part {
  item what;
  outcome result;
};

/// A head write that was sent and whose answer is awaited or lost.
struct flight {
  id128 write_id;
  std::vector<part> parts;
  std::vector<claim_row> rows;
  std::vector<segment_reference> segments;
  std::vector<segment_reference> dropped;
  bool seals = false;
};

/// A segment with the rows of the head of version `head_version`.
struct sealed_segment {
  segment_reference reference;
  std::string name;
  std::string content;
  std::uint64_t head_version = 0;
  bool stored = false;
};

using row_table = std::unordered_map<id128, claim_row, id128_hash>;

struct shard {
  std::uint32_t index = 0;
  /// Rows are those of `version`; reads may be needed before the next write.
  bool loaded = false;
  bool needs_read = true;
  std::uint64_t version = 0;
  std::vector<segment_reference> segments;
  /// Rows of all segments, later ones over earlier ones.
  row_table sealed;
  row_table head;
  std::unordered_set<id128, id128_hash> segments_read;
  /// Read but not yet merged: a later segment may arrive before an earlier one.
  std::unordered_map<id128, std::vector<claim_row>, id128_hash> segments_arrived;
  std::deque<item> queue;
  std::optional<flight> in_flight;
  std::optional<sealed_segment> sealing;
  std::size_t calls = 0;
  time_point retry_at;
  milliseconds backoff = first_backoff;
  time_point used;

  const claim_row* find(const id128& operation) const {
    if (const auto it = head.find(operation); it != head.end()) {
      return &it->second;
    }
    const auto it = sealed.find(operation);
    return it == sealed.end() ? nullptr : &it->second;
  }
};

struct kept_answer {
  id128 request;
  std::string content_type;
  std::string answer;
};

enum class purpose : std::uint8_t { read_head, read_segment, write_segment, write_head, erase };

struct pending_call {
  purpose what = purpose::read_head;
  std::uint32_t shard = 0;
  id128 segment;
  std::string name;
  int attempts = 0;
};

std::uint32_t seconds_of(unix_milliseconds wall) {
  return static_cast<std::uint32_t>(wall / 1'000);
}

} // namespace

std::uint32_t shard_of(const id128& operation, std::uint32_t shards) {
  return static_cast<std::uint32_t>(operation.high % shards);
}

std::uint32_t home_of(std::uint32_t shard, std::uint32_t data_centres) {
  return shard % data_centres;
}

struct claim_writer::tables {
  settings options;
  std::mt19937_64 random;
  bool writer = true;
  std::vector<shard> shards;
  std::unordered_map<std::uint64_t, pending_call> calls;
  std::uint64_t next_tag = 0;
  std::unordered_map<id128, kept_answer, id128_hash> kept;
  std::deque<id128> kept_order;
  // Of the call that is being handled.
  time_point now;
  unix_milliseconds wall = 0;
  effects out;

  tables(settings value, std::uint64_t seed) : options(value), random(seed) { reset(); }

  void reset() {
    shards.clear();
    shards.resize(options.shards);
    for (std::uint32_t it = 0; it < options.shards; ++it) {
      shards[it].index = it;
    }
    calls.clear();
    kept.clear();
    kept_order.clear();
  }
  void begin(time_point at, unix_milliseconds wall_time) {
    now = at;
    wall = wall_time;
    out = {};
  }

  id128 draw_id() {
    const std::uint64_t high = random();
    return {high, random()};
  }
  void call(platform::call what, pending_call pending) {
    ++next_tag;
    if (pending.what != purpose::erase) {
      ++shards[pending.shard].calls;
    }
    calls.emplace(next_tag, std::move(pending));
    out.calls.push_back({next_tag, std::move(what)});
  }
  static std::string prefix(const shard& where) {
    return "claims/" + std::to_string(where.index) + "/";
  }
  static std::string segment_name(const shard& where, const id128& id) {
    return prefix(where) + to_string(id);
  }
  bool expired(std::uint32_t recorded_at) const {
    return std::int64_t{recorded_at} + options.retention.count() <= std::int64_t{seconds_of(wall)};
  }
  std::size_t total_rows() const {
    std::size_t total = 0;
    for (const shard& it : shards) {
      total += it.head.size() + it.sealed.size();
    }
    return total;
  }
  std::size_t total_waiting() const {
    std::size_t total = 0;
    for (const shard& it : shards) {
      total += it.queue.size() + (it.in_flight ? it.in_flight->parts.size() : 0);
    }
    return total;
  }
  bool timed_out(const item& what) const { return now - what.received >= options.request_timeout; }
  void back_off(shard& where, milliseconds at_least = milliseconds{0}) const {
    where.retry_at = now + std::max(where.backoff, at_least);
    where.backoff = std::min(longest_backoff, 2 * where.backoff);
  }

  // Decisions.

  outcome decide_claim(const item& what, const claim_row* current) const {
    if (current == nullptr || current->state == row_state::released) {
      if (total_rows() >= options.max_rows) {
        return {};
      }
      outcome result;
      result.decision = wire::claim_decision::granted;
      result.holder = what.request;
      result.change = claim_row{what.operation,    what.body_hash, what.request,
                                seconds_of(wall),  what.grant,     0,
                                row_state::claimed};
      result.needs_write = true;
      result.creates = true;
      return result;
    }
    outcome result;
    result.decision = wire::claim_decision::already_claimed;
    result.holder = current->request;
    result.status = current->status;
    if (current->body_hash != what.body_hash) {
      result.decision = wire::claim_decision::body_differs;
    } else if (current->state == row_state::finished) {
      result.decision = wire::claim_decision::already_run;
    } else if (current->request == what.request) {
      result.decision = wire::claim_decision::granted;
      if (current->grant != what.grant) {
        // Written again under a number of its own, drawn by the caller: a writer that is about
        // to take back the row of an earlier attempt must not take back this grant.
        result.change = *current;
        result.needs_write = true;
      }
    }
    return result;
  }

  static outcome decide_finish(const item& what, const claim_row* current) {
    outcome result;
    const bool own = current != nullptr && current->request == what.request;
    if (!own || current->state == row_state::released) {
      // Another writer may have stored the claim since this one read the shard.
      result.stored = what.finish.released;
      result.needs_write = true;
    } else if (current->state == row_state::finished) {
      result.stored = !what.finish.released;
    } else {
      result.stored = true;
      result.needs_write = true;
      result.change = *current;
      result.change->state = what.finish.released ? row_state::released : row_state::finished;
      result.change->status = what.finish.released ? std::uint16_t{0} : what.finish.status;
    }
    return result;
  }

  /// Writes in any case: once the shard has a newer version, the earlier write can no longer
  /// take effect.
  static outcome decide_withdraw(const item& what, const claim_row* current) {
    outcome result;
    result.needs_write = true;
    if (current != nullptr && current->request == what.request &&
        current->state == row_state::claimed && current->grant == what.grant) {
      result.change = *current;
      result.change->state = row_state::released;
    }
    return result;
  }

  outcome decide(const item& what, const claim_row* current) const {
    if (current != nullptr && expired(current->recorded_at)) {
      current = nullptr;
    }
    switch (what.what) {
    case item::kind::claim:
      return decide_claim(what, current);
    case item::kind::finish:
      return decide_finish(what, current);
    case item::kind::withdraw:
      return decide_withdraw(what, current);
    }
    return {};
  }

  // Replies.

  void send(const endpoint& to, wire::message body) {
    out.messages.push_back({to, wire::transport::stream, std::move(body)});
  }
  void reply_unavailable(const item& what,
                         wire::claim_decision decision = wire::claim_decision::unavailable) {
    if (what.what == item::kind::claim) {
      wire::claim_reply body;
      body.sequence = what.sequence;
      body.operation = what.operation;
      body.decision = decision;
      send(what.reply_to, std::move(body));
    } else if (what.what == item::kind::finish) {
      send(what.reply_to, wire::claim_finish_reply{what.sequence, false});
    }
  }
  /// Puts first in the queue, before any later attempt of the same request.
  static void withdraw(shard& where, const item& what) {
    item added;
    added.what = item::kind::withdraw;
    added.operation = what.operation;
    added.request = what.request;
    added.grant = what.grant;
    added.received = what.received;
    where.queue.push_front(std::move(added));
  }
  void reply(shard& where, const item& what, const outcome& result) {
    if (what.what == item::kind::finish) {
      if (result.stored && !what.finish.released) {
        keep_answer(what);
      }
      send(what.reply_to, wire::claim_finish_reply{what.sequence, result.stored});
      return;
    }
    if (what.what != item::kind::claim) {
      return;
    }
    if (result.decision == wire::claim_decision::granted) {
      if (timed_out(what)) {
        reply_unavailable(what);
        if (what.may_be_stored || result.creates) {
          withdraw(where, what);
        }
        return;
      }
      const claim_row* stored = where.find(what.operation);
      if (stored == nullptr || stored->request != what.request ||
          stored->state != row_state::claimed) {
        report_violation("claim-without-record", "operation " + to_string(what.operation) +
                                                     " of request " + to_string(what.request) +
                                                     " in shard " + std::to_string(where.index));
        reply_unavailable(what);
        return;
      }
    }
    wire::claim_reply body;
    body.sequence = what.sequence;
    body.operation = what.operation;
    body.decision = result.decision;
    body.holder = result.holder;
    body.status = result.status;
    const auto it = kept.find(what.operation);
    if (result.decision == wire::claim_decision::already_run && it != kept.end() &&
        it->second.request == result.holder) {
      body.content_type = it->second.content_type;
      body.answer = it->second.answer;
      body.answer_kept = true;
    }
    send(what.reply_to, std::move(body));
  }
  void keep_answer(const item& what) {
    if (!what.finish.answer_kept || what.finish.answer.size() > options.kept_answer_limit ||
        options.kept_answers == 0) {
      return;
    }
    const auto [it, added] = kept.try_emplace(what.operation);
    if (!added && it->second.request == what.request) {
      return;
    }
    it->second = {what.request, what.finish.content_type, what.finish.answer};
    if (added) {
      kept_order.push_back(what.operation);
    }
    while (kept_order.size() > options.kept_answers) {
      kept.erase(kept_order.front());
      kept_order.pop_front();
    }
  }

  // Reading.

  void expire_waiting(shard& where) {
    std::vector<item> withdrawn;
    std::erase_if(where.queue, [&](const item& it) {
      if (it.what == item::kind::withdraw || !timed_out(it)) {
        return false;
      }
      reply_unavailable(it);
      if (it.may_be_stored && it.what == item::kind::claim) {
        withdrawn.push_back(it);
      }
      return true;
    });
    for (const item& it : withdrawn) {
      withdraw(where, it);
    }
  }
  void requeue(shard& where, bool may_be_stored) {
    if (!where.in_flight) {
      return;
    }
    for (auto it = where.in_flight->parts.rbegin(); it != where.in_flight->parts.rend(); ++it) {
      it->what.may_be_stored = it->what.may_be_stored || (may_be_stored && it->result.creates);
      where.queue.push_front(std::move(it->what));
    }
    where.in_flight.reset();
  }
  void read_head(shard& where) {
    call(platform::read{prefix(where) + "head"}, {purpose::read_head, where.index, {}, {}, 0});
  }
  /// @return true when all segments that may hold rows in force have been read.
  bool read_segments(shard& where) {
    bool complete = true;
    for (const segment_reference& it : where.segments) {
      if (where.segments_read.contains(it.id) || where.segments_arrived.contains(it.id) ||
          expired(it.newest)) {
        continue;
      }
      complete = false;
      if (where.calls < segment_reads) {
        const std::string name = segment_name(where, it.id);
        call(platform::read{name}, {purpose::read_segment, where.index, it.id, name, 0});
      }
    }
    if (!complete) {
      return false;
    }
    for (const segment_reference& it : where.segments) {
      const auto arrived = where.segments_arrived.find(it.id);
      if (arrived == where.segments_arrived.end()) {
        continue;
      }
      for (const claim_row& row : arrived->second) {
        where.sealed.insert_or_assign(row.operation, row);
      }
      where.segments_read.insert(it.id);
    }
    where.segments_arrived.clear();
    return true;
  }
  bool too_large(const shard& where) const {
    std::size_t unread = 0;
    for (const segment_reference& it : where.segments) {
      if (!where.segments_read.contains(it.id) && !expired(it.newest)) {
        unread += it.rows;
      }
    }
    return unread > 0 && total_rows() + unread > options.max_rows;
  }
  void take_head(shard& where, const platform::object& value) {
    std::optional<shard_content> content;
    if (value.version > 0) {
      content = decode(value.content);
    }
    if (!content || value.version < where.version) {
      // Not ours to overwrite, or an answer older than what is known.
      requeue(where, true);
      back_off(where);
      return;
    }
    if (where.in_flight && content->write_id == where.in_flight->write_id) {
      commit(where, value.version);
      return;
    }
    requeue(where, true);
    discard_sealing(where, value.version, content->segments);
    where.version = value.version;
    where.segments = std::move(content->segments);
    if (where.segments_read.size() > where.segments.size()) {
      std::erase_if(where.segments_read, [&](const id128& id) {
        return std::none_of(where.segments.begin(), where.segments.end(),
                            [&](const segment_reference& it) { return it.id == id; });
      });
      std::erase_if(where.sealed, [&](const auto& it) { return expired(it.second.recorded_at); });
    }
    where.head.clear();
    for (const claim_row& it : content->rows) {
      where.head.insert_or_assign(it.operation, it);
    }
    where.loaded = true;
    where.needs_read = false;
    where.backoff = first_backoff;
  }
  void discard_sealing(shard& where, std::uint64_t version,
                       const std::vector<segment_reference>& listed) {
    if (!where.sealing || where.sealing->head_version == version) {
      return;
    }
    // The head has moved on, so that no write that refers to the segment can still succeed.
    const bool used = std::any_of(listed.begin(), listed.end(), [&](const segment_reference& it) {
      return it.id == where.sealing->reference.id;
    });
    if (!used && where.sealing->stored) {
      erase_segment(where, where.sealing->name, 0);
    }
    where.sealing.reset();
  }
  void erase_segment(const shard& where, const std::string& name, int attempts) {
    // A segment is written once, under a name of its own.
    call(platform::erase{name, 1}, {purpose::erase, where.index, {}, name, attempts});
  }

  // Writing.

  void commit(shard& where, std::uint64_t version) {
    flight done = std::move(*where.in_flight);
    where.in_flight.reset();
    if (done.seals) {
      for (const auto& [operation, row] : where.head) {
        where.sealed.insert_or_assign(operation, row);
      }
      where.segments_read.insert(where.sealing->reference.id);
      where.sealing.reset();
    } else {
      discard_sealing(where, version, done.segments);
    }
    where.version = version;
    where.segments = std::move(done.segments);
    where.head.clear();
    for (const claim_row& it : done.rows) {
      where.head.insert_or_assign(it.operation, it);
    }
    where.loaded = true;
    where.needs_read = false;
    where.backoff = first_backoff;
    for (const part& it : done.parts) {
      reply(where, it.what, it.result);
    }
    for (const segment_reference& it : done.dropped) {
      where.segments_read.erase(it.id);
      erase_segment(where, segment_name(where, it.id), 0);
    }
    if (!done.dropped.empty()) {
      std::erase_if(where.sealed, [&](const auto& it) { return expired(it.second.recorded_at); });
    }
  }

  /// True when the row was written by an attempt that is still in the queue: each attempt is
  /// answered once, and each grant by another attempt has a number of its own.
  static bool unanswered(const shard& where, const claim_row& row) {
    return std::any_of(where.queue.begin(), where.queue.end(), [&](const item& it) {
      return it.what == item::kind::claim && it.may_be_stored && it.request == row.request &&
             it.operation == row.operation && it.grant == row.grant;
    });
  }
  /// Takes items from the queue whose decisions do not change the shard or fit into one write.
  void gather(shard& where, std::size_t most, std::vector<part>& parts, row_table& changed) {
    std::unordered_set<id128, id128_hash> created;
    while (!where.queue.empty() && changed.size() < most) {
      item& next = where.queue.front();
      const auto it = changed.find(next.operation);
      if (it != changed.end() && next.what != item::kind::claim) {
        // Decisions on claims are told after the write, when their rows must be stored.
        break;
      }
      const claim_row* current = it != changed.end() ? &it->second : where.find(next.operation);
      outcome result = decide(next, current);
      if (!result.needs_write && it == changed.end()) {
        const item answered = std::move(next);
        where.queue.pop_front();
        reply(where, answered, result);
        continue;
      }
      if (result.change && next.what == item::kind::claim && !result.creates) {
        // A withdrawal of this attempt must match only a row that was never granted: one made
        // in this same write, or one of an attempt that still waits for its answer.
        result.creates = created.contains(next.operation) || unanswered(where, *current);
        if (!result.creates) {
          next.may_be_stored = false;
          next.grant = static_cast<std::uint32_t>(random());
        }
        result.change->grant = next.grant;
      }
      if (result.creates) {
        created.insert(next.operation);
      }
      if (result.change) {
        changed.insert_or_assign(next.operation, *result.change);
      }
      parts.push_back({std::move(next), result});
      where.queue.pop_front();
    }
  }
  std::size_t capacity(std::size_t segments) const {
    const std::size_t used =
        head_overhead_characters + (segments + 1) * segment_reference_characters;
    return used >= options.head_limit
               ? 1
               : std::max<std::size_t>(1, (options.head_limit - used) / row_characters);
  }
  void seal(shard& where) {
    shard_content content{draw_id(), {}, {}};
    sealed_segment made;
    made.reference.id = content.write_id;
    for (const auto& [operation, row] : where.head) {
      if (!expired(row.recorded_at)) {
        content.rows.push_back(row);
        made.reference.newest = std::max(made.reference.newest, row.recorded_at);
      }
    }
    made.reference.rows = static_cast<std::uint32_t>(content.rows.size());
    made.name = segment_name(where, made.reference.id);
    made.content = encode(content);
    made.head_version = where.version;
    where.sealing = std::move(made);
    write_segment(where);
  }
  void write_segment(shard& where) {
    call(
        platform::write{where.sealing->name, 0, where.sealing->content},
        {purpose::write_segment, where.index, where.sealing->reference.id, where.sealing->name, 0});
  }
  void write_head(shard& where) {
    flight next;
    row_table changed;
    const std::size_t room = capacity(where.segments.size());
    gather(where, room, next.parts, changed);
    if (next.parts.empty()) {
      return;
    }
    for (const segment_reference& it : where.segments) {
      (expired(it.newest) ? next.dropped : next.segments).push_back(it);
    }
    std::size_t added = 0;
    std::size_t live = 0;
    for (const auto& [operation, row] : where.head) {
      live += expired(row.recorded_at) ? 0 : 1;
    }
    for (const auto& [operation, row] : changed) {
      added += where.head.contains(operation) ? 0 : 1;
    }
    next.seals = live > 0 && live + added > room;
    if (next.seals && !(where.sealing && where.sealing->stored)) {
      where.in_flight = std::move(next);
      requeue(where, false);
      if (where.sealing) {
        write_segment(where);
      } else {
        seal(where);
      }
      return;
    }
    if (next.seals) {
      next.segments.push_back(where.sealing->reference);
    } else {
      for (const auto& [operation, row] : where.head) {
        if (!expired(row.recorded_at) && !changed.contains(operation)) {
          next.rows.push_back(row);
        }
      }
    }
    for (const auto& [operation, row] : changed) {
      const bool hidden = where.sealed.contains(operation) || next.seals;
      if (row.state != row_state::released || hidden) {
        next.rows.push_back(row);
      }
    }
    next.write_id = draw_id();
    const shard_content content{next.write_id, next.segments, next.rows};
    where.in_flight = std::move(next);
    call(platform::write{prefix(where) + "head", where.version, encode(content)},
         {purpose::write_head, where.index, {}, {}, 0});
  }

  void pump(shard& where) {
    expire_waiting(where);
    if (where.calls > 0 || now < where.retry_at) {
      return;
    }
    if (where.queue.empty() && !where.in_flight) {
      return;
    }
    if (where.needs_read) {
      read_head(where);
      return;
    }
    if (where.queue.empty()) {
      return;
    }
    if (too_large(where)) {
      back_off(where);
      return;
    }
    if (!read_segments(where)) {
      return;
    }
    if (now - where.queue.front().received >= options.batch_interval) {
      write_head(where);
    }
  }

  // Answers of the platform.

  void on_head_read(shard& where, const platform::answer& result) {
    if (const auto* value = std::get_if<platform::found>(&result)) {
      take_head(where, value->value);
    } else if (std::holds_alternative<platform::absent>(result) && where.version == 0) {
      requeue(where, true);
      where.loaded = true;
      where.needs_read = false;
    } else {
      // The items of an unresolved write wait in the queue, where their time can run out. A head
      // that was there and is absent now is not written anew: its claims would be lost.
      requeue(where, true);
      const auto* why = std::get_if<platform::unavailable>(&result);
      back_off(where, why != nullptr ? why->retry_after : milliseconds{0});
    }
  }
  void on_segment_read(shard& where, const id128& id, const platform::answer& result) {
    const auto* value = std::get_if<platform::found>(&result);
    std::optional<shard_content> content;
    if (value != nullptr) {
      content = decode(value->value.content);
    }
    if (content) {
      where.segments_arrived.insert_or_assign(id, std::move(content->rows));
    } else {
      // Absent when another writer has dropped it; the head then says so.
      where.needs_read = true;
      back_off(where);
    }
  }
  void on_segment_written(shard& where, const platform::answer& result) {
    if (!where.sealing) {
      return;
    }
    if (std::holds_alternative<platform::found>(result) ||
        std::holds_alternative<platform::conflict>(result)) {
      // The name is of this writer's own making, so what is stored there is its content.
      where.sealing->stored = true;
    } else {
      const auto* why = std::get_if<platform::unavailable>(&result);
      back_off(where, why != nullptr ? why->retry_after : milliseconds{0});
    }
  }
  void on_head_written(shard& where, const platform::answer& result) {
    if (!where.in_flight) {
      return;
    }
    if (const auto* value = std::get_if<platform::found>(&result)) {
      commit(where, value->value.version);
    } else if (const auto* lost = std::get_if<platform::conflict>(&result)) {
      where.needs_read = true;
      if (lost->current.version > 0) {
        take_head(where, lost->current);
      }
    } else if (const auto* why = std::get_if<platform::unavailable>(&result)) {
      requeue(where, false);
      back_off(where, why->retry_after);
    } else {
      where.needs_read = true;
    }
  }
  void on_answer(const pending_call& asked, const platform::answer& result) {
    if (asked.what == purpose::erase) {
      const bool failed = std::holds_alternative<platform::unavailable>(result) ||
                          std::holds_alternative<platform::unresolved>(result);
      if (failed && asked.attempts + 1 < erase_attempts) {
        erase_segment(shards[asked.shard], asked.name, asked.attempts + 1);
      }
      return;
    }
    shard& where = shards[asked.shard];
    --where.calls;
    switch (asked.what) {
    case purpose::read_head:
      on_head_read(where, result);
      break;
    case purpose::read_segment:
      on_segment_read(where, asked.segment, result);
      break;
    case purpose::write_segment:
      on_segment_written(where, result);
      break;
    case purpose::write_head:
      on_head_written(where, result);
      break;
    case purpose::erase:
      break;
    }
    pump(where);
  }

  // Requests.

  void enqueue(item what) {
    shard& where = shards[shard_of(what.operation, options.shards)];
    where.used = now;
    if (!writer) {
      reply_unavailable(what, wire::claim_decision::not_writer);
      return;
    }
    const auto same = [&](const id128& it) { return it == what.operation; };
    const bool waits = std::any_of(where.queue.begin(), where.queue.end(),
                                   [&](const item& it) { return same(it.operation); }) ||
                       (where.in_flight &&
                        std::any_of(where.in_flight->parts.begin(), where.in_flight->parts.end(),
                                    [&](const part& it) { return same(it.what.operation); }));
    const claim_row* current = waits ? nullptr : where.find(what.operation);
    if (what.what == item::kind::claim && current != nullptr) {
      // Known operations are answered also while the platform is down. A grant is not: it is
      // given only on what is stored now.
      const outcome result = decide(what, current);
      if (result.decision != wire::claim_decision::granted) {
        reply(where, what, result);
        return;
      }
    }
    if (total_waiting() >= options.max_waiting) {
      reply_unavailable(what);
      return;
    }
    where.queue.push_back(std::move(what));
    pump(where);
  }
};

claim_writer::claim_writer(settings options, std::uint64_t seed)
    : tables_(std::make_unique<tables>(options, seed)) {}
claim_writer::~claim_writer() = default;
claim_writer::claim_writer(claim_writer&& other) noexcept = default;
claim_writer& claim_writer::operator=(claim_writer&& other) noexcept = default;

void claim_writer::reset() {
  tables_->reset();
}

void claim_writer::set_writer(bool value) {
  tables_->writer = value;
}

claim_writer::effects claim_writer::receive(time_point now, unix_milliseconds wall,
                                            const wire::incoming& from) {
  tables_->begin(now, wall);
  item what;
  what.received = now;
  what.reply_to = from.from;
  if (const auto* request = std::get_if<wire::claim_request>(&from.body)) {
    what.what = item::kind::claim;
    what.operation = request->operation;
    what.body_hash = request->body_hash;
    what.request = request->request;
    what.sequence = request->sequence;
    what.grant = static_cast<std::uint32_t>(tables_->random());
    tables_->enqueue(std::move(what));
  } else if (const auto* finish = std::get_if<wire::claim_finish>(&from.body)) {
    what.what = item::kind::finish;
    what.operation = finish->operation;
    what.request = finish->request;
    what.sequence = finish->sequence;
    what.finish = *finish;
    tables_->enqueue(std::move(what));
  }
  return std::move(tables_->out);
}

claim_writer::effects claim_writer::tick(time_point now, unix_milliseconds wall) {
  tables_->begin(now, wall);
  for (shard& it : tables_->shards) {
    tables_->pump(it);
    if (it.loaded && it.queue.empty() && !it.in_flight && it.calls == 0 &&
        now - it.used >= tables_->options.shard_idle) {
      const std::uint32_t index = it.index;
      it = shard{};
      it.index = index;
    }
  }
  return std::move(tables_->out);
}

claim_writer::effects claim_writer::on_answer(time_point now, unix_milliseconds wall,
                                              std::uint64_t tag, const platform::answer& result) {
  tables_->begin(now, wall);
  const auto it = tables_->calls.find(tag);
  if (it != tables_->calls.end()) {
    const pending_call asked = std::move(it->second);
    tables_->calls.erase(it);
    tables_->on_answer(asked, result);
  }
  return std::move(tables_->out);
}

} // namespace damaskledge::claims
