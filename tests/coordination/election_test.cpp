#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include "coordination/coordination.h"

namespace damaskledge::coordination {
namespace {

constexpr milliseconds step{20};

/// Nodes of one data centre with a simulated platform and gossip. The oracle runs at every step.
class data_centre {
 public:
  data_centre(std::size_t size, std::uint64_t seed) : random(seed), nodes_(size) {
    for (std::size_t it = 0; it < size; ++it) {
      start(it);
    }
  }

  void start(std::size_t index) {
    auto& node = nodes_[index];
    node.machine = std::make_unique<election>(
        settings{}, name_of(index), endpoint{"10.0.0.1", port_of(index)}, "dc-1", random());
    node.heard_at.clear();
    node.paused_until = now;
    ++node.process;
  }
  void kill(std::size_t index) {
    nodes_[index].machine.reset();
    nodes_[index].silent_since = now;
  }
  void pause(std::size_t index, duration length) {
    nodes_[index].paused_until = now + length;
    nodes_[index].silent_since = now;
  }
  bool running(std::size_t index) const {
    return nodes_[index].machine && nodes_[index].paused_until <= now;
  }
  election& at(std::size_t index) { return *nodes_[index].machine; }
  std::size_t size() const { return nodes_.size(); }
  void set_draining(std::size_t index, bool draining) { nodes_[index].may_stand = !draining; }
  void set_cut(std::size_t index, bool cut) { nodes_[index].platform_cut = cut; }
  /// Other nodes see a node that runs as dead, because of what another data centre has reported.
  void set_reported_dead(std::size_t index, bool dead) { nodes_[index].reported_dead = dead; }

  /// The platform comes back from the copy of some writes before.
  void restore(std::size_t lost_writes) {
    ++era_;
    const std::size_t kept = history_.size() - std::min(history_.size(), lost_writes);
    if (kept < history_.size()) {
      content = history_[kept].content;
      version = history_[kept].version;
    }
    history_.resize(kept);
    version = platform::version_in_era(era_, platform::stored_version(version));
  }

  void run(duration length) {
    run_until(length, [] { return false; });
  }
  template <class Condition>
  duration run_until(duration limit, Condition done) {
    const auto begin = now;
    while (now - begin < limit && !done()) {
      advance();
    }
    return now - begin;
  }
  std::vector<std::size_t> with_part(part wanted) const {
    std::vector<std::size_t> result;
    for (std::size_t it = 0; it < nodes_.size(); ++it) {
      if (running(it) && nodes_[it].machine->current_part(now) == wanted) {
        result.push_back(it);
      }
    }
    return result;
  }
  bool one_coordinator() const { return with_part(part::coordinator).size() == 1; }
  std::size_t coordinator() const { return with_part(part::coordinator).at(0); }

