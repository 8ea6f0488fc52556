#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "admission/admission.h"

using namespace damaskledge;
using namespace damaskledge::admission;

namespace {

constexpr std::string_view secret = "Zx81kqPd0vWw3TqLm2Yh";
constexpr std::string_view key = "dlk_0123456789ab_Zx81kqPd0vWw3TqLm2Yh";

std::string digest(std::string_view text) {
  const digest256 value = sha256(text);
  return to_hex({reinterpret_cast<const char*>(value.data()), value.size()});
}

config::route route(const std::string& name, const std::string& path) {
  config::route result;
  result.name = name;
  result.service = "melody";
  result.method = "GET";
  result.path = path;
  return result;
}

rule_book example_rule_book() {
  config::lists lists;
  lists.accounts = {{"rossi", "basic"}};
  lists.plans = {{"basic", 10, 20, {"browse", "deep"}}};
  lists.routes = {route("browse", "/melodies"), route("deep", "/melodies/old"), route("all", "/")};
  config::keys keys;
  keys.records = {{"0123456789ab", "rossi", digest(secret), 1, false},
                  {"00000000dead", "rossi", digest(secret), 1, true},
                  {"00000000feed", "nobody", digest(secret), 1, false},
                  {"00000000beef", "rossi", "not hexadecimal", 1, false}};
  return {lists, keys};
}

refusal_reason refusal_reason_of(const rule_book& book, std::string_view presented) {
  const auto result = book.authenticate(presented);
  REQUIRE(std::holds_alternative<refusal>(result));
  const auto& value = std::get<refusal>(result);
  CHECK(value.detail.find(secret) == std::string::npos);
  CHECK(value.state == outcome::not_run);
  return value.reason;
}

} // namespace

