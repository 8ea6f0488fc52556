#include <map>

#include <doctest/doctest.h>

#include "event/run_until.h"
#include "sidecar/store_client.h"
#include "store_stand_in.h"

using namespace damaskledge;

namespace {

constexpr std::uint16_t store_port = 17'430;

/// A mirror of one kind, with the contents that it has reported by name.
struct mirror_fixture {
  void put(const std::string& name, int value) { store.put("k", name, {{"value", value}}); }
  bool shows(const std::map<std::string, std::string>& wanted) {
    return test::run_until(loop, [&] { return shown == wanted && store.waiting() == 1; });
  }

  event::loop loop;
  test::store_stand_in store{loop, {"127.0.0.1", store_port}};
  std::map<std::string, std::string> shown;
  int lists = 0;
  sidecar::watch_terms terms;
  sidecar::event_log log{loop, "n"};
  sidecar::instruments counters;
  sidecar::object_mirror mirror{
      loop,
      {"127.0.0.1", store_port},
      "k",
      adapter::read_freshness::current,
      [this] { return terms; },
      {
          .on_object = [this](const adapter::stored_object& it) { shown[it.name] = it.content; },
          .on_removed = [this](const std::string& name) { shown.erase(name); },
          .on_listed = [this] { ++lists; },
          .on_restored = [](std::uint64_t) {},
      },
      log,
      counters};
};

} // namespace

TEST_CASE_FIXTURE(mirror_fixture,
                  "A change on a page that was read before the last one is not skipped") {
  put("a", 1);
  put("b", 1);
  store.page_size = 1;
  store.on_page = [&] { put("a", 2); };
  mirror.start();
  CHECK(shows({{"a", R"({"value":2})"}, {"b", R"({"value":1})"}}));
}

TEST_CASE_FIXTURE(mirror_fixture,
                  "Pages from before and after a restoration are not taken for one list") {
  put("a", 1);
  put("b", 1);
  store.save();
  put("a", 2);
  store.page_size = 1;
  store.on_page = [&] { store.restore(); };
  mirror.start();
  CHECK(shows({{"a", R"({"value":1})"}, {"b", R"({"value":1})"}}));
}

TEST_CASE_FIXTURE(mirror_fixture, "An object that a later list lacks is not kept") {
  put("a", 1);
  store.save();
  put("b", 1);
  mirror.start();
  REQUIRE(shows({{"a", R"({"value":1})"}, {"b", R"({"value":1})"}}));
  store.restore();
  CHECK(shows({{"a", R"({"value":1})"}}));
}

TEST_CASE_FIXTURE(mirror_fixture,
                  "Changes after a restoration are not left to stale data of before") {
  terms.freshness = adapter::read_freshness::stale;
  put("a", 1);
  store.save();
  mirror.start();
  REQUIRE(shows({{"a", R"({"value":1})"}}));
  store.restore();
  store.stale_watches_late = true;
  REQUIRE(test::run_until(loop, [&] { return lists == 2 && store.waiting() == 1; }));
  put("a", 2);
  CHECK(shows({{"a", R"({"value":2})"}}));
}
