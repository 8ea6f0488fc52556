/// @file
/// Writes the leaves of other nodes to the platform's store, which may turn those nodes away while
/// it serves this one.
#pragma once

#include <deque>
#include <functional>
#include <optional>
#include <string>

#include "event/event.h"
#include "platform/adapter.h"
#include "sidecar/event_log.h"
#include "sidecar/instruments.h"
#include "sidecar/store_client.h"

namespace damaskledge::sidecar {

class peer_leave_writer {
 public:
  peer_leave_writer(event::loop& loop, const endpoint& store, event_log& log,
                    instruments& counters);

  /// Writes the record of another node, unless the store has a later one. There is one attempt: the
  /// other node asks again, and asks others, too.
  /// @param node name of the other node and of its object in the store.
  /// @param done runs once the store holds the record, and not at all otherwise.
  void write(const std::string& node, const adapter::leave_record& record,
             std::function<void()> done);

 private:
  struct entry {
    std::string node;
    adapter::leave_record record;
    std::function<void()> done;
  };

  /// Begins with the next entry, if there is one.
  void proceed();
  void on_read(const store_answer& answer);
  void on_written(const store_answer& answer);
  /// Ends work on the first entry.
  void finish(bool recorded);

  store_channel channel_;
  event_log& log_;
  instruments& counters_;
  /// The first entry is being worked on.
  std::deque<entry> entries_;
};

} // namespace damaskledge::sidecar
