#include "check/simulated_platform.h"

#include <algorithm>
#include <type_traits>
#include <utility>

namespace damaskledge::check {

namespace {

bool chance(std::mt19937_64& random, unsigned percent) {
  return random() % 100 < percent;
}

} // namespace

void simulated_platform::restore(rows copy) {
  ++era_;
  rows_ = std::move(copy);
  for (auto& [name, it] : rows_) {
    it.previous.reset();
    it.current.version =
        platform::version_in_era(era_, platform::stored_version(it.current.version));
  }
}

const platform::object* simulated_platform::find(const std::string& name) const {
  const auto it = rows_.find(name);
  return it == rows_.end() ? nullptr : &it->second.current;
}

platform::answer simulated_platform::read(const std::string& name, std::mt19937_64& random) const {
  const auto it = rows_.find(name);
  if (it == rows_.end()) {
    return platform::absent{era_};
  }
  if (stale_reads && it->second.previous && chance(random, 50)) {
    return platform::found{*it->second.previous};
  }
  return platform::found{it->second.current};
}

platform::answer simulated_platform::write(const platform::write& what, std::mt19937_64& random) {
  const auto it = rows_.find(what.name);
  const std::uint64_t version = it == rows_.end() ? 0 : it->second.current.version;
  const bool creates = version == 0 && platform::stored_version(what.expected_version) == 0;
  if (!creates && version != what.expected_version) {
    return platform::conflict{it == rows_.end() ? platform::object{} : it->second.current};
  }
  row& stored = rows_[what.name];
  if (version > 0) {
    stored.previous = std::move(stored.current);
  }
  stored.current = {what.name, std::max(version, platform::version_in_era(era_, 0)) + 1,
                    what.content};
  if (loses_answers && chance(random, 30)) {
    // The client reads the object to resolve a lost answer; half of the time that fails too.
    if (chance(random, 50)) {
      return platform::unresolved{"the answer of the write was lost"};
    }
  }
  return platform::found{stored.current};
}

std::optional<platform::answer> simulated_platform::execute(const platform::call& what,
                                                            std::mt19937_64& random) {
  if (outage) {
    return platform::unavailable{"the platform is down", milliseconds(100)};
  }
  return std::visit(
      [&](const auto& it) -> std::optional<platform::answer> {
        using type = std::decay_t<decltype(it)>;
        if constexpr (std::is_same_v<type, platform::read>) {
          return read(it.name, random);
        } else if constexpr (std::is_same_v<type, platform::write>) {
          return write(it, random);
        } else if constexpr (std::is_same_v<type, platform::erase>) {
          const auto found = rows_.find(it.name);
          if (found == rows_.end()) {
            return platform::absent{era_};
          }
          if (found->second.current.version != it.expected_version) {
            return platform::conflict{found->second.current};
          }
          platform::object removed = found->second.current;
          rows_.erase(found);
          return platform::found{std::move(removed)};
        } else {
          const auto found = rows_.find(it.name);
          if (found == rows_.end()) {
            return platform::absent{era_};
          }
          if (found->second.current.version <= it.known_version) {
            return std::nullopt;
          }
          return platform::found{found->second.current};
        }
      },
      what);
}

} // namespace damaskledge::check
