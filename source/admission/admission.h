/// @file
/// Decisions on whether a request may start: key, account, route, importance, shed levels
/// and crash recognition.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <variant>
#include <vector>

#include "common/common.h"
#include "config/config.h"

namespace damaskledge::admission {

/// Hash of strings that allows look-up by `std::string_view`.
struct text_hash {
  using is_transparent = void;
  std::size_t operator()(std::string_view text) const noexcept { return hash64(text); }
};
template <class Value>
using text_map = std::unordered_map<std::string, Value, text_hash, std::equal_to<>>;

/// Immutable index over the documents in force; replaced as a whole when one changes.
class rule_book {
 public:
  rule_book(config::lists lists, const config::keys& keys);
  // The indices point into `lists_`.
  rule_book(const rule_book&) = delete;
  rule_book& operator=(const rule_book&) = delete;

  /// A caller whose key is in force, or a caller without one on an open route.
  struct identity {
    std::string account;
    std::string key_id;
  };
  /// @param presented key text as sent by the caller ("dlk_<id>_<secret>").
  /// Unknown identifiers take as long as wrong secrets. A withdrawn key is told as such only to
  /// a caller that has its secret.
  /// @return a refusal with `key_missing`, `key_unknown`, `key_withdrawn` or `account_unknown`;
  /// its text never contains the key.
  std::variant<identity, refusal> authenticate(std::string_view presented) const;
  /// @return true while the key is known and not withdrawn and its account exists.
  bool key_in_force(std::string_view key_id, std::string_view account) const;
  /// @param path path below the service; a query is ignored. Escapes are decoded before the
  /// comparison, so that an escaped letter does not select another route than the upstream serves.
  /// @return the route with the longest prefix that ends at a segment boundary, or nullptr, also
  /// for a path that `check_path` refuses.
  const config::route* find_route(std::string_view service, std::string_view method,
                                  std::string_view path) const;
  /// @return true when the account's plan lists the route.
  bool allowed(std::string_view account, const config::route& wanted) const;
  const config::plan* plan_of(std::string_view account) const;
  const config::lists& lists() const { return lists_; }

 private:
  struct key_row {
    std::string account;
    /// SHA-256 of the secret; empty when the record's digest is malformed, which matches nothing.
    std::string digest;
    bool withdrawn = false;
  };
  struct plan_row {
    const config::plan* plan = nullptr;
    std::unordered_set<std::string> routes;
  };

  config::lists lists_;
  text_map<key_row> keys_;
  text_map<plan_row> plans_;
  /// Plan name of each account.
  text_map<std::string> accounts_;
  /// Routes by "method service", longest path first.
  text_map<std::vector<const config::route*>> routes_;
};

/// Checks the path of a request before it is matched or forwarded.
/// @return a refusal for a path that does not start with '/', has `.`, `..` or empty segments
/// (also escaped), escaped slashes, backslashes, control characters, bytes that a URI may not
/// contain, or malformed escapes; nothing when the path is acceptable.
std::optional<refusal> check_path(std::string_view path);

/// Key found in a request, and the request's target without it.
struct extracted_key {
  std::string key;
  /// Request target with an `api_key` parameter removed.
  std::string target;
};

/// Reads the key from Authorization, X-Api-Key or the query, in this order; empty when none is
/// given. Escaped names and values of the query are decoded.
/// @return a refusal when two different keys are given, when a value is malformed, or when the
/// target still contains the secret after the removal of the parameter.
std::variant<extracted_key, refusal> extract_key(std::string_view authorization,
                                                 std::string_view api_key_header,
                                                 std::string_view target);
/// @return true when the secret part of the key occurs in `bytes` as it is; escaped forms are not
/// found.
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
  /// Steps by which the level falls per interval without overload; after half a second without
  /// overload the fall doubles with each further interval.
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

  /// Outcome of one call at a service's queue. The level rises when the average over an interval
  /// is above the target. The average is used because the shortest wait stays near zero while
  /// the queue serves the newest first.
  void observe_queue_delay(time_point now, const std::string& service, duration waited);
  /// The level also rises when more than a twentieth of an interval's calls are refused, by the
  /// upstream or for want of a target with room.
  void observe_refusal(time_point now, const std::string& service);
  /// A request was admitted; counts for `fairness` only.
  void observe_admitted(time_point now, const std::string& service, importance value,
                        std::string_view account);
  void tick(time_point now);

  /// Level told by another node. Sequences that are not above the last one are ignored. It
  /// lapses with a `tick`.
  void heard(time_point now, const std::string& service, const std::string& origin,
             std::uint32_t level, std::uint64_t sequence);
  /// @param entry true for a request from a caller: the level is the larger of the node's own and
  /// the median of those heard. False for an inner call: only the node's own level counts, and
  /// only a whole importance class is refused, because work has been spent on the request.
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
  /// @return the level that counts for requests from callers.
  std::uint32_t level(time_point now, const std::string& service) const;

 private:
  struct remote_level {
    std::uint32_t level = 0;
    std::uint64_t sequence = 0;
    time_point at{};
  };
  struct account_share {
    /// Admitted requests, halved every few seconds.
    double admitted = 0;
    std::uint32_t sub_level = 0;
  };
  struct service_row {
    std::uint32_t level = 0;
    std::uint64_t sequence = 0;
    /// Intervals since the level fell to 0; large when it was never above.
    std::uint32_t idle_intervals = 1'000;
    /// Intervals since the last one with overload.
    std::uint32_t quiet_intervals = 0;
    std::uint32_t calls = 0;
    std::uint32_t refusals = 0;
    duration waited{0};
    std::unordered_map<std::string, remote_level> remote;
    /// Median of `remote`.
    std::uint32_t heard_level = 0;
    std::array<text_map<account_share>, 4> shares;
  };

