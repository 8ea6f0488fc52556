// The store turns one machine away while the target beside it leaves; the node is killed at the end
// of that time. A heartbeat that the target sent before it left arrives late.
#include "rig.h"

using namespace rig;

namespace {

constexpr double drain_s = 2;
constexpr double stable_window_s = 3;
/// Times after the start of the disturbed span.
constexpr double heartbeat_sent_s = 1.3;
constexpr double leave_s = 1.5;
constexpr double kill_s = 2.9;
constexpr double store_back_s = 3.1;
constexpr double start_s = 3.4;
constexpr double heartbeat_arrives_s = 4.0;
constexpr double target_ends_s = 11;
constexpr double length_s = 13;

std::string heartbeat(const machine& at, const std::string& instance, long long born, int sequence) {
  const json body{
      {"address", at.ip + ":" + std::to_string(at.app)},
      {"born", born},
      {"info", {{"service", at.service}, {"version", "v1"}, {"zone", at.zone}, {"slots", 68}}},
      {"status", {{"state", "ready"}, {"sequence", sequence}, {"cold-remaining-ms", 0}}}};
  const std::string text = body.dump();
  return "POST /instances/" + instance + "/heartbeat HTTP/1.1\r\nHost: x\r\nContent-Type: " +
         "application/json\r\nContent-Length: " + std::to_string(text.size()) + "\r\n\r\n" + text;
}

/// @return status of the node's answer, 0 for none.
int tell(const machine& at, const std::string& message) {
  connection c(connect_to(at.ip, at.control));
  if (c.fd < 0) {
    return 0;
  }
  send_all(c.fd, message);
  return read_answer(c, 1).status;
}

} // namespace

