#include "node/control_plane.h"

#include <algorithm>
#include <ctime>
#include <utility>

#include <glog/logging.h>

namespace damaskledge::node {

namespace {

constexpr milliseconds tick_period{10};
constexpr milliseconds cut_reload_period{100};
constexpr milliseconds document_poll{50};
constexpr milliseconds ended_contexts_period{100};
constexpr std::size_t contexts_per_datagram = 64;
constexpr std::size_t call_threads = 4;

std::vector<std::string> secrets_of(const config::node_settings& settings) {
  std::vector<std::string> result{settings.cluster_secret};
  if (!settings.previous_cluster_secret.empty()) {
    result.push_back(settings.previous_cluster_secret);
  }
  return result;
}

/// Processor time of the calling thread.
std::chrono::nanoseconds thread_time() {
  timespec value{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &value);
  return seconds(value.tv_sec) + std::chrono::nanoseconds(value.tv_nsec);
}

wire::crash_notice to_notice(const admission::crash_report& report) {
  wire::crash_notice result;
  for (const auto& death : report.deaths) {
    wire::crash_death row{death.target, {}};
    for (const auto& it : death.members) {
      row.members.push_back({it.fingerprint, static_cast<std::uint64_t>(it.age.count())});
    }
    result.deaths.push_back(std::move(row));
  }
  result.cleared = report.cleared;
  return result;
}

admission::crash_report to_report(const wire::crash_notice& notice) {
  admission::crash_report result;
  for (const auto& death : notice.deaths) {
    admission::death_report row{death.target, {}};
    for (const auto& it : death.members) {
      row.members.push_back(
          {it.fingerprint, std::chrono::microseconds(static_cast<std::int64_t>(it.age_us))});
    }
    result.deaths.push_back(std::move(row));
  }
  result.cleared = notice.cleared;
  return result;
}

template <class... Visitors>
struct overloaded : Visitors... {
  using Visitors::operator()...;
};
template <class... Visitors>
overloaded(Visitors...) -> overloaded<Visitors...>;

} // namespace

control_plane::control_plane(const config::node_settings& settings, cut_filter& cuts,
                             dispatcher& routes, crash_guard& crashes)
    : settings_(settings), cuts_(cuts), routes_(routes), crashes_(crashes),
      core_(settings, random_id().low, unix_now()),
      buckets_(core::share_settings(settings), random_id().low) {
  platform_ = platform::http_client::builder()
                  .endpoints(settings.platform)
                  .timeout(settings.platform_timeout)
                  .calls_per_second(settings.platform_calls_per_second)
                  .seed(random_id().low)
                  .refuse([this](const endpoint& target) { return cuts_.drops(to_string(target)); })
                  .build();
}

control_plane::~control_plane() {
  stop();
}

void control_plane::start() {
  const endpoint self{settings_.address, settings_.peer_port};
  transport_ = std::make_unique<transport>(settings_.name, self, secrets_of(settings_), cuts_,
                                           [this](const auto& from) { receive(from); });
  transport_->start();
  threads_.emplace_back([this] { run_ticker(); });
  for (const std::string_view it : {config::lists_document, config::keys_document}) {
    threads_.emplace_back([this, it] { run_document(std::string(it)); });
  }
  for (std::size_t it = 0; it < call_threads; ++it) {
    threads_.emplace_back([this] { run_calls(); });
  }
}

void control_plane::stop() {
  if (stopping_.exchange(true)) {
    return;
  }
  call_added_.notify_all();
  platform_->stop();
  for (std::thread& it : threads_) {
    it.join();
  }
  if (transport_) {
    transport_->stop();
  }
}

void control_plane::carry_out(core::effects&& wanted) {
  transport_->send(wanted.messages);
  const time_point now = clock_type::now();
  for (const auto& it : wanted.shed_levels) {
    if (it.origin != settings_.name) {
      routes_.heard_shed_level(now, it.service, it.origin, it.level, it.sequence);
    }
  }
  if (!wanted.crash_fingerprints.empty()) {
    const std::lock_guard lock(crashes_.mutex);
    for (const auto& it : wanted.crash_fingerprints) {
      crashes_.table.heard(now, it);
    }
  }
  if (!wanted.calls.empty()) {
    {
      const std::lock_guard lock(calls_mutex_);
      std::move(wanted.calls.begin(), wanted.calls.end(), std::back_inserter(calls_));
    }
    call_added_.notify_all();
  }
}

void control_plane::publish() {
  if (core_.target_version() != published_targets_) {
    published_targets_ = core_.target_version();
    routes_.set_targets(core_.targets(), core_.calling_nodes());
  }
  keys_confirmed_ = core_.keys_confirmed_at().time_since_epoch().count();
  const bool changed = core_.rules() != rules();
  if (changed) {
    const std::lock_guard lock(rules_mutex_);
    rules_ = core_.rules();
  }
  const std::lock_guard lock(buckets_mutex_);
  if (changed) {
    buckets_.set_accounts(core_.account_limits());
    std::erase_if(grants_,
                  [&](const auto& it) { return !core_.account_limits().contains(it.first); });
  }
  if (const auto own = core_.coordinator()) {
    buckets_.set_coordinator(clock_type::now(), own->address, own->held);
  }
}

core::local_facts control_plane::local_facts(time_point now) {
  core::local_facts result;
  for (const auto& it : routes_.own_shed_levels()) {
    result.shed_levels.push_back({it.service, settings_.name, it.level, it.sequence});
  }
  const std::lock_guard lock(crashes_.mutex);
  result.crash_fingerprints = crashes_.table.convictions(now);
  return result;
}

void control_plane::run_ticker() {
  time_point next_cut_reload{};
  while (!stopping_) {
    const time_point now = clock_type::now();
    if (now >= next_cut_reload) {
      cuts_.reload();
      next_cut_reload = now + cut_reload_period;
    }
    const core::local_facts facts = local_facts(now);
    with_core(
        [&](core::control_core& it) { return it.tick(clock_type::now(), unix_now(), facts); });
    std::vector<wire::outgoing> requests;
    {
      const std::lock_guard lock(buckets_mutex_);
      requests = buckets_.tick(clock_type::now());
    }
    transport_->send(requests);
    routes_.tick(clock_type::now());
    send_ended_contexts(now);
    send_crash_report();
    ticker_time_ = thread_time().count();
    std::this_thread::sleep_until(now + tick_period);
  }
}

void control_plane::receive(const wire::incoming& from) {
  const time_point now = clock_type::now();
  const auto settle = [&](std::uint64_t sequence, const auto& store) {
    const std::lock_guard lock(claims_mutex_);
    const auto found = pending_claims_.find(sequence);
    if (found != pending_claims_.end()) {
      store(*found->second);
      found->second->wake.notify_all();
    }
  };
  std::visit(overloaded{
                 [&](const wire::token_grant& grant) {
                   {
                     const std::lock_guard lock(buckets_mutex_);
                     buckets_.receive(now, from);
                     ++grants_[grant.account];
                   }
                   granted_.notify_all();
                 },
                 [&](const wire::claim_reply& reply) {
                   settle(reply.sequence, [&](pending_claim& it) { it.reply = reply; });
                 },
                 [&](const wire::claim_finish_reply& reply) {
                   settle(reply.sequence, [&](pending_claim& it) { it.stored = reply.stored; });
                 },
                 [&](const wire::crash_notice& notice) {
                   const std::lock_guard lock(crashes_.mutex);
                   crashes_.table.heard_report(now, to_report(notice));
                 },
                 [&](const wire::contexts_ended& notice) {
                   if (contexts_ended_) {
                     contexts_ended_(notice.contexts);
                   }
                 },
                 [&](const auto&) {
                   with_core([&](core::control_core& it) {
                     return it.receive(clock_type::now(), unix_now(), from);
                   });
                 },
             },
             from.body);
}

void control_plane::run_calls() {
  while (true) {
    core::owned_call job;
    {
      std::unique_lock lock(calls_mutex_);
      call_added_.wait(lock, [this] { return stopping_ || !calls_.empty(); });
      if (stopping_) {
        return;
      }
      job = std::move(calls_.front());
      calls_.pop_front();
    }
    const platform::answer result = platform_->execute(job.call.what);
    with_core([&](core::control_core& it) {
      return it.on_answer(clock_type::now(), unix_now(), job.owner, job.call.tag, result);
    });
  }
}

void control_plane::run_document(const std::string& document) {
  while (!stopping_) {
    std::optional<platform::call> wanted;
    {
      const std::lock_guard lock(core_mutex_);
      wanted = core_.document_call(clock_type::now(), document);
    }
    if (!wanted) {
      std::this_thread::sleep_for(document_poll);
      continue;
    }
    const platform::answer result = platform_->execute(*wanted);
    with_core([&](core::control_core& it) {
      return it.on_document_answer(clock_type::now(), document, result);
    });
  }
}

std::shared_ptr<const core::rules_in_force> control_plane::rules() const {
  const std::lock_guard lock(rules_mutex_);
  return rules_;
}

bool control_plane::keys_fresh(time_point now) const {
  return now - time_point(duration(keys_confirmed_.load())) <= settings_.key_grace;
}

shares::take_result control_plane::take_token(const std::string& account, time_point give_up) {
  std::unique_lock lock(buckets_mutex_);
  while (true) {
    const time_point now = clock_type::now();
    const auto result = buckets_.take(now, account, now >= give_up);
    if (result != shares::take_result::pending || now >= give_up) {
      return result;
    }
    auto requests = buckets_.tick(now);
    const std::uint64_t seen = grants_[account];
    lock.unlock();
    transport_->send(requests);
    lock.lock();
    // Each further take would count as another token wanted, so it waits for a grant.
    granted_.wait_until(lock, give_up, [&] { return grants_[account] != seen; });
  }
}

milliseconds control_plane::token_retry_after(const std::string& account) {
  const std::lock_guard lock(buckets_mutex_);
  return buckets_.retry_after(clock_type::now(), account);
}

void control_plane::announce(const wire::service_record& service) {
  with_core([&](core::control_core& it) { return it.announce(clock_type::now(), service); });
}

void control_plane::drain(const std::string& service, std::uint16_t port) {
  with_core([&](core::control_core& it) { return it.drain(clock_type::now(), service, port); });
}

void control_plane::leave(const std::string& service, std::uint16_t port) {
  with_core([&](core::control_core& it) { return it.leave(clock_type::now(), service, port); });
}

void control_plane::start_draining() {
  with_core([&](core::control_core& it) {
    return it.set_state(clock_type::now(), wire::member_state::draining);
  });
}

void control_plane::announce_left() {
  with_core([&](core::control_core& it) {
    return it.set_state(clock_type::now(), wire::member_state::left);
  });
}

void control_plane::context_ended(const std::string& target_id, const id128& context) {
  const std::lock_guard lock(core_mutex_);
  if (const auto peer = core_.target_peer(target_id)) {
    ended_contexts_[*peer].push_back(context);
  }
}

void control_plane::send_ended_contexts(time_point now) {
  if (now - ended_sent_at_ < ended_contexts_period) {
    return;
  }
  ended_sent_at_ = now;
  std::map<endpoint, std::vector<id128>> ended;
  {
    const std::lock_guard lock(core_mutex_);
    ended.swap(ended_contexts_);
  }
  for (const auto& [to, ids] : ended) {
    for (std::size_t first = 0; first < ids.size(); first += contexts_per_datagram) {
      const auto last = std::min(ids.size(), first + contexts_per_datagram);
      wire::contexts_ended notice;
      notice.contexts.assign(ids.begin() + static_cast<std::ptrdiff_t>(first),
                             ids.begin() + static_cast<std::ptrdiff_t>(last));
      transport_->send({to, wire::transport::datagram, std::move(notice)});
    }
  }
}

void control_plane::send_crash_report() {
  admission::crash_report report;
  {
    const std::lock_guard lock(crashes_.mutex);
    report = crashes_.table.take_report();
  }
  if (report.empty()) {
    return;
  }
  const wire::crash_notice notice = to_notice(report);
  std::vector<wire::member_record> members;
  {
    const std::lock_guard lock(core_mutex_);
    members = core_.members();
  }
  for (const auto& it : members) {
    if (it.name != settings_.name && it.state != wire::member_state::left &&
        it.state != wire::member_state::dead) {
      transport_->send({{it.address, it.peer_port}, wire::transport::stream, notice});
    }
  }
}

void control_plane::on_contexts_ended(std::function<void(const std::vector<id128>&)> handler) {
  contexts_ended_ = std::move(handler);
}

std::string control_plane::describe() const {
  const std::lock_guard lock(core_mutex_);
  return core_.describe(clock_type::now());
}

} // namespace damaskledge::node
