// Callers and operators of a randomised run: requests for tokens, submissions of operations, and
// changes of the configuration.
#include <array>
#include <chrono>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

#include "check/simulation.h"

namespace damaskledge::check {

// Requests.

void simulation::next_request(std::size_t account) {
  const std::string& name = accounts_[account].name;
  const double load = name == "greedy" ? 3.0 : 0.8;
  const double mean = 1.0 / (limits_[name].rate * load);
  // Demand sits mostly on one process and moves every few seconds.
  const auto favourite =
      static_cast<std::size_t>(seconds_now() / 4 + static_cast<double>(account)) %
      processes_.size();
  const std::size_t which = chance(60) ? favourite : random_() % processes_.size();
  const bool inside = oracle_.inside_rate(seconds_now(), name, limits_[name]);
  at_process(which, duration{0}, [this, which, name, inside] { request(which, name, inside); });
  const auto wait =
      std::chrono::duration<double>(mean * 2 * static_cast<double>(random_() % 1'000) / 1'000.0);
  after(std::chrono::duration_cast<duration>(wait), [this, account] { next_request(account); });
}

void simulation::request(std::size_t which, const std::string& account, bool inside) {
  constexpr milliseconds token_wait{40};
  const waiting_request arrived{account, inside};
  if (take_token(which, arrived, false)) {
    return;
  }
  process& it = processes_[which];
  for (const auto& message : it.buckets->tick(local_now(it))) {
    send(which, message);
  }
  const std::uint64_t number = ++last_request_;
  it.waiting[number] = arrived;
  at_process(which, token_wait, [this, which, number] {
    const auto found = processes_[which].waiting.find(number);
    if (found != processes_[which].waiting.end()) {
      const waiting_request expired = found->second;
      processes_[which].waiting.erase(found);
      take_token(which, expired, true);
    }
  });
}

bool simulation::take_token(std::size_t which, const waiting_request& it, bool last) {
  process& self = processes_[which];
  const auto taken = self.buckets->take(local_now(self), it.account, last);
  if (taken == shares::take_result::pending && !last) {
    return false;
  }
  // Requests of an account above its rate displace each other, so only the others are judged.
  const bool judged = it.inside && it.account != "greedy";
  const bool late = judged && healed_ && now_ > healed_at_ + recovery_time;
  if (taken != shares::take_result::taken) {
    ++result_.tokens_refused;
    result_.judged_requests += late ? 1 : 0;
    result_.judged_refusals += late ? 1 : 0;
    return true;
  }
  ++result_.tokens_taken;
  result_.judged_requests += late ? 1 : 0;
  if (const auto wrong = oracle_.admitted(seconds_now(), it.account, limits_[it.account])) {
    fail("rate and burst", *wrong);
  }
  return true;
}

// Submissions.

void simulation::next_submission() {
  after(between(milliseconds(5), milliseconds(60)), [this] { next_submission(); });
  const std::size_t which = random_() % processes_.size();
  id128 operation{random_(), random_()};
  if (!recent_operations_.empty() && chance(50)) {
    operation = recent_operations_[random_() % recent_operations_.size()];
  }
  recent_operations_.push_back(operation);
  if (recent_operations_.size() > 40) {
    recent_operations_.pop_front();
  }
  // Callers press again at other processes at the same moment.
  const int presses = chance(20) ? 3 : 1;
  for (int it = 0; it < presses; ++it) {
    const std::size_t at = it == 0 ? which : random_() % processes_.size();
    const std::uint64_t id = ++last_submission_;
    at_process(at, between(duration{0}, milliseconds(3)), [this, at, id, operation] {
      const process& self = processes_[at];
      submission next;
      next.at = at;
      next.generation = self.generation;
      next.operation = operation;
      next.claimant = {random_(), random_()};
      next.writers = self.core->claim_writers(operation);
      next.deadline = local_now(self) + seconds(2);
      submissions_[id] = std::move(next);
      ask_writer(id);
    });
  }
}

void simulation::ask_writer(std::uint64_t id) {
  submission& it = submissions_[id];
  const process& self = processes_[it.at];
  if (it.next_writer >= it.writers.size() || local_now(self) >= it.deadline) {
    refuse_submission(it);
    submissions_.erase(id);
    return;
  }
  const std::size_t asked = it.next_writer++;
  const endpoint writer = it.writers[asked];
  send(it.at,
       {writer, wire::transport::stream, wire::claim_request{id, it.operation, 7, it.claimant}});
  at_process(it.at, between(milliseconds(300), milliseconds(900)), [this, id, asked, writer] {
    const auto found = submissions_.find(id);
    if (found != submissions_.end() && !found->second.decided &&
        found->second.next_writer == asked + 1) {
      found->second.unanswered.push_back(writer);
      ask_writer(id);
    }
  });
}

void simulation::refuse_submission(submission& it) {
  ++result_.operations_refused;
  // The request will not run, so a claim that a writer records late must go.
  for (const endpoint& writer : it.unanswered) {
    wire::claim_finish release;
    release.operation = it.operation;
    release.request = it.claimant;
    release.released = true;
    send(it.at, {writer, wire::transport::stream, release});
  }
}

void simulation::on_claim_reply(std::uint64_t id, const wire::claim_reply& reply) {
  const auto found = submissions_.find(id);
  if (found == submissions_.end() || found->second.decided ||
      processes_[found->second.at].generation != found->second.generation) {
    return;
  }
  submission& it = found->second;
  switch (reply.decision) {
  case wire::claim_decision::granted:
    it.decided = true;
    at_process(it.at, between(duration{0}, milliseconds(5)), [this, id] { run_operation(id); });
    return;
  case wire::claim_decision::unavailable:
  case wire::claim_decision::not_writer:
    ask_writer(id);
    return;
  case wire::claim_decision::already_run:
    if (const auto wrong = oracle_.told_already_run(it.operation)) {
      fail("at most once", *wrong);
    }
    break;
  case wire::claim_decision::already_claimed:
  case wire::claim_decision::body_differs:
    break;
  }
  refuse_submission(it);
  submissions_.erase(id);
}

void simulation::run_operation(std::uint64_t id) {
  const submission it = submissions_[id];
  submissions_.erase(id);
  const process& self = processes_[it.at];
  const bool runs = local_now(self) < it.deadline && !chance(10);
  if (!runs) {
    ++result_.operations_refused;
    finish(it, true);
    return;
  }
  ++result_.operations_run;
  if (const auto wrong = oracle_.ran(it.operation)) {
    fail("at most once", *wrong);
  }
  // Some runs end without an answer, and nothing is told.
  if (!chance(15)) {
    finish(it, false);
  }
}

void simulation::finish(const submission& it, bool released) {
  if (it.writers.empty()) {
    return;
  }
  wire::claim_finish message;
  message.operation = it.operation;
  message.request = it.claimant;
  message.released = released;
  message.status = released ? 0 : 200;
  send(it.at, {it.writers.front(), wire::transport::stream, message});
}

// Configuration.

config::lists simulation::lists_of(std::uint64_t change) const {
  constexpr std::array<std::array<double, 3>, 3> weights{
      {{0.33, 0.33, 0.33}, {0.5, 0.25, 0.25}, {0.2, 0.4, 0.4}}};
  config::lists result;
  result.accounts = accounts_;
  for (const auto& [name, limit] : limits_) {
    result.plans.push_back({name, limit.rate, limit.burst, {"read"}});
  }
  result.routes.push_back(config::route_builder("read", "plots", "GET", "/status").build());
  result.accounts.push_back({"extra" + std::to_string(change % 5), "small"});
  const auto& row = weights.at(change / 3 % weights.size());
  for (std::size_t it = 0; it < wanted_.data_centres; ++it) {
    result.data_centres.push_back(
        {data_centre_name(it),
         wanted_.data_centres == 3 ? row.at(it) : 1.0 / static_cast<double>(wanted_.data_centres)});
  }
  return result;
}

void simulation::apply_change() {
  const bool first = changes_ == 0;
  const std::uint64_t change = changes_++;
  const auto write = [&](std::string_view name, const std::string& document) {
    const std::string object = "config/" + std::string(name);
    const auto* current = platform_.find(object);
    const std::uint64_t version = current == nullptr ? 0 : current->version;
    const platform::call what = platform::write{
        object, version,
        config::to_object_content(name, document, std::to_string(change) + "-" + object)};
    const auto answered = platform_.execute(what, random_);
    if (answered && std::holds_alternative<platform::found>(*answered)) {
      ++result_.configurations_applied;
      wake_watches(object);
    }
  };
  if (first || change % 4 != 0) {
    write(config::lists_document, config::to_document(lists_of(change)));
  }
  if (first || change % 4 == 0) {
    config::keys keys;
    keys.records.push_back({"0123456789ab", "steady", std::string(64, 'a'),
                            static_cast<unix_milliseconds>(change + 1), change % 8 == 0});
    write(config::keys_document, config::to_document(keys));
  }
}

void simulation::next_change() {
  if (!healed_) {
    apply_change();
  }
  after(between(milliseconds(200), milliseconds(4'000)), [this] { next_change(); });
}

} // namespace damaskledge::check
