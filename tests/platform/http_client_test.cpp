#include <atomic>
#include <thread>
#include <vector>

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include "http/raw_server.h"
#include "platform/platform.h"
#include "stand_ins/platform_server.h"

namespace damaskledge::platform {
namespace {

std::unique_ptr<http_client> client_for(const std::vector<endpoint>& endpoints,
                                        milliseconds timeout = milliseconds{500}) {
  return http_client::builder()
      .endpoints(endpoints)
      .timeout(timeout)
      .calls_per_second(1'000)
      .seed(7)
      .build();
}

std::string content(const std::string& write_id, int value = 0) {
  return nlohmann::json{{"value", value}, {"write_id", write_id}}.dump();
}

/// Runs a call again until it is not `unavailable`, as callers do while a backoff runs.
answer execute_until_available(http_client& client, const call& what) {
  const time_point end = clock_type::now() + seconds{15};
  answer result = client.execute(what);
  while (std::holds_alternative<unavailable>(result) && clock_type::now() < end) {
    std::this_thread::sleep_for(milliseconds{5});
    result = client.execute(what);
  }
  return result;
}

std::uint64_t count_of(const http_client& client, call_kind kind, call_result result) {
  for (const call_count& it : client.counts()) {
    if (it.kind == kind && it.result == result) {
      return it.count;
    }
  }
  return 0;
}

TEST_CASE("an object is written, read, updated, erased and written again") {
  stand_ins::platform_server server({});
  const auto client = client_for({server.address()});
  CHECK(std::holds_alternative<absent>(client->execute(read{"config/lists"})));

  const auto created = client->execute(write{"config/lists", 0, content("a", 1)});
  REQUIRE(std::holds_alternative<found>(created));
  CHECK(std::get<found>(created).value == object{"config/lists", 1, content("a", 1)});
  const auto updated = client->execute(write{"config/lists", 1, content("b", 2)});
  REQUIRE(std::holds_alternative<found>(updated));
  CHECK(std::get<found>(updated).value.version == 2);
  const auto seen = client->execute(read{"config/lists"});
  REQUIRE(std::holds_alternative<found>(seen));
  CHECK(std::get<found>(seen).value == object{"config/lists", 2, content("b", 2)});

  CHECK(std::holds_alternative<absent>(client->execute(erase{"config/lists", 2})));
  CHECK(std::holds_alternative<absent>(client->execute(read{"config/lists"})));
  // Versions go on after a removal, so that an old version never matches again.
  const auto again = client->execute(write{"config/lists", 0, content("c", 3)});
  REQUIRE(std::holds_alternative<found>(again));
  CHECK(std::get<found>(again).value.version == 4);
  CHECK(count_of(*client, call_kind::write, call_result::found) == 3);
  CHECK(count_of(*client, call_kind::read, call_result::absent) == 2);
  CHECK(count_of(*client, call_kind::erase, call_result::absent) == 1);
}

TEST_CASE("the names of kinds and results are those of the metrics") {
  CHECK(to_string(call_kind::watch) == "watch");
  CHECK(to_string(call_result::unresolved) == "unresolved");
}

TEST_CASE("object names are percent-encoded except for the separator") {
  stand_ins::platform_server server({});
  const auto client = client_for({server.address()});
  const std::string name = "claims/3/a b?c#d%e&f=g+h\"i/\xC3\xA4";
  REQUIRE(std::holds_alternative<found>(client->execute(write{name, 0, content("a")})));
  CHECK(server.version(name) == 1);
  const auto seen = client->execute(read{name});
  REQUIRE(std::holds_alternative<found>(seen));
  CHECK(std::get<found>(seen).value.name == name);
}

TEST_CASE("a failed condition is a conflict with the current object") {
  stand_ins::platform_server server({});
  const auto client = client_for({server.address()});
  REQUIRE(std::holds_alternative<found>(client->execute(write{"x", 0, content("theirs", 5)})));
  for (const std::uint64_t expected : {0U, 9U}) {
    const auto result = client->execute(write{"x", expected, content("ours")});
    REQUIRE(std::holds_alternative<conflict>(result));
    CHECK(std::get<conflict>(result).current == object{"x", 1, content("theirs", 5)});
  }
  const auto removal = client->execute(erase{"x", 9});
  REQUIRE(std::holds_alternative<conflict>(removal));
  CHECK(std::get<conflict>(removal).current.version == 1);
  CHECK(std::holds_alternative<absent>(client->execute(erase{"y", 1})));
  // An update of an object that is gone has nothing current to show.
  const auto gone = client->execute(write{"y", 4, content("ours")});
  REQUIRE(std::holds_alternative<conflict>(gone));
  CHECK(std::get<conflict>(gone).current.version == 0);
}

// Guards against reporting a write that took effect as failed, which would make its caller
// repeat it with a new write id.
TEST_CASE("a write whose answer is lost is found by its write id") {
  stand_ins::platform_server server({});
  const auto client = client_for({server.address()});
  REQUIRE(std::holds_alternative<found>(client->execute(write{"x", 0, content("first")})));
  server.set_faults({.lose_write_answers = 1});
  const auto result = client->execute(write{"x", 1, content("second", 8)});
  REQUIRE(std::holds_alternative<found>(result));
  CHECK(std::get<found>(result).value == object{"x", 2, content("second", 8)});
  CHECK(server.version("x") == 2);
  CHECK(server.counters().lost_write_answers == 1);
}

TEST_CASE("a removal whose answer is lost is resolved by reading") {
  stand_ins::platform_server server({});
  const auto client = client_for({server.address()});
  REQUIRE(std::holds_alternative<found>(client->execute(write{"x", 0, content("first")})));
  server.set_faults({.lose_write_answers = 1});
  CHECK(std::holds_alternative<absent>(client->execute(erase{"x", 1})));
  CHECK(server.counters().lost_write_answers == 1);
}

// The read that resolves a lost answer may come from a replica that lags. The second send
// then meets its own first copy, and must not call that a conflict with another writer.
TEST_CASE("a lost answer is resolved although the read afterwards is stale") {
  stand_ins::platform_server server({});
  const auto client = client_for({server.address()});
  REQUIRE(std::holds_alternative<found>(client->execute(write{"x", 0, content("first")})));
  server.set_faults({.lose_write_answers = 1, .stale_reads = 1});
  const auto result = client->execute(write{"x", 1, content("second", 8)});
  REQUIRE(std::holds_alternative<found>(result));
  CHECK(std::get<found>(result).value == object{"x", 2, content("second", 8)});
  CHECK(server.version("x") == 2);
}

TEST_CASE("a lost answer followed by another writer's version is a conflict") {
  std::atomic<int> writes{0};
  stand_ins::http_server server({"127.0.0.1", 0}, 16, [&](stand_ins::http_exchange& it) {
    if (it.method() == "PUT") {
      ++writes;
      it.abort();
      return;
    }
    it.set("ETag", "\"5\"");
    it.answer(200, content("theirs"));
  });
  const auto client = client_for({{"127.0.0.1", server.port()}});
  const auto result = client->execute(write{"x", 3, content("ours")});
  REQUIRE(std::holds_alternative<conflict>(result));
  CHECK(std::get<conflict>(result).current == object{"x", 5, content("theirs")});
  CHECK(writes == 1);
}

TEST_CASE("a lost answer is unresolved when reading fails too") {
  std::atomic<int> writes{0};
  stand_ins::http_server server({"127.0.0.1", 0}, 16, [&](stand_ins::http_exchange& it) {
    writes += it.method() == "PUT" ? 1 : 0;
    it.abort();
  });
  const auto client = client_for({{"127.0.0.1", server.port()}});
  CHECK(std::holds_alternative<unresolved>(client->execute(write{"x", 3, content("ours")})));
  CHECK(writes == 1);
  CHECK(count_of(*client, call_kind::write, call_result::unresolved) == 1);
}

TEST_CASE("a write that never becomes visible is sent twice at most and is unresolved") {
  std::atomic<int> writes{0};
  stand_ins::http_server server({"127.0.0.1", 0}, 16, [&](stand_ins::http_exchange& it) {
    if (it.method() == "PUT") {
      ++writes;
      it.abort();
      return;
    }
    it.set("ETag", "\"3\"");
    it.answer(200, content("before"));
  });
  const auto client = client_for({{"127.0.0.1", server.port()}});
  CHECK(std::holds_alternative<unresolved>(client->execute(write{"x", 3, content("ours")})));
  CHECK(writes == 2);
}

TEST_CASE("an outage makes calls unavailable, without calls before the backoff has passed") {
  stand_ins::platform_server server({});
  const auto client = client_for({server.address()});
  server.set_faults({.outage = true});
  milliseconds retry_after{0};
  for (int it = 0; it < 12; ++it) {
    const auto result = client->execute(read{"x"});
    REQUIRE(std::holds_alternative<unavailable>(result));
    retry_after = std::get<unavailable>(result).retry_after;
    CHECK(retry_after > milliseconds{0});
    CHECK(!std::get<unavailable>(result).reason.empty());
    std::this_thread::sleep_for(std::min(retry_after, milliseconds{20}));
  }
  const auto attempts = server.counters().closed_in_outage;
  CHECK(attempts >= 2);
  // Twelve calls without backoff would make twelve attempts.
  for (int it = 0; it < 50; ++it) {
    client->execute(read{"x"});
  }
  CHECK(server.counters().closed_in_outage <= attempts + 3);
  server.set_faults({});
  CHECK(std::holds_alternative<absent>(execute_until_available(*client, read{"x"})));
}

TEST_CASE("a write in an outage does not claim success") {
  stand_ins::platform_server server({});
  const auto client = client_for({server.address()});
  server.set_faults({.outage = true});
  const auto result = client->execute(write{"x", 0, content("a")});
  CHECK(std::holds_alternative<unresolved>(result));
  CHECK(server.version("x") == 0);
  // The endpoint is in its backoff now, so nothing is sent at all.
  const auto next = client->execute(write{"x", 0, content("a")});
  CHECK((std::holds_alternative<unavailable>(next) || std::holds_alternative<unresolved>(next)));
}

TEST_CASE("a refused connection is unavailable and the next endpoint is used") {
  stand_ins::platform_server server({});
  endpoint closed{"127.0.0.1", 0};
  {
    const stand_ins::platform_server gone({});
    closed = gone.address();
  }
  const auto alone = client_for({closed});
  CHECK(std::holds_alternative<unavailable>(alone->execute(write{"x", 0, content("a")})));
  const auto client = client_for({closed, server.address()});
  CHECK(std::holds_alternative<found>(client->execute(write{"x", 0, content("a")})));
  CHECK(std::holds_alternative<found>(client->execute(read{"x"})));
}

TEST_CASE("a read goes on to the next endpoint when the first one does not answer in time") {
  stand_ins::platform_server slow({});
  stand_ins::platform_server server({});
  slow.set_faults({.latency_ms = 400});
  const auto client = client_for({slow.address(), server.address()}, milliseconds{100});
  const time_point start = clock_type::now();
  CHECK(std::holds_alternative<absent>(client->execute(read{"x"})));
  const duration first = clock_type::now() - start;
  CHECK(first >= milliseconds{95});
  CHECK(first < milliseconds{390});
  // The endpoint that answered stays the first choice.
  const time_point again = clock_type::now();
  CHECK(std::holds_alternative<absent>(client->execute(read{"x"})));
  CHECK(clock_type::now() - again < milliseconds{90});
}

TEST_CASE("an endpoint that is cut for a test is not reached") {
  stand_ins::platform_server server({});
  std::atomic<bool> cut{true};
  const auto client = http_client::builder()
                          .endpoints({server.address()})
                          .refuse([&](const endpoint&) { return cut.load(); })
                          .build();
  CHECK(std::holds_alternative<unavailable>(client->execute(read{"x"})));
  CHECK(server.counters().reads == 0);
  cut = false;
  CHECK(std::holds_alternative<absent>(execute_until_available(*client, read{"x"})));
}

TEST_CASE("an answer that arrives after its endpoint was cut is dropped") {
  stand_ins::platform_server server({});
  std::atomic<bool> cut{false};
  const auto client = http_client::builder()
                          .endpoints({server.address()})
                          .refuse([&](const endpoint&) { return cut.load(); })
                          .build();
  server.set_faults({.latency_ms = 200});
  std::thread cutter([&] {
    std::this_thread::sleep_for(milliseconds{50});
    cut = true;
  });
  const auto result = client->execute(write{"x", 0, content("a")});
  cutter.join();
  CHECK(std::holds_alternative<unresolved>(result));
}

TEST_CASE("429 is unavailable with a time to wait, and the write did not take effect") {
  stand_ins::platform_settings settings;
  settings.writes_per_second = 2;
  stand_ins::platform_server server(settings);
  const auto client = client_for({server.address()});
  REQUIRE(std::holds_alternative<found>(client->execute(write{"x", 0, content("a")})));
  REQUIRE(std::holds_alternative<found>(client->execute(write{"x", 1, content("b")})));
  const auto result = client->execute(write{"x", 2, content("c")});
  REQUIRE(std::holds_alternative<unavailable>(result));
  CHECK(std::get<unavailable>(result).retry_after > milliseconds{900});
  CHECK(server.version("x") == 2);
  CHECK(server.counters().rate_limited == 1);
}

TEST_CASE("5xx is unavailable for every kind of call") {
  stand_ins::platform_server server({});
  for (const int status : {500, 502, 503, 504}) {
    for (const call& it : {call{read{"x"}}, call{write{"x", 0, content("a")}}, call{erase{"x", 1}},
                           call{watch{"x", 0, milliseconds{50}}}}) {
      const auto client = client_for({server.address()});
      server.set_faults({.failures = 1, .failure_status = status});
      CHECK(std::holds_alternative<unavailable>(client->execute(it)));
    }
  }
  CHECK(server.version("x") == 0);
}

TEST_CASE("truncated, oversized and unversioned answers are failures") {
  stand_ins::platform_server server({});
  const auto setup = client_for({server.address()});
  REQUIRE(std::holds_alternative<found>(setup->execute(write{"x", 0, content("a", 1)})));
  SUBCASE("truncated") {
    server.set_faults({.truncate_answers = 1});
  }
  SUBCASE("oversized") {
    server.set_faults({.oversized_answers = 1});
  }
  SUBCASE("malformed ETag") {
    server.set_faults({.malformed_etags = 1});
  }
  const auto client = client_for({server.address()});
  CHECK(std::holds_alternative<unavailable>(client->execute(read{"x"})));
  const auto next = execute_until_available(*client, read{"x"});
  REQUIRE(std::holds_alternative<found>(next));
  CHECK(std::get<found>(next).value.content == content("a", 1));
}

// Guards against objects whose content or version comes from an answer that is none.
TEST_CASE("answers that are malformed or not whole give no object") {
  std::vector<std::string> bad;
  for (std::string it : test::malformed_answers()) {
    bad.push_back(it.insert(it.find("\r\n") + 2, "ETag: \"3\"\r\n"));
  }
  const std::string chunked =
      "HTTP/1.1 200 OK\r\nETag: \"3\"\r\nTransfer-Encoding: chunked\r\n\r\n";
  bad.push_back(chunked + "2\r\n{}\r\n");
  bad.push_back(chunked + "2\r\n{}\r\nzz\r\n\r\n");
  for (const auto& it : bad) {
    CAPTURE(it);
    for (const auto after : {test::then::end, test::then::reset}) {
      const test::raw_server server(it, after);
      const auto client = client_for({server.address()});
      CHECK(std::holds_alternative<unavailable>(client->execute(read{"x"})));
    }
  }
}

TEST_CASE("a write answered with a malformed ETag is resolved by reading") {
  stand_ins::platform_server server({});
  const auto client = client_for({server.address()});
  server.set_faults({.malformed_etags = 1});
  const auto result = client->execute(write{"x", 0, content("a")});
  REQUIRE(std::holds_alternative<found>(result));
  CHECK(std::get<found>(result).value.version == 1);
}

TEST_CASE("malformed ETags are rejected") {
  std::string etag;
  stand_ins::http_server server({"127.0.0.1", 0}, 16, [&](stand_ins::http_exchange& it) {
    it.set("ETag", etag);
    it.answer(200, content("a"));
  });
  for (const char* it : {"", "7", "\"\"", "\"0\"", "\"-1\"", "\"+1\"", "\"1x\"", "W/\"1\"",
                         "\" 1\"", "\"18446744073709551616\""}) {
    etag = it;
    const auto client = client_for({{"127.0.0.1", server.port()}});
    CAPTURE(etag);
    CHECK(std::holds_alternative<unavailable>(client->execute(read{"x"})));
  }
  etag = "\"18446744073709551615\"";
  const auto client = client_for({{"127.0.0.1", server.port()}});
  CHECK(std::holds_alternative<found>(client->execute(read{"x"})));
}

TEST_CASE("a body that arrives byte by byte is cut off at the timeout") {
  stand_ins::http_server server({"127.0.0.1", 0}, 16, [&](stand_ins::http_exchange& it) {
    it.answer_slowly(content("a"), milliseconds{60});
  });
  const auto client = client_for({{"127.0.0.1", server.port()}}, milliseconds{200});
  const time_point start = clock_type::now();
  CHECK(std::holds_alternative<unavailable>(client->execute(read{"x"})));
  CHECK(clock_type::now() - start < milliseconds{600});
}

TEST_CASE("a watch returns when the object changes") {
  stand_ins::platform_server server({});
  const auto client = client_for({server.address()}, milliseconds{100});
  REQUIRE(std::holds_alternative<found>(client->execute(write{"x", 0, content("a")})));
  std::thread writer([&] {
    // Longer than the client's timeout: a watch has its own.
    std::this_thread::sleep_for(milliseconds{300});
    CHECK(std::holds_alternative<found>(client->execute(write{"x", 1, content("b", 2)})));
  });
  const time_point start = clock_type::now();
  const auto result = client->execute(watch{"x", 1, milliseconds{3'000}});
  writer.join();
  REQUIRE(std::holds_alternative<found>(result));
  CHECK(std::get<found>(result).value == object{"x", 2, content("b", 2)});
  CHECK(clock_type::now() - start >= milliseconds{290});
  CHECK(clock_type::now() - start < milliseconds{1'500});
}

TEST_CASE("a watch waits for an object to be created and notices its removal") {
  stand_ins::platform_server server({});
  const auto client = client_for({server.address()});
  CHECK(std::holds_alternative<unchanged>(client->execute(watch{"x", 0, milliseconds{50}})));
  std::thread writer([&] {
    std::this_thread::sleep_for(milliseconds{50});
    CHECK(std::holds_alternative<found>(client->execute(write{"x", 0, content("a")})));
  });
  CHECK(std::holds_alternative<found>(client->execute(watch{"x", 0, milliseconds{3'000}})));
  writer.join();
  CHECK(std::holds_alternative<unchanged>(client->execute(watch{"x", 1, milliseconds{50}})));
  CHECK(std::holds_alternative<absent>(client->execute(erase{"x", 1})));
  CHECK(std::holds_alternative<absent>(client->execute(watch{"x", 1, milliseconds{3'000}})));
  CHECK(count_of(*client, call_kind::watch, call_result::unchanged) == 2);
}

TEST_CASE("a watch that returns an old version does not look like news") {
  stand_ins::http_server server({"127.0.0.1", 0}, 16, [&](stand_ins::http_exchange& it) {
    it.set("ETag", "\"4\"");
    it.answer(200, content("a"));
  });
  const auto client = client_for({{"127.0.0.1", server.port()}});
  CHECK(std::holds_alternative<unavailable>(client->execute(watch{"x", 4, milliseconds{100}})));
}

TEST_CASE("a version that a restored platform gives out again is not taken for the one before") {
  stand_ins::platform_server server({});
  const auto client = client_for({server.address()});
  client->execute(write{"x", 0, content("a")});
  server.save();
  client->execute(write{"x", 1, content("lost")});
  server.restore();
  const auto other = client_for({server.address()});
  const auto restored = other->execute(read{"x"});
  REQUIRE(std::holds_alternative<found>(restored));
  const std::uint64_t copied = std::get<found>(restored).value.version;
  CHECK(copied > 2);
  CHECK(std::holds_alternative<found>(other->execute(write{"x", copied, content("b")})));
  // The first client learns of the era from any answer, and then from its own conflict.
  client->execute(read{"y"});
  CHECK(std::holds_alternative<conflict>(client->execute(write{"x", 2, content("c")})));
  const auto watched = client->execute(watch{"x", 2, milliseconds{2'000}});
  REQUIRE(std::holds_alternative<found>(watched));
  CHECK(std::get<found>(watched).value.content == content("b"));
}

TEST_CASE("a watch after an outage does not wait for a version above a lost one") {
  stand_ins::platform_server server({});
  const auto client = client_for({server.address()});
  client->execute(write{"x", 0, content("a")});
  server.save();
  client->execute(write{"x", 1, content("lost")});
  server.set_faults({.outage = true});
  client->execute(read{"x"});
  server.restore();
  server.set_faults({});
  const auto watched = execute_until_available(*client, watch{"x", 2, milliseconds{30'000}});
  REQUIRE(std::holds_alternative<found>(watched));
  CHECK(std::get<found>(watched).value.content == content("a"));
}

TEST_CASE("an outage ends waiting watches") {
  stand_ins::platform_server server({});
  const auto client = client_for({server.address()});
  std::thread fault([&] {
    std::this_thread::sleep_for(milliseconds{100});
    server.set_faults({.outage = true});
  });
  const time_point start = clock_type::now();
  CHECK(std::holds_alternative<unavailable>(client->execute(watch{"x", 0, milliseconds{5'000}})));
  CHECK(clock_type::now() - start < milliseconds{2'000});
  fault.join();
}

TEST_CASE("stop ends a waiting watch and refuses later calls") {
  stand_ins::platform_server server({});
  const auto client = client_for({server.address()});
  std::thread stopper([&] {
    std::this_thread::sleep_for(milliseconds{100});
    client->stop();
  });
  const time_point start = clock_type::now();
  CHECK(std::holds_alternative<unavailable>(client->execute(watch{"x", 0, milliseconds{5'000}})));
  CHECK(clock_type::now() - start < milliseconds{2'000});
  stopper.join();
  const auto before = server.counters().reads;
  CHECK(std::holds_alternative<unavailable>(client->execute(read{"x"})));
  CHECK(server.counters().reads == before);
}

TEST_CASE("calls above the budget are unavailable, watches included") {
  stand_ins::platform_server server({});
  const auto client =
      http_client::builder().endpoints({server.address()}).calls_per_second(5).build();
  for (int it = 0; it < 5; ++it) {
    CHECK(std::holds_alternative<absent>(client->execute(read{"x"})));
  }
  for (const call& it : {call{read{"x"}}, call{watch{"x", 0, milliseconds{10}}}}) {
    const auto result = client->execute(it);
    REQUIRE(std::holds_alternative<unavailable>(result));
    CHECK(std::get<unavailable>(result).retry_after > milliseconds{0});
    CHECK(std::get<unavailable>(result).retry_after <= milliseconds{200});
  }
  CHECK(server.counters().reads == 5);
  CHECK(server.counters().watches == 0);
}

TEST_CASE("connections are kept and shared by threads without mixing answers") {
  stand_ins::platform_server server({.reads_per_second = 100'000, .writes_per_second = 10'000});
  const auto client = http_client::builder()
                          .endpoints({server.address()})
                          .timeout(milliseconds{5'000})
                          .calls_per_second(100'000)
                          .build();
  constexpr int thread_count = 6;
  std::vector<std::thread> threads;
  threads.reserve(thread_count);
  std::atomic<int> wrong{0};
  for (int it = 0; it < thread_count; ++it) {
    threads.emplace_back([&, it] {
      const std::string name = "object/" + std::to_string(it);
      if (!std::holds_alternative<found>(client->execute(write{name, 0, content(name, it)}))) {
        ++wrong;
      }
      for (int n = 0; n < 100; ++n) {
        const auto result = client->execute(read{name});
        const auto* value = std::get_if<found>(&result);
        if (value == nullptr || value->value.content != content(name, it)) {
          ++wrong;
        }
      }
    });
  }
  for (std::thread& it : threads) {
    it.join();
  }
  CHECK(wrong == 0);
  CHECK(server.connections_accepted() <= thread_count + 1);
}

// Guards against the loss of a write on a kept connection that the server closed meanwhile.
TEST_CASE("a kept connection that the server closed is not used") {
  auto server = std::make_unique<stand_ins::platform_server>(stand_ins::platform_settings{});
  const endpoint address = server->address();
  const auto client = client_for({address});
  REQUIRE(std::holds_alternative<found>(client->execute(write{"x", 0, content("a")})));
  server.reset();
  stand_ins::platform_settings settings;
  settings.address = address;
  server = std::make_unique<stand_ins::platform_server>(settings);
  const auto result = client->execute(write{"x", 0, content("b")});
  REQUIRE(std::holds_alternative<found>(result));
  CHECK(server->counters().reads == 0);
}

} // namespace
} // namespace damaskledge::platform
