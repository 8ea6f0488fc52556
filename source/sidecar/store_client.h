/// @file
/// Calls to the platform's store: one connection with one call at a time, and the mirror of the
/// objects of one kind that is built on it.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "event/event.h"
#include "http/http.h"
#include "platform/adapter.h"
#include "sidecar/event_log.h"
#include "sidecar/instruments.h"

namespace damaskledge::sidecar {

/// Result of one call; status 0 when no whole answer came. The call may have taken effect then.
struct store_answer {
  int status = 0;
  std::string body;
  /// Identity of the target, in the answer to a health check.
  std::string instance;
  /// Rises whenever the store was restored from an older copy, which loses writes that it had
  /// acknowledged and gives out their revisions again; 0 when the answer names none.
  std::uint64_t era = 0;
};

class store_channel {
 public:
  using completion = std::function<void(store_answer)>;

  store_channel(event::loop& loop, const endpoint& store) : loop_(loop), store_(store) {}
  ~store_channel();
  store_channel(const store_channel&) = delete;
  store_channel& operator=(const store_channel&) = delete;

  /// Makes one call; the channel must not be busy.
  /// @param timeout the connection is given up after this time.
  void call(http::request value, milliseconds timeout, completion done);
  bool busy() const { return static_cast<bool>(done_); }
  /// Ends the connection and the call under way, if there is one; its completion does not run.
  void cancel();

 private:
  void open();
  void finish(store_answer answer, bool keep);
  store_answer take_answer();

  event::loop& loop_;
  endpoint store_;
  std::unique_ptr<event::stream> stream_;
  http::response_reader reader_{http::message_limits{64UL * 1024UL, 8UL * 1024UL * 1024UL}};
  completion done_;
  event::timer_id timer_ = 0;
};

/// Pause before a failed call is retried: doubles up to a bound, with jitter so that the nodes do
/// not retry at the same moment.
class backoff {
 public:
  milliseconds next();
  void reset() { current_ = first; }

 private:
  static constexpr milliseconds first{100};
  static constexpr milliseconds last{1'000};
  milliseconds current_ = first;
};

/// How a mirror asks for changes.
struct watch_terms {
  /// How long the store holds one watch open. A watch that hangs is detected only after this time.
  milliseconds wait{10'000};
  adapter::read_freshness freshness = adapter::read_freshness::current;
  /// Delay of the next watch after changes, so that changes in quick succession arrive together.
  milliseconds pause{0};
};

/// Keeps a copy of all objects of one kind: lists them, then watches for changes.
class object_mirror {
 public:
  struct events {
    /// An object is new or has changed.
    std::function<void(const adapter::stored_object&)> on_object;
    /// An object was removed, or a list lacks it.
    std::function<void(const std::string& name)> on_removed;
    /// All pages of a list were read.
    std::function<void()> on_listed;
    /// An answer shows that the store was restored from an older copy; the kind is listed again.
    std::function<void(std::uint64_t era)> on_restored;
  };

  /// @param list_freshness applies to lists until the store has forgotten its history once, or was
  /// restored.
  /// @param terms asked before each watch.
  object_mirror(event::loop& loop, const endpoint& store, std::string kind,
                adapter::read_freshness list_freshness, std::function<watch_terms()> terms,
                events callbacks, event_log& log, instruments& counters);
  void start() { proceed(); }
  /// Lists the kind again if the store has a later era than this mirror has seen. Call it when an
  /// answer on another connection shows the era.
  void restored(std::uint64_t era);
  /// Replaces a watch that accepts stale data by one with the present terms, if these ask for
  /// current data. Call it when the terms may have changed.
  void renew_watch();
  bool synchronised() const { return synchronised_; }
  /// @return `store_answer::era` of the last answer that named one, 0 for none.
  std::uint64_t era() const { return era_; }

 private:
  void list(const std::string& after);
  void watch();
  /// Makes the next call: a list if one is needed, else a watch.
  void proceed();
  void proceed_after(milliseconds pause);
  void on_page(const store_answer& answer);
  /// Replaces the names in this mirror by those of the list.
  void take_listed_names();
  void on_changes(const store_answer& answer);
  void retry_later(const std::string& what, int status);
  /// @return true when the answer has another era than the last one: what this mirror knows, and
  /// its revision, may not be the store's any more. A list is needed then.
  bool era_changed(const std::string& call, const store_answer& answer);
  void set_era(const std::string& call, std::uint64_t era);
  void note_available();

  event::timer_group timers_;
  store_channel channel_;
  std::string kind_;
  adapter::read_freshness list_freshness_;
  std::function<watch_terms()> terms_;
  events callbacks_;
  event_log& log_;
  instruments& counters_;
  backoff backoff_;
  /// Names of the objects in this mirror.
  std::set<std::string> names_;
  /// Names on the pages of the list that is being read.
  std::set<std::string> listed_names_;
  /// Revision of the first page of that list.
  std::optional<std::uint64_t> listed_revision_;
  std::uint64_t revision_ = 0;
  std::uint64_t era_ = 0;
  /// Restorations so recent that stale data may be older than they are.
  int recent_restorations_ = 0;
  /// Freshness of the watch that waits at the store.
  std::optional<adapter::read_freshness> waiting_watch_;
  /// The revision cannot be watched, or is unknown.
  bool list_needed_ = true;
  /// The last call failed, so the store may have been restored since the last answer.
  bool resuming_ = false;
  bool synchronised_ = false;
  bool available_ = true;
};

} // namespace damaskledge::sidecar
