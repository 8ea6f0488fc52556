/// @file
/// Control cores of a whole fleet over an in-memory network and platform, with the costs of a few
/// observed nodes. Internal to the bench library.
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "bench/population.h"
#include "check/simulated_platform.h"
#include "core/core.h"

namespace damaskledge::bench {

struct fleet_options {
  std::size_t members = 12;
  std::size_t accounts = 8;
  std::size_t keys = 100;
  std::uint64_t seed = 1;
  /// Observed nodes: the first ones of the first data centre. They tick every 10 ms as a node does;
  /// the others tick every 100 ms, which leaves their probes, answers and rumours as they are.
  std::size_t observed = 5;
};

struct traffic {
  std::uint64_t messages = 0;
  std::uint64_t bytes = 0;
};

/// What one observed node has cost since the last reset.
struct node_costs {
  std::uint64_t ticks = 0;
  /// Ticks whose member table was not in the processor's caches: the other nodes' ticks push it
  /// out.
  std::uint64_t cold_ticks = 0;
  double cold_tick_seconds = 0;
  /// Ticks whose member table had just been read.
  std::uint64_t warm_ticks = 0;
  double warm_tick_seconds = 0;
  /// Messages, platform answers and document calls.
  double handling_seconds = 0;
  traffic sent;
  traffic received;
  std::uint64_t reads = 0;
  std::uint64_t writes = 0;
  std::uint64_t watches = 0;
  /// Sum of the watches waiting at each tick.
  std::uint64_t waiting = 0;
};

/// Nodes without faults: messages arrive after 0.25 ms in a data centre and 1.5 ms between them,
/// platform calls take 4 ms.
class fleet {
 public:
  explicit fleet(const fleet_options& wanted);

  void run_for(duration length);
  void reset_costs();
  const node_costs& costs(std::size_t observed) const { return nodes_[observed_[observed]].costs; }
  std::size_t observed_count() const { return observed_.size(); }
  bool coordinates(std::size_t observed) const;
  std::size_t alive(std::size_t observed) const;

  /// Writes a platform object as an operator does and wakes the watches.
  void write_object(const std::string& name, std::string content);
  /// @return nodes whose version of a document is at least `version`.
  std::size_t nodes_with(const std::string& document, std::uint64_t version) const;

  /// Traffic of all nodes by kind of message, in the order of `wire::message`, while it is counted.
  using by_kind = std::array<traffic, std::variant_size_v<wire::message>>;
  void count_kinds(bool value);
  const by_kind& kinds() const { return kinds_; }
  duration now() const { return now_; }

 private:
  struct node {
    config::node_settings settings;
    std::unique_ptr<core::control_core> core;
    bool observed = false;
    std::set<std::string> following;
    std::size_t waiting = 0;
    node_costs costs;
  };
  struct event {
    duration at{0};
    std::uint64_t order = 0;
    std::function<void()> action;

    bool operator>(const event& other) const {
      return at != other.at ? at > other.at : order > other.order;
    }
  };
  struct waiting_watch {
    std::size_t node = 0;
    std::string document;
    platform::watch what;
    duration ends{0};
  };

  time_point clock() const { return time_point(seconds(100'000)) + now_; }
  unix_milliseconds wall() const {
    return wall_start + std::chrono::duration_cast<milliseconds>(now_).count();
  }
  void after(duration delay, std::function<void()> action);
  void join_all();
  void tick(std::size_t which);
  void announce(std::size_t which);
  void carry_out(std::size_t which, core::effects&& wanted);
  void send(std::size_t from, wire::outgoing&& what);
  void deliver(std::size_t to, const wire::incoming& what, std::size_t bytes);
  void call(std::size_t which, const platform::call& what, const std::string& document,
            std::function<void(const platform::answer&)> done);
  void follow(std::size_t which);
  void on_document(std::size_t which, const std::string& document, const platform::answer& value);
  void wake_watches();
  /// Runs `function` and adds its processor time to `total` for an observed node.
  template <class Function>
  auto measured(std::size_t which, double& total, Function function);

  fleet_options wanted_;
  std::mt19937_64 random_;
  duration now_{0};
  std::uint64_t order_ = 0;
  std::priority_queue<event, std::vector<event>, std::greater<>> events_;
  std::vector<node> nodes_;
  std::vector<std::size_t> observed_;
  std::unordered_map<std::string, std::size_t> by_address_;
  check::simulated_platform platform_;
  std::vector<waiting_watch> watches_;
  bool counts_kinds_ = false;
  by_kind kinds_{};
};

} // namespace damaskledge::bench
