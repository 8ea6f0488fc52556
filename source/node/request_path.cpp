#include "node/request_path.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <thread>
#include <utility>

#include <glog/logging.h>
#include <nlohmann/json.hpp>

namespace damaskledge::node {

namespace {

constexpr milliseconds default_retry_after{200};
constexpr milliseconds outage_retry_after{2'000};
/// The caller of a request whose target died gets its answer after this time, so that the other
/// nodes know of the death before the caller can send the request to one of them: without it,
/// three submissions within 5 ms killed all three targets of a service.
constexpr milliseconds crash_notice_time{50};
constexpr std::size_t max_kept_answer_bytes = 4'096;
constexpr std::size_t max_operation_id_bytes = 256;
/// A UUIDv7 operation id is refused this long before its claim record would expire.
constexpr seconds retention_margin{60};
/// Attempts of the baseline policy with fixed retries, the first included.
constexpr std::uint32_t fixed_policy_attempts = 3;

bool equal_names(std::string_view a, std::string_view b) {
  return a.size() == b.size() &&
         std::equal(a.begin(), a.end(), b.begin(), [](unsigned char x, unsigned char y) {
           return std::tolower(x) == std::tolower(y);
         });
}

bool starts_with_name(std::string_view text, std::string_view prefix) {
  return text.size() >= prefix.size() && equal_names(text.substr(0, prefix.size()), prefix);
}

/// Headers that belong to one connection (RFC 9110 section 7.6.1), that carry a key, or that
/// the node sets itself.
bool stays_behind(std::string_view name) {
  constexpr std::array<std::string_view, 14> names{"Connection",
                                                   "Keep-Alive",
                                                   "Proxy-Connection",
                                                   "Proxy-Authorization",
                                                   "TE",
                                                   "Trailer",
                                                   "Transfer-Encoding",
                                                   "Upgrade",
                                                   "Authorization",
                                                   "X-Api-Key",
                                                   "Content-Length",
                                                   "Host",
                                                   "Expect",
                                                   "traceparent"};
  return starts_with_name(name, "Damaskledge-") ||
         std::any_of(names.begin(), names.end(),
                     [&](std::string_view it) { return equal_names(it, name); });
}

std::optional<std::int64_t> parse_number(std::string_view text) {
  std::int64_t value = 0;
  const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (ec != std::errc{} || end != text.data() + text.size()) {
    return std::nullopt;
  }
  return value;
}

/// @return the creation time that a UUIDv7 (RFC 9562) carries, or nothing for other text.
std::optional<unix_milliseconds> creation_time(std::string_view id) {
  if (id.size() != 36 || id[8] != '-' || id[13] != '-' || id[14] != '7' || id[18] != '-' ||
      id[23] != '-') {
    return std::nullopt;
  }
  const std::string digits = std::string(id.substr(0, 8)) + std::string(id.substr(9, 4));
  unix_milliseconds value = 0;
  const auto [end, ec] = std::from_chars(digits.data(), digits.data() + digits.size(), value, 16);
  if (ec != std::errc{} || end != digits.data() + digits.size()) {
    return std::nullopt;
  }
  return value;
}

const std::string* find_header(const header_list& headers, std::string_view name) {
  const auto found = std::find_if(headers.begin(), headers.end(),
                                  [&](const auto& it) { return equal_names(it.first, name); });
  return found == headers.end() ? nullptr : &found->second;
}

bool refused_without_running(const upstream_answer& answer) {
  const auto* state = find_header(answer.headers, "Damaskledge-Outcome");
  return answer.status == 503 && state != nullptr && *state == "not-run";
}

routing::attempt_end to_attempt_end(const attempt_outcome& outcome) {
  switch (outcome.result) {
  case attempt_result::answered:
    return outcome.answer.status == 503 || outcome.answer.status == 429
               ? routing::attempt_end::shed
               : routing::attempt_end::answered;
  case attempt_result::connect_failed:
  case attempt_result::broken_before_send:
    return routing::attempt_end::connect_failed;
  case attempt_result::broken:
  case attempt_result::truncated:
  case attempt_result::mismatched:
    return routing::attempt_end::broken;
  case attempt_result::timed_out:
    return routing::attempt_end::timed_out;
  case attempt_result::timed_out_before_send:
  case attempt_result::cancelled:
    return routing::attempt_end::cancelled;
  }
  return routing::attempt_end::broken;
}

bool known_not_run(const attempt_outcome& outcome) {
  switch (outcome.result) {
  case attempt_result::connect_failed:
  case attempt_result::broken_before_send:
  case attempt_result::timed_out_before_send:
    return true;
  case attempt_result::answered:
    return refused_without_running(outcome.answer);
  default:
    return false;
  }
}

/// Why the last attempt's failure ends the request.
refusal refusal_of(attempt_result result, bool anything_sent) {
  const outcome state = anything_sent ? outcome::unknown : outcome::not_run;
  switch (result) {
  case attempt_result::truncated:
    return {refusal_reason::answer_truncated, outcome::unknown, milliseconds(0),
            "the upstream's answer ended early; check whether the operation took effect"};
  case attempt_result::timed_out:
  case attempt_result::timed_out_before_send:
    return {refusal_reason::deadline_exceeded, state, milliseconds(0),
            "the deadline passed; allow more time or try again later"};
  case attempt_result::connect_failed:
  case attempt_result::broken_before_send:
    return {refusal_reason::no_target, outcome::not_run, default_retry_after,
            "no connection to a target of the service; try again later"};
  default:
    return {refusal_reason::upstream_failed, outcome::unknown, milliseconds(0),
            "the connection to the upstream broke; check whether the operation took effect"};
  }
}

refusal refusal_of(slot_refusal why) {
  switch (why) {
  case slot_refusal::no_target:
    return {refusal_reason::no_target, outcome::not_run, default_retry_after,
            "every target of the service is leaving or unreachable; try again later"};
  case slot_refusal::unknown_service:
    return {refusal_reason::no_target, outcome::not_run, outage_retry_after,
            "no upstream has announced this service; start one or try again later"};
  case slot_refusal::deadline:
    return {refusal_reason::deadline_exceeded, outcome::not_run, milliseconds(0),
            "the deadline passed before a target had room; allow more time"};
  case slot_refusal::overloaded:
    break;
  }
  return {refusal_reason::overloaded, outcome::not_run, default_retry_after,
          "the service is at its limit; try again later"};
}

} // namespace

std::string_view caller_request::header(std::string_view name) const {
  const auto* found = find_header(headers, name);
  return found == nullptr ? std::string_view() : std::string_view(*found);
}

request_path::request_path(const config::node_settings& settings, control_plane& control,
                           dispatcher& routes, crash_guard& crashes, upstream_client& client,
                           reporter& reports)
    : settings_(settings), control_(control), routes_(routes), crashes_(crashes), client_(client),
      reports_(reports) {
  control_.on_contexts_ended([this](const std::vector<id128>& ids) {
    const std::lock_guard lock(contexts_mutex_);
    for (const id128& it : ids) {
      contexts_.ended(clock_type::now(), it, seconds(60));
    }
  });
}

void request_path::tick(time_point now) {
  const std::lock_guard lock(contexts_mutex_);
  contexts_.tick(now);
}

caller_answer request_path::handle(caller_request& request) {
  call it(request);
  it.report.request = random_id();
  it.report.inner = request.inner;
  it.report.started = request.arrived;
  reports_.start_trace(it.report, request.header("traceparent"));

  const auto decide = [&]() -> std::variant<caller_answer, refusal> {
    for (const auto step : {&request_path::find_route_step, &request_path::identify,
                            &request_path::read_body_step, &request_path::admit}) {
      if (auto refused = (this->*step)(it)) {
        return *std::move(refused);
      }
    }
    if (it.route->idempotent) {
      return run_attempts(it);
    }
    if (auto refused = name_operation(it)) {
      return *std::move(refused);
    }
    if (auto decided = claim(it)) {
      return *std::move(decided);
    }
    auto result = run_attempts(it);
    settle_claim(it, result);
    return result;
  };

  const auto result = decide();
  caller_answer answer;
  if (const auto* refused = std::get_if<refusal>(&result)) {
    if (refused->state == outcome::not_run && it.anything_sent) {
      report_violation("false-not-run", "request=" + to_string(it.report.request));
    }
    refusal told = *refused;
    if (it.parent && it.report.retries > 0 && settings_.policy == "chosen") {
      // An upstream may pass "not-run" on, and then its own caller's node retries with a budget
      // from which these retries were not taken: a chain of two made 10 retries instead of 4.
      told.state = outcome::unknown;
    }
    it.report.refused = told;
    answer = refuse(it, told);
  } else {
    answer = std::get<caller_answer>(result);
  }
  it.report.status = answer.status;
  it.report.ended = clock_type::now();
  reports_.finished(it.report);
  if (it.parent) {
    const std::lock_guard lock(contexts_mutex_);
    contexts_.end_call(it.parent->id, it.report.attempts == 0 ? it.retries : 0);
  }
  return answer;
}

request_path::step_result request_path::find_route_step(call& it) {
  it.rules = control_.rules();
  if (!it.rules) {
    return refusal{refusal_reason::no_configuration, outcome::not_run, outage_retry_after,
                   "this node has no configuration yet; try again later"};
  }
  const auto extracted = admission::extract_key(it.request.header("Authorization"),
                                                it.request.header("X-Api-Key"), it.request.target);
  if (const auto* refused = std::get_if<refusal>(&extracted)) {
    return *refused;
  }
  it.key = std::get<admission::extracted_key>(extracted).key;
  const std::string& target = std::get<admission::extracted_key>(extracted).target;
  if (auto refused = admission::check_path(target.substr(0, target.find('?')))) {
    return refused;
  }
  const std::size_t path_start = std::min(target.find('/', 1), target.size());
  it.service = target.substr(1, path_start - 1);
  it.path = path_start < target.size() ? target.substr(path_start) : "/";
  it.report.service = it.service;
  it.route = it.rules->book->find_route(it.service, it.request.method,
                                        it.path.substr(0, it.path.find('?')));
  if (it.route == nullptr) {
    return refusal{refusal_reason::route_unknown, outcome::not_run, milliseconds(0),
                   "no route matches this service, method and path; see the operators' list"};
  }
  it.report.route = it.route->name;
  it.importance = it.route->importance;
  return std::nullopt;
}

request_path::step_result request_path::identify(call& it) {
  it.retries = settings_.retry_budget;
  auto refused = it.request.inner ? identify_by_context(it) : identify_by_key(it);
  if (!refused) {
    it.report.account = it.identity.account;
    set_deadline(it);
  }
  return refused;
}

request_path::step_result request_path::identify_by_key(call& it) const {
  if (it.key.empty() && it.route->open) {
    return std::nullopt;
  }
  if (it.key.empty()) {
    return refusal{refusal_reason::key_missing, outcome::not_run, milliseconds(0),
                   "send the client account's key as 'Authorization: Bearer <key>'"};
  }
  auto found = it.rules->book->authenticate(it.key);
  if (auto* refused = std::get_if<refusal>(&found)) {
    return std::move(*refused);
  }
  it.identity = std::get<admission::rule_book::identity>(std::move(found));
  if (!control_.keys_fresh(clock_type::now())) {
    return refusal{refusal_reason::keys_stale, outcome::not_run, outage_retry_after,
                   "this data centre could not confirm its keys for too long; use another one"};
  }
  if (!it.route->open && !it.rules->book->allowed(it.identity.account, *it.route)) {
    return refusal{refusal_reason::route_not_in_plan, outcome::not_run, milliseconds(0),
                   "the client account's plan does not list route " + it.route->name};
  }
  return std::nullopt;
}

request_path::step_result request_path::identify_by_context(call& it) {
  const std::string_view token = it.request.header("Damaskledge-Context");
  std::vector<std::string> secrets{settings_.cluster_secret};
  if (!settings_.previous_cluster_secret.empty()) {
    secrets.push_back(settings_.previous_cluster_secret);
  }
  auto context = routing::decode_context(token, secrets);
  if (!context || context->vm_address != settings_.address ||
      context->depth > settings_.max_depth) {
    return refusal{refusal_reason::context_invalid, outcome::not_run, milliseconds(0),
                   "send the Damaskledge-Context header of the request being served"};
  }
  const auto left = milliseconds(context->deadline - unix_now());
  if (left <= milliseconds(0)) {
    return refusal{refusal_reason::deadline_exceeded, outcome::not_run, milliseconds(0),
                   "the deadline of the first request has passed"};
  }
  const bool keyed = !context->account.empty();
  if (keyed && !it.rules->book->key_in_force(context->key_id, context->account)) {
    return refusal{refusal_reason::key_withdrawn, outcome::not_run, milliseconds(0),
                   "the key of the first request was withdrawn"};
  }
  {
    const std::lock_guard lock(contexts_mutex_);
    const auto retries = contexts_.begin_call(it.request.arrived, *context);
    if (!retries) {
      return refusal{refusal_reason::context_ended, outcome::not_run, milliseconds(0),
                     "the request that this context belongs to has ended"};
    }
    it.retries = *retries;
  }
  it.report.request = context->request;
  it.identity = {context->account, context->key_id};
  if (keyed && !it.route->open && !it.rules->book->allowed(context->account, *it.route)) {
    const std::lock_guard lock(contexts_mutex_);
    contexts_.end_call(context->id, it.retries);
    return refusal{refusal_reason::route_not_in_plan, outcome::not_run, milliseconds(0),
                   "the client account's plan does not list route " + it.route->name};
  }
  it.importance = context->importance;
  it.depth = context->depth;
  it.deadline = it.request.arrived + left;
  it.parent = std::move(*context);
  return std::nullopt;
}

void request_path::set_deadline(call& it) const {
  time_point limit = it.request.arrived + it.route->deadline;
  const auto wanted = parse_number(it.request.header("Damaskledge-Timeout-Ms"));
  if (wanted && *wanted > 0 && *wanted < it.route->deadline.count()) {
    limit = it.request.arrived + milliseconds(*wanted);
  }
  it.deadline = it.parent ? std::min(it.deadline, limit) : limit;
}

request_path::step_result request_path::read_body_step(call& it) {
  auto body = it.request.read_body(it.deadline);
  if (auto* refused = std::get_if<refusal>(&body)) {
    return std::move(*refused);
  }
  it.body = std::get<std::string>(std::move(body));
  it.body_read = true;
  if (!it.key.empty() &&
      (admission::contains_key(it.body, it.key) || admission::contains_key(it.path, it.key))) {
    return refusal{refusal_reason::key_in_body, outcome::not_run, milliseconds(0),
                   "the key must be sent only in its own header or parameter"};
  }
  return std::nullopt;
}

request_path::step_result request_path::admit(call& it) {
  it.fingerprint =
      hash_parts({it.identity.account, it.service, it.request.method, it.path, it.body});
  {
    const std::lock_guard lock(crashes_.mutex);
    if (crashes_.table.convicted(it.request.arrived, it.fingerprint)) {
      return refusal{refusal_reason::suspected_crash, outcome::not_run, outage_retry_after,
                     "this request has crashed upstreams; change it or report it"};
    }
  }
  std::vector<std::string> reached{it.service};
  if (!it.parent) {
    reached.insert(reached.end(), it.route->calls.begin(), it.route->calls.end());
  }
  if (routes_.sheds(reached, it.importance, it.identity.account, !it.parent)) {
    return refusal{refusal_reason::overloaded, outcome::not_run, default_retry_after,
                   "a service that this request needs is overloaded; try again later"};
  }
  if (it.parent || it.identity.account.empty()) {
    return std::nullopt;
  }
  const time_point give_up = std::min(it.deadline, clock_type::now() + settings_.token_wait);
  if (control_.take_token(it.identity.account, give_up) != shares::take_result::taken) {
    return refusal{refusal_reason::rate_exceeded, outcome::not_run,
                   control_.token_retry_after(it.identity.account),
                   "the client account is above its plan's rate and burst"};
  }
  routes_.admitted(it.service, it.importance, it.identity.account);
  return std::nullopt;
}

request_path::step_result request_path::name_operation(call& it) const {
  std::string id;
  if (it.route->operation_field.empty()) {
    id = std::string(it.request.header("Idempotency-Key"));
  } else {
    const auto body = nlohmann::json::parse(it.body, nullptr, false);
    const nlohmann::json::json_pointer pointer(it.route->operation_field);
    if (!body.is_discarded() && body.contains(pointer)) {
      const auto& field = body.at(pointer);
      id = field.is_string() ? field.get<std::string>() : field.dump();
    }
  }
  if (id.empty() || id.size() > max_operation_id_bytes) {
    return refusal{refusal_reason::operation_id_missing, outcome::not_run, milliseconds(0),
                   it.route->operation_field.empty()
                       ? "send an Idempotency-Key header of at most 256 bytes"
                       : "the body must name the operation at " + it.route->operation_field};
  }
  if (const auto created = creation_time(id)) {
    const auto age = milliseconds(unix_now() - *created);
    if (age > settings_.claim_retention - retention_margin) {
      return refusal{refusal_reason::operation_too_old, outcome::unknown, milliseconds(0),
                     "the operation id is older than the retention of claims; check whether it "
                     "took effect"};
    }
  }
  it.operation = hash_parts({it.identity.account, it.route->name, id});
  return std::nullopt;
}

std::optional<std::variant<caller_answer, refusal>> request_path::claim(call& it) {
  // Each submission is a claimant of its own, also when a chain's inner calls share the
  // request id of the first call.
  it.claimant = random_id();
  const auto result = control_.claim(*it.operation, hash64(it.body), it.claimant, it.deadline);
  switch (result.decision) {
  case wire::claim_decision::granted:
    it.claimed = true;
    return std::nullopt;
  case wire::claim_decision::already_claimed:
    return refusal{refusal_reason::already_claimed, outcome::unknown, default_retry_after,
                   "this operation was submitted before and its end is not known"};
  case wire::claim_decision::already_run:
    if (result.answer_kept) {
      caller_answer answer;
      answer.status = result.status;
      answer.headers = {{"Damaskledge-Request-Id", to_string(it.report.request)},
                        {"Damaskledge-Replayed", "true"},
                        {"Content-Type", result.content_type}};
      answer.body = result.answer;
      return answer;
    }
    return refusal{refusal_reason::already_run, outcome::unknown, milliseconds(0),
                   "this operation ran before and ended with status " +
                       std::to_string(result.status)};
  case wire::claim_decision::body_differs:
    return refusal{refusal_reason::operation_body_differs, outcome::not_run, milliseconds(0),
                   "this operation id was used with another body; use a new id"};
  case wire::claim_decision::unavailable:
  case wire::claim_decision::not_writer:
    break;
  }
  return refusal{refusal_reason::claims_unavailable, outcome::not_run, outage_retry_after,
                 "the operation can't be recorded now, so it was not run; try again later"};
}

bool request_path::may_retry(const call& it, const attempt_outcome& outcome, bool not_run) const {
  if (settings_.policy == "none" || outcome.result == attempt_result::cancelled ||
      clock_type::now() >= it.deadline) {
    return false;
  }
  if (settings_.policy == "fixed") {
    const bool failed = outcome.result != attempt_result::answered || outcome.answer.status >= 500;
    return failed && (not_run || it.route->idempotent) &&
           it.report.attempts < fixed_policy_attempts;
  }
  return not_run && it.report.retries < it.retries;
}

std::variant<caller_answer, refusal> request_path::run_attempts(call& it) {
  slot_request wanted;
  wanted.service = it.service;
  wanted.importance = it.importance;
  wanted.account = it.identity.account;
  wanted.deadline = it.deadline;
  wanted.entry = !it.parent;
  std::optional<attempt_outcome> last;
  while (true) {
    const time_point start = clock_type::now();
    auto slot = routes_.acquire(wanted);
    it.report.queue_time += clock_type::now() - start;
    if (const auto* why = std::get_if<slot_refusal>(&slot)) {
      refusal refused = refusal_of(*why);
      if (it.anything_sent) {
        refused.state = outcome::unknown;
      }
      return refused;
    }
    const auto& target = std::get<routing::target_table::choice>(slot);
    last = run_attempt(it, target);
    const bool not_run = known_not_run(*last);
    it.anything_sent = it.anything_sent || !not_run;
    if (!may_retry(it, *last, not_run)) {
      break;
    }
    ++it.report.retries;
    if (settings_.policy == "chosen" && it.report.retries > it.retries) {
      report_violation("attempt-budget", "request=" + to_string(it.report.request));
    }
    wanted.excluded.push_back(target.id);
  }
  if (last->result == attempt_result::answered) {
    if (refused_without_running(last->answer) && !it.anything_sent) {
      return refusal{refusal_reason::overloaded, outcome::not_run, default_retry_after,
                     "the upstream refused the request without running it; try again later"};
    }
    return answer_of(it, std::move(last->answer));
  }
  return refusal_of(last->result, it.anything_sent);
}

attempt_outcome request_path::run_attempt(call& it, const routing::target_table::choice& target) {
  ++it.report.attempts;
  if (!it.route->idempotent && !it.claimed) {
    report_violation("send-without-claim", "request=" + to_string(it.report.request));
  }
  routing::context context;
  context.id = random_id();
  context.request = it.report.request;
  context.account = it.identity.account;
  context.key_id = it.identity.key_id;
  context.importance = it.importance;
  context.deadline =
      unix_now() +
      std::chrono::duration_cast<milliseconds>(it.deadline - clock_type::now()).count();
  context.retries = it.retries - std::min(it.retries, it.report.retries);
  context.depth = it.depth + 1;
  context.vm_address = target.address.address;
  context.issuer = {settings_.address, settings_.peer_port};

  const upstream_request request = make_request(it, context, to_string(context.id));
  {
    const std::lock_guard lock(crashes_.mutex);
    crashes_.table.started(clock_type::now(), it.fingerprint, target.id);
  }
  attempt_outcome result = client_.run(target.address, request, it.deadline, it.request.socket,
                                       target.connections, max_answer_bytes);
  it.report.upstream_time += result.latency;
  routes_.release(it.service, target.id, to_attempt_end(result), result.latency);
  note_crash(it, target, result);
  control_.context_ended(target.id, context.id);
  return result;
}

void request_path::note_crash(const call& it, const routing::target_table::choice& target,
                              const attempt_outcome& outcome) {
  const bool broken = outcome.result == attempt_result::broken;
  const bool died = broken && client_.refuses_connections(target.address);
  std::unique_lock lock(crashes_.mutex);
  const time_point now = clock_type::now();
  if (broken) {
    crashes_.table.broken(now, it.fingerprint, target.id, died);
  } else if (outcome.result == attempt_result::answered &&
             !refused_without_running(outcome.answer)) {
    crashes_.table.answered(now, it.fingerprint, target.id);
  } else {
    crashes_.table.abandoned(it.fingerprint, target.id);
  }
  lock.unlock();
  if (died) {
    control_.send_crash_report();
    std::this_thread::sleep_for(crash_notice_time);
  }
}

upstream_request request_path::make_request(const call& it, const routing::context& context,
                                            const std::string& attempt) const {
  upstream_request result;
  result.method = it.request.method;
  result.target = it.path;
  result.body = it.body;
  result.attempt = attempt;
  for (const auto& [name, value] : it.request.headers) {
    if (stays_behind(name)) {
      continue;
    }
    // A caller may repeat its key in a header of its own; such a header stays behind.
    if (!it.key.empty() && admission::contains_key(value, it.key)) {
      continue;
    }
    result.headers.emplace_back(name, value);
  }
  const auto left = std::chrono::duration_cast<milliseconds>(it.deadline - clock_type::now());
  result.headers.emplace_back("Host", it.service);
  result.headers.emplace_back("Damaskledge-Account", it.identity.account);
  result.headers.emplace_back("Damaskledge-Request-Id", to_string(it.report.request));
  result.headers.emplace_back("Damaskledge-Attempt", attempt);
  result.headers.emplace_back("Damaskledge-Deadline-Ms",
                              std::to_string(std::max<std::int64_t>(left.count(), 0)));
  result.headers.emplace_back("Damaskledge-Importance", std::string(to_string(it.importance)));
  result.headers.emplace_back("Damaskledge-Context",
                              routing::encode_context(context, settings_.cluster_secret));
  result.headers.emplace_back("traceparent", reports_.traceparent_of(it.report));
  if (!it.key.empty()) {
    const bool leaks =
        admission::contains_key(result.target, it.key) ||
        std::any_of(result.headers.begin(), result.headers.end(), [&](const auto& header) {
          return admission::contains_key(header.second, it.key);
        });
    if (leaks) {
      report_violation("key-sent", "request=" + to_string(it.report.request));
      result.headers.clear();
      result.target = "/";
    }
  }
  return result;
}

void request_path::settle_claim(const call& it,
                                const std::variant<caller_answer, refusal>& result) {
  wire::claim_finish finish;
  finish.operation = *it.operation;
  finish.request = it.claimant;
  if (const auto* refused = std::get_if<refusal>(&result)) {
    if (refused->state == outcome::unknown) {
      return;
    }
    // The caller is told "not run" only after the claim is gone or the writer had its time,
    // so that a prompt second submission can run.
    finish.released = true;
    control_.finish_claim(finish, true, clock_type::now() + milliseconds(500));
    return;
  }
  const auto& answer = std::get<caller_answer>(result);
  finish.status = static_cast<std::uint16_t>(answer.status);
  if (answer.body.size() <= max_kept_answer_bytes) {
    finish.answer_kept = true;
    finish.answer = answer.body;
    const auto* type = find_header(answer.headers, "Content-Type");
    finish.content_type = type == nullptr ? "" : *type;
  }
  control_.finish_claim(finish, false, it.deadline);
}

caller_answer request_path::answer_of(const call& it, upstream_answer answer) const {
  caller_answer result;
  result.status = answer.status;
  for (auto& [name, value] : answer.headers) {
    if (!stays_behind(name)) {
      result.headers.emplace_back(std::move(name), std::move(value));
    }
  }
  result.headers.emplace_back("Damaskledge-Request-Id", to_string(it.report.request));
  result.body = std::move(answer.body);
  return result;
}

caller_answer request_path::refuse(const call& it, const refusal& why) const {
  caller_answer result = refusal_answer(why, to_string(it.report.request));
  result.keep_alive = it.body_read;
  return result;
}

caller_answer refusal_answer(const refusal& why, const std::string& request_id) {
  caller_answer result;
  result.status = http_status(why.reason);
  const nlohmann::json body{{"reason", to_string(why.reason)},
                            {"outcome", to_string(why.state)},
                            {"retry_after_ms", why.retry_after.count()},
                            {"request_id", request_id},
                            {"detail", why.detail}};
  result.body = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  result.headers = {{"Content-Type", "application/problem+json"},
                    {"Damaskledge-Request-Id", request_id},
                    {"Damaskledge-Reason", std::string(to_string(why.reason))},
                    {"Damaskledge-Outcome", std::string(to_string(why.state))}};
  if (why.retry_after > milliseconds(0)) {
    const auto whole = std::chrono::ceil<seconds>(why.retry_after);
    result.headers.emplace_back("Retry-After", std::to_string(whole.count()));
  }
  return result;
}

} // namespace damaskledge::node
