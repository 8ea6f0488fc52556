/// @file
/// A faulty target hands out second answers to requests that it has refused: late, without a
/// length, and then it ends that connection. By then the node has sent the next request on it,
/// which has begun to run.
#include "rig.h"

namespace {

constexpr int clients = 8;
constexpr double traffic_s = 12;
constexpr int deadline_ms = 5'000;
constexpr int work_ms = 50;
/// Each request of this number finds the faulty target full.
constexpr int full_every = 8;
/// The dose that the site file names for second answers: this share of the answers of a target,
/// for so long.
constexpr double second_answers = 0.03;
constexpr double trouble_from_s = 4;
constexpr double trouble_for_s = 5;

} // namespace

int main() {
  using namespace rig;
  const bool trouble = begin_case();
  store platform({"127.0.0.1", 0});
  platform.put("config", "main", configuration("00000007", {{"/deposit/", "depot", "unsafe"}}));

  const std::string ip_1 = node_ip();
  const std::string ip_2 = node_ip();
  target faulty({.id = "i-faulty", .service = "depot", .ip = ip_1});
  target sound({.id = "i-sound", .service = "depot", .ip = ip_2});
  node first({.name = "sidecar-1", .service = "depot", .ip = ip_1, .app = faulty.at(),
              .store = platform.at()});
  node second({.name = "sidecar-2", .service = "depot", .ip = ip_2, .app = sound.at(),
               .store = platform.at()});

  std::atomic<double> traffic_began{1e9};
  std::mutex mutex;
  int arrivals = 0;
  int answers = 0;
  int spoiled = 0;
  faulty.on_request = [&](connection& it, const message& call) {
    // Request that was refused on this connection and gets a second answer. Each connection is
    // served by a thread of its own.
    thread_local std::string second_due;
    const std::string id = call.field("X-Request-Id");
    const double into = seconds_now() - traffic_began;
    const std::string before = std::exchange(second_due, "");
    bool full = false;
    {
      const std::lock_guard hold(mutex);
      full = before.empty() && ++arrivals % full_every == 0;
      const bool in_window = into >= trouble_from_s && into < trouble_from_s + trouble_for_s;
      answers += in_window ? 1 : 0;
      if (full && trouble && in_window && spoiled + 1 <= second_answers * answers) {
        ++spoiled;
        second_due = id;
      }
    }
    if (full) {
      record("i-faulty: is full and refuses request %s", id.c_str());
      return it.send(answer_text(
          503, "X-Request-Id: " + id + "\r\nX-Not-Executed: 1\r\n", ""));
    }
    faulty.begin_run(call);
    if (!before.empty()) {
      sleep_ms(work_ms / 2);
      record("i-faulty: second answer to request %s, while request %s runs; the connection ends",
             before.c_str(), id.c_str());
      it.send("HTTP/1.1 503 Service Unavailable\r\nX-Request-Id: " + before +
              "\r\nX-Not-Executed: 1\r\n\r\n");
      return false;
    }
    sleep_ms(work_ms);
    return it.send(faulty.answer_to(call));
  };

  first.start();
  second.start();
  first.await_ready();
  second.await_ready();
  faulty.beat_always(first.control());
  sound.beat_always(second.control());
  sleep_ms(4'000);

  std::atomic<int> sent{0};
  std::atomic<int> answered{0};
  std::atomic<int> twice{0};
  std::atomic<int> promised{0};
  traffic_began = seconds_now();
  std::vector<std::thread> threads;
  for (int i = 0; i < clients; ++i) {
    threads.emplace_back([&] {
      while (seconds_now() - traffic_began < traffic_s) {
        const std::string id = random_id();
        connection client(connect_to(first.outbound()));
        if (!client.open()) {
          give_up("no connection to the node");
        }
        record("client: sends request %s, POST /deposit/%s", id.c_str(), id.c_str());
        client.send(request_text("POST", "/deposit/" + id, id, deadline_ms, "recording " + id));
        const auto answer = client.read(deadline_ms);
        const int status = answer ? answer->status() : 0;
        record("client: request %s gets %d", id.c_str(), status);
        ++sent;
        answered += status == 200 ? 1 : 0;
        sleep_ms(10);
        const int runs = faulty.runs(id) + sound.runs(id);
        if (runs > 1) {
          ++twice;
          record("BROKEN: request %s has run %d times", id.c_str(), runs);
        }
        if (runs > 0 && (status == 503 || status == 429)) {
          ++promised;
          record("BROKEN: request %s has run and was answered %d", id.c_str(), status);
        }
      }
    });
  }
  for (auto& it : threads) {
    it.join();
  }
  char text[256];
  std::snprintf(text, sizeof(text),
                "%d deposits, %d answered with success; %d second answers among %d of the faulty "
                "target; run twice: %d; run and answered 503 or 429: %d",
                sent.load(), answered.load(), spoiled, answers, twice.load(), promised.load());
  std::printf("%s\n", text);
  record("%s", text);
  if (answered < sent / 2) {
    give_up("most deposits were not answered with success");
  }
  finish(twice + promised > 0 ? 1 : 0);
}
