#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "shares/shares.h"

namespace damaskledge::shares {

/// Exact token bucket over the merged takes of all nodes.
class bucket_oracle {
 public:
  explicit bucket_oracle(limit value) : limit_(value), level_(value.burst) {}

  void change(double at, limit value) {
    refill(at);
    limit_ = value;
    level_ = std::min(level_, value.burst);
  }
  void take(double at) {
    refill(at);
    level_ -= 1;
    lowest_ = std::min(lowest_, level_);
  }
  /// Below zero when more was taken than burst + rate * T in some interval T.
  double lowest() const { return lowest_; }

 private:
  limit limit_;
  double level_;
  double at_ = 0;
  double lowest_ = 1e18;

  void refill(double at) {
    level_ = std::min(limit_.burst, level_ + (at - at_) * limit_.rate);
    at_ = at;
  }
};

struct fault_rates {
  /// Probabilities of each message.
  double lost = 0;
  double repeated = 0;
  double delayed = 0;
  /// Mean number per second over the fleet.
  double node_restarts = 0;
  double takeovers = 0;
  double pauses = 0;
  double clock_stops = 0;
  /// Largest relative error of a clock.
  double drift = 0;
};

struct fleet_plan {
  std::uint64_t seed = 1;
  limit whole{200, 100};
  std::uint32_t data_centres = 3;
  std::uint32_t nodes_per_data_centre = 4;
  fault_rates faults;
  settings options;
};

/// Allocators and nodes with a clock each, over a network that loses, repeats, delays and
/// reorders messages. Times are true seconds.
class fleet {
 public:
  static constexpr auto account = "archive";
  static constexpr double tick_period = 0.010;
  static constexpr double token_wait = 0.040;

  explicit fleet(fleet_plan plan)
      : plan_(plan), random_(plan.seed), limit_(plan.whole), oracle_(stretched(plan.whole)) {
    for (std::uint32_t dc = 0; dc < plan_.data_centres; ++dc) {
      coordinators_.emplace_back();
      coordinators_.back().place = make_place();
      start_coordinator(dc, true);
      for (std::uint32_t it = 0; it < plan_.nodes_per_data_centre; ++it) {
        nodes_.emplace_back();
        nodes_.back().data_centre = dc;
        nodes_.back().place = make_place();
        start_node(nodes_.size() - 1);
      }
    }
    for (std::size_t it = 0; it < places_.size(); ++it) {
      at(uniform(0, tick_period), [this, it] { tick(it); });
    }
    if (plan_.faults.node_restarts + plan_.faults.takeovers + plan_.faults.pauses +
            plan_.faults.clock_stops >
        0) {
      at(0.1, [this] { fault(); });
    }
  }

  /// One attempt to run a call at a node.
  void attempt(double when, std::size_t node) {
    at(when, [this, node] { call(node); });
  }
  void change_limit(double when, limit value) {
    at(when, [this, value] {
      const double settles =
          std::chrono::duration<double>(plan_.options.grant_ttl + plan_.options.clock_margin)
              .count() +
          0.1;
      const limit both{std::max(limit_.rate, value.rate), std::max(limit_.burst, value.burst)};
      oracle_.change(now_, stretched(both));
      limit_ = value;
      at(now_ + settles, [this, value] {
        if (limit_ == value) {
          oracle_.change(now_, stretched(value));
        }
      });
      for (std::uint32_t dc = 0; dc < plan_.data_centres; ++dc) {
        coordinator& it = coordinators_[dc];
        it.allocates->set_limits(local(it.place), local_limits());
      }
      for (node_state& it : nodes_) {
        it.buckets->set_accounts({{account, limit_}});
      }
    });
  }
  void takeover_at(double when, std::uint32_t dc) {
    at(when, [this, dc] { takeover(dc); });
  }
  void cut_data_centre(std::uint32_t dc) { cut_ = dc; }
  void run_until(double end) {
    while (!events_.empty() && events_.top().when <= end) {
      // The function may add events, which moves the queue's elements.
      const event next = events_.top();
      events_.pop();
      now_ = next.when;
      next.run();
    }
    now_ = end;
  }

  std::size_t nodes() const { return nodes_.size(); }
  double lowest() const { return oracle_.lowest(); }
  std::uint64_t taken = 0;
  std::uint64_t refused = 0;
  std::uint64_t waited = 0;
  std::uint64_t messages = 0;
  std::mt19937_64& random() { return random_; }
  double uniform(double low, double high) {
    return std::uniform_real_distribution<double>(low, high)(random_);
  }

