/// @file
/// Runs an event loop until something has happened.
#pragma once

#include "event/event.h"

namespace damaskledge::test {

/// @return false when the condition does not hold within five seconds.
template <class Condition>
bool run_until(event::loop& loop, Condition condition) {
  const auto limit = clock_type::now() + seconds(5);
  while (!condition()) {
    if (clock_type::now() > limit) {
      return false;
    }
    loop.run_once(milliseconds(5));
  }
  return true;
}

} // namespace damaskledge::test
