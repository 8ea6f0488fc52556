// Operations that must happen once, while nodes die or pause, the platform fails and data centres
// are cut off. The execution logs of the upstreams decide.
#include <algorithm>
#include <array>
#include <thread>

#include <doctest/doctest.h>

#include "failure/fleet.h"

namespace damaskledge::failure {
namespace {

constexpr milliseconds settle_limit{30'000};
constexpr milliseconds slow_answer{1'500};
const std::string confirm = "/dispatch/confirm";

/// One fleet for all cases: each case uses operation ids of its own and heals what it broke.
fleet& shared() {
  static fleet instance("at-most-once", small_plan(30));
  static const bool started = instance.start();
  REQUIRE(started);
  return instance;
}

std::string dispatch_body(const std::string& number, int gate = 7) {
  return nlohmann::json{{"dispatch_number", number}, {"gate", gate}}.dump();
}

http_answer submit(fleet& all, const machine& node, const std::string& number, int gate = 7) {
  return all.call(node, "crews", "POST", confirm, dispatch_body(number, gate));
}

/// Submits at several nodes at the same time.
std::vector<http_answer> submit_at(fleet& all, const std::vector<machine*>& nodes,
                                   const std::string& number) {
  std::vector<http_answer> result(nodes.size());
  std::vector<std::thread> callers;
  for (std::size_t it = 0; it < nodes.size(); ++it) {
    callers.emplace_back([&, it] { result[it] = submit(all, *nodes[it], number); });
  }
  for (std::thread& it : callers) {
    it.join();
  }
  return result;
}

/// @return machines from the one with index `first` on, without `except`.
std::vector<machine*> nodes_of(fleet& all, std::size_t first = 0, const machine* except = nullptr) {
  std::vector<machine*> result;
  for (std::size_t it = first; it < all.machines().size(); ++it) {
    if (&all.machines()[it] != except) {
      result.push_back(&all.machines()[it]);
    }
  }
  return result;
}

std::size_t runs(fleet& all, const std::string& number) {
  return all.count_executions("dispatch", "dispatch_number", number);
}

void check_promises(fleet& all) {
  CHECK(all.most_executions("dispatch", "dispatch_number") <= 1);
  CHECK(all.false_refusals() == std::vector<std::string>{});
  CHECK_FALSE(all.violated());
}

/// Makes upstreams of "dispatch" answer after `slow_answer`.
class slow_dispatch {
 public:
  explicit slow_dispatch(fleet& all) : all_(all) {
    const double usual_ms = all.of_service("dispatch").front()->service.service_time_ms;
    all_.upstream_behaviour("dispatch",
                            {{"slowdown", static_cast<double>(slow_answer.count()) / usual_ms}});
  }
  ~slow_dispatch() { all_.upstream_behaviour("dispatch", {{"slowdown", 1}}); }
  slow_dispatch(const slow_dispatch&) = delete;
  slow_dispatch& operator=(const slow_dispatch&) = delete;

 private:
  fleet& all_;
};

} // namespace

TEST_CASE("a dispatch submitted at all nodes at once runs exactly once") {
  // Guards against two nodes that both obtain the claim of one operation.
  fleet& all = shared();
  for (int round = 0; round < 10; ++round) {
    const std::string number = "many-" + std::to_string(round);
    auto nodes = nodes_of(all);
    const auto twice = nodes_of(all);
    nodes.insert(nodes.end(), twice.begin(), twice.end());
    submit_at(all, nodes, number);
    CHECK(runs(all, number) == 1);
  }
  for (const call_record& it : all.records()) {
    INFO(it.status, " ", it.reason);
    const bool expected =
        it.status == 200 || it.reason == "already-claimed" || it.reason == "already-run";
    CHECK(expected);
  }
  check_promises(all);
}

TEST_CASE("the same operation id with another body is refused") {
  // Guards against an answer that belongs to another request with the same id.
  fleet& all = shared();
  CHECK(submit(all, all.machines()[0], "body", 1).status == 200);
  const auto other = submit(all, all.machines()[4], "body", 2);
  CHECK(other.status == 422);
  CHECK(other.header("Damaskledge-Reason") == "operation-body-differs");
  CHECK(runs(all, "body") == 1);
  check_promises(all);
}

TEST_CASE("a non-idempotent request without an operation id is refused and does not run") {
  // Guards against operations that nobody can recognise when they come again.
  fleet& all = shared();
  const auto before = all.executions("dispatch").size();
  const std::array answers{
      all.call(all.machines()[1], "crews", "POST", confirm, R"({"gate": 7})"),
      all.call(all.machines()[1], "crews", "POST", confirm, "no JSON"),
      all.call(all.machines()[1], "crews", "POST", "/dispatch/deposits", R"({"title": "a"})")};
  for (const auto& it : answers) {
    CHECK(it.status == 400);
    CHECK(it.header("Damaskledge-Reason") == "operation-id-missing");
    CHECK(it.header("Damaskledge-Outcome") == "not-run");
  }
  CHECK(all.executions("dispatch").size() == before);
  check_promises(all);
}

TEST_CASE("a deposit with an Idempotency-Key that is repeated is answered again, not run again") {
  // Guards against a caller's own retries that run a deposit twice.
  fleet& all = shared();
  for (std::size_t it = 0; it < 6; ++it) {
    const auto answer = all.call(all.machines()[it], "growers", "POST", "/dispatch/deposits",
                                 R"({"title": "song"})", {{"Idempotency-Key", "deposit-1"}});
    INFO(answer.status, " ", answer.header("Damaskledge-Reason"));
    const bool expected = answer.status == 200 || answer.status == 409;
    CHECK(expected);
  }
  CHECK(all.count_executions("dispatch", "operation", "deposit-1") == 1);
  check_promises(all);
}

TEST_CASE("the platform loses write answers") {
  // Guards against a writer that takes its own lost write for a rival's, or repeats it.
  fleet& all = shared();
  for (int round = 0; round < 8; ++round) {
    const std::string number = "lost-answer-" + std::to_string(round);
    all.platform_faults({{"lose_write_answers", 3}});
    submit_at(all, nodes_of(all), number);
    CHECK(runs(all, number) <= 1);
  }
  all.platform_faults({{"lose_write_answers", 0}});
  const auto counters = all.platform_counters();
  CHECK(counters["lost_write_answers"].get<int>() > 0);
  check_promises(all);
}

TEST_CASE("an operation is refused during a platform outage and runs after it") {
  // Guards against claims that exist only in memory, and against a claim that a refused request
  // leaves behind.
  fleet& all = shared();
  all.platform_faults({{"outage", true}});
  for (const auto& answer : submit_at(all, nodes_of(all), "outage")) {
    INFO(answer.status, " ", answer.body);
    CHECK(answer.status == 503);
    CHECK(answer.header("Damaskledge-Reason") == "claims-unavailable");
    CHECK(answer.header("Damaskledge-Outcome") == "not-run");
    CHECK_FALSE(answer.header("Retry-After").empty());
  }
  CHECK(runs(all, "outage") == 0);
  all.platform_faults({{"outage", false}});
  CHECK(wait_until([&] { return submit(all, all.machines()[2], "outage").status == 200; },
                   settle_limit));
  CHECK(runs(all, "outage") == 1);
  REQUIRE(all.settled(settle_limit));
  check_promises(all);
}

TEST_CASE("an upstream is killed while it runs an operation") {
  // Guards against a refusal that says "not-run" although the upstream has begun, and against a
  // second run of it.
  fleet& all = shared();
  const slow_dispatch slow(all);
  http_answer first;
  std::thread caller([&] { first = submit(all, all.machines()[1], "killed-upstream"); });
  CHECK(wait_until([&] { return runs(all, "killed-upstream") == 1; }, slow_answer));
  machine* running = nullptr;
  for (machine* it : all.of_service("dispatch")) {
    const std::string log = all.folder() + "/" + it->name + "-executions-1";
    if (read_text(log).find("killed-upstream") != std::string::npos) {
      running = it;
    }
  }
  if (running != nullptr) {
    running->upstream->signal(SIGKILL);
    running->upstream->wait(milliseconds(5'000));
  }
  caller.join();
  REQUIRE(running != nullptr);
  CHECK(first.status == 502);
  CHECK(first.header("Damaskledge-Outcome") == "unknown");
  for (const auto& again : submit_at(all, nodes_of(all), "killed-upstream")) {
    CHECK(again.status == 409);
    CHECK(again.header("Damaskledge-Outcome") == "unknown");
  }
  CHECK(runs(all, "killed-upstream") == 1);
  all.start_upstream(*running);
  REQUIRE(all.settled(settle_limit));
  check_promises(all);
}

TEST_CASE("a data centre is cut off from the platform and the other data centres") {
  // Guards against a claim that a cut data centre grants on its own.
  fleet& all = shared();
  all.cut("dc2", true);
  // Nodes read the file of cuts every 100 ms.
  std::this_thread::sleep_for(milliseconds(500));
  machine& inside = *all.of_data_centre("dc2").front();
  machine& outside = *all.of_data_centre("dc3").front();
  const auto refused = submit(all, inside, "cut");
  INFO(refused.status, " ", refused.body);
  CHECK(refused.status == 503);
  CHECK(refused.header("Damaskledge-Reason") == "claims-unavailable");
  CHECK(refused.header("Damaskledge-Outcome") == "not-run");
  CHECK(runs(all, "cut") == 0);
  CHECK(wait_until([&] { return submit(all, outside, "cut").status == 200; }, settle_limit));
  submit(all, inside, "cut");
  all.heal();
  REQUIRE(all.settled(settle_limit));
  submit(all, inside, "cut");
  CHECK(runs(all, "cut") == 1);
  check_promises(all);
}

TEST_CASE("the node that holds a claim is killed and the caller submits again elsewhere") {
  // Guards against a claim that is handed to another node when its holder dies.
  fleet& all = shared();
  // The delays put the kill before, during and after the write of the claim, and into the run.
  constexpr std::array delays{milliseconds(1), milliseconds(5), milliseconds(12), milliseconds(30),
                              milliseconds(300)};
  const slow_dispatch slow(all);
  for (std::size_t round = 0; round < delays.size(); ++round) {
    const std::string number = "killed-holder-" + std::to_string(round);
    machine& holder = all.machines()[round];
    std::thread caller([&] { submit(all, holder, number); });
    std::this_thread::sleep_for(delays[round]);
    holder.node->signal(SIGKILL);
    holder.node->wait(milliseconds(5'000));
    caller.join();
    submit_at(all, nodes_of(all, round + 1), number);
    CHECK(runs(all, number) <= 1);
    all.start_node(holder);
  }
  REQUIRE(all.settled(settle_limit));
  check_promises(all);
}

TEST_CASE("holders of claims are paused past the coordinator's term") {
  // Guards against a paused holder that sends after another node has run the operation, and
  // against a paused claim writer that confirms a claim which its successor also grants.
  fleet& all = shared();
  constexpr std::array delays{milliseconds(2), milliseconds(6), milliseconds(11), milliseconds(18),
                              milliseconds(40)};
  // The coordinator's term is 3 s.
  constexpr milliseconds pause{4'500};
  std::vector<std::thread> callers;
  for (std::size_t it = 0; it < delays.size(); ++it) {
    callers.emplace_back(
        [&all, it] { submit(all, all.machines()[it], "paused-holder-" + std::to_string(it)); });
  }
  const time_point start = clock_type::now();
  for (std::size_t it = 0; it < delays.size(); ++it) {
    std::this_thread::sleep_until(start + delays[it]);
    all.machines()[it].node->signal(SIGSTOP);
  }
  const machine& other = all.machines().back();
  std::vector<std::thread> repeats;
  for (std::size_t it = 0; it < delays.size(); ++it) {
    repeats.emplace_back([&all, &other, it, end = start + pause] {
      while (clock_type::now() < end) {
        submit(all, other, "paused-holder-" + std::to_string(it));
        std::this_thread::sleep_for(milliseconds(20));
      }
    });
  }
  std::this_thread::sleep_until(start + pause);
  for (std::size_t it = 0; it < delays.size(); ++it) {
    all.machines()[it].node->signal(SIGCONT);
  }
  for (std::thread& it : callers) {
    it.join();
  }
  for (std::thread& it : repeats) {
    it.join();
  }
  REQUIRE(all.settled(settle_limit));
  for (std::size_t it = 0; it < delays.size(); ++it) {
    const std::string number = "paused-holder-" + std::to_string(it);
    submit_at(all, nodes_of(all), number);
    CHECK(runs(all, number) <= 1);
  }
  check_promises(all);
}

TEST_CASE("the platform is down while a coordinator is killed") {
  // Guards against an acting coordinator that grants claims without the platform.
  fleet& all = shared();
  machine* holder = all.coordinator("dc1", all.machines().back());
  REQUIRE(holder != nullptr);
  all.platform_faults({{"outage", true}});
  holder->node->signal(SIGKILL);
  holder->node->wait(milliseconds(5'000));
  for (int round = 0; round < 3; ++round) {
    for (const auto& answer : submit_at(all, nodes_of(all, 0, holder), "outage-and-killed")) {
      CHECK(answer.header("Damaskledge-Outcome") == "not-run");
    }
  }
  CHECK(runs(all, "outage-and-killed") == 0);
  all.platform_faults({{"outage", false}});
  all.start_node(*holder);
  REQUIRE(all.settled(settle_limit));
  CHECK(wait_until([&] { return submit(all, *holder, "outage-and-killed").status == 200; },
                   settle_limit));
  CHECK(runs(all, "outage-and-killed") == 1);
  check_promises(all);
}

} // namespace damaskledge::failure
