/// @file
/// Client of the platform's object API: versions, conditional updates and watches.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "common/common.h"

namespace damaskledge::platform {

/// An object as the platform returned it. Versions of an object only rise.
struct object {
  std::string name;
  std::uint64_t version = 0;
  std::string content;

  bool operator==(const object&) const = default;
};

/// Reads an object.
struct read {
  std::string name;
};

/// Writes an object if its version is still `expected_version` (0: if it does not exist).
/// `content` is JSON with a member "write_id" that is unique for each write; after a
/// lost answer the client reads the object and recognises its own write by it.
struct write {
  std::string name;
  std::uint64_t expected_version = 0;
  std::string content;
};

/// Removes an object if its version is still `expected_version`.
struct erase {
  std::string name;
  std::uint64_t expected_version = 0;
};

/// Waits until the object's version is above `known_version` or the timeout passes.
struct watch {
  std::string name;
  std::uint64_t known_version = 0;
  milliseconds timeout{0};
};

using call = std::variant<read, write, erase, watch>;

/// The object has the requested state: read or watched content, or the written version.
struct found {
  object value;
};
/// The object does not exist.
struct absent {};
/// The condition of an update failed. `current` is the object as read afterwards when
/// that read succeeded; its version is 0 otherwise.
struct conflict {
  object current;
};
/// Nothing newer came before the watch's timeout.
struct unchanged {};
/// The call did not take effect: refused, rate-limited, or no connection.
struct unavailable {
  std::string reason;
  milliseconds retry_after{0};
};
/// A write was sent and its fate could not be resolved by reading.
struct unresolved {
  std::string reason;
};

using answer = std::variant<found, absent, conflict, unchanged, unavailable, unresolved>;

/// A platform call that a state machine wants made. The answer comes back to the
/// state machine that asked, with the same tag.
struct requested_call {
  std::uint64_t tag = 0;
  call what;
};

} // namespace damaskledge::platform
