#include "bench/fleet.h"

#include <algorithm>
#include <utility>

#include "bench/meter.h"
#include "bench/population.h"

namespace damaskledge::bench {

namespace {

constexpr milliseconds observed_tick{10};
constexpr milliseconds other_tick{100};
constexpr milliseconds document_poll{50};
constexpr milliseconds announce_period{2'000};
constexpr milliseconds platform_delay{2};
constexpr std::chrono::microseconds local_delay{250};
constexpr std::chrono::microseconds remote_delay{1'500};

} // namespace

fleet::fleet(const fleet_options& wanted) : wanted_(wanted), random_(wanted.seed) {
  write_object("config/lists", object_of(make_lists(wanted_.accounts), 0));
  write_object("config/keys", object_of(make_keys(wanted_.keys, wanted_.accounts), 0));
  nodes_.resize(wanted_.members);
  for (std::size_t it = 0; it < nodes_.size(); ++it) {
    node& self = nodes_[it];
    self.settings = node_settings(it);
    self.core = std::make_unique<core::control_core>(self.settings, random_(), wall());
    by_address_[self.settings.address] = it;
    if (data_centre_of(it) == 0 && observed_.size() < wanted_.observed) {
      self.observed = true;
      observed_.push_back(it);
    }
  }
  join_all();
  for (std::size_t it = 0; it < nodes_.size(); ++it) {
    const milliseconds period = nodes_[it].observed ? observed_tick : other_tick;
    after(duration(static_cast<duration::rep>(
              random_() %
              static_cast<std::uint64_t>(std::chrono::duration_cast<duration>(period).count()))),
          [this, it] { tick(it); });
    after(milliseconds(random_() % 50), [this, it] { follow(it); });
    after(announce_period + milliseconds(random_() % 2'000), [this, it] { announce(it); });
  }
}

/// Every node starts with the whole member table, as after a synchronisation, so that the steady
/// state is reached at once and the storm of a start of all nodes is not measured.
void fleet::join_all() {
  wire::incoming table{"table", {"10.255.0.1", peer_port}, wire::member_sync_reply{}};
  auto& members = std::get<wire::member_sync_reply>(table.body).facts.members;
  for (std::size_t it = 0; it < nodes_.size(); ++it) {
    nodes_[it].core->announce(clock(), upstream_of(it));
    for (const auto& record : nodes_[it].core->members()) {
      members.push_back(record);
    }
  }
  for (node& it : nodes_) {
    it.core->receive(clock(), wall(), table);
  }
}

void fleet::after(duration delay, std::function<void()> action) {
  events_.push({now_ + delay, ++order_, std::move(action)});
}

void fleet::run_for(duration length) {
  const duration end = now_ + length;
  while (!events_.empty() && events_.top().at <= end) {
    const event next = events_.top();
    events_.pop();
    now_ = next.at;
    next.action();
  }
  now_ = end;
}

void fleet::reset_costs() {
  for (node& it : nodes_) {
    it.costs = {};
  }
}

template <class Function>
auto fleet::measured(std::size_t which, double& total, Function function) {
  if (!nodes_[which].observed) {
    return function();
  }
  const double before = processor_seconds();
  auto result = function();
  total += processor_seconds() - before;
  return result;
}

void fleet::tick(std::size_t which) {
  node& self = nodes_[which];
  node_costs& costs = self.costs;
  const bool warm = self.observed && costs.ticks % 2 == 1;
  if (warm) {
    static_cast<void>(self.core->members());
  }
  carry_out(which, measured(which, warm ? costs.warm_tick_seconds : costs.cold_tick_seconds,
                            [&] { return self.core->tick(clock(), wall(), {}); }));
  ++costs.ticks;
  ++(warm ? costs.warm_ticks : costs.cold_ticks);
  costs.waiting += self.waiting;
  after(self.observed ? observed_tick : other_tick, [this, which] { tick(which); });
}

void fleet::announce(std::size_t which) {
  carry_out(which, nodes_[which].core->announce(clock(), upstream_of(which)));
  after(announce_period, [this, which] { announce(which); });
}

void fleet::carry_out(std::size_t which, core::effects&& wanted) {
  for (auto& it : wanted.messages) {
    send(which, std::move(it));
  }
  for (const auto& it : wanted.calls) {
    const core::call_owner owner = it.owner;
    const std::uint64_t tag = it.call.tag;
    call(which, it.call.what, {}, [this, which, owner, tag](const platform::answer& value) {
      node& self = nodes_[which];
      carry_out(which, measured(which, self.costs.handling_seconds, [&] {
                  return self.core->on_answer(clock(), wall(), owner, tag, value);
                }));
    });
  }
}

void fleet::send(std::size_t from, wire::outgoing&& what) {
  const auto found = by_address_.find(what.to.address);
  if (found == by_address_.end()) {
    return;
  }
  const std::size_t to = found->second;
  node& self = nodes_[from];
  const endpoint reply_to{self.settings.address, self.settings.peer_port};
  std::size_t bytes = 0;
  if (self.observed || nodes_[to].observed || counts_kinds_) {
    bytes = wire::frame_bytes(self.settings.name, reply_to, what.body);
    self.costs.sent.messages += 1;
    self.costs.sent.bytes += bytes;
  }
  if (counts_kinds_) {
    traffic& kind = kinds_.at(what.body.index());
    kind.messages += 1;
    kind.bytes += bytes;
  }
  auto message = std::make_shared<wire::incoming>(
      wire::incoming{self.settings.name, reply_to, std::move(what.body)});
  const bool local = data_centre_of(from) == data_centre_of(to);
  after(local ? local_delay : remote_delay,
        [this, to, bytes, message = std::move(message)] { deliver(to, *message, bytes); });
}

void fleet::deliver(std::size_t to, const wire::incoming& what, std::size_t bytes) {
  node& self = nodes_[to];
  self.costs.received.messages += 1;
  self.costs.received.bytes += bytes;
  carry_out(to, measured(to, self.costs.handling_seconds,
                         [&] { return self.core->receive(clock(), wall(), what); }));
}

void fleet::call(std::size_t which, const platform::call& what, const std::string& document,
                 std::function<void(const platform::answer&)> done) {
  node_costs& costs = nodes_[which].costs;
  costs.reads += std::holds_alternative<platform::read>(what) ? 1U : 0U;
  costs.writes += std::holds_alternative<platform::write>(what) ? 1U : 0U;
  costs.watches += std::holds_alternative<platform::watch>(what) ? 1U : 0U;
  after(platform_delay, [this, which, what, document, done = std::move(done)] {
    const auto value = platform_.execute(what, random_);
    if (!value) {
      const auto& wait = std::get<platform::watch>(what);
      watches_.push_back({which, document, wait, now_ + wait.timeout});
      ++nodes_[which].waiting;
      after(wait.timeout, [this] { wake_watches(); });
      return;
    }
    if (const auto* wrote = std::get_if<platform::write>(&what); wrote != nullptr) {
      wake_watches();
    }
    after(platform_delay, [done, value = *value] { done(value); });
  });
}

void fleet::follow(std::size_t which) {
  node& self = nodes_[which];
  for (const std::string_view name : {config::lists_document, config::keys_document}) {
    const std::string document(name);
    if (self.following.contains(document)) {
      continue;
    }
    const auto wanted = measured(which, self.costs.handling_seconds,
                                 [&] { return self.core->document_call(clock(), document); });
    if (wanted) {
      self.following.insert(document);
      call(which, *wanted, document, [this, which, document](const platform::answer& value) {
        on_document(which, document, value);
      });
    }
  }
  after(self.observed ? document_poll : milliseconds(500), [this, which] { follow(which); });
}

void fleet::on_document(std::size_t which, const std::string& document,
                        const platform::answer& value) {
  node& self = nodes_[which];
  self.following.erase(document);
  carry_out(which, measured(which, self.costs.handling_seconds, [&] {
              return self.core->on_document_answer(clock(), document, value);
            }));
}

void fleet::wake_watches() {
  std::vector<waiting_watch> waiting;
  waiting.swap(watches_);
  for (waiting_watch& it : waiting) {
    const platform::object* current = platform_.find(it.what.name);
    platform::answer value = platform::unchanged{};
    if (current != nullptr && current->version > it.what.known_version) {
      value = platform::found{*current};
    } else if (now_ < it.ends) {
      watches_.push_back(std::move(it));
      continue;
    }
    --nodes_[it.node].waiting;
    after(platform_delay, [this, node = it.node, document = it.document, value] {
      on_document(node, document, value);
    });
  }
}

bool fleet::coordinates(std::size_t observed) const {
  return nodes_[observed_[observed]].core->current_part(clock()) == coordination::part::coordinator;
}

std::size_t fleet::alive(std::size_t observed) const {
  const auto members = nodes_[observed_[observed]].core->members();
  return static_cast<std::size_t>(std::count_if(members.begin(), members.end(), [](const auto& it) {
    return it.state == wire::member_state::up;
  }));
}

void fleet::write_object(const std::string& name, std::string content) {
  const platform::object* current = platform_.find(name);
  const std::uint64_t version = current == nullptr ? 0 : current->version;
  platform_.execute(platform::write{name, version, std::move(content)}, random_);
  wake_watches();
}

std::size_t fleet::nodes_with(const std::string& document, std::uint64_t version) const {
  return static_cast<std::size_t>(std::count_if(nodes_.begin(), nodes_.end(), [&](const node& it) {
    const auto versions = it.core->versions_in_force();
    return std::any_of(versions.begin(), versions.end(), [&](const auto& held) {
      return held.name == document && held.version >= version;
    });
  }));
}

void fleet::count_kinds(bool value) {
  counts_kinds_ = value;
  kinds_ = {};
}

} // namespace damaskledge::bench
