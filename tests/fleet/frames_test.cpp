#include <doctest/doctest.h>

#include "event/run_until.h"
#include "fleet/fleet.h"

using namespace damaskledge;
using test::run_until;

namespace {

fleet::call_frame sample_call() {
  fleet::call_frame call;
  call.id = 7;
  call.remaining_ms = 900;
  call.request_id = "r-1";
  call.service = "search";
  call.head = "GET / HTTP/1.1\r\n";
  call.body = std::string(3'000, 'b');
  return call;
}

} // namespace

TEST_CASE("Every frame is the same after encoding, also when it arrives in parts") {
  fleet::status_frame status;
  status.node = "n1";
  status.accounts.push_back({"account", 5, 2.5});
  status.demand.push_back({{"route", 2}, "search", 3.5});
  status.calls.push_back({"a", "b", 4, 10});
  status.costs.push_back({"a", "search", 0.04, 100});
  const fleet::frame samples[] = {
      sample_call(),
      fleet::answer_frame{},
      fleet::cancel_frame{9},
      status,
      fleet::configuration_request{4},
      fleet::configuration_frame{5, "{}"},
      fleet::load_frame{},
      fleet::digest_frame{
          true, "one", {{"n", 3, {}}}, {status}, status.demand, status.calls, status.costs},
      admission::crash_report{{{"t", {{{1, 2}, std::chrono::microseconds(9)}}}}, {{3, 4}}},
      fleet::status_request{},
      fleet::leave_frame{"i-1", 5, 6}};
  for (const auto& it : samples) {
    const std::string bytes = fleet::encode(it);
    std::string input = bytes.substr(0, bytes.size() - 1);
    CHECK_FALSE(fleet::decode(input).value);
    input += bytes.back();
    input += "next";
    const auto decoded = fleet::decode(input);
    REQUIRE(decoded.value);
    CHECK(*decoded.value == it);
    CHECK(input == "next");
  }
}

TEST_CASE("Damaged frames are found and do not allocate what they claim") {
  const std::string bytes = fleet::encode(sample_call());
  for (std::size_t i = 4; i < 60; ++i) {
    std::string damaged = bytes;
    damaged[i] = static_cast<char>(damaged[i] ^ 0xFF);
    const auto decoded = fleet::decode(damaged);
    CHECK((decoded.malformed || decoded.value));
  }
  std::string oversized = "\xFF\xFF\xFF\xFF";
  CHECK(fleet::decode(oversized).malformed);
}

namespace {

/// A node's network with records of what arrives.
struct peer {
  explicit peer(event::loop& loop, const std::string& name, std::uint16_t port,
                const std::string& data_centre = "one")
      : links(loop, options_of(name, port, data_centre), callbacks()) {}

  static fleet::network_options options_of(const std::string& name, std::uint16_t port,
                                           const std::string& data_centre) {
    fleet::network_options options;
    options.node = name;
    options.data_centre = data_centre;
    options.address = {"127.0.0.1", port};
    return options;
  }
  fleet::network_events callbacks() {
    fleet::network_events events;
    events.on_call = [this](std::uint64_t from, fleet::call_frame call) {
      connection = from;
      calls.push_back(std::move(call));
    };
    events.on_cancel = [this](std::uint64_t, std::uint64_t id) { cancelled.push_back(id); };
    events.on_caller_gone = [this](std::uint64_t) { ++callers_gone; };
    events.on_status = [](const fleet::status_frame&) {};
    events.on_load = [this](const fleet::node_entry& node, const fleet::load_frame&, bool) {
      loads.push_back(node.name);
    };
    events.on_summary = [this](const fleet::digest_frame& it) { summaries.push_back(it); };
    events.on_crash_report = [](const admission::crash_report&) {};
    events.on_status_request = [this] { return status; };
    events.on_configuration_request = [](std::uint64_t) { return std::nullopt; };
    events.on_configuration = [](const fleet::configuration_frame&) {};
    events.on_link = [](const fleet::node_entry&, bool) {};
    return events;
  }

