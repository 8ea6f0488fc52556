#include <charconv>
#include <utility>

#include <nlohmann/json.hpp>

#include "node/request_path.h"

namespace damaskledge::node {

namespace {

constexpr milliseconds outage_retry_after{2'000};
constexpr std::size_t max_operation_id_bytes = 256;
/// A UUIDv7 operation id is refused this long before its claim record would expire.
constexpr seconds retention_margin{60};

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

} // namespace

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

} // namespace damaskledge::node
