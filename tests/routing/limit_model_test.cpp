// A deterministic queueing model: several nodes call one target that runs as many requests as it
// has slots and queues the others in order of arrival. Guards against a limit that collapses, that
// overloads the target or that leaves slots idle.
#include <algorithm>
#include <cmath>
#include <deque>
#include <queue>
#include <random>

#include <doctest/doctest.h>

#include "routing/routing.h"

namespace {

using namespace damaskledge;
using namespace damaskledge::routing;

constexpr auto step = std::chrono::microseconds{500};

struct model_settings {
  std::size_t nodes = 12;
  std::uint32_t slots = 45;
  double service_ms = 20;
  /// Number of nodes that have demand.
  std::size_t active = 12;
  /// Requests the upstream queues before it refuses.
  std::size_t upstream_queue = 1'000;
};

class queueing_model {
 public:
  explicit queueing_model(model_settings options) : options_(options), random_(7) {
    for (std::size_t it = 0; it < options.nodes; ++it) {
      tables_.emplace_back(settings{}, "dc", it + 1);
    }
    announce(1);
  }

  void announce(std::uint64_t incarnation) {
    const std::vector<target_record> targets{
        {"t", "s", "dc", {"127.0.0.1", 1}, options_.slots, 380, false, incarnation}};
    for (auto& it : tables_) {
      it.set_targets(now_, targets, static_cast<std::uint32_t>(options_.nodes));
    }
  }

