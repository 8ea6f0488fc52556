#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "membership/membership.h"
#include "simulation/network.h"

namespace damaskledge::membership {
namespace {

using wire::member_state;

constexpr milliseconds step{20};

std::string name_of(std::size_t index) {
  auto digits = std::to_string(index);
  return "vm-" + std::string(4 - digits.size(), '0') + digits;
}

endpoint address_of(std::size_t index) {
  return {"10.20." + std::to_string(index / 250) + "." + std::to_string(index % 250 + 1), 7400};
}

wire::member_record record_of(std::size_t index, std::size_t data_centres,
                              std::uint64_t incarnation) {
  wire::member_record record;
  record.name = name_of(index);
  record.data_centre = "dc-" + std::to_string(index % data_centres);
  record.address = address_of(index).address;
  record.peer_port = address_of(index).port;
  record.caller_port = 7401;
  record.incarnation = incarnation;
  record.services = {{"crew-dispatch", 9000, 110, 770, false}};
  record.documents = {{"lists", 17}, {"keys", 9}};
  return record;
}

/// Nodes with simulated clocks, pauses and crashes on one simulated network.
class cluster {
 public:
  cluster(std::size_t size, std::size_t data_centres, std::uint64_t seed)
      : net(seed), data_centres_(data_centres), seed_(seed), nodes_(size), paused_until_(size) {
    for (std::size_t it = 0; it < size; ++it) {
      index_[to_string(address_of(it))] = it;
    }
  }

