#include <algorithm>
#include <thread>
#include <utility>

#include "node/headers.h"
#include "node/request_path.h"

namespace damaskledge::node {

namespace {

constexpr milliseconds default_retry_after{200};
constexpr milliseconds outage_retry_after{2'000};
/// The caller of a request whose target died gets its answer after this time, so that the other
/// nodes know of the death before the caller can send the request to one of them: without it,
/// three submissions within 5 ms killed all three targets of a service.
constexpr milliseconds crash_notice_time{50};
/// Attempts of the baseline policy with fixed retries, the first included.
constexpr std::uint32_t fixed_policy_attempts = 3;

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

} // namespace damaskledge::node
