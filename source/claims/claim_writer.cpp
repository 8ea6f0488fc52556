#include <algorithm>
#include <deque>
#include <optional>
#include <random>
#include <unordered_map>
#include <unordered_set>
#include <utility>

#include <glog/logging.h>

#include "claims/claims.h"
#include "claims/shard_codec.h"

namespace damaskledge::claims {
namespace {

constexpr milliseconds initial_backoff{20};
constexpr milliseconds max_backoff{1'000};
/// Maximum number of segments of one shard that are read concurrently.
constexpr std::size_t max_concurrent_segment_reads = 8;
/// Attempts to erase an unreferenced segment; one that is left behind only takes up space.
constexpr int max_erase_attempts = 5;
/// After a restoration of the platform, writers have this long to write the claims again that they
/// know, before any of them grants what the platform may have lost.
constexpr seconds restored_claims_delay{10};

/// Decision about a queued request. `change` is the row to store, if any.
struct outcome {
  wire::claim_decision decision = wire::claim_decision::unavailable;
  id128 holder;
  std::uint16_t status = 0;
  /// Used for finishes only.
  bool stored = false;
  std::optional<claim_row> change;
  /// The decision is valid only after a successful write of the shard, even without a change:
  /// the write fails when another writer has changed the shard.
  bool needs_write = false;
  bool creates = false;
};

struct queued_request {
  enum class kind : std::uint8_t {
    claim,
    finish,
    /// Releases a claim whose requester was answered `unavailable`.
    withdraw,
  };
  kind type = kind::claim;
  id128 operation;
  std::uint64_t body_hash = 0;
  id128 request;
  wire::claim_finish finish;
  std::uint64_t sequence = 0;
  endpoint reply_to;
  time_point received;
  std::uint32_t grant = 0;
  /// A new row of this request was in a write that may have taken effect.
  bool may_be_stored = false;
};

struct batch_entry {
  queued_request request;
  outcome result;
};

/// A head write that was sent and whose result is pending or unknown.
struct head_write {
  id128 write_id;
  std::vector<batch_entry> entries;
  std::vector<claim_row> rows;
  std::vector<segment_reference> segments;
  std::vector<segment_reference> dropped;
  bool seals = false;
};

/// A segment that holds the rows of version `head_version` of the head.
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
  /// `head` holds the rows of `version`; another read may be needed before the next write.
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
  std::deque<queued_request> queue;
  std::optional<head_write> in_flight;
  std::optional<sealed_segment> sealing;
  std::size_t calls = 0;
  time_point retry_at;
  milliseconds backoff = initial_backoff;
  time_point last_request_at;

  /// Latest era of the platform whose delay had passed when the shard was written.
  std::uint64_t checked_era = 1;
  /// Rows known before a restoration of the platform, until all segments it has are read.
  row_table to_restore;

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

enum class call_kind : std::uint8_t { read_head, read_segment, write_segment, write_head, erase };

struct pending_call {
  call_kind kind = call_kind::read_head;
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

struct claim_writer::impl {
  settings options;
  std::mt19937_64 random;
  bool writer = true;
  /// Latest era of the platform, and since when it is known.
  std::uint64_t era = 1;
  time_point era_since;
  std::vector<shard> shards;
  std::unordered_map<std::uint64_t, pending_call> calls;
  std::uint64_t next_tag = 0;
  std::unordered_map<id128, kept_answer, id128_hash> kept;
  std::deque<id128> kept_order;
  // Times and results of the public call that is being handled.
  time_point now;
  unix_milliseconds wall = 0;
  effects out;

  impl(settings value, std::uint64_t seed) : options(value), random(seed) { reset(); }

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

  id128 random_id() {
    const std::uint64_t high = random();
    return {high, random()};
  }
  void start_call(platform::call what, pending_call pending) {
    ++next_tag;
    if (pending.kind != call_kind::erase) {
      ++shards[pending.shard].calls;
    }
    calls.emplace(next_tag, std::move(pending));
    out.calls.push_back({next_tag, std::move(what)});
  }
  static std::string prefix(const shard& target) {
    return "claims/" + std::to_string(target.index) + "/";
  }
  static std::string segment_name(const shard& target, const id128& id) {
    return prefix(target) + to_string(id);
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
      total += it.queue.size() + (it.in_flight ? it.in_flight->entries.size() : 0);
    }
    return total;
  }
  bool timed_out(const queued_request& what) const {
    return now - what.received >= options.request_timeout;
  }
  void back_off(shard& target, milliseconds at_least = milliseconds{0}) const {
    target.retry_at = now + std::max(target.backoff, at_least);
    target.backoff = std::min(max_backoff, 2 * target.backoff);
  }

  // Decisions.

  outcome decide_claim(const queued_request& what, const claim_row* current,
                       bool may_create) const {
    if (current == nullptr || current->state == row_state::released) {
      if (!may_create || total_rows() >= options.max_rows) {
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
        // Stored again with a new grant number, drawn by the caller: a writer that is about to
        // withdraw the row of an earlier attempt must not withdraw this grant.
        result.change = *current;
        result.needs_write = true;
      }
    }
    return result;
  }

  static outcome decide_finish(const queued_request& what, const claim_row* current) {
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

  /// Always requires a write, even without a change: once the shard has a newer version, the
  /// earlier write can no longer take effect.
  static outcome decide_withdraw(const queued_request& what, const claim_row* current) {
    outcome result;
    result.needs_write = true;
    if (current != nullptr && current->request == what.request &&
        current->state == row_state::claimed && current->grant == what.grant) {
      result.change = *current;
      result.change->state = row_state::released;
    }
    return result;
  }

  /// @param may_create an operation without a claim may be granted one.
  outcome decide(const queued_request& what, const claim_row* current, bool may_create) const {
    if (current != nullptr && expired(current->recorded_at)) {
      current = nullptr;
    }
    switch (what.type) {
    case queued_request::kind::claim:
      return decide_claim(what, current, may_create);
    case queued_request::kind::finish:
      return decide_finish(what, current);
    case queued_request::kind::withdraw:
      return decide_withdraw(what, current);
    }
    return {};
  }

  // Replies.

  void send(const endpoint& to, wire::message body) {
    out.messages.push_back({to, wire::transport::stream, std::move(body)});
  }
  void reply_unavailable(const queued_request& what,
                         wire::claim_decision decision = wire::claim_decision::unavailable) {
    if (what.type == queued_request::kind::claim) {
      wire::claim_reply body;
      body.sequence = what.sequence;
      body.operation = what.operation;
      body.decision = decision;
      send(what.reply_to, std::move(body));
    } else if (what.type == queued_request::kind::finish) {
      send(what.reply_to, wire::claim_finish_reply{what.sequence, false});
    }
  }
  /// Queues a withdrawal at the front, before any later attempt of the same request.
  static void withdraw(shard& target, const queued_request& what) {
    queued_request added;
    added.type = queued_request::kind::withdraw;
    added.operation = what.operation;
    added.request = what.request;
    added.grant = what.grant;
    added.received = what.received;
    target.queue.push_front(std::move(added));
  }
  void reply(shard& target, const queued_request& what, const outcome& result) {
    if (what.type == queued_request::kind::finish) {
      if (result.stored && !what.finish.released) {
        keep_answer(what);
      }
      send(what.reply_to, wire::claim_finish_reply{what.sequence, result.stored});
      return;
    }
    if (what.type != queued_request::kind::claim) {
      return;
    }
    if (result.decision == wire::claim_decision::granted) {
      if (timed_out(what)) {
        reply_unavailable(what);
        if (what.may_be_stored || result.creates) {
          withdraw(target, what);
        }
        return;
      }
      const claim_row* stored = target.find(what.operation);
      if (stored == nullptr || stored->request != what.request ||
          stored->state != row_state::claimed) {
        report_violation("claim-without-record", "operation " + to_string(what.operation) +
                                                     " of request " + to_string(what.request) +
                                                     " in shard " + std::to_string(target.index));
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
  void keep_answer(const queued_request& what) {
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

  void expire_waiting(shard& target) {
    std::vector<queued_request> withdrawn;
    std::erase_if(target.queue, [&](const queued_request& it) {
      if (it.type == queued_request::kind::withdraw || !timed_out(it)) {
        return false;
      }
      reply_unavailable(it);
      if (it.may_be_stored && it.type == queued_request::kind::claim) {
        withdrawn.push_back(it);
      }
      return true;
    });
    for (const queued_request& it : withdrawn) {
      withdraw(target, it);
    }
  }
  void requeue(shard& target, bool may_be_stored) {
    if (!target.in_flight) {
      return;
    }
    for (auto it = target.in_flight->entries.rbegin(); it != target.in_flight->entries.rend();
         ++it) {
      it->request.may_be_stored =
          it->request.may_be_stored || (may_be_stored && it->result.creates);
      target.queue.push_front(std::move(it->request));
    }
    target.in_flight.reset();
  }
  void read_head(shard& target) {
    start_call(platform::read{prefix(target) + "head"},
               {call_kind::read_head, target.index, {}, {}, 0});
  }
  /// @return true when all segments that may hold unexpired rows have been read.
  bool read_segments(shard& target) {
    bool complete = true;
    for (const segment_reference& it : target.segments) {
      if (target.segments_read.contains(it.id) || target.segments_arrived.contains(it.id) ||
          expired(it.newest)) {
        continue;
      }
      complete = false;
      if (target.calls < max_concurrent_segment_reads) {
        const std::string name = segment_name(target, it.id);
        start_call(platform::read{name}, {call_kind::read_segment, target.index, it.id, name, 0});
      }
    }
    if (!complete) {
      return false;
    }
    for (const segment_reference& it : target.segments) {
      const auto arrived = target.segments_arrived.find(it.id);
      if (arrived == target.segments_arrived.end()) {
        continue;
      }
      for (const claim_row& row : arrived->second) {
        target.sealed.insert_or_assign(row.operation, row);
      }
      target.segments_read.insert(it.id);
    }
    target.segments_arrived.clear();
    return true;
  }
  bool exceeds_row_limit(const shard& target) const {
    std::size_t unread = 0;
    for (const segment_reference& it : target.segments) {
      if (!target.segments_read.contains(it.id) && !expired(it.newest)) {
        unread += it.rows;
      }
    }
    return unread > 0 && total_rows() + unread > options.max_rows;
  }
  void apply_head(shard& target, const platform::object& value) {
    std::optional<shard_content> content;
    if (platform::stored_version(value.version) > 0) {
      content = decode(value.content);
    } else if (value.version > 0) {
      content.emplace();
    }
    if (!content || value.version < target.version) {
      // The object can't be decoded and must not be overwritten, or it is older than the known
      // version.
      requeue(target, true);
      back_off(target);
      return;
    }
    if (target.in_flight && content->write_id == target.in_flight->write_id) {
      commit(target, value.version);
      return;
    }
    requeue(target, true);
    keep_known_rows(target, value.version, content->segments);
    note_era(platform::era_of(value.version));
    target.checked_era = std::max(target.checked_era, content->era);
    discard_sealing(target, value.version, content->segments);
    target.version = value.version;
    target.segments = std::move(content->segments);
    if (target.segments_read.size() > target.segments.size()) {
      std::erase_if(target.segments_read, [&](const id128& id) {
        return std::none_of(target.segments.begin(), target.segments.end(),
                            [&](const segment_reference& it) { return it.id == id; });
      });
      std::erase_if(target.sealed, [&](const auto& it) { return expired(it.second.recorded_at); });
    }
    target.head.clear();
    for (const claim_row& it : content->rows) {
      target.head.insert_or_assign(it.operation, it);
    }
    target.loaded = true;
    target.needs_read = false;
    target.backoff = initial_backoff;
  }
  void note_era(std::uint64_t value) {
    if (value > era) {
      era = value;
      era_since = now;
    }
  }
  /// @return true while other writers may know claims that the restored platform has lost.
  bool unchecked(const shard& target) const {
    return target.checked_era < era && now - era_since < restored_claims_delay;
  }
  /// Keeps the rows that this writer knows, when the platform was restored: those of the head, and
  /// of segments that the restored head does not name.
  void keep_known_rows(shard& target, std::uint64_t version,
                       const std::vector<segment_reference>& listed) {
    if (!target.loaded || platform::era_of(version) <= platform::era_of(target.version)) {
      return;
    }
    for (const auto& [operation, row] : target.head) {
      target.to_restore.insert_or_assign(operation, row);
    }
    const bool all_listed =
        std::all_of(target.segments.begin(), target.segments.end(), [&](const auto& it) {
          return std::find(listed.begin(), listed.end(), it) != listed.end();
        });
    if (!all_listed) {
      target.to_restore.insert(target.sealed.begin(), target.sealed.end());
      // Those that the restored head names are read again, to tell which rows they hold.
      target.sealed.clear();
      target.segments_read.clear();
    }
    if (!target.to_restore.empty()) {
      demand_write(target);
    }
  }
  /// Adds the rows to the head that the restored platform lacks. All its segments must be read.
  void restore_rows(shard& target) {
    std::size_t restored = 0;
    for (const auto& [operation, row] : std::exchange(target.to_restore, {})) {
      const claim_row* current = target.find(operation);
      const bool granted_again = current != nullptr && current->request != row.request &&
                                 current->state != row_state::released;
      if (!expired(row.recorded_at) && !granted_again && (current == nullptr || *current != row)) {
        target.head.insert_or_assign(operation, row);
        ++restored;
      }
    }
    if (restored > 0) {
      LOG(WARNING) << "event=claims-restored shard=" << target.index << " rows=" << restored
                   << " version=" << target.version;
    }
  }
  /// Has the shard written although no request needs it: a withdrawal of a claim that nobody holds.
  void demand_write(shard& target) {
    queued_request write;
    write.type = queued_request::kind::withdraw;
    write.operation = random_id();
    write.request = write.operation;
    write.received = now;
    target.queue.push_front(std::move(write));
  }
  /// Reads and writes the shards again that this writer read in an earlier era of the platform.
  void check_shards(std::uint64_t era) {
    for (shard& it : shards) {
      if (it.loaded && !it.needs_read && !it.in_flight && platform::era_of(it.version) < era) {
        it.needs_read = true;
        demand_write(it);
      }
    }
  }
  void discard_sealing(shard& target, std::uint64_t version,
                       const std::vector<segment_reference>& listed) {
    if (!target.sealing || target.sealing->head_version == version) {
      return;
    }
    // The head has a newer version, so no pending write that refers to the segment can succeed.
    const bool used = std::any_of(listed.begin(), listed.end(), [&](const segment_reference& it) {
      return it.id == target.sealing->reference.id;
    });
    if (!used && target.sealing->stored) {
      erase_segment(target, target.sealing->name, 0);
    }
    target.sealing.reset();
  }
  void erase_segment(const shard& target, const std::string& name, int attempts) {
    // A segment is written once, under a unique name, so its version is 1.
    start_call(platform::erase{name, 1}, {call_kind::erase, target.index, {}, name, attempts});
  }

  // Writing.

  void commit(shard& target, std::uint64_t version) {
    head_write done = std::move(*target.in_flight);
    target.in_flight.reset();
    if (done.seals) {
      for (const auto& [operation, row] : target.head) {
        target.sealed.insert_or_assign(operation, row);
      }
      target.segments_read.insert(target.sealing->reference.id);
      target.sealing.reset();
    } else {
      discard_sealing(target, version, done.segments);
    }
    target.version = version;
    target.segments = std::move(done.segments);
    target.head.clear();
    for (const claim_row& it : done.rows) {
      target.head.insert_or_assign(it.operation, it);
    }
    target.loaded = true;
    target.needs_read = false;
    target.backoff = initial_backoff;
    for (const batch_entry& it : done.entries) {
      reply(target, it.request, it.result);
    }
    for (const segment_reference& it : done.dropped) {
      target.segments_read.erase(it.id);
      erase_segment(target, segment_name(target, it.id), 0);
    }
    if (!done.dropped.empty()) {
      std::erase_if(target.sealed, [&](const auto& it) { return expired(it.second.recorded_at); });
    }
  }

  /// @return true when the row was written by an attempt that is still in the queue and hence
  /// unanswered: each attempt is answered once, and other attempts have other grant numbers.
  static bool has_unanswered_claim(const shard& target, const claim_row& row) {
    return std::any_of(target.queue.begin(), target.queue.end(), [&](const queued_request& it) {
      return it.type == queued_request::kind::claim && it.may_be_stored &&
             it.request == row.request && it.operation == row.operation && it.grant == row.grant;
    });
  }
  /// Takes requests from the queue: answers those that need no write, and batches the others up
  /// to `row_limit` changed rows or the first finish or withdrawal of a changed operation.
  void collect_batch(shard& target, std::size_t row_limit, std::vector<batch_entry>& entries,
                     row_table& changed) {
    std::unordered_set<id128, id128_hash> created;
    while (!target.queue.empty() && changed.size() < row_limit) {
      queued_request& next = target.queue.front();
      const auto it = changed.find(next.operation);
      if (it != changed.end() && next.type != queued_request::kind::claim) {
        // Claims are answered after the write and need their rows to be stored then; a finish or
        // withdrawal in the same write could replace them.
        break;
      }
      const claim_row* current = it != changed.end() ? &it->second : target.find(next.operation);
      outcome result = decide(next, current, !unchecked(target));
      if (!result.needs_write && it == changed.end()) {
        const queued_request answered = std::move(next);
        target.queue.pop_front();
        reply(target, answered, result);
        continue;
      }
      if (result.change && next.type == queued_request::kind::claim && !result.creates) {
        // A withdrawal of this attempt must match only a row that was never granted: one created
        // in this same write, or one of an attempt that is still unanswered.
        result.creates = created.contains(next.operation) || has_unanswered_claim(target, *current);
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
      entries.push_back({std::move(next), result});
      target.queue.pop_front();
    }
  }
  std::size_t head_row_capacity(std::size_t segments) const {
    const std::size_t used =
        head_overhead_characters + (segments + 1) * segment_reference_characters;
    return used >= options.head_limit
               ? 1
               : std::max<std::size_t>(1, (options.head_limit - used) / row_characters);
  }
  void seal(shard& target) {
    shard_content content{random_id(), {}, {}};
    sealed_segment made;
    made.reference.id = content.write_id;
    for (const auto& [operation, row] : target.head) {
      if (!expired(row.recorded_at)) {
        content.rows.push_back(row);
        made.reference.newest = std::max(made.reference.newest, row.recorded_at);
      }
    }
    made.reference.rows = static_cast<std::uint32_t>(content.rows.size());
    made.name = segment_name(target, made.reference.id);
    made.content = encode(content);
    made.head_version = target.version;
    target.sealing = std::move(made);
    write_segment(target);
  }
  void write_segment(shard& target) {
    start_call(platform::write{target.sealing->name, 0, target.sealing->content},
               {call_kind::write_segment, target.index, target.sealing->reference.id,
                target.sealing->name, 0});
  }
  void write_head(shard& target) {
    head_write next;
    row_table changed;
    const std::size_t row_capacity = head_row_capacity(target.segments.size());
    collect_batch(target, row_capacity, next.entries, changed);
    if (next.entries.empty()) {
      return;
    }
    for (const segment_reference& it : target.segments) {
      (expired(it.newest) ? next.dropped : next.segments).push_back(it);
    }
    std::size_t added = 0;
    std::size_t live = 0;
    for (const auto& [operation, row] : target.head) {
      live += expired(row.recorded_at) ? 0 : 1;
    }
    for (const auto& [operation, row] : changed) {
      added += target.head.contains(operation) ? 0 : 1;
    }
    next.seals = live > 0 && live + added > row_capacity;
    if (next.seals && !(target.sealing && target.sealing->stored)) {
      target.in_flight = std::move(next);
      requeue(target, false);
      if (target.sealing) {
        write_segment(target);
      } else {
        seal(target);
      }
      return;
    }
    if (next.seals) {
      next.segments.push_back(target.sealing->reference);
    } else {
      for (const auto& [operation, row] : target.head) {
        if (!expired(row.recorded_at) && !changed.contains(operation)) {
          next.rows.push_back(row);
        }
      }
    }
    for (const auto& [operation, row] : changed) {
      const bool hidden = target.sealed.contains(operation) || next.seals;
      if (row.state != row_state::released || hidden) {
        next.rows.push_back(row);
      }
    }
    next.write_id = random_id();
    const shard_content content{next.write_id, next.segments, next.rows,
                                unchecked(target) ? target.checked_era : era};
    target.in_flight = std::move(next);
    start_call(platform::write{prefix(target) + "head", target.version, encode(content)},
               {call_kind::write_head, target.index, {}, {}, 0});
  }

  void advance(shard& target) {
    expire_waiting(target);
    if (target.calls > 0 || now < target.retry_at) {
      return;
    }
    if (target.queue.empty() && !target.in_flight) {
      return;
    }
    if (target.needs_read) {
      read_head(target);
      return;
    }
    if (target.queue.empty()) {
      return;
    }
    if (exceeds_row_limit(target)) {
      back_off(target);
      return;
    }
    if (!read_segments(target)) {
      return;
    }
    restore_rows(target);
    if (now - target.queue.front().received >= options.batch_interval) {
      write_head(target);
    }
  }

  // Answers of the platform.

  void on_head_read(shard& target, const platform::answer& result) {
    const auto* none = std::get_if<platform::absent>(&result);
    if (const auto* value = std::get_if<platform::found>(&result)) {
      apply_head(target, value->value);
    } else if (none != nullptr && none->era > 1 &&
               (none->era > platform::era_of(target.version) ||
                platform::stored_version(target.version) == 0)) {
      // The restored platform may have lost the whole shard.
      apply_head(target, {prefix(target) + "head", platform::version_in_era(none->era, 0), {}});
    } else if (none != nullptr && platform::stored_version(target.version) == 0) {
      requeue(target, true);
      target.loaded = true;
      target.needs_read = false;
    } else {
      // The requests of an unresolved write go back to the queue so that they can time out. A head
      // that existed and is now absent is not created again: its claims would be lost.
      requeue(target, true);
      const auto* why = std::get_if<platform::unavailable>(&result);
      back_off(target, why != nullptr ? why->retry_after : milliseconds{0});
    }
  }
  void on_segment_read(shard& target, const id128& id, const platform::answer& result) {
    const auto* value = std::get_if<platform::found>(&result);
    std::optional<shard_content> content;
    if (value != nullptr) {
      content = decode(value->value.content);
    }
    if (content) {
      target.segments_arrived.insert_or_assign(id, std::move(content->rows));
    } else {
      // The segment is absent when another writer has dropped it; a new read of the head shows it.
      target.needs_read = true;
      back_off(target);
    }
  }
  void on_segment_written(shard& target, const platform::answer& result) {
    if (!target.sealing) {
      return;
    }
    if (std::holds_alternative<platform::found>(result) ||
        std::holds_alternative<platform::conflict>(result)) {
      // This writer chose the unique name, so an existing object of that name has its content.
      target.sealing->stored = true;
    } else {
      const auto* why = std::get_if<platform::unavailable>(&result);
      back_off(target, why != nullptr ? why->retry_after : milliseconds{0});
    }
  }
  void on_head_written(shard& target, const platform::answer& result) {
    if (!target.in_flight) {
      return;
    }
    if (const auto* value = std::get_if<platform::found>(&result)) {
      commit(target, value->value.version);
    } else if (const auto* lost = std::get_if<platform::conflict>(&result)) {
      target.needs_read = true;
      if (lost->current.version > 0) {
        apply_head(target, lost->current);
      }
    } else if (const auto* why = std::get_if<platform::unavailable>(&result)) {
      requeue(target, false);
      back_off(target, why->retry_after);
    } else {
      target.needs_read = true;
    }
  }
  void on_answer(const pending_call& asked, const platform::answer& result) {
    if (asked.kind == call_kind::erase) {
      const bool failed = std::holds_alternative<platform::unavailable>(result) ||
                          std::holds_alternative<platform::unresolved>(result);
      if (failed && asked.attempts + 1 < max_erase_attempts) {
        erase_segment(shards[asked.shard], asked.name, asked.attempts + 1);
      }
      return;
    }
    shard& target = shards[asked.shard];
    --target.calls;
    switch (asked.kind) {
    case call_kind::read_head:
      on_head_read(target, result);
      break;
    case call_kind::read_segment:
      on_segment_read(target, asked.segment, result);
      break;
    case call_kind::write_segment:
      on_segment_written(target, result);
      break;
    case call_kind::write_head:
      on_head_written(target, result);
      break;
    case call_kind::erase:
      break;
    }
    advance(target);
  }

  // Requests.

  void enqueue(queued_request what) {
    shard& target = shards[shard_of(what.operation, options.shards)];
    target.last_request_at = now;
    if (!writer) {
      reply_unavailable(what, wire::claim_decision::not_writer);
      return;
    }
    const auto same = [&](const id128& it) { return it == what.operation; };
    const bool waits =
        std::any_of(target.queue.begin(), target.queue.end(),
                    [&](const queued_request& it) { return same(it.operation); }) ||
        (target.in_flight &&
         std::any_of(target.in_flight->entries.begin(), target.in_flight->entries.end(),
                     [&](const batch_entry& it) { return same(it.request.operation); }));
    const claim_row* current = waits ? nullptr : target.find(what.operation);
    if (what.type == queued_request::kind::claim && current != nullptr) {
      // Known operations are answered from memory, also while the platform is unavailable. A grant
      // is not: it requires a successful write to the store.
      const outcome result = decide(what, current, true);
      if (result.decision != wire::claim_decision::granted) {
        reply(target, what, result);
        return;
      }
    }
    if (total_waiting() >= options.max_waiting) {
      reply_unavailable(what);
      return;
    }
    target.queue.push_back(std::move(what));
    advance(target);
  }
};

claim_writer::claim_writer(settings options, std::uint64_t seed)
    : impl_(std::make_unique<impl>(options, seed)) {}
claim_writer::~claim_writer() = default;
claim_writer::claim_writer(claim_writer&& other) noexcept = default;
claim_writer& claim_writer::operator=(claim_writer&& other) noexcept = default;

void claim_writer::reset() {
  impl_->reset();
}

void claim_writer::set_writer(bool value) {
  impl_->writer = value;
}

void claim_writer::set_era(time_point now, std::uint64_t value) {
  impl_->now = now;
  impl_->note_era(value);
}

claim_writer::effects claim_writer::receive(time_point now, unix_milliseconds wall,
                                            const wire::incoming& from) {
  impl_->begin(now, wall);
  queued_request what;
  what.received = now;
  what.reply_to = from.from;
  if (const auto* request = std::get_if<wire::claim_request>(&from.body)) {
    what.type = queued_request::kind::claim;
    what.operation = request->operation;
    what.body_hash = request->body_hash;
    what.request = request->request;
    what.sequence = request->sequence;
    what.grant = static_cast<std::uint32_t>(impl_->random());
    impl_->enqueue(std::move(what));
  } else if (const auto* finish = std::get_if<wire::claim_finish>(&from.body)) {
    what.type = queued_request::kind::finish;
    what.operation = finish->operation;
    what.request = finish->request;
    what.sequence = finish->sequence;
    what.finish = *finish;
    impl_->enqueue(std::move(what));
  }
  return std::move(impl_->out);
}

claim_writer::effects claim_writer::tick(time_point now, unix_milliseconds wall) {
  impl_->begin(now, wall);
  impl_->check_shards(impl_->era);
  for (shard& it : impl_->shards) {
    impl_->advance(it);
    if (it.loaded && it.queue.empty() && !it.in_flight && it.calls == 0 &&
        now - it.last_request_at >= impl_->options.shard_idle) {
      const std::uint32_t index = it.index;
      it = shard{};
      it.index = index;
    }
  }
  return std::move(impl_->out);
}

claim_writer::effects claim_writer::on_answer(time_point now, unix_milliseconds wall,
                                              std::uint64_t tag, const platform::answer& result) {
  impl_->begin(now, wall);
  const auto it = impl_->calls.find(tag);
  if (it != impl_->calls.end()) {
    const pending_call asked = std::move(it->second);
    impl_->calls.erase(it);
    impl_->on_answer(asked, result);
  }
  return std::move(impl_->out);
}

} // namespace damaskledge::claims
