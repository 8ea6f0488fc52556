/// @file
/// Decisions on whether a request may start: key, account, route, importance, shed levels
/// and crash recognition.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

#include "common/common.h"
#include "config/config.h"

namespace damaskledge::admission {

/// Immutable index over the documents in force; replaced as a whole when one changes.
class rule_book {
 public:
  rule_book(config::lists lists, config::keys keys);

  /// A caller whose key is in force, or a caller without one on an open route.
  struct identity {
    std::string account;
    std::string key_id;
  };
  /// @param presented key text as sent by the caller ("dlk_<id>_<secret>").
  std::variant<identity, refusal> authenticate(std::string_view presented) const;
  /// @return true while the key is known and not withdrawn and its account exists.
  bool key_in_force(std::string_view key_id, std::string_view account) const;
  /// @return the longest matching route, or nullptr.
  const config::route* find_route(std::string_view service, std::string_view method,
                                  std::string_view path) const;
  /// @return true when the account's plan lists the route.
  bool allowed(std::string_view account, const config::route& wanted) const;
  const config::plan* plan_of(std::string_view account) const;
  const config::lists& lists() const { return lists_; }

 private:
  config::lists lists_;
  config::keys keys_;
};

/// Key found in a request, and the request's target without it.
struct extracted_key {
  std::string key;
  /// Request target with an `api_key` parameter removed.
  std::string target;
};

/// Reads the key from Authorization, X-Api-Key or the query, in this order.
/// @return a refusal when two different keys are given.
std::variant<extracted_key, refusal> extract_key(std::string_view authorization,
                                                 std::string_view api_key_header,
                                                 std::string_view target);
/// @return true when the secret part of the key occurs in `bytes`.
bool contains_key(std::string_view bytes, std::string_view key);

/// Shed level of a service: the number of (importance, sub-level) steps that are refused,
/// least important first. 0 refuses nothing. Sub-levels spread accounts of one importance
/// class by hash and time slot so that no account is always the first.
/// Source: DAGOR, "Overload control for scaling WeChat microservices" (SoCC 2018).
inline constexpr std::uint32_t sub_levels_per_class = 16;
inline constexpr std::uint32_t max_shed_level = 4 * sub_levels_per_class - 1;

struct shed_settings {
  /// Queue delay that is held to; above it the level rises.
  milliseconds target_delay{5};
  milliseconds interval{100};
  /// Steps by which the level falls per interval without overload.
  std::uint32_t fall_step = 2;
  std::uint32_t rise_step = 4;
  /// Levels heard from other nodes are forgotten after this time.
  milliseconds remote_lapse{3'000};
  /// True to compare accounts by their recent share of admitted requests, so that the
  /// worst-served account is shed last within a class (objective "fairness").
  bool fairness = false;
};

/// Shed levels of the services that this node calls or hears of. Not thread-safe.
class shed_table {
 public:
  shed_table(shed_settings options, std::string node);

  /// Outcome of one call at a service's queue.
  void observe_queue_delay(time_point now, const std::string& service, duration waited);
  void observe_refusal(time_point now, const std::string& service);
  void tick(time_point now);

  /// Level told by another node.
  void heard(time_point now, const std::string& service, const std::string& origin,
             std::uint32_t level, std::uint64_t sequence);
  /// @return true when a request of this class and account is refused at the service.
  bool sheds(time_point now, const std::string& service, importance value, std::string_view account,
             bool entry) const;

  struct level_record {
    std::string service;
    std::uint32_t level = 0;
    std::uint64_t sequence = 0;
  };
  /// Own levels above 0 or recently fallen to 0, to be told to others.
  std::vector<level_record> own_levels() const;

 private:
  shed_settings options_;
  std::string node_;
};

struct crash_settings {
  /// Weight at which a fingerprint is refused.
  double threshold = 1.5;
  seconds suspicion_lapse{60};
  seconds conviction_lapse{600};
};

/// Recognises requests that crash upstreams. Not thread-safe.
class crash_table {
 public:
  explicit crash_table(crash_settings options);

  /// An attempt starts or ends normally at a target.
  void started(time_point now, const id128& fingerprint, const std::string& target);
  void answered(time_point now, const id128& fingerprint, const std::string& target);
  /// An attempt ended by a reset or close before the answer.
  /// @param target_died true when the target refused connections right after.
  void broken(time_point now, const id128& fingerprint, const std::string& target,
              bool target_died);
  /// @return true when the request must be refused.
  bool convicted(time_point now, const id128& fingerprint) const;
  /// Conviction told by another node.
  void heard(time_point now, const id128& fingerprint);
  std::vector<id128> convictions(time_point now) const;

 private:
  crash_settings options_;
};

} // namespace damaskledge::admission