 private:
  struct event {
    double when = 0;
    std::uint64_t order = 0;
    std::function<void()> run;
    bool operator>(const event& other) const {
      return std::pair(when, order) > std::pair(other.when, other.order);
    }
  };
  /// A process: where messages arrive and which clock it reads.
  struct place {
    double offset = 0;
    double drift = 0;
    double stopped = 0;
    double paused_until = 0;
  };
  struct coordinator {
    std::size_t place = 0;
    std::unique_ptr<allocator> allocates;
    term held;
    time_point started;
    std::uint16_t port = 0;
  };
  struct node_state {
    std::size_t place = 0;
    std::uint32_t data_centre = 0;
    std::uint32_t process = 0;
    std::unique_ptr<node_buckets> buckets;
    std::deque<double> waiting;
  };

  fleet_plan plan_;
  std::mt19937_64 random_;
  limit limit_;
  bucket_oracle oracle_;
  double now_ = 0;
  std::uint64_t order_ = 0;
  std::uint16_t next_port_ = 10'000;
  std::uint32_t cut_ = UINT32_MAX;
  std::priority_queue<event, std::vector<event>, std::greater<>> events_;
  std::vector<place> places_;
  std::vector<coordinator> coordinators_;
  std::vector<node_state> nodes_;

  bool chance(double probability) { return uniform(0, 1) < probability; }
  limit stretched(limit value) const {
    return {value.rate * (1 + plan_.faults.drift), value.burst};
  }
  std::map<std::string, limit> local_limits() const {
    return {{account, {limit_.rate / plan_.data_centres, limit_.burst / plan_.data_centres}}};
  }
  void at(double when, std::function<void()> run) {
    events_.push({std::max(when, now_), ++order_, std::move(run)});
  }
  /// Runs in a process: later when the process is paused.
  void at_place(double when, std::size_t where, std::function<void()> run) {
    at(when, [this, where, run = std::move(run)] {
      if (places_[where].paused_until > now_) {
        at_place(places_[where].paused_until, where, run);
      } else {
        run();
      }
    });
  }
  std::size_t make_place() {
    places_.push_back({uniform(1'000, 2'000), uniform(-plan_.faults.drift, plan_.faults.drift)});
    return places_.size() - 1;
  }
  time_point local(std::size_t where) const {
    const place& it = places_[where];
    const double value = it.offset + (now_ - it.stopped) * (1 + it.drift);
    return time_point{std::chrono::duration_cast<duration>(std::chrono::duration<double>(value))};
  }

  void start_coordinator(std::uint32_t dc, bool previous_settled) {
    coordinator& it = coordinators_[dc];
    it.allocates = std::make_unique<allocator>(plan_.options, "dc" + std::to_string(dc));
    ++it.held.epoch;
    it.started = local(it.place);
    it.port = ++next_port_;
    it.allocates->set_limits(it.started, local_limits());
    it.allocates->start_term(it.started, it.held, previous_settled);
    announce_donors();
  }
  void announce_donors() {
    for (std::uint32_t dc = 0; dc < coordinators_.size(); ++dc) {
      std::vector<donor> others;
      for (std::uint32_t other = 0; other < coordinators_.size(); ++other) {
        if (other != dc) {
          others.push_back({"dc" + std::to_string(other), {"", coordinators_[other].port}});
        }
      }
      coordinators_[dc].allocates->set_donors(others);
    }
  }
  void tell_coordinator(std::size_t index, term held, std::uint16_t port) {
    nodes_[index].buckets->set_coordinator(local(nodes_[index].place), {"", port}, held);
  }
  void start_node(std::size_t index) {
    node_state& it = nodes_[index];
    const std::uint64_t process = random_();
    it.buckets = std::make_unique<node_buckets>(plan_.options, process);
    it.buckets->set_accounts({{account, limit_}});
    ++it.process;
    const coordinator& leader = coordinators_[it.data_centre];
    tell_coordinator(index, leader.held, leader.port);
  }
  void takeover(std::uint32_t dc) {
    coordinator& it = coordinators_[dc];
    const bool settled =
        local(it.place) - it.started >= plan_.options.grant_ttl + plan_.options.clock_margin;
    const bool new_process = chance(0.5);
    if (new_process) {
      places_[it.place].offset = uniform(1'000, 2'000);
      places_[it.place].paused_until = 0;
    }
    start_coordinator(dc, settled);
    for (std::size_t index = 0; index < nodes_.size(); ++index) {
      if (nodes_[index].data_centre == dc) {
        at_place(
            now_ + uniform(0, 0.3), nodes_[index].place,
            [this, index, held = it.held, port = it.port] { tell_coordinator(index, held, port); });
      }
    }
  }
  void fault() {
    const fault_rates& rates = plan_.faults;
    const double period = 0.020;
    if (chance(rates.node_restarts * period)) {
      const std::size_t index = random_() % nodes_.size();
      refused += nodes_[index].waiting.size();
      nodes_[index].waiting.clear();
      start_node(index);
    }
    if (chance(rates.takeovers * period)) {
      const auto dc = static_cast<std::uint32_t>(random_() % coordinators_.size());
      takeover(dc);
      if (chance(0.3)) {
        // The next takeover finds a term that has not settled.
        takeover_at(now_ + uniform(0, 0.5), dc);
      }
    }
    if (chance(rates.pauses * period)) {
      place& it = places_[random_() % places_.size()];
      it.paused_until = std::max(it.paused_until, now_ + uniform(0.01, 1.5));
    }
    if (chance(rates.clock_stops * period)) {
      // Margin is promised for stops within clock_margin in the life of a grant; one place is
      // stopped at a time, for less than that, and not again within a second.
      const std::size_t where = random_() % places_.size();
      const double length = uniform(0.01, 0.09);
      if (places_[where].paused_until <= now_ && now_ >= next_stop_) {
        next_stop_ = now_ + 1;
        places_[where].paused_until = now_ + length;
        places_[where].stopped += length;
      }
    }
    at(now_ + period, [this] { fault(); });
  }
  double next_stop_ = 0;

