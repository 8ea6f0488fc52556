// One of two targets sends a second answer to 3 in 108 of its requests: to refusals, since it is
// full for a moment. These arrive late, while it runs the next request of the same connection. All
// answers carry the id of their request.
#include "rig.h"

using namespace rig;

namespace {

constexpr double late_s = 0.4;
constexpr double work_s = 0.005;
/// The request that finds a free slot after the refusals.
constexpr double long_work_s = 0.6;
/// Answers of the target at A in one turn: ordinary ones, then refusals, then a long run.
constexpr int ordinary = 104;
constexpr int refusals = 3;
constexpr double disturbed_for_s = 5;

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
                               json::array({route("r-1", "unsafe", "/deposit/", "depot", 4000, 2)})));
    std::atomic<bool> disturbed{false};
    std::atomic<int> answers{0};
    std::atomic<int> second_answers{0};
    std::mutex mutex;
    std::map<std::string, std::vector<std::string>> runs;
    const auto note_run = [&](const std::string& id, const std::string& at) {
      record.line("target of %s runs %s", at.c_str(), id.c_str());
      const std::lock_guard guard(mutex);
      runs[id].push_back(at);
    };
    const std::string first = "i-" + new_id();
    const std::string second = "i-" + new_id();
    server target_a(a.ip, a.app, [&](connection& c) {
      std::mutex sending;
      std::vector<std::thread> copies;
      int seen = 0;
      while (const auto h = c.read_head(30)) {
        if (answer_health(c, *h, first)) {
          continue;
        }
        std::string body;
        if (!c.read_body(length_of(*h), body, 10)) {
          break;
        }
        const std::string id = h->field("x-request-id");
        std::string text;
        const int turn = seen++ % (ordinary + refusals + 1);
        const bool full = turn >= ordinary && turn < ordinary + refusals;
        if (full) {
          text = "HTTP/1.1 503 Service Unavailable\r\nX-Request-Id: " + id +
                 "\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
          record.line("target of A is full and refuses %s", id.c_str());
        } else {
          note_run(id, "A");
          sleep_s(turn < ordinary ? work_s : long_work_s);
          text = answer_head(*h, 200, length_field(2)) + "ok";
        }
        {
          const std::lock_guard guard(sending);
          send_all(c.fd, text);
        }
        answers += disturbed ? 1 : 0;
        if (full && disturbed) {
          ++second_answers;
          copies.emplace_back([&, text, id, fd = c.fd] {
            sleep_s(late_s);
            record.line("target of A sends its second answer to %s", id.c_str());
            const std::lock_guard guard(sending);
            send_all(fd, text);
          });
        }
      }
      for (auto& it : copies) {
        it.join();
      }
    });
    server target_b(b.ip, b.app, [&](connection& c) {
      while (const auto h = c.read_head(30)) {
        if (answer_health(c, *h, second)) {
          continue;
        }
        std::string body;
        if (!c.read_body(length_of(*h), body, 10)) {
          return;
        }
        note_run(h->field("x-request-id"), "B");
        sleep_s(work_s);
        send_all(c.fd, answer_head(*h, 200, length_field(2)) + "ok");
      }
    });
    node node_a(a, store_ip + ":8545", here.folder);
    node node_b(b, store_ip + ":8545", here.folder);
    node_a.start();
    node_b.start();
    heartbeats beats_a(a, first, 68);
    heartbeats beats_b(b, second, 68);
    if (!node_a.await_ready(10) || !node_b.await_ready(10)) {
      cannot_run("the nodes are not ready");
    }
    sleep_s(2);
    std::map<std::string, int> statuses;
    connection c(connect_to(a.ip, a.outbound));
    const double began = now_s();
    while (now_s() - began < disturbed_for_s) {
      disturbed = trouble();
      const std::string id = new_id();
      record.line("client sends %s", id.c_str());
      send_all(c.fd, request_head("POST", "/deposit/x/", id, 5000, 7) + "deposit");
      const answer got = read_answer(c, 6);
      record.line("client gets %d for %s", got.status, id.c_str());
      statuses[id] = got.status;
      if (!got.whole) {
        cannot_run("the caller's connection ended");
      }
    }
    disturbed = false;
    sleep_s(1.5);
    int twice = 0;
    int refused = 0;
    for (const auto& [id, status] : statuses) {
      const std::size_t n = runs[id].size();
      if (n > 1) {
        ++twice;
        record.line("%s ran %zu times", id.c_str(), n);
      }
      if (n > 0 && (status == 503 || status == 429)) {
        ++refused;
        record.line("%s was answered %d and has run", id.c_str(), status);
      }
    }
    record.line("the target of A gave %d answers and %d second answers in %.0f s", answers.load(),
                second_answers.load(), disturbed_for_s);
    record.line("%zu requests, %d ran twice, %d were refused and have run", statuses.size(), twice,
                refused);
    return twice == 0 && refused == 0;
  });
}
