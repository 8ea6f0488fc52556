#include "common/common.h"

#include <algorithm>
#include <atomic>
#include <cstdlib>
#include <memory>
#include <utility>

#include <Poco/HMACEngine.h>
#include <Poco/RandomStream.h>
#include <Poco/SHA2Engine.h>
#include <glog/logging.h>
#include <xxhash.h>

namespace damaskledge {

namespace {

std::atomic<std::uint64_t> violations{0};

/// HMAC block and digest sizes of SHA-256 for POCO's HMAC engine, which needs a
/// default-constructible engine with static sizes.
class sha256_engine : public Poco::SHA2Engine {
 public:
  // POCO's HMACEngine reads these names.
  enum { BLOCK_SIZE = 64, DIGEST_SIZE = 32 }; // NOLINT(readability-identifier-naming)
  sha256_engine() : Poco::SHA2Engine(SHA_256) {}
};

digest256 to_array(const Poco::DigestEngine::Digest& digest) {
  digest256 result{};
  std::copy(digest.begin(), digest.end(), result.begin());
  return result;
}

struct reason_row {
  refusal_reason reason;
  std::string_view name;
  int status;
};

constexpr std::array reason_rows{
    reason_row{refusal_reason::malformed_request, "malformed-request", 400},
    reason_row{refusal_reason::key_in_body, "key-in-body", 400},
    reason_row{refusal_reason::operation_id_missing, "operation-id-missing", 400},
    reason_row{refusal_reason::key_missing, "key-missing", 401},
    reason_row{refusal_reason::key_unknown, "key-unknown", 401},
    reason_row{refusal_reason::key_withdrawn, "key-withdrawn", 401},
    reason_row{refusal_reason::context_invalid, "context-invalid", 401},
    reason_row{refusal_reason::context_ended, "context-ended", 401},
    reason_row{refusal_reason::route_not_in_plan, "route-not-in-plan", 403},
    reason_row{refusal_reason::account_unknown, "account-unknown", 403},
    reason_row{refusal_reason::route_unknown, "route-unknown", 404},
    reason_row{refusal_reason::already_claimed, "already-claimed", 409},
    reason_row{refusal_reason::already_run, "already-run", 409},
    reason_row{refusal_reason::operation_body_differs, "operation-body-differs", 422},
    reason_row{refusal_reason::operation_too_old, "operation-too-old", 409},
    reason_row{refusal_reason::body_too_large, "body-too-large", 413},
    reason_row{refusal_reason::headers_too_large, "headers-too-large", 431},
    reason_row{refusal_reason::rate_exceeded, "rate-exceeded", 429},
    reason_row{refusal_reason::overloaded, "overloaded", 503},
    reason_row{refusal_reason::no_target, "no-target", 503},
    reason_row{refusal_reason::claims_unavailable, "claims-unavailable", 503},
    reason_row{refusal_reason::keys_stale, "keys-stale", 503},
    reason_row{refusal_reason::no_configuration, "no-configuration", 503},
    reason_row{refusal_reason::draining, "draining", 503},
    reason_row{refusal_reason::suspected_crash, "suspected-crash", 503},
    reason_row{refusal_reason::too_many_connections, "too-many-connections", 503},
    reason_row{refusal_reason::upstream_failed, "upstream-failed", 502},
    reason_row{refusal_reason::answer_truncated, "answer-truncated", 502},
    reason_row{refusal_reason::deadline_exceeded, "deadline-exceeded", 504},
};

const reason_row& row_of(refusal_reason reason) {
  return reason_rows.at(static_cast<std::size_t>(reason));
}

int digit_value(char digit) {
  if (digit >= '0' && digit <= '9') {
    return digit - '0';
  }
  if (digit >= 'a' && digit <= 'f') {
    return digit - 'a' + 10;
  }
  if (digit >= 'A' && digit <= 'F') {
    return digit - 'A' + 10;
  }
  return -1;
}

std::optional<std::uint64_t> parse_hex64(std::string_view text) {
  std::uint64_t value = 0;
  for (const char it : text) {
    const int digit = digit_value(it);
    if (digit < 0) {
      return std::nullopt;
    }
    value = value << 4U | static_cast<std::uint64_t>(digit);
  }
  return value;
}

} // namespace

unix_milliseconds unix_now() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

std::string_view to_string(refusal_reason reason) {
  return row_of(reason).name;
}

std::string_view to_string(outcome state) {
  return state == outcome::not_run ? "not-run" : "unknown";
}

std::string_view to_string(importance value) {
  constexpr std::array<std::string_view, 4> names{"critical", "high", "normal", "low"};
  return names.at(static_cast<std::size_t>(value));
}

std::optional<importance> parse_importance(std::string_view name) {
  for (const importance it :
       {importance::critical, importance::high, importance::normal, importance::low}) {
    if (to_string(it) == name) {
      return it;
    }
  }
  return std::nullopt;
}

int http_status(refusal_reason reason) {
  return row_of(reason).status;
}

std::string to_string(const endpoint& value) {
  return value.address + ":" + std::to_string(value.port);
}

std::string to_string(const id128& value) {
  std::string result;
  result.reserve(32);
  constexpr std::string_view digits = "0123456789abcdef";
  for (const std::uint64_t part : {value.high, value.low}) {
    for (int shift = 60; shift >= 0; shift -= 4) {
      result += digits[part >> static_cast<unsigned>(shift) & 0xFU];
    }
  }
  return result;
}

std::optional<id128> parse_id128(std::string_view text) {
  if (text.size() != 32) {
    return std::nullopt;
  }
  const auto high = parse_hex64(text.substr(0, 16));
  const auto low = parse_hex64(text.substr(16));
  if (!high || !low) {
    return std::nullopt;
  }
  return id128{*high, *low};
}

id128 hash_parts(std::initializer_list<std::string_view> parts) {
  const std::unique_ptr<XXH3_state_t, decltype(&XXH3_freeState)> state(XXH3_createState(),
                                                                       &XXH3_freeState);
  XXH3_128bits_reset(state.get());
  for (const std::string_view it : parts) {
    const std::uint64_t length = it.size();
    XXH3_128bits_update(state.get(), &length, sizeof length);
    XXH3_128bits_update(state.get(), it.data(), it.size());
  }
  const XXH128_hash_t hash = XXH3_128bits_digest(state.get());
  return {hash.high64, hash.low64};
}

std::uint64_t hash64(std::string_view data) {
  return XXH3_64bits(data.data(), data.size());
}

id128 random_id() {
  // The device is opened for each read, so a thread takes many identifiers at once.
  thread_local std::array<id128, 32> pool;
  thread_local std::size_t next = pool.size();
  if (next == pool.size()) {
    Poco::RandomBuf source;
    source.readFromDevice(reinterpret_cast<char*>(pool.data()), sizeof pool);
    next = 0;
  }
  return pool.at(next++);
}

digest256 sha256(std::string_view data) {
  sha256_engine engine;
  engine.update(data.data(), data.size());
  return to_array(engine.digest());
}

digest256 hmac_sha256(std::string_view key, std::string_view data) {
  Poco::HMACEngine<sha256_engine> engine(key.data(), key.size());
  engine.update(data.data(), data.size());
  return to_array(engine.digest());
}

bool equal_constant_time(std::string_view a, std::string_view b) {
  if (a.size() != b.size()) {
    return false;
  }
  unsigned difference = 0;
  for (std::size_t it = 0; it < a.size(); ++it) {
    difference |= static_cast<unsigned char>(a[it]) ^ static_cast<unsigned char>(b[it]);
  }
  return difference == 0;
}

std::string to_hex(std::string_view bytes) {
  constexpr std::string_view digits = "0123456789abcdef";
  std::string result;
  result.reserve(bytes.size() * 2);
  for (const char it : bytes) {
    const auto value = static_cast<unsigned char>(it);
    result += digits[value >> 4U];
    result += digits[value & 0xFU];
  }
  return result;
}

std::optional<std::string> from_hex(std::string_view digits) {
  if (digits.size() % 2 != 0) {
    return std::nullopt;
  }
  std::string result;
  result.reserve(digits.size() / 2);
  for (std::size_t it = 0; it < digits.size(); it += 2) {
    const int high = digit_value(digits[it]);
    const int low = digit_value(digits[it + 1]);
    if (high < 0 || low < 0) {
      return std::nullopt;
    }
    result += static_cast<char>(high << 4 | low);
  }
  return result;
}

std::string to_string(const parse_error& error) {
  std::string result = error.file;
  if (error.line > 0) {
    result += ":" + std::to_string(error.line);
  }
  result += ": ";
  if (!error.field.empty()) {
    result += error.field + ": ";
  }
  result += "found " + error.found + "; " + error.remedy;
  // Fields and texts found come from files, where a name may contain an escaped newline.
  std::replace_if(
      result.begin(), result.end(),
      [](char it) { return static_cast<unsigned char>(it) < 0x20 || it == '\x7f'; }, ' ');
  return result;
}

std::string to_string(const environment_error& error) {
  return error.what + "; " + error.remedy;
}

void report_violation(std::string_view name, std::string_view detail) {
  violations.fetch_add(1);
  LOG(ERROR) << "invariant=" << name << " " << detail;
  if (std::getenv("DAMASKLEDGE_ABORT_ON_VIOLATION") != nullptr) {
    LOG(FATAL) << "invariant " << name << " is violated; see the line above";
  }
}

std::uint64_t violation_count() {
  return violations.load();
}

} // namespace damaskledge
