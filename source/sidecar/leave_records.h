/// @file
/// Keeps in the platform's store which target beside this node leaves. The node's memory ends with
/// its process, and a late announcement would bring the target back after a restart. If the store
/// does not take the record from this node, another node writes it.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "event/event.h"
#include "platform/adapter.h"
#include "sidecar/event_log.h"
#include "sidecar/instruments.h"
#include "sidecar/store_client.h"

namespace damaskledge::sidecar {

class leave_records {
 public:
  /// @param record the leave that an earlier process of this node has recorded, or nothing.
  /// @param delayed the store did not answer at once, so it may not have answered the earlier
  /// process either, and may lack a leave that was acknowledged.
  using loaded_callback =
      std::function<void(const std::optional<adapter::leave_record>& record, bool delayed)>;

  /// Asks other nodes to write the record; they confirm with `recorded_by_peer`.
  using peer_request = std::function<void(const adapter::leave_record& record)>;

  /// @param node name of this node and of its object in the store.
  leave_records(event::loop& loop, const endpoint& store, std::string node, peer_request ask_peers,
                event_log& log, instruments& counters);

  /// Reads the record; asks again until the store answers.
  void load(loaded_callback done);
  /// @return true once the store has answered `load`.
  bool loaded() const { return loaded_; }
  /// Replaces the record; writes again until the store acknowledges it.
  void store(const adapter::leave_record& record);
  /// The store was restored from an older copy, which may lack the record.
  void restored();
  /// Another node has written the record.
  void recorded_by_peer(const adapter::leave_record& record);
  /// Runs `done` once the store holds the last record, and after `limit` at the latest.
  /// @param done gets whether the store holds the record.
  void when_stored(milliseconds limit, std::function<void(bool stored)> done);

 private:
  bool stored() const;
  /// Makes the next call that is needed.
  void proceed();
  void read();
  void write();
  void on_read(const store_answer& answer);
  void on_written(const store_answer& answer);
  void call_succeeded();
  void retry_later(std::string_view call, int status);
  void run_waiting();
  /// Asks other nodes at an interval until the record is written or nobody waits for it.
  void ask_peers_while_waiting();

  event::timer_group timers_;
  store_channel channel_;
  std::string node_;
  peer_request ask_peers_;
  /// Other nodes are asked, or will be soon.
  bool asking_ = false;
  event_log& log_;
  instruments& counters_;
  backoff backoff_;
  bool retry_pending_ = false;
  /// The last call failed.
  bool failing_ = false;
  bool loaded_ = false;
  bool read_needed_ = false;
  loaded_callback on_loaded_;
  /// This node's object as the store showed it last.
  std::optional<adapter::stored_object> object_;
  /// What the object is to hold.
  std::optional<adapter::leave_record> record_;
  /// What another node has written last for this one.
  std::optional<adapter::leave_record> recorded_by_peer_;
  /// Callbacks of `when_stored`.
  std::map<std::uint64_t, std::function<void(bool)>> waiting_;
  std::uint64_t next_waiting_ = 1;
};

} // namespace damaskledge::sidecar
