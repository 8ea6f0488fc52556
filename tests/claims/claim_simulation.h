#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "claims/claims.h"
#include "claims/shard_codec.h"

namespace damaskledge::claims {

struct claim_faults {
  /// Probabilities of each platform call.
  double refused = 0;
  double answer_lost = 0;
  /// The call takes effect only after its answer was given up.
  double effect_late = 0;
  double slow = 0;
  /// Probabilities of each message.
  double lost = 0;
  double repeated = 0;
  double delayed = 0;
  /// Mean number per second.
  double restarts = 0;
  double outages = 0;
};

struct claim_plan {
  std::uint64_t seed = 1;
  claim_faults faults;
  settings options;
  std::uint32_t writers = 3;
  std::uint32_t operations = 300;
};

/// Claim writers over a platform with conditional updates, and requesters that repeat their
/// requests, finish, release or vanish. Times are true seconds.
class claim_world {
 public:
  explicit claim_world(claim_plan plan) : plan_(plan), random_(plan.seed) {
    for (std::uint32_t it = 0; it < plan_.writers; ++it) {
      writers_.emplace_back();
      restart(it);
      tick(it);
    }
    if (plan_.faults.restarts + plan_.faults.outages > 0) {
      fault();
    }
  }

  /// A request for operation `number` that starts at `when`.
  void submit(double when, std::uint64_t number) {
    const std::size_t index = requesters_.size();
    requester added;
    added.operation = hash_parts({"operation", std::to_string(number)});
    added.request = {random_(), random_()};
    requesters_.push_back(added);
    at(when, [this, index] { attempt(index); });
  }
  void stop_faults(double when) {
    at(when, [this] {
      plan_.faults = {};
      outage_until_ = 0;
    });
  }
  void run_until(double end) {
    while (!events_.empty() && events_.top().when <= end) {
      // The function may add events, which moves the queue's elements.
      const event next = events_.top();
      events_.pop();
      now_ = next.when;
      next.run();
    }
    now_ = end;
  }

  double uniform(double low, double high) {
    return std::uniform_real_distribution<double>(low, high)(random_);
  }
  /// Rows in force in some shards as the platform stores them.
  std::map<id128, claim_row> stored_rows(std::uint32_t first, std::uint32_t last) const {
    std::map<id128, claim_row> rows;
    for (std::uint32_t shard = first; shard <= last; ++shard) {
      const std::string prefix = "claims/" + std::to_string(shard) + "/";
      const auto head = objects_.find(prefix + "head");
      if (head == objects_.end() || !head->second.exists) {
        continue;
      }
      const shard_content content = decode(head->second.content).value();
      largest_head = std::max(largest_head, head->second.content.size());
      for (const segment_reference& it : content.segments) {
        const auto segment = objects_.find(prefix + to_string(it.id));
        if (segment == objects_.end() || !segment->second.exists) {
          ++missing_segments;
          continue;
        }
        const shard_content sealed = decode(segment->second.content).value();
        for (const claim_row& row : sealed.rows) {
          rows[row.operation] = row;
        }
      }
      for (const claim_row& row : content.rows) {
        rows[row.operation] = row;
      }
    }
    return rows;
  }
  std::size_t segments_stored() const {
    std::size_t result = 0;
    for (const auto& [name, it] : objects_) {
      result += it.exists && name.find("/head") == std::string::npos ? 1 : 0;
    }
    return result;
  }

  // Faults of the system under test.
  std::uint64_t double_grants = 0;
  std::uint64_t grants_without_row = 0;
  std::uint64_t runs_without_finish = 0;
  std::uint64_t grants_after_finish = 0;
  mutable std::uint64_t missing_segments = 0;
  // Facts about the run.
  std::uint64_t granted = 0;
  std::uint64_t granted_again = 0;
  std::uint64_t released = 0;
  std::uint64_t finished = 0;
  std::uint64_t already_run = 0;
  std::uint64_t already_claimed = 0;
  std::uint64_t unavailable = 0;
  std::uint64_t head_writes = 0;
  mutable std::size_t largest_head = 0;
  double longest_wait = 0;
  /// Operations whose claim is in force for a request that was never granted.
  std::uint64_t stuck() const {
    std::uint64_t result = 0;
    for (const auto& [operation, row] : stored_rows(0, plan_.options.shards - 1)) {
      result += row.state == row_state::claimed && !ever_granted_.contains(row.request) ? 1 : 0;
    }
    return result;
  }

 private:
  struct event {
    double when = 0;
    std::uint64_t order = 0;
    std::function<void()> run;
    bool operator>(const event& other) const {
      return std::pair(when, order) > std::pair(other.when, other.order);
    }
  };
  struct stored_object {
    std::uint64_t version = 0;
    std::string content;
    bool exists = false;
  };
  struct writer_state {
    std::unique_ptr<claim_writer> writes;
    std::uint64_t process = 0;
  };
  struct requester {
    id128 operation;
    id128 request;
    double started = 0;
    int attempts = 0;
    bool active = true;
  };

