/// @file
/// Loopback proxy that delays, resets or silences the connections through it.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>

#include "event/event.h"

namespace damaskledge::soak {

/// What the proxy does to the bytes of its connections.
enum class link_state : std::uint8_t {
  open,
  /// Bytes are held back for the delay.
  delayed,
  /// Nothing gets through in either direction; connections stay open.
  silent,
  /// Bytes from the side that connected get through, answers don't.
  one_way,
  /// New connections are reset.
  refused,
};

class proxy {
 public:
  /// @param at where connections are accepted.
  /// @param to where they are forwarded.
  proxy(event::loop& loop, const endpoint& at, endpoint to);

  void set(link_state state, milliseconds delay = milliseconds(0));
  /// Resets every connection.
  void reset();
  bool listening() const { return listener_ != nullptr; }

 private:
  struct side {
    std::unique_ptr<event::stream> stream;
    /// Bytes from this side that are held back.
    std::string held;
  };
  struct connection {
    side client;
    side server;
  };

  void accept(int fd);
  void forward(std::uint64_t id, bool from_client);
  void release(std::uint64_t id);
  bool blocked(bool from_client) const;
  void drop(std::uint64_t id, bool abort);

  event::loop& loop_;
  endpoint to_;
  std::unique_ptr<event::listener> listener_;
  std::unordered_map<std::uint64_t, std::shared_ptr<connection>> connections_;
  std::uint64_t next_id_ = 1;
  link_state state_ = link_state::open;
  milliseconds delay_{0};
};

} // namespace damaskledge::soak
