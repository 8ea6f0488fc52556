#include <algorithm>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "bench/meter.h"
#include "bench/population.h"
#include "shares/shares.h"
#include "wire/wire.h"

namespace damaskledge::bench {

namespace {

constexpr time_point clock_start{seconds(100'000)};
/// Calls of each node, as at the design size.
constexpr double calls_per_second = 350;
constexpr int tick_steps = 10;

struct token_costs {
  double buckets_tick_us = 0;
  double buckets_handling_us = 0;
  double allocator_us_per_second = 0;
  double take_us = 0;
  double coordinator_messages = 0;
  double coordinator_bytes = 0;
  double node_messages = 0;
  double node_bytes = 0;
  double memory_buckets = 0;
  double memory_allocator = 0;
  double waiting_fraction = 0;
  double refused_fraction = 0;
};

/// Buckets of the nodes of one data centre and its allocator, in steps of a millisecond, which is
/// also the time of a message. Demand is spread evenly over nodes and accounts and uses 80% of
/// the rate.
class token_world {
 public:
  token_world(std::size_t holders, std::size_t accounts, std::uint64_t seed)
      : random_(seed), allocator_({}, "dc1") {
    const double rate =
        static_cast<double>(holders) * calls_per_second * 1.25 / static_cast<double>(accounts);
    std::map<std::string, shares::limit> limits;
    for (std::size_t it = 0; it < accounts; ++it) {
      names_.push_back(account_name(it));
      limits[names_.back()] = {rate, std::max(rate / 2, 1.0)};
    }
    double before = allocated_bytes();
    allocator_.set_limits(clock_start, limits);
    allocator_.start_term(clock_start, {1, 0}, true);
    costs_.memory_allocator = allocated_bytes() - before;
    const endpoint coordinator{"10.1.0.1", peer_port};
    before = allocated_bytes();
    for (std::size_t it = 0; it < holders; ++it) {
      buckets_.emplace_back(shares::settings{}, random_());
      buckets_.back().set_accounts(limits);
      buckets_.back().set_coordinator(clock_start, coordinator, {1, 0});
    }
    costs_.memory_buckets = (allocated_bytes() - before) / static_cast<double>(holders);
  }

  token_costs run(seconds settling, seconds measured) {
    const auto step_count = [](seconds it) { return static_cast<int>(it.count() * 1'000); };
    for (int it = 0; it < step_count(settling); ++it) {
      step(it);
    }
    counts_ = {};
    for (int it = 0; it < step_count(measured); ++it) {
      step(step_count(settling) + it);
    }
    const auto length = static_cast<double>(measured.count());
    const auto holders = static_cast<double>(buckets_.size());
    costs_.buckets_tick_us = 1e6 * counts_.tick / (length * 100 * holders);
    costs_.allocator_us_per_second = 1e6 * counts_.allocator / length;
    costs_.take_us = 1e6 * counts_.take / static_cast<double>(counts_.calls);
    costs_.buckets_handling_us = 1e6 * counts_.grants / (length * holders);
    costs_.coordinator_messages = static_cast<double>(counts_.messages) / length;
    costs_.coordinator_bytes = static_cast<double>(counts_.bytes) / length;
    costs_.node_messages = costs_.coordinator_messages / holders;
    costs_.node_bytes = costs_.coordinator_bytes / holders;
    costs_.waiting_fraction =
        static_cast<double>(counts_.not_taken) / static_cast<double>(counts_.calls);
    costs_.refused_fraction =
        static_cast<double>(counts_.refused) / static_cast<double>(counts_.calls);
    return costs_;
  }

 private:
  struct in_transit {
    std::size_t node = 0;
    bool to_allocator = false;
    wire::message body;
  };
  struct totals {
    double tick = 0;
    double allocator = 0;
    double take = 0;
    double grants = 0;
    std::uint64_t calls = 0;
    std::uint64_t not_taken = 0;
    std::uint64_t refused = 0;
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
  };

  static endpoint address_of(std::size_t node) {
    return {"10.1.0.2", static_cast<std::uint16_t>(10'000 + node)};
  }
  static std::string name_of(std::size_t node) { return "dc1-vm" + std::to_string(100 + node); }

  void send(std::size_t node, bool to_allocator, std::vector<wire::outgoing>&& messages) {
    for (auto& it : messages) {
      const std::size_t which = to_allocator ? node : it.to.port - std::size_t{10'000};
      ++counts_.messages;
      counts_.bytes += wire::frame_bytes(name_of(which), address_of(which), it.body);
      next_.push_back({which, to_allocator, std::move(it.body)});
    }
  }

  /// Calls that wait take the tokens of a grant. Those that find none are refused.
  void serve_waiting(std::size_t node, time_point now, const std::string& account) {
    const auto found = waiting_.find({node, account});
    if (found == waiting_.end()) {
      return;
    }
    for (; found->second > 0 && buckets_[node].held(now, account) > 0; --found->second) {
      buckets_[node].take(now, account);
    }
    counts_.refused += found->second;
    waiting_.erase(found);
  }

  void step(int number) {
    const time_point now = clock_start + milliseconds(number);
    std::vector<in_transit> arrived;
    arrived.swap(next_);
    for (in_transit& it : arrived) {
      const wire::incoming message{name_of(it.node), address_of(it.node), std::move(it.body)};
      const double before = processor_seconds();
      if (it.to_allocator) {
        auto out = allocator_.receive(now, message);
        counts_.allocator += processor_seconds() - before;
        send(0, false, std::move(out));
      } else {
        buckets_[it.node].receive(now, message);
        serve_waiting(it.node, now, std::get<wire::token_grant>(message.body).account);
        counts_.grants += processor_seconds() - before;
      }
    }
    for (std::size_t it = 0; it < buckets_.size(); ++it) {
      demand_ += calls_per_second / 1'000;
      const double before = processor_seconds();
      bool pending = false;
      const auto due_now = static_cast<int>(demand_);
      demand_ -= due_now;
      for (int n = 0; n < due_now; ++n) {
        const std::size_t account = random_() % names_.size();
        const auto result = buckets_[it].take(now, names_[account]);
        ++counts_.calls;
        counts_.not_taken += result == shares::take_result::taken ? 0U : 1U;
        if (result == shares::take_result::pending) {
          pending = true;
          ++waiting_[{it, names_[account]}];
        }
      }
      counts_.take += processor_seconds() - before;
      // The nodes tick at different times.
      if (pending || (static_cast<std::size_t>(number) + it) % tick_steps == 0) {
        const double tick_start = processor_seconds();
        auto out = buckets_[it].tick(now);
        if (!pending) {
          counts_.tick += processor_seconds() - tick_start;
        }
        send(it, true, std::move(out));
      }
    }
    if (number % tick_steps == 0) {
      const double before = processor_seconds();
      auto out = allocator_.tick(now);
      counts_.allocator += processor_seconds() - before;
      send(0, false, std::move(out));
    }
  }

  std::mt19937_64 random_;
  std::vector<std::string> names_;
  shares::allocator allocator_;
  std::vector<shares::node_buckets> buckets_;
  std::vector<in_transit> next_;
  /// Calls that wait for a grant, by node and account.
  std::map<std::pair<std::size_t, std::string>, std::uint64_t> waiting_;
  double demand_ = 0;
  totals counts_;
  token_costs costs_;
};

void add_tokens(const std::string& name, const std::string& x_unit, double x,
                const token_costs& costs, collector& into) {
  const auto add = [&](const std::string& what, const std::string& unit, double y) {
    into.add(name + "." + what, x_unit, unit, x, y);
  };
  add("coordinator_messages", "1/s, both ways", costs.coordinator_messages);
  add("coordinator_bytes", "B/s, both ways", costs.coordinator_bytes);
  add("node_messages", "1/s, both ways", costs.node_messages);
  add("node_bytes", "B/s, both ways", costs.node_bytes);
  add("allocator", "us/s", costs.allocator_us_per_second);
  add("buckets_tick", "us", costs.buckets_tick_us);
  add("buckets_grants", "us/s", costs.buckets_handling_us);
  add("not_taken_at_once", "fraction of calls", costs.waiting_fraction);
  add("refused", "fraction of calls", costs.refused_fraction);
}

} // namespace

void measure_tokens(const options& wanted, collector& into) {
  constexpr seconds settling{2};
  const seconds length{wanted.quick ? 2 : 4};
  const std::vector<std::size_t> holders = wanted.quick
                                               ? std::vector<std::size_t>{4, 8, 16}
                                               : std::vector<std::size_t>{12, 50, 137, 274};
  for (const std::size_t n : holders) {
    token_world world(n, 8, wanted.seed);
    add_tokens("tokens_by_holders", "holders", static_cast<double>(n), world.run(settling, length),
               into);
  }
  const std::vector<std::size_t> accounts = wanted.quick
                                                ? std::vector<std::size_t>{8, 100, 500}
                                                : std::vector<std::size_t>{8, 100, 1'000, 5'000};
  constexpr std::size_t account_holders = 12;
  for (const std::size_t n : accounts) {
    token_world world(account_holders, n, wanted.seed);
    const token_costs costs = world.run(settling, length);
    const auto x = static_cast<double>(n);
    add_tokens("tokens_by_accounts", "accounts", x, costs, into);
    into.add("buckets.take", "accounts", "us", x, costs.take_us);
    into.add("memory.buckets", "accounts", "B", x, costs.memory_buckets);
    into.add("memory.allocator", "accounts", "B", x, costs.memory_allocator);
  }
}

} // namespace damaskledge::bench
