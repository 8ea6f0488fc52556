#include <set>

#include <doctest/doctest.h>

#include "sidecar/configuration_fetch.h"

using namespace damaskledge;
using sidecar::configuration_fetch;

namespace {

constexpr time_point start{seconds(100)};

} // namespace

TEST_CASE("A node waits for the store before it asks others for a configuration") {
  // Every node of a large fleet asked every other one for each new version, although the store
  // delivered it a few milliseconds later.
  configuration_fetch fetch(1);
  for (int i = 0; i < 94; ++i) {
    fetch.announced(start, "n" + std::to_string(i), true, 7, 6);
  }
  CHECK_FALSE(fetch.next(start + milliseconds(100), 6));
  // The store delivers.
  CHECK_FALSE(fetch.next(start + milliseconds(400), 7));
}

TEST_CASE("A node whose store does not deliver asks one node at a time, near ones first") {
  configuration_fetch fetch(1);
  fetch.announced(start, "far", false, 7, 6);
  fetch.announced(start, "near-1", true, 7, 6);
  fetch.announced(start, "near-2", true, 7, 6);
  const auto due = start + configuration_fetch::store_patience;
  const auto first = fetch.next(due, 6);
  REQUIRE(first);
  CHECK(first->starts_with("near"));
  CHECK_FALSE(fetch.next(due + milliseconds(100), 6));
  const auto second = fetch.next(due + configuration_fetch::answer_patience, 6);
  REQUIRE(second);
  CHECK(second->starts_with("near"));
  CHECK(*second != *first);
  CHECK(fetch.next(due + 2 * configuration_fetch::answer_patience, 6) == "far");
}

TEST_CASE("Nodes that are behind do not all ask the same one") {
  std::set<std::string> asked;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    configuration_fetch fetch(seed * 0x9E37'79B9'7F4A'7C15);
    fetch.announced(start, "a", true, 7, 6);
    fetch.announced(start, "b", true, 7, 6);
    asked.insert(fetch.next(start + seconds(1), 6).value());
  }
  CHECK(asked.size() == 2);
}

TEST_CASE("A newer version after one that was fetched waits for the store again") {
  configuration_fetch fetch(1);
  fetch.announced(start, "a", true, 7, 6);
  REQUIRE(fetch.next(start + seconds(1), 6));
  CHECK_FALSE(fetch.next(start + seconds(2), 7));
  fetch.announced(start + seconds(3), "a", true, 8, 7);
  CHECK_FALSE(fetch.next(start + seconds(3) + milliseconds(100), 7));
  CHECK(fetch.next(start + seconds(3) + configuration_fetch::store_patience, 7) == "a");
}