  static std::string name_of(std::size_t index) { return "vm-" + std::to_string(100 + index); }
  static std::uint16_t port_of(std::size_t index) {
    return static_cast<std::uint16_t>(1'000 + index);
  }

  std::mt19937_64 random;
  time_point now{std::chrono::hours(1)};
  bool platform_down = false;
  /// Whether nodes probe all others while their part depends on the majority.
  bool solicitation = true;
  double lost_requests = 0;
  double lost_answers = 0;
  double late_writes = 0;
  double stale_reads = 0;
  std::int64_t longest_delay_ms = 20;
  std::string content;
  std::uint64_t version = 0;

  std::uint64_t two_coordinators = 0;
  std::uint64_t equal_terms = 0;
  std::uint64_t repeated_terms = 0;
  std::uint64_t coordinated_steps = 0;
  std::uint64_t acted_steps = 0;
  std::uint64_t steps = 0;
  std::uint64_t writes = 0;
  std::uint64_t reads = 0;

 private:
  struct node {
    std::unique_ptr<election> machine;
    time_point paused_until{};
    time_point silent_since{};
    std::uint64_t process = 0;
    bool may_stand = true;
    bool platform_cut = false;
    bool reported_dead = false;
    std::map<std::size_t, time_point> heard_at;
  };
  struct event {
    time_point at;
    std::uint64_t order = 0;
    std::function<void()> action;
    bool operator<(const event& other) const {
      return at != other.at ? at > other.at : order > other.order;
    }
  };

  bool chance(double probability) {
    return std::uniform_real_distribution<double>(0, 1)(random) < probability;
  }
  milliseconds delay() {
    return milliseconds(std::uniform_int_distribution<std::int64_t>(1, longest_delay_ms)(random));
  }
  void at_time(time_point when, std::function<void()> action) {
    events_.push({when, order_++, std::move(action)});
  }

  void answer(std::size_t index, std::uint64_t process, std::uint64_t tag,
              platform::answer result) {
    at_time(now + delay(), [this, index, process, tag, result = std::move(result)] {
      if (!nodes_[index].machine || nodes_[index].process != process) {
        return;
      }
      if (!running(index)) {
        answer(index, process, tag, result);
        return;
      }
      call(index, nodes_[index].machine->on_answer(now, tag, result));
    });
  }
  platform::object current() const { return {"coordinator/dc-1", version, content}; }
  bool apply(const platform::write& what) {
    const bool creates = what.expected_version == 0 && platform::stored_version(version) == 0;
    if (!creates && what.expected_version != version) {
      return false;
    }
    history_.push_back(current());
    content = what.content;
    ++version;
    return true;
  }
  void call(std::size_t index, const std::vector<platform::requested_call>& calls) {
    const auto process = nodes_[index].process;
    for (const auto& it : calls) {
      at_time(now + delay(), [this, index, process, it] { serve(index, process, it); });
    }
  }
  void serve(std::size_t index, std::uint64_t process, const platform::requested_call& it) {
    if (platform_down || nodes_[index].platform_cut || chance(lost_requests)) {
      answer(index, process, it.tag, platform::unavailable{"down", milliseconds(0)});
      return;
    }
    if (const auto* what = std::get_if<platform::write>(&it.what)) {
      ++writes;
      if (chance(late_writes)) {
        // The client gives up on the answer; the write takes effect later, or never.
        at_time(now + 100 * delay(), [this, written = *what] { apply(written); });
        answer(index, process, it.tag, platform::unresolved{"timeout"});
      } else if (apply(*what)) {
        answer(index, process, it.tag,
               chance(lost_answers) ? platform::answer(platform::unresolved{"timeout"})
                                    : platform::answer(platform::found{current()}));
      } else {
        answer(index, process, it.tag,
               platform::conflict{chance(0.2) ? platform::object{} : current()});
      }
      return;
    }
    ++reads;
    if (platform::stored_version(version) == 0) {
      answer(index, process, it.tag, platform::absent{era_});
    } else if (!history_.empty() && history_.back().version > 0 && chance(stale_reads)) {
      const auto& old =
          history_[history_.size() - 1 - random() % std::min<std::size_t>(history_.size(), 3)];
      answer(index, process, it.tag,
             old.version == 0 ? platform::answer(platform::absent{})
                              : platform::answer(platform::found{old}));
    } else {
      answer(index, process, it.tag, platform::found{current()});
    }
  }

  /// SWIM sees a silent member as dead after about 2.5 s.
  bool seen_alive(std::size_t index) const {
    return !nodes_[index].reported_dead &&
           (running(index) || (now - nodes_[index].silent_since < milliseconds(2'500)));
  }
  view view_of(std::size_t index) const {
    view result;
    result.may_stand = nodes_[index].may_stand;
    for (std::size_t it = 0; it < nodes_.size(); ++it) {
      if (it == index || seen_alive(it)) {
        result.alive.push_back(name_of(it));
      }
      const auto heard = nodes_[index].heard_at.find(it);
      const bool was_heard = heard != nodes_[index].heard_at.end();
      if (it == index || (was_heard && now - heard->second < settings{}.lease_term)) {
        result.heard_recently.push_back(name_of(it));
      }
      if (was_heard && now - heard->second < settings{}.lease_term + settings{}.clock_margin) {
        result.in_contact.push_back(name_of(it));
      }
    }
    return result;
  }
  /// Each node probes a random other one twice a second; both learn the other's records.
  void gossip() {
    for (std::size_t it = 0; it < nodes_.size(); ++it) {
      if (!running(it) || random() % 25 != 0) {
        continue;
      }
      meet(it, random() % nodes_.size());
      if (solicitation && nodes_[it].machine->needs_majority()) {
        for (std::size_t other = 0; other < nodes_.size(); ++other) {
          meet(it, other);
        }
      }
    }
  }
  void meet(std::size_t one, std::size_t other) {
    if (one == other || !running(other)) {
      return;
    }
    for (const auto& [from, to] : {std::pair(one, other), std::pair(other, one)}) {
      nodes_[to].heard_at[from] = now;
      for (const auto& record : nodes_[from].machine->known()) {
        nodes_[to].machine->heard(now, record, name_of(from));
      }
    }
  }

  void advance() {
    now += step;
    check();
    while (!events_.empty() && events_.top().at <= now) {
      const auto due = events_.top();
      events_.pop();
      due.action();
      check();
    }
    gossip();
    for (std::size_t it = 0; it < nodes_.size(); ++it) {
      if (running(it)) {
        call(it, nodes_[it].machine->tick(now, view_of(it)));
      }
    }
    check();
    ++steps;
    coordinated_steps += with_part(part::coordinator).empty() ? 0 : 1;
    acted_steps += with_part(part::acting).empty() ? 0 : 1;
  }

  void check() {
    const auto coordinators = with_part(part::coordinator);
    two_coordinators += coordinators.size() > 1 ? 1 : 0;
    std::set<std::pair<std::uint64_t, std::uint32_t>> terms;
    for (std::size_t it = 0; it < nodes_.size(); ++it) {
      if (!running(it) || nodes_[it].machine->current_part(now) == part::follower) {
        continue;
      }
      const auto own = nodes_[it].machine->own_term();
      equal_terms += terms.emplace(own.epoch, own.rank).second ? 0 : 1;
      const auto key = std::pair(own.epoch, own.rank);
      const auto process = std::pair(it, nodes_[it].process);
      const auto [known, added] = term_users_.emplace(key, process);
      repeated_terms += !added && known->second != process ? 1 : 0;
    }
  }

  std::vector<node> nodes_;
  std::vector<platform::object> history_;
  std::uint64_t era_ = 1;
  std::priority_queue<event> events_;
  std::map<std::pair<std::uint64_t, std::uint32_t>, std::pair<std::size_t, std::uint64_t>>
      term_users_;
  std::uint64_t order_ = 0;
};

double in_seconds(duration value) {
  return std::chrono::duration<double>(value).count();
}

nlohmann::json content_of(const data_centre& nodes) {
  return nlohmann::json::parse(nodes.content);
}

TEST_CASE("A data centre elects one coordinator and replaces it within term and margin") {
  duration slowest{0};
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    data_centre nodes(8, seed);
    CHECK(nodes.run_until(seconds(10), [&] { return nodes.one_coordinator(); }) < seconds(2));
    nodes.run(seconds(5));
    const auto first = nodes.coordinator();
    CHECK(content_of(nodes)["holder"] == data_centre::name_of(first));
    CHECK(content_of(nodes)["settled"] == true);
    CHECK(nodes.at(first).known("dc-1")->held == term{1, 0});
    nodes.kill(first);
    nodes.run(step);
    slowest =
        std::max(slowest, nodes.run_until(seconds(20), [&] { return nodes.one_coordinator(); }));
    CHECK(nodes.at(nodes.coordinator()).own_term() == term{2, 0});
    CHECK(nodes.at(nodes.coordinator()).previous_settled());
    CHECK(nodes.two_coordinators == 0);
  }
  CHECK(slowest < milliseconds(4'600));
  MESSAGE("slowest of 20 replacements: ", in_seconds(slowest), " s");
}

TEST_CASE("Renewal and observation stay within the platform's rates") {
  data_centre nodes(137, 3);
  nodes.run(seconds(4));
  nodes.writes = 0;
  nodes.reads = 0;
  // Longer than idle_read_period, so that every idle member reads at least once.
  nodes.run(seconds(12));
  CHECK(nodes.writes <= 13);
  CHECK(nodes.reads <= 12 * 20);
  MESSAGE("137 nodes: ", nodes.writes, " writes and ", nodes.reads, " reads in 12 s");
}

TEST_CASE("A draining coordinator releases its term and a successor need not wait") {
  data_centre nodes(5, 5);
  nodes.run(seconds(5));
  const auto first = nodes.coordinator();
  nodes.set_draining(first, true);
  nodes.run(step);
  CHECK(nodes.at(first).current_part(nodes.now) == part::follower);
  // The drained node's own knowledge of the new term ends the successor's wait.
  const auto time = nodes.run_until(seconds(10), [&] { return nodes.one_coordinator(); });
  CHECK(time < milliseconds(2'500));
  CHECK(nodes.coordinator() != first);
  nodes.run(seconds(20));
  CHECK(nodes.coordinator() != first);
  CHECK(nodes.two_coordinators == 0);
}

TEST_CASE("A holder that was paused past its term acts only after a renewal") {
  data_centre nodes(3, 7);
  nodes.run(seconds(5));
  const auto first = nodes.coordinator();
  nodes.platform_down = true;
  nodes.run(milliseconds(500));
  const auto old_term = nodes.at(first).own_term();
  nodes.pause(first, seconds(4));
  nodes.run(seconds(4) - step);
  nodes.run(step);
  CHECK(nodes.at(first).current_part(nodes.now) == part::follower);
  nodes.run(seconds(1));
  CHECK(nodes.at(first).current_part(nodes.now) == part::follower);
  nodes.platform_down = false;
  nodes.run(seconds(8));
  REQUIRE(nodes.one_coordinator());
  CHECK(nodes.at(nodes.coordinator()).own_term() > old_term);
}

TEST_CASE("In an outage the holder continues by majority, and not without one") {
  data_centre nodes(5, 11);
  nodes.run(seconds(5));
  const auto first = nodes.coordinator();
  nodes.platform_down = true;
  nodes.run(seconds(60));
  REQUIRE(nodes.one_coordinator());
  CHECK(nodes.coordinator() == first);
  CHECK(nodes.at(first).own_term() == term{1, 0});
  CHECK(nodes.at(first).needs_majority());
  for (std::size_t it = 0; it < 5; ++it) {
    if (it != first) {
      nodes.pause(it, seconds(30));
    }
  }
  nodes.run(seconds(6));
  CHECK(nodes.with_part(part::coordinator).empty());
}

TEST_CASE("A holder that dies in an outage is replaced by one acting coordinator") {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    data_centre nodes(6, seed);
    nodes.run(seconds(5));
    const auto first = nodes.coordinator();
    nodes.platform_down = true;
    nodes.run(seconds(10));
    nodes.kill(first);
    const auto time = nodes.run_until(seconds(30), [&] { return nodes.acted_steps > 0; });
    CHECK(time < seconds(8));
    nodes.run(seconds(20));
    const auto acting = nodes.with_part(part::acting);
    REQUIRE(acting.size() == 1);
    CHECK(nodes.at(acting[0]).own_term().epoch == 1);
    CHECK(nodes.at(acting[0]).own_term().rank > 0);
    CHECK(nodes.at((first + 1) % 6 == acting[0] ? (first + 2) % 6 : (first + 1) % 6)
              .known("dc-1")
              ->holder == data_centre::name_of(acting[0]));
    nodes.platform_down = false;
    nodes.run(seconds(10));
    REQUIRE(nodes.one_coordinator());
    CHECK(nodes.with_part(part::acting).empty());
    CHECK(nodes.at(nodes.coordinator()).own_term() > term{1, 1'000'000});
    CHECK_FALSE(nodes.at(nodes.coordinator()).previous_settled());
    CHECK(nodes.equal_terms == 0);
  }
}

TEST_CASE("A holder that alone cannot reach the platform is replaced without overlap") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    data_centre nodes(6, seed);
    nodes.run(seconds(5));
    const auto first = nodes.coordinator();
    nodes.set_cut(first, true);
    nodes.run(seconds(20));
    REQUIRE(nodes.one_coordinator());
    CHECK(nodes.coordinator() != first);
    CHECK(nodes.two_coordinators == 0);
  }
}

TEST_CASE("A holder that runs and is reported dead as an outage ends is replaced without overlap") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    data_centre nodes(6, seed);
    nodes.run(seconds(5));
    const auto first = nodes.coordinator();
    nodes.platform_down = true;
    nodes.run(seconds(10));
    REQUIRE(nodes.one_coordinator());
    nodes.set_cut(first, seed % 2 == 0);
    nodes.set_reported_dead(first, true);
    nodes.run(milliseconds(100 * seed));
    nodes.platform_down = false;
    nodes.run(seconds(1));
    nodes.set_reported_dead(first, false);
    nodes.run(seconds(20));
    CHECK(nodes.one_coordinator());
    CHECK(nodes.two_coordinators == 0);
  }
}

TEST_CASE("When only one node reaches the platform it becomes coordinator, whatever its name") {
  data_centre nodes(8, 13);
  for (std::size_t it = 0; it < 7; ++it) {
    nodes.set_cut(it, true);
  }
  nodes.run(seconds(30));
  REQUIRE(nodes.one_coordinator());
  CHECK(nodes.coordinator() == 7);
}

TEST_CASE("A conflict that this node's own late write caused does not end its term") {
  election machine({}, "vm-1", {"10.0.0.1", 1}, "dc-1", 1);
  const view seen{{"vm-1"}, {"vm-1"}, true, {}};
  time_point now{std::chrono::hours(1)};
  auto calls = machine.tick(now, seen);
  REQUIRE(calls.size() == 1);
  machine.on_answer(now, calls[0].tag, platform::absent{});
  now += milliseconds(200);
  calls = machine.tick(now, seen);
  REQUIRE(calls.size() == 1);
  auto content = std::get<platform::write>(calls[0].what).content;
  machine.on_answer(now, calls[0].tag, platform::found{{"coordinator/dc-1", 1, content}});
  CHECK(machine.current_part(now) == part::coordinator);

  now += seconds(1);
  calls = machine.tick(now, seen);
  REQUIRE(calls.size() == 1);
  const auto late = std::get<platform::write>(calls[0].what).content;
  calls = machine.on_answer(now, calls[0].tag, platform::unresolved{"timeout"});
  REQUIRE(calls.size() == 1);
  // The read comes before the late write takes effect, so the next renewal meets it.
  machine.on_answer(now, calls[0].tag, platform::found{{"coordinator/dc-1", 1, content}});
  calls = machine.tick(now, seen);
  REQUIRE(calls.size() == 1);
  machine.on_answer(now, calls[0].tag, platform::conflict{{"coordinator/dc-1", 2, late}});
  CHECK(machine.current_part(now + milliseconds(2'900)) == part::coordinator);
  CHECK(machine.own_term() == term{1, 0});
}

TEST_CASE("A higher term from gossip ends this node's own") {
  data_centre nodes(3, 17);
  nodes.run(seconds(5));
  auto& machine = nodes.at(nodes.coordinator());
  machine.heard(nodes.now, {"dc-2", "vm-900", {"10.0.0.9", 9}, {50, 0}});
  CHECK(machine.current_part(nodes.now) == part::coordinator);
  machine.heard(nodes.now, {"dc-1", "vm-900", {"10.0.0.9", 9}, {7, 0}});
  CHECK(machine.current_part(nodes.now) == part::follower);
  CHECK(machine.known("dc-2")->holder == "vm-900");
  nodes.run(seconds(10));
  REQUIRE(nodes.one_coordinator());
  CHECK(nodes.at(nodes.coordinator()).own_term() > term{7, 0});
}

TEST_CASE("A restored platform leaves no data centre with two coordinators, or with none") {
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    CAPTURE(seed);
    data_centre nodes(5, seed);
    nodes.run(milliseconds(4'000 + 150 * seed));
    REQUIRE(nodes.one_coordinator());
    const std::size_t first = nodes.coordinator();
    if (seed % 3 == 0) {
      // Its successor takes over in what the platform loses.
      nodes.kill(first);
      nodes.run_until(seconds(20), [&] { return nodes.one_coordinator(); });
      nodes.run(milliseconds(100 * (seed % 20)));
    }
    nodes.platform_down = true;
    nodes.run(milliseconds(50 * (seed % 7)));
    nodes.restore(seed % 9);
    nodes.platform_down = false;
    if (seed % 4 == 0) {
      nodes.start(first);
    }
    nodes.run(seconds(20));
    CHECK(nodes.one_coordinator());
    CHECK(nodes.two_coordinators == 0);
    CHECK(nodes.equal_terms == 0);
    CHECK(nodes.repeated_terms == 0);
  }
}

TEST_CASE("Malformed content of the lease object is replaced after the usual wait") {
  data_centre nodes(3, 19);
  nodes.content = "not JSON";
  nodes.version = 8;
  const auto time = nodes.run_until(seconds(20), [&] { return nodes.one_coordinator(); });
  CHECK(time > seconds(3));
  CHECK(time < seconds(5));
}

TEST_CASE("No two coordinators and no shared term over random faults") {
  std::uint64_t steps = 0;
  std::uint64_t coordinated = 0;
  std::uint64_t acted = 0;
  std::uint64_t overlaps = 0;
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    data_centre nodes(3 + seed % 5, seed);
    nodes.solicitation = seed % 2 == 0;
    nodes.lost_requests = 0.05;
    nodes.lost_answers = 0.1;
    nodes.late_writes = 0.05;
    nodes.stale_reads = 0.1;
    nodes.longest_delay_ms = seed % 3 == 0 ? 1'500 : 50;
    const auto violations = violation_count();
    for (int round = 0; round < 60; ++round) {
      const auto index = nodes.random() % nodes.size();
      switch (nodes.random() % 9) {
      case 0:
        nodes.kill(index);
        break;
      case 1:
      case 2:
        nodes.start(index);
        break;
      case 3:
      case 4:
        nodes.pause(index, milliseconds(nodes.random() % 8'000));
        break;
      case 5:
        nodes.platform_down = !nodes.platform_down;
        break;
      case 6:
        nodes.set_cut(index, nodes.random() % 2 == 0);
        break;
      case 7:
        nodes.set_draining(index, nodes.random() % 3 == 0);
        break;
      default:
        if (nodes.one_coordinator()) {
          nodes.pause(nodes.coordinator(), milliseconds(2'500 + nodes.random() % 2'000));
        }
      }
      nodes.run(milliseconds(nodes.random() % 5'000));
    }
    // All faults end; one coordinator must follow.
    nodes.platform_down = false;
    nodes.lost_requests = nodes.lost_answers = nodes.late_writes = nodes.stale_reads = 0;
    nodes.longest_delay_ms = 20;
    nodes.solicitation = true;
    for (std::size_t it = 0; it < nodes.size(); ++it) {
      nodes.start(it);
      nodes.set_cut(it, false);
      nodes.set_draining(it, false);
    }
    nodes.run(seconds(20));
    CHECK(nodes.one_coordinator());
    CHECK(nodes.with_part(part::acting).empty());
    CHECK(nodes.equal_terms == 0);
    CHECK(nodes.repeated_terms == 0);
    CHECK(nodes.two_coordinators == 0);
    CHECK(violation_count() == violations);
    steps += nodes.steps;
    coordinated += nodes.coordinated_steps;
    acted += nodes.acted_steps;
    overlaps += nodes.two_coordinators;
  }
  // A run in which nobody ever coordinates would pass the checks above.
  CHECK(coordinated * 4 > steps);
  CHECK(acted > 0);
  MESSAGE("60 runs, ", steps * 20 / 1'000, " s simulated: a coordinator ",
          100 * coordinated / steps, "% of the time, an acting one ", 100 * acted / steps,
          "%, overlaps seen ", overlaps);
}

} // namespace
} // namespace damaskledge::coordination
