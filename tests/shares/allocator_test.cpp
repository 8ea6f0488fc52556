#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "shares/shares.h"

namespace damaskledge::shares {
namespace {

constexpr limit whole{100, 20};

time_point at(int ms) {
  return time_point{} + std::chrono::hours{1} + milliseconds{ms};
}

wire::incoming from(const std::string& sender, wire::message body) {
  return {sender, {"10.0.0.1", 1}, std::move(body)};
}

/// Tokens in the only grant of a batch; -1 when there is none.
int granted(const std::vector<wire::outgoing>& batch) {
  for (const wire::outgoing& it : batch) {
    if (const auto* grant = std::get_if<wire::token_grant>(&it.body)) {
      return static_cast<int>(grant->tokens);
    }
  }
  return -1;
}

struct fixture {
  allocator under_test{settings{}, "a"};
  term held{7, 0};
  std::uint64_t sequence = 0;

  void start(bool previous_settled) {
    under_test.set_limits(at(0), {{"x", whole}});
    under_test.start_term(at(0), held, previous_settled);
  }
  /// The ticks up to `ms`; a start credits no time before the predecessor's tokens have ended.
  void run_until(int ms) {
    for (int it = 200; it <= ms; it += 10) {
      under_test.tick(at(it));
    }
  }
  std::vector<wire::outgoing> ask(int ms, std::uint32_t wanted, std::uint64_t settled = 0,
                                  const std::string& sender = "n") {
    return under_test.receive(
        at(ms), from(sender, wire::token_request{"x", ++sequence, 1, held, settled, wanted}));
  }
};

TEST_CASE_FIXTURE(fixture,
                  "A restarted allocator has nothing while its predecessor's tokens live") {
  start(true);
  CHECK(under_test.exposure("x", at(0)) == whole.burst);
  under_test.tick(at(200));
  CHECK(under_test.exposure("x", at(200)) == doctest::Approx(10));
  under_test.tick(at(599));
  // The ceiling still counts, so half of the burst could accrue.
  CHECK(under_test.exposure("x", at(599)) == doctest::Approx(20));
}

TEST_CASE_FIXTURE(fixture, "After an unsettled term nothing accrues before the own term has "
                           "settled, as grants of two earlier terms may live") {
  start(false);
  CHECK(granted(ask(300, 1)) == -1);
  CHECK(granted(under_test.tick(at(330))) == 0);
  under_test.tick(at(599));
  CHECK(granted(ask(600, 1)) == -1);
  CHECK(granted(under_test.tick(at(615))) == 1);
}

TEST_CASE_FIXTURE(fixture, "A new term is not reported as accruing while tokens of an earlier "
                           "one may fill the burst") {
  CHECK_FALSE(under_test.accrues(at(0)));
  start(true);
  CHECK_FALSE(under_test.accrues(at(199)));
  CHECK(under_test.accrues(at(200)));
  start(false);
  CHECK_FALSE(under_test.accrues(at(599)));
  CHECK(under_test.accrues(at(600)));
  under_test.end_term();
  CHECK_FALSE(under_test.accrues(at(700)));
}

TEST_CASE_FIXTURE(fixture,
                  "A report of tokens that have ended by time does not free later grants") {
  start(true);
  run_until(1'000);
  CHECK(granted(ask(1'000, 2)) == 2);
  CHECK(granted(ask(1'500, 3)) == 3);
  under_test.tick(at(1'600));
  CHECK(under_test.exposure("x", at(1'600)) == doctest::Approx(18));
  // Ends the first grant, then its report comes: three tokens are still outstanding.
  ask(1'610, 0, 2);
  under_test.set_limits(at(1'610), {{"x", {0, 3}}});
  CHECK(under_test.exposure("x", at(1'610)) == doctest::Approx(3));
  CHECK(granted(ask(1'620, 1, 0, "other")) == -1);
  // A fallen limit drains: nothing is granted until the outstanding tokens have ended.
  under_test.tick(at(2'200));
  CHECK(under_test.exposure("x", at(2'200)) == doctest::Approx(0));
}

TEST_CASE_FIXTURE(fixture, "A repeated request gets the same grant, an older one gets none") {
  start(true);
  run_until(1'000);
  CHECK(granted(ask(1'000, 4)) == 4);
  const double before = under_test.exposure("x", at(1'000));
  --sequence;
  CHECK(granted(ask(1'000, 4)) == 4);
  CHECK(under_test.exposure("x", at(1'000)) == doctest::Approx(before));
  sequence -= 2;
  CHECK(granted(ask(1'000, 4)) == -1);
}

TEST_CASE_FIXTURE(fixture, "A node that follows a higher term gets nothing from this one") {
  start(true);
  run_until(1'000);
  CHECK(under_test.receive(at(1'000), from("n", wire::token_request{"x", 1, 1, {8, 0}, 0, 1}))
            .empty());
}

TEST_CASE_FIXTURE(fixture, "Transfers count once, only when asked for, and only in time") {
  under_test.set_donors({{"b", {"10.0.0.2", 2}}});
  start(true);
  const auto asked = [&](int ms) {
    for (const wire::outgoing& it : ask(ms, 5)) {
      if (const auto* request = std::get_if<wire::transfer_request>(&it.body)) {
        return *request;
      }
    }
    return wire::transfer_request{};
  };
  const auto give = [&](int ms, std::uint64_t number, std::uint32_t tokens) {
    const std::uint32_t millitokens = tokens * 1'000;
    const double before = under_test.exposure("x", at(ms));
    under_test.receive(at(ms), from("b", wire::transfer_grant{"x", "b", number, millitokens}));
    return under_test.exposure("x", at(ms)) - before;
  };
  under_test.tick(at(200));
  const wire::transfer_request first = asked(200);
  REQUIRE(first.wanted_millitokens > 0);
  CHECK(give(200, first.sequence + 1, 3) == doctest::Approx(0));
  CHECK(give(200, first.sequence, 100) * 1'000 <= first.wanted_millitokens);
  CHECK(give(200, first.sequence, 3) == doctest::Approx(0));
  under_test.set_limits(at(700), {{"x", {0, 20}}});
  under_test.tick(at(1'400));
  const std::uint32_t all = static_cast<std::uint32_t>(under_test.exposure("x", at(1'400)));
  for (std::uint32_t it = 0; it < all; ++it) {
    ask(1'400, 1, sequence);
  }
  const wire::transfer_request second = asked(1'500);
  REQUIRE(second.wanted_millitokens > 0);
  under_test.tick(at(1'590));
  const double before = under_test.exposure("x", at(1'590));
  under_test.receive(at(1'600), from("b", wire::transfer_grant{"x", "b", second.sequence, 3'000}));
  CHECK(under_test.exposure("x", at(1'600)) <= before);
}

TEST_CASE_FIXTURE(fixture, "Given tokens stay in the sum until the transfer has ended") {
  start(true);
  run_until(1'000);
  const auto out =
      under_test.receive(at(1'000), from("b", wire::transfer_request{"x", "b", 5, 100'000}));
  REQUIRE(out.size() == 1);
  CHECK(std::get<wire::transfer_grant>(out[0].body).millitokens == 10'000);
  CHECK(under_test.exposure("x", at(1'000)) == doctest::Approx(20));
  // The donor answers one request once.
  CHECK(under_test.receive(at(1'001), from("b", wire::transfer_request{"x", "b", 5, 100'000}))
            .empty());
  under_test.tick(at(1'199));
  CHECK(under_test.exposure("x", at(1'199)) <= 20);
}

TEST_CASE_FIXTURE(fixture, "A receipt ends the transfer that it names, once, and no other") {
  start(true);
  run_until(1'000);
  under_test.receive(at(1'000), from("b", wire::transfer_request{"x", "b", 5, 4'000}));
  under_test.receive(at(1'000), from("c", wire::transfer_request{"x", "c", 5, 3'000}));
  const auto receipt = [&](const std::string& data_centre, std::uint64_t number) {
    under_test.receive(at(1'000), from("b", wire::transfer_receipt{"x", data_centre, number}));
    return under_test.exposure("x", at(1'000));
  };
  CHECK(under_test.exposure("x", at(1'000)) == doctest::Approx(20));
  CHECK(receipt("b", 6) == doctest::Approx(20));
  CHECK(receipt("d", 5) == doctest::Approx(20));
  CHECK(receipt("b", 5) == doctest::Approx(16));
  CHECK(receipt("b", 5) == doctest::Approx(16));
  // The freed part accrues anew, and only at the rate.
  under_test.tick(at(1'010));
  CHECK(under_test.exposure("x", at(1'010)) == doctest::Approx(17));
}

TEST_CASE_FIXTURE(fixture, "Parts of a token are transferred, so that a small burst that is spread "
                           "over data centres can be used") {
  allocator donor_side(settings{}, "b");
  const std::map<std::string, limit> small{{"x", {1, 2}}};
  under_test.set_donors({{"b", {"10.0.0.2", 2}}});
  for (allocator* it : {&under_test, &donor_side}) {
    it->set_limits(at(0), small);
    it->start_term(at(0), held, true);
    // Nothing accrues before 200 ms, so both have 0.6 tokens then.
    for (int ms = 200; ms <= 800; ms += 10) {
      it->tick(at(ms));
    }
  }
  const auto asked = ask(800, 1);
  CHECK(granted(asked) == -1);
  REQUIRE(asked.size() == 1);
  const auto answered = donor_side.receive(at(801), from("a", asked[0].body));
  REQUIRE(answered.size() == 1);
  const auto out = under_test.receive(at(802), from("b", answered[0].body));
  CHECK(granted(out) == 1);
  CHECK(std::holds_alternative<wire::transfer_receipt>(out.at(0).body));
  CHECK(under_test.exposure("x", at(802)) + donor_side.exposure("x", at(801)) <= 2 * 1.2 + 1e-6);
}

TEST_CASE_FIXTURE(fixture, "A part of a token is not kept from a data centre whose caller waits") {
  under_test.set_limits(at(0), {{"x", {2, 2}}});
  under_test.start_term(at(0), held, true);
  run_until(700);
  REQUIRE(granted(ask(700, 1)) == 1);
  under_test.tick(at(850));
  REQUIRE(granted(ask(850, 1, 1)) == -1);
  REQUIRE(granted(under_test.tick(at(870))) == 0);
  const double left = under_test.exposure("x", at(870));
  REQUIRE(left > 0.3);
  REQUIRE(left < 1);
  const auto out =
      under_test.receive(at(870), from("b", wire::transfer_request{"x", "b", 5, 1'000}));
  REQUIRE(out.size() == 1);
  CHECK(std::get<wire::transfer_grant>(out[0].body).millitokens >= 1'000 * left - 1);
}

TEST_CASE("The last take of a caller whose wait is over asks for no further token") {
  node_buckets under_test(settings{}, 5);
  under_test.set_accounts({{"x", whole}});
  under_test.set_coordinator(at(0), {"10.0.0.3", 3}, {7, 0});
  CHECK(under_test.take(at(0), "x") == take_result::pending);
  CHECK(under_test.take(at(0), "x", true) == take_result::refused);
  const auto out = under_test.tick(at(0));
  REQUIRE(out.size() == 1);
  CHECK(std::get<wire::token_request>(out[0].body).wanted == 1);
}

TEST_CASE("A node without tokens repeats its report once, in case the first one is lost") {
  node_buckets under_test(settings{}, 5);
  under_test.set_accounts({{"x", {6, 6}}});
  under_test.set_coordinator(at(0), {"10.0.0.3", 3}, {7, 0});
  under_test.take(at(0), "x");
  const auto request = std::get<wire::token_request>(under_test.tick(at(0)).at(0).body);
  under_test.receive(at(1), from("c", wire::token_grant{"x", request.sequence, {7, 0}, 1, 500}));
  CHECK(under_test.take(at(1), "x") == take_result::taken);
  int reports = 0;
  for (int ms = 10; ms <= 1'000; ms += 10) {
    for (const wire::outgoing& it : under_test.tick(at(ms))) {
      const auto& report = std::get<wire::token_request>(it.body);
      CHECK(report.wanted == 0);
      CHECK(report.settled_total == 1);
      ++reports;
    }
  }
  CHECK(reports == 2);
}

TEST_CASE("A node's tokens live from the sending of the request, under the highest term only") {
  node_buckets under_test(settings{}, 5);
  under_test.set_accounts({{"x", whole}});
  under_test.set_coordinator(at(0), {"10.0.0.3", 3}, {7, 0});
  CHECK(under_test.take(at(0), "x") == take_result::pending);
  const auto out = under_test.tick(at(0));
  REQUIRE(out.size() == 1);
  const auto request = std::get<wire::token_request>(out[0].body);
  const auto grant = [&](int ms, std::uint64_t number, term held, std::uint32_t tokens) {
    under_test.receive(at(ms), from("c", wire::token_grant{"x", number, held, tokens, 500}));
  };
  grant(1, request.sequence - 1, {7, 0}, 9);
  grant(1, request.sequence, {6, 9}, 9);
  CHECK(under_test.held(at(1), "x") == 0);
  // Late, but in time: expiry still counts from the sending.
  grant(450, request.sequence, {7, 0}, 3);
  grant(451, request.sequence, {7, 0}, 3);
  CHECK(under_test.held(at(499), "x") == 3);
  CHECK(under_test.take(at(499), "x") == take_result::taken);
  // A process that was paused finds its tokens expired.
  CHECK(under_test.held(at(500), "x") == 0);
  CHECK(under_test.take(at(500), "x") == take_result::pending);
  // Spent and expired tokens are both reported.
  const auto next = under_test.tick(at(500));
  REQUIRE(next.size() == 1);
  CHECK(std::get<wire::token_request>(next[0].body).settled_total == 3);
  grant(501, std::get<wire::token_request>(next[0].body).sequence, {7, 0}, 2);
  CHECK(under_test.held(at(501), "x") == 2);
  under_test.set_coordinator(at(502), {"10.0.0.4", 4}, {7, 1});
  CHECK(under_test.held(at(502), "x") == 0);
}

TEST_CASE("A repeated request keeps its sequence number; a request given up starts a new stream") {
  node_buckets under_test(settings{}, 5);
  under_test.set_accounts({{"x", whole}});
  under_test.set_coordinator(at(0), {"10.0.0.3", 3}, {7, 0});
  under_test.take(at(0), "x");
  const auto first = std::get<wire::token_request>(under_test.tick(at(0)).at(0).body);
  const auto again = std::get<wire::token_request>(under_test.tick(at(25)).at(0).body);
  CHECK(again.sequence == first.sequence);
  CHECK(again.process == first.process);
  const auto later = std::get<wire::token_request>(under_test.tick(at(500)).at(0).body);
  CHECK(later.sequence != first.sequence);
  CHECK(later.process != first.process);
  // Grants do not name the process, so processes of one node must not share sequence numbers.
  node_buckets restarted(settings{}, 6);
  restarted.set_accounts({{"x", whole}});
  CHECK(restarted.take(at(0), "x") == take_result::refused);
  restarted.set_coordinator(at(0), {"10.0.0.3", 3}, {7, 0});
  restarted.take(at(0), "x");
  CHECK(std::get<wire::token_request>(restarted.tick(at(0)).at(0).body).sequence != first.sequence);
}

} // namespace
} // namespace damaskledge::shares
