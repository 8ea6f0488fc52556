#include "node/request_path.h"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

#include "node/headers.h"

namespace damaskledge::node {

namespace {

constexpr milliseconds default_retry_after{200};
constexpr milliseconds outage_retry_after{2'000};
constexpr std::size_t max_kept_answer_bytes = 4'096;

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
