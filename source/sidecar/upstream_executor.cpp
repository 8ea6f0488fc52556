#include "sidecar/upstream_executor.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace damaskledge::sidecar {

namespace {

using fleet::answer_frame;
using fleet::call_result;

/// Weight of the newest request in the mean time of a slot.
constexpr double held_smoothing = 0.02;
/// Less time than this is not worth sending: the target would only see it expire.
constexpr milliseconds min_time_left{5};
/// Answers to earlier requests that are skipped on one connection before it is given up.
constexpr int max_stray_answers = 2;
/// Silence is unusual after this many times the mean time of a request.
constexpr double silence_factor = 3;
/// Shortest wait that a refused caller is told.
constexpr milliseconds min_retry_after{50};
/// While the target warms up, this part of its slots is used.
constexpr double warming_slot_use = 0.6;
/// Smallest change of the limit that the target names, as a part of it, that is logged.
constexpr double logged_limit_change = 0.1;
/// A closed socket resets bytes that reach it within a round trip; the target is on the same VM.
constexpr milliseconds target_reset_wait{100};
const http::message_limits answer_limits{64UL * 1024UL, 32UL * 1024UL * 1024UL};

} // namespace

std::string_view to_string(target_state state) {
  switch (state) {
  case target_state::unknown:
    return "unknown";
  case target_state::ready:
    return "ready";
  case target_state::leaving:
    return "leaving";
  case target_state::unreachable:
    return "unreachable";
  }
  return "invalid";
}

struct upstream_executor::connection {
  std::uint64_t id = 0;
  std::unique_ptr<event::stream> stream;
  http::response_reader reader{answer_limits};
  /// The call under way; its id is 0 when the connection is idle.
  queued_call current;
  time_point started{};
  time_point connect_by{};
  time_point idle_until{};
  bool reusable = true;
  /// Target to which the request was sent.
  std::string instance;
  bool request_sent = false;
  int stray_answers = 0;
  /// Bytes of the unfinished answer.
  std::size_t kept_bytes = 0;
  /// The caller has left, nobody waits for the answer.
  bool abandoned = false;
};

upstream_executor::upstream_executor(event::loop& loop, executor_options options, event_log& log,
                                     admission::crash_table& crashes,
                                     std::function<void()> state_changed)
    : loop_(loop), options_(std::move(options)), log_(log), crashes_(crashes),
      state_changed_(std::move(state_changed)) {}

upstream_executor::~upstream_executor() = default;

void upstream_executor::set_state(target_state state, const std::string& why) {
  if (state == state_) {
    return;
  }
  log_.state(log_line("target_state")
                 .field("instance", identity_.instance())
                 .field("from", to_string(state_))
                 .field("to", to_string(state))
                 .field("why", why));
  state_ = state;
  state_changed_();
}

void upstream_executor::announced(const adapter::target_announcement& value) {
  const auto log_ignored = [&](std::string_view why) {
    log_.state(log_line("announcement_ignored")
                   .field("instance", value.instance)
                   .field("why", why)
                   .field("sequence", static_cast<std::int64_t>(value.sequence)));
  };
  if (value.service != options_.service || value.address != options_.target) {
    log_ignored("another service or address");
    return;
  }
  const std::string before = identity_.instance();
  const auto change = identity_.announced(now(), value);
  if (change == target_identity::change::none) {
    log_ignored("older than known");
    return;
  }
  if (change == target_identity::change::other_start) {
    rate_limit_.reset();
    log_limit();
  }
  if (value.instance != before) {
    for (const std::uint64_t it : std::vector<std::uint64_t>(idle_)) {
      drop_connection(it, false);
    }
  }
  slots_ = value.slots;
  warm_at_ = loop_.now() + value.warming_up;
  if (identity_.leaving() && !value.leaving) {
    log_ignored("from before the leave");
  }
  set_state(identity_.leaving() ? target_state::leaving : target_state::ready, "announced");
  start_queued();
}

