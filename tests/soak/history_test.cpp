// The soak finds nothing if its own checks don't see a broken promise.
#include <doctest/doctest.h>

#include "soak/history.h"

using namespace damaskledge;
using soak::history;
using soak::request_record;

namespace {

const time_point start{seconds(100)};

request_record attempt(const std::string& id, bool once) {
  request_record it;
  it.id = id;
  it.account = "a";
  it.key = "k";
  it.once = once;
  it.in_touch = true;
  return it;
}

std::string first_violation(const history& of) {
  return of.violations().empty() ? "" : of.violations().front().promise;
}

} // namespace

TEST_CASE("A request that runs and is answered breaks no promise") {
  history seen(start);
  seen.sent(start, attempt("r", true));
  seen.ran(start, "r", "a", "front", "front", false);
  seen.answered(start, "r", 200, true);
  CHECK(seen.violations().empty());
  CHECK(seen.served_since(start) == std::pair<std::size_t, std::size_t>(1, 1));
}

TEST_CASE("A second run of a request that may run once is seen, one of another is not") {
  history seen(start);
  seen.sent(start, attempt("once", true));
  seen.sent(start, attempt("again", false));
  for (int i = 0; i < 2; ++i) {
    seen.ran(start, "again", "a", "front", "front", false);
  }
  CHECK(seen.violations().empty());
  for (int i = 0; i < 2; ++i) {
    seen.ran(start, "once", "a", "front", "front", false);
  }
  CHECK(first_violation(seen) == "at most once");
}

TEST_CASE("A refusal of what has run, or runs later, is seen") {
  for (const bool refused_first : {false, true}) {
    history seen(start);
    seen.sent(start, attempt("r", true));
    if (refused_first) {
      seen.answered(start, "r", 503, false);
    }
    seen.ran(start, "r", "a", "front", "front", false);
    if (!refused_first) {
      seen.answered(start, "r", 429, false);
    }
    CHECK(first_violation(seen) == "true refusals");
  }
}

TEST_CASE("Foreign answers, accounts, services, keys and requests are seen") {
  history seen(start);
  for (const char* id : {"answer", "account", "service", "key"}) {
    seen.sent(start, attempt(id, false));
  }
  seen.answered(start, "answer", 200, false);
  seen.ran(start, "account", "b", "front", "front", false);
  seen.ran(start, "service", "a", "deep", "front", false);
  seen.ran(start, "key", "a", "front", "front", true);
  seen.ran(start, "unknown", "a", "front", "front", false);
  std::vector<std::string> promises;
  for (const auto& it : seen.violations()) {
    promises.push_back(it.promise);
  }
  CHECK(promises == std::vector<std::string>{"whole answers", "accounts", "calling service",
                                             "keys stay", "only what was asked"});
}

TEST_CASE("A withdrawn key that still works after the limit is seen, within it is not") {
  for (const milliseconds after : {milliseconds(1'900), milliseconds(2'100)}) {
    history seen(start);
    seen.withdrawn(start, "k");
    seen.sent(start + after, attempt("r", false));
    seen.ran(start + after, "r", "a", "front", "front", false);
    CHECK(seen.violations().empty() == (after < soak::apply_limit));
  }
}

TEST_CASE("Runs above an account's rate and burst in one window are seen") {
  // (60 a second for 5 s and 60 at once, a tenth more) and 20.
  constexpr int allowed = 416;
  history seen(start);
  for (int i = 0; i <= allowed; ++i) {
    CHECK(seen.violations().empty());
    const std::string id = std::to_string(i);
    const time_point at = start + milliseconds(i * 10);
    seen.sent(at, attempt(id, false));
    seen.ran(at, id, "a", "front", "front", false);
  }
  CHECK(first_violation(seen) == "rates");
}
