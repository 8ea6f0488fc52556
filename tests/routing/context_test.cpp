#include <functional>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "routing/routing.h"

using namespace damaskledge;
using namespace damaskledge::routing;

namespace {

constexpr time_point start{seconds{1'000}};
const std::string secret(32, 's');

context example() {
  return {random_id(),       random_id(), "account", "0123456789ab", importance::high,
          1'800'000'000'000, 4,           3,         "127.0.0.2",    {"127.0.0.3", 8'082}};
}

} // namespace

TEST_CASE("a context survives encoding under either secret of a rotation") {
  // Guards against fields lost in encoding, and against inner calls that are refused while the
  // secret is rotated.
  CHECK(rc::check([](std::string account, std::uint8_t retries, std::uint8_t depth,
                     std::int64_t deadline, std::uint16_t port) {
    context value = example();
    value.account = account.substr(0, 255);
    value.retries = retries;
    value.depth = depth;
    value.deadline = deadline;
    value.issuer.port = port;
    const std::string token = encode_context(value, secret);
    RC_ASSERT(token.size() <= max_token_length);
    RC_ASSERT(decode_context(token, {"another", secret}) == value);
    RC_ASSERT(!decode_context(token, {"another", ""}));
  }));
  context largest = example();
  largest.account = std::string(256, 'a');
  CHECK(encode_context(largest, secret).empty());
  largest.account = largest.key_id = largest.vm_address = largest.issuer.address =
      std::string(255, 'x');
  CHECK(decode_context(encode_context(largest, secret), {secret}) == largest);
}

TEST_CASE("forged and malformed tokens are refused without an exception") {
  // Guards against forged accounts and against a crash caused by a crafted header.
  const std::string token = encode_context(example(), secret);
  for (std::size_t it = 0; it < token.size(); ++it) {
    for (const char replacement : {'A', '_', '=', '\0', '\xff'}) {
      std::string changed = token;
      changed[it] = replacement;
      if (changed != token) {
        const auto value = decode_context(changed, {secret});
        // The unused low bits of the last character carry no data.
        CHECK((!value || it + 1 == token.size()));
      }
    }
    CHECK_FALSE(decode_context(token.substr(0, it), {secret}));
  }
  CHECK_FALSE(decode_context(token + "AAAA", {secret}));
  CHECK_FALSE(decode_context(std::string(1'000'000, 'A'), {secret}));
  CHECK_FALSE(decode_context(token, {}));
  CHECK(rc::check([](const std::string& text) { RC_ASSERT(!decode_context(text, {secret})); }));
}

TEST_CASE("retries in a whole call tree never exceed the first budget") {
  // Guards against retry amplification: retries that multiply with each level of the call tree.
  CHECK(rc::check([] {
    const auto first = *rc::gen::inRange<std::uint32_t>(0, 9);
    std::uint32_t spent = 0;
    // Walks a random tree; every call spends its retries before its last attempt or passes
    // them on to its subtree.
    const std::function<void(std::uint32_t, int)> run = [&](std::uint32_t budget, int depth) {
      const auto own = *rc::gen::inRange<std::uint32_t>(0, budget + 1);
      spent += own;
      context_table table;
      context value = example();
      value.retries = budget - own;
      const int children = depth < 4 ? *rc::gen::inRange(0, 4) : 0;
      for (int it = 0; it < children; ++it) {
        const auto given = table.begin_call(start, value);
        RC_ASSERT(given.has_value());
        if (*rc::gen::inRange(0, 3) == 0) {
          table.end_call(value.id, *given);
        } else {
          run(*given, depth + 1);
        }
      }
    };
    run(first, 0);
    RC_ASSERT(spent <= first);
  }));
}

TEST_CASE("the deepest call of a plain chain still has a retry") {
  // Guards against budgets that reach 0 through the depth of the chain alone, without a retry.
  std::uint32_t budget = 4;
  for (int depth = 0; depth < 14; ++depth) {
    context_table table;
    context value = example();
    value.retries = budget;
    budget = *table.begin_call(start, value);
    CHECK(budget >= 1);
  }
}

TEST_CASE("an ended context starts no call until its record expires") {
  // Guards against inner calls for a request that was cancelled.
  context_table table;
  const context value = example();
  CHECK(table.begin_call(start, value) == 2);
  table.ended(start, value.id, seconds{1});
  table.tick(start + milliseconds{999});
  CHECK(table.has_ended(value.id));
  CHECK_FALSE(table.begin_call(start, value));
  table.tick(start + seconds{2});
  CHECK_FALSE(table.has_ended(value.id));
}

TEST_CASE("a full table stays within its bound and grants no retries twice") {
  // Guards against unbounded memory and against a budget that is granted again after eviction.
  context_table table({.max_entries = 10});
  std::uint32_t given = 0;
  for (int it = 0; it < 100; ++it) {
    given += table.begin_call(start, example()).value();
    table.ended(start, random_id(), seconds{1});
  }
  CHECK(given == 10 * 2);
  CHECK(table.size() == 20);
  table.tick(start + seconds{200});
  CHECK(table.size() == 0);
}

TEST_CASE("cost of encoding and decoding a context") {
  // Guards against token handling that takes a noticeable part of the latency added to a request.
  // The bound is loose because other work may share the machine.
  const context value = example();
  constexpr int calls = 20'000;
  std::string token;
  auto begin = clock_type::now();
  for (int it = 0; it < calls; ++it) {
    token = encode_context(value, secret);
  }
  const double encode =
      std::chrono::duration<double, std::micro>(clock_type::now() - begin).count();
  begin = clock_type::now();
  for (int it = 0; it < calls; ++it) {
    REQUIRE(decode_context(token, {secret}));
  }
  const double decode =
      std::chrono::duration<double, std::micro>(clock_type::now() - begin).count();
  MESSAGE("encode: ", encode / calls, " us, decode: ", decode / calls, " us, ", token.size(),
          " characters");
  CHECK(encode / calls < 100);
  CHECK(decode / calls < 100);
}
