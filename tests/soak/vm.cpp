#include "soak/vm.h"

#include <algorithm>
#include <array>
#include <functional>

#include <nlohmann/json.hpp>

namespace damaskledge::soak {

namespace {

using nlohmann::json;

constexpr std::uint16_t ports_per_vm = 10;
constexpr milliseconds announce_interval{500};
constexpr milliseconds watch_interval{50};
/// Announcements from before a leave arrive this long after its acknowledgement.
constexpr std::array<milliseconds, 2> late_announcements{milliseconds(700), milliseconds(2'200)};
/// After some leaves the node is killed this long after it has acknowledged them.
constexpr milliseconds kill_after_leave{200};
/// The platform starts an ended process again after this time.
constexpr milliseconds restart_pause{300};
/// Mean time for which a run holds a slot.
constexpr double run_ms = 15;
/// What a target that names a limit takes at most in one window (the users' bound).
constexpr milliseconds limit_window{4'000};
constexpr double limit_factor = 1.5;
constexpr double limit_slack = 5;

std::string text_of(const endpoint& value) {
  return to_string(value);
}

} // namespace

vm::vm(surroundings& all, std::size_t number, std::string service, std::string data_centre)
    : all_(all), number_(number), service_(std::move(service)),
      data_centre_(std::move(data_centre)), peers_(all.loop, at(3), at(4)),
      store_(all.loop, at(5), all.store) {
  start_target();
  start_node(true);
  watch_node();
  announce();
}

endpoint vm::at(int offset) const {
  return {"127.0.0.1",
          static_cast<std::uint16_t>(all_.first_port + (number_ + 1) * ports_per_vm + offset)};
}

void vm::start_node(bool first) {
  const std::string file = all_.folder + "/vm" + std::to_string(number_) + ".json";
  const json settings{{"name", "vm" + std::to_string(number_)},
                      {"data_centre", data_centre_},
                      {"service", service_},
                      {"caller_address", text_of(at(0))},
                      {"ready_address", text_of(at(1))},
                      {"announce_address", text_of(at(2))},
                      {"peer_address", text_of(at(3))},
                      {"peer_listen_address", text_of(at(4))},
                      {"store_address", text_of(at(5))},
                      {"upstream_address", text_of(at(6))},
                      {"first_start", first},
                      {"drain_limit_ms", drain_limit.count()},
                      {"grace_s", grace.count()}};
  failure::write_file(file, settings.dump(1));
  node_ = std::make_unique<failure::child_process>(
      failure::program_folder() + "/damaskledge-sidecar",
      std::vector<std::string>{"--settings", file},
      all_.folder + "/vm" + std::to_string(number_) + ".log");
  paused_ = false;
  terminating_ = false;
}

void vm::watch_node() {
  if (node_ && !node_->running()) {
    node_.reset();
    if (terminating_) {
      planned_until_ = all_.loop.now();
    } else {
      disturbed();
    }
    if (!stopped_for_good_) {
      all_.loop.after(restart_pause, [this] {
        if (!stopped_for_good_ && !node_) {
          start_node(false);
        }
      });
    }
  }
  all_.loop.after(watch_interval, [this] { watch_node(); });
}

bool vm::running() {
  return node_ && node_->running();
}

void vm::disturbed(milliseconds length) {
  disturbed_until_ = std::max(disturbed_until_, all_.loop.now() + length);
}

bool vm::calm() const {
  return all_.loop.now() - disturbed_until_ > stable_window;
}

bool vm::in_touch() const {
  return node_ && !terminating_ && calm() && all_.loop.now() - planned_until_ > stable_window;
}

void vm::kill() {
  disturbed();
  if (node_) {
    node_->signal(SIGKILL);
  }
}

void vm::terminate() {
  if (!node_ || paused_ || terminating_) {
    return;
  }
  terminating_ = true;
  node_->signal(SIGTERM);
  const pid_t id = node_->id();
  all_.loop.after(grace, [this, id] {
    if (node_ && node_->id() == id && node_->running()) {
      if (!paused_) {
        all_.seen.violated(all_.loop.now(), "orderly end",
                           "vm" + std::to_string(number_) + " runs at the end of its grace");
      }
      disturbed();
      node_->signal(SIGKILL);
    }
  });
}

void vm::pause(milliseconds length) {
  disturbed(length);
  if (!node_ || paused_ || terminating_) {
    return;
  }
  paused_ = true;
  node_->signal(SIGSTOP);
  const pid_t id = node_->id();
  all_.loop.after(length, [this, id] {
    if (node_ && node_->id() == id) {
      node_->signal(SIGCONT);
      paused_ = false;
    }
  });
}

void vm::hang_up() {
  if (node_) {
    node_->signal(SIGHUP);
  }
}

bool vm::stop_for_good() {
  stopped_for_good_ = true;
  if (!node_) {
    return true;
  }
  node_->signal(SIGCONT);
  node_->signal(SIGTERM);
  const bool ended = node_->wait(grace + milliseconds(500)).has_value();
  node_.reset();
  return ended;
}

void vm::start_target() {
  ++starts_;
  instance_ = "i-" + std::to_string(number_) + "-" + std::to_string(starts_);
  born_ = unix_now();
  sequence_ = 0;
  leaving_ = false;
  leaves_silently_ = starts_ % 2 != 0;
  last_ready_ = {};
  leaving_acknowledged_.reset();
  leaving_answered_.reset();
  limit_.reset();
  running_.clear();
  target_ = std::make_unique<sidecar::http_service>(
      all_.loop,
      sidecar::http_service::events{
          [this](sidecar::request_handle from, http::request& it) { on_request(from, it); },
          [this](sidecar::request_handle from) { running_.erase(from); },
      });
  if (!target_->listen(at(6))) {
    all_.seen.violated(all_.loop.now(), "soak", "the target's port is taken");
  }
}

void vm::crash_target(milliseconds down) {
  if (!target_) {
    return;
  }
  disturbed(down);
  running_.clear();
  // Its connections may have work deferred in this round.
  all_.loop.defer([old = std::shared_ptr<sidecar::http_service>(std::move(target_))] {});
  all_.loop.after(std::max(down, milliseconds(20)), [this] { start_target(); });
}

void vm::replace_target() {
  if (target_ && !leaving_) {
    disturbed(drain_limit * 2);
    leaving_ = true;
  }
}

void vm::limit_target(double requests_per_s, milliseconds length) {
  limit_ = requests_per_s;
  limit_named_.reset();
  arrivals_.clear();
  all_.loop.after(length, [this, instance = instance_] {
    if (instance == instance_) {
      limit_.reset();
    }
  });
}

void vm::check_limit() {
  const time_point now = all_.loop.now();
  if (!limit_ || !limit_named_ || now - *limit_named_ < stable_window) {
    return;
  }
  arrivals_.push_back(now);
  while (now - arrivals_.front() > limit_window) {
    arrivals_.pop_front();
  }
  const double allowed =
      *limit_ * limit_factor * std::chrono::duration<double>(limit_window).count() + limit_slack;
  if (static_cast<double>(arrivals_.size()) > allowed) {
    all_.seen.violated(now, "limits of targets",
                       std::to_string(arrivals_.size()) + " requests reached " + instance_ +
                           " in 4 s, which takes " + std::to_string(*limit_) + " a second");
    arrivals_.clear();
  }
}

void vm::announce() {
  all_.loop.after(announce_interval, [this] { announce(); });
  const bool farewell = leaving_ && leaves_silently_;
  if (!target_ || (announcer_ && announcer_->busy()) || (farewell && leaving_acknowledged_)) {
    return;
  }
  http::request call;
  call.method = "POST";
  call.target = "/instances/" + instance_ + (farewell ? "/deregister" : "/heartbeat");
  call.body =
      json{{"address", text_of(at(6))},
           {"born", born_},
           {"info", {{"service", service_}, {"slots", target_slots}}},
           {"status", {{"state", leaving_ ? "draining" : "ready"}, {"sequence", ++sequence_}}}}
          .dump();
  if (!leaving_) {
    last_ready_ = call;
  }
  announcer_ = std::make_unique<sidecar::store_channel>(all_.loop, at(2));
  announcer_->call(std::move(call), milliseconds(1'000),
                   [this, instance = instance_, leaving = leaving_](sidecar::store_answer answer) {
                     if (!leaving || answer.status != 200 || instance != instance_ ||
                         leaving_acknowledged_) {
                       return;
                     }
                     leave_acknowledged();
                   });
}

void vm::leave_acknowledged() {
  leaving_acknowledged_ = all_.loop.now();
  const auto unless_replaced = [this](milliseconds delay, const std::function<void()>& task) {
    all_.loop.after(delay, [this, instance = instance_, task] {
      if (instance == instance_) {
        task();
      }
    });
  };
  if ((starts_ + number_) % 2 == 0) {
    unless_replaced(kill_after_leave, [this] { kill(); });
  }
  for (const milliseconds it : late_announcements) {
    unless_replaced(it, [this] { announce_late(); });
  }
  // It goes on serving for a while after it may get nothing new.
  unless_replaced(drain_limit * 2, [this] { crash_target(milliseconds(500)); });
}

void vm::announce_late() {
  if (!last_ready_.target.empty() && !(late_announcer_ && late_announcer_->busy())) {
    late_announcer_ = std::make_unique<sidecar::store_channel>(all_.loop, at(2));
    late_announcer_->call(last_ready_, milliseconds(1'000), [](const sidecar::store_answer&) {});
  }
}

void vm::answer(sidecar::request_handle to, const std::string& id, int status) {
  if (!target_ || running_.erase(to) == 0) {
    return;
  }
  std::string head = "HTTP/1.1 " + std::to_string(status) + " X\r\nX-Request-Id: " + id +
                     "\r\nX-Response-Stamp: stamp-" + id + "\r\n";
  if (limit_) {
    limit_named_ = limit_named_.value_or(all_.loop.now());
    head += "Server-Limit: " + std::to_string(*limit_) + "\r\n";
  }
  if (leaving_) {
    leaving_answered_ = leaving_answered_.value_or(all_.loop.now());
    head += "Server-Leaving: 1\r\n";
  }
  target_->respond(to, head, "body of " + id);
}

void vm::on_request(sidecar::request_handle from, http::request& it) {
  if (!target_) {
    return;
  }
  const auto field = [&](const char* name) {
    const std::string* value = it.fields.find(name);
    return value == nullptr ? std::string() : *value;
  };
  if (it.target == "/up") {
    target_->respond(from,
                     "HTTP/1.1 " + std::string(leaving_ ? "503 X" : "200 X") +
                         "\r\nX-Instance-Id: " + instance_ + "\r\n",
                     "");
    return;
  }
  check_limit();
  const std::string id = field("X-Request-Id");
  const std::string expected = field("X-Expect-Instance");
  const bool another = !expected.empty() && expected != instance_;
  if (another || running_.size() >= target_slots) {
    target_->respond(from,
                     "HTTP/1.1 " + std::string(another ? "421 X" : "503 X") +
                         "\r\nX-Request-Id: " + id + "\r\nX-Not-Executed: 1\r\n",
                     "");
    return;
  }
  const auto told = [&](const std::optional<time_point>& at) {
    return at && all_.loop.now() - *at > drain_limit;
  };
  if (told(leaving_acknowledged_) || told(leaving_answered_)) {
    all_.seen.violated(all_.loop.now(), "leaving targets",
                       id + " reached " + instance_ + " after its drain limit");
  }
  const request_record* asked = all_.seen.find(id);
  // The services of VMs alternate; a call is known by the VM of its parent.
  const std::string origin = asked == nullptr ? "" : (asked->vm % 2 == 0 ? "front" : "deep");
  all_.seen.ran(all_.loop.now(), id, field("X-Tenant"), field("X-Caller-Service"), origin,
                it.fields.find("X-Key") != nullptr);
  running_.insert(from);
  run(from, id, it.target.rfind("/front/", 0) == 0);
}

void vm::run(sidecar::request_handle from, const std::string& id, bool calls) {
  std::exponential_distribution<double> length(1 / run_ms);
  const milliseconds held(1 + static_cast<std::int64_t>(length(all_.random)));
  all_.loop.after(held, [this, from, id, calls, instance = instance_] {
    if (instance != instance_ || running_.count(from) == 0) {
      return;
    }
    if (calls) {
      call_below(from, id);
    } else {
      answer(from, id, 200);
    }
  });
}

void vm::call_below(sidecar::request_handle from, const std::string& id) {
  request_record call;
  call.id = id + ".c" + std::to_string(++calls_);
  call.vm = number_;
  call.inner = true;
  all_.seen.sent(all_.loop.now(), call);
  auto channel = std::make_shared<sidecar::store_channel>(all_.loop, at(0));
  http::request message;
  message.method = "GET";
  message.target = "/below/x";
  message.fields.add("X-Request-Id", call.id);
  message.fields.add("X-Deadline-Ms", "800");
  channel->call(std::move(message), milliseconds(800),
                [this, from, id, channel, instance = instance_](sidecar::store_answer result) {
                  // The channel outlives its own call.
                  all_.loop.defer([channel] {});
                  if (instance == instance_) {
                    answer(from, id, result.status == 200 ? 200 : 500);
                  }
                });
}

} // namespace damaskledge::soak
