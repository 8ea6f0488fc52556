// Shares of an account: the bytes choose operations on the allocators of two data centres and the
// buckets of their nodes, with time steps, over a network that loses, repeats, delays and reorders
// messages. The tokens taken by all nodes never exceed burst + rate * time.
#include <algorithm>
#include <array>
#include <memory>

#include <fuzzer/FuzzedDataProvider.h>

#include "fuzz/fuzz.h"
#include "shares/shares.h"

using namespace damaskledge;

namespace {

constexpr auto account = "archive";
constexpr std::size_t data_centres = 2;
constexpr std::size_t nodes_per_data_centre = 2;
constexpr std::uint16_t first_coordinator_port = 100;

/// Exact token bucket.
class exact_bucket {
 public:
  explicit exact_bucket(shares::limit value) : limit_(value), level_(value.burst) {}

  void take(time_point now) {
    level_ = std::min(limit_.burst,
                      level_ + std::chrono::duration<double>(now - at_).count() * limit_.rate);
    at_ = now;
    level_ -= 1;
    // Absorbs the rounding of sums of doubles.
    fuzz::require(level_ > -1e-4, "tokens taken are at most burst + rate * time");
  }

 private:
  shares::limit limit_;
  double level_;
  time_point at_{};
};

class world {
 public:
  world(shares::limit whole, std::uint64_t weight_percent)
      : whole_(whole), weight_(static_cast<double>(weight_percent) / 100), exact_(whole) {
    for (std::size_t dc = 0; dc < data_centres; ++dc) {
      coordinators_[dc].allocates =
          std::make_unique<shares::allocator>(shares::settings{}, name_of(dc));
      start_coordinator(dc, true);
    }
    for (std::size_t it = 0; it < nodes_.size(); ++it) {
      start_node(it);
    }
  }

  void pass(milliseconds step) { now_ += step; }
  void tick() {
    for (std::size_t dc = 0; dc < data_centres; ++dc) {
      post(port_of(dc), name_of(dc), coordinators_[dc].allocates->tick(now_));
      fuzz::require(coordinators_[dc].allocates->exposure(account, now_) <=
                        local_limit(dc).burst + 1e-4,
                    "the exposure of an allocator is within its burst");
    }
    for (std::size_t it = 0; it < nodes_.size(); ++it) {
      tick_node(it);
    }
  }
  void tick_node(std::size_t node) {
    post(static_cast<std::uint16_t>(node), "vm-" + std::to_string(node), nodes_[node]->tick(now_));
  }
  void take(std::size_t node, std::size_t times) {
    for (std::size_t it = 0; it < times; ++it) {
      if (nodes_[node]->take(now_, account) == shares::take_result::taken) {
        exact_.take(now_);
      }
    }
  }
  /// Delivers a message that is on its way.
  void deliver(std::size_t which, bool keep) {
    if (network_.empty()) {
      return;
    }
    which %= network_.size();
    const message it = network_[which];
    if (!keep) {
      lose(which);
    }
    if (it.to < nodes_.size()) {
      nodes_[it.to]->receive(now_, it.body);
      return;
    }
    for (std::size_t dc = 0; dc < data_centres; ++dc) {
      if (port_of(dc) == it.to) {
        post(it.to, name_of(dc), coordinators_[dc].allocates->receive(now_, it.body));
      }
    }
  }
  void deliver_all() {
    // Answers to these messages are on their way afterwards.
    for (std::size_t it = network_.size(); it > 0; --it) {
      deliver(0, false);
    }
  }
  void lose(std::size_t which) {
    if (!network_.empty()) {
      network_.erase(network_.begin() + static_cast<std::ptrdiff_t>(which % network_.size()));
    }
  }
  /// A new process or the same one starts the next term.
  void take_over(std::size_t dc, bool new_process) {
    coordinator& it = coordinators_[dc];
    const shares::settings options;
    const bool settled = now_ - it.started >= options.grant_ttl + options.clock_margin;
    if (new_process) {
      it.allocates = std::make_unique<shares::allocator>(options, name_of(dc));
    }
    start_coordinator(dc, settled);
  }
  void start_node(std::size_t node) {
    nodes_[node] = std::make_unique<shares::node_buckets>(shares::settings{}, ++processes_ << 20U);
    nodes_[node]->set_accounts({{account, whole_}});
    tell(node);
  }
  /// The node hears of its coordinator.
  void tell(std::size_t node) {
    const std::size_t dc = node % data_centres;
    nodes_[node]->set_coordinator(now_, {"", port_of(dc)}, coordinators_[dc].held);
  }

