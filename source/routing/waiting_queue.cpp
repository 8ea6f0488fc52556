#include <algorithm>

#include "routing/routing.h"

namespace damaskledge::routing {

waiting_queue::waiting_queue(queue_settings options) : options_(options) {}

void waiting_queue::observe(time_point now, service_queue& queue) const {
  // Uses the age of the oldest call and not the wait of the call that is served: when the newest
  // is served first, that wait is short although other calls wait long.
  duration age{0};
  for (const auto& it : queue.classes) {
    if (!it.empty()) {
      age = std::max(age, now - it.begin()->second.since);
    }
  }
  queue.minimum_age = std::min(queue.minimum_age, age);
  if (now - queue.interval_start >= options_.interval) {
    queue.overloaded = queue.minimum_age > options_.target_delay;
    queue.interval_start = now;
    queue.minimum_age = age;
  }
}

void waiting_queue::erase(service_queue& queue, std::size_t importance_class, ticket which) {
  queue.classes.at(importance_class).erase(which);
  --queue.length;
  locations_.erase(which);
  if (queue.length == 0) {
    queue.minimum_age = duration{0};
    queue.overloaded = false;
  }
}

waiting_queue::push_result waiting_queue::push(time_point now, const std::string& service,
                                               importance value, time_point deadline) {
  if (deadline <= now) {
    return {};
  }
  service_queue& queue = services_[service];
  if (queue.length == 0) {
    queue.interval_start = now;
    queue.minimum_age = duration::max();
  }
  const auto own_class = static_cast<std::size_t>(value);
  push_result result;
  if (queue.length >= options_.max_length) {
    std::size_t lowest_class = queue.classes.size() - 1;
    while (lowest_class > own_class && queue.classes.at(lowest_class).empty()) {
      --lowest_class;
    }
    if (lowest_class == own_class) {
      return {};
    }
    // The call that would be served last.
    const auto& calls = queue.classes.at(lowest_class);
    result.dropped = queue.overloaded ? calls.begin()->first : calls.rbegin()->first;
    erase(queue, lowest_class, *result.dropped);
  }
  const ticket own = ++last_ticket_;
  const time_point expires = std::min(deadline, now + options_.max_wait);
  queue.classes.at(own_class).emplace(own, waiting_call{now, expires});
  locations_.emplace(own, location{service, own_class});
  ++queue.length;
  result.own = own;
  return result;
}

std::optional<waiting_queue::ticket> waiting_queue::pop(time_point now,
                                                        const std::string& service) {
  const auto first = front(now, service);
  if (first) {
    remove(*first);
  }
  return first;
}

std::optional<waiting_queue::ticket> waiting_queue::front(time_point now,
                                                          const std::string& service) {
  const auto found = services_.find(service);
  if (found == services_.end() || found->second.length == 0) {
    return std::nullopt;
  }
  service_queue& queue = found->second;
  observe(now, queue);
  const auto not_expired = [&](const auto& call) { return call.second.expires > now; };
  for (const auto& calls : queue.classes) {
    std::optional<ticket> next;
    if (queue.overloaded) {
      const auto call = std::find_if(calls.rbegin(), calls.rend(), not_expired);
      next = call == calls.rend() ? std::nullopt : std::optional(call->first);
    } else {
      const auto call = std::find_if(calls.begin(), calls.end(), not_expired);
      next = call == calls.end() ? std::nullopt : std::optional(call->first);
    }
    if (next) {
      return next;
    }
  }
  return std::nullopt;
}

std::vector<waiting_queue::ticket> waiting_queue::expire(time_point now) {
  std::vector<ticket> result;
  for (auto& [service, queue] : services_) {
    if (queue.length == 0) {
      continue;
    }
    observe(now, queue);
    for (std::size_t it = 0; it < queue.classes.size(); ++it) {
      const std::size_t before = result.size();
      for (const auto& [which, call] : queue.classes.at(it)) {
        if (call.expires <= now) {
          result.push_back(which);
        }
      }
      for (std::size_t n = before; n < result.size(); ++n) {
        erase(queue, it, result[n]);
      }
    }
  }
  return result;
}

bool waiting_queue::remove(ticket which) {
  const auto found = locations_.find(which);
  if (found == locations_.end()) {
    return false;
  }
  const location place = found->second;
  erase(services_.at(place.service), place.importance_class, which);
  return true;
}

std::uint32_t waiting_queue::length(const std::string& service) const {
  const auto found = services_.find(service);
  return found == services_.end() ? 0 : found->second.length;
}

bool waiting_queue::overloaded(const std::string& service) const {
  const auto found = services_.find(service);
  return found != services_.end() && found->second.overloaded;
}

} // namespace damaskledge::routing
