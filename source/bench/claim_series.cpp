#include <algorithm>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "bench/meter.h"
#include "bench/population.h"
#include "check/simulated_platform.h"
#include "claims/claims.h"
#include "claims/shard_codec.h"

namespace damaskledge::bench {

namespace {

constexpr time_point clock_start{seconds(100'000)};
constexpr milliseconds platform_delay{4};
constexpr int tick_steps = 10;
/// Time from the grant to the finish of an operation.
constexpr int run_steps = 20;
/// Shards whose usual writer is one of 6 data centres, rounded up: 16 / 6.
constexpr std::uint32_t shards_of_writer = 3;

struct claim_costs {
  double processor_us_per_claim = 0;
  double writes_per_second = 0;
  double reads_per_second = 0;
  double written_bytes_per_claim = 0;
  double largest_head = 0;
  double largest_segment = 0;
  double granted_fraction = 0;
  double mean_wait_ms = 0;
};

/// One claim writer with its platform, in steps of a millisecond.
class claim_world {
 public:
  claim_world(const claims::settings& wanted, std::uint64_t seed)
      : shards_(wanted.shards), random_(seed), writer_(wanted, seed) {}

  /// Fills the heads to half of their limit, which is their mean size, and waits for the finishes.
  void fill_heads(std::uint32_t head_limit) {
    const double rows = 0.5 * head_limit / claims::row_characters * shards_;
    run(std::min(rows, 3'000.0), seconds{std::max(1, static_cast<int>(rows / 3'000.0))});
    run(0, seconds{2});
  }

  claim_costs run(double claims_per_second, seconds length) {
    processor_ = 0;
    requested_in_run_ = granted_ = waited_steps_ = writes_ = reads_ = written_bytes_ = 0;
    largest_head_ = largest_segment_ = 0;
    const auto steps = static_cast<int>(length.count() * 1'000);
    const int first_step = step_;
    double demand = 0;
    for (int it = first_step; it < first_step + steps; ++it) {
      step_ = it;
      demand += claims_per_second / 1'000;
      const auto due_now = static_cast<int>(demand);
      demand -= due_now;
      for (int n = 0; n < due_now; ++n) {
        request();
      }
      const auto [first, last] = std::pair(due_.begin(), due_.upper_bound(it));
      std::vector<std::function<void()>> actions;
      for (auto due = first; due != last; ++due) {
        actions.push_back(std::move(due->second));
      }
      due_.erase(first, last);
      for (const auto& action : actions) {
        action();
      }
      if (it % tick_steps == 0) {
        with_writer([&] { return writer_.tick(now(), wall()); });
      }
    }
    const auto claims = static_cast<double>(std::max<std::uint64_t>(requested_in_run_, 1));
    const auto granted = static_cast<double>(std::max<std::uint64_t>(granted_, 1));
    const auto seconds_run = static_cast<double>(length.count());
    ++step_;
    return {1e6 * processor_ / claims,
            static_cast<double>(writes_) / seconds_run,
            static_cast<double>(reads_) / seconds_run,
            static_cast<double>(written_bytes_) / claims,
            static_cast<double>(largest_head_),
            static_cast<double>(largest_segment_),
            static_cast<double>(granted_) / claims,
            static_cast<double>(waited_steps_) / granted};
  }

  /// @return bytes that the writer holds; it is empty afterwards.
  double release_memory() {
    const double before = allocated_bytes();
    writer_.reset();
    return before - allocated_bytes();
  }

 private:
  time_point now() const { return clock_start + milliseconds(step_); }
  unix_milliseconds wall() const { return wall_start + step_; }

  void request() {
    id128 operation{random_(), random_()};
    ++requested_;
    ++requested_in_run_;
    const std::uint64_t sequence = requested_;
    asked_[sequence] = step_;
    deliver(wire::claim_request{sequence, operation, random_(), {1, sequence}});
  }

  void deliver(wire::message body) {
    with_writer([&] {
      return writer_.receive(now(), wall(),
                             {"dc1-vm001", {"10.1.0.2", peer_port}, std::move(body)});
    });
  }

  template <class Function>
  void with_writer(Function function) {
    const double before = processor_seconds();
    auto effects = function();
    processor_ += processor_seconds() - before;
    for (const auto& it : effects.messages) {
      if (const auto* reply = std::get_if<wire::claim_reply>(&it.body)) {
        on_reply(*reply);
      }
    }
    for (const auto& it : effects.calls) {
      call(it);
    }
  }

  void on_reply(const wire::claim_reply& reply) {
    waited_steps_ += static_cast<std::uint64_t>(step_ - asked_[reply.sequence]);
    asked_.erase(reply.sequence);
    if (reply.decision != wire::claim_decision::granted) {
      return;
    }
    ++granted_;
    wire::claim_finish finish;
    finish.sequence = reply.sequence;
    finish.operation = reply.operation;
    finish.request = {1, reply.sequence};
    finish.status = 200;
    due_.emplace(step_ + run_steps, [this, finish] { deliver(finish); });
  }

  void call(const platform::requested_call& wanted) {
    if (const auto* write = std::get_if<platform::write>(&wanted.what)) {
      ++writes_;
      written_bytes_ += write->content.size();
      auto& largest = write->name.ends_with("/head") ? largest_head_ : largest_segment_;
      largest = std::max(largest, write->content.size());
    } else {
      ++reads_;
    }
    due_.emplace(step_ + static_cast<int>(platform_delay.count()), [this, wanted] {
      const auto value = platform_.execute(wanted.what, random_);
      with_writer([&] {
        return writer_.on_answer(now(), wall(), wanted.tag,
                                 value ? *value : platform::answer(platform::unchanged{}));
      });
    });
  }

  std::uint32_t shards_;
  std::mt19937_64 random_;
  claims::claim_writer writer_;
  check::simulated_platform platform_;
  std::multimap<int, std::function<void()>> due_;
  std::map<std::uint64_t, int> asked_;
  int step_ = 0;
  double processor_ = 0;
  std::uint64_t requested_ = 0;
  std::uint64_t requested_in_run_ = 0;
  std::uint64_t granted_ = 0;
  std::uint64_t waited_steps_ = 0;
  std::uint64_t writes_ = 0;
  std::uint64_t reads_ = 0;
  std::uint64_t written_bytes_ = 0;
  std::size_t largest_head_ = 0;
  std::size_t largest_segment_ = 0;
};

void add_claims(const std::string& name, std::uint32_t shards, milliseconds interval,
                const std::vector<double>& rates, seconds length, std::uint64_t seed,
                collector& into) {
  for (const double rate : rates) {
    claims::settings wanted;
    wanted.shards = shards;
    wanted.batch_interval = interval;
    claim_world world(wanted, seed);
    world.fill_heads(wanted.head_limit);
    const claim_costs costs = world.run(rate, length);
    const auto add = [&](const std::string& what, const std::string& unit, double y) {
      into.add(name + "." + what, "claims/s", unit, rate, y);
    };
    add("processor", "us/s", costs.processor_us_per_claim * rate);
    add("platform_writes", "1/s", costs.writes_per_second);
    add("platform_reads", "1/s", costs.reads_per_second);
    add("platform_bytes", "B/s", costs.written_bytes_per_claim * rate);
    add("platform_bytes_per_claim", "B", costs.written_bytes_per_claim);
    add("largest_head", "B", costs.largest_head);
    add("largest_segment", "B", costs.largest_segment);
    add("granted", "fraction", costs.granted_fraction);
    add("wait", "ms", costs.mean_wait_ms);
  }
}

void add_claim_memory(const std::vector<int>& counts, std::uint64_t seed, collector& into) {
  for (const int n : counts) {
    constexpr int per_second = 1'000;
    claims::settings wanted;
    wanted.batch_interval = milliseconds(50);
    claim_world world(wanted, seed);
    world.run(per_second, seconds{n / per_second});
    world.run(0, seconds{1});
    into.add("memory.claims", "claims", "B", n, world.release_memory());
  }
}

} // namespace

void measure_claims(const options& wanted, collector& into) {
  const std::vector<double> rates = wanted.quick ? std::vector<double>{10, 100, 300}
                                                 : std::vector<double>{10, 100, 300, 1'000, 3'000};
  const std::vector<double> shares =
      wanted.quick ? std::vector<double>{10, 50, 100} : std::vector<double>{10, 50, 150, 500};
  const seconds length{wanted.quick ? 3 : 8};
  // One writer for the whole fleet, at two intervals, and the share of one of 6 writers.
  add_claims("claims_10ms", 16, milliseconds(10), rates, length, wanted.seed, into);
  add_claims("claims_50ms", 16, milliseconds(50), rates, length, wanted.seed, into);
  add_claims("claims_one_of_six", shards_of_writer, milliseconds(50), shares, length, wanted.seed,
             into);
  add_claim_memory(wanted.quick ? std::vector<int>{1'000, 2'000, 4'000}
                                : std::vector<int>{1'000, 5'000, 10'000, 30'000},
                   wanted.seed, into);
}

} // namespace damaskledge::bench