  void end_interval(service_row& row) const;
  static std::uint32_t median_level(const service_row& row);

  shed_settings options_;
  std::string node_;
  time_point interval_start_{};
  std::unordered_map<std::string, service_row> services_;
};

struct crash_settings {
  /// Sum of the weights 1/n at which a fingerprint is refused.
  double threshold = 1.5;
  seconds suspicion_lapse{60};
  seconds conviction_lapse{600};
  /// Fingerprints with a suspicion, and answered fingerprints remembered, at most.
  std::size_t max_entries = 16'384;
};

/// Death of a target as one node saw it.
struct death_report {
  struct member {
    id128 fingerprint;
    /// Time from the start of the attempt to the death.
    std::chrono::microseconds age{0};

    bool operator==(const member&) const = default;
    template <class Archive>
    void save(Archive& archive) const {
      archive(fingerprint, std::int64_t{age.count()});
    }
    template <class Archive>
    void load(Archive& archive) {
      std::int64_t microseconds = 0;
      archive(fingerprint, microseconds);
      age = std::chrono::microseconds(microseconds);
    }
  };
  std::string target;
  /// Fingerprints that the node had in flight at the target.
  std::vector<member> members;

  bool operator==(const death_report&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(target, members);
  }
};

/// What a node tells all others about crashes. It is rare and small: about 24 bytes for each
/// request that was in flight at a target that died.
struct crash_report {
  std::vector<death_report> deaths;
  /// Suspects that were answered.
  std::vector<id128> cleared;

  bool empty() const { return deaths.empty() && cleared.empty(); }
  bool operator==(const crash_report&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(deaths, cleared);
  }
};

/// Recognises requests that crash upstreams. Not thread-safe.
///
/// When a target dies, the n fingerprints in flight there share the suspicion: each gets the
/// weight 1/n. A fingerprint is refused when its weights over different targets reach the
/// threshold, or when it was in flight at the deaths of at least two targets and explains them
/// much better than its competitors. The competitors are the other fingerprints that were in
/// flight at the same deaths, and unrelated causes. A request that crashes its upstream does so at
/// about the same age each time, while an innocent one that was repeated was in flight at an
/// arbitrary age; most innocent ones have been answered before. When several explain the deaths
/// equally well, none is refused before another death tells them apart.
///
/// A caller may send the request again to any node, and a target serves many nodes. The nodes
/// therefore exchange reports; without them, a node with one request in flight at a target would
/// blame this request alone.
class crash_table {
 public:
  explicit crash_table(crash_settings options);

  /// An attempt starts or ends normally at a target. An answer clears the fingerprint.
  void started(time_point now, const id128& fingerprint, const std::string& target);
  void answered(time_point now, const id128& fingerprint, const std::string& target);
  /// An attempt ended without showing anything about its request: not sent, refused, cancelled or
  /// timed out.
  void abandoned(const id128& fingerprint, const std::string& target);
  /// An attempt ended by a reset or close before the answer.
  /// @param target_died true when the target refused connections right after.
  void broken(time_point now, const id128& fingerprint, const std::string& target,
              bool target_died);
  /// The target was found dead after attempts there had broken.
  void died(time_point now, const std::string& target);
  /// @return true when the request must be refused.
  bool convicted(time_point now, const id128& fingerprint) const;
  /// Conviction told by another node.
  void heard(time_point now, const id128& fingerprint);
  /// @return this node's own convictions. Those heard are left out: nodes that told them to each
  /// other would renew them for ever.
  std::vector<id128> convictions(time_point now) const;
  /// @return what happened since the last call, to be sent to all other nodes soon.
  crash_report take_report();
  /// Report of another node. Reports of one death by several nodes are joined.
  void heard_report(time_point now, const crash_report& report);

 private:
  struct attempt {
    id128 fingerprint;
    time_point started{};
  };
  struct broken_attempt {
    id128 fingerprint;
    time_point started{};
    time_point ended{};
  };
  struct target_row {
    std::vector<attempt> in_flight;
    /// Attempts that broke shortly before the death of the target was noticed.
    std::vector<broken_attempt> recent;
    time_point died_at{};
    bool died = false;
  };
  struct death {
    std::string target;
    time_point at{};
    /// Age of each fingerprint that was in flight.
    std::unordered_map<id128, duration, id128_hash> ages;
  };
  using death_number = std::uint64_t;
  struct conviction {
    time_point since{};
    time_point until{};
    bool own = false;
    /// Death that led to an own conviction.
    death_number death = 0;
  };

  std::optional<time_point> end_attempt(const id128& fingerprint, const std::string& target);
  void record_death(time_point now, target_row& row, const std::string& target);
  void add_death(time_point now, const std::string& target,
                 const std::vector<death_report::member>& members);
  void judge(time_point now, death_number number);
  void decide(time_point now, death_number number, const id128& fingerprint, bool guilty);
  double likelihood(time_point now, const id128& fingerprint,
                    const std::vector<death_number>& deaths) const;
  void clear(const id128& fingerprint);
  void prune(time_point now);

  crash_settings options_;
  std::unordered_map<std::string, target_row> targets_;
  std::unordered_map<death_number, death> deaths_;
  death_number last_death_ = 0;
  /// Deaths of different targets at which a fingerprint was in flight, in order.
  std::unordered_map<id128, std::vector<death_number>, id128_hash> suspicions_;
  crash_report pending_;
  std::unordered_map<id128, conviction, id128_hash> convictions_;
  /// Time of the last answer of a fingerprint; two generations, the older one is dropped whole.
  std::array<std::unordered_map<id128, time_point, id128_hash>, 2> answered_;
  time_point last_prune_{};
};

} // namespace damaskledge::admission