  std::uint64_t connection = 0;
  std::vector<fleet::call_frame> calls;
  std::vector<std::uint64_t> cancelled;
  int callers_gone = 0;
  /// Nodes whose load arrived.
  std::vector<std::string> loads;
  std::vector<fleet::digest_frame> summaries;
  /// Status that the node reports.
  fleet::status_frame status;
  fleet::network links;
};

constexpr std::uint16_t first_port = 17'411;
constexpr std::uint16_t second_port = 17'412;

} // namespace

TEST_CASE("A call whose link is lost ends as unknown, never as not run") {
  event::loop loop;
  peer one(loop, "one", first_port);
  REQUIRE(one.links.listen());
  auto two = std::make_unique<peer>(loop, "two", second_port);
  REQUIRE(two->links.listen());
  one.links.add_node("two", "one", {"127.0.0.1", second_port});
  REQUIRE(run_until(loop, [&] { return one.links.nodes().at("two").connected; }));
  std::vector<fleet::answer_frame> answers;
  REQUIRE(one.links.call("two", sample_call(),
                         [&](fleet::answer_frame it) { answers.push_back(std::move(it)); }));
  REQUIRE(run_until(loop, [&] { return two->calls.size() == 1; }));
  two.reset();
  REQUIRE(run_until(loop, [&] { return answers.size() == 1; }));
  CHECK(answers.front().result == static_cast<std::uint8_t>(fleet::call_result::unknown));
  CHECK(answers.front().reached_target);
  CHECK_FALSE(one.links.call("two", sample_call(), [](fleet::answer_frame) {}));
}

TEST_CASE("A cancelled call is told to the other node and its late answer is dropped") {
  event::loop loop;
  peer one(loop, "one", first_port);
  peer two(loop, "two", second_port);
  REQUIRE(one.links.listen());
  REQUIRE(two.links.listen());
  one.links.add_node("two", "one", {"127.0.0.1", second_port});
  REQUIRE(run_until(loop, [&] { return one.links.nodes().at("two").connected; }));
  int answers = 0;
  const auto id = one.links.call("two", sample_call(), [&](fleet::answer_frame) { ++answers; });
  REQUIRE(id);
  REQUIRE(run_until(loop, [&] { return two.calls.size() == 1; }));
  one.links.cancel("two", *id);
  REQUIRE(run_until(loop, [&] { return two.cancelled.size() == 1; }));
  fleet::answer_frame late;
  late.id = *id;
  two.links.answer(two.connection, late);
  for (int i = 0; i < 10; ++i) {
    loop.run_once(milliseconds(2));
  }
  CHECK(answers == 0);
  CHECK(two.cancelled.front() == *id);
}

TEST_CASE("A call that was cancelled while it waited at a node that was held up does not begin") {
  event::loop loop;
  peer one(loop, "one", first_port);
  peer two(loop, "two", second_port);
  REQUIRE(one.links.listen());
  REQUIRE(two.links.listen());
  one.links.add_node("two", "one", {"127.0.0.1", second_port});
  REQUIRE(run_until(loop, [&] { return one.links.nodes().at("two").connected; }));
  const auto ignore = [](fleet::answer_frame) {};
  const auto first = one.links.call("two", sample_call(), ignore);
  const auto second = one.links.call("two", sample_call(), ignore);
  REQUIRE(first);
  one.links.cancel("two", *first);
  REQUIRE(run_until(loop, [&] { return !two.calls.empty(); }));
  REQUIRE(two.calls.size() == 1);
  CHECK(two.calls.front().id == *second);
  CHECK(two.cancelled.empty());
}

TEST_CASE("A digest reaches every node of the other data centre through one of them") {
  event::loop loop;
  peer near(loop, "a1", first_port, "one");
  peer first(loop, "b1", second_port, "two");
  peer second(loop, "b2", second_port + 1, "two");
  std::vector<peer*> all{&near, &first, &second};
  for (auto* it : all) {
    REQUIRE(it->links.listen());
  }
  const auto status_of = [](const std::string& name, const std::string& data_centre,
                            std::uint16_t port) {
    fleet::status_frame status;
    status.node = name;
    status.data_centre = data_centre;
    status.address = {"127.0.0.1", port};
    status.incarnation = 5;
    return status;
  };
  near.links.add_node("b1", "two", {"127.0.0.1", second_port});
  near.links.add_node("b2", "two", {"127.0.0.1", second_port + 1});
  first.links.add_node("b2", "two", {"127.0.0.1", second_port + 1});
  REQUIRE(run_until(loop, [&] {
    return near.links.nodes().at("b1").connected && near.links.nodes().at("b2").connected &&
           first.links.nodes().at("b2").connected;
  }));
  near.links.broadcast(status_of("a1", "one", first_port));
  REQUIRE(run_until(loop, [&] {
    return second.links.nodes().count("a1") == 1 && first.links.nodes().count("a1") == 1;
  }));
  fleet::digest_frame digest;
  digest.loads.push_back({"a1", 5, {}});
  near.links.send_digest(digest, 0);
  REQUIRE(run_until(loop, [&] { return !second.loads.empty(); }));
  CHECK(first.loads == std::vector<std::string>{"a1"});
  CHECK(second.loads == std::vector<std::string>{"a1"});
  CHECK(near.loads.empty());
}

TEST_CASE("The load of another start of a node is not taken for the one that is known") {
  event::loop loop;
  peer near(loop, "a1", first_port, "one");
  peer other(loop, "b1", second_port, "two");
  REQUIRE(near.links.listen());
  REQUIRE(other.links.listen());
  near.links.add_node("b1", "two", {"127.0.0.1", second_port});
  REQUIRE(run_until(loop, [&] { return near.links.nodes().at("b1").connected; }));
  fleet::status_frame status;
  status.node = "a1";
  status.data_centre = "one";
  status.address = {"127.0.0.1", first_port};
  status.incarnation = 5;
  near.links.broadcast(status);
  fleet::digest_frame digest;
  digest.loads.push_back({"a1", 4, {}});
  near.links.send_digest(digest, 1);
  REQUIRE(run_until(loop, [&] { return other.links.nodes().count("a1") == 1; }));
  for (int i = 0; i < 10; ++i) {
    loop.run_once(milliseconds(2));
  }
  CHECK(other.loads.empty());
}

TEST_CASE(
    "What a relay still tells of an earlier start does not replace what the node itself tells") {
  event::loop loop;
  peer restarted(loop, "a1", first_port, "one");
  peer relay(loop, "a2", first_port + 2, "one");
  peer other(loop, "b1", second_port, "two");
  for (auto* it : {&restarted, &relay, &other}) {
    REQUIRE(it->links.listen());
  }
  restarted.links.add_node("b1", "two", {"127.0.0.1", second_port});
  relay.links.add_node("b1", "two", {"127.0.0.1", second_port});
  REQUIRE(run_until(loop, [&] {
    return restarted.links.nodes().at("b1").connected && relay.links.nodes().at("b1").connected;
  }));
  fleet::status_frame status;
  status.node = "a1";
  status.data_centre = "one";
  status.address = {"127.0.0.1", first_port};
  status.incarnation = 6;
  restarted.links.broadcast(status);
  REQUIRE(run_until(loop, [&] { return other.links.nodes().count("a1") == 1; }));
  fleet::digest_frame digest;
  digest.statuses.push_back(status);
  digest.statuses.back().incarnation = 5;
  digest.loads.push_back({"a1", 5, {}});
  digest.loads.push_back({"a1", 6, {}});
  relay.links.send_digest(digest, 0);
  REQUIRE(run_until(loop, [&] { return !other.loads.empty(); }));
  CHECK(other.loads.size() == 1);
  CHECK(other.links.nodes().at("a1").status.incarnation == 6);
}

TEST_CASE("An outdated directory entry does not end the link to a node that has told its address") {
  event::loop loop;
  auto first = std::make_unique<peer>(loop, "a1", first_port);
  peer second(loop, "a1", first_port + 4);
  peer other(loop, "a2", second_port);
  for (auto* it : {first.get(), &second, &other}) {
    REQUIRE(it->links.listen());
  }
  first->links.add_node("a2", "one", {"127.0.0.1", second_port});
  REQUIRE(run_until(loop, [&] { return first->links.nodes().at("a2").connected; }));
  fleet::status_frame status;
  status.node = "a1";
  status.data_centre = "one";
  status.address = {"127.0.0.1", first_port};
  first->links.broadcast(status);
  const auto connected_to = [&](std::uint16_t port) {
    const auto found = other.links.nodes().find("a1");
    return found != other.links.nodes().end() && found->second.connected &&
           found->second.address.port == port;
  };
  REQUIRE(run_until(loop, [&] { return connected_to(first_port); }));
  bool ended = false;
  other.links.call("a1", {}, [&](const fleet::answer_frame&) { ended = true; });
  other.links.add_listed_node("a1", "one", {"127.0.0.1", first_port + 4});
  CHECK(connected_to(first_port));
  CHECK_FALSE(ended);
  // A node that was replaced is found by its entry once the link to its predecessor has ended.
  first.reset();
  CHECK(run_until(loop, [&] { return connected_to(first_port + 4); }));
}

TEST_CASE("A relay does not add the uses of an earlier start of a node to those of the new one") {
  fleet::node_load pending{"n", 1, {}};
  pending.load.accounts = {{"a", 150, 1}, {"b", 9, 1}};
  fleet::node_load next{"n", 1, {}};
  next.load.accounts = {{"a", 151, 1}};
  fleet::merge_load(pending, next);
  CHECK(pending.load.accounts == std::vector<traffic::account_usage>{{"a", 151, 1}, {"b", 9, 1}});
  next.incarnation = 2;
  next.load.accounts = {{"a", 1, 1}};
  fleet::merge_load(pending, next);
  CHECK(pending.incarnation == 2);
  CHECK(pending.load.accounts == std::vector<traffic::account_usage>{{"a", 1, 1}});
}

namespace {

fleet::node_load load_of(const std::string& node, std::uint32_t in_flight) {
  fleet::node_load result;
  result.node = node;
  result.incarnation = 1;
  result.load.ready = true;
  result.load.slots = 20;
  result.load.in_flight = in_flight;
  return result;
}

} // namespace

TEST_CASE("A digest holds the loads that changed, and repeats each before it counts as silent") {
  fleet::digest_builder digest;
  time_point now{seconds(100)};
  digest.add(load_of("a", 3));
  digest.add(load_of("b", 3));
  CHECK(digest.take(now, {}).loads.size() == 2);
  now += milliseconds(250);
  digest.add(load_of("a", 4));
  digest.add(load_of("b", 3));
  const auto changed = digest.take(now, {});
  REQUIRE(changed.loads.size() == 1);
  CHECK(changed.loads[0].node == "a");
  const fleet::network_options options;
  duration silent{0};
  while (silent < options.far_silence_limit) {
    now += milliseconds(250);
    silent += milliseconds(250);
    digest.add(load_of("b", 3));
    if (!digest.take(now, {}).loads.empty()) {
      break;
    }
  }
  CHECK(silent <= options.far_silence_limit / 2);
}

TEST_CASE("Usage and a new incarnation are in the next digest although the load is the same") {
  fleet::digest_builder digest;
  time_point now{seconds(100)};
  digest.add(load_of("a", 3));
  digest.take(now, {});
  now += milliseconds(250);
  auto used = load_of("a", 3);
  used.load.accounts.push_back({"account", 5, 1});
  digest.add(used);
  digest.add(load_of("a", 3));
  const auto usage = digest.take(now, {});
  REQUIRE(usage.loads.size() == 1);
  CHECK(usage.loads[0].load.accounts.size() == 1);
  now += milliseconds(250);
  auto restarted = load_of("a", 3);
  restarted.incarnation = 2;
  digest.add(restarted);
  CHECK(digest.take(now, {}).loads.size() == 1);
}

TEST_CASE("A digest states the demand of a data centre once, not of each node") {
  fleet::digest_builder digest;
  traffic::load_picture picture;
  for (int i = 0; i < 20; ++i) {
    picture.demand.push_back({{"read", 2, 2}, "search", 1.5});
    picture.costs.push_back({"read", "search", 0.04, 10});
  }
  time_point now{seconds(100)};
  const auto first = digest.take(now, picture);
  REQUIRE(first.demand.size() == 1);
  CHECK(first.demand[0].rate == doctest::Approx(30));
  REQUIRE(first.costs.size() == 1);
  CHECK(first.costs[0].runs == doctest::Approx(200));
  now += milliseconds(250);
  CHECK(digest.take(now, picture).demand.empty());
  picture.demand[0].rate = 20;
  CHECK(digest.take(now, picture).demand.size() == 1);
}

TEST_CASE("A status without demand keeps what an earlier status of the same start has told") {
  event::loop loop;
  peer one(loop, "one", first_port);
  REQUIRE(one.links.listen());
  peer two(loop, "two", second_port);
  REQUIRE(two.links.listen());
  two.links.add_node("one", "one", {"127.0.0.1", first_port});
  REQUIRE(run_until(loop, [&] { return two.links.nodes().at("one").connected; }));
  fleet::status_frame status;
  status.node = "two";
  status.data_centre = "one";
  status.address = {"127.0.0.1", second_port};
  status.incarnation = 5;
  status.target.service = "search";
  status.has_picture = true;
  status.demand.push_back({{"read", 2, 2}, "search", 1.5});
  two.links.send("one", status);
  status.has_picture = false;
  status.demand.clear();
  status.leaving = true;
  two.links.send("one", status);
  REQUIRE(run_until(loop, [&] {
    const auto found = one.links.nodes().find("two");
    return found != one.links.nodes().end() && found->second.status.leaving;
  }));
  CHECK(one.links.nodes().at("two").status.demand.size() == 1);
  const auto* nodes = one.links.nodes_of("search");
  REQUIRE(nodes != nullptr);
  CHECK(nodes->within_data_centre.size() == 1);
  status.incarnation = 6;
  status.target.service = "other";
  two.links.send("one", status);
  REQUIRE(run_until(loop, [&] { return one.links.nodes_of("other") != nullptr; }));
  CHECK(one.links.nodes().at("two").status.demand.empty());
  CHECK(one.links.nodes_of("search")->within_data_centre.empty());
  one.links.remove_node("two");
  CHECK(one.links.nodes_of("other")->within_data_centre.empty());
}

TEST_CASE("A node whose own link has gone silent is known by asking it") {
  // A restarted node got nothing over the links that others had opened to it before, and refused
  // all requests for their services although its own links to them were in order.
  event::loop loop;
  peer one(loop, "one", first_port);
  REQUIRE(one.links.listen());
  peer two(loop, "two", second_port);
  REQUIRE(two.links.listen());
  two.status.node = "two";
  two.status.data_centre = "one";
  two.status.address = {"127.0.0.1", second_port};
  two.status.incarnation = 5;
  two.status.target.service = "search";
  // `two` never sends anything by itself.
  one.links.add_node("two", "one", {"127.0.0.1", second_port});
  REQUIRE(run_until(loop, [&] { return one.links.reachable(one.links.nodes().at("two")); }));
  CHECK(one.links.nodes().at("two").status.target.service == "search");
  const auto end = loop.refresh_now() + milliseconds(1'500);
  while (loop.now() < end) {
    loop.run_once(milliseconds(10));
    REQUIRE(one.links.reachable(one.links.nodes().at("two")));
  }
}

TEST_CASE(
    "A link that accepts calls and delivers nothing is closed, and its calls end as unknown") {
  // TCP finds such a link in order, for example behind a forwarder.
  event::loop loop;
  std::vector<std::unique_ptr<event::stream>> accepted;
  auto black_hole = event::listener::open(loop, {"127.0.0.1", second_port}, [&](int fd) {
    accepted.push_back(std::make_unique<event::stream>(loop, fd, event::stream_options{}));
    auto* it = accepted.back().get();
    it->handle({{}, [it] { it->input().clear(); }, {}});
  });
  REQUIRE(black_hole);
  peer one(loop, "one", first_port);
  REQUIRE(one.links.listen());
  one.links.add_node("two", "one", {"127.0.0.1", second_port});
  REQUIRE(run_until(loop, [&] { return one.links.nodes().at("two").connected; }));
  std::vector<fleet::answer_frame> answers;
  const auto sent = loop.now();
  REQUIRE(one.links.call("two", sample_call(),
                         [&](fleet::answer_frame it) { answers.push_back(std::move(it)); }));
  REQUIRE(run_until(loop, [&] { return answers.size() == 1; }));
  CHECK(answers.front().result == static_cast<std::uint8_t>(fleet::call_result::unknown));
  CHECK(loop.now() - sent >= milliseconds(2'500));
  CHECK(loop.now() - sent < milliseconds(5'000));
}