  void start(std::size_t index) {
    nodes_[index] = std::make_unique<member_table>(
        settings{}, record_of(index, data_centres_, ++incarnation_),
        std::vector{address_of(0), address_of(1), address_of(2)}, seed_ * 1'000 + index);
  }
  void start_all() {
    for (std::size_t it = 0; it < nodes_.size(); ++it) {
      start(it);
    }
  }
  /// Starts every node with the table of all others, as after a long quiet run.
  void start_joined() {
    start_all();
    // A reply to a node that knows nobody is no news to spread.
    wire::member_sync_reply all;
    for (const auto& it : nodes_) {
      all.facts.members.push_back(it->self());
    }
    for (const auto& it : nodes_) {
      it->receive(now, {"", {}, all});
    }
    run(seconds(5));
    net.take_traffic();
  }
  void kill(std::size_t index) { nodes_[index].reset(); }
  void pause(std::size_t index, duration length) { paused_until_[index] = now + length; }
  bool running(std::size_t index) const { return nodes_[index] && paused_until_[index] <= now; }
  member_table& at(std::size_t index) { return *nodes_[index]; }
  std::size_t size() const { return nodes_.size(); }

  void send(std::size_t index, const std::vector<wire::outgoing>& messages) {
    net.send(now, name_of(index), address_of(index), messages);
  }

  void run(duration length) {
    run_until(length, [] { return false; });
  }
  /// @return the time until `done` held, or `limit`.
  template <class Condition>
  duration run_until(duration limit, Condition done) {
    const auto start = now;
    while (now - start < limit && !done()) {
      now += step;
      net.deliver(now, [this](const endpoint& to, const wire::incoming& what) {
        const auto found = index_.find(to_string(to));
        if (found == index_.end() || !nodes_[found->second]) {
          return;
        }
        if (!running(found->second)) {
          delayed_[found->second].push_back(what);
          return;
        }
        send(found->second, nodes_[found->second]->receive(now, what));
      });
      for (std::size_t it = 0; it < nodes_.size(); ++it) {
        if (!running(it)) {
          continue;
        }
        send(it, nodes_[it]->tick(now));
        // A paused process finds the messages of the pause in its socket buffer.
        for (const auto& what : std::exchange(delayed_[it], {})) {
          send(it, nodes_[it]->receive(now, what));
        }
      }
    }
    return now - start;
  }

  /// @return how many running nodes see the subject in a state for which `wanted` holds.
  template <class Predicate>
  std::size_t count_seeing(std::size_t subject, Predicate wanted) const {
    std::size_t count = 0;
    for (std::size_t it = 0; it < nodes_.size(); ++it) {
      if (it != subject && running(it)) {
        count +=
            wanted(nodes_[it]->state_of(name_of(subject)).value_or(member_state::dead)) ? 1 : 0;
      }
    }
    return count;
  }
  std::size_t count_dead(std::size_t subject) const {
    return count_seeing(subject, [](auto state) { return state >= member_state::left; });
  }
  bool all_see_all_up() const {
    for (std::size_t it = 0; it < nodes_.size(); ++it) {
      if (nodes_[it] &&
          count_seeing(it, [](auto state) { return state != member_state::up; }) > 0) {
        return false;
      }
    }
    return true;
  }

  simulation::network net;
  time_point now{std::chrono::hours(1)};

 private:
  std::size_t data_centres_;
  std::uint64_t seed_;
  std::uint64_t incarnation_ = 1'000;
  std::vector<std::unique_ptr<member_table>> nodes_;
  std::vector<time_point> paused_until_;
  std::map<std::string, std::size_t> index_;
  std::map<std::size_t, std::vector<wire::incoming>> delayed_;
};

double in_seconds(duration value) {
  return std::chrono::duration<double>(value).count();
}

TEST_CASE("Nodes that start together find each other, and a death is seen everywhere in 5 s") {
  for (const std::size_t size : {12U, 50U, 200U}) {
    cluster nodes(size, 3, size);
    nodes.start_all();
    const auto joined = nodes.run_until(seconds(30), [&] { return nodes.all_see_all_up(); });
    CHECK(joined < seconds(15));
    nodes.run(seconds(5));

    duration slowest{0};
    for (std::size_t victim = 3; victim < 8; ++victim) {
      nodes.kill(victim);
      const auto removed = nodes.run_until(
          seconds(20), [&] { return nodes.count_dead(victim) == size - 1 - (victim - 3); });
      slowest = std::max(slowest, removed);
    }
    CHECK(slowest < milliseconds(5'500));

    nodes.start(3);
    const auto returned = nodes.run_until(seconds(20), [&] { return nodes.count_dead(3) == 0; });
    CHECK(returned < seconds(3));
    CHECK(nodes.net.largest_datagram() <= wire::max_datagram_bytes);
    MESSAGE(size, " members: joined in ", in_seconds(joined), " s, slowest of 5 deaths removed in ",
            in_seconds(slowest), " s, restart seen in ", in_seconds(returned),
            " s, largest datagram ", nodes.net.largest_datagram(), " B");
  }
}

TEST_CASE("Lost and duplicated datagrams cause no false death") {
  for (const std::size_t size : {12U, 50U, 200U}) {
    cluster nodes(size, 3, 100 + size);
    nodes.start_joined();
    nodes.net.loss = 0.05;
    nodes.net.duplication = 0.02;
    std::size_t false_deaths = 0;
    std::size_t suspicions = 0;
    const int length_s = size < 100 ? 240 : 40;
    for (int it = 0; it < length_s; ++it) {
      nodes.run(seconds(1));
      for (std::size_t subject = 0; subject < size; ++subject) {
        false_deaths += nodes.count_dead(subject) > 0 ? 1 : 0;
        suspicions +=
            nodes.count_seeing(subject, [](auto state) { return state == member_state::suspect; });
      }
    }
    CHECK(false_deaths == 0);
    CHECK(nodes.net.largest_datagram() <= wire::max_datagram_bytes);
    MESSAGE(size, " members, 5% loss, ", length_s, " s: ", false_deaths, " false deaths, ",
            suspicions, " suspicions seen at whole seconds");
  }
}

TEST_CASE("A node that wakes from a pause neither declares others dead nor stays dead itself") {
  for (const auto length : {seconds(1), seconds(3), seconds(30)}) {
    cluster nodes(12, 3, 7);
    nodes.start_joined();
    nodes.pause(5, length);
    nodes.run(length - step);
    std::size_t others_dead = 0;
    nodes.run_until(seconds(10), [&] {
      for (std::size_t it = 0; it < nodes.size(); ++it) {
        others_dead += it != 5 && nodes.count_dead(it) > 0 ? 1 : 0;
      }
      return false;
    });
    CHECK(others_dead == 0);
    CHECK(nodes.all_see_all_up());
  }
}

TEST_CASE("Partitioned data centres see each other as dead and find each other after minutes") {
  cluster nodes(12, 3, 11);
  nodes.start_joined();
  nodes.net.cut = [](const endpoint& a, const endpoint& b) {
    const auto in_first = [](const endpoint& it) {
      return std::stoi(it.address.substr(it.address.rfind('.') + 1)) % 3 == 1;
    };
    return in_first(a) != in_first(b);
  };
  // Longer than forget_after, so that only remembered addresses and seeds can heal the partition.
  nodes.run(seconds(200));
  CHECK(nodes.at(1).alive("dc-0").empty());
  CHECK(nodes.at(1).alive("dc-1").size() == 4);
  nodes.net.cut = nullptr;
  const auto healed = nodes.run_until(seconds(60), [&] { return nodes.all_see_all_up(); });
  CHECK(healed < seconds(30));
  MESSAGE("partition of 200 s healed in ", in_seconds(healed), " s");
}

TEST_CASE("A member that left is not resurrected by old gossip, but by a new process") {
  cluster nodes(12, 3, 13);
  nodes.start_joined();
  const auto old_record = nodes.at(4).self();
  nodes.send(4, nodes.at(4).update_self(nodes.now, {}, member_state::left));
  const auto spread = nodes.run_until(seconds(10), [&] { return nodes.count_dead(4) == 11; });
  CHECK(spread < seconds(2));
  nodes.kill(4);

  wire::member_sync_reply old_gossip;
  old_gossip.facts.members = {old_record};
  const auto tell = [&] {
    nodes.at(0).receive(nodes.now, {name_of(1), address_of(1), old_gossip});
  };
  tell();
  CHECK(nodes.at(0).find(name_of(4))->state == member_state::left);
  nodes.run(seconds(150));
  CHECK_FALSE(nodes.at(0).find(name_of(4)).has_value());
  tell();
  CHECK_FALSE(nodes.at(0).find(name_of(4)).has_value());

  nodes.start(4);
  nodes.run(seconds(5));
  CHECK(nodes.all_see_all_up());
}

TEST_CASE("Draining and service changes reach every member within a second or so") {
  cluster nodes(50, 3, 17);
  nodes.start_joined();
  auto services = nodes.at(9).self().services;
  services[0].draining = true;
  const auto before = nodes.at(20).change_count();
  nodes.send(9, nodes.at(9).update_self(nodes.now, services, member_state::draining));
  const auto spread = nodes.run_until(seconds(10), [&] {
    return nodes.count_seeing(9, [](auto state) { return state == member_state::draining; }) == 49;
  });
  CHECK(spread < seconds(2));
  CHECK(nodes.at(20).change_count() > before);
  CHECK(nodes.at(20).find(name_of(9))->services == services);
  CHECK(nodes.at(9).update_self(nodes.now, services, member_state::draining).empty());
}

TEST_CASE("Of two processes with one name the higher incarnation wins, until it dies") {
  cluster nodes(4, 1, 19);
  nodes.start_joined();
  member_table rival(
      settings{},
      [] {
        auto record = record_of(3, 1, 1'000'000);
        record.peer_port = 7500;
        return record;
      }(),
      {address_of(0)}, 5);
  wire::member_sync_reply news;
  news.facts.members = {rival.self()};
  for (std::size_t it = 0; it < 4; ++it) {
    nodes.at(it).receive(nodes.now, {name_of(3), {"10.20.0.4", 7500}, news});
  }
  CHECK(nodes.at(3).superseded());
  CHECK(nodes.at(0).find(name_of(3))->peer_port == 7500);
  // Nobody answers at the rival's port, so it is found dead and the older process returns.
  nodes.run(seconds(15));
  CHECK_FALSE(nodes.at(3).superseded());
  CHECK(nodes.at(0).find(name_of(3))->peer_port == 7400);
  CHECK(nodes.at(0).find(name_of(3))->state == member_state::up);
}

TEST_CASE("A restarted process whose clock is behind takes its name back") {
  cluster nodes(4, 1, 23);
  nodes.start_joined();
  wire::member_sync_reply news;
  news.facts.members = {record_of(3, 1, 500'000)};
  nodes.at(0).receive(nodes.now, {name_of(1), address_of(1), news});
  nodes.run(seconds(5));
  CHECK(nodes.at(3).self().incarnation > 500'000);
  CHECK(nodes.all_see_all_up());
}

TEST_CASE("Large carried facts and records do not push a datagram over its limit") {
  cluster nodes(12, 3, 29);
  nodes.start_joined();
  carried_facts facts;
  for (std::uint32_t it = 0; it < 200; ++it) {
    facts.shed_levels.push_back({"service-" + std::to_string(it), "vm-0001", it, it});
    facts.crash_fingerprints.push_back({it, it});
    facts.coordinators.push_back({"dc-" + std::to_string(it), "vm-0001", address_of(it), {it, 0}});
  }
  nodes.at(2).set_carried_facts(facts);
  std::vector<wire::service_record> services(60, {"crew-dispatch", 9000, 110, 770, false});
  nodes.send(2, nodes.at(2).update_self(nodes.now, services, member_state::up));
  nodes.run(seconds(10));
  CHECK(nodes.net.largest_datagram() <= wire::max_datagram_bytes);
  CHECK(nodes.all_see_all_up());
}

TEST_CASE("Solicited answers show the majority of a large data centre within a lease term") {
  cluster nodes(137, 1, 31);
  nodes.start_joined();
  const auto since = nodes.now;
  nodes.run(seconds(3));
  const auto unsolicited = nodes.at(0).heard_since("dc-0", since).size();
  const auto later = nodes.now;
  nodes.send(0, nodes.at(0).solicit(nodes.now, "dc-0", later));
  nodes.run(milliseconds(100));
  CHECK(nodes.at(0).heard_since("dc-0", later).size() == 137);
  MESSAGE("heard of 137 in 3 s: ", unsolicited, " without solicitation");
}

TEST_CASE("A member that others report as dead counts as one in contact, one that left does not") {
  cluster nodes(4, 1, 37);
  nodes.start_joined();
  const auto since = nodes.now - seconds(3);
  const auto is_in_contact = [&](std::size_t subject) {
    const auto names = nodes.at(0).contacted_since("dc-0", since);
    return std::find(names.begin(), names.end(), name_of(subject)) != names.end();
  };
  wire::member_sync_reply reports;
  for (const std::size_t subject : {2, 3}) {
    reports.facts.members.push_back(nodes.at(subject).self());
    reports.facts.members.back().state = subject == 2 ? member_state::dead : member_state::left;
  }
  REQUIRE(is_in_contact(2));
  REQUIRE(is_in_contact(3));
  nodes.at(0).receive(nodes.now, {name_of(1), address_of(1), reports});
  REQUIRE(nodes.at(0).state_of(name_of(2)) == member_state::dead);
  REQUIRE(nodes.at(0).state_of(name_of(3)) == member_state::left);
  CHECK(is_in_contact(2));
  CHECK_FALSE(is_in_contact(3));
}

TEST_CASE("Traffic per node stays within the budget of 8 KB/s in a quiet fleet") {
  for (const std::size_t size : {12U, 137U, 820U}) {
    cluster nodes(size, size == 820 ? 6 : 3, 37);
    nodes.start_joined();
    carried_facts facts;
    facts.highest = {{"lists", 17}, {"keys", 9}};
    for (std::uint32_t it = 0; it < 6; ++it) {
      facts.coordinators.push_back(
          {"dc-" + std::to_string(it), name_of(it), address_of(it), {9, 0}});
    }
    for (std::size_t it = 0; it < size; ++it) {
      nodes.at(it).set_carried_facts(facts);
    }
    const int length_s = size > 200 ? 5 : 30;
    nodes.run(seconds(length_s));
    std::uint64_t sent = 0;
    std::uint64_t highest = 0;
    for (const auto& [address, count] : nodes.net.take_traffic()) {
      sent += count.sent_bytes;
      highest = std::max(highest, count.sent_bytes + count.received_bytes);
    }
    const auto mean = 2 * sent / size / length_s;
    CHECK(mean < 8'000);
    MESSAGE(size, " members: ", mean, " B/s sent and received per node on average, ",
            highest / length_s, " B/s at the busiest node");
  }
}

} // namespace
} // namespace damaskledge::membership
