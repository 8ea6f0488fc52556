/// @file
/// Admission decisions: authentication, route matching, load shedding by importance, and
/// refusal of requests that crash upstreams.
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

/// Transparent string hash, for look-up by `std::string_view` without a copy.
struct text_hash {
  using is_transparent = void;
  std::size_t operator()(std::string_view text) const noexcept { return hash64(text); }
};
template <class Value>
using text_map = std::unordered_map<std::string, Value, text_hash, std::equal_to<>>;

/// Immutable index over the active configuration lists and keys; rebuilt when one of them changes.
class rule_book {
 public:
  rule_book(config::lists lists, const config::keys& keys);
  // The indices point into `lists_`.
  rule_book(const rule_book&) = delete;
  rule_book& operator=(const rule_book&) = delete;

  /// An authenticated caller, or a caller without a key on an open route.
  struct identity {
    std::string account;
    std::string key_id;
  };
  /// @param presented key text as sent by the caller ("dlk_<id>_<secret>").
  /// Unknown identifiers take as long as wrong secrets. Only a caller that has the secret of a
  /// withdrawn key learns that it was withdrawn.
  /// @return a refusal with `key_missing`, `key_unknown`, `key_withdrawn` or `account_unknown`;
  /// its text never contains the key.
  std::variant<identity, refusal> authenticate(std::string_view presented) const;
  /// @return true while the key exists, is not withdrawn and belongs to `account`, and the account
  /// exists.
  bool key_in_force(std::string_view key_id, std::string_view account) const;
  /// @param path path below the service; a query is ignored. Escapes are decoded before the
  /// comparison, so that a path with an escaped letter matches the route that the upstream serves.
  /// @return the route with the longest prefix that ends at a segment boundary, or nullptr, also
  /// for a path that `check_path` refuses.
  const config::route* find_route(std::string_view service, std::string_view method,
                                  std::string_view path) const;
  /// @return true when the account's plan lists the route.
  bool allowed(std::string_view account, const config::route& route) const;
  const config::plan* plan_of(std::string_view account) const;
  const config::lists& lists() const { return lists_; }

 private:
  struct key_entry {
    std::string account;
    /// SHA-256 of the secret; empty when the configured digest is malformed, so that no secret
    /// matches.
    std::string digest;
    bool withdrawn = false;
  };
  struct plan_entry {
    const config::plan* plan = nullptr;
    std::unordered_set<std::string> routes;
  };

  config::lists lists_;
  text_map<key_entry> keys_;
  text_map<plan_entry> plans_;
  /// Plan name of each account.
  text_map<std::string> accounts_;
  /// Routes keyed by "method service", longest path first.
  text_map<std::vector<const config::route*>> routes_;
};

/// Checks the path of a request before it is matched or forwarded.
/// @return a refusal for a path that does not start with '/', has `.`, `..` or empty segments
/// (also escaped), escaped slashes, backslashes, control characters, bytes that a URI may not
/// contain, or malformed escapes; nothing when the path is acceptable.
std::optional<refusal> check_path(std::string_view path);

/// Key found in a request, and the request target without it.
struct extracted_key {
  std::string key;
  /// Request target with an `api_key` parameter removed.
  std::string target;
};

/// Reads the key from Authorization, X-Api-Key or the query, in this order; empty when none is
/// given. Escaped names and values of the query are decoded.
/// @return a refusal when two different keys are given, when a value is malformed, or when the
/// target still contains the secret after the `api_key` parameter was removed.
std::variant<extracted_key, refusal> extract_key(std::string_view authorization,
                                                 std::string_view api_key_header,
                                                 std::string_view target);
/// @return true when the secret part of the key occurs unescaped in `bytes`; for a text that is
/// not of a key's form, when the whole text occurs. Escaped forms are not found.
bool contains_key(std::string_view bytes, std::string_view key);

/// Shed level of a service: the number of (importance, sub-level) steps that are refused,
/// least important first. 0 refuses nothing. Sub-levels order the accounts of one importance
/// class by a hash that includes the time slot, so that no account is always refused first.
/// Source: DAGOR, "Overload control for scaling WeChat microservices" (SoCC 2018).
inline constexpr std::uint32_t sub_levels_per_class = 16;
inline constexpr std::uint32_t max_shed_level = 4 * sub_levels_per_class - 1;

