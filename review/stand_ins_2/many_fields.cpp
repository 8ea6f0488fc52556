// One of two targets answers one in 20 requests with bytes that are no answer and do not end: interim
// heads of many short fields, until the caller closes.
#include "rig.h"

using namespace rig;

namespace {

constexpr double work_s = 0.02;
constexpr int timeout_ms = 1200;
constexpr int deadline_ms = 5000;
constexpr double requests_per_s = 40;
constexpr double length_s = 15;
constexpr double garbled_from_s = 2;
constexpr double garbled_for_s = 5;
constexpr int garbled_one_in = 20;
/// Bytes of one head; nodes accept 64 KiB.
constexpr std::size_t head_bytes = 64'000;

std::string interim_head() {
  std::string text = "HTTP/1.1 100 Continue\r\n";
  while (text.size() < head_bytes) {
    text += "a:\r\n";
  }
  return text + "\r\n";
}

} // namespace

int main(int argc, char** argv) {
  return run_case(argc, argv, [](recorder& record) {
    place here;
    const std::string store_ip = here.prefix + "1";
    store platform(store_ip, 8545);
    const machine a{"sidecar-a-1", here.prefix + "2", "zone-a", "depot"};
    const machine b{"sidecar-b-1", here.prefix + "3", "zone-b", "depot"};
    platform.put("config", "main",
                 configuration("00000003", {"depot"},
                               json::array({route("r-1", "unsafe", "/deposit/", "depot", timeout_ms, 2)})));
    std::atomic<bool> garbling{false};
    std::atomic<int> answers{0};
    std::atomic<int> garbled{0};
    const std::string endless = interim_head();
    const auto serve = [&](connection& c, const std::string& instance, bool faulty) {
      while (const auto h = c.read_head(60)) {
        if (answer_health(c, *h, instance)) {
          continue;
        }
        std::string body;
        if (!c.read_body(length_of(*h), body, 10)) {
          return;
        }
        const std::string id = h->field("x-request-id");
        record.line("target of %s runs %s", faulty ? "A" : "B", id.c_str());
        sleep_s(work_s);
        if (faulty && garbling && ++answers % garbled_one_in == 0) {
          ++garbled;
          std::size_t sent = 0;
          const double until = now_s() + 10;
          while (now_s() < until && send_all(c.fd, endless)) {
            sent += endless.size();
          }
          record.line("target of A answered %s with garbage, %zu bytes until the caller closed",
                      id.c_str(), sent);
          return;
        }
        send_all(c.fd, answer_head(*h, 200, length_field(2)) + "ok");
      }
    };
    const std::string first = "i-" + new_id();
    const std::string second = "i-" + new_id();
    server target_a(a.ip, a.app, [&](connection& c) { serve(c, first, true); });
    server target_b(b.ip, b.app, [&](connection& c) { serve(c, second, false); });
    node node_a(a, store_ip + ":8545", here.folder);
    node node_b(b, store_ip + ":8545", here.folder);
    node_a.start();
    node_b.start();
    heartbeats beats_a(a, first, 68);
    heartbeats beats_b(b, second, 68);
    if (!node_a.await_ready(10) || !node_b.await_ready(10)) {
      cannot_run("the nodes are not ready");
    }
    // In touch: longer than stable-window-ms since the start.
    sleep_s(3.5);
    std::mutex mutex;
    int late = 0;
    int very_late = 0;
    int total = 0;
    std::vector<std::thread> callers;
    const double began = now_s();
    std::atomic<bool> over{false};
    double longest_ready = 0;
    std::thread probe([&] {
      while (!over) {
        const double asked = now_s();
        connection c(connect_to(a.ip, a.ready));
        send_all(c.fd, "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n");
        (void)read_answer(c, 20);
        longest_ready = std::max(longest_ready, now_s() - asked);
        sleep_s(0.2);
      }
    });
    while (now_s() - began < length_s) {
      const double t = now_s() - began;
      garbling = trouble() && t > garbled_from_s && t < garbled_from_s + garbled_for_s;
      callers.emplace_back([&] {
        connection c(connect_to(a.ip, a.outbound));
        const std::string id = new_id();
        const double sent = now_s();
        record.line("client sends %s", id.c_str());
        send_all(c.fd, request_head("POST", "/deposit/x/", id, deadline_ms, 7) + "deposit");
        const answer got = read_answer(c, deadline_ms / 1000.0);
        const double took = now_s() - sent;
        record.line("client gets %d for %s after %.3f s", got.status, id.c_str(), took);
        const std::lock_guard guard(mutex);
        ++total;
        late += took > timeout_ms / 1000.0 ? 1 : 0;
        very_late += took > timeout_ms / 1000.0 + 0.5 ? 1 : 0;
      });
      sleep_s(1 / requests_per_s);
    }
    for (auto& it : callers) {
      it.join();
    }
    over = true;
    probe.join();
    record.line("%d requests, %d unanswered at timeout-ms, %d of them still unanswered 0.5 s later; "
                "longest wait for /ready %.1f s; %d of %d answers of the target of A were garbage",
                total, late, very_late, longest_ready, garbled.load(), answers.load());
    return !(very_late >= 8 && very_late * 4 > late);
  });
}