TEST_CASE("a key is accepted for its account only with the right secret") {
  // Guards against running a request for another account (P3).
  const rule_book book = example_rule_book();
  const auto result = book.authenticate(key);
  REQUIRE(std::holds_alternative<rule_book::identity>(result));
  CHECK(std::get<rule_book::identity>(result).account == "rossi");
  CHECK(std::get<rule_book::identity>(result).key_id == "0123456789ab");
  const std::string good(secret);
  CHECK(refusal_reason_of(book, "") == refusal_reason::key_missing);
  CHECK(refusal_reason_of(book, "dlk_0123456789ab_" + good + "x") == refusal_reason::key_unknown);
  CHECK(refusal_reason_of(book, "dlk_0123456789ac_" + good) == refusal_reason::key_unknown);
  CHECK(refusal_reason_of(book, "dlk_0123456789AB_" + good) == refusal_reason::key_unknown);
  CHECK(refusal_reason_of(book, "dlk_0123456789ab_") == refusal_reason::key_unknown);
  CHECK(refusal_reason_of(book, "dlk_0123456789ab_" + std::string(10'000, 'a')) ==
        refusal_reason::key_unknown);
  CHECK(refusal_reason_of(book, good) == refusal_reason::key_unknown);
  CHECK(refusal_reason_of(book, "dlk_00000000dead_" + good) == refusal_reason::key_withdrawn);
  CHECK(refusal_reason_of(book, "dlk_00000000dead_wrong") == refusal_reason::key_unknown);
  CHECK(refusal_reason_of(book, "dlk_00000000feed_" + good) == refusal_reason::account_unknown);
  CHECK(refusal_reason_of(book, "dlk_00000000beef_" + good) == refusal_reason::key_unknown);
  CHECK(refusal_reason_of(book, "dlk_00000000beef_") == refusal_reason::key_unknown);
  CHECK(book.key_in_force("0123456789ab", "rossi"));
  CHECK_FALSE(book.key_in_force("0123456789ab", "other"));
  CHECK_FALSE(book.key_in_force("00000000dead", "rossi"));
  CHECK_FALSE(book.key_in_force("00000000feed", "nobody"));
}

TEST_CASE("routes match by the longest prefix at a segment boundary") {
  // Guards against a route that also matches longer names with the same prefix, and against a
  // percent-encoded letter that selects a wider route than the one the upstream serves.
  const rule_book book = example_rule_book();
  const auto name = [&](std::string_view path) -> std::string {
    const auto* found = book.find_route("melody", "GET", path);
    return found == nullptr ? "" : found->name;
  };
  CHECK(name("/melodies") == "browse");
  CHECK(name("/melodies/7?x=/melodies/old") == "browse");
  CHECK(name("/melodies/old/1") == "deep");
  CHECK(name("/melodies/older") == "browse");
  CHECK(name("/melodiesx") == "all");
  CHECK(name("/%6delodies/%6fld") == "deep");
  CHECK(name("/melodies/../admin").empty());
  CHECK(book.find_route("melody", "POST", "/melodies") == nullptr);
  CHECK(book.find_route("other", "GET", "/melodies") == nullptr);
  CHECK(book.allowed("rossi", *book.find_route("melody", "GET", "/melodies")));
  CHECK_FALSE(book.allowed("rossi", *book.find_route("melody", "GET", "/")));
  CHECK_FALSE(book.allowed("nobody", *book.find_route("melody", "GET", "/melodies")));
  CHECK(book.plan_of("rossi")->name == "basic");
  CHECK(book.plan_of("nobody") == nullptr);
}

TEST_CASE("paths that an upstream may read differently are refused") {
  // Guards against a request that is checked as one route and run as another.
  for (const std::string_view it :
       {"",     "melodies", "/a/../b", "/..",    "/a/%2e%2E/b", "/a/.%2e", "/./a",         "/a//b",
        "//a",  "/a%2fb",   "/a%2Fb",  "/a%5cb", "/a\\b",       "/a%00",   "/a%0d%0aX: y", "/a\nb",
        "/a b", "/a%",      "/a%2",    "/a%zz",  "/a#b",        "/\x80"}) {
    CAPTURE(it);
    CHECK(check_path(it).has_value());
  }
  for (const std::string_view it : {"/", "/a", "/a/", "/a/b..c/...", "/a%20b", "/%C3%A9"}) {
    CAPTURE(it);
    CHECK_FALSE(check_path(it).has_value());
  }
  CHECK(rc::check([](const std::string& text) { (void)check_path("/" + text); }));
}

TEST_CASE("a key is read from one of three places and removed from the target") {
  // Guards against a key that reaches an upstream in the query (P4).
  const auto extract = [](std::string_view authorization, std::string_view header,
                          std::string_view target) {
    const auto result = extract_key(authorization, header, target);
    if (const auto* value = std::get_if<extracted_key>(&result)) {
      return value->key + " " + value->target;
    }
    const auto& refused = std::get<refusal>(result);
    CHECK(refused.reason == refusal_reason::malformed_request);
    CHECK(refused.detail.find(secret) == std::string::npos);
    return std::string("refused");
  };
  const std::string k(key);
  CHECK(extract("", "", "/a?b=c") == " /a?b=c");
  CHECK(extract("Bearer " + k, "", "/a") == k + " /a");
  CHECK(extract("bearer  " + k + " ", "", "/a") == k + " /a");
  CHECK(extract("", k, "/a?b=c&d") == k + " /a?b=c&d");
  CHECK(extract("", "", "/a?api_key=" + k) == k + " /a");
  CHECK(extract("", "", "/a?b=c&api%5Fkey=dlk%5f" + k.substr(4) + "&d=e") == k + " /a?b=c&d=e");
  CHECK(extract("Bearer " + k, k, "/a?api_key=" + k + "&api_key=" + k) == k + " /a");
  CHECK(extract("Bearer " + k, "other", "/a") == "refused");
  CHECK(extract("Bearer " + k, "", "/a?api_key=other") == "refused");
  CHECK(extract("", "", "/a?api_key=" + k + "&api_key=other") == "refused");
  CHECK(extract("", "", "/a?api_key=") == "refused");
  CHECK(extract("", "", "/a?api_key") == "refused");
  CHECK(extract("", "", "/a?api_key=%zz") == "refused");
  CHECK(extract("", "", "/a?api_key=a%0ab") == "refused");
  CHECK(extract("Bearer", "", "/a") == "refused");
  CHECK(extract("Basic " + k, "", "/a") == "refused");
  CHECK(extract("Bearer a b", "", "/a") == "refused");
  CHECK(extract("Bearer " + k, "", "/a/" + k) == "refused");
  CHECK(extract("Bearer " + k, "", "/a?API_KEY=" + k) == "refused");
  CHECK(extract("Bearer " + k, "", "/a?x=%5a" + std::string(secret.substr(1))) == "refused");
  CHECK(rc::check([](const std::string& a, const std::string& b, const std::string& c) {
    (void)extract_key(a, b, c);
    (void)extract_key("", "", "/?api_key=" + c);
  }));
}

TEST_CASE("a key in a body is found by its secret") {
  // Guards against a body that carries the key to an upstream (P4).
  CHECK(contains_key("{\"x\":\"" + std::string(key) + "\"}", key));
  CHECK(contains_key(secret, key));
  CHECK_FALSE(contains_key("dlk_0123456789ab_", key));
  CHECK_FALSE(contains_key("anything", ""));
}

TEST_CASE("cost of authenticate") {
  // Guards against authentication that takes more than a few microseconds, and against timing that
  // reveals which key identifiers exist. The bounds are loose because other work may share the
  // machine.
  const rule_book book = example_rule_book();
  const auto cost = [&](std::string_view presented) {
    constexpr int calls = 20'000;
    const auto begin = clock_type::now();
    for (int it = 0; it < calls; ++it) {
      (void)book.authenticate(presented);
    }
    return std::chrono::duration<double, std::micro>(clock_type::now() - begin).count() / calls;
  };
  const double right = cost(key);
  const double wrong = cost("dlk_0123456789ab_Zx81kqPd0vWw3TqLm2Yx");
  const double unknown = cost("dlk_ffffffffffff_Zx81kqPd0vWw3TqLm2Yh");
  MESSAGE("authenticate: right ", right, " us, wrong secret ", wrong, " us, unknown id ", unknown,
          " us");
  CHECK(right < 50);
  CHECK(unknown > wrong / 4);
  CHECK(unknown < wrong * 4);
}