struct shed_settings {
  /// Average queue delay in an interval above which the level rises.
  milliseconds target_delay{5};
  milliseconds interval{100};
  /// Steps by which the level falls per interval without overload. After half a second without
  /// overload, the decrease doubles with each further interval.
  std::uint32_t fall_step = 2;
  std::uint32_t rise_step = 4;
  /// Time after which a level received from another node expires.
  milliseconds remote_level_ttl{3'000};
  /// True to order accounts by their recent admitted requests, so that the account with the
  /// fewest is shed last within a class (objective "fairness").
  bool fairness = false;
};

/// Shed levels of the services that this node calls or receives levels for. Not thread-safe.
class shed_table {
 public:
  shed_table(shed_settings options, std::string node);

  /// Records the queue delay of one call. The level rises when the average over an interval is
  /// above the target. The minimum would not show overload: it stays near zero while the queue
  /// serves the newest call first.
  void observe_queue_delay(time_point now, const std::string& service, duration waited);
  /// Records a call that was refused by the upstream, or because no target had free capacity. The
  /// level also rises when more than a twentieth of an interval's calls are refused.
  void observe_refusal(time_point now, const std::string& service);
  /// Records an admitted request; ignored unless `fairness` is set.
  void observe_admitted(time_point now, const std::string& service, importance value,
                        std::string_view account);
  void tick(time_point now);

  /// Stores a level received from another node. A sequence that is not above the last one is
  /// ignored until that one expires. Expired levels are removed by `tick`.
  void heard(time_point now, const std::string& service, const std::string& origin,
             std::uint32_t level, std::uint64_t sequence);
  /// @param from_caller true for a request from a caller: the level is the larger of the node's
  /// own and the median of those received. False for an inner call, which an upstream makes while
  /// it serves a request: only the node's own level counts, and only whole importance classes are
  /// refused, because work has already been spent on the request.
  /// @return true when a request of this class and account is refused at the service.
  bool sheds(time_point now, const std::string& service, importance value, std::string_view account,
             bool from_caller) const;

  struct level_record {
    std::string service;
    std::uint32_t level = 0;
    std::uint64_t sequence = 0;
  };
  /// @return this node's levels that are above 0 or fell to 0 recently, to be sent to other nodes.
  std::vector<level_record> own_levels() const;
  /// @return the level that applies to requests from callers.
  std::uint32_t level(time_point now, const std::string& service) const;

 private:
  struct remote_level {
    std::uint32_t level = 0;
    std::uint64_t sequence = 0;
    time_point at{};
  };
  struct account_share {
    /// Admitted requests, with exponential decay: halved every few seconds.
    double admitted = 0;
    std::uint32_t sub_level = 0;
  };
  struct service_state {
    std::uint32_t level = 0;
    std::uint64_t sequence = 0;
    /// Intervals since the level fell to 0; large when it was never above 0.
    std::uint32_t intervals_at_zero = 1'000;
    /// Intervals since the last one with overload.
    std::uint32_t intervals_without_overload = 0;
    std::uint32_t calls = 0;
    std::uint32_t refusals = 0;
    duration waited{0};
    std::unordered_map<std::string, remote_level> remote;
    /// Median of `remote`.
    std::uint32_t median_remote_level = 0;
    std::array<text_map<account_share>, 4> shares;
  };

  void end_interval(service_state& state) const;
  static std::uint32_t median_level(const service_state& state);

  shed_settings options_;
  std::string node_;
  time_point interval_start_{};
  std::unordered_map<std::string, service_state> services_;
};

struct crash_settings {
  /// Sum of a fingerprint's weights (1/n per death) from which on it is refused.
  double threshold = 1.5;
  seconds suspicion_ttl{60};
  seconds conviction_ttl{600};
  /// Largest number of suspected fingerprints, and also of answered fingerprints that are
  /// remembered.
  std::size_t max_entries = 16'384;
};

/// Death of a target as observed by one node.
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
  /// Requests that the node had in flight at the target.
  std::vector<member> members;

