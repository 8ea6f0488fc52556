// All copies of a service, one here, turn slow while callers deposit recordings of 16 MB. The platform's part is played
// here: a process whose memory exceeds `memory-mb` is killed and started again.
#include "rig.h"

using namespace rig;

namespace {

constexpr long memory_mb = 260;
constexpr std::size_t deposit_bytes = 16 * 1000 * 1000;
constexpr double work_s = 0.21;
constexpr double slow_factor = 12;
constexpr double slow_from_s = 5;
constexpr double slow_for_s = 9;
constexpr double length_s = 20;
constexpr double gap_s = 0.25;
constexpr int kept_connections = 40;

long resident_mb(pid_t pid) {
  std::ifstream in("/proc/" + std::to_string(pid) + "/status");
  for (std::string line; std::getline(in, line);) {
    if (line.rfind("VmRSS:", 0) == 0) {
      return std::atol(line.c_str() + 6) / 1024;
    }
  }
  return 0;
}

bool still_open(const connection& c) {
  char byte = 0;
  return recv(c.fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 && errno == EAGAIN;
}

} // namespace

int main(int argc, char** argv) {
  return run_case(argc, argv, [](recorder& record) {
    place here;
    const std::string store_ip = here.prefix + "1";
    store platform(store_ip, 8545);
    const machine at{"sidecar-a-1", here.prefix + "2", "zone-a", "depot"};
    platform.put("config", "main",
                 configuration("00000003", {"depot"},
                               json::array({route("r-1", "unsafe", "/deposit/", "depot", 4500, 2)})));
    const std::string instance = "i-" + new_id();
    std::atomic<bool> slow{false};
    std::mutex mutex;
    std::set<std::string> ran;
    server target(at.ip, at.app, [&](connection& c) {
      while (const auto h = c.read_head(60)) {
        if (answer_health(c, *h, instance)) {
          continue;
        }
        std::string body;
        if (!c.read_body(length_of(*h), body, 20)) {
          return;
        }
        const std::string id = h->field("x-request-id");
        record.line("target runs %s", id.c_str());
        {
          const std::lock_guard guard(mutex);
          ran.insert(id);
        }
        sleep_s(work_s * (slow ? slow_factor : 1));
        send_all(c.fd, answer_head(*h, 200, length_field(2)) + "ok");
      }
    });
    node sidecar(at, store_ip + ":8545", here.folder);
    sidecar.start();
    heartbeats beats(at, instance, 68);
    if (!sidecar.await_ready(10)) {
      cannot_run("the node is not ready");
    }
    sleep_s(2);
    std::atomic<bool> over{false};
    std::atomic<int> kills{0};
    long most = 0;
    std::thread guard([&] {
      while (!over) {
        const long now = resident_mb(sidecar.pid());
        most = std::max(most, now);
        if (now > memory_mb) {
          record.line("the node holds %ld MB, more than %ld: killed and started again", now, memory_mb);
          ++kills;
          sidecar.stop(SIGKILL);
          sleep_s(0.5);
          sidecar.start(false);
        }
        sleep_s(0.01);
      }
    });
    std::mutex idle_mutex;
    std::vector<std::unique_ptr<connection>> idle;
    // Callers keep their connections: each has been used once before.
    for (int i = 0; i < kept_connections; ++i) {
      auto c = std::make_unique<connection>(connect_to(at.ip, at.outbound));
      send_all(c->fd, request_head("POST", "/deposit/x/", new_id(), 5000, 2) + "xx");
      if (read_answer(*c, 5).status == 200) {
        idle.push_back(std::move(c));
      }
    }
    const double began = now_s();
    std::atomic<int> lost{0}, answered{0}, refused{0}, other{0};
    std::vector<std::thread> callers;
    const std::string body(deposit_bytes, 'b');
    while (now_s() - began < length_s) {
      slow = trouble() && now_s() - began > slow_from_s && now_s() - began < slow_from_s + slow_for_s;
      callers.emplace_back([&] {
        std::unique_ptr<connection> c;
        bool kept = false;
        {
          const std::lock_guard lock(idle_mutex);
          // Those that the node has closed meanwhile are left out.
          while (!idle.empty() && !still_open(*idle.front())) {
            idle.erase(idle.begin());
          }
          if (!idle.empty()) {
            c = std::move(idle.front());
            idle.erase(idle.begin());
            kept = true;
          }
        }
        if (!c) {
          c = std::make_unique<connection>(connect_to(at.ip, at.outbound));
        }
        if (c->fd < 0) {
          return;
        }
        const std::string id = new_id();
        record.line("client sends %s on a %s connection", id.c_str(), kept ? "kept" : "new");
        const bool sent = send_all(c->fd, request_head("POST", "/deposit/x/", id, 5000, body.size())) &&
                          send_all(c->fd, body);
        const answer got = read_answer(*c, 5.5);
        bool has_run = false;
        {
          const std::lock_guard lock(mutex);
          has_run = ran.count(id) != 0;
        }
        record.line("client gets %d for %s%s%s", got.status, id.c_str(),
                    got.status == 0 ? (", " + got.ended).c_str() : "",
                    got.status == 0 && has_run ? ", passed on to the target" : "");
        if (got.status == 0) {
          (sent && has_run && kept ? lost : other)++;
        } else {
          (got.status == 200 ? answered : refused)++;
        }
        if (got.whole && got.top.field("connection") != "close") {
          const std::lock_guard lock(idle_mutex);
          idle.push_back(std::move(c));
        }
      });
      sleep_s(gap_s);
    }
    for (auto& it : callers) {
      it.join();
    }
    over = true;
    guard.join();
    record.line("%d answered, %d refused or failed, %d passed on and closed without an answer on kept "
                "connections, %d others without an answer; %d kills; at most %ld MB",
                answered.load(), refused.load(), lost.load(), other.load(), kills.load(), most);
    return lost <= 3;
  });
}
