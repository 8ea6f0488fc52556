#include "node/dispatcher.h"

#include <algorithm>
#include <utility>

namespace damaskledge::node {

dispatcher::dispatcher(routing::settings targets, routing::queue_settings queue,
                       admission::shed_settings shed, const std::string& node,
                       const std::string& data_centre, std::uint64_t seed)
    : controls_(targets.mode == routing::policy::chosen), targets_(targets, data_centre, seed),
      queue_(queue), shed_(shed, node) {}

slot_result dispatcher::acquire(const slot_request& wanted) {
  std::unique_lock lock(mutex_);
  const time_point start = clock_type::now();
  if (queue_.length(wanted.service) > 0) {
    refresh_queues(start);
  }
  // A call that arrives while others wait takes its place among them.
  if (queue_.length(wanted.service) == 0) {
    if (auto slot = targets_.acquire(start, wanted.service, wanted.excluded)) {
      shed_.observe_queue_delay(start, wanted.service, duration{0});
      return *std::move(slot);
    }
  }
  if (!targets_.has_target(start, wanted.service)) {
    return targets_.knows_service(wanted.service) ? slot_refusal::no_target
                                                  : slot_refusal::unknown_service;
  }
  return wait_in_queue(lock, start, wanted);
}

slot_result dispatcher::wait_in_queue(std::unique_lock<std::mutex>& lock, time_point start,
                                      const slot_request& wanted) {
  const auto pushed = queue_.push(start, wanted.service, wanted.importance, wanted.deadline);
  if (pushed.dropped) {
    drop(*pushed.dropped);
  }
  if (!pushed.own) {
    shed_.observe_refusal(start, wanted.service);
    return slot_refusal::overloaded;
  }
  waiter own;
  own.excluded = &wanted.excluded;
  waiters_[*pushed.own] = &own;
  queued_services_.insert(wanted.service);
  while (!own.decided && clock_type::now() < wanted.deadline) {
    own.wake.wait_until(lock, wanted.deadline);
  }
  waiters_.erase(*pushed.own);
  const time_point now = clock_type::now();
  shed_.observe_queue_delay(now, wanted.service, now - start);
  if (own.slot) {
    return *std::move(own.slot);
  }
  queue_.remove(*pushed.own);
  shed_.observe_refusal(now, wanted.service);
  return now >= wanted.deadline ? slot_refusal::deadline : slot_refusal::overloaded;
}

void dispatcher::drop(routing::waiting_queue::ticket which) {
  const auto found = waiters_.find(which);
  if (found != waiters_.end()) {
    found->second->decided = true;
    found->second->wake.notify_one();
  }
}

void dispatcher::release(const std::string& service, const std::string& target,
                         routing::attempt_end end, duration latency) {
  const std::lock_guard lock(mutex_);
  const time_point now = clock_type::now();
  targets_.release(now, target, end, latency);
  if (end == routing::attempt_end::shed) {
    shed_.observe_refusal(now, service);
  }
  serve_queue(now, service);
}

void dispatcher::serve_queue(time_point now, const std::string& service) {
  while (const auto next = queue_.front(now, service)) {
    waiter& waiting = *waiters_.at(*next);
    auto slot = targets_.acquire(now, service, *waiting.excluded);
    if (!slot) {
      return;
    }
    queue_.remove(*next);
    waiting.decided = true;
    waiting.slot = std::move(slot);
    waiting.wake.notify_one();
  }
}

void dispatcher::refresh_queues(time_point now) {
  for (const auto it : queue_.expire(now)) {
    drop(it);
  }
  // The end of an exclusion frees a target without a release.
  for (const std::string& it : queued_services_) {
    serve_queue(now, it);
  }
}

bool dispatcher::sheds(const std::vector<std::string>& services, importance value,
                       const std::string& account, bool entry) {
  if (!controls_) {
    return false;
  }
  const std::lock_guard lock(mutex_);
  const time_point now = clock_type::now();
  return std::any_of(services.begin(), services.end(), [&](const std::string& it) {
    return shed_.sheds(now, it, value, account, entry);
  });
}

void dispatcher::admitted(const std::string& service, importance value,
                          const std::string& account) {
  const std::lock_guard lock(mutex_);
  shed_.observe_admitted(clock_type::now(), service, value, account);
}

void dispatcher::set_targets(const std::vector<routing::target_record>& targets,
                             std::uint32_t calling_nodes) {
  const std::lock_guard lock(mutex_);
  const time_point now = clock_type::now();
  targets_.set_targets(now, targets, calling_nodes);
  refresh_queues(now);
}

void dispatcher::tick(time_point now) {
  const std::lock_guard lock(mutex_);
  targets_.tick(now);
  shed_.tick(now);
  refresh_queues(now);
}

void dispatcher::heard_shed_level(time_point now, const std::string& service,
                                  const std::string& origin, std::uint32_t level,
                                  std::uint64_t sequence) {
  const std::lock_guard lock(mutex_);
  shed_.heard(now, service, origin, level, sequence);
}

std::vector<admission::shed_table::level_record> dispatcher::own_shed_levels() {
  const std::lock_guard lock(mutex_);
  return shed_.own_levels();
}

std::vector<routing::target_table::target_state> dispatcher::targets() {
  const std::lock_guard lock(mutex_);
  return targets_.snapshot(clock_type::now());
}

std::uint32_t dispatcher::queue_length(const std::string& service) {
  const std::lock_guard lock(mutex_);
  return queue_.length(service);
}

} // namespace damaskledge::node
