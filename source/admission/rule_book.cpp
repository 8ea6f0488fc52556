#include <algorithm>
#include <utility>

#include "admission/admission.h"
#include "admission/uri.h"

namespace damaskledge::admission {

namespace {

constexpr std::string_view key_prefix = "dlk_";
constexpr std::size_t key_id_length = 12;
/// Limits the hashing work that a caller without a valid key can cause.
constexpr std::size_t max_secret_length = 256;

struct key_parts {
  std::string_view id;
  std::string_view secret;
};

bool is_lower_hex(char value) {
  return (value >= '0' && value <= '9') || (value >= 'a' && value <= 'f');
}

std::optional<key_parts> split_key(std::string_view text) {
  constexpr std::size_t secret_at = key_prefix.size() + key_id_length + 1;
  if (!text.starts_with(key_prefix) || text.size() <= secret_at || text[secret_at - 1] != '_' ||
      text.size() - secret_at > max_secret_length) {
    return std::nullopt;
  }
  const std::string_view id = text.substr(key_prefix.size(), key_id_length);
  if (!std::all_of(id.begin(), id.end(), is_lower_hex)) {
    return std::nullopt;
  }
  return key_parts{id, text.substr(secret_at)};
}

std::string digest_of(std::string_view secret) {
  const digest256 digest = sha256(secret);
  return {digest.begin(), digest.end()};
}

std::string route_group(std::string_view service, std::string_view method) {
  std::string result(method);
  result += ' ';
  result += service;
  return result;
}

bool matches(std::string_view prefix, std::string_view path) {
  if (!path.starts_with(prefix)) {
    return false;
  }
  return path.size() == prefix.size() || prefix.ends_with('/') || path[prefix.size()] == '/';
}

} // namespace

rule_book::rule_book(config::lists lists, const config::keys& keys) : lists_(std::move(lists)) {
  for (const config::key_record& it : keys.records) {
    keys_[it.id] = {it.account, from_hex(it.digest).value_or(""), it.withdrawn};
  }
  for (const config::plan& it : lists_.plans) {
    plans_[it.name] = {&it, {it.routes.begin(), it.routes.end()}};
  }
  for (const config::account& it : lists_.accounts) {
    accounts_[it.name] = it.plan;
  }
  for (const config::route& it : lists_.routes) {
    routes_[route_group(it.service, it.method)].push_back(&it);
  }
  for (auto& [group, routes] : routes_) {
    std::stable_sort(routes.begin(), routes.end(),
                     [](const auto* a, const auto* b) { return a->path.size() > b->path.size(); });
  }
}

std::variant<rule_book::identity, refusal>
rule_book::authenticate(std::string_view presented) const {
  if (presented.empty()) {
    return refusal{refusal_reason::key_missing,
                   outcome::not_run,
                   {},
                   "the request has no key; send it as Authorization: Bearer <key>"};
  }
  const auto parts = split_key(presented);
  if (!parts) {
    return refusal{refusal_reason::key_unknown,
                   outcome::not_run,
                   {},
                   "the key is not of the form dlk_<12 hexadecimal digits>_<secret>; "
                   "check that it was copied completely"};
  }
  // For an unknown identifier, the secret is compared with a digest that no secret matches, so that
  // the response time does not reveal which identifiers exist.
  static const key_entry absent{{}, std::string(sizeof(digest256), '\0'), false};
  const auto found = keys_.find(parts->id);
  const key_entry& entry = found == keys_.end() ? absent : found->second;
  const bool digest_matches = equal_constant_time(digest_of(parts->secret), entry.digest);
  if (!digest_matches || found == keys_.end()) {
    return refusal{refusal_reason::key_unknown,
                   outcome::not_run,
                   {},
                   "the key is not known; ask the operators for a key"};
  }
  if (entry.withdrawn) {
    return refusal{refusal_reason::key_withdrawn,
                   outcome::not_run,
                   {},
                   "the key was withdrawn; ask the operators for a new one"};
  }
  if (!accounts_.contains(entry.account)) {
    return refusal{refusal_reason::account_unknown,
                   outcome::not_run,
                   {},
                   "the key's account is not in the list of accounts; ask the operators"};
  }
  return identity{entry.account, std::string(parts->id)};
}

bool rule_book::key_in_force(std::string_view key_id, std::string_view account) const {
  const auto found = keys_.find(key_id);
  return found != keys_.end() && !found->second.withdrawn && found->second.account == account &&
         accounts_.contains(account);
}

const config::route* rule_book::find_route(std::string_view service, std::string_view method,
                                           std::string_view path) const {
  path = path.substr(0, path.find('?'));
  if (check_path(path)) {
    return nullptr;
  }
  const auto decoded = percent_decode(path, false);
  const auto group = routes_.find(route_group(service, method));
  if (!decoded || group == routes_.end()) {
    return nullptr;
  }
  for (const config::route* it : group->second) {
    if (matches(it->path, *decoded)) {
      return it;
    }
  }
  return nullptr;
}

const config::plan* rule_book::plan_of(std::string_view account) const {
  const auto name = accounts_.find(account);
  if (name == accounts_.end()) {
    return nullptr;
  }
  const auto plan = plans_.find(name->second);
  return plan == plans_.end() ? nullptr : plan->second.plan;
}

bool rule_book::allowed(std::string_view account, const config::route& route) const {
  const auto name = accounts_.find(account);
  if (name == accounts_.end()) {
    return false;
  }
  const auto plan = plans_.find(name->second);
  return plan != plans_.end() && plan->second.routes.contains(route.name);
}

bool contains_key(std::string_view bytes, std::string_view key) {
  if (key.empty()) {
    return false;
  }
  const auto parts = split_key(key);
  return bytes.find(parts ? parts->secret : key) != std::string_view::npos;
}

} // namespace damaskledge::admission
