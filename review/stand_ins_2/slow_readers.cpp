// Callers read long answers slowly, but within their deadline. The platform's part is played here:
// a process whose memory exceeds `memory-mb` is killed and started again.
#include "rig.h"

using namespace rig;

namespace {

constexpr long memory_mb = 260;
constexpr std::size_t long_answer_bytes = 12'000'000;
constexpr double long_answers_per_s = 8;
constexpr double read_s = 4.5;
constexpr double length_s = 10;
constexpr int kept_connections = 16;

long resident_mb(pid_t pid) {
  std::ifstream in("/proc/" + std::to_string(pid) + "/status");
  for (std::string line; std::getline(in, line);) {
    if (line.rfind("VmRSS:", 0) == 0) {
      return std::atol(line.c_str() + 6) / 1024;
    }
  }
  return 0;
}

} // namespace

int main(int argc, char** argv) {
  return run_case(argc, argv, [](recorder& record) {
    place here;
    const std::string store_ip = here.prefix + "1";
    store platform(store_ip, 8545);
    const machine at{"sidecar-a-1", here.prefix + "2", "zone-a", "melodiebank"};
    platform.put("config", "main",
                 configuration("00000003", {"melodiebank"},
                               json::array({route("r-1", "safe", "/score/", "melodiebank", 5000, 2),
                                            route("r-2", "unsafe", "/note/", "melodiebank", 3000, 2)})));
    const std::string instance = "i-" + new_id();
    const std::string whole(long_answer_bytes, 'w');
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
        {
          const std::lock_guard guard(mutex);
          ran.insert(id);
        }
        const bool is_long = h->word(1).rfind("/score/", 0) == 0;
        record.line("target runs %s", id.c_str());
        sleep_s(is_long ? 0.05 : 0.3);
        send_all(c.fd, is_long ? answer_head(*h, 200, length_field(whole.size())) + whole
                               : answer_head(*h, 200, length_field(2)) + "ok");
      }
    });
    node sidecar(at, store_ip + ":8545", here.folder);
    sidecar.start();
    heartbeats beats(at, instance, 68);
    if (!sidecar.await_ready(10)) {
      cannot_run("the node is not ready");
    }
    // In touch: longer than stable-window-ms since the start.
    sleep_s(3.5);
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
        sleep_s(0.005);
      }
    });
    std::atomic<int> lost{0}, notes{0}, scores{0}, cut_scores{0};
    std::vector<std::thread> callers;
    // Ordinary requests on kept connections.
    for (int i = 0; i < kept_connections; ++i) {
      callers.emplace_back([&] {
        std::unique_ptr<connection> c;
        bool kept = false;
        while (!over) {
          if (!c) {
            c = std::make_unique<connection>(connect_to(at.ip, at.outbound));
            kept = false;
            if (c->fd < 0) {
              c.reset();
              sleep_s(0.2);
              continue;
            }
          }
          const std::string id = new_id();
          const bool sent =
              send_all(c->fd, request_head("POST", "/note/x/", id, 4000, 4) + "note");
          const answer got = read_answer(*c, 4.5);
          bool has_run = false;
          {
            const std::lock_guard lock(mutex);
            has_run = ran.count(id) != 0;
          }
          if (got.status == 0 && sent && has_run && kept) {
            ++lost;
            record.line("no answer to %s, %s, which the target was running, on a kept connection",
                        id.c_str(), got.ended.c_str());
          }
          notes += got.status == 200 ? 1 : 0;
          kept = true;
          if (!got.whole || got.top.field("connection") == "close") {
            c.reset();
          }
          sleep_s(0.05);
        }
      });
    }
    const double began = now_s();
    std::vector<std::thread> readers;
    while (now_s() - began < length_s) {
      readers.emplace_back([&] {
        connection c(connect_to(at.ip, at.outbound, 16384, 1460));
        if (c.fd < 0) {
          return;
        }
        const std::string id = new_id();
        record.line("client sends %s and reads %s", id.c_str(), trouble() ? "slowly" : "at once");
        send_all(c.fd, request_head("GET", "/score/1/", id, 6000, 0));
        const answer got =
            read_answer(c, 6, trouble() ? static_cast<double>(long_answer_bytes) / read_s : 0);
        record.line("client gets %d for %s, %zu of %zu bytes", got.status, id.c_str(),
                    got.body.size(), whole.size());
        (got.whole && got.status == 200 ? scores : cut_scores)++;
      });
      sleep_s(1 / long_answers_per_s);
    }
    for (auto& it : readers) {
      it.join();
    }
    over = true;
    for (auto& it : callers) {
      it.join();
    }
    guard.join();
    record.line("%d long answers whole, %d not; %d ordinary requests answered, %d passed on and closed "
                "without an answer on kept connections; %d kills; at most %ld MB",
                scores.load(), cut_scores.load(), notes.load(), lost.load(), kills.load(), most);
    return lost <= 3;
  });
}
