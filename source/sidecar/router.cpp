#include "sidecar/router.h"

#include <algorithm>
#include <cstdio>

#include "platform/adapter.h"

namespace damaskledge::sidecar {

namespace {

using fleet::answer_frame;
using fleet::call_result;

/// Default Retry-After value.
constexpr milliseconds default_retry_after{300};
/// Retry-After value while the node has no configuration yet or is shutting down.
constexpr milliseconds startup_retry_after{200};
/// Retry-After value when entry admission refuses: overload lasts longer than a full queue.
constexpr milliseconds overload_retry_after{800};
/// Retry-After value for a request that has crashed several targets.
constexpr milliseconds crash_retry_after{10'000};
/// A refused request that arrives again within this time counts as a retry by the caller. The time
/// covers the overload Retry-After value and as much again for the transfer.
constexpr milliseconds caller_retry_window{2'000};
/// Maximum number of refused requests remembered; all are discarded when it is reached.
constexpr std::size_t max_refused = 4'096;
/// A request is not retried with less than this time left before its deadline.
constexpr milliseconds min_time_to_retry{20};

std::string format_seconds(milliseconds value) {
  char text[32];
  std::snprintf(text, sizeof(text), "%.3f", static_cast<double>(value.count()) / 1'000);
  return text;
}

std::string_view host_of(std::string_view value) {
  return value.substr(0, value.find(':'));
}

std::string_view path_of(std::string_view target) {
  return target.substr(0, target.find('?'));
}

} // namespace

struct router::exchange {
  request_handle caller = 0;
  /// Owns the route and the account; keeps them alive when a newer configuration is applied.
  std::shared_ptr<const traffic::configuration> configuration;
  const traffic::route* route = nullptr;
  const traffic::account* account = nullptr;
  std::string request_id;
  std::string method;
  std::string service;
  std::string head;
  std::string body;
  unsigned priority = 0;
  /// The request is a call that the target of this VM made while it ran another request.
  bool inner = false;
  /// The request was sent before, or a repeated run of the target made it.
  bool repeat = false;
  id128 fingerprint;
  time_point arrived{};
  /// Time limit for the answer: the caller's deadline or the route's timeout, whichever is earlier.
  time_point answer_by{};
  event::timer_id timer = 0;
  std::set<std::string> tried;
  /// Number of targets at which the request may have run.
  unsigned runs = 0;
  bool reached_target = false;
  /// Node of the latest call; empty for the target of this VM.
  std::string node;
  std::uint64_t call = 0;
  bool under_way = false;
};

router::router(event::loop& loop, router_options options, http_service& callers,
               fleet::network& nodes, upstream_executor& target, traffic::account_rates& rates,
               traffic::retry_budget& budget, traffic::entry_admission& admission,
               traffic::demand_meter& demand, const admission::crash_table& crashes, event_log& log,
               instruments& counters)
    : loop_(loop), options_(std::move(options)), callers_(callers), nodes_(nodes), target_(target),
      rates_(rates), budget_(budget), admission_(admission), demand_(demand), crashes_(crashes),
      log_(log), counters_(counters),
      chooser_({}, static_cast<std::uint32_t>(hash64(options_.node))) {}

router::~router() {
  for (const auto& [caller, it] : exchanges_) {
    loop_.cancel(it->timer);
  }
}

void router::on_request(request_handle caller, http::request& message) {
  auto owned = std::make_unique<exchange>();
  exchange& it = *owned;
  it.caller = caller;
  it.arrived = loop_.now();
  it.answer_by = it.arrived;
  it.configuration = configuration_;
  exchanges_.emplace(caller, std::move(owned));
  const std::string* id = message.fields.find(adapter::header::request_id);
  it.request_id = id == nullptr ? "" : *id;
  it.method = message.method;
  if (closed_) {
    refuse(it, 503, "shutting down", startup_retry_after);
    return;
  }
  if (!it.configuration) {
    refuse(it, 503, "no configuration yet", startup_retry_after);
    return;
  }
  const std::string* host = message.fields.find("Host");
  it.route = it.configuration->find_route(host_of(*host), path_of(message.target));
  if (it.route == nullptr) {
    refuse(it, 404, "no route", milliseconds(0));
    return;
  }
  if (it.request_id.empty()) {
    refuse(it, 400, "no request id", milliseconds(0));
    return;
  }
  if (!authenticate(it, message) || !read_deadline(it, message) || !prepare(it, message) ||
      !admit(it)) {
    return;
  }
  it.timer = loop_.after(it.answer_by - loop_.now(), [this, caller] { on_timeout(caller); });
  dispatch(it);
}

bool router::may_overlap(const http::request& message) const {
  const std::string* host = message.fields.find("Host");
  if (!configuration_ || host == nullptr) {
    return false;
  }
  const auto* route = configuration_->find_route(host_of(*host), path_of(message.target));
  return route != nullptr && route->idempotent;
}

bool router::authenticate(exchange& it, const http::request& message) {
  const std::string* key = message.fields.find(adapter::header::key);
  if (key != nullptr) {
    it.account = it.configuration->find_account(*key);
  }
  if (it.configuration->has_accounts() && !it.route->open_to_all && it.account == nullptr) {
    refuse(it, 401, key == nullptr ? "no key" : "unknown key", milliseconds(0));
    return false;
  }
  it.inner = key == nullptr && it.configuration->has_accounts();
  it.priority = it.route->priority;
  if (it.account != nullptr && it.account->priority) {
    it.priority = *it.account->priority;
  }
  return true;
}

bool router::read_deadline(exchange& it, const http::request& message) {
  milliseconds left = it.route->timeout;
  if (const std::string* text = message.fields.find(adapter::header::time_left)) {
    const auto value = http::parse_number(*text);
    if (!value) {
      refuse(it, 400, "malformed deadline", milliseconds(0));
      return false;
    }
    left = std::min(left, milliseconds(static_cast<std::int64_t>(*value)));
  }
  it.answer_by = it.arrived + left;
  return true;
}

bool router::admit(exchange& it) {
  it.service = splitter_.next(*it.route);
  if (it.inner) {
    target_.observer().call_made(it.route->name);
    it.repeat = target_.repeats().call_made(loop_.now(), it.route->name);
    return true;
  }
  if (it.account != nullptr && !it.route->open_to_all) {
    if (const auto wait = rates_.ask(loop_.now(), *it.account)) {
      refuse(it, 429, "above the account's rate", *wait);
      return false;
    }
  }
  const traffic::request_class kind{it.route->name, it.priority, it.route->priority};
  demand_.count(kind, it.service);
  if (!admission_.admit(kind, is_caller_retry(it.fingerprint))) {
    refused_[it.fingerprint] = loop_.now() + caller_retry_window;
    if (it.account != nullptr) {
      rates_.give_back(it.account->name);
    }
    refuse(it, 503, "overload below the entry", overload_retry_after);
    return false;
  }
  return true;
}

bool router::is_caller_retry(const id128& fingerprint) {
  if (refused_.size() >= max_refused) {
    refused_.clear();
  }
  const auto found = refused_.find(fingerprint);
  if (found == refused_.end()) {
    return false;
  }
  const bool in_time = found->second >= loop_.now();
  refused_.erase(found);
  return in_time;
}

bool router::prepare(exchange& it, http::request& message) {
  auto& fields = message.fields;
  http::remove_connection_fields(fields);
  fields.remove(adapter::header::key);
  fields.remove(adapter::header::time_left);
  fields.remove(adapter::header::expected_instance);
  fields.remove(adapter::header::account);
  fields.set(adapter::header::calling_service, options_.service);
  if (it.account != nullptr) {
    fields.add(std::string(adapter::header::account), it.account->name);
  }
  it.head = http::serialize_head(message);
  it.body = std::move(message.body);
  it.fingerprint = hash_parts({message.method, message.target, it.body, options_.service});
  if (crashes_.convicted(loop_.now(), it.fingerprint)) {
    refuse(it, 503, "crashes its targets", crash_retry_after);
    return false;
  }
  return true;
}

std::optional<std::string> router::choose(const exchange& it) {
  std::vector<const fleet::node_entry*> sampled;
  std::vector<placement::candidate> candidates;
  const auto sample = [&](const std::vector<const fleet::node_entry*>& nodes, bool near) {
    const auto usable = [&](std::size_t at) {
      const fleet::node_entry& node = *nodes[at];
      return node.status.target.ready && !node.status.leaving && nodes_.reachable(node) &&
             it.tried.count(node.name) == 0;
    };
    for (const std::size_t at : chooser_.sample(nodes.size(), usable)) {
      const fleet::node_entry& node = *nodes[at];
      const double slots = std::max(1U, node.status.target.slots);
      candidates.push_back({sampled.size(), node.load.value() + node.sent_since_report / slots,
                            slots, near, node.status.target.slowness});
      sampled.push_back(&node);
    }
  };
  if (const auto* nodes = nodes_.nodes_of(it.service)) {
    sample(nodes->within_data_centre, true);
    sample(nodes->elsewhere, false);
  }
  const auto own = target_.status();
  if (own.ready && own.service == it.service && it.tried.count("") == 0) {
    const double slots = std::max(1U, own.slots);
    candidates.push_back(
        {sampled.size(), (own.in_flight + own.queued) / slots, slots, true, own.slowness});
  }
  const auto chosen = chooser_.choose(candidates);
  if (!chosen) {
    return std::nullopt;
  }
  return *chosen < sampled.size() ? sampled[*chosen]->name : std::string();
}

void router::dispatch(exchange& it) {
  const auto chosen = choose(it);
  const request_handle caller = it.caller;
  if (!chosen) {
    const bool tried = !it.tried.empty();
    refuse(it, 503, tried ? "all targets refused" : "no target", default_retry_after);
    return;
  }
  if (it.tried.empty()) {
    budget_.requested(loop_.now(), it.service);
    if (it.repeat) {
      budget_.repeated(loop_.now(), it.service);
    }
  }
  it.tried.insert(*chosen);
  it.node = *chosen;
  it.under_way = true;
  const auto done = [this, caller](answer_frame answer) { on_answer(caller, std::move(answer)); };
  if (chosen->empty()) {
    upstream_call call;
    call.request_id = it.request_id;
    call.route = it.route->name;
    call.head = it.head;
    call.body = it.body;
    call.deadline = it.answer_by;
    call.objective = it.route->objective;
    call.priority = it.priority;
    call.idempotent = it.route->idempotent;
    call.inner = it.inner;
    call.repeat = it.repeat;
    call.fingerprint = it.fingerprint;
    // The target may answer before submit() returns, which ends the exchange.
    const auto id = target_.submit(std::move(call), done);
    if (const auto found = exchanges_.find(caller);
        found != exchanges_.end() && found->second->under_way && found->second->node.empty()) {
      found->second->call = id;
    }
    return;
  }
  fleet::call_frame call;
  call.remaining_ms = static_cast<std::uint32_t>(std::max<std::int64_t>(
      0, std::chrono::floor<milliseconds>(it.answer_by - loop_.now()).count()));
  call.objective_ms = static_cast<std::uint32_t>(it.route->objective.count());
  call.priority = it.priority;
  call.idempotent = it.route->idempotent;
  call.inner = it.inner;
  call.repeat = it.repeat;
  call.request_id = it.request_id;
  call.service = it.service;
  call.route = it.route->name;
  call.fingerprint_high = it.fingerprint.high;
  call.fingerprint_low = it.fingerprint.low;
  call.head = it.head;
  call.body = it.body;
  const auto id = nodes_.call(*chosen, std::move(call), done);
  if (!id) {
    dispatch(it);
    return;
  }
  it.call = *id;
}

void router::on_answer(request_handle caller, answer_frame answer) {
  const auto found = exchanges_.find(caller);
  if (found == exchanges_.end()) {
    return;
  }
  exchange& it = *found->second;
  it.under_way = false;
  it.reached_target = it.reached_target || answer.reached_target;
  const auto result = static_cast<call_result>(answer.result);
  if (result == call_result::answered) {
    counters_.answered(it.route->name, static_cast<int>(answer.status), loop_.now() - it.arrived);
    callers_.respond(caller, std::move(answer.head), answer.body);
    finish(caller);
    return;
  }
  if (retry(it, answer)) {
    return;
  }
  if (result == call_result::not_run && it.runs == 0) {
    refuse(it, 503, answer.reason,
           std::max(default_retry_after, milliseconds(answer.retry_after_ms)));
  } else {
    refuse(it, 502, answer.reason, milliseconds(0));
  }
}

bool router::retry(exchange& it, const answer_frame& answer) {
  const bool not_run = static_cast<call_result>(answer.result) == call_result::not_run;
  if (!not_run) {
    ++it.runs;
  }
  const bool may_run_again = it.runs == 0 || it.route->idempotent;
  if (!may_run_again || it.runs >= std::max(1U, it.route->max_attempts) ||
      it.tried.size() >= options_.max_nodes || it.answer_by - loop_.now() < min_time_to_retry ||
      !choose(it)) {
    return false;
  }
  if (answer.reached_target && !budget_.take(loop_.now(), it.service)) {
    return false;
  }
  log_.request(log_line("request_repeated")
                   .field("request", it.request_id)
                   .field("route", it.route->name)
                   .field("node", it.node)
                   .field("reason", answer.reason)
                   .field("runs", it.runs));
  counters_.repeated(it.route->name);
  // A call that never reached its target runs for the first time.
  it.repeat = it.repeat || it.reached_target;
  dispatch(it);
  return true;
}

void router::on_timeout(request_handle caller) {
  const auto found = exchanges_.find(caller);
  if (found != exchanges_.end()) {
    found->second->timer = 0;
    refuse(*found->second, 504, "no answer in time", milliseconds(0));
  }
}

void router::on_caller_gone(request_handle caller) {
  const auto found = exchanges_.find(caller);
  if (found == exchanges_.end()) {
    return;
  }
  exchange& it = *found->second;
  counters_.caller_left();
  if (it.under_way) {
    if (it.node.empty()) {
      target_.cancel(it.call);
    } else {
      nodes_.cancel(it.node, it.call);
    }
  }
  finish(caller);
}

void router::refuse(exchange& it, int status, const std::string& reason, milliseconds retry_after) {
  const request_handle caller = it.caller;
  const std::string route = it.route == nullptr ? "" : it.route->name;
  log_.request(
      log_line("request_failed")
          .field("request", it.request_id)
          .field("status", status)
          .field("route", route)
          .field("service", it.service)
          .field("node", it.node)
          .field("reason", reason)
          .field("reached_target", it.reached_target ? 1 : 0)
          .field("config",
                 static_cast<std::int64_t>(it.configuration ? it.configuration->version() : 0))
          .field("waited_ms",
                 std::chrono::duration_cast<milliseconds>(loop_.now() - it.arrived).count()));
  counters_.failed(route, status, reason);
  if (it.under_way) {
    if (it.node.empty()) {
      target_.cancel(it.call);
    } else {
      nodes_.cancel(it.node, it.call);
    }
  }
  http::response answer;
  answer.status = status;
  answer.reason = http::reason_phrase(status);
  if (!it.request_id.empty()) {
    answer.fields.add(std::string(adapter::header::request_id), it.request_id);
  }
  if (retry_after > milliseconds(0)) {
    answer.fields.add(std::string(adapter::header::retry_after), format_seconds(retry_after));
  }
  callers_.respond(caller, http::serialize_head(answer), "");
  finish(caller);
}

void router::finish(request_handle caller) {
  const auto found = exchanges_.find(caller);
  if (found == exchanges_.end()) {
    return;
  }
  loop_.cancel(found->second->timer);
  // Destruction is deferred because callers of this function still hold references to the exchange.
  loop_.defer([old = std::shared_ptr<exchange>(std::move(found->second))] {});
  exchanges_.erase(found);
}

} // namespace damaskledge::sidecar