bool upstream_executor::farewell(const std::string& instance) {
  if (!identity_.leaves(now(), instance)) {
    log_.state(log_line("farewell_ignored")
                   .field("instance", instance)
                   .field("known", identity_.instance()));
    return false;
  }
  set_state(target_state::leaving, "farewell");
  return true;
}

void upstream_executor::recalled(const adapter::leave_record& record) {
  if (identity_.recalled(now(), record)) {
    set_state(target_state::leaving, "recorded leave");
  }
}

void upstream_executor::identified(const std::string& instance) {
  if (identity_.identified(instance)) {
    set_state(target_state::ready, "health check");
  }
}

std::size_t upstream_executor::concurrency_limit() const {
  const std::uint32_t slots = slots_ == 0 ? options_.default_slots : slots_;
  const double part = loop_.now() < warm_at_ ? warming_slot_use : options_.slot_use;
  return std::max<std::size_t>(1, static_cast<std::size_t>(part * slots));
}

bool upstream_executor::may_start() {
  const bool await_answer =
      !answered_ && (!first_sent_ || loop_.now() - *first_sent_ < options_.first_answer_wait);
  const std::size_t allowed = await_answer
                                  ? std::min(concurrency_limit(), options_.requests_before_answer)
                                  : concurrency_limit();
  return running_.size() < allowed && rate_limit_.may_send(loop_.now());
}

fleet::target_status upstream_executor::status() const {
  fleet::target_status result;
  result.service = options_.service;
  result.instance = identity_.instance();
  result.ready = state_ == target_state::ready;
  result.slots =
      static_cast<std::uint32_t>(rate_limit_.usable_slots(concurrency_limit(), mean_held_s_));
  result.in_flight = static_cast<std::uint32_t>(running_.size());
  result.queued = static_cast<std::uint32_t>(queue_.size());
  result.slowness = static_cast<float>(slowness_ * failures_.penalty());
  return result;
}

answer_frame upstream_executor::make_answer(call_result result, std::string reason,
                                            bool reached) const {
  answer_frame answer;
  answer.result = static_cast<std::uint8_t>(result);
  answer.reason = std::move(reason);
  answer.reached_target = reached;
  answer.in_flight = static_cast<std::uint32_t>(running_.size());
  answer.queued = static_cast<std::uint32_t>(queue_.size());
  return answer;
}

void upstream_executor::refuse(queued_call& call, const std::string& reason, bool reached,
                               duration retry_after) {
  auto answer = make_answer(call_result::not_run, reason, reached);
  answer.retry_after_ms = static_cast<std::uint32_t>(
      std::max(min_retry_after, std::chrono::ceil<milliseconds>(retry_after)).count());
  auto done = std::move(call.done);
  done(std::move(answer));
}

duration upstream_executor::expected_wait(const queue_key& before) const {
  const auto ahead =
      static_cast<std::size_t>(std::distance(queue_.begin(), queue_.lower_bound(before)) + 1);
  const auto for_slot = std::chrono::duration_cast<duration>(std::chrono::duration<double>(
      static_cast<double>(ahead) * mean_held_s_ / static_cast<double>(concurrency_limit())));
  return std::max(for_slot, rate_limit_.expected_wait(ahead));
}

upstream_executor::call_id upstream_executor::submit(upstream_call call, completion done) {
  queued_call queued;
  queued.id = next_id_++;
  queued.call = std::move(call);
  queued.done = std::move(done);
  queued.queued = loop_.now();
  const call_id id = queued.id;
  if (state_ != target_state::ready) {
    refuse(queued, std::string("target ") + std::string(to_string(state_)), false,
           milliseconds(500));
    return id;
  }
  if (queue_.empty() && may_start()) {
    start(std::move(queued));
    return id;
  }
  const queue_key key{!queued.call.inner, queued.call.priority, id};
  const double part = queued.call.inner ? options_.inner_wait : options_.caller_wait;
  const auto left = queued.call.deadline - loop_.now();
  auto allowed = std::chrono::duration_cast<duration>(queued.call.objective * part);
  allowed = std::min(allowed, left / 2);
  const duration wait = expected_wait(key);
  if (wait > allowed) {
    refuse(queued, "queue full", false, wait);
    return id;
  }
  queued.give_up = loop_.now() + allowed;
  queue_index_.emplace(id, key);
  queue_.emplace(key, std::move(queued));
  return id;
}

