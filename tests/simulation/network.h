/// @file
/// Simulated network with delay, loss, duplication and cut links, for state machines that return
/// the messages to send.
#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "wire/wire.h"

namespace damaskledge::simulation {

struct traffic {
  std::uint64_t sent_bytes = 0;
  std::uint64_t received_bytes = 0;
};

class network {
 public:
  explicit network(std::uint64_t seed) : random_(seed) {}

  double loss = 0;
  double duplication = 0;
  milliseconds shortest_delay{1};
  milliseconds longest_delay{5};
  /// True when nothing passes from the first endpoint to the second.
  std::function<bool(const endpoint&, const endpoint&)> cut;

  void send(time_point now, const std::string& sender, const endpoint& from,
            const std::vector<wire::outgoing>& messages) {
    for (const auto& it : messages) {
      const auto bytes = wire::frame_bytes(sender, from, it.body);
      auto& count = traffic_[to_string(from)];
      count.sent_bytes += bytes;
      const bool datagram = it.by == wire::transport::datagram;
      if (datagram) {
        largest_datagram_ = std::max(largest_datagram_, bytes);
      }
      if ((cut && cut(from, it.to)) || (datagram && chance(loss))) {
        continue;
      }
      const int copies = datagram && chance(duplication) ? 2 : 1;
      for (int copy = 0; copy < copies; ++copy) {
        queue_.push({now + delay(), order_++, it.to, bytes, {sender, from, it.body}});
      }
    }
  }

  /// Passes every message that is due to `handler(to, incoming)`.
  template <class Handler>
  void deliver(time_point now, Handler&& handler) {
    while (!queue_.empty() && queue_.top().at <= now) {
      const auto due = queue_.top();
      queue_.pop();
      traffic_[to_string(due.to)].received_bytes += due.bytes;
      handler(due.to, due.what);
    }
  }

  std::size_t largest_datagram() const { return largest_datagram_; }
  /// Bytes since the last call, by "address:port".
  std::map<std::string, traffic> take_traffic() { return std::exchange(traffic_, {}); }

 private:
  struct in_flight {
    time_point at;
    std::uint64_t order = 0;
    endpoint to;
    std::size_t bytes = 0;
    wire::incoming what;
    bool operator<(const in_flight& other) const {
      return std::pair(at, order) > std::pair(other.at, other.order);
    }
  };

  bool chance(double probability) {
    return std::uniform_real_distribution<double>(0, 1)(random_) < probability;
  }
  milliseconds delay() {
    return milliseconds(std::uniform_int_distribution<std::int64_t>(
        shortest_delay.count(), longest_delay.count())(random_));
  }

  std::mt19937_64 random_;
  std::priority_queue<in_flight> queue_;
  std::map<std::string, traffic> traffic_;
  std::uint64_t order_ = 0;
  std::size_t largest_datagram_ = 0;
};

} // namespace damaskledge::simulation
