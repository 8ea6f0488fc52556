#include "soak/soak.h"

#include <algorithm>
#include <cstdio>

#include <nlohmann/json.hpp>

namespace damaskledge::soak {

namespace {

using nlohmann::json;

constexpr std::size_t accounts = 3;
constexpr std::size_t callers_per_vm = 3;
/// The fleet finds itself before faults begin.
constexpr seconds warm_up{3};
/// Faults end this long before the run does, and the last part of it must be served.
constexpr seconds cool_down{9};
constexpr seconds judged_end{3};
/// Least part of the requests that must be served after all faults (no fault is left then, and
/// demand is within capacity and rates).
constexpr double served_after_faults = 0.9;
/// Mean pause of a caller for each VM, so that the demand of fleets of any size, about 150 requests
/// a second, stays within the accounts' rates.
constexpr milliseconds caller_pause_per_vm{17};
/// Mean pause of callers of an account that surges.
constexpr milliseconds surge_pause{10};
/// Mean pause between two faults; they overlap.
constexpr milliseconds fault_pause{700};
/// Mean pause between two limits, and how long each is named: over before the judged end begins.
constexpr milliseconds limit_pause{2'000};
constexpr milliseconds limit_length{5'500};
/// A restored store is up to this much older.
constexpr milliseconds store_copy_interval{4'000};
/// Mean pause between two restorations of the store.
constexpr milliseconds restoration_pause{8'000};

std::string account_name(std::size_t i) {
  return "account-" + std::to_string(i);
}

json rule(const std::string& prefix, const char* kind, const std::string& service, bool open) {
  return {{"name", "r" + prefix},
          {"kind", kind},
          {"aim-ms", 500},
          {"priority", open ? 0 : 1},
          {"public", open},
          {"match", {{"path-prefix", prefix}}},
          {"action", {{"service", service}, {"timeout-ms", 1'200}, {"max-attempts", 2}}}};
}

double in_seconds(duration value) {
  return std::chrono::duration<double>(value).count();
}

} // namespace

std::string to_text(const soak_report& report) {
  std::vector<std::pair<duration, std::string>> lines;
  for (const auto& it : report.faults) {
    lines.emplace_back(it.at, "fault      " + it.what);
  }
  for (const auto& it : report.violations) {
    lines.emplace_back(it.at, "VIOLATION  " + it.promise + ": " + it.detail);
  }
  std::stable_sort(lines.begin(), lines.end(),
                   [](const auto& a, const auto& b) { return a.first < b.first; });
  std::string text;
  char buf[160];
  for (const auto& [at, line] : lines) {
    std::snprintf(buf, sizeof(buf), "%9.3f s  ", in_seconds(at));
    text += buf + line + "\n";
  }
  std::snprintf(buf, sizeof(buf),
                "seed %llu: %zu requests, %zu runs, %zu faults, %.3f served after the faults, ",
                static_cast<unsigned long long>(report.seed), report.requests, report.runs,
                report.faults.size(), report.served_after);
  return text + buf + std::to_string(report.violations.size()) + " violations\n";
}

soak_run::soak_run(soak_options options)
    : options_(std::move(options)), start_(loop_.now()), random_(options_.seed),
      limit_random_(options_.seed), restoration_random_(options_.seed),
      seen_(start_), all_{loop_,
                          seen_,
                          random_,
                          options_.folder,
                          options_.first_port,
                          {"127.0.0.1", options_.first_port}},
      store_(loop_, all_.store) {
  for (std::size_t i = 0; i < accounts; ++i) {
    keys_.push_back("key-" + std::to_string(++keys_made_));
  }
  configure();
  for (std::size_t i = 0; i < options_.vms; ++i) {
    vms_.push_back(std::make_unique<vm>(all_, i, i % 2 == 0 ? "front" : "deep",
                                        "dc" + std::to_string(i / 2 % 3)));
  }
}

milliseconds soak_run::usual_pause() const {
  return caller_pause_per_vm * vms_.size();
}

milliseconds soak_run::between(int low, int high) {
  return milliseconds(low + static_cast<int>(random_() % static_cast<std::uint64_t>(high - low)));
}

void soak_run::note(const std::string& what) {
  faults_.push_back({loop_.now() - start_, what});
}

bool soak_run::calm() const {
  return store_stable() &&
         std::all_of(vms_.begin(), vms_.end(), [](const auto& it) { return it->calm(); });
}

void soak_run::configure() {
  auto tenants = json::array();
  for (std::size_t i = 0; i < accounts; ++i) {
    tenants.push_back({{"name", account_name(i)},
                       {"api-keys", json::array({keys_[i]})},
                       {"rate-per-s", account_rate},
                       {"burst", account_burst}});
  }
  version_ += 1 + random_() % 5;
  written_ = configuration_of(tenants);
  write_configuration();
}

void soak_run::write_configuration() {
  store_.put("config", "main", written_);
}

json soak_run::configuration_of(const json& tenants) const {
  char text[16];
  std::snprintf(text, sizeof(text), "%08llx", static_cast<unsigned long long>(version_));
  return {{"version", text},
          {"limits",
           {{"max-header-bytes", 8'192},
            {"max-body-bytes", 65'536},
            {"header-timeout-ms", 2'000},
            {"idle-timeout-ms", 10'000}}},
          {"tenants", tenants},
          {"clusters", json::array({{{"name", "front"}, {"health-path", "/up"}},
                                    {{"name", "deep"}, {"health-path", "/up"}}})},
          {"listeners",
           json::array({{{"host", "127.0.0.1"},
                         {"rules", json::array({rule("/front/read/", "safe", "front", false),
                                                rule("/front/once/", "unsafe", "front", false),
                                                rule("/deep/read/", "safe", "deep", false),
                                                rule("/deep/once/", "unsafe", "deep", false),
                                                rule("/below/", "safe", "deep", true)})}}})}};
}

void soak_run::change_keys() {
  const std::size_t i = random_() % accounts;
  const std::string old = keys_[i];
  keys_[i] = "key-" + std::to_string(++keys_made_);
  note("the key of " + account_name(i) + " is withdrawn and another given");
  configure();
  seen_.withdrawn(loop_.now(), old);
  for (auto& it : callers_) {
    // Some callers go on with the old key.
    if (it->account() == account_name(i) && random_() % 3 != 0) {
      it->set_key(keys_[i]);
    }
  }
  loop_.after(seconds(4), [this, i] {
    for (auto& it : callers_) {
      if (it->account() == account_name(i)) {
        it->set_key(keys_[i]);
      }
    }
  });
}

void soak_run::surge() {
  const std::string account = account_name(random_() % accounts);
  note(account + " sends several times its usual");
  for (auto& it : callers_) {
    if (it->account() == account) {
      it->set_pause(surge_pause);
      loop_.after(between(1'000, 4'000),
                  [one = it.get(), usual = usual_pause()] { one->set_pause(usual); });
    }
  }
}

void soak_run::disturb_link(vm& at, bool store_side) {
  proxy& link = store_side ? at.store() : at.peers();
  const std::string where = std::string(store_side ? " store link" : " peer links") + " of vm" +
                            std::to_string(at.number());
  const milliseconds length = between(300, 4'000);
  at.disturbed(length);
  if (!store_side) {
    // Links join two nodes; the others hear less, too.
    for (auto& it : vms_) {
      it->disturbed(length);
    }
  }
  switch (random_() % 5) {
  case 0:
    note("reset" + where);
    link.reset();
    return;
  case 1:
    note("delay" + where);
    link.set(link_state::delayed, between(20, 300));
    break;
  case 2:
    note("silence" + where);
    link.set(link_state::silent);
    break;
  case 3:
    note("cut one way" + where);
    link.set(link_state::one_way);
    break;
  default:
    note("refuse" + where);
    link.set(link_state::refused);
    link.reset();
    break;
  }
  loop_.after(length, [&link] { link.set(link_state::open); });
}

void soak_run::disturb_store() {
  const milliseconds length = between(500, 4'000);
  store_disturbed_until_ = std::max(store_disturbed_until_, loop_.now() + length);
  switch (random_() % 3) {
  case 0:
    note("the store is down");
    store_.down = true;
    loop_.after(length, [this] { store_.down = false; });
    break;
  case 1:
    note("the store loses answers to writes");
    store_.lose_write_answers = true;
    loop_.after(length, [this] { store_.lose_write_answers = false; });
    break;
  default:
    note("the store forgets its history");
    store_.forget_history();
    break;
  }
}

void soak_run::restore_store() {
  const milliseconds away(restoration_random_() % 3'000);
  const milliseconds pause(restoration_random_() % 1'000);
  note("the store is away and comes back from an older copy");
  store_disturbed_until_ = std::max(store_disturbed_until_, loop_.now() + away + pause);
  store_.down = true;
  loop_.after(away, [this, pause] {
    store_.restore();
    store_.down = false;
    // The operator writes again what it has confirmed.
    loop_.after(pause, [this] { write_configuration(); });
  });
}

void soak_run::copy_store() {
  store_.save();
  loop_.after(store_copy_interval, [this] { copy_store(); });
}

void soak_run::plan_restorations() {
  std::uniform_int_distribution<std::int64_t> pause(restoration_pause.count() / 2,
                                                    restoration_pause.count() * 3 / 2);
  loop_.after(milliseconds(pause(restoration_random_)), [this] {
    if (loop_.now() - start_ < options_.length - cool_down) {
      restore_store();
      plan_restorations();
    }
  });
}

void soak_run::inject() {
  vm& at = any_vm();
  const std::string name = "vm" + std::to_string(at.number());
  switch (random_() % 14) {
  case 0:
    note("kill " + name);
    at.kill();
    break;
  case 1:
  case 2:
    note("terminate " + name);
    at.terminate();
    break;
  case 3:
    note("pause " + name);
    at.pause(between(100, 3'000));
    break;
  case 4:
    note("crash the target of " + name);
    at.crash_target(between(100, 3'000));
    break;
  case 5:
    note("replace the target of " + name);
    at.replace_target();
    break;
  case 6:
  case 7:
    disturb_link(at, false);
    break;
  case 8:
    disturb_link(at, true);
    break;
  case 9:
    disturb_store();
    break;
  case 10:
    change_keys();
    break;
  case 11:
    note("SIGHUP to " + name);
    at.hang_up();
    break;
  case 12:
    surge();
    break;
  default:
    note("kill all nodes");
    for (auto& it : vms_) {
      it->kill();
    }
    break;
  }
}

void soak_run::plan_faults() {
  std::exponential_distribution<double> pause(1.0 / static_cast<double>(fault_pause.count()));
  loop_.after(milliseconds(1 + static_cast<std::int64_t>(pause(random_))), [this] {
    if (loop_.now() - start_ < options_.length - cool_down) {
      inject();
      plan_faults();
    }
  });
}

void soak_run::plan_limits() {
  std::uniform_int_distribution<std::int64_t> pause(limit_pause.count() / 2,
                                                    limit_pause.count() * 2);
  loop_.after(milliseconds(pause(limit_random_)), [this] {
    if (loop_.now() - start_ < options_.length - cool_down) {
      vm& at = *vms_[limit_random_() % vms_.size()];
      const double limit = std::uniform_real_distribution<double>(1, 12)(limit_random_);
      note("the target of vm" + std::to_string(at.number()) + " takes " + std::to_string(limit) +
           " requests a second");
      at.limit_target(limit, limit_length);
      plan_limits();
    }
  });
}

soak_report soak_run::run() {
  copy_store();
  loop_.after(warm_up, [this] {
    for (std::size_t i = 0; i < vms_.size() * callers_per_vm; ++i) {
      callers_.push_back(std::make_unique<caller>(all_, *this, *vms_[i % vms_.size()],
                                                  account_name(i / vms_.size() % accounts),
                                                  "c" + std::to_string(i)));
      callers_.back()->set_pause(usual_pause());
      callers_.back()->set_key(keys_[i / vms_.size() % accounts]);
    }
    plan_faults();
    plan_limits();
    plan_restorations();
  });
  loop_.after(options_.length, [this] {
    for (auto& it : callers_) {
      it->stop();
    }
    loop_.after(seconds(2), [this] { over_ = true; });
  });
  while (!over_) {
    loop_.run_once(milliseconds(50));
  }
  const auto [asked, served] = seen_.served_since(start_ + options_.length - judged_end);
  const double part = asked == 0 ? 0 : static_cast<double>(served) / static_cast<double>(asked);
  if (part < served_after_faults) {
    seen_.violated(loop_.now(), "recovery",
                   std::to_string(served) + " of " + std::to_string(asked) +
                       " requests are served after all faults");
  }
  for (auto& it : vms_) {
    if (!it->stop_for_good()) {
      seen_.violated(loop_.now(), "orderly end",
                     "vm" + std::to_string(it->number()) + " does not end when it is told to");
    }
  }
  return {options_.seed, faults_, seen_.violations(), seen_.size(), seen_.runs(), part};
}

} // namespace damaskledge::soak
