/// @file
/// A new version of the configuration lowers `idle-timeout-ms`. Clients go on reading their answers
/// slowly, but in time.
#include "rig.h"

namespace {

constexpr int deadline_ms = 6'000;
constexpr int timeout_ms = 5'000;
constexpr int idle_before_ms = 15'000;
constexpr int idle_after_ms = 2'000;
constexpr std::size_t answer_bytes = 800'000;
/// A client takes this many bytes in each step until `slow_s` after its request, and then the rest.
constexpr std::size_t slow_step_bytes = 4'000;
constexpr int slow_step_pause_ms = 100;
constexpr double slow_s = 2.6;
/// Bytes that a client's socket keeps unread, as on a link with small windows.
constexpr int receive_buffer = 16'384;
/// Size of a segment on an Ethernet link.
constexpr int segment_bytes = 1'448;
constexpr int clients = 6;
constexpr int rounds_before = 3;

} // namespace

int main() {
  using namespace rig;
  const bool trouble = begin_case();
  const auto with_idle_timeout = [](const std::string& version, int idle_ms) {
    json value = configuration(version, {{"/songs/", "songs", "safe", timeout_ms}});
    value["limits"]["idle-timeout-ms"] = idle_ms;
    return value;
  };
  store platform({"127.0.0.1", 0});
  platform.put("config", "main", with_idle_timeout("00000007", idle_before_ms));
  const std::string ip = node_ip();
  target songs({.id = "i-songs", .service = "songs", .ip = ip, .body_bytes = answer_bytes});
  node only({.name = "sidecar-1", .service = "songs", .ip = ip, .app = songs.at(),
             .store = platform.at()});
  only.start();
  only.await_ready();
  songs.beat_always(only.control());
  sleep_ms(2'500);

  // One request of each client, on a connection of its own. Returns how many answers were cut in time.
  const auto play_round = [&](const char* name) {
    std::atomic<int> cut{0};
    std::vector<std::thread> threads;
    for (int i = 0; i < clients; ++i) {
      threads.emplace_back([&, i] {
        connection it(connect_to(only.outbound(), [](int fd) {
          ::setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof(receive_buffer));
          ::setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &segment_bytes, sizeof(segment_bytes));
        }));
        if (!it.open()) {
          give_up("no connection to the node");
        }
        const std::string id = random_id();
        const double sent = seconds_now();
        it.send(request_text("GET", "/songs/" + id, id, deadline_ms));
        record("client %d: sends GET /songs/%s, request %s (%s)", i, id.c_str(), id.c_str(), name);
        std::string answer;
        std::size_t expected = 0;
        char chunk[65'536];
        while (expected == 0 || answer.size() < expected) {
          pollfd ready{it.fd(), POLLIN, 0};
          const bool slow = seconds_now() - sent < slow_s;
          if (::poll(&ready, 1, deadline_ms) <= 0) {
            break;
          }
          const ssize_t n = ::recv(it.fd(), chunk, slow ? slow_step_bytes : sizeof(chunk), 0);
          if (n <= 0) {
            break;
          }
          answer.append(chunk, static_cast<std::size_t>(n));
          const auto end = answer.find("\r\n\r\n");
          if (expected == 0 && end != std::string::npos) {
            const auto field = answer.find("Content-Length: ");
            expected = end + 4 + std::strtoull(answer.c_str() + field + 16, nullptr, 10);
            record("client %d: request %s gets '%s', %zu bytes with its head", i, id.c_str(),
                   answer.substr(0, answer.find('\r')).c_str(), expected);
          }
          if (slow) {
            sleep_ms(slow_step_pause_ms);
          }
        }
        const double took = seconds_now() - sent;
        const bool whole = expected > 0 && answer.size() == expected;
        cut += !whole && took < timeout_ms / 1000.0 ? 1 : 0;
        record("client %d: request %s ends after %.2f s with %zu of %zu bytes%s", i, id.c_str(),
               took, answer.size(), expected, whole ? "" : ": BROKEN OFF");
        if (!whole && took >= timeout_ms / 1000.0) {
          give_up("an answer was not read in time");
        }
      });
    }
    for (auto& it : threads) {
      it.join();
    }
    return cut.load();
  };

  int cut_before = 0;
  for (int i = 0; i < rounds_before; ++i) {
    cut_before += play_round("before the change");
  }
  platform.put("config", "main",
               with_idle_timeout("0000000c", trouble ? idle_after_ms : idle_before_ms));
  record("operator: version 0000000c is acknowledged, idle-timeout-ms %d",
         trouble ? idle_after_ms : idle_before_ms);
  sleep_ms(300);
  const int cut_after = play_round("after the change");
  std::printf("answers broken off by the node: %d of %d before the change, %d of %d beside it\n",
              cut_before, rounds_before * clients, cut_after, clients);
  record("answers broken off by the node: %d of %d before the change, %d of %d beside it",
         cut_before, rounds_before * clients, cut_after, clients);
  if (cut_before > 0) {
    give_up("answers are cut without the disruption");
  }
  finish(cut_after > 3 ? 1 : 0);
}