 private:
  struct coordinator {
    std::unique_ptr<shares::allocator> allocates;
    term held;
    time_point started;
  };
  struct message {
    std::uint16_t to = 0;
    wire::incoming body;
  };

  /// A later term has the same port, so that messages of an earlier term reach it.
  static std::uint16_t port_of(std::size_t dc) {
    return static_cast<std::uint16_t>(first_coordinator_port + dc);
  }
  static std::string name_of(std::size_t dc) { return "dc-" + std::to_string(dc); }
  shares::limit local_limit(std::size_t dc) const {
    const double part = dc == 0 ? weight_ : 1 - weight_;
    return {whole_.rate * part, whole_.burst * part};
  }
  void start_coordinator(std::size_t dc, bool previous_settled) {
    coordinator& it = coordinators_[dc];
    ++it.held.epoch;
    it.started = now_;
    it.allocates->set_limits(now_, {{account, local_limit(dc)}});
    it.allocates->start_term(now_, it.held, previous_settled);
    for (std::size_t other = 0; other < data_centres; ++other) {
      if (coordinators_[1 - other].allocates) {
        coordinators_[1 - other].allocates->set_donors({{name_of(other), {"", port_of(other)}}});
      }
    }
  }
  void post(std::uint16_t from, const std::string& sender, std::vector<wire::outgoing> batch) {
    constexpr std::size_t most = 256;
    for (wire::outgoing& it : batch) {
      if (network_.size() < most) {
        network_.push_back({it.to.port, {sender, {"", from}, std::move(it.body)}});
      }
    }
  }

  shares::limit whole_;
  double weight_;
  exact_bucket exact_;
  time_point now_ = time_point{} + seconds{1'000};
  std::uint64_t processes_ = 0;
  std::array<coordinator, data_centres> coordinators_;
  std::array<std::unique_ptr<shares::node_buckets>, data_centres * nodes_per_data_centre> nodes_;
  std::vector<message> network_;
};

} // namespace

void damaskledge::fuzz::run(const std::uint8_t* data, std::size_t size) {
  constexpr std::size_t most_operations = 400;
  FuzzedDataProvider in(data, size);
  const shares::limit whole{static_cast<double>(in.ConsumeIntegralInRange(1, 2'000)),
                            static_cast<double>(in.ConsumeIntegralInRange(1, 500))};
  world fleet(whole, in.ConsumeIntegralInRange<std::uint64_t>(0, 100));
  for (std::size_t it = 0; it < most_operations && in.remaining_bytes() > 0; ++it) {
    const std::size_t operation = in.ConsumeIntegralInRange<std::size_t>(0, 12);
    const std::size_t which = in.ConsumeIntegral<std::uint8_t>();
    const std::size_t node = which % (data_centres * nodes_per_data_centre);
    switch (operation) {
    case 0:
      fleet.pass(milliseconds{1 + which});
      break;
    case 1:
      fleet.pass(milliseconds{10 * which});
      break;
    case 2:
      fleet.tick();
      break;
    case 3:
      // Up to more than the largest burst, so that a node asks for all and spends all it holds.
      fleet.take(node, 1 + 2 * which);
      break;
    case 4:
      fleet.tick_node(node);
      break;
    case 5:
      fleet.deliver(which, false);
      break;
    case 6:
      fleet.deliver(which, true);
      break;
    case 7:
      fleet.lose(which);
      break;
    case 8:
      fleet.take_over(which % data_centres, which % 4 > 1);
      break;
    case 9:
      fleet.start_node(node);
      break;
    case 10:
      fleet.tell(node);
      break;
    case 11:
      // A node asks for tokens and gets them, but leaves them for later.
      fleet.take(node, 1 + 2 * which);
      fleet.tick_node(node);
      fleet.deliver_all();
      fleet.deliver_all();
      break;
    default:
      // The usual course: callers take, nodes and allocators tick, messages arrive.
      for (int round = 0; round < 4; ++round) {
        fleet.take(node, 1 + which / 32);
        fleet.tick();
        fleet.pass(milliseconds{2});
        fleet.deliver_all();
        fleet.deliver_all();
      }
    }
  }
}
