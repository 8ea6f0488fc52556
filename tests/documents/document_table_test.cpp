#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include "documents/documents.h"
#include "simulation/network.h"

namespace damaskledge::documents {
namespace {

using json = nlohmann::json;

constexpr milliseconds step{20};
const endpoint peer_a{"10.20.0.1", 7400};
const endpoint peer_b{"10.20.0.2", 7400};

std::string text_of(std::uint64_t version, std::size_t accounts = 4) {
  auto value = json::object();
  for (std::size_t it = 0; it < accounts; ++it) {
    value["accounts"]["account-" + std::to_string(it)] = {{"rate", 100}, {"burst", 50}};
  }
  value["accounts"]["account-0"]["rate"] = version;
  value["write_id"] = version;
  return value.dump();
}

id128 hash_of(const std::string& text) {
  return hash_parts({text});
}

wire::document_content whole(std::uint64_t version) {
  return {"lists", version, 0, text_of(version), hash_of(text_of(version)), 10};
}

wire::incoming message_from(const endpoint& from, wire::message body) {
  return {"vm-" + from.address, from, std::move(body)};
}

std::uint64_t version_of(const document_table& table) {
  const auto value = table.in_force("lists");
  return value ? value->version : 0;
}

template <class Message>
std::vector<std::pair<endpoint, Message>> sent(const std::vector<wire::outgoing>& messages) {
  std::vector<std::pair<endpoint, Message>> result;
  for (const auto& it : messages) {
    if (const auto* body = std::get_if<Message>(&it.body)) {
      result.emplace_back(it.to, *body);
    }
  }
  return result;
}

/// Many document tables on one network. One node in each data centre reads the platform.
class fleet {
 public:
  fleet(std::size_t size, std::size_t data_centres, std::uint64_t seed)
      : net(seed), random(seed), data_centres_(data_centres), nodes_(size), seen_(size, 0) {
    for (std::size_t it = 0; it < size; ++it) {
      peers_.push_back({"vm-" + std::to_string(it),
                        "dc-" + std::to_string(it % data_centres),
                        {"10.20.0.1", static_cast<std::uint16_t>(1'000 + it)}});
    }
    for (std::size_t it = 0; it < size; ++it) {
      start(it);
    }
  }

  void start(std::size_t index) {
    nodes_[index] = std::make_unique<document_table>(
        settings{}, peers_[index].data_centre, std::vector<std::string>{"lists", "keys"}, random());
    auto others = peers_;
    others.erase(others.begin() + static_cast<std::ptrdiff_t>(index));
    nodes_[index]->set_peers(others);
    if (index >= data_centres_) {
      nodes_[index]->set_coordinator(peers_[index % data_centres_].address);
    }
    seen_[index] = 0;
  }

  void read_platform(std::size_t index, std::uint64_t version, const std::string& name = "lists") {
    send(index, nodes_[index]->from_platform(now, {name, version, text_of(version, accounts)}));
  }

  template <class Condition>
  duration run_until(duration limit, Condition done) {
    const auto begin = now;
    while (now - begin < limit && !done()) {
      now += step;
      net.deliver(now, [this](const endpoint& to, const wire::incoming& what) {
        const auto index = static_cast<std::size_t>(to.port - 1'000);
        send(index, nodes_[index]->receive(now, what));
        check(index);
      });
      for (std::size_t it = 0; it < nodes_.size(); ++it) {
        send(it, nodes_[it]->tick(now));
        check(it);
      }
      hear_probes();
    }
    return now - begin;
  }
  void run(duration length) {
    run_until(length, [] { return false; });
  }
  bool all_have(std::uint64_t version) const {
    return std::all_of(nodes_.begin(), nodes_.end(),
                       [version](const auto& it) { return version_of(*it) == version; });
  }
  document_table& at(std::size_t index) { return *nodes_[index]; }
  std::size_t size() const { return nodes_.size(); }

  simulation::network net;
  std::mt19937_64 random;
  time_point now{std::chrono::hours(1)};
  std::size_t accounts = 4;
  std::uint64_t reverted = 0;

 private:
  void send(std::size_t index, const std::vector<wire::outgoing>& messages) {
    net.send(now, peers_[index].name, peers_[index].address, messages);
  }
  void check(std::size_t index) {
    const auto version = version_of(*nodes_[index]);
    reverted += version < seen_[index] ? 1 : 0;
    seen_[index] = version;
  }
  /// Versions ride on SWIM probes: each node hears one random peer in half a second.
  void hear_probes() {
    if (now < next_probes_) {
      return;
    }
    next_probes_ = now + milliseconds(500);
    for (std::size_t it = 0; it < nodes_.size(); ++it) {
      const auto other = random() % nodes_.size();
      const bool lost = random() % 1'000 < static_cast<std::uint64_t>(net.loss * 1'000);
      if (other == it || lost) {
        continue;
      }
      for (const auto& what : nodes_[other]->highest_heard()) {
        send(it, nodes_[it]->heard(now, what, peers_[other].address));
      }
    }
  }

  std::size_t data_centres_;
  std::vector<peer> peers_;
  std::vector<std::unique_ptr<document_table>> nodes_;
  std::vector<std::uint64_t> seen_;
  time_point next_probes_{};
};

double in_seconds(duration value) {
  return std::chrono::duration<double>(value).count();
}

TEST_CASE("A new version reaches all nodes in 3 s with 10% loss, and no node ever reverts") {
  for (const std::size_t size : {12U, 50U, 200U}) {
    fleet nodes(size, 3, size);
    nodes.net.loss = 0.1;
    nodes.net.duplication = 0.05;
    nodes.net.longest_delay = milliseconds(40);
    duration slowest{0};
    const std::uint64_t versions = size > 100 ? 15 : 40;
    for (std::uint64_t version = 1; version <= versions; ++version) {
      // One data centre learns of the version from the platform; stale reads come in between.
      nodes.read_platform(version % 3, version);
      const auto time = nodes.run_until(seconds(10), [&] { return nodes.all_have(version); });
      slowest = std::max(slowest, time);
      nodes.read_platform(nodes.random() % size, 1 + nodes.random() % version);
    }
    CHECK(slowest < seconds(3));
    CHECK(nodes.reverted == 0);
    MESSAGE(size, " nodes: slowest of ", versions, " versions reached all in ", in_seconds(slowest),
            " s");
  }
}

TEST_CASE("Versions never revert over restarts, bursts of changes and stale reads") {
  fleet nodes(30, 3, 5);
  nodes.net.loss = 0.1;
  nodes.net.duplication = 0.1;
  nodes.net.longest_delay = milliseconds(200);
  const auto violations = violation_count();
  std::uint64_t version = 1;
  for (int round = 0; round < 400; ++round) {
    const auto action = nodes.random() % 10;
    if (action < 3) {
      nodes.read_platform(nodes.random() % 3, ++version);
    } else if (action < 5) {
      nodes.read_platform(nodes.random() % 30, 1 + nodes.random() % version);
    } else if (action < 6) {
      nodes.start(nodes.random() % 30);
    }
    nodes.run(milliseconds(20 * (nodes.random() % 20)));
  }
  nodes.read_platform(0, version);
  CHECK(nodes.run_until(seconds(10), [&] { return nodes.all_have(version); }) < seconds(3));
  CHECK(nodes.reverted == 0);
  CHECK(violation_count() == violations);
  CHECK(nodes.at(7).in_force("lists")->content == text_of(version));
}

TEST_CASE("A starting node does not put a version in force below one that a peer told it of") {
  document_table table({}, "dc-1", {"lists"}, 1);
  const time_point now{std::chrono::hours(1)};
  table.set_peers({{"vm-a", "dc-1", peer_a}, {"vm-b", "dc-1", peer_b}});
  CHECK(sent<wire::document_pull>(table.tick(now)).size() == 2);
  table.heard(now, {"lists", 7}, peer_b);
  table.from_platform(now, {"lists", 5, text_of(5)});
  table.receive(now, message_from(peer_a, whole(5)));
  table.receive(now, message_from(peer_b, wire::document_confirmation{{"lists", 0}, 0}));
  CHECK_FALSE(table.in_force("lists").has_value());
  const auto later = now + seconds(1);
  // The version that is held serves as the base of a patch, but is not in force.
  const auto pulls = sent<wire::document_pull>(table.tick(later));
  REQUIRE_FALSE(pulls.empty());
  CHECK(pulls[0].second.have == 5);
  CHECK_FALSE(table.in_force("lists").has_value());
  table.receive(later, message_from(peer_b, whole(7)));
  CHECK(version_of(table) == 7);
}

TEST_CASE(
    "The copy of a restored platform neither replaces newer content nor hides the next change") {
  document_table table({}, "dc-1", {"lists"}, 1);
  const time_point now{std::chrono::hours(1)};
  for (const std::uint64_t version : {7U, 8U, 9U}) {
    table.from_platform(now, {"lists", version, text_of(version)});
  }
  const auto in_new_era = [](std::uint64_t stored) { return platform::version_in_era(2, stored); };
  table.from_platform(now, {"lists", in_new_era(7), text_of(7)});
  REQUIRE(table.in_force("lists").has_value());
  CHECK(table.in_force("lists")->content == text_of(9));
  table.receive(
      now,
      message_from(peer_a, {wire::document_content{"lists", in_new_era(7), 0, text_of(7), {}, 0}}));
  CHECK(table.in_force("lists")->content == text_of(9));
  table.from_platform(now, {"lists", in_new_era(8), text_of(10)});
  CHECK(table.in_force("lists")->content == text_of(10));
}

TEST_CASE("A starting node waits for several peers, because the first to answer may lag") {
  document_table table({}, "dc-1", {"lists"}, 1);
  const time_point now{std::chrono::hours(1)};
  table.set_peers({{"vm-a", "dc-1", peer_a}, {"vm-b", "dc-1", peer_b}});
  table.tick(now);
  table.receive(now, message_from(peer_a, whole(5)));
  CHECK(version_of(table) == 0);
  table.receive(now, message_from(peer_b, whole(6)));
  CHECK(version_of(table) == 6);
}

TEST_CASE("A starting node does not wait for a dead peer, nor for any when it is alone") {
  const time_point now{std::chrono::hours(1)};
  document_table table({}, "dc-1", {"lists"}, 1);
  table.set_peers({{"vm-a", "dc-1", peer_a}, {"vm-b", "dc-1", peer_b}});
  table.tick(now);
  table.receive(now, message_from(peer_a, whole(5)));
  table.tick(now + milliseconds(600));
  CHECK(version_of(table) == 5);

  document_table alone({}, "dc-1", {"lists"}, 1);
  alone.tick(now);
  alone.from_platform(now, {"lists", 3, text_of(3)});
  CHECK(version_of(alone) == 3);
}

TEST_CASE("A pull is answered with a patch, and falls back to the whole content when it misfits") {
  const time_point now{std::chrono::hours(1)};
  document_table sender({}, "dc-1", {"lists"}, 1);
  // The platform's text is not in compact form; the hash must agree all the same.
  sender.from_platform(now, {"lists", 1, json::parse(text_of(1, 50)).dump(2)});
  document_table receiver({}, "dc-1", {"lists"}, 2);
  receiver.from_platform(now, {"lists", 1, text_of(1, 50)});
  CHECK(sender.in_force("lists")->hash == receiver.in_force("lists")->hash);
  sender.from_platform(now, {"lists", 2, text_of(2, 51)});

  const auto pulls = sent<wire::document_pull>(receiver.heard(now, {"lists", 2}, peer_a));
  REQUIRE(pulls.size() == 1);
  const auto patches =
      sent<wire::document_content>(sender.receive(now, message_from(peer_b, pulls[0].second)));
  REQUIRE(patches.size() == 1);
  CHECK(patches[0].second.base == 1);
  CHECK(patches[0].second.content.size() < 200);

  auto wrong = patches[0].second;
  wrong.content = R"({"write_id":99})";
  const auto again = sent<wire::document_pull>(receiver.receive(now, message_from(peer_a, wrong)));
  REQUIRE(again.size() == 1);
  CHECK(again[0].second.have == 0);
  CHECK(version_of(receiver) == 1);
  const auto wholes =
      sent<wire::document_content>(sender.receive(now, message_from(peer_b, again[0].second)));
  REQUIRE(wholes.size() == 1);
  CHECK(wholes[0].second.base == 0);
  receiver.receive(now, message_from(peer_a, wholes[0].second));
  CHECK(version_of(receiver) == 2);
  CHECK(receiver.in_force("lists")->content == text_of(2, 51));
}

TEST_CASE("A patch to a document with null members is not sent, because it cannot express them") {
  const time_point now{std::chrono::hours(1)};
  document_table table({}, "dc-1", {"lists"}, 1);
  table.from_platform(now, {"lists", 1, R"({"a":1,"b":2})"});
  table.from_platform(now, {"lists", 2, R"({"a":null,"b":2})"});
  const auto replies = sent<wire::document_content>(
      table.receive(now, message_from(peer_a, wire::document_pull{"lists", 1})));
  REQUIRE(replies.size() == 1);
  CHECK(replies[0].second.base == 0);
}

TEST_CASE("Contents with a wrong hash, above a megabyte, or of unknown documents are ignored") {
  const time_point now{std::chrono::hours(1)};
  document_table table({}, "dc-1", {"lists"}, 1);
  auto body = whole(3);
  body.hash.low ^= 1;
  table.receive(now, message_from(peer_a, body));
  CHECK(version_of(table) == 0);

  body = whole(3);
  body.content.assign(max_document_bytes + 1, 'x');
  body.hash = hash_of(body.content);
  table.receive(now, message_from(peer_a, body));
  table.from_platform(now, {"lists", 3, body.content});
  CHECK(version_of(table) == 0);

  body = whole(3);
  body.name = "other";
  table.receive(now, message_from(peer_a, body));
  CHECK(table.versions_in_force().empty());

  // Deep nesting must not exhaust the stack when the content is parsed.
  table.from_platform(now, {"lists", 4, std::string(500'000, '[') + std::string(500'000, ']')});
  CHECK(version_of(table) == 4);
}

TEST_CASE("A pull without an answer, or answered by a peer that lags, goes to another peer") {
  time_point now{std::chrono::hours(1)};
  document_table table({}, "dc-1", {"lists"}, 1);
  table.from_platform(now, {"lists", 1, text_of(1)});
  table.set_peers({{"vm-a", "dc-1", peer_a}, {"vm-b", "dc-1", peer_b}});
  auto pulls = sent<wire::document_pull>(table.heard(now, {"lists", 2}, peer_a));
  REQUIRE(pulls.size() == 1);
  CHECK(pulls[0].first == peer_a);
  table.heard(now, {"lists", 2}, peer_b);
  now += milliseconds(501);
  pulls = sent<wire::document_pull>(table.tick(now));
  REQUIRE(pulls.size() == 1);
  CHECK(pulls[0].first == peer_b);
  table.receive(now, message_from(peer_b, wire::document_confirmation{{"lists", 1}, 0}));
  now += milliseconds(101);
  pulls = sent<wire::document_pull>(table.tick(now));
  REQUIRE(pulls.size() == 1);
  CHECK(pulls[0].first == peer_a);
}

TEST_CASE(
    "Freshness spreads from the node that reads the platform, and hops never make it younger") {
  fleet nodes(50, 3, 41);
  nodes.net.longest_delay = milliseconds(400);
  nodes.read_platform(0, 1);
  nodes.run(seconds(60));
  const auto confirmed = nodes.now;
  nodes.at(0).confirmed(nodes.now, "lists");
  nodes.run(seconds(120));
  for (std::size_t it = 0; it < nodes.size(); ++it) {
    const auto value = nodes.at(it).in_force("lists");
    REQUIRE(value.has_value());
    CHECK(value->confirmed_at <= confirmed);
    CHECK(confirmed - value->confirmed_at < seconds(20));
  }
}

TEST_CASE("A confirmation that waited during a pause of this process does not count as young") {
  const time_point now{std::chrono::hours(1)};
  document_table table({}, "dc-1", {"lists"}, 1);
  table.from_platform(now, {"lists", 1, text_of(1)});
  table.tick(now);
  const auto old = message_from(peer_a, wire::document_confirmation{{"lists", 1}, 0});
  table.receive(now + seconds(30), old);
  table.tick(now + seconds(30));
  table.receive(now + seconds(30), old);
  CHECK(table.in_force("lists")->confirmed_at == now);
  table.tick(now + milliseconds(30'900));
  table.tick(now + milliseconds(31'100));
  table.receive(now + milliseconds(31'100), old);
  CHECK(table.in_force("lists")->confirmed_at > now);
}

TEST_CASE("A lagging read neither lowers a version nor confirms it") {
  const time_point now{std::chrono::hours(1)};
  document_table table({}, "dc-1", {"lists"}, 1);
  table.from_platform(now, {"lists", 5, text_of(5)});
  table.from_platform(now, {"lists", 4, text_of(4)});
  CHECK(version_of(table) == 5);
  table.heard(now, {"lists", 6}, peer_a);
  table.from_platform(now + seconds(9), {"lists", 5, text_of(5)});
  table.confirmed(now + seconds(9), "lists");
  CHECK(table.in_force("lists")->confirmed_at == now);
}

TEST_CASE("Nodes report their versions to the coordinator") {
  fleet nodes(30, 3, 43);
  nodes.read_platform(1, 1);
  nodes.run(seconds(1));
  nodes.read_platform(1, 2);
  nodes.run(seconds(3));
  const auto reported = nodes.at(0).reported_versions("lists");
  for (std::size_t it = 3; it < 30; it += 3) {
    REQUIRE(reported.contains("vm-" + std::to_string(it)));
    CHECK(reported.at("vm-" + std::to_string(it)) == 2);
  }
}

TEST_CASE("Document traffic per node with one change in 30 s leaves the budget to others") {
  for (const std::size_t size : {12U, 137U, 820U}) {
    fleet nodes(size, size == 820 ? 6 : 3, 47);
    nodes.accounts = 100;
    nodes.read_platform(0, 1, "keys");
    nodes.read_platform(0, 1);
    nodes.run(seconds(3));
    REQUIRE(nodes.all_have(1));
    nodes.net.take_traffic();
    nodes.read_platform(0, 2);
    nodes.run(seconds(30));
    CHECK(nodes.all_have(2));
    std::uint64_t sent_bytes = 0;
    std::uint64_t highest = 0;
    for (const auto& [address, count] : nodes.net.take_traffic()) {
      sent_bytes += count.sent_bytes;
      highest = std::max(highest, count.sent_bytes + count.received_bytes);
    }
    const auto mean = 2 * sent_bytes / size / 30;
    CHECK(mean < 2'000);
    MESSAGE(size, " nodes: ", mean, " B/s sent and received per node on average, ", highest / 30,
            " B/s at the busiest, document of ", text_of(1, 100).size(), " B");
  }
}

} // namespace
} // namespace damaskledge::documents
