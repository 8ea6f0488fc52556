#include <algorithm>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include <doctest/doctest.h>

#include "claims/claims.h"
#include "claims/shard_codec.h"

namespace damaskledge::claims {
namespace {

constexpr unix_milliseconds epoch = 1'700'000'000'000;

/// One writer and a platform that answers at once unless it is down.
struct fixture {
  settings options = [] {
    settings value;
    value.shards = 1;
    value.head_limit = 700;
    return value;
  }();
  claim_writer writer{options, 1};
  std::map<std::string, platform::object> objects;
  std::int64_t clock_ms = 0;
  bool down = false;
  std::vector<wire::claim_reply> replies;
  std::vector<bool> finishes;
  int writes = 0;
  std::uint64_t era = 1;

  time_point now() const { return time_point{} + milliseconds{clock_ms}; }
  unix_milliseconds wall() const { return epoch + clock_ms; }

  platform::answer execute(const platform::call& what) {
    if (down) {
      return platform::unavailable{"down", milliseconds{0}};
    }
    if (const auto* read = std::get_if<platform::read>(&what)) {
      const auto it = objects.find(read->name);
      return it == objects.end() ? platform::answer{platform::absent{era}}
                                 : platform::answer{platform::found{it->second}};
    }
    if (const auto* erase = std::get_if<platform::erase>(&what)) {
      objects.erase(erase->name);
      return platform::absent{};
    }
    ++writes;
    const auto& write = std::get<platform::write>(what);
    if (const auto it = objects.find(write.name);
        it != objects.end() && it->second.version != write.expected_version) {
      return platform::conflict{it->second};
    }
    const std::uint64_t before = std::max(write.expected_version, platform::version_in_era(era, 0));
    const platform::object next{write.name, before + 1, write.content};
    objects[write.name] = next;
    return platform::found{next};
  }
  void apply(claim_writer::effects effects) {
    for (const wire::outgoing& it : effects.messages) {
      if (const auto* reply = std::get_if<wire::claim_reply>(&it.body)) {
        replies.push_back(*reply);
      } else {
        finishes.push_back(std::get<wire::claim_finish_reply>(it.body).stored);
      }
    }
    for (const platform::requested_call& it : effects.calls) {
      apply(writer.on_answer(now(), wall(), it.tag, execute(it.what)));
    }
  }
  /// Goes back to a copy of the objects; their versions are those of a new era.
  void restore(std::map<std::string, platform::object> copy) {
    ++era;
    objects = std::move(copy);
    for (auto& [name, it] : objects) {
      it.version = platform::version_in_era(era, platform::stored_version(it.version));
    }
  }
  void run(std::int64_t ms) {
    for (const std::int64_t end = clock_ms + ms; clock_ms < end;) {
      clock_ms += 10;
      apply(writer.tick(now(), wall()));
    }
  }
  void ask(std::uint64_t operation, std::uint64_t request, std::uint64_t body = 7) {
    wire::claim_request message;
    message.operation = {operation, 1};
    message.request = {request, 2};
    message.body_hash = body;
    apply(writer.receive(now(), wall(), {"n", {"10.0.0.1", 1}, message}));
  }
  wire::claim_decision claim(std::uint64_t operation, std::uint64_t request,
                             std::uint64_t body = 7) {
    replies.clear();
    ask(operation, request, body);
    run(30);
    REQUIRE(replies.size() == 1);
    return replies[0].decision;
  }
  bool end(std::uint64_t operation, std::uint64_t request, bool released) {
    wire::claim_finish message;
    message.operation = {operation, 1};
    message.request = {request, 2};
    message.released = released;
    message.status = 201;
    message.content_type = "text/plain";
    message.answer = "stored";
    message.answer_kept = true;
    finishes.clear();
    apply(writer.receive(now(), wall(), {"n", {"10.0.0.1", 1}, message}));
    run(30);
    REQUIRE(finishes.size() == 1);
    return finishes[0];
  }
};

using wire::claim_decision;

TEST_CASE_FIXTURE(fixture, "Decisions on one operation from claim to finish") {
  CHECK(claim(1, 100) == claim_decision::granted);
  CHECK(claim(1, 100) == claim_decision::granted);
  CHECK(claim(1, 101) == claim_decision::already_claimed);
  CHECK(replies[0].holder == id128{100, 2});
  CHECK(claim(1, 101, 8) == claim_decision::body_differs);
  CHECK_FALSE(end(1, 101, false));
  CHECK(end(1, 100, false));
  CHECK(end(1, 100, false));
  // A run that has ended cannot be taken back, nor granted again to its own request.
  CHECK_FALSE(end(1, 100, true));
  CHECK(claim(1, 100) == claim_decision::already_run);
  CHECK(replies[0].status == 201);
  CHECK(replies[0].answer_kept);
  CHECK(replies[0].answer == "stored");
  // Another writer knows the status, but not the answer.
  writer = claim_writer(options, 2);
  CHECK(claim(1, 102) == claim_decision::already_run);
  CHECK(replies[0].status == 201);
  CHECK_FALSE(replies[0].answer_kept);
}

TEST_CASE_FIXTURE(fixture, "A released operation can be claimed, also when its row is sealed") {
  CHECK(claim(1, 100) == claim_decision::granted);
  CHECK(end(1, 100, true));
  CHECK(claim(1, 101) == claim_decision::granted);
  for (std::uint64_t it = 2; it < 30; ++it) {
    CHECK(claim(it, 100) == claim_decision::granted);
  }
  CHECK(objects.size() > 2);
  CHECK(end(1, 101, true));
  writer = claim_writer(options, 2);
  CHECK(claim(1, 102) == claim_decision::granted);
  CHECK(claim(2, 102) == claim_decision::already_claimed);
  writer = claim_writer(options, 3);
  CHECK(claim(1, 103) == claim_decision::already_claimed);
  for (const auto& [name, it] : objects) {
    CHECK(it.content.size() <= options.head_limit);
  }
}

TEST_CASE_FIXTURE(fixture, "Rows end by age, and segments whose rows have ended are removed") {
  options.retention = seconds{10};
  writer = claim_writer(options, 1);
  for (std::uint64_t it = 0; it < 30; ++it) {
    CHECK(claim(it, 100) == claim_decision::granted);
  }
  const std::size_t before = objects.size();
  run(5'000);
  CHECK(claim(0, 101) == claim_decision::already_claimed);
  run(8'000);
  CHECK(claim(0, 101) == claim_decision::granted);
  run(100);
  CHECK(objects.size() < before);
  writer = claim_writer(options, 2);
  CHECK(claim(0, 102) == claim_decision::already_claimed);
  CHECK(claim(1, 102) == claim_decision::granted);
}

TEST_CASE_FIXTURE(fixture, "While the platform is down new claims are refused in time and known "
                           "operations are still recognised") {
  CHECK(claim(1, 100) == claim_decision::granted);
  CHECK(end(1, 100, false));
  down = true;
  replies.clear();
  ask(2, 100);
  CHECK(claim(1, 101) == claim_decision::already_run);
  replies.clear();
  run(2'100);
  REQUIRE(replies.size() == 1);
  CHECK(replies[0].decision == claim_decision::unavailable);
  down = false;
  run(2'000);
  CHECK(claim(2, 101) == claim_decision::granted);
}

TEST_CASE_FIXTURE(fixture, "Claims that come together are written together") {
  run(1'000);
  ask(1, 100);
  run(100);
  writes = 0;
  replies.clear();
  for (std::uint64_t it = 10; it < 15; ++it) {
    ask(it, 100);
  }
  run(30);
  CHECK(replies.size() == 5);
  CHECK(writes == 1);
}

TEST_CASE_FIXTURE(fixture, "A node that is not a writer, and full tables, grant nothing") {
  writer.set_writer(false);
  CHECK(claim(1, 100) == claim_decision::not_writer);
  CHECK_FALSE(end(1, 100, false));
  options.max_rows = 3;
  writer = claim_writer(options, 1);
  for (std::uint64_t it = 0; it < 3; ++it) {
    CHECK(claim(it, 100) == claim_decision::granted);
  }
  CHECK(claim(3, 100) == claim_decision::unavailable);
  CHECK(claim(2, 101) == claim_decision::already_claimed);
  options.max_rows = 100;
  options.max_waiting = 2;
  writer = claim_writer(options, 2);
  down = true;
  ask(4, 100);
  ask(5, 100);
  CHECK(claim(6, 100) == claim_decision::unavailable);
}

TEST_CASE_FIXTURE(fixture, "A head that cannot be read is neither overwritten nor granted on") {
  objects["claims/0/head"] = {"claims/0/head", 4, R"({"write_id":"x"})"};
  ask(1, 100);
  run(2'200);
  REQUIRE(replies.size() == 1);
  CHECK(replies[0].decision == claim_decision::unavailable);
  CHECK(objects["claims/0/head"].version == 4);
}

TEST_CASE_FIXTURE(fixture, "Claims that a restored platform has lost are written again") {
  CHECK(claim(1, 1) == claim_decision::granted);
  const auto copy = objects;
  for (std::uint64_t it = 2; it < 20; ++it) {
    CHECK(claim(it, it) == claim_decision::granted);
  }
  restore(copy);
  CHECK(claim(2, 30) == claim_decision::already_claimed);
  writer.set_era(now(), 2);
  run(200);
  // A writer that knows only what the platform holds.
  writer = claim_writer{options, 2};
  for (std::uint64_t it = 1; it < 20; ++it) {
    CHECK(claim(it, 30) == claim_decision::already_claimed);
  }
}

TEST_CASE_FIXTURE(fixture,
                  "A writer does not grant at once what a restored platform may have lost") {
  CHECK(claim(1, 1) == claim_decision::granted);
  for (const auto& copy : {objects, {}}) {
    restore(copy);
    writer = claim_writer{options, 2};
    replies.clear();
    ask(2, 2);
    run(2'500);
    REQUIRE(replies.size() == 1);
    CHECK(replies[0].decision == claim_decision::unavailable);
    run(9'000);
    CHECK(claim(2, 3) == claim_decision::granted);
  }
}

TEST_CASE("Stored shards survive encoding, and damaged ones are rejected") {
  shard_content value;
  value.write_id = {1, 2};
  value.segments = {{{3, 4}, 5, 6}};
  for (std::uint16_t it = 0; it < 50; ++it) {
    value.rows.push_back({{it, ~0ULL},
                          9ULL << 60U,
                          {it, 11},
                          4'000'000'000U,
                          0xDEADBEEFU,
                          it,
                          static_cast<row_state>(it % 3)});
  }
  const std::string text = encode(value);
  CHECK(decode(text) == value);
  CHECK(decode(encode(shard_content{})) == shard_content{});
  for (std::size_t it = 0; it < text.size(); it += 7) {
    CHECK_FALSE(decode(text.substr(0, it)).has_value());
  }
  CHECK_FALSE(
      decode(R"({"write_id":"00000000000000010000000000000002","segments":[],"rows":"AAAA"})")
          .has_value());
  CHECK_FALSE(decode("[]").has_value());
  CHECK(row_bytes % 3 == 0);
}

} // namespace
} // namespace damaskledge::claims