bool upstream_executor::runs_queued() const {
  if (const auto& since = identity_.leaving_since(); state_ == target_state::leaving && since) {
    return loop_.now() - since->steady < options_.drain_limit / 2;
  }
  return state_ == target_state::ready;
}

void upstream_executor::start_queued() {
  while (!queue_.empty()) {
    const bool usable = runs_queued();
    if (usable && !may_start()) {
      return;
    }
    auto node = queue_.extract(queue_.begin());
    queue_index_.erase(node.mapped().id);
    if (usable) {
      start(std::move(node.mapped()));
    } else {
      refuse(node.mapped(), std::string("target ") + std::string(to_string(state_)), false,
             milliseconds(500));
    }
  }
}

void upstream_executor::start(queued_call call) {
  if (call.call.deadline - loop_.now() < min_time_left) {
    refuse(call, "no time left", false, duration::zero());
    return;
  }
  while (!idle_.empty()) {
    connection& it = *connections_.at(idle_.back());
    if (!it.stream->closed() && !it.stream->peer_ended() && it.idle_until > loop_.now()) {
      idle_.pop_back();
      send(it, std::move(call));
      return;
    }
    drop_connection(idle_.back(), false);
  }
  const std::uint64_t id = next_id_++;
  auto fresh = std::make_unique<connection>();
  fresh->id = id;
  event::stream_options options;
  options.silence_timeout = milliseconds(3'000);
  options.reset_wait = target_reset_wait;
  fresh->stream = std::make_unique<event::stream>(loop_, options_.target, options);
  fresh->stream->handle({
      .on_connected = {},
      .on_data = [this, id] { on_data(id); },
      .on_closed = [this, id](event::close_reason reason) { on_closed(id, reason); },
  });
  fresh->connect_by = loop_.now() + options_.connect_timeout;
  connection& stored = *fresh;
  connections_.emplace(id, std::move(fresh));
  send(stored, std::move(call));
}

void upstream_executor::send(connection& to, queued_call call) {
  const auto left = std::chrono::floor<milliseconds>(call.call.deadline - loop_.now());
  std::string wire = std::move(call.call.head);
  call.call.head.clear();
  wire += adapter::header::time_left;
  wire += ": " + std::to_string(left.count()) + "\r\n";
  if (!identity_.instance().empty()) {
    wire += adapter::header::expected_instance;
    wire += ": " + identity_.instance() + "\r\n";
  }
  const bool bodiless = wire.rfind("GET ", 0) == 0 || wire.rfind("HEAD ", 0) == 0;
  if (!bodiless || !call.call.body.empty()) {
    wire += "Content-Length: " + std::to_string(call.call.body.size()) + "\r\n";
  }
  wire += "\r\n";
  wire += call.call.body;
  rate_limit_.sent(loop_.now());
  first_sent_ = first_sent_.value_or(loop_.now());
  running_.emplace(call.id, to.id);
  if (running_.size() == 1) {
    last_sign_of_life_ = loop_.now();
  }
  observer_.run_started(loop_.now(), call.call.route);
  if (call.call.repeat) {
    repeats_.repeat_started(loop_.now(), call.call.route);
  }
  crashes_.started(loop_.now(), call.call.fingerprint, identity_.instance());
  to.instance = identity_.instance();
  to.started = loop_.now();
  to.abandoned = false;
  to.request_sent = true;
  to.reader.start(wire.rfind("HEAD ", 0) == 0);
  to.current = std::move(call);
  to.stream->send(wire);
}

void upstream_executor::on_data(std::uint64_t connection_id) {
  const auto found = connections_.find(connection_id);
  if (found == connections_.end()) {
    return;
  }
  connection& it = *found->second;
  last_sign_of_life_ = loop_.now();
  if (it.current.id == 0) {
    // Bytes that belong to no request.
    drop_connection(connection_id, false);
    return;
  }
  while (true) {
    const bool in_body = it.reader.state() == http::read_state::body;
    const auto state = it.reader.feed(it.stream->input());
    if (state == http::read_state::failed) {
      it.reusable = false;
      finish(it, make_answer(call_result::unknown, "malformed answer", true));
      return;
    }
    if (state == http::read_state::body && !in_body && !may_belong(it)) {
      it.reusable = false;
      finish(it, make_answer(call_result::unknown, "answer without identity", true));
      return;
    }
    if (state != http::read_state::complete) {
      count_answer_bytes(it, it.reader.message().body.size());
      limit_answer_bytes();
      return;
    }
    count_answer_bytes(it, 0);
    const std::string* id = it.reader.message().fields.find(adapter::header::request_id);
    if (id == nullptr || *id == it.current.call.request_id ||
        it.stray_answers >= max_stray_answers) {
      complete(it);
      return;
    }
    // A late second answer to an earlier request; the answer to this one may still follow.
    ++it.stray_answers;
    it.reusable = false;
    it.reader.start(false);
  }
}

bool upstream_executor::may_belong(connection& from) {
  // Checked before the body has arrived, since a body that belongs to no request may have no end.
  const auto& message = from.reader.message();
  const auto& fields = message.fields;
  const std::string* id = fields.find(adapter::header::request_id);
  const bool other_request = id != nullptr && *id != from.current.call.request_id;
  const bool refusal = message.status == 421 || fields.find(adapter::header::not_run) != nullptr;
  const bool signed_answer =
      id != nullptr && fields.find(adapter::header::answer_signature) != nullptr;
  return refusal || signed_answer || (other_request && from.stray_answers < max_stray_answers);
}

void upstream_executor::count_answer_bytes(connection& from, std::size_t n) {
  answer_bytes_ += n - from.kept_bytes;
  from.kept_bytes = n;
}

void upstream_executor::limit_answer_bytes() {
  while (answer_bytes_ > options_.answer_bytes) {
    const auto largest = std::max_element(
        connections_.begin(), connections_.end(),
        [](const auto& a, const auto& b) { return a.second->kept_bytes < b.second->kept_bytes; });
    connection& it = *largest->second;
    log_.state(log_line("answer_too_large")
                   .field("request", it.current.call.request_id)
                   .field("route", it.current.call.route)
                   .field("instance", it.instance)
                   .field("bytes", static_cast<std::int64_t>(it.kept_bytes)));
    it.reusable = false;
    finish(it, make_answer(call_result::unknown, "answer too large", true));
  }
}

void upstream_executor::apply_notice(const connection& from, const adapter::target_notice& notice) {
  if (from.instance != identity_.instance()) {
    return;
  }
  answered_ = true;
  if (notice.malformed_limit) {
    log_.request(log_line("target_limit_malformed")
                     .field("instance", identity_.instance())
                     .field("request", from.current.call.request_id));
  } else if (rate_limit_.answered(loop_.now(), from.started, notice.requests_per_s)) {
    log_limit();
  }
  if (notice.leaving && identity_.leaves(now(), from.instance)) {
    set_state(target_state::leaving, "answer");
  }
}

void upstream_executor::log_limit() {
  const auto limit = rate_limit_.limit();
  const bool similar = limit && logged_limit_ &&
                       std::abs(*limit - *logged_limit_) < *logged_limit_ * logged_limit_change;
  if (similar || limit == logged_limit_) {
    return;
  }
  logged_limit_ = limit;
  log_line line("target_limit");
  line.field("instance", identity_.instance());
  if (limit) {
    line.field("requests_per_s", std::to_string(*limit));
  } else {
    line.field("lifted", 1);
  }
  log_.state(line);
}

void upstream_executor::complete(connection& from) {
  auto& message = from.reader.message();
  from.reusable = from.reusable && message.keep_alive && !from.reader.until_close() &&
                  from.stream->input().empty() && from.stream->unsent() == 0;
  from.idle_until = loop_.now() + options_.default_keep_alive;
  if (const auto timeout = http::keep_alive_timeout(message.fields)) {
    from.idle_until = loop_.now() + *timeout - options_.keep_alive_margin;
  }
  const auto& fields = message.fields;
  const std::string* id = fields.find(adapter::header::request_id);
  const bool not_run = message.status == 421 || fields.find(adapter::header::not_run) != nullptr;
  const bool own = id != nullptr && *id == from.current.call.request_id;
  if (own && message.status != 421) {
    apply_notice(from, adapter::read_notice(fields));
  }
  if (not_run) {
    if (message.status == 421) {
      target_lost("another target has the address");
    }
    auto answer = make_answer(call_result::not_run, "refused by target", true);
    answer.status = static_cast<std::uint32_t>(message.status);
    finish(from, std::move(answer));
    return;
  }
  const bool whole = own && fields.find(adapter::header::answer_signature) != nullptr &&
                     fields.find("Content-Encoding") == nullptr;
  if (!whole) {
    from.reusable = false;
    finish(from, make_answer(call_result::unknown, "answer without identity", true));
    return;
  }
  auto answer = make_answer(call_result::answered, "", true);
  answer.status = static_cast<std::uint32_t>(message.status);
  http::remove_connection_fields(message.fields);
  answer.head = http::serialize_head(message);
  answer.body = std::move(message.body);
  finish(from, std::move(answer));
}

void upstream_executor::finish(connection& from, answer_frame result) {
  const duration held = loop_.now() - from.started;
  count_answer_bytes(from, 0);
  auto call = std::move(from.current);
  from.current = {};
  running_.erase(call.id);
  observer_.run_ended(loop_.now(), call.call.route);
  from.reader.start(false);
  constexpr std::uint32_t first_error_status = 500;
  const auto outcome = static_cast<call_result>(result.result);
  if (!from.abandoned && outcome != call_result::not_run) {
    failures_.ended(outcome == call_result::unknown || result.status >= first_error_status);
  }
  if (outcome == call_result::answered) {
    crashes_.answered(loop_.now(), call.call.fingerprint, from.instance);
    mean_held_s_ += (std::chrono::duration<double>(held).count() - mean_held_s_) * held_smoothing;
    observer_.run_answered(call.call.route, options_.service, held);
  } else {
    // Has no effect on an attempt that was already recorded as broken.
    crashes_.abandoned(call.call.fingerprint, from.instance);
  }
  result.in_flight = static_cast<std::uint32_t>(running_.size());
  result.queued = static_cast<std::uint32_t>(queue_.size());
  if (from.reusable && !from.stream->closed()) {
    idle_.push_back(from.id);
  } else {
    drop_connection(from.id, false);
  }
  if (!from.abandoned && call.done) {
    call.done(std::move(result));
  }
  start_queued();
}

void upstream_executor::on_closed(std::uint64_t connection_id, event::close_reason reason) {
  const auto found = connections_.find(connection_id);
  if (found == connections_.end()) {
    return;
  }
  connection& it = *found->second;
  if (it.current.id == 0) {
    drop_connection(connection_id, false);
    return;
  }
  it.reusable = false;
  if (reason == event::close_reason::connect_failed) {
    // No byte of the request has left.
    target_lost("connection refused");
    finish(it, make_answer(call_result::not_run, "connection refused", false));
    return;
  }
  if (reason == event::close_reason::end_of_stream &&
      it.reader.end_of_stream() == http::read_state::complete) {
    complete(it);
    return;
  }
  crashes_.broken(loop_.now(), it.current.call.fingerprint, it.instance, false);
  finish(it, make_answer(call_result::unknown, "connection ended before the answer", true));
  check_target();
}

void upstream_executor::drop_connection(std::uint64_t id, bool abort) {
  const auto found = connections_.find(id);
  if (found == connections_.end()) {
    return;
  }
  std::erase(idle_, id);
  found->second->stream->close(abort);
  loop_.defer([old = std::shared_ptr<connection>(std::move(found->second))] {});
  connections_.erase(found);
}

void upstream_executor::target_lost(const std::string& why) {
  crashes_.died(loop_.now(), identity_.instance());
  if (state_ == target_state::ready) {
    set_state(target_state::unreachable, why);
  }
  for (const std::uint64_t it : std::vector<std::uint64_t>(idle_)) {
    drop_connection(it, false);
  }
  start_queued();
}

void upstream_executor::cancel(call_id id) {
  if (const auto queued = queue_index_.find(id); queued != queue_index_.end()) {
    queue_.erase(queued->second);
    queue_index_.erase(queued);
    return;
  }
  const auto running = running_.find(id);
  if (running == running_.end()) {
    return;
  }
  connection& it = *connections_.at(running->second);
  it.abandoned = true;
  if (it.current.call.idempotent) {
    it.reusable = false;
    finish(it, make_answer(call_result::unknown, "caller left", true));
  }
}

void upstream_executor::check_target() {
  if (check_ || state_ != target_state::ready) {
    return;
  }
  check_started_ = loop_.now();
  check_ = std::make_unique<event::stream>(loop_, options_.target, event::stream_options{});
  const auto end_check = [this] {
    loop_.defer([old = std::shared_ptr<event::stream>(std::move(check_))] { old->close(); });
  };
  check_->handle({
      .on_connected =
          [this, end_check] {
            last_sign_of_life_ = loop_.now();
            end_check();
          },
      .on_data = {},
      .on_closed =
          [this, end_check](event::close_reason) {
            end_check();
            target_lost("check refused");
          },
  });
}

void upstream_executor::tick() {
  const time_point now = loop_.now();
  for (auto it = queue_.begin(); it != queue_.end();) {
    if (it->second.give_up > now) {
      ++it;
      continue;
    }
    auto expired = queue_.extract(it++);
    queue_index_.erase(expired.mapped().id);
    refuse(expired.mapped(), "waited too long", false, expected_wait(expired.key()));
  }
  // No answer may come at the time at which the limit of the target allows the next request.
  start_queued();
  std::vector<std::uint64_t> failed;
  for (const auto& [id, it] : connections_) {
    if (it->current.id != 0 && !it->stream->connected() && now >= it->connect_by) {
      failed.push_back(id);
    }
  }
  for (const std::uint64_t id : failed) {
    if (const auto found = connections_.find(id); found != connections_.end()) {
      connection& it = *found->second;
      it.reusable = false;
      it.stream->close(true);
      target_lost("connections go unanswered");
      finish(it, make_answer(call_result::not_run, "connection not answered", false));
    }
  }
  std::vector<std::uint64_t> overdue;
  for (const auto& [id, it] : connections_) {
    if (it->current.id != 0 && it->abandoned &&
        now > it->current.call.deadline + options_.abandoned_grace) {
      overdue.push_back(id);
    }
  }
  for (const std::uint64_t id : overdue) {
    if (const auto found = connections_.find(id); found != connections_.end()) {
      found->second->reusable = false;
      finish(*found->second, make_answer(call_result::unknown, "no answer by the deadline", true));
    }
  }
  if (check_ && now - check_started_ > options_.connect_timeout) {
    loop_.defer([old = std::shared_ptr<event::stream>(std::move(check_))] { old->close(); });
    target_lost("check unanswered");
    // Nothing sent to a dead target is answered; callers can repeat elsewhere at once.
    std::vector<std::uint64_t> dead;
    for (const auto& [id, call] : running_) {
      dead.push_back(call);
    }
    for (const std::uint64_t id : dead) {
      if (const auto found = connections_.find(id); found != connections_.end()) {
        found->second->reusable = false;
        finish(*found->second, make_answer(call_result::unknown, "target is silent", true));
      }
    }
  }
  const auto usual = std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(mean_held_s_ * silence_factor));
  if (!running_.empty() &&
      now - last_sign_of_life_ > std::max<duration>(options_.silence_before_check, usual)) {
    check_target();
  }
  while (!idle_.empty() && connections_.at(idle_.front())->idle_until <= now) {
    drop_connection(idle_.front(), false);
  }
}

} // namespace damaskledge::sidecar