  claim_plan plan_;
  std::mt19937_64 random_;
  double now_ = 0;
  std::uint64_t order_ = 0;
  double outage_until_ = 0;
  std::priority_queue<event, std::vector<event>, std::greater<>> events_;
  std::map<std::string, stored_object> objects_;
  std::vector<writer_state> writers_;
  std::vector<requester> requesters_;
  std::map<id128, id128> holders_;
  std::set<id128> given_up_;
  std::set<id128> ever_granted_;
  std::set<id128> finish_sent_;
  std::set<id128> finish_stored_;

  bool chance(double probability) { return uniform(0, 1) < probability; }
  void at(double when, std::function<void()> run) {
    events_.push({std::max(when, now_), ++order_, std::move(run)});
  }
  time_point local() const {
    return time_point{
        std::chrono::duration_cast<duration>(std::chrono::duration<double>(1'000 + now_))};
  }
  unix_milliseconds wall() const {
    return 1'700'000'000'000 + static_cast<unix_milliseconds>(now_ * 1'000);
  }

  void restart(std::uint32_t index) {
    ++writers_[index].process;
    if (writers_[index].writes && chance(0.3)) {
      writers_[index].writes->reset();
    } else {
      writers_[index].writes = std::make_unique<claim_writer>(plan_.options, random_());
    }
  }
  void fault() {
    const double period = 0.05;
    if (chance(plan_.faults.restarts * period)) {
      restart(static_cast<std::uint32_t>(random_() % writers_.size()));
    }
    if (chance(plan_.faults.outages * period)) {
      outage_until_ = now_ + uniform(0.05, 1.5);
    }
    at(now_ + period, [this] { fault(); });
  }
  void tick(std::uint32_t index) {
    apply(index, writers_[index].writes->tick(local(), wall()));
    at(now_ + 0.010, [this, index] { tick(index); });
  }
  void apply(std::uint32_t index, claim_writer::effects effects) {
    for (platform::requested_call& it : effects.calls) {
      ask_platform(index, std::move(it));
    }
    for (wire::outgoing& it : effects.messages) {
      observe(it);
      // A requester's number is its port.
      carry([this, it] { on_reply(it.to.port, it.body); });
    }
  }
  void carry(const std::function<void()>& arrive) {
    const int copies = chance(plan_.faults.lost) ? 0 : chance(plan_.faults.repeated) ? 2 : 1;
    for (int it = 0; it < copies; ++it) {
      at(now_ + (chance(plan_.faults.delayed) ? uniform(0.01, 1.5) : uniform(0.0002, 0.002)),
         arrive);
    }
  }

  // The platform.

  platform::answer execute(const platform::call& what) {
    if (const auto* read = std::get_if<platform::read>(&what)) {
      const stored_object& it = objects_[read->name];
      if (!it.exists) {
        return platform::absent{};
      }
      return platform::found{{read->name, it.version, it.content}};
    }
    if (const auto* write = std::get_if<platform::write>(&what)) {
      stored_object& it = objects_[write->name];
      if ((it.exists ? it.version : 0) != write->expected_version) {
        const bool current = it.exists && chance(0.5);
        return platform::conflict{current ? platform::object{write->name, it.version, it.content}
                                          : platform::object{}};
      }
      head_writes += write->name.ends_with("/head") ? 1 : 0;
      it = {it.version + 1, write->content, true};
      return platform::found{{write->name, it.version, it.content}};
    }
    const auto& erase = std::get<platform::erase>(what);
    stored_object& it = objects_[erase.name];
    if (!it.exists || it.version != erase.expected_version) {
      return platform::conflict{};
    }
    it = {it.version + 1, "", false};
    return platform::absent{};
  }
  void ask_platform(std::uint32_t index, platform::requested_call asked) {
    const bool is_read = std::holds_alternative<platform::read>(asked.what);
    const double there = chance(plan_.faults.slow) ? uniform(0.01, 0.8) : uniform(0.001, 0.004);
    const double back = uniform(0.001, 0.004);
    if (now_ < outage_until_ || chance(plan_.faults.refused)) {
      answer(index, asked.tag, back, platform::unavailable{"refused", milliseconds{5}});
      return;
    }
    if (!is_read && chance(plan_.faults.effect_late)) {
      answer(index, asked.tag, uniform(0.01, 0.3), platform::unresolved{"no answer"});
      at(now_ + uniform(0.01, 2), [this, what = asked.what] { execute(what); });
      return;
    }
    at(now_ + there, [this, index, asked, back, is_read] {
      const platform::answer result = execute(asked.what);
      if (chance(plan_.faults.answer_lost)) {
        answer(index, asked.tag, back + 0.05,
               is_read ? platform::answer{platform::unavailable{"no answer", milliseconds{0}}}
                       : platform::answer{platform::unresolved{"no answer"}});
      } else {
        answer(index, asked.tag, back, result);
      }
    });
  }
  void answer(std::uint32_t index, std::uint64_t tag, double delay, platform::answer result) {
    at(now_ + delay, [this, index, tag, process = writers_[index].process, result] {
      if (writers_[index].process == process) {
        apply(index, writers_[index].writes->on_answer(local(), wall(), tag, result));
      }
    });
  }

  // The requesters.

  void to_writer(std::size_t requester_index, std::uint32_t writer, const wire::message& body) {
    carry([this, requester_index, writer, body] {
      const wire::incoming in{"node", {"", static_cast<std::uint16_t>(requester_index)}, body};
      apply(writer, writers_[writer].writes->receive(local(), wall(), in));
    });
  }
  std::uint32_t writer_for(const requester& it, int attempt_number) const {
    return (home_of(shard_of(it.operation, plan_.options.shards), plan_.writers) +
            static_cast<std::uint32_t>(attempt_number)) %
           plan_.writers;
  }
  void attempt(std::size_t index) {
    requester& it = requesters_[index];
    if (!it.active) {
      return;
    }
    if (it.attempts == 0) {
      it.started = now_;
    }
    if (it.attempts >= 4) {
      give_up(index);
      return;
    }
    wire::claim_request body;
    body.sequence = static_cast<std::uint64_t>(it.attempts);
    body.operation = it.operation;
    body.body_hash = 7;
    body.request = it.request;
    to_writer(index, writer_for(it, it.attempts / 2), body);
    ++it.attempts;
    at(now_ + uniform(0.1, 0.5), [this, index, made = it.attempts] {
      if (requesters_[index].attempts == made) {
        attempt(index);
      }
    });
  }
  /// Nothing was run and nothing will be.
  void give_up(std::size_t index) {
    requester& it = requesters_[index];
    it.active = false;
    given_up_.insert(it.request);
    const auto held = holders_.find(it.operation);
    if (held != holders_.end() && held->second == it.request) {
      holders_.erase(held);
    }
    if (chance(0.7)) {
      ++released;
      send_end(index, true);
    }
  }
  void send_end(std::size_t index, bool is_release) {
    const requester& it = requesters_[index];
    wire::claim_finish body;
    body.operation = it.operation;
    body.request = it.request;
    body.released = is_release;
    body.status = 200;
    body.answer = "done";
    body.answer_kept = true;
    to_writer(index, writer_for(it, static_cast<int>(random_() % plan_.writers)), body);
  }
  void on_reply(std::size_t index, const wire::message& body) {
    const auto* reply = std::get_if<wire::claim_reply>(&body);
    requester& it = requesters_[index];
    if (reply == nullptr || !it.active) {
      return;
    }
    if (reply->decision == wire::claim_decision::granted) {
      it.active = false;
      longest_wait = std::max(longest_wait, now_ - it.started);
      const double choice = uniform(0, 1);
      if (choice < 0.4) {
        at(now_ + uniform(0, 0.3), [this, index] {
          finish_sent_.insert(requesters_[index].operation);
          ++finished;
          send_end(index, false);
        });
      } else if (choice < 0.8) {
        at(now_ + uniform(0, 0.3), [this, index] { give_up(index); });
      }
      // Otherwise the holder vanishes.
    } else if (reply->decision != wire::claim_decision::unavailable &&
               reply->decision != wire::claim_decision::not_writer) {
      it.active = false;
    } else if (chance(0.3)) {
      give_up(index);
    }
  }

  /// The oracle: looks at each reply when the writer decides on it.
  void observe(const wire::outgoing& out) {
    if (const auto* stored = std::get_if<wire::claim_finish_reply>(&out.body)) {
      const requester& it = requesters_[out.to.port];
      if (stored->stored && finish_sent_.contains(it.operation) &&
          !given_up_.contains(it.request)) {
        finish_stored_.insert(it.operation);
      }
      return;
    }
    const auto& reply = std::get<wire::claim_reply>(out.body);
    const id128 request = requesters_[out.to.port].request;
    already_claimed += reply.decision == wire::claim_decision::already_claimed ? 1 : 0;
    unavailable += reply.decision == wire::claim_decision::unavailable ? 1 : 0;
    if (reply.decision == wire::claim_decision::already_run) {
      ++already_run;
      runs_without_finish += finish_sent_.contains(reply.operation) ? 0 : 1;
    }
    if (reply.decision != wire::claim_decision::granted) {
      return;
    }
    ever_granted_.insert(request);
    if (given_up_.contains(request)) {
      return;
    }
    const auto [it, first] = holders_.try_emplace(reply.operation, request);
    (first ? granted : granted_again) += 1;
    double_grants += it->second == request ? 0 : 1;
    grants_after_finish += finish_stored_.contains(reply.operation) ? 1 : 0;
    const std::uint32_t shard = shard_of(reply.operation, plan_.options.shards);
    const std::map<id128, claim_row> rows = stored_rows(shard, shard);
    const auto row = rows.find(reply.operation);
    grants_without_row += row == rows.end() || row->second.request != request ||
                                  row->second.state == row_state::released
                              ? 1
                              : 0;
  }
};

} // namespace damaskledge::claims