  /// Every active node always has a request to send.
  void run(milliseconds length) {
    const time_point end = now_ + length;
    completed_ = 0;
    peak_in_flight_ = 0;
    in_flight_sum_ = 0;
    std::size_t steps = 0;
    for (; now_ < end; now_ += step, ++steps) {
      while (!running_.empty() && running_.top().end <= now_) {
        const request it = running_.top();
        running_.pop();
        tables_[it.node].release(now_, "t", attempt_end::answered, now_ - it.sent);
        ++completed_;
      }
      for (std::size_t n = 0; n < options_.active; ++n) {
        const std::size_t node = (n + steps) % options_.active;
        while (tables_[node].acquire(now_, "s", {})) {
          if (waiting_.size() >= options_.upstream_queue) {
            tables_[node].release(now_ + step, "t", attempt_end::shed, step);
            ++shed_;
            break;
          }
          waiting_.push_back({node, now_, {}});
        }
      }
      while (running_.size() < options_.slots && !waiting_.empty()) {
        request it = waiting_.front();
        waiting_.pop_front();
        std::lognormal_distribution<double> spread(0, 0.5);
        const double ms = options_.service_ms / speed * spread(random_);
        it.end = now_ + std::chrono::microseconds(static_cast<std::int64_t>(ms * 1'000));
        running_.push(it);
      }
      peak_in_flight_ = std::max(peak_in_flight_, running_.size() + waiting_.size());
      in_flight_sum_ += static_cast<double>(running_.size() + waiting_.size());
      for (auto& it : tables_) {
        it.tick(now_);
      }
    }
    mean_in_flight_ = in_flight_sum_ / static_cast<double>(steps);
    rate_ = static_cast<double>(completed_) / std::chrono::duration<double>(length).count();
  }

  /// Requests per second when every slot is busy.
  double capacity() const {
    return options_.slots * speed * 1'000 / (options_.service_ms * std::exp(0.125));
  }
  double rate() const { return rate_; }
  double mean_in_flight() const { return mean_in_flight_; }
  std::size_t peak_in_flight() const { return peak_in_flight_; }
  std::size_t shed() const { return shed_; }
  double limit_sum() const {
    double sum = 0;
    for (const auto& it : tables_) {
      sum += it.snapshot(now_).front().limit;
    }
    return sum;
  }
  void set_active(std::size_t nodes) { options_.active = nodes; }
  void set_upstream_queue(std::size_t length) { options_.upstream_queue = length; }

  double speed = 1;

 private:
  struct request {
    std::size_t node = 0;
    time_point sent;
    time_point end;
    bool operator<(const request& other) const { return end > other.end; }
  };

  model_settings options_;
  std::mt19937_64 random_;
  time_point now_{seconds{1'000}};
  std::vector<target_table> tables_;
  std::deque<request> waiting_;
  std::priority_queue<request> running_;
  std::size_t completed_ = 0;
  std::size_t shed_ = 0;
  std::size_t peak_in_flight_ = 0;
  double in_flight_sum_ = 0;
  double mean_in_flight_ = 0;
  double rate_ = 0;
};

} // namespace

TEST_CASE("the limit reaches the number of slots within 20 round trips and stays there") {
  // Guards against a limit that never grows to the slots, or that collapses at steady load
  // because latency varies.
  queueing_model model({});
  model.run(milliseconds{400}); // 20 round trips
  model.run(milliseconds{200});
  MESSAGE("after 20 round trips: rate ", model.rate(), " of ", model.capacity(), ", in flight ",
          model.mean_in_flight());
  CHECK(model.rate() > 0.85 * model.capacity());
  for (int it = 0; it < 6; ++it) {
    model.run(seconds{10});
    MESSAGE("steady: rate ", model.rate(), " of ", model.capacity(), ", in flight ",
            model.mean_in_flight(), ", peak ", model.peak_in_flight());
    CHECK(model.rate() > 0.9 * model.capacity());
    CHECK(model.mean_in_flight() < 2 * 45);
  }
}

TEST_CASE("few nodes with all the demand use most of the target") {
  // Guards against a cap at the fair share, which leaves slots idle when few nodes have demand (at
  // a quarter of the nodes, three quarters of the slots).
  queueing_model model({.active = 4});
  model.run(seconds{2});
  model.run(seconds{10});
  MESSAGE("4 of 12 nodes: rate ", model.rate(), " of ", model.capacity(), ", in flight ",
          model.mean_in_flight());
  CHECK(model.rate() > 0.85 * model.capacity());
}

TEST_CASE("limits learned by few nodes do not overload the target when all nodes call") {
  // Guards against unused limits that stay high while demand moves from four nodes to all.
  queueing_model model({.active = 4});
  model.run(seconds{10});
  model.set_active(0);
  model.run(seconds{15});
  CHECK(model.limit_sum() < 1.7 * 45);
  model.set_active(12);
  model.run(seconds{1});
  MESSAGE("demand returns at all nodes: peak in flight ", model.peak_in_flight());
  CHECK(model.peak_in_flight() < 2.5 * 45);
}

TEST_CASE("the limit recovers after a slow-down to a quarter speed") {
  // Guards against a limit that falls with the speed and stays low when the speed returns.
  queueing_model model({});
  model.run(seconds{5});
  model.speed = 0.25;
  model.run(seconds{10});
  MESSAGE("quarter speed: rate ", model.rate(), " of ", model.capacity(), ", in flight ",
          model.mean_in_flight());
  CHECK(model.rate() > 0.7 * model.capacity());
  CHECK(model.mean_in_flight() < 2 * 45);
  model.speed = 1;
  model.run(seconds{1});
  model.run(seconds{5});
  MESSAGE("full speed again: rate ", model.rate(), " of ", model.capacity(), ", in flight ",
          model.mean_in_flight());
  CHECK(model.rate() > 0.9 * model.capacity());
}

TEST_CASE("a cold target is not overloaded") {
  // Guards against slow start beyond the announced slots before the first answers arrive, and
  // against a restarted target that keeps the limit learned before the restart.
  queueing_model model({});
  model.speed = 0.25;
  model.run(milliseconds{300});
  MESSAGE("cold: peak in flight ", model.peak_in_flight());
  CHECK(model.peak_in_flight() <= 1.5 * 45);
  model.speed = 1;
  model.run(seconds{10});
  model.announce(2);
  CHECK(model.limit_sum() <= 12 * 4);
}

TEST_CASE("refusals of the upstream keep the sum of the limits near its capacity") {
  // Guards against fast refusals that count as low latency and raise the limit. The upstream
  // queues only 5 requests beyond its slots and refuses the others.
  queueing_model model({.upstream_queue = 5});
  model.run(seconds{10});
  MESSAGE("short upstream queue: rate ", model.rate(), " of ", model.capacity(), ", refused ",
          model.shed());
  CHECK(model.rate() > 0.75 * model.capacity());
  CHECK(model.limit_sum() < 2.0 * 50);
}