  bool operator==(const death_report&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(target, members);
  }
};

/// Crash observations that a node sends to all others. Reports are rare and small: about 24 bytes
/// for each request that was in flight at a target that died.
struct crash_report {
  std::vector<death_report> deaths;
  /// Suspected fingerprints that have since been answered.
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
/// When a target dies, each of the n fingerprints in flight there gets the weight 1/n. A
/// fingerprint is refused when the sum of its weights over different targets reaches the
/// threshold, or when it was in flight at the deaths of at least two targets and explains them
/// much better than the alternatives: the other fingerprints that were in flight at the same
/// deaths, and unrelated causes. A request that crashes its upstream does so at about the same age
/// each time. A harmless request that was retried has an arbitrary age at each death, and most
/// harmless ones have been answered before. When several fingerprints explain the deaths equally
/// well, none is refused until another death distinguishes them.
///
/// A caller may retry the request at any node, and a target serves many nodes. The nodes therefore
/// exchange reports; without them, a node with one request in flight at a target would attribute
/// the death to this request alone.
class crash_table {
 public:
  explicit crash_table(crash_settings options);

  /// Records the start of an attempt at a target.
  void started(time_point now, const id128& fingerprint, const std::string& target);
  /// Records an answer; it removes the fingerprint's suspicions and conviction.
  void answered(time_point now, const id128& fingerprint, const std::string& target);
  /// Ends an attempt whose outcome is no evidence for or against its request: not sent, refused,
  /// cancelled or timed out.
  void abandoned(const id128& fingerprint, const std::string& target);
  /// Records an attempt whose connection was reset or closed before the answer.
  /// @param target_died true when the target refused connections immediately afterwards.
  void broken(time_point now, const id128& fingerprint, const std::string& target,
              bool target_died);
  /// Records that the target was found dead after connections to it had broken.
  void died(time_point now, const std::string& target);
  /// @return true when the request must be refused.
  bool convicted(time_point now, const id128& fingerprint) const;
  /// Stores a conviction received from another node.
  void heard(time_point now, const id128& fingerprint);
  /// @return this node's own convictions, once they are old enough to be sent. Received ones are
  /// left out: nodes that forwarded them to each other would renew them for ever.
  std::vector<id128> convictions(time_point now) const;
  /// Takes the deaths and cleared fingerprints since the last call, to be sent to all other nodes
  /// soon.
  crash_report take_report();
  /// Applies a report from another node. Reports of one death by several nodes are merged.
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
  struct target_state {
    std::vector<attempt> in_flight;
    /// Attempts that broke shortly before the death of the target was noticed.
    std::vector<broken_attempt> recent_breaks;
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
    /// The death that led to the conviction; 0 unless `own`.
    death_number death = 0;
  };

  std::optional<time_point> end_attempt(const id128& fingerprint, const std::string& target);
  void record_death(time_point now, target_state& state, const std::string& target);
  void add_death(time_point now, const std::string& target,
                 const std::vector<death_report::member>& members);
  void evaluate_death(time_point now, death_number number);
  void update_conviction(time_point now, death_number number, const id128& fingerprint,
                         bool convict);
  double likelihood(time_point now, const id128& fingerprint,
                    const std::vector<death_number>& deaths) const;
  void clear(const id128& fingerprint);
  void prune(time_point now);

  crash_settings options_;
  std::unordered_map<std::string, target_state> targets_;
  std::unordered_map<death_number, death> deaths_;
  death_number last_death_ = 0;
  /// Deaths of different targets at which a fingerprint was in flight, in the order of recording.
  std::unordered_map<id128, std::vector<death_number>, id128_hash> suspicions_;
  crash_report pending_report_;
  std::unordered_map<id128, conviction, id128_hash> convictions_;
  /// Time of each fingerprint's last answer, in two generations; the older one is discarded when
  /// the newer one is full.
  std::array<std::unordered_map<id128, time_point, id128_hash>, 2> answered_;
  time_point last_prune_{};
};

} // namespace damaskledge::admission