int main(int argc, char** argv) {
  return run_case(argc, argv, [](recorder& record) {
    place here;
    const std::string store_ip = here.prefix + "1";
    const std::string door_ip = here.prefix + "4";
    store platform(store_ip, 8545);
    std::atomic<bool> busy{false};
    platform.open_door(door_ip, 8545, busy);
    const machine a{"sidecar-a-1", here.prefix + "2", "zone-a", "depot"};
    const machine b{"sidecar-b-1", here.prefix + "3", "zone-b", "depot"};
    const machine third{"sidecar-c-1", here.prefix + "5", "zone-c", "depot"};
    platform.put("config", "main",
                 configuration("00000003", {"depot"},
                               json::array({route("r-1", "unsafe", "/deposit/", "depot", 3000, 2)})));
    const std::string leaver = "i-" + new_id();
    const std::string stayer = "i-" + new_id();
    const std::string other_stayer = "i-" + new_id();
    std::mutex mutex;
    std::map<std::string, double> at_leaver;
    std::atomic<bool> leaving{false};
    std::atomic<bool> gone{false};
    const auto serve = [&](connection& c, const std::string& instance, bool is_leaver) {
      while (const auto h = c.read_head(0.05 + 60)) {
        if (is_leaver && gone) {
          return;
        }
        if (h->word(1) == "/health") {
          send_all(c.fd, "HTTP/1.1 " + std::string(is_leaver && leaving ? "503" : "200") +
                             " X\r\nX-Instance-Id: " + instance + "\r\nContent-Length: 0\r\n\r\n");
          continue;
        }
        std::string body;
        if (!c.read_body(length_of(*h), body, 10)) {
          return;
        }
        const std::string id = h->field("x-request-id");
        record.line("target of %s runs %s",
                    is_leaver ? "A" : instance == stayer ? "B" : "C", id.c_str());
        if (is_leaver) {
          const std::lock_guard guard(mutex);
          at_leaver[id] = now_s();
        }
        sleep_s(0.2);
        if (is_leaver && gone) {
          return;
        }
        send_all(c.fd, answer_head(*h, 200, length_field(2)) + "ok");
      }
    };
    auto target_a = std::make_unique<server>(
        a.ip, a.app, [&](connection& c) { serve(c, leaver, true); });
    server target_b(b.ip, b.app, [&](connection& c) { serve(c, stayer, false); });
    server target_c(third.ip, third.app,
                    [&](connection& c) { serve(c, other_stayer, false); });
    node node_a(a, door_ip + ":8545", here.folder);
    node node_b(b, store_ip + ":8545", here.folder);
    node node_c(third, store_ip + ":8545", here.folder);
    node_a.start();
    node_b.start();
    node_c.start();
    heartbeats beats_b(b, stayer, 68);
    heartbeats beats_c(third, other_stayer, 68);
    const long long born = unix_ms();
    if (!node_a.await_ready(10) || !node_b.await_ready(10) ||
        !node_c.await_ready(10)) {
      cannot_run("the nodes are not ready");
    }
    tell(a, heartbeat(a, leaver, born, 1));
    sleep_s(1.5);
    tell(a, heartbeat(a, leaver, born, 2));
    sleep_s(1.5);
    const bool disturbed = trouble();
    const double began = now_s();
    const auto until = [&](double s) { sleep_s(std::max(0.0, began + s - now_s())); };
    std::atomic<bool> over{false};
    std::atomic<int> failed_late{0};
    std::vector<std::thread> callers;
    for (int i = 0; i < 8; ++i) {
      callers.emplace_back([&] {
        while (!over) {
          connection c(connect_to(a.ip, a.outbound));
          if (c.fd < 0) {
            sleep_s(0.1);
            continue;
          }
          const std::string id = new_id();
          record.line("client sends %s", id.c_str());
          send_all(c.fd, request_head("POST", "/deposit/x/", id, 4000, 7) + "deposit");
          const answer got = read_answer(c, 4.5);
          record.line("client gets %d for %s", got.status, id.c_str());
          const std::lock_guard guard(mutex);
          if (got.status >= 500 && at_leaver.count(id) != 0 && now_s() - began > start_s) {
            ++failed_late;
          }
          sleep_s(0.05);
        }
      });
    }
    if (disturbed) {
      busy = true;
      record.line("the store turns A away");
    }
    until(heartbeat_sent_s);
    const std::string late = heartbeat(a, leaver, born, 3);
    record.line("target of A sends a heartbeat, which will be late");
    until(leave_s);
    leaving = true;
    const int acknowledged =
        tell(a, "POST /instances/" + leaver + "/deregister HTTP/1.1\r\nHost: x\r\n"
                "Content-Length: 0\r\n\r\n");
    const double acknowledged_at = now_s();
    record.line("the leave of the target of A is answered %d", acknowledged);
    if (acknowledged != 200) {
      cannot_run("the leave was not acknowledged");
    }
    until(kill_s);
    if (disturbed) {
      record.line("the node of A is killed");
      node_a.stop(SIGKILL);
    }
    until(store_back_s);
    busy = false;
    record.line("the store serves A");
    until(start_s);
    if (disturbed) {
      node_a.start(false);
      record.line("the node of A is started");
    }
    const double in_touch_from = now_s() + stable_window_s;
    until(heartbeat_arrives_s);
    record.line("the late heartbeat is answered %d", tell(a, late));
    until(target_ends_s);
    gone = true;
    record.line("the target of A ends");
    target_a.reset();
    until(length_s);
    over = true;
    for (auto& it : callers) {
      it.join();
    }
    int late_runs = 0;
    int counted = 0;
    for (const auto& [id, at] : at_leaver) {
      late_runs += at > acknowledged_at + drain_s ? 1 : 0;
      counted += at > acknowledged_at + drain_s && at > in_touch_from + 0.2 ? 1 : 0;
    }
    record.line("%d requests reached the target of A more than drain-ms after the acknowledgement, %d "
                "of them from the node in touch; %d failed there", late_runs, counted,
                failed_late.load());
    return counted == 0;
  });
}