  void tick(std::size_t where) {
    for (std::uint32_t dc = 0; dc < coordinators_.size(); ++dc) {
      if (coordinators_[dc].place == where) {
        post(dc, coordinators_[dc].port, "", coordinators_[dc].allocates->tick(local(where)));
      }
    }
    for (std::size_t index = 0; index < nodes_.size(); ++index) {
      if (nodes_[index].place == where) {
        poll(index);
      }
    }
    at_place(now_ + tick_period, where, [this, where] { tick(where); });
  }
  void poll(std::size_t index) {
    node_state& it = nodes_[index];
    post(it.data_centre, node_port(index), name_of(index), it.buckets->tick(local(it.place)));
  }
  static std::uint16_t node_port(std::size_t index) {
    return static_cast<std::uint16_t>(index + 1);
  }
  static std::string name_of(std::size_t index) { return "node" + std::to_string(index); }

  void post(std::uint32_t dc, std::uint16_t from, const std::string& sender,
            std::vector<wire::outgoing> batch) {
    for (wire::outgoing& it : batch) {
      ++messages;
      const wire::incoming in{sender, {"", from}, std::move(it.body)};
      const int copies = chance(plan_.faults.lost) ? 0 : chance(plan_.faults.repeated) ? 2 : 1;
      for (int copy = 0; copy < copies; ++copy) {
        const double delay =
            chance(plan_.faults.delayed) ? uniform(0.005, 1.2) : uniform(0.0002, 0.002);
        at(now_ + delay, [this, dc, to = it.to.port, in] { deliver(dc, to, in); });
      }
    }
  }
  void deliver(std::uint32_t from_dc, std::uint16_t to, const wire::incoming& in) {
    if (to <= nodes_.size()) {
      const std::size_t index = to - 1;
      at_place(now_, nodes_[index].place, [this, index, in] {
        nodes_[index].buckets->receive(local(nodes_[index].place), in);
        wake(index);
      });
      return;
    }
    for (std::uint32_t dc = 0; dc < coordinators_.size(); ++dc) {
      if (coordinators_[dc].port == to && (dc == from_dc || (dc != cut_ && from_dc != cut_))) {
        at_place(now_, coordinators_[dc].place, [this, dc, to, in] {
          if (coordinators_[dc].port == to) {
            post(dc, to, "",
                 coordinators_[dc].allocates->receive(local(coordinators_[dc].place), in));
          }
        });
      }
    }
  }
  bool take(std::size_t index, bool last = false) {
    node_state& it = nodes_[index];
    const take_result result = it.buckets->take(local(it.place), account, last);
    if (result == take_result::taken) {
      oracle_.take(now_);
      ++taken;
    } else if (result == take_result::refused) {
      ++refused;
    }
    return result != take_result::pending;
  }
  void call(std::size_t index) {
    if (places_[nodes_[index].place].paused_until > now_) {
      return;
    }
    if (take(index)) {
      return;
    }
    ++waited;
    nodes_[index].waiting.push_back(now_ + token_wait);
    poll(index);
    at_place(now_ + token_wait, nodes_[index].place,
             [this, index, process = nodes_[index].process] {
               node_state& it = nodes_[index];
               while (it.process == process && !it.waiting.empty() &&
                      it.waiting.front() <= now_ + 1e-9) {
                 it.waiting.pop_front();
                 take(index, true);
               }
             });
  }
  void wake(std::size_t index) {
    std::deque<double> waiting;
    waiting.swap(nodes_[index].waiting);
    for (const double deadline : waiting) {
      if (!take(index)) {
        nodes_[index].waiting.push_back(deadline);
      }
    }
    if (!nodes_[index].waiting.empty()) {
      poll(index);
    }
  }
};

} // namespace damaskledge::shares
